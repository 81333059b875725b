package proxy

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
	"github.com/hornbeamway/hornbeamway/pkg/operation"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

// hop is one step of a call to another entry VM.
type hop struct {
	// kind is hopOwner or hopDispatch.
	kind        string
	vm, address string
	// pool is the pool that the other VM dispatches; for hopDispatch only.
	pool dispatch.PoolKey
}

// forwardCall sends the call to another entry VM and leaves its answer in the caller's response. A refusal of that VM
// comes back as *problem.Problem; a connection that failed as *upstream.Error with a problem in front.
func (p *Proxy) forwardCall(ctx context.Context, c *call, h hop) error {
	req := p.outgoing(c, c.attempt)
	defer fasthttp.ReleaseRequest(req)
	req.Header.Set(headerHop, h.kind)
	req.Header.Set(headerPeerKey, p.PeerKey)
	if h.kind == hopDispatch {
		req.Header.Set(headerPool, h.pool.Service+"/"+h.pool.DataCentre)
	}
	attempt := upstream.Attempt{
		Address:    h.address,
		Idempotent: c.route.Idempotent,
		Deadline:   forwardDeadline(c.deadline),
		// A paused VM accepts connections and bytes but never answers.
		FirstByteTimeout: p.forwardTimeout(c),
		BeforeWrite:      func() error { return p.checkBeforeWrite(c, req) },
	}
	resp := &c.ctx.Response
	err := p.Forward.RoundTrip(ctx, attempt, req, resp)
	if err != nil && p.staleConnection(c, err) {
		p.Forward.CloseIdle(h.address)
		err = p.Forward.RoundTrip(ctx, attempt, req, resp)
	}
	if err != nil {
		return errors.CombineErrors(attemptProblem(c, err), err)
	}
	if h.kind == hopDispatch {
		p.learnLoad(h.pool, &resp.Header)
	}
	if len(resp.Header.Peek(headerRefused)) > 0 {
		return decodeRefusal(resp)
	}
	return nil
}

// forwardGrace is the time that the other VM has beyond the deadline to say what became of the call. Without it both
// sides would give up at once and a call proved not run would be reported as unknown.
const forwardGrace = 50 * time.Millisecond

func forwardDeadline(deadline time.Time) time.Time {
	if deadline.IsZero() {
		return deadline
	}
	return deadline.Add(forwardGrace)
}

// minForwardTimeout is longer than a queue that is worth waiting in for an urgent call.
const minForwardTimeout = 250 * time.Millisecond

// forwardTimeout is the wait for another VM after which an idempotent call that can be sent again is brought to the next
// one: a third of the time left, so that two more VMs can be tried.
func (p *Proxy) forwardTimeout(c *call) time.Duration {
	if !c.route.Idempotent || !c.replayable || c.deadline.IsZero() {
		return 0
	}
	return max(minForwardTimeout, c.deadline.Sub(p.Clock.Now())/3)
}

// learnLoad takes the load that the dispatcher put on its answer.
func (p *Proxy) learnLoad(pool dispatch.PoolKey, h *fasthttp.ResponseHeader) {
	if load, ok := parseLoad(h.Peek(headerLoad)); ok {
		p.Placement.Learn(pool, load)
	}
}

// formatLoad writes whether the pool is healthy and the expected wait of each class in microseconds.
func formatLoad(b []byte, load dispatch.Load) []byte {
	healthy := int64(0)
	if load.Healthy {
		healthy = 1
	}
	b = strconv.AppendInt(b, healthy, 10)
	for _, wait := range load.ExpectedWait {
		b = append(b, ' ')
		b = strconv.AppendInt(b, wait.Microseconds(), 10)
	}
	return b
}

func parseLoad(value []byte) (dispatch.Load, bool) {
	fields := strings.Fields(string(value))
	load := dispatch.Load{}
	if len(fields) != 1+len(load.ExpectedWait) {
		return load, false
	}
	load.Healthy = fields[0] == "1"
	for i, field := range fields[1:] {
		us, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return load, false
		}
		load.ExpectedWait[i] = time.Duration(us) * time.Microsecond
	}
	return load, true
}

// decodeRefusal reads the problem that another entry VM answered itself.
func decodeRefusal(resp *fasthttp.Response) error {
	refusal := &problem.Problem{}
	if err := json.Unmarshal(resp.Body(), refusal); err != nil {
		return problem.New(fasthttp.StatusBadGateway, problem.Unknown, problem.ReasonUpstream, "unreadable refusal of another entry VM")
	}
	if seconds, err := strconv.Atoi(string(resp.Header.Peek(fasthttp.HeaderRetryAfter))); err == nil {
		refusal.RetryAfter = time.Duration(seconds) * time.Second
	}
	return refusal
}

// serveForwarded is the handler of the forward address.
func (p *Proxy) serveForwarded(ctx *fasthttp.RequestCtx) {
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	h := &ctx.Request.Header
	if !p.isPeer(h) {
		ctx.SetStatusCode(fasthttp.StatusForbidden)
		ctx.SetConnectionClose()
		return
	}
	kind, pool := string(h.Peek(headerHop)), parsePool(h.Peek(headerPool))
	removeInternal(h)
	effective := p.Configuration.InForce()
	if effective == nil {
		p.refuseForwarded(ctx, nil, p.notReady())
		return
	}
	c, err := p.newCall(ctx, effective.Content)
	if err == nil {
		err = p.serveHop(c, kind, pool)
	}
	if err != nil {
		p.refuseForwarded(ctx, c, err)
	}
	if kind == hopDispatch {
		p.reportLoad(ctx, pool)
	}
}

func (p *Proxy) serveHop(c *call, kind string, pool dispatch.PoolKey) error {
	switch kind {
	case hopDispatch:
		ctx, stop := p.watcher.watch(context.Background(), c.ctx.Conn())
		err := p.serveFromPool(ctx, c, pool)
		if !chainOnClose(&c.ctx.Response, stop) {
			stop()
		}
		return err
	case hopOwner:
		return p.serveOwned(c)
	}
	return problem.New(fasthttp.StatusBadRequest, problem.NotRun, problem.ReasonBadRequest, "unknown hop")
}

// serveOwned runs an operation for which another VM took this one for the owner. It is never forwarded again.
func (p *Proxy) serveOwned(c *call) error {
	key := string(c.ctx.Request.Header.Peek(HeaderIdempotencyKey))
	owner, err := p.Operations.Locate(key)
	if err != nil {
		return err
	}
	if !owner.Local {
		return operation.Unavailable.Problem()
	}
	return p.runOwned(c, key)
}

// refuseForwarded answers another entry VM with a problem of this VM.
func (p *Proxy) refuseForwarded(ctx *fasthttp.RequestCtx, c *call, err error) {
	p.fail(ctx, c, err)
	ctx.Response.Header.Set(headerRefused, "1")
}

// reportLoad tells the entry VM how long further calls would wait here.
func (p *Proxy) reportLoad(ctx *fasthttp.RequestCtx, pool dispatch.PoolKey) {
	if load, ok := p.Pools.Load(pool); ok {
		var buffer [64]byte
		ctx.Response.Header.SetBytesV(headerLoad, formatLoad(buffer[:0], load))
	}
}
