package proxy

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/ingress"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
)

// defaultRetryAfter is the Retry-After of a VM that admits no calls, and of other refusals without a better estimate.
const defaultRetryAfter = time.Second

// serveCaller handles requests on the callers' address.
func (p *Proxy) serveCaller(ctx *fasthttp.RequestCtx) {
	p.beginRequest()
	// ConnectionClose is read before handleCaller removes the hop-by-hop headers, on which fasthttp may base its own decision
	// only afterwards.
	closeConn := ctx.Request.Header.ConnectionClose()
	c := p.handleCaller(ctx)
	p.endRequest(ctx, c, closeConn || p.draining.Load())
}

// handleCaller writes the response. It returns the call, or nil if the request did not become one.
func (p *Proxy) handleCaller(ctx *fasthttp.RequestCtx) *call {
	if err := ingress.CheckHeaders(&ctx.Request.Header); err != nil {
		p.writeProblem(ctx, nil, err)
		ctx.SetConnectionClose()
		return nil
	}
	if p.serveWellKnown(ctx) {
		return nil
	}
	effective := p.Configuration.InForce()
	if effective == nil {
		p.writeProblem(ctx, nil, unknownIfKeyed(&ctx.Request.Header, p.notReadyProblem()))
		return nil
	}
	c, err := p.newCall(ctx, effective.Content)
	if err == nil {
		err = p.serve(c)
	}
	p.finishCall(c, err)
	return c
}

func (p *Proxy) beginRequest() { p.inFlight.Add(1) }

// endRequest decides whether the connection is kept open and decrements the number of calls in flight, at the end of
// the response body if that is streamed.
func (p *Proxy) endRequest(ctx *fasthttp.RequestCtx, c *call, closeConn bool) {
	conn, ok := ctx.Conn().(*ingress.Conn)
	if ok && !requestFullyRead(ctx, c, conn) {
		// A request that is sent before the response to the previous one is refused: the connection closes after that
		// response.
		conn.SetLinger()
		closeConn = true
	}
	if closeConn {
		ctx.SetConnectionClose()
	}
	if ok {
		conn.ResetRequest()
	}
	if !chainOnClose(&ctx.Response, func() { p.inFlight.Add(-1) }) {
		p.inFlight.Add(-1)
	}
}

// requestFullyRead reports whether the request was read to its end and nothing was sent after it. Where a chunked body
// ends on the connection is not known here, so it always counts as not fully read.
func requestFullyRead(ctx *fasthttp.RequestCtx, c *call, conn *ingress.Conn) bool {
	length := ctx.Request.Header.ContentLength()
	switch {
	case length < 0 && ctx.Request.IsBodyStream():
		return false
	case c != nil && c.stream != nil && c.stream.BytesRead < length:
		return false
	}
	return conn.FullyRead(int64(max(length, 0)))
}

func (p *Proxy) notReadyProblem() *problem.Problem {
	return problem.New(fasthttp.StatusServiceUnavailable, problem.NotRun, problem.ReasonNotReady,
		"this VM admits no calls: "+string(p.Configuration.Reason())).WithRetryAfter(defaultRetryAfter)
}

// serve sends the call to a backend server and leaves the response in the context of the caller's request.
func (p *Proxy) serve(c *call) error {
	if !c.route.Idempotent {
		return p.serveOperation(c)
	}
	ctx, stop := p.watcher.Watch(context.Background(), c.ctx.Conn())
	err := p.dispatch(ctx, c)
	if !chainOnClose(&c.ctx.Response, stop) {
		stop()
	}
	return err
}

// finishCall completes the response and records the call in the metrics and the objectives.
func (p *Proxy) finishCall(c *call, err error) {
	if err != nil {
		p.writeProblem(c.ctx, c, err)
	} else {
		removeFromResponse(&c.ctx.Response.Header)
	}
	c.ctx.Response.Header.Set(HeaderRequestID, c.id)
	if c.route == nil {
		return
	}
	latency := p.Clock.Now().Sub(c.arrived)
	status := c.ctx.Response.StatusCode()
	countCall(c.route, status, latency)
	if p.Observer != nil {
		p.Observer.Observe(c.route.Service, c.route.Class, latency, status < fasthttp.StatusInternalServerError)
	}
}

// writeProblem writes err as a problem into the response.
func (p *Proxy) writeProblem(ctx *fasthttp.RequestCtx, c *call, err error) {
	failure := asProblem(err)
	ticket := string(ctx.Response.Header.Peek(HeaderOperationTicket))
	if c != nil {
		failure.RequestID = c.id
	}
	problem.Write(&ctx.Response, failure)
	if ticket != "" {
		ctx.Response.Header.Set(HeaderOperationTicket, ticket)
	}
	countProblem(failure)
	if klog.V(1).Enabled() {
		klog.InfoS("call refused", "requestID", failure.RequestID, "status", failure.Status, "reason", failure.Reason,
			"outcome", failure.Outcome, "detail", failure.Detail)
	}
}

// asProblem returns a copy of the problem in err. For any other error it returns a problem with an unknown outcome.
func asProblem(err error) *problem.Problem {
	var failed *attemptError
	if errors.As(err, &failed) {
		copied := *failed.problem
		return &copied
	}
	var p *problem.Problem
	if errors.As(err, &p) {
		copied := *p
		return &copied
	}
	return problem.New(fasthttp.StatusBadGateway, problem.Unknown, problem.ReasonUpstream, err.Error())
}
