package gateway

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/balance"
	"github.com/hornbeamway/hornbeamway/pkg/ingress"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
	"github.com/hornbeamway/hornbeamway/pkg/routing"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

// defaultWait is how long a caller waits that does not say so.
const defaultWait = 30 * time.Second

// call is one request on its way through this VM.
type call struct {
	ctx     *fasthttp.RequestCtx
	head    CallerHead
	route   *routing.Route
	service string
	version int64
	arrived time.Time
	// waited is for how long the caller has been trying already, at least.
	waited time.Duration
	// deadline is the end of the caller's wait or of the route's timeout, whichever is first.
	deadline time.Time
	// body is the whole body if stream is nil.
	body   []byte
	stream *ingress.BodyStream
	// sent are the servers that the request was sent to, and mayHaveRun says that one of them may have run it.
	sent       []balance.Key
	mayHaveRun bool
	// last says that the connection ends with this answer.
	last bool
	// trace describes the attempts for the log.
	trace strings.Builder
}

// handle is the handler of the callers' address.
func (g *Gateway) handle(ctx *fasthttp.RequestCtx) {
	g.inFlight.Add(1)
	c := &call{ctx: ctx, arrived: g.Clock.Now(), last: ctx.Request.Header.ConnectionClose()}
	// Reading the id first lets every refusal name the request.
	c.head = g.Dialect.Caller(&ctx.Request.Header)
	if err := g.serve(c); err != nil {
		c.answer(g, err)
	}
	g.finish(c)
	g.endRequest(c, c.last || g.draining.Load())
}

// endRequest decides whether the connection goes on, and counts the request down at the end of its answer.
func (g *Gateway) endRequest(c *call, last bool) {
	conn, ok := c.ctx.Conn().(*ingress.Conn)
	if ok && !c.bodyEnds(conn) {
		// What follows on the connection is not known to be a new request.
		conn.Linger()
		last = true
	}
	if last {
		c.ctx.SetConnectionClose()
	}
	if ok {
		conn.EndRequest()
	}
	done := func() { g.inFlight.Add(-1) }
	if body, streamed := c.ctx.Response.BodyStream().(*upstream.Body); streamed {
		body.OnClose(done)
		return
	}
	done()
}

// bodyEnds reports whether the request was read to its end. Where a chunked body ends on the connection is not known here.
func (c *call) bodyEnds(conn *ingress.Conn) bool {
	length := c.ctx.Request.Header.ContentLength()
	switch {
	case length < 0 && c.ctx.Request.IsBodyStream():
		return false
	case c.stream != nil && c.stream.Taken < length:
		return false
	}
	return conn.EndsAfter(int64(max(length, 0)))
}

// admit finds the route and reads the body. The error is a *problem.Problem.
func (g *Gateway) admit(c *call) error {
	h := &c.ctx.Request.Header
	if err := ingress.CheckHead(h); err != nil {
		c.last = true
		return err
	}
	if c.head.Fault != "" {
		return ingress.BadRequest(c.head.Fault)
	}
	table := g.State.Table()
	if table == nil || g.refusing.Load() {
		return g.notReady()
	}
	c.version = table.Version
	if limit := table.Limits.HeaderBytes; limit > 0 && len(h.RawHeaders()) > limit {
		c.last = true
		return problem.New(fasthttp.StatusRequestHeaderFieldsTooLarge, problem.NotRun, problem.ReasonBadRequest, "request head is too large")
	}
	c.route = table.Match(string(h.Host()), string(ingress.RequestPath(h)))
	if c.route == nil {
		return problem.New(fasthttp.StatusNotFound, problem.NotRun, problem.ReasonNoRoute, "no route matches the host and path")
	}
	c.waited = g.work.waited(c.route, c.head.Wait)
	wait := c.head.Wait
	if wait <= 0 {
		wait = defaultWait
	}
	c.deadline = c.arrived.Add(min(wait, c.route.Timeout))
	c.service = g.Splitter.Pick(c.route)
	return c.readBody(table.Limits.BodyBytes)
}

// readBody takes bodies of up to keptBody into memory; larger ones stay a stream that one attempt reads.
func (c *call) readBody(limit int) error {
	length := c.ctx.Request.Header.ContentLength()
	if limit <= 0 {
		limit = keptBody
	}
	if length > limit {
		return bodyProblem(ingress.ErrBodyTooLarge)
	}
	if !c.ctx.Request.IsBodyStream() {
		c.body = c.ctx.Request.Body()
		if c.route.Idempotent {
			// A second attempt may still send the body when the library uses its buffer for the next request.
			c.body = bytes.Clone(c.body)
		}
		return nil
	}
	source, keep := c.ctx.RequestBodyStream(), min(limit, keptBody)
	prefix, err := ingress.ReadPrefix(source, length, keep)
	switch {
	case err != nil:
		return bodyProblem(err)
	case len(prefix) <= keep:
		c.body = prefix
		return nil
	case len(prefix) > limit:
		return bodyProblem(ingress.ErrBodyTooLarge)
	}
	c.stream = &ingress.BodyStream{Source: io.MultiReader(bytes.NewReader(prefix), source), Length: length, Limit: limit,
		OnEnd: func() {}}
	return nil
}

func bodyProblem(err error) *problem.Problem {
	status, reason := fasthttp.StatusBadRequest, problem.ReasonBadRequest
	switch {
	case errors.Is(err, ingress.ErrBodyTooLarge):
		status, reason = fasthttp.StatusRequestEntityTooLarge, problem.ReasonBodyTooLarge
	case ingress.IsTimeout(err):
		status = fasthttp.StatusRequestTimeout
	}
	return problem.New(status, problem.NotRun, reason, "request body: "+err.Error())
}

// outgoing returns the head and body for one attempt. The caller releases it.
func (g *Gateway) outgoing(c *call, serverID string) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	c.ctx.Request.Header.CopyTo(&req.Header)
	ingress.RemoveHeaders(&req.Header, func(name []byte) bool {
		return ingress.EndsAtHop(name) || string(name) == fasthttp.HeaderExpect
	})
	if target := req.Header.RequestURI(); len(target) > 0 && target[0] != '/' {
		authority, rest := ingress.SplitAbsolute(target)
		req.Header.SetHostBytes(authority)
		req.Header.SetRequestURIBytes(rest)
	}
	req.Header.SetProtocol("HTTP/1.1")
	g.Dialect.SetAttempt(&req.Header, c.deadline.Sub(g.Clock.Now()), serverID)
	if c.stream != nil {
		req.SetBodyStream(c.stream, c.stream.Length)
	} else {
		req.SetBodyRaw(c.body)
	}
	return req
}

// deliver puts the answer of an attempt into the caller's response.
func (c *call) deliver(r result) {
	out := &c.ctx.Response
	r.resp.Header.CopyTo(&out.Header)
	if stream, ok := r.resp.BodyStream().(*upstream.Body); ok {
		out.SetBodyStream(stream, max(-1, r.resp.Header.ContentLength()))
		return
	}
	out.SetBodyRaw(r.resp.Body())
}

// size is the number of bytes of the request.
func (c *call) size() float64 { return float64(len(c.body)) }

// answer replaces the response by a problem.
func (c *call) answer(g *Gateway, err error) {
	p := asProblem(err)
	if c.mayHaveRun && p.Outcome == problem.NotRun {
		p = problem.New(fasthttp.StatusBadGateway, problem.Unknown, p.Reason, p.Detail)
	}
	p.RequestID = c.head.ID
	problem.Write(&c.ctx.Response, p)
	if p.RetryAfter > 0 {
		c.ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(p.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if c.head.ID != "" {
		g.Dialect.SetRequestID(&c.ctx.Response.Header, c.head.ID)
	}
	countRefusal(p)
	c.trace.WriteString(" reason=" + string(p.Reason) + " detail=" + strconv.Quote(p.Detail))
}

// watch returns a context that ends when the caller leaves.
func (g *Gateway) watch(c *call) (context.Context, func()) {
	return g.watcher.Watch(context.Background(), c.ctx.Conn())
}
