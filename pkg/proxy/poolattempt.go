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
	return p.spendRetry(c.route.Service)
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
