package upstream

import (
	"bufio"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Buffer sizes of a connection, in bytes.
const (
	readBufferSize  = 16 << 10
	writeBufferSize = 4 << 10
)

// conn is one connection with its codec buffers.
type conn struct {
	net.Conn
	host            *host
	reader          *bufio.Reader
	writer          *bufio.Writer
	lastResponse    time.Time // zero until the first response was read to the end
	bytesWritten    int64     // bytes accepted by the kernel in this attempt
	readIdleTimeout time.Duration
	// readDeadline limits all reads while readIdleTimeout is set; zero: no limit.
	readDeadline time.Time
	// remoteKeepAlive is how long the remote side keeps an idle connection open; zero: not stated.
	remoteKeepAlive time.Duration
	noReuse         bool // must not be reused, whatever the response headers allow
	// deadline is the socket's deadline for both directions; meaningful only if deadlineValid. It is cached because setting a
	// deadline costs two timers.
	deadline      time.Time
	deadlineValid bool
	// refused holds the hashes of the ids of the requests that were refused on this connection.
	refused []uint64
}

// maxRefusals is the number of refusals after which a connection is not reused, which bounds conn.refused.
const maxRefusals = 64

// recordRefusal records that a request was refused on this connection. If responses do not name the request, a late copy of the
// refusal could not be told from the response to any later request, so that the connection is not reused.
func (c *conn) recordRefusal(requestID string) {
	if requestID == "" {
		c.noReuse = true
		return
	}
	c.refused = append(c.refused, xxhash.Sum64String(requestID))
	if len(c.refused) >= maxRefusals {
		c.noReuse = true
	}
}

// hasRefused reports whether a request was refused on this connection.
func (c *conn) hasRefused(requestID string) bool {
	return len(c.refused) > 0 && slices.Contains(c.refused, xxhash.Sum64String(requestID))
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if c.deadlineValid && c.deadline.Equal(t) {
		return nil
	}
	err := c.Conn.SetDeadline(t)
	c.deadline, c.deadlineValid = t, err == nil
	return err
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.deadlineValid = false
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn. It counts the bytes that the kernel accepted.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytesWritten += int64(n)
	return n, err
}

// Read implements net.Conn. If readIdleTimeout is set, it limits the wait of each read.
func (c *conn) Read(p []byte) (int, error) {
	if c.readIdleTimeout > 0 {
		deadline := time.Now().Add(c.readIdleTimeout)
		if !c.readDeadline.IsZero() && c.readDeadline.Before(deadline) {
			deadline = c.readDeadline
		}
		if err := c.SetReadDeadline(deadline); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(p)
}

// unusable checks the socket without blocking: an end of stream, an error or unexpected bytes make the connection unusable.
// This detects most connections that the remote side closed while they were idle.
func (c *conn) unusable() bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	closed := true
	_ = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = !errors.Is(err, syscall.EAGAIN)
	})
	return closed
}
