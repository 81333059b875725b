package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/balance"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
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
	// maxUnsentAttempts is the number of attempts that may fail before a byte was sent, for example to connect, in addition to the
	// attempts that the route allows.
	maxUnsentAttempts = 1
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
	choice, refusal := g.awaitServer(ctx, c)
	if refusal != nil {
		return refusal
	}
	results := make(chan result, c.route.MaxAttempts+maxUnsentAttempts)
	superseded, cancelOthers := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelOthers()
	g.startAttempt(ctx, superseded, c, choice, results)
	plan := g.planHedge(c, choice)
	hedge := time.NewTimer(plan.untilNextCheck(g.Clock.Now()))
	defer hedge.Stop()
	running := 1
	defer func() { releaseResults(results, running) }()
	for {
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
			c.recordFailure(r)
			if running > 0 {
				continue
			}
			if !g.mayRetry(ctx, c, r) {
				// Nothing more is sent. If all servers have asked for no requests, HeldOff is the time until the first hold ends.
				choice, _ := g.chooseServer(c)
				return withMinRetryAfter(r.err, choice.HeldOff)
			}
			choice, refusal := g.chooseServer(c)
			if refusal != nil {
				return withLaterRetry(r.err, refusal)
			}
			g.startAttempt(ctx, superseded, c, choice, results)
			running++
		}
	}
}

// withLaterRetry returns the problem of a failed attempt after which no server could be chosen. Its Retry-After is that of the refusal
// if this is later, for example because all servers have asked for no requests until then.
func withLaterRetry(failed, refusal *problem.Problem) *problem.Problem {
	if refusal.Reason == problem.ReasonNoServer {
		return withMinRetryAfter(failed, refusal.RetryAfter)
	}
	return failed
}

// withMinRetryAfter returns the problem of a failed attempt. If the request was not run, the Retry-After is at least the given time.
func withMinRetryAfter(failed *problem.Problem, retryAfter time.Duration) *problem.Problem {
	if failed.Outcome == problem.NotRun {
		return failed.WithRetryAfter(max(failed.RetryAfter, retryAfter))
	}
	return failed
}

// releaseResults gives back the connections of the attempts that are still running when the request has been answered.
func releaseResults(results <-chan result, running int) {
	if running == 0 {
		return
	}
	go func() {
		for range running {
			if r := <-results; r.delivered {
				// Closing the body of a response that nobody reads only closes its connection or frees its memory.
				_ = r.resp.CloseBodyStream()
			}
		}
	}()
}

// startAttempt starts an attempt and adds its server to c.sentTo. ctx ends when the caller disconnects, superseded when another
// attempt has answered.
func (g *Gateway) startAttempt(ctx, superseded context.Context, c *call, choice balance.Choice, results chan result) {
	c.sentTo = append(c.sentTo, choice.Key)
	c.body.Retain()
	a := attempt{gateway: g, route: c.route, id: c.head.ID, choice: choice, deadline: c.deadline, stream: c.stream,
		req: g.newServerRequest(c, choice.Server.ID), body: c.body, resp: &fasthttp.Response{}, final: !c.attemptLeft()}
	go func() { results <- a.run(ctx, superseded) }()
}

// recordFailure records whether the request of a failed attempt may have run, and whether a byte of it was sent.
func (c *call) recordFailure(r result) {
	c.mayHaveRun = c.mayHaveRun || !r.notRun
	if !r.mayHaveArrived {
		c.unsent++
	}
}

// attemptLeft reports whether the route allows another attempt. Attempts of which no byte was sent do not count, up to
// maxUnsentAttempts.
func (c *call) attemptLeft() bool {
	return len(c.sentTo)-min(c.unsent, maxUnsentAttempts) < c.route.MaxAttempts
}

// waitLimits returns how long a request yields to urgent requests of its service.
func (g *Gateway) waitLimits(c *call) waitLimits {
	yields := !balance.Urgent(c.route.Objective, g.estimates.work(c.route)) && g.Balancer.Urgent(c.service, g.Clock.Now())
	return newWaitLimits(yields, c.route.Objective-c.priorWait)
}

// chooseServer returns the server for the next attempt, or the problem that explains why the request is not sent.
func (g *Gateway) chooseServer(c *call) (balance.Choice, *problem.Problem) {
	now := g.Clock.Now()
	left := c.deadline.Sub(now)
	if left < minTimeLeft {
		return balance.Choice{}, notRun(problem.ReasonDeadline, "no time left to send the request", 0)
	}
	if g.mayOutlastExit(c) {
		return balance.Choice{}, notRun(problem.ReasonNotReady, "this VM exits before the deadline of the request", minRetryAfter)
	}
	limits := newAdmission(g.estimates.work(c.route), c.route.Objective, c.priorWait, left)
	wait, elapsed := g.waitLimits(c), now.Sub(c.arrivedAt)
	limits.freeSlots = max(limits.freeSlots, wait.freeSlots(elapsed))
	choice, ok := g.Balancer.Pick(balance.Request{
		Service: c.service, Work: g.estimates.work(c.route), WorkUnknown: g.estimates.workUnknown(c.route),
		Objective: c.route.Objective, NonIdempotent: !c.route.Idempotent,
		MaxLatency: limits.free, MaxQueueLatency: limits.queued, FreeSlots: limits.freeSlots,
		OwnRegion: wait.ownRegion(elapsed),
		Bytes:     c.bodyBytes() + g.estimates.responseBytes(c.route),
		Exclude:   c.sentTo, Connected: func(address string) bool { return g.Servers.HasIdle(address, c.route.Idempotent) },
	}, now)
	switch {
	case !ok && choice.HeldOff > 0:
		return choice, notRun(problem.ReasonNoServer, "all backend servers of "+c.service+" have asked for no requests",
			choice.HeldOff)
	case !ok:
		return choice, notRun(problem.ReasonNoServer, "no backend server of "+c.service, min(noServerRetryAfter, left/4))
	case choice.WithinLimits || len(c.sentTo) > 0:
		return choice, nil
	case choice.Trial:
		g.estimates.recordTrial(c.route)
		c.trace.WriteString(" trial")
		return choice, nil
	}
	g.estimates.recordRefusal(c.route)
	return choice, notRun(problem.ReasonQueueFull, fmt.Sprintf(
		"backend servers of %s are full: busy %d, answer expected after %dms, limit %dms, free slots needed %d",
		c.service, choice.InFlight, choice.Expected.Milliseconds(), limits.free.Milliseconds(), limits.freeSlots),
		min(limits.retryAfter, left/4))
}

// mayOutlastExit reports whether a request must not be sent because it may not finish before the process exits. It is checked for each
// server and not on arrival, because a request may be received slowly or wait for a server. An idempotent request that was sent before
// is still sent again, because its caller can repeat it.
func (g *Gateway) mayOutlastExit(c *call) bool {
	last := g.lastDeadline.Load()
	return last != nil && c.deadline.After(*last) && (len(c.sentTo) == 0 || !c.route.Idempotent)
}

// notReady returns the refusal of a request while this VM starts or stops.
func (g *Gateway) notReady() *problem.Problem {
	retryAfter := minRetryAfter
	if !g.refusing.Load() {
		retryAfter = max(retryAfter, usualStartupTime-g.Clock.Now().Sub(g.startedAt))
	}
	return notRun(problem.ReasonNotReady, "this VM serves no requests", retryAfter)
}

// mayRetry reports whether another attempt may follow r, and charges it to the retry budget if the server may have received the
// request.
func (g *Gateway) mayRetry(ctx context.Context, c *call, r result) bool {
	switch {
	case !c.attemptLeft(), ctx.Err() != nil, c.stream != nil && c.stream.ReadStarted:
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
