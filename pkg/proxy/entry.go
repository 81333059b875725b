package proxy

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/preset"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
)

// notReadyRetry is the Retry-After of a VM that admits nothing.
const notReadyRetry = time.Second

// serveCaller is the handler of the callers' address.
func (p *Proxy) serveCaller(ctx *fasthttp.RequestCtx) {
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	if p.draining.Load() {
		// The connection ends with this answer, so that the caller opens the next one to another VM.
		defer ctx.SetConnectionClose()
	}
	if err := checkHead(ctx); err != nil {
		p.fail(ctx, nil, err)
		ctx.SetConnectionClose()
		return
	}
	if p.serveWellKnown(ctx) {
		return
	}
	removeInternal(&ctx.Request.Header)
	effective := p.Configuration.InForce()
	if effective == nil {
		p.fail(ctx, nil, p.notReady())
		return
	}
	c, err := p.newCall(ctx, effective.Content)
	if err == nil {
		err = p.serve(c, effective)
	}
	p.finish(c, err)
}

func (p *Proxy) notReady() *problem.Problem {
	return problem.New(fasthttp.StatusServiceUnavailable, problem.NotRun, problem.ReasonNotReady,
		"this VM admits no calls: "+string(p.Configuration.Reason())).WithRetryAfter(notReadyRetry)
}

// serve brings the call to a backend server and leaves the answer in the caller's response.
func (p *Proxy) serve(c *call, effective *preset.Effective) error {
	if !c.route.Idempotent {
		return p.serveOperation(c)
	}
	ctx, stop := p.watcher.watch(context.Background(), c.ctx.Conn())
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
		cleanAnswer(&c.ctx.Response.Header)
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
	// The rest of an unread body would be taken for the next request.
	if ctx.Request.IsBodyStream() {
		ctx.SetConnectionClose()
	}
	countProblem(answer)
	if klog.V(1).Enabled() {
		klog.InfoS("call refused", "requestID", answer.RequestID, "status", answer.Status, "reason", answer.Reason,
			"outcome", answer.Outcome, "detail", answer.Detail)
	}
}

// asProblem returns the problem in err. An error of any other kind leaves the outcome unknown.
func asProblem(err error) *problem.Problem {
	var p *problem.Problem
	if errors.As(err, &p) {
		copied := *p
		return &copied
	}
	return problem.New(fasthttp.StatusBadGateway, problem.Unknown, problem.ReasonUpstream, err.Error())
}

// cleanAnswer removes what must not reach the caller.
func cleanAnswer(h *fasthttp.ResponseHeader) {
	removeHopByHop(h)
	for _, name := range []string{headerNotRun, headerDrain, headerRefused, headerLoad} {
		h.Del(name)
	}
}
