package gateway

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/bodybuffer"
	"github.com/hornbeamway/hornbeamway/pkg/ingress"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

// maxBufferedResponse is the largest response, in bytes, that is read to its end before it is relayed, so that an invalid or incomplete
// one can be replaced by the response of another server.
const maxBufferedResponse = 1 << 20

// bufferResponse reads a response of up to maxBufferedResponse bytes into memory by the deadline, as far as the budget allows. Any other
// remains a stream that ends at the deadline, so that neither a server that stops sending nor a caller that reads slowly holds it
// for longer.
func bufferResponse(budget *bodybuffer.Budget, resp *fasthttp.Response, deadline time.Time) error {
	stream, ok := resp.BodyStream().(*upstream.Body)
	if !ok {
		return nil
	}
	stream.SetDeadline(deadline)
	buffer := budget.NewBuffer()
	complete, err := fillResponse(buffer, stream, resp.Header.ContentLength())
	switch {
	case err != nil:
		buffer.Release()
		return readError(err)
	case !complete:
		stream.Unread(buffer.Bytes())
		stream.OnClose(buffer.Release)
		return nil
	}
	// Closing the stream returns the connection to the pool.
	if err := resp.CloseBodyStream(); err != nil {
		buffer.Release()
		return readError(err)
	}
	resp.SetBodyStream(buffer.Reader(), len(buffer.Bytes()))
	return nil
}

// fillResponse reads a response into a buffer and reports whether it has read all of it. The memory for a known length is allocated
// once; nothing is read of a response that is too large.
func fillResponse(buffer *bodybuffer.Buffer, stream io.Reader, length int) (complete bool, err error) {
	if length > maxBufferedResponse || length > 0 && !buffer.Grow(length) {
		return false, nil
	}
	return buffer.Fill(stream, length, maxBufferedResponse)
}

// readError returns the error of an attempt whose response could not be read to its end.
func readError(err error) error {
	return &upstream.Error{Stage: upstream.StageRead, Written: true, Timeout: ingress.IsTimeout(err), Cause: err}
}
