package proxy

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/problem"
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
	if !p.spendRetry(c.route.Service) {
		return false
	}
	// The next VM receives this as a second attempt.
	c.priorAttempts++
	return true
}

// spendRetry takes a retry from the budget of a service and counts it. It returns false if the budget is spent.
func (p *Proxy) spendRetry(service string) bool {
	if !p.retries.Spend(service) {
		retriesRefused.get(service).Inc()
		return false
	}
	retries.get(service).Inc()
	return true
}

func (p *Proxy) hasTimeLeft(c *call) bool {
	return c.deadline.IsZero() || p.Clock.Now().Before(c.deadline)
}
