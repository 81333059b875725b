// Package ingress holds what every server of callers needs: connections that are bounded, followed from request to request
// and stopped between two requests, the check of request heads, and the notice that a caller has left.
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

// Options bound the connections of callers.
type Options struct {
	// Connections is the largest number of open connections; ConnectionsPerCaller that of one caller address.
	Connections, ConnectionsPerCaller int
	// BodyIdleTimeout is the longest pause between two parts of a request body, and of an answer that is not taken.
	BodyIdleTimeout time.Duration
	// MinBodyRate is the least rate of a request body in bytes per second. Zero: not checked.
	MinBodyRate float64
	// IdleTimeout returns the longest wait for a request on an open connection. Nil: the server's own bound holds.
	IdleTimeout func() time.Duration
	// HeadTimeout returns the time that a caller has to send a request head. Nil: the server's own bound holds.
	HeadTimeout func() time.Duration
}

// Listener closes connections above a total and above a number for one caller address, and knows the open ones.
type Listener struct {
	net.Listener
	opts Options

	mu       sync.Mutex
	open     map[*Conn]struct{}
	caller   map[string]int
	stopping bool
}

// NewListener returns a listener that admits connections of l.
func NewListener(l net.Listener, o Options) *Listener {
	return &Listener{Listener: l, opts: o, open: map[*Conn]struct{}{}, caller: map[string]int{}}
}

// Accept implements net.Listener.
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
	if l.stopping || len(l.open) >= l.opts.Connections || l.caller[host] >= l.opts.ConnectionsPerCaller {
		return nil
	}
	admitted := &Conn{Conn: c, listener: l, host: host}
	if sc, ok := c.(syscall.Conn); ok {
		admitted.raw, _ = sc.SyscallConn()
	}
	l.open[admitted] = struct{}{}
	l.caller[host]++
	return admitted
}

func (l *Listener) release(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
	l.caller[c.host]--
	if l.caller[c.host] == 0 {
		delete(l.caller, c.host)
	}
}

// Stop ends the connections that wait for a request. Others end with the answer that they are busy with.
func (l *Listener) Stop() {
	l.mu.Lock()
	l.stopping = true
	open := slices.Collect(maps.Keys(l.open))
	l.mu.Unlock()
	for _, c := range open {
		c.stop()
	}
}

// Busy returns the number of connections with a request whose answer is not written to its end.
func (l *Listener) Busy() int {
	l.mu.Lock()
	open := slices.Collect(maps.Keys(l.open))
	l.mu.Unlock()
	return lo.CountBy(open, (*Conn).serving)
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}
