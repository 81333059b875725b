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

// hop is one step of a call to another entry VM.
type hop struct {
	// kind is hopOwner or hopDispatch.
	kind        string
	vm, address string
	// pool is the pool that the other VM dispatches; for hopDispatch only.
	pool dispatch.PoolKey
	// wait is the expected wait in that pool; 0 if it is not known.
	wait time.Duration
}

// forwardCall sends the call to another entry VM and leaves its answer in the caller's response. A refusal of that VM
// comes back as *problem.Problem; a connection that failed as *attemptError.
func (p *Proxy) forwardCall(ctx context.Context, c *call, h hop) error {
	req := c.outgoing(c.attempt)
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
		// A paused VM accepts connections and bytes but never answers.
		FirstByteTimeout: p.forwardTimeout(c, h.wait),
		BeforeWrite:      func() error { return p.checkBeforeWrite(c, req) },
	}
	resp := &c.ctx.Response
	if err := p.send(ctx, p.Forward, c, attempt, req, resp); err != nil {
		return c.failedAttempt(err)
	}
	if h.kind == hopDispatch {
		p.learnLoad(h.pool, &resp.Header)
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
// one: a third of the time left, so that two more VMs can be tried. A call that waits in the queue of its pool looks the same,
// so twice the wait that the pool has stated is added. Without it each long queue made the entry VMs take the dispatcher for
// dead, cancel its calls and set up a second dispatcher for the same servers. The wait of a VM that is dead is forgotten
// after a second.
func (p *Proxy) forwardTimeout(c *call, wait time.Duration) time.Duration {
	if !c.route.Idempotent || !c.replayable() || c.deadline.IsZero() {
		return 0
	}
	return max(minForwardTimeout, c.deadline.Sub(p.Clock.Now())/3) + 2*wait
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
func decodeRefusal(resp *fasthttp.Response) *problem.Problem {
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
	p.beginRequest()
	last := ctx.Request.Header.ConnectionClose()
	var c *call
	if p.isPeer(&ctx.Request.Header) {
		c = p.answerForwarded(ctx)
	} else {
		ctx.SetStatusCode(fasthttp.StatusForbidden)
		last = true
	}
	p.endRequest(ctx, c, last)
}

// answerForwarded leaves the answer in the response. It returns the call if there was one.
func (p *Proxy) answerForwarded(ctx *fasthttp.RequestCtx) *call {
	h := &ctx.Request.Header
	kind, pool, region := string(h.Peek(headerHop)), parsePool(h.Peek(headerPool)), string(h.Peek(headerRegion))
	effective := p.Configuration.InForce()
	if effective == nil {
		p.refuseForwarded(ctx, nil, earlierUnknown(h, p.notReady()))
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
		p.reportLoad(ctx, pool)
	}
	p.paceAnswer(c, region)
	return c
}

// paceAnswer makes an answer to an entry VM of the other region wait for its share of the region link: one in memory waits
// here, a streamed one as it is sent.
func (p *Proxy) paceAnswer(c *call, region string) {
	if c.route == nil || region == "" || region == p.Region {
		return
	}
	pace := p.linkPace(context.Background(), c)
	if stream, ok := c.ctx.Response.BodyStream().(*upstream.Body); ok {
		stream.Pace(pace)
		return
	}
	if body := c.ctx.Response.Body(); len(body) > 0 {
		// An answer is sent even if its share never came, because the call was run.
		_ = pace(len(body))
	}
}

func (p *Proxy) serveHop(c *call, kind string, pool dispatch.PoolKey) error {
	switch kind {
	case hopDispatch:
		p.retries.Earn(c.route.Service)
		ctx, stop := p.watcher.Watch(context.Background(), c.ctx.Conn())
		err := c.settle(p.serveFromPool(ctx, c, pool))
		if !chainOnClose(&c.ctx.Response, stop) {
			stop()
		}
		return err
	case hopOwner:
		return p.serveOwned(c)
	}
	return ingress.BadRequest("unknown hop")
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
