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
	// usualStart is the time in which a VM knows routes and servers after its start, and leastRetry the least Retry-After of a
	// VM that does not serve: new connections go to other VMs, too. noServerRetry is that of a service without servers.
	usualStart    = 200 * time.Millisecond
	leastRetry    = 40 * time.Millisecond
	noServerRetry = 150 * time.Millisecond
	// leastLeft is the time left below which a request is not sent any more.
	leastLeft = 5 * time.Millisecond
	// overloadFactor is the expected time in objectives above which a request is refused, because it would be late anyway
	// and make others late.
	overloadFactor = 1.2
	// lateWorks is the same, in usual works, for a request whose caller has been trying for so long that its objective is
	// missed: it gets a free slot, but does not keep others waiting that can still meet theirs.
	lateWorks = 2
	// refusalRetryShare is the Retry-After of a request that servers refused or that found them full, as a share of the
	// objective: it can still be met then.
	refusalRetryShare = 0.1
)

// serve brings a request to a server. The error is a *problem.Problem.
func (g *Gateway) serve(c *call) error {
	if err := g.admit(c); err != nil {
		return err
	}
	g.Retries.Earn(c.service)
	ctx, stop := g.watch(c)
	err := g.attempts(ctx, c)
	if body, streamed := c.ctx.Response.BodyStream().(*upstream.Body); streamed && err == nil {
		body.OnClose(stop)
	} else {
		stop()
	}
	return err
}

// attempts sends the request until a server has answered it or no further attempt is allowed. An attempt that takes long
// goes on while a second one runs beside it; the first good answer counts.
func (g *Gateway) attempts(ctx context.Context, c *call) error {
	choice, refusal := g.choose(c)
	if refusal != nil {
		return refusal
	}
	results := make(chan result, c.route.MaxAttempts)
	losers, cancelLosers := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelLosers()
	g.launch(ctx, losers, c, choice, results)
	plan := g.planHedge(c, choice)
	hedge := time.NewTimer(plan.next(g.Clock.Now()))
	defer hedge.Stop()
	for running := 1; ; {
		select {
		case <-hedge.C:
			if g.hedge(ctx, losers, c, plan, results) {
				running++
			} else {
				hedge.Reset(plan.next(g.Clock.Now()))
			}
			continue
		case r := <-results:
			running--
			c.note(r)
			if r.delivered {
				c.deliver(r)
				return nil
			}
			c.mayHaveRun = c.mayHaveRun || !r.notRun
			if running > 0 {
				continue
			}
			if !g.mayRepeat(ctx, c, r) {
				return r.err
			}
			choice, refusal := g.choose(c)
			if refusal != nil {
				return r.err
			}
			g.launch(ctx, losers, c, choice, results)
			running++
		}
	}
}

// launch starts an attempt. ctx ends when the caller leaves, losers when another attempt has answered.
func (g *Gateway) launch(ctx, losers context.Context, c *call, choice balance.Choice, results chan result) {
	c.sent = append(c.sent, choice.Key)
	a := attempt{gateway: g, route: c.route, id: c.head.ID, choice: choice, deadline: c.deadline, stream: c.stream,
		req: g.outgoing(c, choice.Server.ID), resp: &fasthttp.Response{}, lastOne: len(c.sent) >= c.route.MaxAttempts}
	go func() { results <- a.run(ctx, losers) }()
}

// choose picks a server, or says why none is used.
func (g *Gateway) choose(c *call) (balance.Choice, *problem.Problem) {
	now := g.Clock.Now()
	left := c.deadline.Sub(now)
	if left < leastLeft {
		return balance.Choice{}, notRun(problem.ReasonDeadline, "no time left to send the request", 0)
	}
	limit, freeSlotOnly, retry := g.loadLimit(c, left, now)
	choice, ok := g.Balancer.Pick(balance.Request{
		Service: c.service, Work: g.work.work(c.route), Objective: c.route.Objective, Once: !c.route.Idempotent,
		Within: limit, FreeSlotOnly: freeSlotOnly, Bytes: c.size() + g.work.answerBytes(c.route),
		Exclude: c.sent, Connected: func(address string) bool { return g.Servers.HasIdle(address, c.route.Idempotent) },
	}, now)
	switch {
	case !ok:
		return choice, notRun(problem.ReasonNoServer, "no backend server of "+c.service, min(noServerRetry, left/4))
	case choice.Fits || len(c.sent) > 0:
		return choice, nil
	}
	return choice, notRun(problem.ReasonQueueFull, fmt.Sprintf("backend servers of %s are full: busy %d, answer expected after %dms, limit %dms, free slot only %t",
		c.service, choice.Busy, choice.Expected.Milliseconds(), limit.Milliseconds(), freeSlotOnly), min(retry, left/4))
}

// loadLimit returns the expected time above which a request is refused, whether it needs a free slot, and when it may come back
// otherwise. A request that waits for longer would be late, or make one wait that needs the server more.
func (g *Gateway) loadLimit(c *call, left time.Duration, now time.Time) (limit time.Duration, freeSlotOnly bool, retry time.Duration) {
	work, objective := g.work.work(c.route), c.route.Objective
	limit, retry = time.Duration(overloadFactor*float64(objective)), refusalRetry(c.route)
	freeSlotOnly = !balance.Urgent(objective, work) && g.Balancer.Urgent(c.service, now)
	if c.waited+work > objective {
		// There is no haste any more, so it comes back when there may be room.
		limit, retry = min(limit, lateWorks*work), left
	}
	return limit, freeSlotOnly, retry
}

// notReady refuses a request while this VM starts or stops.
func (g *Gateway) notReady() *problem.Problem {
	retry := leastRetry
	if !g.refusing.Load() {
		retry = max(retry, usualStart-g.Clock.Now().Sub(g.started))
	}
	return notRun(problem.ReasonNotReady, "this VM serves no requests", retry)
}

func refusalRetry(r *routing.Route) time.Duration {
	return time.Duration(refusalRetryShare * float64(r.Objective))
}

// mayRepeat decides whether another attempt may follow r, and pays for it.
func (g *Gateway) mayRepeat(ctx context.Context, c *call, r result) bool {
	switch {
	case len(c.sent) >= c.route.MaxAttempts, ctx.Err() != nil, c.stream != nil && c.stream.Touched:
		return false
	case !r.notRun && !c.route.Idempotent:
		return false
	case c.deadline.Sub(g.Clock.Now()) < leastLeft:
		return false
	}
	if r.arrived && !g.Retries.Spend(c.service) {
		c.trace.WriteString(" repeat=over_budget")
		return false
	}
	return true
}
