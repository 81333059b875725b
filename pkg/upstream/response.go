package upstream

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// maxBufferedBody is the largest body in bytes that is buffered whole, so that the connection is released before the
// response is relayed. Larger bodies are streamed.
const maxBufferedBody = 16 << 10

// maxStaleResponses limits how many responses to earlier requests are discarded, and maxStaleBody the body size of each in
// bytes.
const (
	maxStaleResponses = 4
	maxStaleBody      = 4 << 20
)

// maxInterimResponses limits the number of 1xx responses before the final one.
const maxInterimResponses = 16

// readHead reads the head of the response. For an early response, which noReuse marks, it keeps the deadline that is already set.
func (x *exchange) readHead() error {
	if !x.conn.noReuse {
		if err := x.conn.SetDeadline(x.headDeadline()); err != nil {
			return err
		}
	}
	return x.readMatchingHead()
}

// readMatchingHead reads the head of the response to the request. It skips responses to other requests and sets no deadline.
func (x *exchange) readMatchingHead() error {
	x.resetResponse()
	for discarded := 0; ; {
		if err := x.readFinalHead(); err != nil {
			return err
		}
		if x.classify() != Foreign {
			return nil
		}
		if discarded++; discarded > maxStaleResponses {
			return errors.Newf("more than %d responses to earlier requests", maxStaleResponses)
		}
		if err := x.discardStaleResponse(); err != nil {
			return errors.Wrap(err, "skip the response to an earlier request")
		}
	}
}

// classify returns how the response relates to the request. A refusal is recorded with the connection.
func (x *exchange) classify() Verdict {
	if x.attempt.Classify == nil {
		return Accepted
	}
	verdict := x.attempt.Classify(&x.resp.Header)
	if verdict == Refused {
		x.conn.recordRefusal(x.attempt.RequestID)
	}
	return verdict
}

func (x *exchange) resetResponse() {
	x.resp.Reset()
	x.resp.SkipBody = x.isHead
	x.resp.Header.SetNoDefaultContentType(true)
}

// discardStaleResponse reads and drops a response to an earlier request, without holding its body in memory.
func (x *exchange) discardStaleResponse() error {
	x.conn.noReuse = true
	// Resetting the response also closes the body stream.
	defer x.resetResponse()
	switch length := x.resp.Header.ContentLength(); {
	case statusWithoutBody(x.resp.StatusCode()):
		return nil
	case length == identityBody:
		return errors.New("the response states neither a length nor chunks")
	case length > maxStaleBody:
		return errors.Wrapf(fasthttp.ErrBodyTooLarge, "%d bytes, limit %d", length, maxStaleBody)
	}
	x.resp.StreamBody = true
	if err := x.resp.ReadBody(x.conn.reader, 0); err != nil {
		return err
	}
	switch _, err := io.CopyN(io.Discard, x.resp.BodyStream(), maxStaleBody+1); {
	case err == nil:
		return errors.Wrapf(fasthttp.ErrBodyTooLarge, "limit %d bytes", maxStaleBody)
	case !errors.Is(err, io.EOF):
		return err
	}
	return nil
}

// readFinalHead reads response heads up to the first that is not an interim (1xx) one.
func (x *exchange) readFinalHead() error {
	for range maxInterimResponses {
		if err := readResponseHead(x.conn.reader, &x.resp.Header); err != nil {
			return err
		}
		switch status := x.resp.StatusCode(); {
		case status == fasthttp.StatusSwitchingProtocols:
			return ErrSwitchingProtocols
		case status >= 200:
			// The version applies to one connection only. With the server's, a caller would not understand the framing of a relayed response.
			x.resp.Header.SetProtocol([]byte(currentVersion))
			return nil
		}
	}
	return errors.Newf("%d interim responses and no final one", maxInterimResponses)
}

// maxKeepAlive bounds the stated keep-alive time; a larger number could overflow a duration.
const maxKeepAlive = 24 * time.Hour

// readKeepAlive parses the Keep-Alive header, which states how long the remote side keeps an idle connection open.
func (x *exchange) readKeepAlive() {
	for parameter := range bytes.SplitSeq(x.resp.Header.Peek("Keep-Alive"), []byte(",")) {
		name, value, _ := bytes.Cut(bytes.TrimSpace(parameter), []byte("="))
		if seconds, err := strconv.Atoi(string(value)); err == nil && seconds > 0 && bytes.EqualFold(name, []byte("timeout")) {
			x.conn.remoteKeepAlive = time.Duration(min(seconds, int(maxKeepAlive/time.Second))) * time.Second
		}
	}
}

// readBody reads a small body into the response, and sets up the streaming of any other one.
func (x *exchange) readBody(ctx context.Context) error {
	length := x.resp.Header.ContentLength()
	switch {
	case x.hasNoBody():
		x.responseComplete = true
		return nil
	case length >= 0 && length <= maxBufferedBody:
		if err := x.resp.ReadBody(x.conn.reader, maxBufferedBody); err != nil {
			return err
		}
		x.responseComplete = true
		return nil
	case length == identityBody && x.writeFailed:
		return errEndUnknown
	}
	return x.streamBody(ctx, length)
}

// errEndUnknown reports a close-delimited response on a connection to which a write has failed. The kernel reports a reset only once, which
// was to the writer; reads then end as if the server had closed the connection in an orderly way.
var errEndUnknown = errors.New("the end of a close-delimited response is unknown, because the connection was lost")

func (x *exchange) hasNoBody() bool {
	return x.resp.SkipBody || statusWithoutBody(x.resp.StatusCode())
}

// statusWithoutBody reports whether responses with a status have no body, whatever length they state.
func statusWithoutBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// identityBody is fasthttp's content length of a close-delimited body, whose end is that of the connection.
const identityBody = -2

// streamBody sets a Body on the response that reads from the connection as the caller consumes it.
func (x *exchange) streamBody(ctx context.Context, length int) error {
	// A streamed body has no total time limit as long as it makes progress.
	x.conn.readIdleTimeout = x.bodyIdleTimeout
	source := fasthttp.AcquireResponse()
	x.resp.Header.CopyTo(&source.Header)
	source.StreamBody = true
	if err := source.ReadBody(x.conn.reader, 0); err != nil {
		fasthttp.ReleaseResponse(source)
		return err
	}
	b := &Body{exchange: x, source: source, length: length, remaining: length}
	b.stopContextFunc = context.AfterFunc(ctx, func() { _ = x.conn.Conn.Close() })
	if length == identityBody {
		length = -1
	}
	x.resp.SetBodyStream(b, length)
	return nil
}
