package gateway

import (
	"context"
	"math"
	"time"

	"github.com/hornbeamway/hornbeamway/pkg/balance"
)

const (
	// hedgeInterval is how often a second attempt is considered while it could still meet the objective.
	hedgeInterval = 15 * time.Millisecond
	// overdueFactor is the time in usual works after which an answer counts as overdue.
	overdueFactor = 1.5
	// slowServer is the slowness from which a server is taken to be slow.
	slowServer = 2.5
	// hedgeMargin is what an attempt takes beside the work.
	hedgeMargin = 8 * time.Millisecond
	// hedgeReserve is the share of the retry budget that second attempts for the objective leave to those after a failure.
	hedgeReserve = 0.4
	// lastHedgeShare is the share of the time left after which a second attempt starts although it is late for the objective.
	lastHedgeShare = 0.5
)

// hedgePlan says when a second attempt may run beside the first one. Only requests that may be repeated have one.
type hedgePlan struct {
	allowed, bulk bool
	first         balance.Key
	// overdue is when the first answer should have come, latest when a second attempt could still meet the objective, and
	// last when one is started in any case.
	objective, overdue, latest, last time.Time
}

// planHedge makes the plan of a request that was sent just now.
func (g *Gateway) planHedge(c *call, choice balance.Choice) hedgePlan {
	now := g.Clock.Now()
	p := hedgePlan{allowed: c.route.Idempotent && c.route.MaxAttempts > 1 && c.stream == nil,
		bulk: c.route.Bulk, first: choice.Key}
	work := g.work.work(c.route)
	p.objective = c.arrived.Add(c.route.Objective - c.waited)
	p.overdue = now.Add(time.Duration(overdueFactor*float64(work)) + hedgeMargin)
	p.latest = p.objective.Add(-work - hedgeMargin)
	p.last = now.Add(time.Duration(lastHedgeShare * float64(c.deadline.Sub(now))))
	return p
}

// next returns the time until the plan is looked at again.
func (p hedgePlan) next(now time.Time) time.Duration {
	switch {
	case !p.allowed || now.After(p.last):
		return math.MaxInt64
	case now.After(p.latest):
		return max(hedgeInterval, p.last.Sub(now))
	}
	return hedgeInterval
}

// hedge starts a second attempt beside one that takes long, if that is worth it and allowed.
func (g *Gateway) hedge(ctx, losers context.Context, c *call, p hedgePlan, results chan result) bool {
	now := g.Clock.Now()
	if !p.allowed || ctx.Err() != nil || len(c.sent) >= c.route.MaxAttempts || c.deadline.Sub(now) < leastLeft {
		return false
	}
	if now.Before(p.last) && !g.worthHedging(p, now) {
		return false
	}
	choice, refusal := g.choose(c)
	if refusal != nil {
		return false
	}
	reserve := 0.0
	if now.Before(p.last) {
		if now.Add(choice.Expected).After(p.objective) || choice.Slowness > slowServer {
			return false
		}
		reserve = hedgeReserve
	}
	if !g.Retries.SpendAbove(c.service, reserve) {
		return false
	}
	c.trace.WriteString(" hedge")
	g.launch(ctx, losers, c, choice, results)
	return true
}

// worthHedging reports whether the first answer is overdue, or its server known to have become slow, while a second attempt
// could still meet the objective.
func (g *Gateway) worthHedging(p hedgePlan, now time.Time) bool {
	if p.bulk || now.After(p.latest) {
		return false
	}
	return now.After(p.overdue) || g.Balancer.Slowness(p.first, now) > slowServer
}
