package upstream

import (
	"context"
	"time"
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
