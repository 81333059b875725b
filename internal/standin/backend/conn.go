package backend

import (
	"bytes"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// headEnd separates the head of an answer from its body.
var headEnd = []byte("\r\n\r\n")

// past is a read deadline that ends a pending read at once.
var past = time.Unix(1, 0)

// conn is a connection on which faults can be played. Apart from silent it is used by its serving goroutine only.
type conn struct {
	net.Conn
	server *Server
	// silent stops all bytes in both directions for good.
	silent atomic.Bool
	closed atomic.Bool
	// pending is a byte that the watch read ahead, if hasPending.
	pending    byte
	hasPending bool
	// idle is set between the answer to a work request and the next request.
	idle bool
	// probe is set while the answer to a probe is written.
	probe bool
	// received counts the bytes of the current request.
	received int64
	// cut is the number of body bytes after which the connection is closed, if cutting.
	cut     int64
	cutting bool
	inBody  bool
	// head holds the end of what was written of the head, to find its end across writes.
	head []byte
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.read(p)
	if c.silent.Load() {
		return c.discard(err)
	}
	if n > 0 && c.idle {
		if c.server.Faults().CloseKeepAlive {
			_ = c.Close()
			return 0, io.EOF
		}
		c.idle = false
	}
	c.received += int64(n)
	return n, err
}

func (c *conn) read(p []byte) (int, error) {
	if c.hasPending && len(p) > 0 {
		p[0], c.hasPending = c.pending, false
		return 1, nil
	}
	return c.Conn.Read(p)
}

// discard drops what the peer sends until the connection ends.
func (c *conn) discard(err error) (int, error) {
	if err == nil {
		_, err = io.Copy(io.Discard, c.Conn)
	}
	if err == nil {
		err = io.EOF
	}
	return 0, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	if c.probe {
		c.server.stats.probeBytes.Add(int64(len(p)))
	}
	if !c.cutting {
		return c.Conn.Write(p)
	}
	allowed := c.allowed(p)
	n, err := c.Conn.Write(p[:allowed])
	if err == nil && c.inBody && c.cut == 0 {
		_ = c.Close()
		return n, io.ErrClosedPipe
	}
	return n, err
}

// allowed returns how much of p may be written before the cut, and counts it.
func (c *conn) allowed(p []byte) int {
	start := 0
	if !c.inBody {
		joined := append(c.head, p...)
		end := bytes.Index(joined, headEnd)
		if end < 0 {
			c.head = append([]byte(nil), joined[max(0, len(joined)-len(headEnd)+1):]...)
			return len(p)
		}
		c.inBody = true
		start = end + len(headEnd) - len(c.head)
	}
	body := min(int64(len(p)-start), c.cut)
	c.cut -= body
	return start + int(body)
}

// cutAfter closes the connection after n bytes of the body of the answer that comes next.
func (c *conn) cutAfter(n int64) { c.cutting, c.cut, c.inBody, c.head = true, n, false, nil }

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.server.stats.connections.Add(-1)
	}
	return c.Conn.Close()
}

// watch reads ahead while a request is handled, so that a peer that closes is noticed. stop ends it; it must be called
// before the connection is read again.
func (c *conn) watch() (gone <-chan struct{}, stop func()) {
	ended, finished := make(chan struct{}), make(chan struct{})
	if c.hasPending {
		return ended, func() {}
	}
	go func() {
		defer close(finished)
		var b [1]byte
		n, err := c.Conn.Read(b[:])
		switch {
		case n == 1:
			c.pending, c.hasPending = b[0], true
		case !errors.Is(err, os.ErrDeadlineExceeded):
			close(ended)
		}
	}()
	return ended, func() {
		_ = c.SetReadDeadline(past)
		<-finished
		_ = c.SetReadDeadline(time.Time{})
	}
}
