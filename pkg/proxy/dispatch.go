package proxy

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

// maxTargets is the largest number of pools or dispatchers that one call is brought to.
const maxTargets = 4

// dispatch brings the call to the dispatcher of the best pool, and to the next one while it is proved not run.
func (p *Proxy) dispatch(ctx context.Context, c *call) error {
	p.retries.Earn(c.route.Service)
	var last error
	for i, target := range p.Placement.Targets(c.route.Service, c.route.Class) {
		if i == maxTargets {
			break
		}
		err := p.dispatchTo(ctx, c, target)
		if err == nil {
			return nil
		}
		last = err
		if !p.mayMoveOn(ctx, c, err) {
			break
		}
	}
	if last == nil {
		last = problem.New(fasthttp.StatusServiceUnavailable, problem.NotRun, problem.ReasonNoServer,
			"no pool of the service can be reached").WithRetryAfter(notReadyRetry)
	}
	return c.settle(last)
}

func (p *Proxy) dispatchTo(ctx context.Context, c *call, target Target) error {
	if err := p.refuseByWait(c, target); err != nil {
		return err
	}
	c.crossing = target.OtherRegion
	if target.Local {
		return p.serveFromPool(ctx, c, target.Pool)
	}
	err := p.forwardCall(ctx, c, hop{kind: hopDispatch, vm: target.VM, address: target.Forward, pool: target.Pool, wait: target.RecentWait})
	if unreachable(err) {
		p.Placement.Suspect(target.VM)
	}
	return err
}

// refuseByWait refuses a call that the dispatcher of another VM would refuse, so that a refusal costs no hop. In a flood
// most calls are refused.
func (p *Proxy) refuseByWait(c *call, target Target) error {
	if target.Local || c.deadline.IsZero() || target.ExpectedWait == 0 {
		return nil
	}
	if left := c.deadline.Sub(p.Clock.Now()); left <= 0 || target.ExpectedWait <= left {
		return nil
	}
	return problem.New(fasthttp.StatusServiceUnavailable, problem.NotRun, problem.ReasonDeadlineTooShort,
		"the expected wait exceeds the time left").WithRetryAfter(max(target.ExpectedWait, notReadyRetry))
}

// unreachable reports an attempt that failed on the way to another VM, not one that the caller ended or that ran out of time
// before it was sent.
func unreachable(err error) bool {
	var failed *attemptError
	if !errors.As(err, &failed) || failed.failure.Cancelled {
		return false
	}
	return failed.answer.Reason == problem.ReasonUpstream || failed.answer.Reason == problem.ReasonDeadline && failed.failure.Timeout
}

// mayMoveOn reports whether another pool or dispatcher may get the call after err: the call was not run there or is
// idempotent, it can be sent again, and its time is not over. A call that is a retry itself moves on only when the VM
// could not be reached.
func (p *Proxy) mayMoveOn(ctx context.Context, c *call, err error) bool {
	failure := asProblem(err)
	switch failure.Reason {
	case problem.ReasonDeadline, problem.ReasonCancelled, problem.ReasonBadRequest, problem.ReasonBodyTooLarge:
		return false
	case problem.ReasonDeadlineTooShort, problem.ReasonQueueFull:
		// The best pool was chosen by its expected wait, so the others refuse as well. In a flood their hops, some of them
		// to the other region, would cost more than the calls that are served.
		return false
	}
	if ctx.Err() != nil || !p.timeLeft(c) || !c.resendable() {
		return false
	}
	if failure.Attempt == problem.NotRun {
		return c.attempt == 0 || unreachable(err)
	}
	if !c.route.Idempotent || c.attempt > 0 {
		return false
	}
	if !p.retries.Spend(c.route.Service) {
		retriesRefused.get(c.route.Service).Inc()
		return false
	}
	retries.get(c.route.Service).Inc()
	// The next VM is told that this is a second attempt.
	c.attempt++
	return true
}

func (p *Proxy) timeLeft(c *call) bool {
	return c.deadline.IsZero() || p.Clock.Now().Before(c.deadline)
}

// serveFromPool runs the call on a backend server of a pool that this VM dispatches. It retries within the pool.
func (p *Proxy) serveFromPool(ctx context.Context, c *call, pool dispatch.PoolKey) error {
	p.hedges.Earn(c.route.Service)
	request := dispatch.Request{Service: pool.Service, DataCentre: pool.DataCentre, Class: c.route.Class, Deadline: c.deadline}
	for retry := 0; ; retry++ {
		result := p.tryPool(ctx, c, pool, request, retry)
		if !p.mayRetry(ctx, c, result, retry) {
			if result.err != nil {
				return result.err
			}
			return refusedByServer(&c.ctx.Response)
		}
		// The answer of the failed attempt may still hold a connection and a slot.
		c.ctx.Response.Reset()
		request.Exclude = append(request.Exclude, result.server)
	}
}

// maxRetries is the largest number of retries within one pool.
const maxRetries = 2

// mayRetry reports whether another attempt follows, and takes its price from the budget.
func (p *Proxy) mayRetry(ctx context.Context, c *call, result tryResult, retry int) bool {
	if !result.again || retry == maxRetries || c.attempt > 0 || ctx.Err() != nil || !p.timeLeft(c) {
		return false
	}
	if !p.retries.Spend(c.route.Service) {
		retriesRefused.get(c.route.Service).Inc()
		return false
	}
	retries.get(c.route.Service).Inc()
	return true
}

// tryResult is the end of one attempt. err is nil when the response holds an answer.
type tryResult struct {
	err    error
	server string
	// again says that another attempt is safe and may help.
	again bool
}

func (p *Proxy) tryPool(ctx context.Context, c *call, pool dispatch.PoolKey, request dispatch.Request, retry int) tryResult {
	slot, err := p.Pools.Acquire(ctx, request)
	if err != nil {
		return tryResult{err: err}
	}
	a := try{call: c, pool: pool, slot: slot, resp: &c.ctx.Response, number: c.attempt + retry}
	if delay := p.hedgeDelay(c, pool, retry); delay > 0 {
		return p.runHedged(ctx, a, request, delay)
	}
	return p.run(ctx, a)
}

// try is one attempt on a slot.
type try struct {
	call *call
	pool dispatch.PoolKey
	slot dispatch.Slot
	resp *fasthttp.Response
	// number counts the attempts of this call on all VMs, from 0.
	number int
}

// run sends one attempt and releases its slot.
func (p *Proxy) run(ctx context.Context, a try) tryResult {
	c, server := a.call, a.slot.Server()
	req := c.outgoing(a.number)
	defer fasthttp.ReleaseRequest(req)
	started := p.Clock.Now()
	attempt := upstream.Attempt{
		Address:          server.Address,
		Idempotent:       c.route.Idempotent,
		Deadline:         c.deadline,
		FirstByteTimeout: p.firstByteTimeout(c, a.pool),
		BeforeWrite:      func() error { return p.checkBeforeWrite(c, req) },
	}
	err := p.send(ctx, p.Backends, c, attempt, req, a.resp)
	latency := p.Clock.Now().Sub(started)
	if err != nil {
		return p.endError(c, a.slot, err, latency)
	}
	return p.endAnswer(a, latency)
}

// send makes an attempt. An idempotent call whose kept connection turns out to be closed is sent once more on a new one,
// which tells whether the other side is well.
func (p *Proxy) send(ctx context.Context, t *upstream.Transport, c *call, a upstream.Attempt, req *fasthttp.Request,
	resp *fasthttp.Response) error {
	err := p.sendOnce(ctx, t, c, a, req, resp)
	var failure *upstream.Error
	if err == nil || !errors.As(err, &failure) || !failure.Reused || failure.Cancelled {
		return err
	}
	if failure.Stage == upstream.StageRead || !c.route.Idempotent || !c.replayable() {
		return err
	}
	// What made this connection useless or silent may concern the others that were kept as long.
	t.CloseIdle(a.Address)
	if failure.Timeout {
		return err
	}
	if failure.Written {
		c.mayHaveRun.Store(true)
	}
	return p.sendOnce(ctx, t, c, a, req, resp)
}

// sendOnce makes an attempt on one connection. A body for the other region waits for the region link until the deadline
// of the call.
func (p *Proxy) sendOnce(ctx context.Context, t *upstream.Transport, c *call, a upstream.Attempt, req *fasthttp.Request,
	resp *fasthttp.Response) error {
	if c.crossing {
		paceCtx, cancel := ctx, func() {}
		if !c.deadline.IsZero() {
			paceCtx, cancel = context.WithDeadline(ctx, c.deadline)
		}
		defer cancel()
		if err := p.paceRequest(paceCtx, c, req); err != nil {
			return p.paceError(c, a.Address, err)
		}
	}
	return t.RoundTrip(ctx, a, req, resp)
}

// paceError is the failure of a call that did not get its share of the region link; nothing was written.
func (p *Proxy) paceError(c *call, address string, cause error) error {
	if !p.timeLeft(c) {
		cause = problem.New(fasthttp.StatusGatewayTimeout, problem.NotRun, problem.ReasonDeadline,
			"the deadline passed before the region link was free")
	}
	return &upstream.Error{Address: address, Stage: upstream.StageWrite, Cause: cause}
}

// checkBeforeWrite runs right before the first byte: a call whose time passed while it waited, or while this process was
// paused, is not sent, and the time that is left is written into the head.
func (p *Proxy) checkBeforeWrite(c *call, req *fasthttp.Request) error {
	now := p.Clock.Now()
	if !c.deadline.IsZero() && !now.Before(c.deadline) {
		return problem.New(fasthttp.StatusGatewayTimeout, problem.NotRun, problem.ReasonDeadline, "the deadline passed before the call was sent")
	}
	setDeadline(&req.Header, c.deadline, now)
	if c.beforeWrite != nil {
		return c.beforeWrite()
	}
	return nil
}

// minFirstByteTimeout keeps the timeout from firing on ordinary jitter of short calls.
const minFirstByteTimeout = 50 * time.Millisecond

// firstByteFactor times the pool's p95 is the wait after which a connection is taken for silent.
const firstByteFactor = 8

// firstByteTimeout finds silent connections of idempotent calls. An operation waits until its deadline, because ending it
// earlier would only make its outcome unknown sooner.
func (p *Proxy) firstByteTimeout(c *call, pool dispatch.PoolKey) time.Duration {
	if !c.route.Idempotent || !c.replayable() {
		return 0
	}
	load, ok := p.Pools.Load(pool)
	if !ok || load.P95[c.route.Class] == 0 {
		return 0
	}
	return max(minFirstByteTimeout, firstByteFactor*load.P95[c.route.Class])
}

// endError releases the slot of a failed attempt and says whether another one is safe.
func (p *Proxy) endError(c *call, slot dispatch.Slot, err error, latency time.Duration) tryResult {
	result := tryResult{err: c.failedAttempt(err), server: slot.Server().ID}
	var failure *upstream.Error
	if !errors.As(err, &failure) {
		slot.Release(dispatch.Result{Class: dispatch.Failed, Latency: latency})
		return result
	}
	slot.Release(dispatch.Result{Class: c.resultOf(failure), Latency: latency})
	safe := !failure.Written || c.route.Idempotent
	result.again = safe && !failure.Cancelled && c.resendable() && asProblem(result.err).Reason == problem.ReasonUpstream
	return result
}

// endAnswer releases the slot of an answered attempt, at the end of the body if it is streamed.
func (p *Proxy) endAnswer(a try, latency time.Duration) tryResult {
	c, slot, resp := a.call, a.slot, a.resp
	result := tryResult{server: slot.Server().ID}
	status, refused := resp.StatusCode(), notRun(&resp.Header)
	class := answerClass(&resp.Header, status)
	if refused {
		result.again = status != fasthttp.StatusGatewayTimeout && c.resendable()
	} else {
		c.mayHaveRun.Store(true)
		result.again = status >= fasthttp.StatusInternalServerError && c.route.Idempotent && c.resendable()
	}
	// These headers are statements of entry VMs.
	resp.Header.Del(headerRefused)
	resp.Header.Del(headerLoad)
	if stream, ok := resp.BodyStream().(*upstream.Body); ok {
		// The latency ends with the head of the answer: how fast the caller reads says nothing about the server.
		stream.OnClose(func() { slot.Release(dispatch.Result{Class: class, Latency: latency}) })
		return result
	}
	slot.Release(dispatch.Result{Class: class, Latency: latency})
	return result
}
