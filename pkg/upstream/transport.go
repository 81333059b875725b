// Package upstream sends one request over one connection to a backend server or another entry VM and reads the response.
//
// It never retries. A connection carries one request at a time and returns to the idle connections only after its
// response was read to the end, so that a late response cannot reach another caller. The HTTP codec is fasthttp's; this
// package manages the connections itself because the library's client retries on its own and hides which connection it used.
package upstream

import (
	"cmp"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
)

// Errors of the transport, returned in Error.Cause.
var (
	// ErrConnectionLimit reports that the connection cap of the address has been reached.
	ErrConnectionLimit = errors.New("connection limit of the address reached")
	// ErrConnectionRateLimit reports that opening a connection would exceed the rate limit of new connections to the address.
	ErrConnectionRateLimit = errors.New("rate of new connections exceeded")
	// ErrSwitchingProtocols reports a response with status 101, which is not supported.
	ErrSwitchingProtocols = errors.New("protocol upgrade is not supported")
)

// Options are the settings of a Transport.
type Options struct {
	// Clock is the source of time. Default: the system clock.
	Clock clock.Clock
	// Dial opens a connection to an address. Default: TCP, with DialTimeout and UserTimeout.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// DialTimeout limits the time for opening a connection. Default 1s.
	DialTimeout time.Duration
	// IdleTimeout is the time after which an unused connection is closed. Default 10s.
	IdleTimeout time.Duration
	// NonIdempotentIdleTimeout is the maximum age of the last response at which a connection may still carry a
	// non-idempotent request. Default 1s.
	NonIdempotentIdleTimeout time.Duration
	// UserTimeout is TCP_USER_TIMEOUT: how long written bytes may remain unacknowledged. Default 2s.
	UserTimeout time.Duration
	// BodyIdleTimeout is the longest pause between two reads of a response body. Default 30s.
	BodyIdleTimeout time.Duration
	// MaxConns returns the connection cap of an address; 0 allows none. Nil: no cap.
	MaxConns func(address string) int
	// NewConnRate is the number of new connections per second to one address. Default: no limit.
	NewConnRate float64
	// NewConnBurst is the number of new connections that may be opened at once. Default 4.
	NewConnBurst int
}

// Defaults of Options.
const (
	defaultDialTimeout              = time.Second
	defaultIdleTimeout              = 10 * time.Second
	defaultNonIdempotentIdleTimeout = time.Second
	defaultUserTimeout              = 2 * time.Second
	defaultBodyIdleTimeout          = 30 * time.Second
	defaultNewConnBurst             = 4
)

func (o *Options) setDefaults() {
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	o.DialTimeout = cmp.Or(o.DialTimeout, defaultDialTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, defaultIdleTimeout)
	o.NonIdempotentIdleTimeout = cmp.Or(o.NonIdempotentIdleTimeout, defaultNonIdempotentIdleTimeout)
	o.UserTimeout = cmp.Or(o.UserTimeout, defaultUserTimeout)
	o.BodyIdleTimeout = cmp.Or(o.BodyIdleTimeout, defaultBodyIdleTimeout)
	o.NewConnBurst = cmp.Or(o.NewConnBurst, defaultNewConnBurst)
	if o.Dial == nil {
		o.Dial = o.dialTCP
	}
}

// dialTCP is the default of Dial. It sets TCP_USER_TIMEOUT, so that the kernel closes a connection whose remote side stops acknowledging
// data instead of retransmitting for minutes.
func (o *Options) dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: o.DialTimeout, Control: func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(o.UserTimeout.Milliseconds()))
		})
		return errors.CombineErrors(err, setErr)
	}}
	return dialer.DialContext(ctx, "tcp", address)
}

// Attempt describes one try of a request.
type Attempt struct {
	// Address is the IP and port to send to.
	Address string
	// Idempotent requests may use any idle connection; others use only a connection with a recent response, or a new one.
	Idempotent bool
	// Deadline limits the attempt until the response head, and a body that is not streamed, have been read. Zero: none.
	Deadline time.Time
	// FirstByteTimeout limits the wait for the first byte of the response. Zero: only Deadline applies.
	FirstByteTimeout time.Duration
	// BeforeWrite is called right before the first byte is written. If it fails, the attempt fails and nothing is written.
	BeforeWrite func() error
	// RequestID is the id by which responses name the request; empty if they do not. A request is not sent on a connection on which
	// it was refused: a late copy of the refusal would name it, too. Without an id, a connection is not reused after a refusal.
	// Classify recognizes a refusal.
	RequestID string
	// Classify returns how a response relates to the request. Nil: every response is accepted. It is called as soon as the head of
	// a response has arrived, for a request with a body stream on another goroutine while the body is still being written. It has
	// returned before RoundTrip returns.
	Classify func(h *fasthttp.ResponseHeader) Verdict
}

// Verdict is how a response relates to the request that waits for one on its connection.
type Verdict uint8

// The verdicts.
const (
	// Accepted is a response to the request.
	Accepted Verdict = iota
	// Refused is a response to the request which states that the request was not run, so that it may be sent again.
	Refused
	// Foreign is a response to another request, such as a late second response to an earlier one. It is read and dropped, and the
	// connection is not reused.
	Foreign
)

// Transport sends requests and pools idle connections per address. It is safe for concurrent use.
type Transport struct {
	opts  Options
	mu    sync.Mutex
	hosts map[string]*host
}

// NewTransport returns a Transport with the given options; zero values are replaced by the defaults.
func NewTransport(opts Options) *Transport {
	t := &Transport{opts: opts, hosts: map[string]*host{}}
	t.opts.setDefaults()
	return t
}

// RoundTrip sends req and reads the response into resp. A body of more than maxBufferedBody bytes, or of unknown length, is set
// as a body stream on resp; closing it (fasthttp.Response.CloseBodyStream) releases the connection. Every error is an *Error.
func (t *Transport) RoundTrip(ctx context.Context, a Attempt, req *fasthttp.Request, resp *fasthttp.Response) error {
	c, err := t.getConn(ctx, a)
	if err != nil {
		return &Error{Address: a.Address, Stage: StageConnect, Timeout: isTimeout(err), Cancelled: ctx.Err() != nil, Cause: err}
	}
	x := exchange{conn: c, attempt: a, req: req, resp: resp, bodyIdleTimeout: t.opts.BodyIdleTimeout, isHead: req.Header.IsHead()}
	if err := x.run(ctx); err != nil {
		c.host.discard(c)
		return err
	}
	return nil
}

// getConn returns a connection suitable for the attempt. It looks up the host again if CloseExpired has just removed it.
func (t *Transport) getConn(ctx context.Context, a Attempt) (*conn, error) {
	for {
		c, err := t.hostFor(a.Address).get(ctx, a)
		if !errors.Is(err, errRetired) {
			return c, err
		}
	}
}

// HasIdle reports whether an idle connection to address is suitable for a request.
func (t *Transport) HasIdle(address string, idempotent bool) bool {
	t.mu.Lock()
	h, ok := t.hosts[address]
	t.mu.Unlock()
	return ok && h.hasIdle(idempotent)
}

// CloseIdle closes all idle connections to address.
func (t *Transport) CloseIdle(address string) {
	t.hostFor(address).closeIdle(time.Time{})
}

// CloseExpired closes connections that have been idle for longer than the idle timeout and removes the records of addresses
// without open connections. It must be called periodically.
func (t *Transport) CloseExpired() {
	cutoff := t.opts.Clock.Now().Add(-t.opts.IdleTimeout)
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, h := range t.hosts {
		h.closeIdle(cutoff)
		if h.retire() {
			delete(t.hosts, address)
		}
	}
}

// OpenConnections returns the number of open connections to address.
func (t *Transport) OpenConnections(address string) int {
	return t.hostFor(address).connections()
}

func (t *Transport) hostFor(address string) *host {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.hosts[address]
	if !ok {
		h = newHost(address, &t.opts)
		t.hosts[address] = h
	}
	return h
}
