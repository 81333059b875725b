package proxy

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

var connectionsRefused = metrics.NewCounter(`hornbeamway_caller_connections_refused_total`)

// limitedListener closes connections above a total and above a number for one caller address, and knows the open ones.
type limitedListener struct {
	net.Listener
	total, perCaller int
	bodyIdle         time.Duration
	minBodyRate      float64 // bytes per second; 0: not checked

	mu       sync.Mutex
	open     map[*serverConn]struct{}
	caller   map[string]int
	stopping bool
}

func newLimitedListener(l net.Listener, total, perCaller int, bodyIdle time.Duration) *limitedListener {
	return &limitedListener{Listener: l, total: total, perCaller: perCaller, bodyIdle: bodyIdle,
		open: map[*serverConn]struct{}{}, caller: map[string]int{}}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
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

func (l *limitedListener) admit(c net.Conn, host string) *serverConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping || len(l.open) >= l.total || l.caller[host] >= l.perCaller {
		return nil
	}
	admitted := &serverConn{Conn: c, listener: l, host: host}
	if sc, ok := c.(syscall.Conn); ok {
		admitted.raw, _ = sc.SyscallConn()
	}
	l.open[admitted] = struct{}{}
	l.caller[host]++
	return admitted
}

func (l *limitedListener) release(c *serverConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
	l.caller[c.host]--
	if l.caller[c.host] == 0 {
		delete(l.caller, c.host)
	}
}

// stop ends the connections that wait for a request. Others end with the answer that they are busy with.
func (l *limitedListener) stop() {
	l.mu.Lock()
	l.stopping = true
	open := make([]*serverConn, 0, len(l.open))
	for c := range l.open {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		c.stop()
	}
}
