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

// maxTargets is the maximum number of pools or dispatchers that are tried for one call.
const maxTargets = 4

// dispatch sends the call to the dispatcher of the best pool. After a failure it tries the next one as long as
// mayTryNextTarget allows it.
func (p *Proxy) dispatch(ctx context.Context, c *call) error {
	p.retries.Earn(c.route.Service)
	var lastErr error
	for i, target := range p.Placement.Targets(c.route.Service, c.route.Class) {
		if i == maxTargets {
			break
		}
		err := p.dispatchTo(ctx, c, target)
		if err == nil {
			return nil
		}
		lastErr = err
		if !p.mayTryNextTarget(ctx, c, err) {
			break
		}
	}
	if lastErr == nil {
		lastErr = problem.New(fasthttp.StatusServiceUnavailable, problem.NotRun, problem.ReasonNoServer,
			"no pool of the service can be reached").WithRetryAfter(defaultRetryAfter)
	}
	return c.withRunOutcome(lastErr)
}

func (p *Proxy) dispatchTo(ctx context.Context, c *call, target Target) error {
	if err := p.checkExpectedWait(c, target); err != nil {
		return err
	}
	c.crossesRegions = target.OtherRegion
	if target.Local {
		return p.serveFromPool(ctx, c, target.Pool)
	}
	err := p.forwardCall(ctx, c, hop{kind: hopDispatch, vm: target.DispatcherID,
		address: target.ForwardAddress, pool: target.Pool, wait: target.RecentWait})
	if isUnreachable(err) {
		p.Placement.Suspect(target.DispatcherID)
	}
	return err
}

// checkExpectedWait refuses a call that the dispatcher on another VM would refuse, so that the refusal costs no hop.
// During a flood most calls are refused.
func (p *Proxy) checkExpectedWait(c *call, target Target) error {
	if target.Local || c.deadline.IsZero() || target.ExpectedWait == 0 {
		return nil
	}
	if left := c.deadline.Sub(p.Clock.Now()); left <= 0 || target.ExpectedWait <= left {
		return nil
	}
	return problem.New(fasthttp.StatusServiceUnavailable, problem.NotRun, problem.ReasonDeadlineTooShort,
		"the expected wait exceeds the time left").WithRetryAfter(max(target.ExpectedWait, defaultRetryAfter))
}

// isUnreachable reports whether an attempt failed on the way to another VM. It is false if the caller cancelled the
// attempt or if its time ran out before it was sent.
func isUnreachable(err error) bool {
	var failed *attemptError
	if !errors.As(err, &failed) || failed.failure.Cancelled {
		return false
	}
	return failed.problem.Reason == problem.ReasonUpstream ||
		failed.problem.Reason == problem.ReasonDeadline && failed.failure.Timeout
}

// mayTryNextTarget reports whether another pool or dispatcher may receive the call after err: the call was not run or
// is idempotent, its body can be sent again, and its deadline has not passed. A call that is itself a retry is sent to
// another target only if the VM could not be reached.
func (p *Proxy) mayTryNextTarget(ctx context.Context, c *call, err error) bool {
	failure := asProblem(err)
	switch failure.Reason {
	case problem.ReasonDeadline, problem.ReasonCancelled, problem.ReasonBadRequest, problem.ReasonBodyTooLarge:
		return false
	case problem.ReasonDeadlineTooShort, problem.ReasonQueueFull:
		// The best pool was chosen by its expected wait, so the others would refuse as well. During a flood the hops to
		// them, some of them to the other region, would cost more than the calls that are served.
		return false
	}
	if ctx.Err() != nil || !p.hasTimeLeft(c) || !c.canResend() {
		return false
	}
	if failure.Attempt == problem.NotRun {
		return c.priorAttempts == 0 || isUnreachable(err)
	}
	if !c.route.Idempotent || c.priorAttempts > 0 {
		return false
	}
	if !p.retries.Spend(c.route.Service) {
		retriesRefused.get(c.route.Service).Inc()
		return false
	}
	retries.get(c.route.Service).Inc()
	// The next VM receives this as a second attempt.
	c.priorAttempts++
	return true
}

func (p *Proxy) hasTimeLeft(c *call) bool {
	return c.deadline.IsZero() || p.Clock.Now().Before(c.deadline)
}

// serveFromPool runs the call on a backend server of a pool that this VM dispatches, and retries within the pool.
func (p *Proxy) serveFromPool(ctx context.Context, c *call, pool dispatch.PoolKey) error {
	p.hedges.Earn(c.route.Service)
	request := dispatch.Request{Service: pool.Service, DataCentre: pool.DataCentre, Class: c.route.Class, Deadline: c.deadline}
	for retry := 0; ; retry++ {
		result := p.attemptInPool(ctx, c, pool, request, retry)
		if !p.mayRetry(ctx, c, result, retry) {
			if result.err != nil {
				return result.err
			}
			return serverRefusal(&c.ctx.Response)
		}
		// The response of the failed attempt may still hold a connection and a slot.
		c.ctx.Response.Reset()
		request.Exclude = append(request.Exclude, result.server)
	}
}

// maxRetries is the maximum number of retries within one pool.
const maxRetries = 2

// mayRetry reports whether another attempt follows, and spends retry budget for it.
func (p *Proxy) mayRetry(ctx context.Context, c *call, result attemptResult, retry int) bool {
	if !result.retryable || retry == maxRetries || c.priorAttempts > 0 || ctx.Err() != nil || !p.hasTimeLeft(c) {
		return false
	}
	if !p.retries.Spend(c.route.Service) {
		retriesRefused.get(c.route.Service).Inc()
		return false
	}
	retries.get(c.route.Service).Inc()
	return true
}

// attemptResult is the result of one attempt. err is nil if a response was received.
type attemptResult struct {
	err    error
	server string
	// retryable reports that another attempt is safe and may succeed.
	retryable bool
}

func (p *Proxy) attemptInPool(ctx context.Context, c *call, pool dispatch.PoolKey,
	request dispatch.Request, retry int) attemptResult {
	slot, err := p.Pools.Acquire(ctx, request)
	if err != nil {
		return attemptResult{err: err}
	}
	a := slotAttempt{call: c, pool: pool, slot: slot, resp: &c.ctx.Response, number: c.priorAttempts + retry}
	if delay := p.hedgeDelay(c, pool, retry); delay > 0 {
		return p.runWithHedge(ctx, a, request, delay)
	}
	return p.runAttempt(ctx, a)
}

// slotAttempt is one attempt of a call on a slot.
type slotAttempt struct {
	call *call
	pool dispatch.PoolKey
	slot dispatch.Slot
	resp *fasthttp.Response
	// number is the zero-based number of the attempt, counted over all VMs.
	number int
}

// runAttempt sends one attempt and releases its slot.
func (p *Proxy) runAttempt(ctx context.Context, a slotAttempt) attemptResult {
	c, server := a.call, a.slot.Server()
	req := c.newOutgoingRequest(a.number)
	defer fasthttp.ReleaseRequest(req)
	started := p.Clock.Now()
	attempt := upstream.Attempt{
		Address:          server.Address,
		Idempotent:       c.route.Idempotent,
		Deadline:         c.deadline,
		FirstByteTimeout: p.firstByteTimeout(c, a.pool),
		BeforeWrite:      func() error { return p.checkBeforeWrite(c, req) },
		Classify:         refusalVerdict,
	}
	err := p.send(ctx, p.Backends, c, attempt, req, a.resp)
	latency := p.Clock.Now().Sub(started)
	if err != nil {
		return p.releaseAfterError(c, a.slot, err, latency)
	}
	return p.releaseAfterResponse(a, latency)
}

// send makes an attempt. If a reused connection turns out to be closed, an idempotent call is sent once more on a new
// connection, which shows whether the remote server still works.
func (p *Proxy) send(ctx context.Context, transport *upstream.Transport, c *call, a upstream.Attempt, req *fasthttp.Request,
	resp *fasthttp.Response) error {
	err := p.sendOnce(ctx, transport, c, a, req, resp)
	var failure *upstream.Error
	if err == nil || !errors.As(err, &failure) || !failure.Reused || failure.Cancelled {
		return err
	}
	if failure.Stage == upstream.StageRead || !c.route.Idempotent || !c.isReplayable() {
		return err
	}
	// Other connections that have been idle as long may be closed or silent for the same reason.
	transport.CloseIdle(a.Address)
	if failure.Timeout {
		return err
	}
	if failure.Written {
		c.mayHaveRun.Store(true)
	}
	return p.sendOnce(ctx, transport, c, a, req, resp)
}

// sendOnce makes an attempt on one connection. A body for the other region waits for the region link at most until the
// deadline of the call.
func (p *Proxy) sendOnce(ctx context.Context, transport *upstream.Transport, c *call, a upstream.Attempt, req *fasthttp.Request,
	resp *fasthttp.Response) error {
	if c.crossesRegions {
		paceCtx, cancel := ctx, func() {}
		if !c.deadline.IsZero() {
			paceCtx, cancel = context.WithDeadline(ctx, c.deadline)
		}
		defer cancel()
		if err := p.paceRequest(paceCtx, c, req); err != nil {
			return p.paceError(c, a.Address, err)
		}
	}
	return transport.RoundTrip(ctx, a, req, resp)
}

// paceError returns the failure of a call that did not get its share of the region link; nothing was written.
func (p *Proxy) paceError(c *call, address string, cause error) error {
	if !p.hasTimeLeft(c) {
		cause = problem.New(fasthttp.StatusGatewayTimeout, problem.NotRun, problem.ReasonDeadline,
			"the deadline passed before the region link was free")
	}
	return &upstream.Error{Address: address, Stage: upstream.StageWrite, Cause: cause}
}

// checkBeforeWrite runs right before the first byte is written. A call whose deadline passed while it waited, or while
// this process was paused, is not sent. Otherwise the remaining time is written into the headers.
func (p *Proxy) checkBeforeWrite(c *call, req *fasthttp.Request) error {
	now := p.Clock.Now()
	if !c.deadline.IsZero() && !now.Before(c.deadline) {
		return problem.New(fasthttp.StatusGatewayTimeout, problem.NotRun, problem.ReasonDeadline,
			"the deadline passed before the call was sent")
	}
	setDeadline(&req.Header, c.deadline, now)
	if c.beforeWrite != nil {
		return c.beforeWrite()
	}
	return nil
}

// minFirstByteTimeout is the lower bound of the first-byte timeout. It keeps the timeout from firing on ordinary jitter
// of short calls.
const minFirstByteTimeout = 50 * time.Millisecond

// firstByteFactor times the pool's p95 latency is the wait after which a connection is considered silent.
const firstByteFactor = 8

// firstByteTimeout returns the wait after which a connection of an idempotent call is considered silent, or 0 for no
// limit. An operation waits until its deadline, because ending it earlier would only make its outcome unknown sooner.
func (p *Proxy) firstByteTimeout(c *call, pool dispatch.PoolKey) time.Duration {
	if !c.route.Idempotent || !c.isReplayable() {
		return 0
	}
	load, ok := p.Pools.Load(pool)
	if !ok || load.P95[c.route.Class] == 0 {
		return 0
	}
	return max(minFirstByteTimeout, firstByteFactor*load.P95[c.route.Class])
}

// releaseAfterError releases the slot of a failed attempt and determines whether another attempt is safe.
func (p *Proxy) releaseAfterError(c *call, slot dispatch.Slot, err error, latency time.Duration) attemptResult {
	result := attemptResult{err: c.newAttemptError(err), server: slot.Server().ID}
	var failure *upstream.Error
	if !errors.As(err, &failure) {
		slot.Release(dispatch.Result{Class: dispatch.Failed, Latency: latency})
		return result
	}
	slot.Release(dispatch.Result{Class: c.resultClass(failure), Latency: latency})
	mayRepeat := !failure.Written || c.route.Idempotent
	result.retryable = mayRepeat && !failure.Cancelled && c.canResend() && asProblem(result.err).Reason == problem.ReasonUpstream
	return result
}

// releaseAfterResponse releases the slot of an attempt that got a response, at the end of the body if it is streamed.
func (p *Proxy) releaseAfterResponse(a slotAttempt, latency time.Duration) attemptResult {
	c, slot, resp := a.call, a.slot, a.resp
	result := attemptResult{server: slot.Server().ID}
	status, notRun := resp.StatusCode(), reportsNotRun(&resp.Header)
	class := classifyResponse(&resp.Header, status)
	if notRun {
		result.retryable = status != fasthttp.StatusGatewayTimeout && c.canResend()
	} else {
		c.mayHaveRun.Store(true)
		result.retryable = status >= fasthttp.StatusInternalServerError && c.route.Idempotent && c.canResend()
	}
	// Only entry VMs may set these headers.
	resp.Header.Del(headerRefused)
	resp.Header.Del(headerLoad)
	if stream, ok := resp.BodyStream().(*upstream.Body); ok {
		// The latency ends with the response headers: how fast the caller reads the body does not depend on the server.
		stream.OnClose(func() { slot.Release(dispatch.Result{Class: class, Latency: latency}) })
		return result
	}
	slot.Release(dispatch.Result{Class: class, Latency: latency})
	return result
}
