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
	var last error = problem.New(fasthttp.StatusServiceUnavailable, problem.NotRun, problem.ReasonNoServer,
		"no pool of the service can be reached").WithRetryAfter(notReadyRetry)
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
	return last
}

func (p *Proxy) dispatchTo(ctx context.Context, c *call, target Target) error {
	if target.Local {
		return p.serveFromPool(ctx, c, target.Pool)
	}
	err := p.forwardCall(ctx, c, hop{kind: hopDispatch, vm: target.VM, address: target.Forward, pool: target.Pool})
	var failure *upstream.Error
	if errors.As(err, &failure) && !failure.Cancelled {
		p.Placement.Suspect(target.VM)
	}
	return err
}

// mayMoveOn reports whether another pool or dispatcher may get the call after err: the call was not run there or is
// idempotent, it can be sent again, and its time is not over.
func (p *Proxy) mayMoveOn(ctx context.Context, c *call, err error) bool {
	failure := asProblem(err)
	switch failure.Reason {
	case problem.ReasonDeadline, problem.ReasonDeadlineTooShort, problem.ReasonCancelled, problem.ReasonBadRequest:
		return false
	}
	if ctx.Err() != nil || !p.timeLeft(c) {
		return false
	}
	if failure.Attempt == problem.NotRun {
		return c.replayable || !bodyTouched(err)
	}
	return c.route.Idempotent && c.replayable && p.retries.spend(c.route.Service)
}

// bodyTouched reports whether part of a streamed request body may have been consumed.
func bodyTouched(err error) bool {
	var failure *upstream.Error
	return errors.As(err, &failure) && failure.Stage != upstream.StageConnect
}

func (p *Proxy) timeLeft(c *call) bool {
	return c.deadline.IsZero() || p.Clock.Now().Before(c.deadline)
}

// serveFromPool runs the call on a backend server of a pool that this VM dispatches. It retries within the pool.
func (p *Proxy) serveFromPool(ctx context.Context, c *call, pool dispatch.PoolKey) error {
	p.retries.earn(c.route.Service)
	p.hedges.earn(c.route.Service)
	request := dispatch.Request{Service: pool.Service, DataCentre: pool.DataCentre, Class: c.route.Class, Deadline: c.deadline}
	for retry := 0; ; retry++ {
		result := p.tryPool(ctx, c, pool, request, retry)
		if !result.again || retry == maxRetries || c.attempt > 0 || ctx.Err() != nil || !p.timeLeft(c) {
			return result.err
		}
		if !p.retries.spend(c.route.Service) {
			countRetryRefused(c.route.Service)
			return result.err
		}
		countRetry(c.route.Service)
		request.Exclude = append(request.Exclude, result.server)
	}
}

// maxRetries is the largest number of retries within one pool.
const maxRetries = 2

// tryResult is the end of one attempt. err is nil when the caller's response holds an answer.
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
	req := p.outgoing(c, a.number)
	defer fasthttp.ReleaseRequest(req)
	started := p.Clock.Now()
	attempt := upstream.Attempt{
		Address:          server.Address,
		Idempotent:       c.route.Idempotent,
		Deadline:         c.deadline,
		FirstByteTimeout: p.firstByteTimeout(c, a.pool),
		BeforeWrite:      func() error { return p.checkBeforeWrite(c, req) },
	}
	err := p.Backends.RoundTrip(ctx, attempt, req, a.resp)
	if err != nil && p.staleConnection(c, err) {
		// The server closed the kept connection as the request was written; a new one tells whether it is well.
		p.Backends.CloseIdle(server.Address)
		err = p.Backends.RoundTrip(ctx, attempt, req, a.resp)
	}
	latency := p.Clock.Now().Sub(started)
	if err != nil {
		return p.endError(c, a.slot, err, latency)
	}
	return p.endAnswer(a, latency)
}

// checkBeforeWrite runs right before the first byte: a call whose time passed while it waited, or while this process was
// paused, is not sent, and the time that is left is written into the head.
func (p *Proxy) checkBeforeWrite(c *call, req *fasthttp.Request) error {
	if !p.timeLeft(c) {
		return problem.New(fasthttp.StatusGatewayTimeout, problem.NotRun, problem.ReasonDeadline, "the deadline passed before the call was sent")
	}
	setDeadline(&req.Header, c.deadline, p.Clock.Now())
	if c.beforeWrite != nil {
		return c.beforeWrite()
	}
	return nil
}

// staleConnection reports an idempotent call that failed without a byte of an answer on a connection that was used
// before, for a reason other than time.
func (p *Proxy) staleConnection(c *call, err error) bool {
	var failure *upstream.Error
	return errors.As(err, &failure) && failure.Reused && !failure.Timeout && !failure.Cancelled &&
		failure.Stage != upstream.StageRead && c.route.Idempotent && c.replayable
}

// minFirstByteTimeout keeps the timeout from firing on ordinary jitter of short calls.
const minFirstByteTimeout = 50 * time.Millisecond

// firstByteFactor times the pool's p95 is the wait after which a connection is taken for silent.
const firstByteFactor = 8

// firstByteTimeout finds silent connections of idempotent calls. An operation waits until its deadline, because ending it
// earlier would only make its outcome unknown sooner.
func (p *Proxy) firstByteTimeout(c *call, pool dispatch.PoolKey) time.Duration {
	if !c.route.Idempotent || !c.replayable {
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
	result := tryResult{err: attemptProblem(c, err), server: slot.Server().ID}
	var failure *upstream.Error
	if !errors.As(err, &failure) {
		slot.Release(dispatch.Result{Class: dispatch.Failed, Latency: latency})
		return result
	}
	slot.Release(dispatch.Result{Class: resultOf(failure), Latency: latency})
	if failure.Cancelled {
		return result
	}
	safe := !failure.Written || c.route.Idempotent
	result.again = safe && (c.replayable || failure.Stage == upstream.StageConnect) && asProblem(result.err).Reason == problem.ReasonUpstream
	return result
}

func resultOf(failure *upstream.Error) dispatch.ResultClass {
	switch {
	case failure.Cancelled:
		return dispatch.Cancelled
	case errors.Is(failure, upstream.ErrConnectionLimit), errors.Is(failure, upstream.ErrPaced):
		return dispatch.Shed
	case failure.Stage == upstream.StageConnect:
		return dispatch.Refused
	case failure.Timeout:
		return dispatch.TimedOut
	}
	return dispatch.Failed
}

// attemptProblem turns an error of an attempt into the answer for the caller.
func attemptProblem(c *call, err error) *problem.Problem {
	var refused *problem.Problem
	if errors.As(err, &refused) {
		return asProblem(refused)
	}
	var failure *upstream.Error
	if !errors.As(err, &failure) {
		return asProblem(err)
	}
	outcome := problem.Unknown
	if !failure.Written {
		outcome = problem.NotRun
	}
	switch {
	case failure.Cancelled:
		return problem.New(statusCallerGone, outcome, problem.ReasonCancelled, "the caller closed the connection")
	case failure.Timeout && !c.deadline.IsZero() && !time.Now().Before(c.deadline):
		return problem.New(fasthttp.StatusGatewayTimeout, outcome, problem.ReasonDeadline, "no answer before the deadline")
	case outcome == problem.NotRun:
		return problem.New(fasthttp.StatusServiceUnavailable, outcome, problem.ReasonUpstream, failure.Error()).WithRetryAfter(notReadyRetry)
	}
	return problem.New(fasthttp.StatusBadGateway, outcome, problem.ReasonUpstream, failure.Error())
}

// statusCallerGone is written to the log only: the caller that would read it has left.
const statusCallerGone = 499

// endAnswer releases the slot of an answered attempt, at the end of the body if it is streamed.
func (p *Proxy) endAnswer(a try, latency time.Duration) tryResult {
	c, slot, resp := a.call, a.slot, a.resp
	result := tryResult{server: slot.Server().ID}
	class := answerClass(&resp.Header, resp.StatusCode())
	result.again = c.replayable && (notRun(&resp.Header) && class != dispatch.TimedOut || class == dispatch.Failed && c.route.Idempotent)
	if stream, ok := resp.BodyStream().(*upstream.Body); ok {
		// The latency ends with the head of the answer: how fast the caller reads says nothing about the server.
		stream.OnClose(func() { slot.Release(dispatch.Result{Class: class, Latency: latency}) })
		return result
	}
	slot.Release(dispatch.Result{Class: class, Latency: latency})
	return result
}

// notRun reports whether the backend server says that it did not run the call.
func notRun(h *fasthttp.ResponseHeader) bool { return len(h.Peek(headerNotRun)) > 0 }

// answerClass tells an answer that was not run, or a failure of the server, from a success. A server that says that it is
// going away gets no new work, whatever it answered.
func answerClass(h *fasthttp.ResponseHeader, status int) dispatch.ResultClass {
	switch {
	case len(h.Peek(headerDrain)) > 0:
		return dispatch.Draining
	case notRun(h) && status == fasthttp.StatusGatewayTimeout:
		return dispatch.TimedOut
	case notRun(h):
		return dispatch.Shed
	case status >= fasthttp.StatusInternalServerError:
		return dispatch.Failed
	}
	return dispatch.Success
}
