package proxy

import (
	"bytes"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/preset"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
)

// Sizes in bytes.
const (
	// bufferedBody is the largest request body that is kept in memory, so that it can be sent again.
	bufferedBody = 64 << 10
	// maxRequestID is the longest request id taken over from a caller.
	maxRequestID = 64
)

// call is one request on its way through this VM.
type call struct {
	ctx   *fasthttp.RequestCtx
	route *preset.Route
	id    string
	// path is the request target as received, without the query.
	path     []byte
	arrived  time.Time
	deadline time.Time // zero: none
	// attempt counts the attempts that VMs before this one have made.
	attempt int
	// replayable says that the whole body is in memory.
	replayable bool
	// beforeWrite is checked right before the request leaves this VM; nil: nothing to check.
	beforeWrite func() error
}

// newCall finds the route of a request and checks its head and body size. The error is a *problem.Problem.
func (p *Proxy) newCall(ctx *fasthttp.RequestCtx, content *preset.Content) (*call, error) {
	c := &call{ctx: ctx, arrived: p.Clock.Now(), path: requestPath(&ctx.Request.Header)}
	c.id = requestID(&ctx.Request.Header)
	route, ok := content.Route(string(ctx.Method()), string(c.path))
	if !ok {
		return c, problem.New(fasthttp.StatusNotFound, problem.NotRun, problem.ReasonNoRoute, "no route matches the method and path")
	}
	c.route = route
	if err := c.readDeadline(); err != nil {
		return c, err
	}
	return c, c.readBody()
}

func (c *call) readDeadline() error {
	deadline, ok := parseDeadline(&c.ctx.Request.Header, c.arrived)
	if !ok {
		return problem.New(fasthttp.StatusBadRequest, problem.NotRun, problem.ReasonBadRequest,
			HeaderDeadline+" must be a number of milliseconds")
	}
	if deadline.IsZero() {
		deadline = c.arrived.Add(c.route.Timeout.Std())
	}
	c.deadline = deadline
	attempt := c.ctx.Request.Header.Peek(headerAttempt)
	c.attempt, _ = strconv.Atoi(string(attempt))
	return nil
}

// readBody takes small bodies into memory, so that they can be sent again and compared. Larger ones stay a stream, which
// only idempotent routes allow.
func (c *call) readBody() error {
	limit := int(c.route.MaxBody)
	length := c.ctx.Request.Header.ContentLength()
	if length > limit {
		return bodyTooLarge()
	}
	if !c.ctx.Request.IsBodyStream() {
		c.replayable = true
		return nil
	}
	keep := min(limit, bufferedBody)
	if !c.route.Idempotent {
		keep = limit
	}
	prefix, err := io.ReadAll(io.LimitReader(c.ctx.RequestBodyStream(), int64(keep)+1))
	switch {
	case err != nil:
		return problem.New(fasthttp.StatusBadRequest, problem.NotRun, problem.ReasonBadRequest, "request body is incomplete")
	case len(prefix) <= keep:
		c.setBody(prefix)
		return nil
	case len(prefix) > limit:
		return bodyTooLarge()
	}
	rest := io.MultiReader(bytes.NewReader(prefix), c.ctx.RequestBodyStream())
	c.ctx.Request.SetBodyStream(&limitedBody{Reader: rest, left: limit}, length)
	return nil
}

// setBody replaces a stream that was read to its end. Trailers stay with the request, which is then sent chunked.
func (c *call) setBody(body []byte) {
	c.replayable = true
	if c.ctx.Request.Header.ContentLength() >= 0 {
		c.ctx.Request.SetBodyRaw(body)
		return
	}
	hasTrailers := len(c.ctx.Request.Header.PeekTrailerKeys()) > 0
	if !hasTrailers {
		c.ctx.Request.SetBodyRaw(body)
		return
	}
	c.replayable = false
	c.ctx.Request.SetBodyStream(bytes.NewReader(body), -1)
}

func bodyTooLarge() *problem.Problem {
	return problem.New(fasthttp.StatusRequestEntityTooLarge, problem.NotRun, problem.ReasonBodyTooLarge,
		"request body is larger than the route allows")
}

// errBodyTooLarge ends the copy of a body of unknown length at the route's limit.
var errBodyTooLarge = errors.New("request body is larger than the route allows")

// limitedBody fails after left bytes instead of ending, so that a cut body is never sent as a complete one.
type limitedBody struct {
	io.Reader
	left int
}

// Read implements io.Reader.
func (l *limitedBody) Read(b []byte) (int, error) {
	n, err := l.Reader.Read(b)
	if l.left -= n; l.left < 0 {
		return n, errBodyTooLarge
	}
	return n, err
}

// requestPath returns the path of the request target without the query. The target itself passes on unchanged.
func requestPath(h *fasthttp.RequestHeader) []byte {
	target := h.RequestURI()
	if scheme := bytes.Index(target, []byte("://")); scheme > 0 && target[0] != '/' {
		target = target[scheme+3:]
		if slash := bytes.IndexByte(target, '/'); slash >= 0 {
			target = target[slash:]
		} else {
			target = []byte("/")
		}
	}
	path, _, _ := bytes.Cut(target, []byte("?"))
	return path
}

// requestID takes over a caller's request id if it is short visible ASCII, and makes one otherwise.
func requestID(h *fasthttp.RequestHeader) string {
	id := h.Peek(HeaderRequestID)
	if len(id) > 0 && len(id) <= maxRequestID && bytes.IndexFunc(id, notVisible) < 0 {
		return string(id)
	}
	return uuid.NewString()
}

func notVisible(r rune) bool { return r <= ' ' || r > '~' }
