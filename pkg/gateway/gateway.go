// Package gateway proxies the requests of callers to the backend servers of the platform. It matches a request to its route,
// selects a server, sends the request, retries it only where that is safe, and returns the response or a problem that states
// whether the request was run.
package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/hornbeamway/hornbeamway/pkg/availability"
	"github.com/hornbeamway/hornbeamway/pkg/balance"
	"github.com/hornbeamway/hornbeamway/pkg/bodybuffer"
	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/directory"
	"github.com/hornbeamway/hornbeamway/pkg/ingress"
	"github.com/hornbeamway/hornbeamway/pkg/loadshare"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
	"github.com/hornbeamway/hornbeamway/pkg/retrybudget"
	"github.com/hornbeamway/hornbeamway/pkg/routing"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

// ErrServe reports that the HTTP server for callers ended with an error.
var ErrServe = errors.New("HTTP server for callers failed")

const (
	// readBuffer is the size in bytes of the largest request head that can be read. The configuration may set a lower limit.
	readBuffer = 20 << 10
	// requestBudget and responseBudget are the memory, in bytes, of all request and of all response bodies that are buffered at the
	// same time. Beyond it bodies are relayed while they are read.
	requestBudget  = 16 << 20
	responseBudget = 16 << 20
	// streamThreshold is the size in bytes from which fasthttp provides a request body as a stream.
	streamThreshold = 64 << 10
	// maxConnections limits the connections of callers. The remaining file descriptors are for connections to servers.
	maxConnections = 2800
	// bodyIdleTimeout is the longest pause of a caller while it sends a request body or reads a response.
	bodyIdleTimeout = 20 * time.Second
	// defaultHeadTimeout and defaultIdleTimeout apply if no configuration is loaded or it does not set these timeouts.
	defaultHeadTimeout = 5 * time.Second
	defaultIdleTimeout = 30 * time.Second
	// closeExpiredInterval is the interval at which expired connections to servers are closed.
	closeExpiredInterval = time.Second
)

// The numbers of times that a buffer found no memory left in the budget.
var (
	requestsNotBuffered  = metrics.NewCounter(`hornbeamway_gateway_bodies_not_buffered_total{message="request"}`)
	responsesNotBuffered = metrics.NewCounter(`hornbeamway_gateway_bodies_not_buffered_total{message="response"}`)
)

// Options holds the dependencies of a Gateway.
type Options struct {
	Clock    clock.Clock
	Dialect  Dialect
	State    *directory.State
	Balancer *balance.Balancer
	Splitter *routing.Splitter
	Servers  *upstream.Transport
	Retries  *retrybudget.Budgets
	// Publish announces the begin and end of each request to the peer VMs.
	Publish func(loadshare.Event)
	// Observe is called at the end of each request that has a route; ok is false for an error response. It may be nil.
	Observe func(route *routing.Route, service string, took time.Duration, ok bool)
}

// Gateway is the data path of an entry VM on the platform. It is safe for concurrent use.
type Gateway struct {
	Options
	// availability records what servers state about their availability.
	availability availability.Recorder

	watcher   *ingress.DisconnectWatcher
	server    *fasthttp.Server
	listener  atomic.Pointer[ingress.Listener]
	estimates *routeEstimates
	// requestBodies and responseBodies limit the memory of the bodies that are buffered.
	requestBodies, responseBodies *bodybuffer.Budget
	draining                      atomic.Bool
	refusing                      atomic.Bool
	// lastDeadline is the latest deadline of a request that is still sent to a server; nil: no limit.
	lastDeadline atomic.Pointer[time.Time]
	inFlight     atomic.Int64
	// waiting is the number of requests that wait for a server with spare slots.
	waiting   atomic.Int64
	startedAt time.Time
}

// New returns a gateway that does not serve until Serve is called.
func New(o Options) *Gateway {
	g := &Gateway{Options: o,
		availability: availability.Recorder{Clock: o.Clock, Balancer: o.Balancer, Servers: o.Servers, Publish: o.Publish},
		watcher:      ingress.NewDisconnectWatcher(), estimates: newRouteEstimates(o.Clock), startedAt: o.Clock.Now(),
		requestBodies:  bodybuffer.NewBudget(requestBudget, requestsNotBuffered),
		responseBodies: bodybuffer.NewBudget(responseBudget, responsesNotBuffered)}
	g.server = &fasthttp.Server{
		Handler:                      g.handle,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		StreamRequestBody:            true,
		ReduceMemoryUsage:            true,
		DisablePreParseMultipartForm: true,
		ReadBufferSize:               readBuffer,
		MaxRequestBodySize:           streamThreshold,
		Concurrency:                  maxConnections,
		CloseOnShutdown:              true,
		ErrorHandler:                 g.handleMalformed,
		Logger:                       discardLogger{},
		SecureErrorLogMessage:        true,
	}
	return g
}

// discardLogger discards the log lines of fasthttp, which writes one for each broken connection of a caller.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Serve serves callers on l until ctx ends.
func (g *Gateway) Serve(ctx context.Context, l net.Listener) error {
	limited := ingress.NewListener(l, ingress.Options{
		Connections: maxConnections, ConnectionsPerCaller: maxConnections, BodyIdleTimeout: bodyIdleTimeout,
		IdleTimeout: g.idleTimeout, HeadTimeout: g.headTimeout,
	})
	g.listener.Store(limited)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := g.server.Serve(limited); err != nil && ctx.Err() == nil {
			return errors.Mark(err, ErrServe)
		}
		return nil
	})
	group.Go(func() error { g.watcher.Run(ctx); return nil })
	group.Go(func() error { g.closeExpired(ctx); return nil })
	group.Go(func() error {
		<-ctx.Done()
		return limited.Close()
	})
	return group.Wait()
}

// closeExpired closes expired connections to servers until ctx ends.
func (g *Gateway) closeExpired(ctx context.Context) {
	for ctx.Err() == nil {
		g.Servers.CloseExpired()
		select {
		case <-ctx.Done():
		case <-g.Clock.After(closeExpiredInterval):
		}
	}
}

// idleTimeout returns the configured or default time for which a caller's connection may be idle between requests.
func (g *Gateway) idleTimeout() time.Duration {
	if t := g.State.Table(); t != nil && t.Limits.IdleTimeout > 0 {
		return t.Limits.IdleTimeout
	}
	return defaultIdleTimeout
}

// headTimeout returns the configured or default time in which a request head must arrive.
func (g *Gateway) headTimeout() time.Duration {
	if t := g.State.Table(); t != nil && t.Limits.HeaderTimeout > 0 {
		return t.Limits.HeaderTimeout
	}
	return defaultHeadTimeout
}

// Ready reports whether the gateway is ready to serve callers, and the reason if it is not.
func (g *Gateway) Ready() (ok bool, reason string) {
	switch {
	case g.draining.Load():
		return false, "draining"
	case !g.State.Ready():
		return false, "configuration or servers not known"
	}
	return true, ""
}

// Drain makes Ready return false and closes each connection after its next response. Requests are still served.
func (g *Gateway) Drain() { g.draining.Store(true) }

// RefuseDeadlinesAfter makes the gateway refuse, as not run, every request whose deadline is later than t, because it may not finish
// before the process exits. Requests that a server may be running, and idempotent ones that were sent before, are not affected.
func (g *Gateway) RefuseDeadlinesAfter(t time.Time) { g.lastDeadline.Store(&t) }

// Refuse makes the gateway refuse every further request as not run, and closes the connections that are idle.
func (g *Gateway) Refuse() {
	g.refusing.Store(true)
	if l := g.listener.Load(); l != nil {
		l.Stop()
	}
}

// InFlight returns the number of in-flight requests, including those whose responses are still being written.
func (g *Gateway) InFlight() int64 {
	served := g.inFlight.Load()
	if l := g.listener.Load(); l != nil {
		served = max(served, int64(l.Serving()))
	}
	return served
}

// Connections returns the number of open connections of callers.
func (g *Gateway) Connections() int {
	if l := g.listener.Load(); l != nil {
		return l.Open()
	}
	return 0
}

// QuietFor returns the time since the last connection of a caller was accepted.
func (g *Gateway) QuietFor() time.Duration {
	if l := g.listener.Load(); l != nil {
		return l.QuietFor()
	}
	return 0
}

// handleMalformed writes the response to a request that fasthttp could not read.
func (g *Gateway) handleMalformed(ctx *fasthttp.RequestCtx, err error) {
	p := ingress.MalformedProblem(err)
	problem.Write(&ctx.Response, p)
	countRefusal(p)
	logMalformed(ctx, p, err)
	ctx.SetConnectionClose()
	if conn, ok := ctx.Conn().(*ingress.Conn); ok {
		conn.SetLinger()
	}
}
