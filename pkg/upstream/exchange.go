package upstream

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

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

// run sends the request and reads the response. Unless its body is streamed, it also releases the connection. Every error is an *Error.
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

// write sends the request and flushes the write buffer.
func (x *exchange) write() error {
	if err := x.req.Write(x.conn.writer); err != nil {
		return err
	}
	return x.conn.writer.Flush()
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

// releaseConn returns the connection to the idle connections, or closes it if it cannot be reused after this response.
func (x *exchange) releaseConn() {
	// A late copy of the response to a HEAD request states a length but has no body, so that its end could not be told.
	if x.conn.noReuse || x.isHead || x.resp.Header.ConnectionClose() || x.resp.Header.ContentLength() == identityBody {
		x.conn.host.discard(x.conn)
		return
	}
	x.conn.host.put(x.conn)
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) ||
		(errors.As(err, &netErr) && netErr.Timeout())
}
