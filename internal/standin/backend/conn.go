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

// headerEnd separates the header of a response from its body.
var headerEnd = []byte("\r\n\r\n")

// expiredDeadline is a read deadline that ends a pending read immediately.
var expiredDeadline = time.Unix(1, 0)

// conn is a connection with fault injection. Except for the atomic ones, its fields are used only by its serving goroutine.
type conn struct {
	net.Conn
	server *Server
	// silent permanently drops all bytes in both directions.
	silent atomic.Bool
	closed atomic.Bool
	// readAhead is the byte that watchDisconnect has read ahead, valid if hasReadAhead is set.
	readAhead    byte
	hasReadAhead bool
	// idle is set between the response to a work request and the next request.
	idle bool
	// probe is set while the response to a probe is written.
	probe bool
	// receivedBytes counts the bytes of the current request.
	receivedBytes int64
	// bodyBytesLeft is the number of body bytes after which the connection is closed, valid if truncating is set.
	bodyBytesLeft int64
	truncating    bool
	inBody        bool
	// headerTail holds the last bytes written of the header, so that headerEnd is found if it spans several writes.
	headerTail []byte
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.read(p)
	if c.silent.Load() {
		return c.discardInput(err)
	}
	if n > 0 && c.idle {
		if c.server.Faults().CloseKeepAlive {
			_ = c.Close()
			return 0, io.EOF
		}
		c.idle = false
	}
	c.receivedBytes += int64(n)
	return n, err
}

func (c *conn) read(p []byte) (int, error) {
	if c.hasReadAhead && len(p) > 0 {
		p[0], c.hasReadAhead = c.readAhead, false
		return 1, nil
	}
	return c.Conn.Read(p)
}

// discardInput discards all input until the connection ends.
func (c *conn) discardInput(err error) (int, error) {
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
	if !c.truncating {
		return c.Conn.Write(p)
	}
	allowed := c.writableBytes(p)
	n, err := c.Conn.Write(p[:allowed])
	if err == nil && c.inBody && c.bodyBytesLeft == 0 {
		_ = c.Close()
		return n, io.ErrClosedPipe
	}
	return n, err
}

// writableBytes returns how many bytes of p may be written before the body is truncated, and deducts them from
// bodyBytesLeft.
func (c *conn) writableBytes(p []byte) int {
	start := 0
	if !c.inBody {
		joined := append(c.headerTail, p...)
		end := bytes.Index(joined, headerEnd)
		if end < 0 {
			c.headerTail = append([]byte(nil), joined[max(0, len(joined)-len(headerEnd)+1):]...)
			return len(p)
		}
		c.inBody = true
		start = end + len(headerEnd) - len(c.headerTail)
	}
	body := min(int64(len(p)-start), c.bodyBytesLeft)
	c.bodyBytesLeft -= body
	return start + int(body)
}

// truncateBodyAfter closes the connection after n bytes of the body of the next response.
func (c *conn) truncateBodyAfter(n int64) {
	c.truncating, c.bodyBytesLeft, c.inBody, c.headerTail = true, n, false, nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.server.stats.connections.Add(-1)
	}
	return c.Conn.Close()
}

// watchDisconnect reads ahead by one byte while a request is handled, so that a close by the remote side is detected. It
// closes disconnected in that case. stop ends the read and must be called before the connection is read again.
func (c *conn) watchDisconnect() (disconnected <-chan struct{}, stop func()) {
	closed, finished := make(chan struct{}), make(chan struct{})
	if c.hasReadAhead {
		return closed, func() {}
	}
	go func() {
		defer close(finished)
		var b [1]byte
		n, err := c.Conn.Read(b[:])
		switch {
		case n == 1:
			c.readAhead, c.hasReadAhead = b[0], true
		case !errors.Is(err, os.ErrDeadlineExceeded):
			close(closed)
		}
	}()
	return closed, func() {
		_ = c.SetReadDeadline(expiredDeadline)
		<-finished
		_ = c.SetReadDeadline(time.Time{})
	}
}
