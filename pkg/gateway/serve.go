package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/balance"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
	"github.com/hornbeamway/hornbeamway/pkg/routing"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

const (
	// usualStartupTime is the time after its start in which a VM usually has its routes and servers. minRetryAfter is the
	// shortest Retry-After of a VM that does not serve; it is short because new connections reach other VMs, too.
	// noServerRetryAfter is the Retry-After for a service without servers.
	usualStartupTime   = 200 * time.Millisecond
	minRetryAfter      = 40 * time.Millisecond
	noServerRetryAfter = 150 * time.Millisecond
	// minTimeLeft is the time until the deadline below which a request is no longer sent.
	minTimeLeft = 5 * time.Millisecond
	// overloadFactor is the expected response time, as a multiple of the objective, above which a request is refused: it would
	// miss its objective anyway and make others miss theirs.
	overloadFactor = 1.2
	// lateWorkFactor is the same limit, as a multiple of the usual work, for a request whose caller has been retrying for so long
	// that its objective is missed. Such a request gets a free slot, but does not delay requests that can still meet their
	// objective.
	lateWorkFactor = 2
	// refusalRetryAfterShare is the Retry-After for a request that servers refused or for which they were full, as a share of
	// the objective, so that a retry can still meet the objective.
	refusalRetryAfterShare = 0.1
)

// serve admits a request and sends it to backend servers. The error is a *problem.Problem.
func (g *Gateway) serve(c *call) error {
	if err := g.admit(c); err != nil {
		return err
	}
	g.Retries.Earn(c.service)
	ctx, stop := g.watchCaller(c)
	err := g.runAttempts(ctx, c)
	if body, streamed := c.ctx.Response.BodyStream().(*upstream.Body); streamed && err == nil {
		body.OnClose(stop)
	} else {
		stop()
	}
	return err
}

// runAttempts sends the request until a server has answered it or no further attempt is allowed. An attempt that takes long
// continues while a hedged one runs concurrently; the first response that can be relayed is used.
func (g *Gateway) runAttempts(ctx context.Context, c *call) error {
	choice, refusal := g.chooseServer(c)
	if refusal != nil {
		return refusal
	}
	results := make(chan result, c.route.MaxAttempts)
	superseded, cancelOthers := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelOthers()
	g.startAttempt(ctx, superseded, c, choice, results)
	plan := g.planHedge(c, choice)
	hedge := time.NewTimer(plan.untilNextCheck(g.Clock.Now()))
	defer hedge.Stop()
	for running := 1; ; {
		select {
		case <-hedge.C:
			if g.startHedge(ctx, superseded, c, plan, results) {
				running++
			} else {
				hedge.Reset(plan.untilNextCheck(g.Clock.Now()))
			}
			continue
		case r := <-results:
			running--
			c.recordAttempt(r)
			if r.delivered {
				c.writeResponse(r)
				return nil
			}
			c.mayHaveRun = c.mayHaveRun || !r.notRun
			if running > 0 {
				continue
			}
			if !g.mayRetry(ctx, c, r) {
				return r.err
			}
			choice, refusal := g.chooseServer(c)
			if refusal != nil {
				return r.err
			}
			g.startAttempt(ctx, superseded, c, choice, results)
			running++
		}
	}
}

// startAttempt starts an attempt and adds its server to c.sentTo. ctx ends when the caller disconnects, superseded when another
// attempt has answered.
func (g *Gateway) startAttempt(ctx, superseded context.Context, c *call, choice balance.Choice, results chan result) {
	c.sentTo = append(c.sentTo, choice.Key)
	a := attempt{gateway: g, route: c.route, id: c.head.ID, choice: choice, deadline: c.deadline, stream: c.stream,
		req: g.newServerRequest(c, choice.Server.ID), resp: &fasthttp.Response{}, final: len(c.sentTo) >= c.route.MaxAttempts}
	go func() { results <- a.run(ctx, superseded) }()
}

// chooseServer returns the server for the next attempt, or the problem that explains why the request is not sent.
func (g *Gateway) chooseServer(c *call) (balance.Choice, *problem.Problem) {
	now := g.Clock.Now()
	left := c.deadline.Sub(now)
	if left < minTimeLeft {
		return balance.Choice{}, notRun(problem.ReasonDeadline, "no time left to send the request", 0)
	}
	limit, freeSlotOnly, retryAfter := g.admissionLimit(c, left, now)
	choice, ok := g.Balancer.Pick(balance.Request{
		Service: c.service, Work: g.estimates.work(c.route), Objective: c.route.Objective, NonIdempotent: !c.route.Idempotent,
		MaxLatency: limit, FreeSlotOnly: freeSlotOnly, Bytes: c.bodyBytes() + g.estimates.responseBytes(c.route),
		Exclude: c.sentTo, Connected: func(address string) bool { return g.Servers.HasIdle(address, c.route.Idempotent) },
	}, now)
	switch {
	case !ok:
		return choice, notRun(problem.ReasonNoServer, "no backend server of "+c.service, min(noServerRetryAfter, left/4))
	case choice.WithinLimits || len(c.sentTo) > 0:
		return choice, nil
	}
	return choice, notRun(problem.ReasonQueueFull, fmt.Sprintf(
		"backend servers of %s are full: busy %d, answer expected after %dms, limit %dms, free slot only %t",
		c.service, choice.InFlight, choice.Expected.Milliseconds(), limit.Milliseconds(), freeSlotOnly), min(retryAfter, left/4))
}

// admissionLimit returns the expected response time above which a request is refused, whether it needs a free slot, and the
// Retry-After of a refusal. A request that waited longer would be late or delay a more urgent one.
func (g *Gateway) admissionLimit(c *call, left time.Duration, now time.Time) (
	limit time.Duration, freeSlotOnly bool, retryAfter time.Duration,
) {
	work, objective := g.estimates.work(c.route), c.route.Objective
	limit, retryAfter = time.Duration(overloadFactor*float64(objective)), refusalRetryAfter(c.route)
	freeSlotOnly = !balance.Urgent(objective, work) && g.Balancer.Urgent(c.service, now)
	if c.priorWait+work > objective {
		// The objective is missed in any case, so the caller retries late, when there may be capacity again.
		limit, retryAfter = min(limit, lateWorkFactor*work), left
	}
	return limit, freeSlotOnly, retryAfter
}

// notReady returns the refusal of a request while this VM starts or stops.
func (g *Gateway) notReady() *problem.Problem {
	retryAfter := minRetryAfter
	if !g.refusing.Load() {
		retryAfter = max(retryAfter, usualStartupTime-g.Clock.Now().Sub(g.startedAt))
	}
	return notRun(problem.ReasonNotReady, "this VM serves no requests", retryAfter)
}

// refusalRetryAfter returns the Retry-After for a request that was refused because the servers are full.
func refusalRetryAfter(r *routing.Route) time.Duration {
	return time.Duration(refusalRetryAfterShare * float64(r.Objective))
}

// mayRetry reports whether another attempt may follow r, and charges it to the retry budget if the server may have received the
// request.
func (g *Gateway) mayRetry(ctx context.Context, c *call, r result) bool {
	switch {
	case len(c.sentTo) >= c.route.MaxAttempts, ctx.Err() != nil, c.stream != nil && c.stream.ReadStarted:
		return false
	case !r.notRun && !c.route.Idempotent:
		return false
	case c.deadline.Sub(g.Clock.Now()) < minTimeLeft:
		return false
	}
	if r.mayHaveArrived && !g.Retries.Spend(c.service) {
		c.trace.WriteString(" repeat=over_budget")
		return false
	}
	return true
}
