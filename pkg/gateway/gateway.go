package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/hornbeamway/hornbeamway/pkg/balance"
	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/directory"
	"github.com/hornbeamway/hornbeamway/pkg/ingress"
	"github.com/hornbeamway/hornbeamway/pkg/loadshare"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
	"github.com/hornbeamway/hornbeamway/pkg/retrybudget"
	"github.com/hornbeamway/hornbeamway/pkg/routing"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

// ErrServe reports a server that ended with an error.
var ErrServe = errors.New("serving callers failed")

const (
	// readBuffer is the largest request head in bytes that can be read; the configuration may allow less.
	readBuffer = 20 << 10
	// keptBody is the largest request body in bytes that is read before it is sent on, so that it can be sent again.
	keptBody = 256 << 10
	// streamFrom is the size in bytes from which the library hands a request body over as a stream.
	streamFrom = 64 << 10
	// maxConnections bounds the connections of callers; connections to servers take the rest of the descriptors.
	maxConnections = 2800
	// bodyIdleTimeout is the longest pause within a request body or an answer that the caller does not take.
	bodyIdleTimeout = 20 * time.Second
	// defaultHeadTimeout and defaultIdleTimeout hold until a configuration is known.
	defaultHeadTimeout = 5 * time.Second
	defaultIdleTimeout = 30 * time.Second
	// closeExpiredInterval is how often connections to servers are looked at.
	closeExpiredInterval = time.Second
)

// Options are the parts of a Gateway.
type Options struct {
	Clock    clock.Clock
	Dialect  Dialect
	State    *directory.State
	Balancer *balance.Balancer
	Splitter *routing.Splitter
	Servers  *upstream.Transport
	Retries  *retrybudget.Budgets
	// Tell sends the begin and end of requests to the other VMs.
	Tell func(loadshare.Event)
	// Observe takes the end of each request with a route; ok is false for an error answer. Nil: nobody does.
	Observe func(route *routing.Route, service string, took time.Duration, ok bool)
}

// Gateway is the data path of the platform form. It is safe for concurrent use.
type Gateway struct {
	Options
	watcher  *ingress.Watcher
	server   *fasthttp.Server
	listener atomic.Pointer[ingress.Listener]
	work     *workTimes
	draining atomic.Bool
	refusing atomic.Bool
	inFlight atomic.Int64
	started  time.Time
}

// New returns a gateway.
func New(o Options) *Gateway {
	g := &Gateway{Options: o, watcher: ingress.NewWatcher(), work: newWorkTimes(), started: o.Clock.Now()}
	g.server = &fasthttp.Server{
		Handler:                      g.handle,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		StreamRequestBody:            true,
		ReduceMemoryUsage:            true,
		DisablePreParseMultipartForm: true,
		ReadBufferSize:               readBuffer,
		MaxRequestBodySize:           streamFrom,
		Concurrency:                  maxConnections,
		CloseOnShutdown:              true,
		ErrorHandler:                 g.answerMalformed,
		Logger:                       dropLog{},
		SecureErrorLogMessage:        true,
	}
	return g
}

// dropLog drops the library's own lines: each broken connection of a caller would write one.
type dropLog struct{}

func (dropLog) Printf(string, ...any) {}

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

func (g *Gateway) closeExpired(ctx context.Context) {
	for ctx.Err() == nil {
		g.Servers.CloseExpired()
		select {
		case <-ctx.Done():
		case <-g.Clock.After(closeExpiredInterval):
		}
	}
}

func (g *Gateway) idleTimeout() time.Duration {
	if t := g.State.Table(); t != nil && t.Limits.IdleTimeout > 0 {
		return t.Limits.IdleTimeout
	}
	return defaultIdleTimeout
}

func (g *Gateway) headTimeout() time.Duration {
	if t := g.State.Table(); t != nil && t.Limits.HeaderTimeout > 0 {
		return t.Limits.HeaderTimeout
	}
	return defaultHeadTimeout
}

// Ready reports whether callers are served, and the reason if not.
func (g *Gateway) Ready() (ok bool, reason string) {
	switch {
	case g.draining.Load():
		return false, "draining"
	case !g.State.Known():
		return false, "configuration or servers not known"
	}
	return true, ""
}

// Drain makes Ready fail and ends each connection with its next answer. Requests are served as before.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Refuse answers every further request as not run and ends the connections that wait for one.
func (g *Gateway) Refuse() {
	g.refusing.Store(true)
	if l := g.listener.Load(); l != nil {
		l.Stop()
	}
}

// InFlight returns the number of requests being served, those included whose answers are still being written.
func (g *Gateway) InFlight() int64 {
	served := g.inFlight.Load()
	if l := g.listener.Load(); l != nil {
		served = max(served, int64(l.Busy()))
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

// answerMalformed answers a request that the library could not read.
func (g *Gateway) answerMalformed(ctx *fasthttp.RequestCtx, err error) {
	answer := ingress.MalformedProblem(err)
	problem.Write(&ctx.Response, answer)
	countRefusal(answer)
	logMalformed(ctx, answer, err)
	ctx.SetConnectionClose()
	if conn, ok := ctx.Conn().(*ingress.Conn); ok {
		conn.Linger()
	}
}
