// Package upstream sends one request over one connection to a backend server or another entry VM and reads the answer.
//
// It never retries. A connection carries one request at a time and returns to the idle connections only after its
// answer was read to the end, so that a late answer cannot reach another caller. The HTTP codec is fasthttp's; the
// connections are kept here because the library's client retries on its own and hides which connection it used.
package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
)

// Errors of the transport, found in Error.Cause.
var (
	// ErrConnectionLimit reports that the connection cap of the address is reached.
	ErrConnectionLimit = errors.New("connection limit of the address reached")
	// ErrPaced reports that a new connection would exceed the rate of new connections to the address.
	ErrPaced = errors.New("rate of new connections exceeded")
	// ErrSwitchingProtocols reports an answer with status 101, which is not supported.
	ErrSwitchingProtocols = errors.New("protocol upgrade is not supported")
)

// Options are the settings of a Transport.
type Options struct {
	// Clock is the source of time. Default: the system's.
	Clock clock.Clock
	// DialTimeout bounds the making of a connection. Default 1s.
	DialTimeout time.Duration
	// IdleTimeout is the time after which an unused connection is closed. Default 10s.
	IdleTimeout time.Duration
	// FreshTimeout is the age of the last answer up to which a connection may carry a non-idempotent request. Default 1s.
	FreshTimeout time.Duration
	// UserTimeout is TCP_USER_TIMEOUT: how long written bytes may stay unacknowledged. Default 2s.
	UserTimeout time.Duration
	// BodyIdleTimeout is the longest pause between two parts of an answer. Default 30s.
	BodyIdleTimeout time.Duration
	// MaxConns returns the connection cap of an address; 0 allows none. Nil: no cap.
	MaxConns func(address string) int
	// NewConnRate is the number of new connections per second to one address. Default: no limit.
	NewConnRate float64
	// NewConnBurst is the number of new connections that may be made at once. Default 4.
	NewConnBurst int
}

// Defaults of Options.
const (
	defaultDialTimeout     = time.Second
	defaultIdleTimeout     = 10 * time.Second
	defaultFreshTimeout    = time.Second
	defaultUserTimeout     = 2 * time.Second
	defaultBodyIdleTimeout = 30 * time.Second
	defaultNewConnBurst    = 4
)

func (o *Options) setDefaults() {
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&o.DialTimeout, defaultDialTimeout}, {&o.IdleTimeout, defaultIdleTimeout}, {&o.FreshTimeout, defaultFreshTimeout},
		{&o.UserTimeout, defaultUserTimeout}, {&o.BodyIdleTimeout, defaultBodyIdleTimeout},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	if o.NewConnBurst == 0 {
		o.NewConnBurst = defaultNewConnBurst
	}
}

// Attempt describes one try of a request.
type Attempt struct {
	// Address is the IP and port to send to.
	Address string
	// Idempotent requests may use any idle connection; others only one that answered recently, or a new one.
	Idempotent bool
	// Deadline ends the attempt until the head of the answer, and a body that is not streamed, were read. Zero: none.
	Deadline time.Time
	// FirstByteTimeout bounds the wait for the first byte of the answer. Zero: only Deadline.
	FirstByteTimeout time.Duration
	// BeforeWrite is called right before the first byte is written. An error ends the attempt as not written.
	BeforeWrite func() error
	// Expects reports whether an answer belongs to this request. Answers that do not, such as a late second answer to an
	// earlier request, are read and dropped, and the connection is not used again. Nil: every answer is expected.
	Expects func(h *fasthttp.ResponseHeader) bool
}

// Transport keeps idle connections per address. It is safe for concurrent use.
type Transport struct {
	opts  Options
	mu    sync.Mutex
	hosts map[string]*host
}

// NewTransport returns a Transport.
func NewTransport(opts Options) *Transport {
	opts.setDefaults()
	return &Transport{opts: opts, hosts: map[string]*host{}}
}

// RoundTrip sends req and reads the answer into resp. A body of more than smallBody bytes, or of unknown length, is left
// as a stream in resp; closing it (fasthttp.Response.CloseBodyStream) gives the connection back. Every error is an *Error.
func (t *Transport) RoundTrip(ctx context.Context, a Attempt, req *fasthttp.Request, resp *fasthttp.Response) error {
	c, err := t.connection(ctx, a)
	if err != nil {
		return &Error{Address: a.Address, Stage: StageConnect, Timeout: isTimeout(err), Cancelled: ctx.Err() != nil, Cause: err}
	}
	x := exchange{conn: c, attempt: a, req: req, resp: resp, bodyIdle: t.opts.BodyIdleTimeout}
	if err := x.run(ctx); err != nil {
		c.host.discard(c)
		return err
	}
	return nil
}

// connection returns a connection that suits the attempt.
func (t *Transport) connection(ctx context.Context, a Attempt) (*conn, error) {
	for {
		c, err := t.host(a.Address).get(ctx, a)
		if !errors.Is(err, errRetired) {
			return c, err
		}
	}
}

// HasIdle reports whether an idle connection to address suits a request.
func (t *Transport) HasIdle(address string, idempotent bool) bool {
	t.mu.Lock()
	h, ok := t.hosts[address]
	t.mu.Unlock()
	return ok && h.hasIdle(idempotent)
}

// CloseIdle closes all idle connections to address.
func (t *Transport) CloseIdle(address string) {
	t.host(address).closeIdle(time.Time{})
}

// CloseExpired closes connections that have been idle for longer than the idle timeout and forgets addresses without
// connections. It is called periodically.
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

// Open returns the number of open connections to address.
func (t *Transport) Open(address string) int {
	return t.host(address).connections()
}

func (t *Transport) host(address string) *host {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.hosts[address]
	if !ok {
		h = newHost(address, &t.opts)
		t.hosts[address] = h
	}
	return h
}
