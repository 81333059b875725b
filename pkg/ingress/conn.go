package ingress

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds of a connection that is closed while the other side still sends. Closing it at once would reset it, and the
// answer on its way could be lost.
const (
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
)

// Conn is a connection of a caller or another entry VM. It follows where the requests on it begin, bounds the
// pauses within a body, and can be stopped while it waits for a request. All but stop runs on the connection's goroutine.
type Conn struct {
	net.Conn
	listener *Listener
	host     string
	raw      syscall.RawConn // nil if the connection is no socket
	once     sync.Once

	head headScanner
	// behind counts the bytes read behind the head of the current request.
	behind int64
	// blocked is the time for which the body of the current request was waited for.
	blocked time.Duration
	// linger says that the other side may still be sending when the connection is closed.
	linger bool

	mu      sync.Mutex
	waiting bool // for the first byte of a request
	busy    bool // from that byte to the last one of the answer
	stopped bool
}

// Read implements net.Conn. The library's deadline bounds the head as a whole; within a body only the pauses are bounded,
// so that a long upload goes on as long as it makes progress.
func (c *Conn) Read(p []byte) (int, error) {
	switch {
	case c.head.done:
		if err := c.SetReadDeadline(time.Now().Add(c.listener.opts.BodyIdleTimeout)); err != nil {
			return 0, err
		}
	case !c.head.started && !c.wait():
		return 0, io.EOF
	}
	if err := c.boundHead(); err != nil {
		return 0, err
	}
	inBody, started := c.head.done, time.Now()
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received(p[:n])
	}
	if inBody && err == nil {
		c.blocked += time.Since(started)
		if c.bodyTooSlow() {
			return n, errSlowBody
		}
	}
	return n, err
}

// boundHead sets the deadline of the wait for a request, or for the rest of its head, if the listener bounds them.
func (c *Conn) boundHead() error {
	bound := c.listener.opts.IdleTimeout
	if c.head.started {
		bound = c.listener.opts.HeadTimeout
	}
	if c.head.done || bound == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped && c.waiting {
		return nil
	}
	return c.SetReadDeadline(time.Now().Add(bound()))
}

// errSlowBody ends a request whose body arrives more slowly than the limit.
var errSlowBody = errors.New("request body arrives too slowly")

// bodyTooSlow reports a body below the least rate. Only the time spent waiting for the sender counts, so that a slow
// backend server or the pace of the region link is not held against the caller.
func (c *Conn) bodyTooSlow() bool {
	return c.blocked > c.listener.opts.BodyIdleTimeout && float64(c.behind) < c.listener.opts.MinBodyRate*c.blocked.Seconds()
}

// wait notes that the connection waits for a request. It reports false once the connection was stopped.
func (c *Conn) wait() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting, c.busy = true, false
	return !c.stopped
}

func (c *Conn) received(p []byte) {
	if !c.head.started {
		c.mu.Lock()
		c.waiting, c.busy = false, true
		c.mu.Unlock()
	}
	c.behind += int64(len(p) - c.head.scan(p))
}

// stop ends the connection if it waits for a request.
func (c *Conn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	if c.waiting {
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

// serving reports whether a request has begun to arrive whose answer is not written to its end.
func (c *Conn) serving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy
}

// Linger says that the other side may still be sending when the connection is closed.
func (c *Conn) Linger() { c.linger = true }

// EndsAfter reports whether a body of the given length was read to its end and nothing was sent behind it.
func (c *Conn) EndsAfter(bodyLength int64) bool {
	if c.behind != bodyLength {
		return false
	}
	_, pending := Peek(c)
	return !pending
}

// EndRequest begins a new request.
func (c *Conn) EndRequest() {
	c.head = headScanner{}
	c.behind, c.blocked = 0, 0
}

// Write implements net.Conn. A caller that takes nothing for too long loses the connection, because the answer holds a
// slot of a backend server.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.listener.opts.BodyIdleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.once.Do(func() {
		c.listener.release(c)
		if c.linger {
			c.drain()
		}
	})
	return c.Conn.Close()
}

// drain ends the sending side and drops what the other side sends.
func (c *Conn) drain() {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil || tcp.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, tcp, lingerBytes)
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if c.raw == nil {
		return nil, syscall.ENOTSUP
	}
	return c.raw, nil
}

// headScanner finds the empty line that ends a request head.
type headScanner struct {
	started, done bool
	lineLength    int
}

// scan takes the next bytes and returns how many of them belong to the head.
func (s *headScanner) scan(p []byte) int {
	if s.done {
		return 0
	}
	for i, b := range p {
		switch b {
		case '\r':
		case '\n':
			if s.lineLength == 0 && s.started {
				s.done = true
				return i + 1
			}
			s.lineLength = 0
		default:
			s.started = true
			s.lineLength++
		}
	}
	return len(p)
}
