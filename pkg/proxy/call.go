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

// maxRequestID is the longest request id in bytes that is taken over from a caller.
const maxRequestID = 64

// call is one request on its way through this VM.
type call struct {
	ctx   *fasthttp.RequestCtx
	route *preset.Route
	id    string
	// path is the path of the request target as received, without the query.
	path     []byte
	arrived  time.Time
	deadline time.Time // zero: none
	// attempt counts the attempts that VMs before this one have made.
	attempt int
	// body is the whole body if stream is nil. Otherwise the body is only on the caller's connection.
	body   []byte
	stream *ingress.BodyStream
	// crossing says that the request body is sent to the other region: to the owner, a dispatcher or a backend server.
	crossing bool
	// mayHaveRun is set once an attempt may have been run, so that no later refusal is told as not run.
	mayHaveRun atomic.Bool
	// beforeWrite is checked right before the request leaves this VM; nil: nothing to check.
	beforeWrite func() error
	// copying guards the head: reading a fasthttp head uses its scratch space, and a hedge copies it at any moment.
	copying sync.Mutex
}

// newCall finds the route of a request, checks its body size and prepares its head to be passed on. The error is a
// *problem.Problem.
func (p *Proxy) newCall(ctx *fasthttp.RequestCtx, content *preset.Content) (*call, error) {
	h := &ctx.Request.Header
	c := &call{ctx: ctx, arrived: p.Clock.Now(), path: ingress.RequestPath(h), id: requestID(h)}
	route, ok := content.Route(string(ctx.Method()), string(c.path))
	if !ok {
		return c, problem.New(fasthttp.StatusNotFound, problem.NotRun, problem.ReasonNoRoute, "no route matches the method and path")
	}
	c.route = route
	if err := c.readDeadline(); err != nil {
		return c, c.refuseEarly(err)
	}
	if err := c.readBody(); err != nil {
		return c, c.refuseEarly(err)
	}
	c.prepareHead()
	return c, nil
}

// earlierUnknown adapts a refusal that was made before the operation memory was asked: an earlier attempt with the same
// key may have run.
func earlierUnknown(h *fasthttp.RequestHeader, refusal *problem.Problem) *problem.Problem {
	if len(h.Peek(HeaderIdempotencyKey)) > 0 {
		refusal.Outcome = problem.Unknown
	}
	return refusal
}

// refuseEarly is earlierUnknown for operations. Keys have no meaning on other routes.
func (c *call) refuseEarly(refusal *problem.Problem) *problem.Problem {
	if c.route.Idempotent {
		return refusal
	}
	return earlierUnknown(&c.ctx.Request.Header, refusal)
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

// prepareHead removes what ends at this VM and sets what every attempt carries.
func (c *call) prepareHead() {
	h := &c.ctx.Request.Header
	removeFromRequest(h)
	if number := h.Peek(headerAttempt); len(number) > 0 {
		attempt, err := strconv.Atoi(string(number))
		if err != nil || attempt <= 0 {
			h.Del(headerAttempt)
			attempt = 0
		}
		c.attempt = attempt
	}
	if target := h.RequestURI(); len(target) > 0 && target[0] != '/' {
		c.useOriginForm(target)
	}
	if len(h.Host()) == 0 {
		// HTTP/1.0 has no Host.
		h.SetHost(c.route.Service)
	}
	h.SetProtocol("HTTP/1.1")
	h.Set(HeaderRequestID, c.id)
}

// useOriginForm turns an absolute-form target into path and query and takes the host from it (RFC 9112, section 3.2.2).
func (c *call) useOriginForm(target []byte) {
	authority, rest := ingress.SplitAbsolute(target)
	host, origin := string(authority), string(rest)
	c.ctx.Request.Header.SetHost(host)
	c.ctx.Request.Header.SetRequestURI(origin)
	c.path = ingress.RequestPath(&c.ctx.Request.Header)
}

// settle returns the problem to tell for err: once an attempt may have been run, no refusal says that the call was not run.
func (c *call) settle(err error) error {
	if err == nil || !c.mayHaveRun.Load() {
		return err
	}
	answer := asProblem(err)
	answer.Outcome, answer.Attempt = problem.Unknown, problem.Unknown
	return answer
}

// replayable says that the whole body is in memory, so that it can be sent more than once.
func (c *call) replayable() bool { return c.stream == nil }

// resendable says that the body can be sent although an attempt was made.
func (c *call) resendable() bool { return c.stream == nil || !c.stream.Touched }

// requestID takes over a caller's request id if it is short visible ASCII, and makes one otherwise.
func requestID(h *fasthttp.RequestHeader) string {
	id := h.Peek(HeaderRequestID)
	if len(id) > 0 && len(id) <= maxRequestID && bytes.IndexFunc(id, notVisible) < 0 {
		return string(id)
	}
	fresh, _ := uuid.NewRandomFromReader(fastRandom{}) // the reader returns no error
	return fresh.String()
}

// fastRandom reads the generator of the runtime. Request ids need to be distinct, not secret, and the reader of crypto/rand
// makes a system call for each.
type fastRandom struct{}

// Read implements io.Reader.
func (fastRandom) Read(p []byte) (int, error) {
	var word [8]byte
	for done := 0; done < len(p); {
		binary.LittleEndian.PutUint64(word[:], rand.Uint64())
		done += copy(p[done:], word[:])
	}
	return len(p), nil
}

func notVisible(r rune) bool { return r <= ' ' || r > '~' }
