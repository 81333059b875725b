package ingress

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// disconnectPollInterval is how often the connections of calls in progress are checked for an end of stream. fasthttp does not
// read from a connection while its handler runs, so it would detect a disconnect only when it writes the response.
const disconnectPollInterval = 50 * time.Millisecond

// ErrCallerGone is the cause of a context that was cancelled because the caller closed its connection.
var ErrCallerGone = errors.New("caller closed the connection")

// watchedCall is a call in progress whose connection is checked.
type watchedCall struct {
	conn   net.Conn
	cancel context.CancelCauseFunc
}

// DisconnectWatcher cancels the calls of callers that have closed their connections.
type DisconnectWatcher struct {
	mu      sync.Mutex
	watched map[*watchedCall]struct{}
}

// NewDisconnectWatcher returns a DisconnectWatcher without watched connections.
func NewDisconnectWatcher() *DisconnectWatcher {
	return &DisconnectWatcher{watched: map[*watchedCall]struct{}{}}
}

// Watch returns a context that is cancelled when the caller closes c, and a function that stops watching.
func (w *DisconnectWatcher) Watch(parent context.Context, c net.Conn) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(parent)
	call := &watchedCall{conn: c, cancel: cancel}
	w.mu.Lock()
	w.watched[call] = struct{}{}
	w.mu.Unlock()
	return ctx, func() {
		w.mu.Lock()
		delete(w.watched, call)
		w.mu.Unlock()
		cancel(nil)
	}
}

// Run checks all watched connections until ctx ends.
func (w *DisconnectWatcher) Run(ctx context.Context) {
	ticker := time.NewTicker(disconnectPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.check()
		}
	}
}

// check checks the connections without holding the lock. Each call has its own context, so a late cancellation of a call that
// has ended meanwhile cannot affect another call.
func (w *DisconnectWatcher) check() {
	w.mu.Lock()
	watched := make([]*watchedCall, 0, len(w.watched))
	for call := range w.watched {
		watched = append(watched, call)
	}
	w.mu.Unlock()
	for _, call := range watched {
		if closed, _ := Peek(call.conn); closed {
			call.cancel(ErrCallerGone)
		}
	}
}

// Peek reports whether the remote side has closed or reset the connection, and whether it has sent bytes that have not been
// read yet. It does not consume data.
func Peek(c net.Conn) (closed, pending bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true, false
	}
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		case err != nil:
			closed = true
		default:
			closed, pending = n == 0, n > 0
		}
	})
	return closed || err != nil, pending
}
