package proxy

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// disconnectPollInterval is how often the connections of waiting callers are checked for an end of stream. fasthttp does
// not read from a connection while its handler runs, so it would notice only when it writes the answer.
const disconnectPollInterval = 50 * time.Millisecond

// errCallerGone is the cause of a context that ended because the caller closed its connection.
var errCallerGone = errors.New("caller closed the connection")

// watch is one waiting call.
type watch struct {
	conn   net.Conn
	cancel context.CancelCauseFunc
}

// disconnectWatcher cancels the calls of callers that have closed their connections.
type disconnectWatcher struct {
	add    chan *watch
	remove chan *watch
	done   chan struct{}
}

// watchQueue is the capacity of the channels to the watcher. A call that finds them full is not watched.
const watchQueue = 1024

func newDisconnectWatcher() *disconnectWatcher {
	return &disconnectWatcher{
		add:    make(chan *watch, watchQueue),
		remove: make(chan *watch, watchQueue),
		done:   make(chan struct{}),
	}
}

// watch returns a context that is cancelled when the caller closes c, and a function that ends the watch.
func (d *disconnectWatcher) watch(parent context.Context, c net.Conn) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(parent)
	w := &watch{conn: c, cancel: cancel}
	select {
	case d.add <- w:
	default:
		return ctx, func() { cancel(nil) }
	}
	return ctx, func() {
		cancel(nil)
		select {
		case d.remove <- w:
		case <-d.done:
		}
	}
}

// run checks all watched connections until ctx ends.
func (d *disconnectWatcher) run(ctx context.Context) {
	defer close(d.done)
	ticker := time.NewTicker(disconnectPollInterval)
	defer ticker.Stop()
	watched := map[*watch]bool{}
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-d.add:
			watched[w] = true
		case w := <-d.remove:
			// The channels are not ordered against each other, so the addition may still be queued.
			if !watched[w] {
				d.drainAdditions(watched)
			}
			delete(watched, w)
		case <-ticker.C:
			for w := range watched {
				if peerClosed(w.conn) {
					w.cancel(errCallerGone)
				}
			}
		}
	}
}

func (d *disconnectWatcher) drainAdditions(watched map[*watch]bool) {
	for {
		select {
		case w := <-d.add:
			watched[w] = true
		default:
			return
		}
	}
}

// peerClosed reports whether the other side has ended or reset the connection. It does not consume data.
func peerClosed(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		case err != nil:
			closed = true
		default:
			closed = n == 0
		}
	})
	return closed || err != nil
}
