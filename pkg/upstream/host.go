package upstream

import (
	"bufio"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// openConnections is the number of connections to all hosts, including those that are being opened.
var openConnections = metrics.NewGauge(`hornbeamway_upstream_open_connections`, nil)

// host manages the connections to one address.
type host struct {
	address string
	opts    *Options
	limiter *rate.Limiter

	mu        sync.Mutex
	idle      []*conn // most recently used last
	openCount int     // open connections, idle or in use
	// retired is set once the transport has removed this host; a new host then enforces the connection cap and rate.
	retired bool
}

// errRetired reports that a host was removed from the transport between its look-up and its use.
var errRetired = errors.New("host was removed from the transport")

func newHost(address string, opts *Options) *host {
	limit := rate.Inf
	if opts.NewConnRate > 0 {
		limit = rate.Limit(opts.NewConnRate)
	}
	return &host{address: address, opts: opts, limiter: rate.NewLimiter(limit, opts.NewConnBurst)}
}

// get returns an idle connection suitable for the attempt, or opens a new one.
func (h *host) get(ctx context.Context, a Attempt) (*conn, error) {
	if c := h.takeIdle(a); c != nil {
		c.bytesWritten = 0
		return c, nil
	}
	wait, err := h.reserve()
	if err != nil {
		return nil, err
	}
	c, err := h.open(ctx, a.Deadline, wait)
	if err != nil {
		h.cancelReservation()
		return nil, err
	}
	return c, nil
}

// open dials a connection after the given wait.
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

// takeIdle removes and returns the most recently used idle connection that is suitable for the attempt, or nil if there is none.
// A non-idempotent request needs a connection with a recent response: if the remote side has stopped responding or is closing
// the connection, the outcome of the request would be unknown.
func (h *host) takeIdle(a Attempt) *conn {
	now := h.opts.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.idle) - 1; i >= 0; i-- {
		c := h.idle[i]
		if now.Sub(c.lastResponse) > h.maxIdle(c, a.Idempotent) {
			// The other connections were used even less recently, so none of them is suitable either.
			return nil
		}
		if c.hasRefused(a.RequestID) {
			continue
		}
		h.idle = slices.Delete(h.idle, i, i+1)
		if !c.unusable() {
			return c
		}
		h.closeLocked(c)
	}
	return nil
}

// hasIdle reports whether the most recently used idle connection is recent enough for a request.
func (h *host) hasIdle(idempotent bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.idle) == 0 {
		return false
	}
	newest := h.idle[len(h.idle)-1]
	return h.opts.Clock.Now().Sub(newest.lastResponse) <= h.maxIdle(newest, idempotent)
}

// keepAliveMargin is subtracted from the keep-alive time of the remote side, so that no request is sent while the remote side
// closes the connection.
const keepAliveMargin = time.Second

// maxIdle returns the maximum age of the last response at which a connection may still carry a request.
func (h *host) maxIdle(c *conn, idempotent bool) time.Duration {
	limit := h.opts.IdleTimeout
	if !idempotent {
		limit = h.opts.NonIdempotentIdleTimeout
	}
	if c.remoteKeepAlive > 0 {
		limit = min(limit, max(c.remoteKeepAlive-keepAliveMargin, c.remoteKeepAlive/2))
	}
	return limit
}

// maxConnRateWait is the longest time a request waits for the rate limit of new connections. It covers a burst of connections
// closed together, for example by calls that timed out; instead of waiting longer, the request should try another server.
const maxConnRateWait = 100 * time.Millisecond

// reserve counts a new connection against the connection cap and the rate limit of the address and returns how long to wait
// before dialling. When the cap is reached, the least recently used idle connection, which is not suitable for the request,
// is closed to make room.
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
	if h.openCount >= limit && len(h.idle) > 0 {
		oldest := h.idle[0]
		h.idle = h.idle[1:]
		h.closeLocked(oldest)
	}
	if h.openCount >= limit {
		return 0, ErrConnectionLimit
	}
	now := h.opts.Clock.Now()
	reservation := h.limiter.ReserveN(now, 1)
	wait = reservation.DelayFrom(now)
	if wait > maxConnRateWait {
		reservation.CancelAt(now)
		return 0, ErrConnectionRateLimit
	}
	h.openCount++
	openConnections.Inc()
	return wait, nil
}

// cancelReservation undoes reserve after a failed dial.
func (h *host) cancelReservation() {
	h.mu.Lock()
	h.openCount--
	h.mu.Unlock()
	openConnections.Dec()
}

func (h *host) dial(ctx context.Context, deadline time.Time) (*conn, error) {
	if !deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	c, err := h.opts.Dial(ctx, h.address)
	if err != nil {
		return nil, err
	}
	wrapped := &conn{Conn: c, host: h}
	wrapped.reader = bufio.NewReaderSize(wrapped, readBufferSize)
	wrapped.writer = bufio.NewWriterSize(wrapped, writeBufferSize)
	return wrapped, nil
}

// put adds a connection whose response was read to the end to the idle connections. It leaves the socket's deadline unchanged,
// because the next attempt sets its own.
func (h *host) put(c *conn) {
	c.lastResponse = h.opts.Clock.Now()
	c.readIdleTimeout, c.readDeadline = 0, time.Time{}
	if c.reader.Buffered() > 0 {
		h.discard(c)
		return
	}
	h.mu.Lock()
	h.idle = append(h.idle, c)
	h.mu.Unlock()
}

// discard closes a connection that is in use.
func (h *host) discard(c *conn) {
	h.mu.Lock()
	h.closeLocked(c)
	h.mu.Unlock()
}

// closeLocked closes a connection. The caller holds the lock.
func (h *host) closeLocked(c *conn) {
	h.openCount--
	openConnections.Dec()
	_ = c.Close()
}

// closeIdle closes the idle connections whose last response is older than cutoff. A zero cutoff closes all.
func (h *host) closeIdle(cutoff time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	kept := h.idle[:0]
	for _, c := range h.idle {
		if cutoff.IsZero() || c.lastResponse.Before(cutoff) {
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
	return h.openCount
}

// retire marks a host without open connections as no longer usable and reports whether it did so.
func (h *host) retire() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.retired = h.openCount == 0
	return h.retired
}
