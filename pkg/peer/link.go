package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// stream is an open connection on which peer.hello has succeeded.
type stream struct {
	conn  *conn
	rpc   *jsonrpc2.Conn
	slots chan struct{}
}

func (s *stream) alive() bool {
	select {
	case <-s.rpc.DisconnectNotify():
		return false
	default:
		return true
	}
}

// link is the kept connection to one address and the state of reconnecting.
type link struct {
	pool    *Pool
	address string
	dialing chan struct{} // held by the one goroutine that dials

	mu       sync.Mutex
	current  *stream
	failures int
	retryAt  time.Time
	lastUse  time.Time
	lastErr  error
}

// connect returns the open connection or opens one. While the backoff after a failed attempt lasts it fails at once.
func (l *link) connect(ctx context.Context) (*stream, error) {
	if s, err := l.usable(); s != nil || err != nil {
		return s, err
	}
	select {
	case l.dialing <- struct{}{}:
		defer func() { <-l.dialing }()
	case <-ctx.Done():
		return nil, wrap(ctx.Err(), ErrUnreachable, l.address)
	}
	if s, err := l.usable(); s != nil || err != nil {
		return s, err
	}
	s, err := l.pool.open(ctx, l.address)
	return l.opened(s, err)
}

// usable returns the open connection, or the error of the last attempt during backoff, or neither.
func (l *link) usable() (*stream, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastUse = time.Now()
	if l.current != nil && l.current.alive() {
		return l.current, nil
	}
	if l.lastErr != nil && l.lastUse.Before(l.retryAt) {
		return nil, l.lastErr
	}
	return nil, nil
}

func (l *link) opened(s *stream, err error) (*stream, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.failures++
		l.lastErr, l.retryAt = err, time.Now().Add(l.backoff())
		return nil, err
	}
	l.current, l.failures, l.lastErr = s, 0, nil
	select {
	case <-l.pool.stop:
		s.close()
		return nil, ErrClosed
	default:
		return s, nil
	}
}

// backoff doubles with each failure and is jittered by half, so that VMs do not reconnect together.
func (l *link) backoff() time.Duration {
	d := l.pool.options.MinBackoff << min(l.failures-1, 16)
	d = min(d, l.pool.options.MaxBackoff)
	return d/2 + rand.N(d/2+1)
}

// finish turns the result of a message into this package's errors and closes a connection that failed.
func (l *link) finish(ctx context.Context, s *stream, err error) error {
	var coded *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &coded):
		if coded.Code == codeBusy {
			return wrap(nil, ErrBusy, l.address)
		}
		return wrap(errors.New(coded.Message), ErrRemote, l.address)
	case errors.Is(err, ErrFrame):
		return err
	case errors.Is(ctx.Err(), context.Canceled):
		return wrap(ctx.Err(), ErrLost, l.address)
	}
	l.drop(s)
	if errors.Is(err, context.DeadlineExceeded) {
		return wrap(nil, ErrTimeout, l.address)
	}
	return wrap(err, ErrLost, l.address)
}

func (s *stream) close() {
	_ = s.rpc.Close()
	_ = s.conn.Close()
}

// drop closes s, or the current connection if s is nil.
func (l *link) drop(s *stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s == nil {
		s = l.current
	}
	if s == nil {
		return
	}
	if l.current == s {
		l.current = nil
	}
	s.close()
}

// closeIdle reports whether the link has been unused for the idle timeout; its connection is closed then.
func (l *link) closeIdle(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != nil && len(l.current.slots) == 0 && l.current.conn.idle(now) > l.pool.options.IdleTimeout {
		l.current.close()
		l.current = nil
	}
	return l.current == nil && now.Sub(l.lastUse) > l.pool.options.IdleTimeout && len(l.dialing) == 0
}
