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

// notReadyRetry is the Retry-After of a VM that admits nothing.
const notReadyRetry = time.Second

// serveCaller is the handler of the callers' address.
func (p *Proxy) serveCaller(ctx *fasthttp.RequestCtx) {
	p.beginRequest()
	// The library's own decision may be made on the head after it was cleaned.
	last := ctx.Request.Header.ConnectionClose()
	c := p.answerCaller(ctx)
	p.endRequest(ctx, c, last || p.draining.Load())
}

// answerCaller leaves the answer in the response. It returns the call if there was one.
func (p *Proxy) answerCaller(ctx *fasthttp.RequestCtx) *call {
	if err := ingress.CheckHead(&ctx.Request.Header); err != nil {
		p.fail(ctx, nil, err)
		ctx.SetConnectionClose()
		return nil
	}
	if p.serveWellKnown(ctx) {
		return nil
	}
	effective := p.Configuration.InForce()
	if effective == nil {
		p.fail(ctx, nil, earlierUnknown(&ctx.Request.Header, p.notReady()))
		return nil
	}
	c, err := p.newCall(ctx, effective.Content)
	if err == nil {
		err = p.serve(c)
	}
	p.finish(c, err)
	return c
}

func (p *Proxy) beginRequest() { p.inFlight.Add(1) }

// endRequest decides whether the connection goes on and counts the call down, at the end of its body if that is streamed.
func (p *Proxy) endRequest(ctx *fasthttp.RequestCtx, c *call, last bool) {
	conn, ok := ctx.Conn().(*ingress.Conn)
	if ok && !bodyEnds(ctx, c, conn) {
		// A request that was sent before the answer to the one before it is refused: the connection ends with that answer.
		conn.Linger()
		last = true
	}
	if last {
		ctx.SetConnectionClose()
	}
	if ok {
		conn.EndRequest()
	}
	if !chainOnClose(&ctx.Response, func() { p.inFlight.Add(-1) }) {
		p.inFlight.Add(-1)
	}
}

// bodyEnds reports whether the request was read to its end and nothing was sent behind it. Where a chunked body ends on the
// connection is not known here, so that it always counts as not ended.
func bodyEnds(ctx *fasthttp.RequestCtx, c *call, conn *ingress.Conn) bool {
	length := ctx.Request.Header.ContentLength()
	switch {
	case length < 0 && ctx.Request.IsBodyStream():
		return false
	case c != nil && c.stream != nil && c.stream.Taken < length:
		return false
	}
	return conn.EndsAfter(int64(max(length, 0)))
}

func (p *Proxy) notReady() *problem.Problem {
	return problem.New(fasthttp.StatusServiceUnavailable, problem.NotRun, problem.ReasonNotReady,
		"this VM admits no calls: "+string(p.Configuration.Reason())).WithRetryAfter(notReadyRetry)
}

// serve brings the call to a backend server and leaves the answer in the caller's response.
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

// finish completes the answer and counts the call.
func (p *Proxy) finish(c *call, err error) {
	if err != nil {
		p.fail(c.ctx, c, err)
	} else {
		removeFromAnswer(&c.ctx.Response.Header)
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

// fail answers with a problem.
func (p *Proxy) fail(ctx *fasthttp.RequestCtx, c *call, err error) {
	answer := asProblem(err)
	ticket := string(ctx.Response.Header.Peek(HeaderOperationTicket))
	if c != nil {
		answer.RequestID = c.id
	}
	problem.Write(&ctx.Response, answer)
	if ticket != "" {
		ctx.Response.Header.Set(HeaderOperationTicket, ticket)
	}
	countProblem(answer)
	if klog.V(1).Enabled() {
		klog.InfoS("call refused", "requestID", answer.RequestID, "status", answer.Status, "reason", answer.Reason,
			"outcome", answer.Outcome, "detail", answer.Detail)
	}
}

// asProblem returns a copy of the problem in err. An error of any other kind leaves the outcome unknown.
func asProblem(err error) *problem.Problem {
	var failed *attemptError
	if errors.As(err, &failed) {
		copied := *failed.answer
		return &copied
	}
	var p *problem.Problem
	if errors.As(err, &p) {
		copied := *p
		return &copied
	}
	return problem.New(fasthttp.StatusBadGateway, problem.Unknown, problem.ReasonUpstream, err.Error())
}
