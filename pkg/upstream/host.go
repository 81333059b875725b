package upstream

import (
	"bufio"
	"context"
	"math"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"
)

// Buffer sizes of a connection, in bytes.
const (
	readBufferSize  = 16 << 10
	writeBufferSize = 4 << 10
)

// conn is one connection and the codec buffers on it.
type conn struct {
	net.Conn
	host       *host
	reader     *bufio.Reader
	writer     *bufio.Writer
	lastAnswer time.Time // zero until the first answer was read to the end
	written    int64     // bytes accepted by the kernel in this attempt
	idleLimit  time.Duration
	// keptFor is how long the other side keeps the connection open without a request; zero: not told.
	keptFor time.Duration
	broken  bool // not to be used again, whatever the answer says
	// deadline is the socket's deadline for both directions, if deadlineKnown. To set it again would cost two timers.
	deadline      time.Time
	deadlineKnown bool
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if c.deadlineKnown && c.deadline.Equal(t) {
		return nil
	}
	err := c.Conn.SetDeadline(t)
	c.deadline, c.deadlineKnown = t, err == nil
	return err
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.deadlineKnown = false
	return c.Conn.SetReadDeadline(t)
}

// Write counts the bytes that the kernel accepted.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// Read bounds the pause between two reads once idleLimit is set.
func (c *conn) Read(p []byte) (int, error) {
	if c.idleLimit > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.idleLimit)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(p)
}

// host keeps the connections to one address.
type host struct {
	address string
	opts    *Options
	limiter *rate.Limiter

	mu    sync.Mutex
	idle  []*conn // most recently used last
	count int     // open connections, idle or in use
	// retired says that the transport has forgotten this host, so that the cap and the rate are kept by another one.
	retired bool
}

// errRetired reports a host that was forgotten between its look-up and its use.
var errRetired = errors.New("host was forgotten")

func newHost(address string, opts *Options) *host {
	limit := rate.Inf
	if opts.NewConnRate > 0 {
		limit = rate.Limit(opts.NewConnRate)
	}
	return &host{address: address, opts: opts, limiter: rate.NewLimiter(limit, opts.NewConnBurst)}
}

// get returns an idle connection that suits the attempt, or makes a new one.
func (h *host) get(ctx context.Context, a Attempt) (*conn, error) {
	if c := h.takeIdle(a.Idempotent); c != nil {
		c.written = 0
		return c, nil
	}
	wait, err := h.reserve()
	if err != nil {
		return nil, err
	}
	c, err := h.open(ctx, a.Deadline, wait)
	if err != nil {
		h.release()
		return nil, err
	}
	return c, nil
}

// open makes a connection after the given wait.
func (h *host) open(ctx context.Context, deadline time.Time, wait time.Duration) (*conn, error) {
	if wait > 0 {
		select {
		case <-h.opts.Clock.After(wait):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return h.dial(ctx, deadline)
}

// takeIdle takes the most recently used connection. A non-idempotent request needs one that answered recently, because
// a connection that has gone silent or is being closed would leave its outcome unknown.
func (h *host) takeIdle(idempotent bool) *conn {
	now := h.opts.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.idle) > 0 {
		last := len(h.idle) - 1
		c := h.idle[last]
		if now.Sub(c.lastAnswer) > h.maxIdle(c, idempotent) {
			// Older connections lie below the newest, so none of the others suits either.
			return nil
		}
		h.idle = h.idle[:last]
		if !c.closedByPeer() {
			return c
		}
		h.closeLocked(c)
	}
	return nil
}

// hasIdle reports whether the newest idle connection is recent enough.
func (h *host) hasIdle(idempotent bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.idle) == 0 {
		return false
	}
	newest := h.idle[len(h.idle)-1]
	return h.opts.Clock.Now().Sub(newest.lastAnswer) <= h.maxIdle(newest, idempotent)
}

// closeMargin is taken off the time for which the other side keeps a connection, so that a request does not cross its close.
const closeMargin = time.Second

// maxIdle is the age of the last answer up to which a connection may carry a request.
func (h *host) maxIdle(c *conn, idempotent bool) time.Duration {
	limit := h.opts.IdleTimeout
	if !idempotent {
		limit = h.opts.FreshTimeout
	}
	if c.keptFor > 0 {
		limit = min(limit, max(c.keptFor-closeMargin, c.keptFor/2))
	}
	return limit
}

// closedByPeer looks at the socket without blocking: an end of stream, an error or unexpected bytes make the connection
// unusable. This finds most connections that the other side closed while they were idle.
func (c *conn) closedByPeer() bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
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

// maxPaceWait is the longest wait of a request for its new connection. It covers a burst of connections that were closed
// together, for example by calls that timed out; a longer wait is better spent on another server.
const maxPaceWait = 100 * time.Millisecond

// reserve counts a new connection against the cap and the rate of the address and returns how long to wait before it may
// be made. When the cap is reached an idle
// connection that does not suit the request makes room.
func (h *host) reserve() (wait time.Duration, err error) {
	limit := math.MaxInt
	if h.opts.MaxConns != nil {
		limit = h.opts.MaxConns(h.address)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.retired {
		return 0, errRetired
	}
	if h.count >= limit && len(h.idle) > 0 {
		oldest := h.idle[0]
		h.idle = h.idle[1:]
		h.closeLocked(oldest)
	}
	if h.count >= limit {
		return 0, ErrConnectionLimit
	}
	now := h.opts.Clock.Now()
	slot := h.limiter.ReserveN(now, 1)
	wait = slot.DelayFrom(now)
	if wait > maxPaceWait {
		slot.CancelAt(now)
		return 0, ErrPaced
	}
	h.count++
	return wait, nil
}

func (h *host) release() {
	h.mu.Lock()
	h.count--
	h.mu.Unlock()
}

func (h *host) dial(ctx context.Context, deadline time.Time) (*conn, error) {
	dialer := net.Dialer{Timeout: h.opts.DialTimeout, Deadline: deadline, Control: h.setUserTimeout}
	c, err := dialer.DialContext(ctx, "tcp", h.address)
	if err != nil {
		return nil, err
	}
	wrapped := &conn{Conn: c, host: h}
	wrapped.reader = bufio.NewReaderSize(wrapped, readBufferSize)
	wrapped.writer = bufio.NewWriterSize(wrapped, writeBufferSize)
	return wrapped, nil
}

// setUserTimeout makes the kernel give up a connection whose peer no longer acknowledges, instead of retransmitting for
// minutes.
func (h *host) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(h.opts.UserTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, setErr)
}

// put returns a connection whose answer was read to the end. Its deadline stays, because the next attempt sets its own.
func (h *host) put(c *conn) {
	c.lastAnswer = h.opts.Clock.Now()
	c.idleLimit = 0
	if c.reader.Buffered() > 0 {
		h.discard(c)
		return
	}
	h.mu.Lock()
	h.idle = append(h.idle, c)
	h.mu.Unlock()
}

func (h *host) discard(c *conn) {
	h.mu.Lock()
	h.closeLocked(c)
	h.mu.Unlock()
}

func (h *host) closeLocked(c *conn) {
	h.count--
	_ = c.Close()
}

// closeIdle closes the idle connections whose last answer is older than cutoff. A zero cutoff closes all.
func (h *host) closeIdle(cutoff time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	kept := h.idle[:0]
	for _, c := range h.idle {
		if cutoff.IsZero() || c.lastAnswer.Before(cutoff) {
			h.closeLocked(c)
			continue
		}
		kept = append(kept, c)
	}
	clear(h.idle[len(kept):])
	h.idle = kept
}

func (h *host) connections() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.count
}

// retire ends the use of a host without connections.
func (h *host) retire() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.retired = h.count == 0
	return h.retired
}
