package proxy

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
	"github.com/hornbeamway/hornbeamway/pkg/ingress"
	"github.com/hornbeamway/hornbeamway/pkg/operation"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

// hop describes the forwarding of a call to another entry VM.
type hop struct {
	// kind is hopOwner or hopDispatch.
	kind        string
	vm, address string
	// pool is the pool that the other VM dispatches; only for hopDispatch.
	pool dispatch.PoolKey
	// wait is the expected wait in that pool; 0 if not known.
	wait time.Duration
}

// forwardCall sends the call to another entry VM and leaves its response in the context of the caller's request. A
// refusal by that VM is returned as *problem.Problem, a failed connection as *attemptError.
func (p *Proxy) forwardCall(ctx context.Context, c *call, h hop) error {
	req := c.newOutgoingRequest(c.priorAttempts)
	defer fasthttp.ReleaseRequest(req)
	req.Header.Set(headerHop, h.kind)
	req.Header.Set(headerPeerKey, p.PeerKey)
	req.Header.Set(headerRegion, p.Region)
	if h.kind == hopDispatch {
		req.Header.Set(headerPool, h.pool.Service+"/"+h.pool.DataCentre)
	}
	attempt := upstream.Attempt{
		Address:    h.address,
		Idempotent: c.route.Idempotent,
		Deadline:   forwardDeadline(c.deadline),
		// A paused VM accepts connections and bytes but never responds.
		FirstByteTimeout: p.forwardTimeout(c, h.wait),
		BeforeWrite:      func() error { return p.checkBeforeWrite(c, req) },
	}
	resp := &c.ctx.Response
	if err := p.send(ctx, p.Forward, c, attempt, req, resp); err != nil {
		return c.newAttemptError(err)
	}
	if h.kind == hopDispatch {
		p.recordPoolLoad(h.pool, &resp.Header)
	}
	if len(resp.Header.Peek(headerRefused)) > 0 {
		refusal := decodeRefusal(resp)
		if refusal.Attempt != problem.NotRun {
			c.mayHaveRun.Store(true)
		}
		return refusal
	}
	c.mayHaveRun.Store(true)
	return nil
}

// forwardGrace is the time after the deadline in which the other VM can still report the outcome of the call. Without
// it both VMs would time out at once, and a call that is proved not run would be reported as unknown.
const forwardGrace = 50 * time.Millisecond

func forwardDeadline(deadline time.Time) time.Time {
	if deadline.IsZero() {
		return deadline
	}
	return deadline.Add(forwardGrace)
}

// minForwardTimeout is the lower bound of the forward timeout before the reported wait is added. It is longer than
// any queueing time that is still useful for an urgent call.
const minForwardTimeout = 250 * time.Millisecond

// forwardTimeout returns how long to wait for another VM before an idempotent call that can be sent again is sent to
// the next one, or 0 for no limit. It is a third of the time left, so that two more VMs can be tried. A call that waits
// in the queue of its pool cannot be distinguished from one on a VM that does not respond, so twice the wait that the
// pool has reported is added. Without that, each long queue made the entry VMs treat the dispatcher as dead, cancel its
// calls and set up a second dispatcher for the same servers. The reported wait of a dead VM is dropped after one
// second.
func (p *Proxy) forwardTimeout(c *call, wait time.Duration) time.Duration {
	if !c.route.Idempotent || !c.isReplayable() || c.deadline.IsZero() {
		return 0
	}
	return max(minForwardTimeout, c.deadline.Sub(p.Clock.Now())/3) + 2*wait
}

// recordPoolLoad records the load that the dispatcher reported with its response.
func (p *Proxy) recordPoolLoad(pool dispatch.PoolKey, h *fasthttp.ResponseHeader) {
	if load, ok := parseLoad(h.Peek(headerLoad)); ok {
		p.Placement.RecordLoad(pool, load)
	}
}

// formatLoad appends to b whether the pool is healthy (1 or 0) and the expected wait of each class in microseconds.
func formatLoad(b []byte, load dispatch.PoolLoad) []byte {
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

func parseLoad(value []byte) (dispatch.PoolLoad, bool) {
	fields := strings.Fields(string(value))
	load := dispatch.PoolLoad{}
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

// decodeRefusal decodes the problem with which another entry VM refused the call. The call may have been run if the problem is not valid.
func decodeRefusal(resp *fasthttp.Response) *problem.Problem {
	refusal := &problem.Problem{}
	if err := json.Unmarshal(resp.Body(), refusal); err != nil || !isRefusal(refusal, resp.StatusCode()) {
		return problem.New(fasthttp.StatusBadGateway, problem.Unknown, problem.ReasonUpstream, "unreadable refusal of another entry VM")
	}
	if seconds, err := strconv.Atoi(string(resp.Header.Peek(fasthttp.HeaderRetryAfter))); err == nil {
		refusal.RetryAfter = time.Duration(seconds) * time.Second
	}
	return refusal
}

// isRefusal reports whether p is the problem of a response with an error status and states the outcome.
func isRefusal(p *problem.Problem, status int) bool {
	return p.Status == status && status >= fasthttp.StatusBadRequest && p.Outcome.Valid() && p.Attempt.Valid()
}

// serveForwarded handles requests on the forward address.
func (p *Proxy) serveForwarded(ctx *fasthttp.RequestCtx) {
	p.beginRequest()
	closeConn := ctx.Request.Header.ConnectionClose()
	var c *call
	if p.isPeer(&ctx.Request.Header) {
		c = p.handleForwarded(ctx)
	} else {
		ctx.SetStatusCode(fasthttp.StatusForbidden)
		closeConn = true
	}
	p.endRequest(ctx, c, closeConn)
}

// handleForwarded writes the response. It returns the call, or nil if the request did not become one.
func (p *Proxy) handleForwarded(ctx *fasthttp.RequestCtx) *call {
	h := &ctx.Request.Header
	kind, pool, region := string(h.Peek(headerHop)), parsePool(h.Peek(headerPool)), string(h.Peek(headerRegion))
	effective := p.Configuration.InForce()
	if effective == nil {
		p.refuseForwarded(ctx, nil, unknownIfKeyed(h, p.notReadyProblem()))
		return nil
	}
	c, err := p.newCall(ctx, effective.Content)
	if err == nil {
		err = p.serveHop(c, kind, pool)
	}
	if err != nil {
		p.refuseForwarded(ctx, c, err)
	} else {
		removeHopByHop(&ctx.Response.Header)
	}
	if kind == hopDispatch {
		p.setLoadHeader(ctx, pool)
	}
	p.paceResponse(c, region)
	return c
}

// paceResponse makes a response to an entry VM of the other region wait for its share of the region link: a response in
// memory waits here, a streamed one while it is sent.
func (p *Proxy) paceResponse(c *call, region string) {
	if c.route == nil || region == "" || region == p.Region {
		return
	}
	pace := p.linkPaceFunc(context.Background(), c)
	if stream, ok := c.ctx.Response.BodyStream().(*upstream.Body); ok {
		stream.SetPacer(pace)
		return
	}
	if body := c.ctx.Response.Body(); len(body) > 0 {
		// The response is sent even if it did not get its share, because the call was run.
		_ = pace(len(body))
	}
}

func (p *Proxy) serveHop(c *call, kind string, pool dispatch.PoolKey) error {
	switch kind {
	case hopDispatch:
		p.retries.Earn(c.route.Service)
		ctx, stop := p.watcher.Watch(context.Background(), c.ctx.Conn())
		err := c.withRunOutcome(p.serveFromPool(ctx, c, pool))
		if !chainOnClose(&c.ctx.Response, stop) {
			stop()
		}
		return err
	case hopOwner:
		return p.serveAsOwner(c)
	}
	return ingress.BadRequest("unknown hop")
}

// serveAsOwner runs an operation that another VM forwarded to this VM as the owner of its key. The operation is never
// forwarded again.
func (p *Proxy) serveAsOwner(c *call) error {
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

// refuseForwarded responds to another entry VM with a problem of this VM.
func (p *Proxy) refuseForwarded(ctx *fasthttp.RequestCtx, c *call, err error) {
	p.writeProblem(ctx, c, err)
	ctx.Response.Header.Set(headerRefused, "1")
}

// setLoadHeader reports to the forwarding entry VM how long further calls would wait in the pool.
func (p *Proxy) setLoadHeader(ctx *fasthttp.RequestCtx, pool dispatch.PoolKey) {
	if load, ok := p.Pools.Load(pool); ok {
		var buffer [64]byte
		ctx.Response.Header.SetBytesV(headerLoad, formatLoad(buffer[:0], load))
	}
}
