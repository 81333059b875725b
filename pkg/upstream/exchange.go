package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
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

// exchange is one request and its response on one connection.
type exchange struct {
	conn            *conn
	attempt         Attempt
	req             *fasthttp.Request
	resp            *fasthttp.Response
	bodyIdleTimeout time.Duration
	// isHead is true for a HEAD request. It is stored here because a headReader must not read the request header, which the writer
	// uses at the same time.
	isHead bool
	stage  Stage
	// writeFailed is set if the connection failed while the request was being written.
	writeFailed bool
	// responseComplete is set once the whole response was read and the connection may be released.
	responseComplete bool
}

func (x *exchange) run(ctx context.Context) error {
	// Cancelling the context closes the socket, which unblocks a pending read or write. Setting a deadline in the past would
	// not be enough, because the next read sets its own deadline.
	stop := context.AfterFunc(ctx, func() { _ = x.conn.Conn.Close() })
	err := x.sendAndReceive(ctx)
	if !stop() && err == nil && x.responseComplete {
		err = context.Cause(ctx)
	}
	if err == nil {
		if x.responseComplete {
			x.releaseConn()
		}
		return nil
	}
	return &Error{
		Address:   x.attempt.Address,
		Stage:     x.stage,
		Written:   x.conn.bytesWritten > 0,
		Reused:    !x.conn.lastResponse.IsZero(),
		Timeout:   isTimeout(err) && ctx.Err() == nil,
		Cancelled: ctx.Err() != nil,
		Cause:     err,
	}
}

func (x *exchange) sendAndReceive(ctx context.Context) error {
	x.stage = StageWrite
	if err := x.prepareWrite(ctx); err != nil {
		return err
	}
	if x.req.IsBodyStream() {
		return x.streamAndReceive(ctx)
	}
	if err := x.write(); err != nil {
		return x.readEarlyResponse(ctx, err)
	}
	x.stage = StageAwaitResponse
	if err := x.awaitFirstByte(ctx); err != nil {
		return err
	}
	x.stage = StageRead
	if err := x.readHead(); err != nil {
		return err
	}
	x.readKeepAlive()
	return x.readBody(ctx)
}

// prepareWrite sets the deadline of the attempt and calls BeforeWrite.
func (x *exchange) prepareWrite(ctx context.Context) error {
	if err := x.setDeadline(ctx, x.attempt.Deadline); err != nil {
		return err
	}
	if x.attempt.BeforeWrite == nil {
		return nil
	}
	return x.attempt.BeforeWrite()
}

func (x *exchange) write() error {
	if err := x.req.Write(x.conn.writer); err != nil {
		return err
	}
	return x.conn.writer.Flush()
}

// earlyResponseTimeout bounds the wait for a response that the remote side sent before it closed the connection while the
// request was still being written. In most cases the response has already arrived by then.
const earlyResponseTimeout = 50 * time.Millisecond

// readEarlyResponse reads the response of a server that rejected a request before reading all of it. It returns writeErr
// if there is no such response. The connection is not reused.
func (x *exchange) readEarlyResponse(ctx context.Context, writeErr error) error {
	if !x.mayHaveEarlyResponse(ctx, writeErr) {
		return writeErr
	}
	x.conn.noReuse, x.writeFailed = true, true
	if x.conn.SetDeadline(time.Now().Add(earlyResponseTimeout)) != nil {
		return writeErr
	}
	if _, err := x.conn.reader.Peek(1); err != nil {
		return writeErr
	}
	return x.readEarlyBody(ctx, x.readHead(), writeErr)
}

// readEarlyBody reads the body of an early response whose head was read with headErr. If the response is not usable, it returns writeErr with
// the reason.
func (x *exchange) readEarlyBody(ctx context.Context, headErr, writeErr error) error {
	err := headErr
	if err == nil {
		err = x.readBody(ctx)
	}
	if err == nil {
		return nil
	}
	return errors.Wrapf(writeErr, "early response not used (%v)", err)
}

// mayHaveEarlyResponse reports whether the remote side may have responded before the write failed with writeErr: the connection failed
// after bytes were written, rather than the reader of the request body, and neither a deadline nor a cancellation ended the write.
func (x *exchange) mayHaveEarlyResponse(ctx context.Context, writeErr error) bool {
	return x.conn.bytesWritten > 0 && ctx.Err() == nil && !isTimeout(writeErr) && isNetError(writeErr)
}

// isNetError reports whether err comes from the connection rather than from the reader of the request body.
func isNetError(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr)
}

func (x *exchange) awaitFirstByte(ctx context.Context) error {
	if err := x.setDeadline(ctx, x.firstByteDeadline()); err != nil {
		return err
	}
	_, err := x.conn.reader.Peek(1)
	return err
}

// firstByteDeadline returns the deadline for the first byte of the response to a request that has just been written.
func (x *exchange) firstByteDeadline() time.Time {
	deadline := x.attempt.Deadline
	if t := x.attempt.FirstByteTimeout; t > 0 {
		if first := time.Now().Add(t); deadline.IsZero() || first.Before(deadline) {
			return first
		}
	}
	return deadline
}

// headDeadline returns the deadline for the head and a small body of a response whose first byte has arrived: that of the attempt,
// or bodyIdleTimeout from now if there is none.
func (x *exchange) headDeadline() time.Time {
	if x.attempt.Deadline.IsZero() {
		return time.Now().Add(x.bodyIdleTimeout)
	}
	return x.attempt.Deadline
}

// setDeadline sets the socket's deadline and then checks the context, because a cancellation may have closed the socket
// just before.
func (x *exchange) setDeadline(ctx context.Context, deadline time.Time) error {
	if err := x.conn.SetDeadline(deadline); err != nil {
		return err
	}
	return ctx.Err()
}

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

// releaseConn returns the connection to the idle connections, or closes it if it cannot be reused after this response.
func (x *exchange) releaseConn() {
	// A late copy of the response to a HEAD request states a length but has no body, so that its end could not be told.
	if x.conn.noReuse || x.isHead || x.resp.Header.ConnectionClose() || x.resp.Header.ContentLength() == identityBody {
		x.conn.host.discard(x.conn)
		return
	}
	x.conn.host.put(x.conn)
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

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) ||
		(errors.As(err, &netErr) && netErr.Timeout())
}
