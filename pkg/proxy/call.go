package proxy

import (
	"bytes"
	"encoding/binary"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/ingress"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
)

// maxRequestID is the maximum length in bytes of a request ID that is accepted from a caller.
const maxRequestID = 64

// call is a request that this VM is serving.
type call struct {
	ctx   *fasthttp.RequestCtx
	route *preset.Route
	id    string
	// path is the path of the request target as received, without the query.
	path     []byte
	arrived  time.Time
	deadline time.Time // zero: no deadline
	// priorAttempts counts the attempts made before this VM received the call, plus one if it is retried at another target.
	priorAttempts int
	// body is the complete body if stream is nil. Otherwise the body can only be read from the caller's connection.
	body   []byte
	stream *ingress.BodyStream
	// crossesRegions reports that the request body is sent to the other region: to the owner, a dispatcher or a backend
	// server.
	crossesRegions bool
	// mayHaveRun is set once an attempt may have been run, so that no later refusal reports the call as not run.
	mayHaveRun atomic.Bool
	// beforeWrite is an additional check right before the request is written; nil: no check.
	beforeWrite func() error
	// headerMu guards the request headers: reading fasthttp headers uses their scratch space, and a hedged attempt may
	// copy them at any time.
	headerMu sync.Mutex
}

// newCall finds the route of a request, checks the size of its body and prepares its headers for forwarding. The error
// is a *problem.Problem.
func (p *Proxy) newCall(ctx *fasthttp.RequestCtx, content *preset.Content) (*call, error) {
	h := &ctx.Request.Header
	c := &call{ctx: ctx, arrived: p.Clock.Now(), path: ingress.RequestPath(h), id: requestID(h)}
	route, ok := content.Route(string(ctx.Method()), string(c.path))
	if !ok {
		return c, problem.New(fasthttp.StatusNotFound, problem.NotRun, problem.ReasonNoRoute, "no route matches the method and path")
	}
	c.route = route
	if err := c.readDeadline(); err != nil {
		return c, c.unknownIfKeyedOperation(err)
	}
	if err := c.readBody(); err != nil {
		return c, c.unknownIfKeyedOperation(err)
	}
	c.prepareHeader()
	return c, nil
}

// unknownIfKeyed sets the outcome of a refusal to unknown if the request has an idempotency key. The refusal was made
// before the operation memory was consulted, so an earlier attempt with the same key may have run.
func unknownIfKeyed(h *fasthttp.RequestHeader, refusal *problem.Problem) *problem.Problem {
	if len(h.Peek(HeaderIdempotencyKey)) > 0 {
		refusal.Outcome = problem.Unknown
	}
	return refusal
}

// unknownIfKeyedOperation applies unknownIfKeyed to operations only. Keys have no meaning on other routes.
func (c *call) unknownIfKeyedOperation(refusal *problem.Problem) *problem.Problem {
	if c.route.Idempotent {
		return refusal
	}
	return unknownIfKeyed(&c.ctx.Request.Header, refusal)
}

func (c *call) readDeadline() *problem.Problem {
	deadline, ok := parseDeadline(&c.ctx.Request.Header, c.arrived)
	if !ok {
		return problem.New(fasthttp.StatusBadRequest, problem.NotRun, problem.ReasonBadRequest,
			HeaderDeadline+" must be a number of milliseconds")
	}
	if deadline.IsZero() {
		deadline = c.arrived.Add(c.route.Timeout.Std())
	}
	c.deadline = deadline
	return nil
}

// prepareHeader removes the headers that must not be forwarded and sets those that every attempt carries.
func (c *call) prepareHeader() {
	h := &c.ctx.Request.Header
	removeFromRequest(h)
	if number := h.Peek(headerAttempt); len(number) > 0 {
		prior, err := strconv.Atoi(string(number))
		if err != nil || prior <= 0 {
			h.Del(headerAttempt)
			prior = 0
		}
		c.priorAttempts = prior
	}
	ingress.UseOriginForm(h)
	c.path = ingress.RequestPath(h)
	if len(h.Host()) == 0 {
		// An HTTP/1.0 request may have no Host header.
		h.SetHost(c.route.Service)
	}
	h.SetProtocol("HTTP/1.1")
	h.Set(HeaderRequestID, c.id)
}

// withRunOutcome returns err with an unknown outcome if an attempt may have been run: no refusal may then report the
// call as not run.
func (c *call) withRunOutcome(err error) error {
	if err == nil || !c.mayHaveRun.Load() {
		return err
	}
	p := asProblem(err)
	p.Outcome, p.Attempt = problem.Unknown, problem.Unknown
	return p
}

// isReplayable reports whether the whole body is in memory, so that it can be sent more than once.
func (c *call) isReplayable() bool { return c.stream == nil }

// canResend reports whether the body can still be sent after an attempt was made.
func (c *call) canResend() bool { return c.stream == nil || !c.stream.ReadStarted }

// requestID returns the caller's request ID if it is short visible ASCII, and generates one otherwise.
func requestID(h *fasthttp.RequestHeader) string {
	id := h.Peek(HeaderRequestID)
	if len(id) > 0 && len(id) <= maxRequestID && bytes.IndexFunc(id, notVisible) < 0 {
		return string(id)
	}
	generated, _ := uuid.NewRandomFromReader(runtimeRandom{}) // runtimeRandom returns no error
	return generated.String()
}

// runtimeRandom reads from the random number generator of the runtime. Request IDs need to be distinct, not secret, and
// each read from crypto/rand makes a system call.
type runtimeRandom struct{}

// Read implements io.Reader.
func (runtimeRandom) Read(p []byte) (int, error) {
	var word [8]byte
	for filled := 0; filled < len(p); {
		binary.LittleEndian.PutUint64(word[:], rand.Uint64())
		filled += copy(p[filled:], word[:])
	}
	return len(p), nil
}

func notVisible(r rune) bool { return r <= ' ' || r > '~' }
