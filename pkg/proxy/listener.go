package proxy

import (
	"net"
	"sync"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
)

var connectionsRefused = metrics.NewCounter(`hornbeamway_caller_connections_refused_total`)

// limitedListener closes connections above a total and above a number for one caller address.
type limitedListener struct {
	net.Listener
	total, perCaller int

	mu     sync.Mutex
	open   int
	caller map[string]int
}

func newLimitedListener(l net.Listener, total, perCaller int) *limitedListener {
	return &limitedListener{Listener: l, total: total, perCaller: perCaller, caller: map[string]int{}}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		host, _, err := net.SplitHostPort(c.RemoteAddr().String())
		if err != nil || !l.admit(host) {
			connectionsRefused.Inc()
			_ = c.Close()
			continue
		}
		return &limitedConn{Conn: c, listener: l, host: host}, nil
	}
}

func (l *limitedListener) admit(host string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.total || l.caller[host] >= l.perCaller {
		return false
	}
	l.open++
	l.caller[host]++
	return true
}

func (l *limitedListener) release(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	l.caller[host]--
	if l.caller[host] == 0 {
		delete(l.caller, host)
	}
}

// limitedConn gives its place back when it is closed.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	host     string
	once     sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.listener.release(c.host) })
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *limitedConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return sc.SyscallConn()
}
