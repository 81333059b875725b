package gateway

import (
	"bytes"
	"context"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/balance"
	"github.com/hornbeamway/hornbeamway/pkg/bodybuffer"
	"github.com/hornbeamway/hornbeamway/pkg/ingress"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
	"github.com/hornbeamway/hornbeamway/pkg/routing"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

// defaultCallerWait is the assumed wait of a caller that does not state one.
const defaultCallerWait = 30 * time.Second

// maxBufferedBody is the largest request body, in bytes, that is read to its end before the request is sent, so that it can be sent
// again.
const maxBufferedBody = 256 << 10

// streamWriteMargin is the time after the deadline of a request in which the last part of a streamed response can be written.
const streamWriteMargin = 100 * time.Millisecond

// call is the state of one request of a caller.
type call struct {
	ctx       *fasthttp.RequestCtx
	head      CallerHead
	route     *routing.Route
	service   string
	version   int64
	arrivedAt time.Time
	// priorWait is a lower bound on the time for which the caller has already been retrying this request.
	priorWait time.Duration
	// deadline is the end of the caller's wait or of the route's timeout, whichever is earlier.
	deadline time.Time
	// body is the complete body if stream is nil, and otherwise the beginning that stream returns first.
	body   *bodybuffer.Buffer
	stream *ingress.BodyStream
	// sentTo lists the servers of all attempts. mayHaveRun is true if one of them may have run it.
	sentTo     []balance.ServerKey
	mayHaveRun bool
	// unsent is the number of attempts of which no byte was sent.
	unsent int
	// closeConnection is true if the connection is closed after this response.
	closeConnection bool
	// trace describes the attempts in the log.
	trace strings.Builder
}

// handle handles a request on the callers' address.
func (g *Gateway) handle(ctx *fasthttp.RequestCtx) {
	g.inFlight.Add(1)
	c := &call{ctx: ctx, arrivedAt: g.Clock.Now(), closeConnection: ctx.Request.Header.ConnectionClose(),
		body: g.requestBodies.NewBuffer()}
	defer c.body.Release()
	// The id is read first, so that every refusal carries it.
	c.head = g.Dialect.Caller(&ctx.Request.Header)
	if err := g.serve(c); err != nil {
		c.writeProblem(g, err)
	}
	g.recordRequest(c)
	g.endRequest(c, c.closeConnection || g.draining.Load())
}

// endRequest closes the connection or keeps it open. The request no longer counts as in flight once its response is written. A
// streamed response has to be written by the deadline of the request and streamWriteMargin.
func (g *Gateway) endRequest(c *call, closeConnection bool) {
	conn, ok := c.ctx.Conn().(*ingress.Conn)
	if ok && !c.requestFullyRead(conn) {
		// The next bytes on the connection may not be the start of a new request.
		conn.SetLinger()
		closeConnection = true
	}
	if closeConnection {
		c.ctx.SetConnectionClose()
	}
	body, streamed := c.ctx.Response.BodyStream().(*upstream.Body)
	if ok {
		conn.ResetRequest()
		if streamed {
			conn.SetResponseDeadline(c.deadline.Add(streamWriteMargin))
		}
	}
	done := func() { g.inFlight.Add(-1) }
	if streamed {
		body.OnClose(done)
		return
	}
	done()
}

// requestFullyRead reports whether the request was read to its end. It returns false for a chunked body that is a stream,
// because the position of its end on the connection is not known here.
func (c *call) requestFullyRead(conn *ingress.Conn) bool {
	length := c.ctx.Request.Header.ContentLength()
	switch {
	case length < 0 && c.ctx.Request.IsBodyStream():
		return false
	case c.stream != nil && c.stream.BytesRead < length:
		return false
	}
	return conn.FullyRead(int64(max(length, 0)))
}

// admit checks the request, finds its route and service and reads its body. The error is a *problem.Problem.
func (g *Gateway) admit(c *call) error {
	h := &c.ctx.Request.Header
	if err := ingress.CheckHeaders(h); err != nil {
		c.closeConnection = true
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
	if exceedsHeaderLimit(h, table.Limits.HeaderBytes) {
		c.closeConnection = true
		return problem.New(fasthttp.StatusRequestHeaderFieldsTooLarge, problem.NotRun, problem.ReasonBadRequest,
			"request head is too large")
	}
	ingress.UseOriginForm(h)
	c.route = table.Match(string(h.Host()), string(ingress.RequestPath(h)))
	if c.route == nil {
		return problem.New(fasthttp.StatusNotFound, problem.NotRun, problem.ReasonNoRoute, "no route matches the host and path")
	}
	c.priorWait = g.estimates.priorWait(c.route, c.head.Wait)
	wait := c.head.Wait
	if wait <= 0 {
		wait = defaultCallerWait
	}
	c.deadline = c.arrivedAt.Add(min(wait, c.route.Timeout))
	if conn, ok := c.ctx.Conn().(*ingress.Conn); ok {
		conn.SetBodyDeadline(c.deadline)
	}
	c.service = g.Splitter.Pick(c.route)
	return c.readBody(table.Limits.BodyBytes)
}

// exceedsHeaderLimit reports whether the header of a request is larger than a limit in bytes; 0 means no limit. The configuration does not
// say how it counts, so that only what belongs to a header by any count is included: names and values.
func exceedsHeaderLimit(h *fasthttp.RequestHeader, limit int) bool {
	raw := h.RawHeaders()
	return limit > 0 && len(raw) > limit && ingress.FieldBytes(raw) > limit
}

// readBody reads a body of up to maxBufferedBody bytes into memory, as far as the budget allows. Any other remains a stream, which only
// one attempt can read. A limit of 0 means that the configuration states none.
func (c *call) readBody(limit int) error {
	length := c.ctx.Request.Header.ContentLength()
	if limit <= 0 {
		limit = math.MaxInt
	}
	if length > limit {
		return bodyProblem(ingress.ErrBodyTooLarge)
	}
	if !c.ctx.Request.IsBodyStream() {
		return nil // The request has no body.
	}
	source := c.ctx.RequestBodyStream()
	complete, err := c.body.Fill(source, length, min(limit, maxBufferedBody)+1)
	switch {
	case err != nil:
		return bodyProblem(err)
	case len(c.body.Bytes()) > limit:
		return bodyProblem(ingress.ErrBodyTooLarge)
	case complete:
		return nil
	}
	c.stream = &ingress.BodyStream{Source: io.MultiReader(bytes.NewReader(c.body.Bytes()), source), Length: length, Limit: limit,
		OnEnd: func() {}}
	return nil
}

// bodyProblem returns the problem for a request body that could not be read. The request was not run.
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

// newServerRequest returns the request of one attempt, with the head and body to send to the server. The caller releases it.
func (g *Gateway) newServerRequest(c *call, serverID string) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	c.ctx.Request.Header.CopyTo(&req.Header)
	ingress.RemoveHeaders(&req.Header, func(name []byte) bool {
		return ingress.IsHopByHop(name) || string(name) == fasthttp.HeaderExpect
	})
	req.Header.SetProtocol("HTTP/1.1")
	g.Dialect.SetAttempt(&req.Header, c.deadline.Sub(g.Clock.Now()), serverID)
	if c.stream != nil {
		req.SetBodyStream(c.stream, c.stream.Length)
	} else {
		ingress.SetBufferedBody(req, c.body.Bytes())
	}
	return req
}

// writeResponse copies the response of an attempt into the response to the caller.
func (c *call) writeResponse(r result) {
	out := &c.ctx.Response
	r.resp.Header.CopyTo(&out.Header)
	if stream := r.resp.BodyStream(); stream != nil {
		out.SetBodyStream(stream, max(-1, r.resp.Header.ContentLength()))
		return
	}
	out.SetBodyRaw(r.resp.Body())
}

// bodyBytes returns the size of the buffered request body in bytes; 0 for a stream.
func (c *call) bodyBytes() float64 {
	if c.stream != nil {
		return 0
	}
	return float64(len(c.body.Bytes()))
}

// writeProblem replaces the response by a problem. A problem that states "not run" is changed to an unknown outcome if an
// attempt may have run the request.
func (c *call) writeProblem(g *Gateway, err error) {
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

// watchCaller returns a context that ends when the caller disconnects, and a function that stops watching.
func (g *Gateway) watchCaller(c *call) (context.Context, func()) {
	return g.watcher.Watch(context.Background(), c.ctx.Conn())
}
