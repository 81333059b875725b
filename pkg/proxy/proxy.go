// Package proxy serves callers and the calls that other entry VMs forward: it admits a call, finds its route, has the
// owner of the key run a non-idempotent operation once, and sends the call to the dispatcher of a pool and to a backend
// server.
package proxy

import (
	"context"
	"crypto/subtle"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/config"
	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
	"github.com/hornbeamway/hornbeamway/pkg/ingress"
	"github.com/hornbeamway/hornbeamway/pkg/operation"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
	"github.com/hornbeamway/hornbeamway/pkg/retrybudget"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

// ErrServe reports that an HTTP server stopped with an error.
var ErrServe = errors.New("serving failed")

// Pools provides slots on the backend servers of the pools that this VM dispatches.
type Pools interface {
	dispatch.Dispatcher
	// Load returns the state of a pool.
	Load(key dispatch.PoolKey) (dispatch.PoolLoad, bool)
}

// Target is a pool with the dispatcher through which it is reached.
type Target struct {
	Pool dispatch.PoolKey
	// DispatcherID and ForwardAddress are the ID and the forward address of the dispatcher of the pool.
	DispatcherID, ForwardAddress string
	// Local reports that this VM is the dispatcher.
	Local bool
	// OtherRegion reports that the pool is reached over the region link.
	OtherRegion bool
	// ExpectedWait is the wait that the pool reported recently enough to refuse calls because of it; 0 if not known.
	ExpectedWait time.Duration
	// RecentWait is the wait that the pool reported within the last second; 0 if not known.
	RecentWait time.Duration
}

// Placement finds the dispatchers of the pools of a service.
type Placement interface {
	// Targets returns the targets of a service, best first.
	Targets(service string, class priority.Class) []Target
	// RecordLoad records the load that the dispatcher of a pool reported with a response.
	RecordLoad(pool dispatch.PoolKey, load dispatch.PoolLoad)
	// ServersKnown reports whether the backend servers have been read since this process started.
	ServersKnown() bool
	// Suspect makes the placement avoid a VM for a short time after a forwarded call failed.
	Suspect(vm string)
}

// Pacer limits the rate of bytes that are sent over the region link.
type Pacer interface {
	Wait(ctx context.Context, class priority.Class, bytes int) error
}

// Observer receives the result of each call for the service-level objectives.
type Observer interface {
	Observe(service string, class priority.Class, latency time.Duration, ok bool)
}

// Options holds the dependencies and settings of a Proxy.
type Options struct {
	Clock         clock.Clock
	Limits        config.Limits
	PeerKey       string
	Configuration preset.Current
	Pools         Pools
	Placement     Placement
	Operations    *operation.Coordinator
	// Backends and Forward hold the connections to backend servers and to other entry VMs.
	Backends, Forward *upstream.Transport
	Observer          Observer
	// Pacer may be nil: the region link is not paced.
	Pacer Pacer
	// Region is this VM's region.
	Region string
}

// Proxy is the data path of an entry VM. It is safe for concurrent use.
type Proxy struct {
	Options
	watcher  *ingress.DisconnectWatcher
	retries  *retrybudget.Budgets
	hedges   *retrybudget.Budgets
	callers  *fasthttp.Server
	forward  *fasthttp.Server
	draining atomic.Bool
	inFlight atomic.Int64

	mu        sync.Mutex
	listeners []*ingress.Listener
}

// Shares of the calls that may be spent on retries and hedges, and the burst of both budgets in calls.
const (
	retryShare  = 0.1
	hedgeShare  = 0.05
	budgetBurst = 20
)

// forwardConcurrency is the maximum number of calls that other entry VMs may have open on this VM.
const forwardConcurrency = 64 << 10

// New returns a Proxy.
func New(o Options) *Proxy {
	p := &Proxy{
		Options: o,
		watcher: ingress.NewDisconnectWatcher(),
		retries: retrybudget.New(retryShare, budgetBurst),
		hedges:  retrybudget.New(hedgeShare, budgetBurst),
	}
	p.callers = p.newServer(p.serveCaller, o.Limits.Connections)
	p.forward = p.newServer(p.serveForwarded, forwardConcurrency)
	return p
}

func (p *Proxy) newServer(h fasthttp.RequestHandler, concurrency int) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                      h,
		Name:                         "",
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		ReadBufferSize:               int(p.Limits.HeaderSize),
		MaxRequestBodySize:           maxBufferedBody,
		ReadTimeout:                  p.Limits.HeaderTimeout.Std(),
		IdleTimeout:                  idleTimeout,
		Concurrency:                  concurrency,
		CloseOnShutdown:              true,
		ErrorHandler:                 handleMalformed,
		Logger:                       discardLogger{},
		SecureErrorLogMessage:        true,
	}
}

// idleTimeout is how long a caller's connection may stay open between two requests.
const idleTimeout = 60 * time.Second

// discardLogger drops the log lines of fasthttp: each failed connection of a caller would write one.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Serve serves callers and forwarded calls until Shutdown, and monitors connections until ctx ends. It returns nil
// after a shutdown.
func (p *Proxy) Serve(ctx context.Context, callers, forward net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	idle := p.Limits.BodyIdleTimeout.Std()
	callerListener := ingress.NewListener(callers, ingress.Options{Connections: p.Limits.Connections,
		ConnectionsPerCaller: p.Limits.ConnectionsPerCaller, BodyIdleTimeout: idle, MinBodyRate: float64(p.Limits.MinBodyRate)})
	peerListener := ingress.NewListener(forward, ingress.Options{Connections: forwardConcurrency,
		ConnectionsPerCaller: forwardConcurrency, BodyIdleTimeout: idle})
	p.mu.Lock()
	p.listeners = []*ingress.Listener{callerListener, peerListener}
	p.mu.Unlock()
	group.Go(func() error { return serveListener(p.callers, callerListener, peerListener) })
	group.Go(func() error { return serveListener(p.forward, peerListener, callerListener) })
	group.Go(func() error { p.watcher.Run(ctx); return nil })
	group.Go(func() error { p.closeExpiredConnections(ctx); return nil })
	return group.Wait()
}

// serveListener serves l. An error closes the other listener as well, so that the process does not continue with half
// of its service.
func serveListener(s *fasthttp.Server, l, other net.Listener) error {
	err := s.Serve(l)
	if err == nil {
		return nil
	}
	return errors.Mark(errors.CombineErrors(err, other.Close()), ErrServe)
}

// closeExpiredConnections closes connections to backend servers and entry VMs that have been idle for too long.
func (p *Proxy) closeExpiredConnections(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.Clock.After(time.Second):
			p.Backends.CloseExpired()
			p.Forward.CloseExpired()
		}
	}
}

// Drain makes health checks fail, so that the platform's load balancer sends no new callers, and closes each connection
// after its next response.
func (p *Proxy) Drain() { p.draining.Store(true) }

// Shutdown stops accepting connections, closes those that wait for a request, and waits until the calls in flight have
// ended or ctx is done.
func (p *Proxy) Shutdown(ctx context.Context) error {
	p.Drain()
	// Other VMs may still forward calls of their callers while the calls in flight on this VM end, so both servers shut
	// down together.
	group := errgroup.Group{}
	for i, server := range []*fasthttp.Server{p.callers, p.forward} {
		group.Go(func() error {
			p.stopListener(i)
			return server.ShutdownWithContext(ctx)
		})
	}
	return group.Wait()
}

func (p *Proxy) stopListener(i int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i < len(p.listeners) {
		p.listeners[i].Stop()
	}
}

// InFlight returns the number of calls being served, up to the end of their responses.
func (p *Proxy) InFlight() int64 { return p.inFlight.Load() }

// Ready reports whether calls are admitted, and the reason if not.
func (p *Proxy) Ready() (ok bool, reason string) {
	if p.draining.Load() {
		return false, "draining"
	}
	if p.Configuration.InForce() == nil {
		return false, string(p.Configuration.Reason())
	}
	if !p.Placement.ServersKnown() {
		return false, "no_vm_list"
	}
	return true, ""
}

func (p *Proxy) isPeer(h *fasthttp.RequestHeader) bool {
	return subtle.ConstantTimeCompare(h.Peek(headerPeerKey), []byte(p.PeerKey)) == 1
}
