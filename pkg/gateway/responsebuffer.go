package gateway

import (
	"bytes"
	"io"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/ingress"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

const (
	// maxBufferedResponse is the largest response, in bytes, that is read to its end before it is relayed, so that an invalid or
	// incomplete one can be replaced by the response of another server.
	maxBufferedResponse = 1 << 20
	// bufferBudgetLimit is the memory, in bytes, of all responses that are buffered at the same time. Beyond it responses are relayed
	// while they are read.
	bufferBudgetLimit = 16 << 20
	// initialResponseBuffer is the first size, in bytes, of the buffer for a response of unknown length. It is doubled as needed.
	initialResponseBuffer = 32 << 10
)

// bufferBudget limits the memory of response buffers. It is safe for concurrent use.
type bufferBudget struct {
	limit int64
	used  atomic.Int64
}

// reserve takes the given number of bytes from the budget and reports whether that many were left.
func (b *bufferBudget) reserve(size int) bool {
	if b.used.Add(int64(size)) <= b.limit {
		return true
	}
	b.release(size)
	return false
}

func (b *bufferBudget) release(size int) { b.used.Add(-int64(size)) }

// bufferedBody is a response body in memory. Close gives its memory back to the budget.
type bufferedBody struct {
	bytes.Reader
	budget *bufferBudget
	data   []byte
}

// Close implements io.Closer.
func (b *bufferedBody) Close() error {
	b.budget.release(cap(b.data))
	b.data = nil
	b.Reset(nil)
	return nil
}

// grow enlarges the capacity to the given size in bytes and reports whether the budget allows it.
func (b *bufferedBody) grow(size int) bool {
	if !b.budget.reserve(size) {
		return false
	}
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.budget.release(cap(b.data))
	b.data = data
	return true
}

// fill reads a stream of the given length in bytes, negative if unknown, and reports whether it has reached its end. It stops
// before that when the stream is larger than maxBufferedResponse or the budget is used up.
func (b *bufferedBody) fill(stream io.Reader, length int) (complete bool, err error) {
	size := length
	if length < 0 {
		size = initialResponseBuffer
	}
	for {
		if len(b.data) == cap(b.data) {
			if size > maxBufferedResponse || !b.grow(size) {
				return false, nil
			}
			size *= 2
		}
		n, err := stream.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		switch {
		case errors.Is(err, io.EOF), err == nil && len(b.data) == length:
			return true, nil
		case err != nil:
			return false, err
		}
	}
}

// buffer reads a response of up to maxBufferedResponse bytes into memory by the deadline, as far as the budget allows. Any other
// remains a stream that ends at the deadline, so that neither a server that stops sending nor a caller that reads slowly holds
// it for longer.
func (b *bufferBudget) buffer(resp *fasthttp.Response, deadline time.Time) error {
	stream, ok := resp.BodyStream().(*upstream.Body)
	if !ok {
		return nil
	}
	stream.SetDeadline(deadline)
	body := &bufferedBody{budget: b}
	complete, err := body.fill(stream, resp.Header.ContentLength())
	switch {
	case err != nil:
		return readError(errors.CombineErrors(err, body.Close()))
	case !complete:
		stream.Unread(body.data)
		// Closing a buffer does not fail.
		stream.OnClose(func() { _ = body.Close() })
		return nil
	}
	// Closing the stream returns the connection to the pool.
	if err := resp.CloseBodyStream(); err != nil {
		return readError(errors.CombineErrors(err, body.Close()))
	}
	body.Reset(body.data)
	resp.SetBodyStream(body, len(body.data))
	return nil
}

// readError returns the error of an attempt whose response could not be read to its end.
func readError(err error) error {
	return &upstream.Error{Stage: upstream.StageRead, Written: true, Timeout: ingress.IsTimeout(err), Cause: err}
}
