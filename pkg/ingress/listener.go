// Package ingress handles incoming connections for every server that accepts callers: it limits connections, tracks their
// requests, stops them between two requests, validates request heads, and detects that a caller has disconnected.
package ingress

import (
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/samber/lo"
)

var connectionsRefused = metrics.NewCounter(`hornbeamway_caller_connections_refused_total`)

// Options are the limits of incoming connections.
type Options struct {
	// Connections is the maximum number of open connections; ConnectionsPerCaller is the maximum for one caller address.
	Connections, ConnectionsPerCaller int
	// BodyIdleTimeout is the longest pause between two reads of a request body, and the longest time that a write of a response
	// may block.
	BodyIdleTimeout time.Duration
	// MinBodyRate is the minimum rate of a request body in bytes per second. Zero: not checked.
	MinBodyRate float64
	// IdleTimeout returns the longest wait for a request on an open connection. Nil: the HTTP server's own timeout applies.
	IdleTimeout func() time.Duration
	// HeadTimeout returns the time that a caller has to send a request head. Nil: the HTTP server's own timeout applies.
	HeadTimeout func() time.Duration
}

// Listener limits the total number of connections and the number for each caller address, and tracks the open ones. It closes
// connections above a limit.
type Listener struct {
	net.Listener
	opts Options

	mu        sync.Mutex
	open      map[*Conn]struct{}
	perCaller map[string]int
	// admittedAt is when the last connection was admitted.
	admittedAt time.Time
}

// NewListener returns a Listener that accepts connections from l within the limits of o. A temporary error of l does not end it.
func NewListener(l net.Listener, o Options) *Listener {
	return &Listener{Listener: RetryAccept(l), opts: o, open: map[*Conn]struct{}{}, perCaller: map[string]int{}}
}

// Accept implements net.Listener. It closes and counts refused connections and waits for one within the limits.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		host, _, err := net.SplitHostPort(c.RemoteAddr().String())
		if err == nil {
			if admitted := l.admit(c, host); admitted != nil {
				return admitted, nil
			}
		}
		connectionsRefused.Inc()
		_ = c.Close()
	}
}

func (l *Listener) admit(c net.Conn, host string) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.opts.Connections || l.perCaller[host] >= l.opts.ConnectionsPerCaller {
		return nil
	}
	admitted := &Conn{Conn: c, listener: l, callerHost: host}
	if sc, ok := c.(syscall.Conn); ok {
		admitted.raw, _ = sc.SyscallConn()
	}
	l.open[admitted] = struct{}{}
	l.perCaller[host]++
	l.admittedAt = time.Now()
	return admitted
}

func (l *Listener) release(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
	l.perCaller[c.callerHost]--
	if l.perCaller[c.callerHost] == 0 {
		delete(l.perCaller, c.callerHost)
	}
}

// Stop ends the connections that wait for a request. Others end after the response in progress. New ones are still admitted: a
// connection that is closed at once would reset a caller that has already sent its request.
func (l *Listener) Stop() {
	l.mu.Lock()
	open := slices.Collect(maps.Keys(l.open))
	l.mu.Unlock()
	for _, c := range open {
		c.stop()
	}
}

// Serving returns the number of connections with a request whose response is not completely written.
func (l *Listener) Serving() int {
	l.mu.Lock()
	open := slices.Collect(maps.Keys(l.open))
	l.mu.Unlock()
	return lo.CountBy(open, (*Conn).isServing)
}

// QuietFor returns the time since the last connection was admitted.
func (l *Listener) QuietFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.admittedAt)
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}
