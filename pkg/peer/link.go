package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// clientSession is an open connection on which peer.hello has succeeded.
type clientSession struct {
	conn  *conn
	rpc   *jsonrpc2.Conn
	slots chan struct{} // one element per call in progress
}

// alive reports whether the connection is still open.
func (s *clientSession) alive() bool {
	select {
	case <-s.rpc.DisconnectNotify():
		return false
	default:
		return true
	}
}

// link holds the connection to one address, reopens it when needed and tracks the backoff after failed attempts.
type link struct {
	pool     *Pool
	address  string
	dialLock chan struct{} // semaphore: one goroutine dials at a time

	mu       sync.Mutex
	current  *clientSession
	failures int
	retryAt  time.Time
	lastUse  time.Time
	lastErr  error
}

// connect returns the open connection or opens one. During the backoff after a failed attempt it fails immediately.
func (l *link) connect(ctx context.Context) (*clientSession, error) {
	if s, err := l.openOrBackoffError(); s != nil || err != nil {
		return s, err
	}
	select {
	case l.dialLock <- struct{}{}:
		defer func() { <-l.dialLock }()
	case <-ctx.Done():
		return nil, newError(ctx.Err(), ErrUnreachable, l.address)
	}
	if s, err := l.openOrBackoffError(); s != nil || err != nil {
		return s, err
	}
	s, err := l.pool.dial(ctx, l.address)
	return l.recordAttempt(s, err)
}

// openOrBackoffError returns the open connection, or during the backoff the error of the last attempt. It returns neither
// if the caller should dial.
func (l *link) openOrBackoffError() (*clientSession, error) {
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

// recordAttempt stores the result of dialing: the new connection, or the error and the time of the next attempt.
func (l *link) recordAttempt(s *clientSession, err error) (*clientSession, error) {
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

// backoff returns the wait before the next attempt. It doubles with each failure up to MaxBackoff. Up to half of it is
// random, so that VMs do not reconnect at the same time.
func (l *link) backoff() time.Duration {
	d := l.pool.options.MinBackoff << min(l.failures-1, 16)
	d = min(d, l.pool.options.MaxBackoff)
	return d/2 + rand.N(d/2+1)
}

// mapError maps the result of a message to the errors of this package and closes the connection if it failed.
func (l *link) mapError(ctx context.Context, s *clientSession, err error) error {
	var coded *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &coded):
		if coded.Code == codeBusy {
			return newError(nil, ErrBusy, l.address)
		}
		return newError(errors.New(coded.Message), ErrRemote, l.address)
	case errors.Is(err, ErrFrame):
		return err
	case errors.Is(ctx.Err(), context.Canceled):
		return newError(ctx.Err(), ErrLost, l.address)
	}
	l.closeConn(s)
	if errors.Is(err, context.DeadlineExceeded) {
		return newError(nil, ErrTimeout, l.address)
	}
	return newError(err, ErrLost, l.address)
}

// close closes the connection.
func (s *clientSession) close() {
	_ = s.rpc.Close()
	_ = s.conn.Close()
}

// closeConn closes s, or the current connection if s is nil.
func (l *link) closeConn(s *clientSession) {
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

// closeIdle closes the connection if it has had no traffic for IdleTimeout and has no calls in progress. It reports whether
// the link itself has been unused for IdleTimeout and can be removed.
func (l *link) closeIdle(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != nil && len(l.current.slots) == 0 && l.current.conn.idleTime(now) > l.pool.options.IdleTimeout {
		l.current.close()
		l.current = nil
	}
	return l.current == nil && now.Sub(l.lastUse) > l.pool.options.IdleTimeout && len(l.dialLock) == 0
}
