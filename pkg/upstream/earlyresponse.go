package upstream

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// headReader reads the head of a response on a goroutine of its own while the request body is being written. The writer may wait for
// a slow caller for a long time, and what the head states about the server applies at once. Until done is closed, the goroutine
// owns the response and the read buffer of the connection, and the writer owns the request and the deadline of the socket.
type headReader struct {
	// firstByte is closed when the first byte of the response has arrived. It stays open if none arrives.
	firstByte chan struct{}
	// done is closed when the goroutine ends.
	done chan struct{}
	// err is nil if the head was read; valid once done is closed.
	err error
}

// startHeadReader starts a headReader for the response of the exchange.
func (x *exchange) startHeadReader() *headReader {
	r := &headReader{firstByte: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(r.done)
		r.err = r.read(x)
	}()
	return r
}

// read waits for the first byte of the response and reads the head.
func (r *headReader) read(x *exchange) error {
	if _, err := x.conn.reader.Peek(1); err != nil {
		return err
	}
	close(r.firstByte)
	return x.readMatchingHead()
}

// stop closes the connection, which ends a pending read, and waits until the goroutine has ended.
func (r *headReader) stop(x *exchange) {
	_ = x.conn.Conn.Close()
	<-r.done
}

// streamAndReceive sends a request with a body stream and reads the response. The response is relayed only after the whole body was
// written or the write has failed, even if it arrives before.
func (x *exchange) streamAndReceive(ctx context.Context) error {
	head := x.startHeadReader()
	if err := x.write(); err != nil {
		return x.finishEarlyResponse(ctx, head, err)
	}
	if err := x.awaitHead(ctx, head); err != nil {
		head.stop(x)
		return err
	}
	x.readKeepAlive()
	return x.readBody(ctx)
}

// awaitHead waits for the head of the response to a request that was written completely. If it returns nil, the headReader has ended.
func (x *exchange) awaitHead(ctx context.Context, head *headReader) error {
	x.stage = StageAwaitResponse
	if err := x.setDeadline(ctx, x.firstByteDeadline()); err != nil {
		return err
	}
	select {
	case <-head.firstByte:
	case <-head.done:
		if !head.hasFirstByte() {
			return head.err
		}
	}
	x.stage = StageRead
	if err := x.conn.SetDeadline(x.headDeadline()); err != nil {
		return err
	}
	<-head.done
	return head.err
}

// hasFirstByte reports whether the first byte of the response has arrived.
func (r *headReader) hasFirstByte() bool {
	select {
	case <-r.firstByte:
		return true
	default:
		return false
	}
}

// finishEarlyResponse does the same as readEarlyResponse for a response that a headReader reads. The headReader has ended when it
// returns.
func (x *exchange) finishEarlyResponse(ctx context.Context, head *headReader, writeErr error) error {
	if !x.mayHaveEarlyResponse(ctx, writeErr) || x.conn.SetDeadline(time.Now().Add(earlyResponseTimeout)) != nil {
		head.stop(x)
		return writeErr
	}
	<-head.done
	x.conn.noReuse, x.writeFailed = true, true
	if !head.hasFirstByte() {
		return writeErr
	}
	return x.readEarlyBody(ctx, head.err, writeErr)
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
