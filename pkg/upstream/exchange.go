package upstream

import (
	"bytes"
	"context"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// smallBody is the largest body in bytes that is read at once, so that the connection is free before the answer is
// relayed. Larger bodies are streamed.
const smallBody = 16 << 10

// maxStrayAnswers bounds the answers of earlier requests that are skipped, and strayBody the size in bytes of each.
const (
	maxStrayAnswers = 4
	strayBody       = 4 << 20
)

// maxInterimAnswers bounds the number of 1xx answers before the final one.
const maxInterimAnswers = 16

// exchange is one request and its answer on one connection.
type exchange struct {
	conn     *conn
	attempt  Attempt
	req      *fasthttp.Request
	resp     *fasthttp.Response
	bodyIdle time.Duration
	stage    Stage
	// complete is set once the whole answer was read and the connection may be given back.
	complete bool
}

func (x *exchange) run(ctx context.Context) error {
	// A cancelled context closes the socket, which ends a blocked read or write. A deadline in the past would not last: the
	// next read sets its own.
	stop := context.AfterFunc(ctx, func() { _ = x.conn.Conn.Close() })
	err := x.sendAndReceive(ctx)
	if !stop() && err == nil && x.complete {
		err = context.Cause(ctx)
	}
	if err == nil {
		if x.complete {
			x.giveBack()
		}
		return nil
	}
	return &Error{
		Address:   x.attempt.Address,
		Stage:     x.stage,
		Written:   x.conn.written > 0,
		Reused:    !x.conn.lastAnswer.IsZero(),
		Timeout:   isTimeout(err) && ctx.Err() == nil,
		Cancelled: ctx.Err() != nil,
		Cause:     err,
	}
}

func (x *exchange) sendAndReceive(ctx context.Context) error {
	x.stage = StageWrite
	if err := x.write(ctx); err != nil {
		return x.earlyAnswer(ctx, err)
	}
	x.stage = StageAwait
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

func (x *exchange) write(ctx context.Context) error {
	if err := x.setDeadline(ctx, x.attempt.Deadline); err != nil {
		return err
	}
	if x.attempt.BeforeWrite != nil {
		if err := x.attempt.BeforeWrite(); err != nil {
			return err
		}
	}
	if err := x.req.Write(x.conn.writer); err != nil {
		return err
	}
	return x.conn.writer.Flush()
}

// earlyAnswerWait is how long an answer may take that the other side sent before it closed the connection on a request
// that was still being written. It has arrived by then in most cases.
const earlyAnswerWait = 50 * time.Millisecond

// earlyAnswer reads the answer of a server that refused a request before it had read all of it. It returns writeErr if
// there is none. The connection is not used again.
func (x *exchange) earlyAnswer(ctx context.Context, writeErr error) error {
	if x.conn.written == 0 || ctx.Err() != nil || isTimeout(writeErr) || !isNetError(writeErr) {
		return writeErr
	}
	x.conn.broken = true
	if x.conn.SetDeadline(time.Now().Add(earlyAnswerWait)) != nil {
		return writeErr
	}
	if _, err := x.conn.reader.Peek(1); err != nil || x.readHead() != nil || x.readBody(ctx) != nil {
		return writeErr
	}
	return nil
}

// isNetError tells an error of the connection from one of the source of the body.
func isNetError(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr)
}

func (x *exchange) awaitFirstByte(ctx context.Context) error {
	deadline := x.attempt.Deadline
	if t := x.attempt.FirstByteTimeout; t > 0 {
		if first := time.Now().Add(t); deadline.IsZero() || first.Before(deadline) {
			deadline = first
		}
	}
	if err := x.setDeadline(ctx, deadline); err != nil {
		return err
	}
	_, err := x.conn.reader.Peek(1)
	return err
}

// setDeadline sets the socket's deadline and then looks at the context, because a cancellation may have expired the
// socket just before.
func (x *exchange) setDeadline(ctx context.Context, deadline time.Time) error {
	if err := x.conn.SetDeadline(deadline); err != nil {
		return err
	}
	return ctx.Err()
}

func (x *exchange) readHead() error {
	if !x.conn.broken {
		// The head and a small body arrive within the attempt's deadline, or the longest pause if there is none.
		deadline := x.attempt.Deadline
		if deadline.IsZero() {
			deadline = time.Now().Add(x.bodyIdle)
		}
		if err := x.conn.SetDeadline(deadline); err != nil {
			return err
		}
	}
	x.resetAnswer()
	for stray := 0; ; {
		if err := x.readFinalHead(); err != nil {
			return err
		}
		if x.attempt.Expects == nil || x.attempt.Expects(&x.resp.Header) {
			return nil
		}
		if stray++; stray > maxStrayAnswers {
			return errors.New("too many answers of earlier requests")
		}
		if err := x.skipStray(); err != nil {
			return errors.Wrap(err, "skip the answer of an earlier request")
		}
	}
}

func (x *exchange) resetAnswer() {
	x.resp.Reset()
	x.resp.SkipBody = x.req.Header.IsHead()
	x.resp.Header.SetNoDefaultContentType(true)
}

// skipStray drops an answer that belongs to an earlier request.
func (x *exchange) skipStray() error {
	x.conn.broken = true
	if x.resp.Header.ContentLength() == identityBody {
		return errors.New("the answer has no end")
	}
	err := x.resp.ReadBody(x.conn.reader, strayBody)
	x.resetAnswer()
	return err
}

// readFinalHead reads the next head that is not an interim one.
func (x *exchange) readFinalHead() error {
	for range maxInterimAnswers {
		if err := x.resp.Header.Read(x.conn.reader); err != nil {
			return err
		}
		switch status := x.resp.StatusCode(); {
		case status == fasthttp.StatusSwitchingProtocols:
			return ErrSwitchingProtocols
		case status >= 200:
			return nil
		}
	}
	return errors.New("too many interim answers")
}

func (x *exchange) readBody(ctx context.Context) error {
	length := x.resp.Header.ContentLength()
	switch {
	case x.hasNoBody():
		x.complete = true
		return nil
	case length >= 0 && length <= smallBody:
		if err := x.resp.ReadBody(x.conn.reader, smallBody); err != nil {
			return err
		}
		x.complete = true
		return nil
	}
	return x.streamBody(ctx, length)
}

func (x *exchange) hasNoBody() bool {
	status := x.resp.StatusCode()
	return x.resp.SkipBody || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// readKeepAlive takes the time for which the other side keeps the connection open.
func (x *exchange) readKeepAlive() {
	for parameter := range bytes.SplitSeq(x.resp.Header.Peek("Keep-Alive"), []byte(",")) {
		name, value, _ := bytes.Cut(bytes.TrimSpace(parameter), []byte("="))
		if seconds, err := strconv.Atoi(string(value)); err == nil && seconds > 0 && bytes.EqualFold(name, []byte("timeout")) {
			x.conn.keptFor = time.Duration(seconds) * time.Second
		}
	}
}

// giveBack returns the connection, or closes it if the answer ends its use.
func (x *exchange) giveBack() {
	if x.conn.broken || x.resp.Header.ConnectionClose() || x.resp.Header.ContentLength() == identityBody {
		x.conn.host.discard(x.conn)
		return
	}
	x.conn.host.put(x.conn)
}

// identityBody is fasthttp's content length of a body that ends with the connection.
const identityBody = -2

// streamBody leaves the body on the connection for the caller to read.
func (x *exchange) streamBody(ctx context.Context, length int) error {
	// A streamed body may take as long as it needs while it makes progress.
	x.conn.idleLimit = x.bodyIdle
	inner := fasthttp.AcquireResponse()
	x.resp.Header.CopyTo(&inner.Header)
	inner.StreamBody = true
	if err := inner.ReadBody(x.conn.reader, 0); err != nil {
		fasthttp.ReleaseResponse(inner)
		return err
	}
	b := &Body{exchange: x, inner: inner, length: length, left: length}
	b.stopCancel = context.AfterFunc(ctx, func() { _ = x.conn.Conn.Close() })
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
