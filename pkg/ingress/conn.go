package ingress

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits in time and bytes for draining a connection that is closed while the remote side is still sending. Closing it at once
// would reset the connection, and the response in transit could be lost.
const (
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 8 << 20
)

// Conn is a connection from a caller or another entry VM. It tracks where each request begins, limits the pauses within a
// body, and can be stopped while it waits for a request. All methods except stop and isServing run on the connection's
// goroutine.
type Conn struct {
	net.Conn
	listener   *Listener
	callerHost string
	raw        syscall.RawConn // nil if the connection is not a socket
	closeOnce  sync.Once

	head headScanner
	// bytesAfterHead counts the bytes read after the head of the current request.
	bytesAfterHead int64
	// readWait is the total time that reads of the current request's body have waited for the sender.
	readWait time.Duration
	// bodyDeadline limits all reads of the current request's body; zero: no limit.
	bodyDeadline time.Time
	// lingerOnClose is set if the remote side may still be sending when the connection is closed.
	lingerOnClose bool
	// responseDeadline limits all writes of the current response; zero: no limit.
	responseDeadline time.Time

	mu              sync.Mutex
	hasWaited       bool // has waited for a request
	awaitingRequest bool // waiting for the first byte of a request
	servingRequest  bool // from that byte to the last byte of the response
	stopped         bool
}

// Read implements net.Conn. The HTTP library's deadline limits the head as a whole. Within a body the pauses are limited, so that a long
// upload continues as long as it makes progress, and the body as a whole only by SetBodyDeadline.
func (c *Conn) Read(p []byte) (int, error) {
	switch {
	case c.head.done:
		if err := c.SetReadDeadline(c.idleDeadline(c.bodyDeadline)); err != nil {
			return 0, err
		}
	case !c.head.started && !c.beginWaiting():
		return 0, io.EOF
	}
	if err := c.setHeadDeadline(); err != nil {
		return 0, err
	}
	inBody, started := c.head.done, time.Now()
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.recordReceived(p[:n])
	}
	if inBody && err == nil {
		c.readWait += time.Since(started)
		if c.bodyTooSlow() {
			return n, errSlowBody
		}
	}
	return n, err
}

// setHeadDeadline sets the read deadline for the wait for a request, or for the rest of its head, if the listener has a timeout
// for it.
func (c *Conn) setHeadDeadline() error {
	timeout := c.listener.opts.IdleTimeout
	if c.head.started {
		timeout = c.listener.opts.HeadTimeout
	}
	if c.head.done || timeout == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped && c.awaitingRequest {
		return nil
	}
	return c.SetReadDeadline(time.Now().Add(timeout()))
}

// errSlowBody reports a request body that arrives more slowly than Options.MinBodyRate.
var errSlowBody = errors.New("request body arrives too slowly")

// bodyTooSlow reports whether the body arrives below the minimum rate. Only the time spent waiting for the sender counts, so
// that a slow backend server or the pacing of the region link is not attributed to the caller.
func (c *Conn) bodyTooSlow() bool {
	return c.readWait > c.listener.opts.BodyIdleTimeout &&
		float64(c.bytesAfterHead) < c.listener.opts.MinBodyRate*c.readWait.Seconds()
}

// beginWaiting records that the connection waits for a request. It returns false once the connection has been stopped.
func (c *Conn) beginWaiting() bool {
	c.responseDeadline = time.Time{}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasWaited, c.awaitingRequest, c.servingRequest = true, true, false
	return !c.stopped
}

func (c *Conn) recordReceived(p []byte) {
	if !c.head.started {
		c.mu.Lock()
		c.awaitingRequest, c.servingRequest = false, true
		c.mu.Unlock()
	}
	c.bytesAfterHead += int64(len(p) - c.head.scan(p))
}

// stopGrace is the time in which a request that has already arrived is still read from a connection that is stopped.
const stopGrace = 20 * time.Millisecond

// stop ends the connection after stopGrace if it waits for a request, otherwise after the current request. A connection that has just
// been accepted is left alone, like those accepted later: its caller may already have sent a request.
func (c *Conn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasWaited {
		return
	}
	c.stopped = true
	if c.awaitingRequest {
		_ = c.SetReadDeadline(time.Now().Add(stopGrace))
	}
}

// isServing reports whether a request has begun to arrive and its response is not completely written.
func (c *Conn) isServing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servingRequest
}

// SetResponseDeadline limits the time until which the response to the current request can be written.
func (c *Conn) SetResponseDeadline(t time.Time) { c.responseDeadline = t }

// SetBodyDeadline limits the time until which the body of the current request can be read.
func (c *Conn) SetBodyDeadline(t time.Time) { c.bodyDeadline = t }

// SetLinger makes Close drain the connection, because the remote side may still be sending.
func (c *Conn) SetLinger() { c.lingerOnClose = true }

// FullyRead reports whether a body of the given length in bytes was read to its end and no bytes follow it.
func (c *Conn) FullyRead(bodyLength int64) bool {
	if c.bytesAfterHead != bodyLength {
		return false
	}
	_, pending := Peek(c)
	return !pending
}

// ResetRequest resets the state of the current request, so that the next bytes begin a new one.
func (c *Conn) ResetRequest() {
	c.head = headScanner{}
	c.bytesAfterHead, c.readWait = 0, 0
	c.bodyDeadline = time.Time{}
}

// Write implements net.Conn. The write fails if the caller does not accept the data within BodyIdleTimeout, or by the response
// deadline, because the response may hold a slot of a backend server until it has been written.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(c.idleDeadline(c.responseDeadline)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// idleDeadline returns the end of BodyIdleTimeout from now on, or the limit if this is set and earlier.
func (c *Conn) idleDeadline(limit time.Time) time.Time {
	idle := time.Now().Add(c.listener.opts.BodyIdleTimeout)
	if !limit.IsZero() && limit.Before(idle) {
		return limit
	}
	return idle
}

// Close implements net.Conn. It drains the connection first if SetLinger was called. Until then the connection counts as open.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() {
		if c.lingerOnClose {
			c.drain()
		}
		c.listener.release(c)
	})
	return c.Conn.Close()
}

// drain closes the sending direction and discards what the remote side sends, within lingerTimeout and lingerBytes.
func (c *Conn) drain() {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil || tcp.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
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

// scan processes the next bytes and returns how many of them belong to the head.
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
