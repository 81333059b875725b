package gateway

import (
	"context"
	"math"
	"time"

	"github.com/hornbeamway/hornbeamway/pkg/balance"
)

const (
	// hedgeInterval is the interval at which a hedged attempt is considered while it could still meet the objective.
	hedgeInterval = 15 * time.Millisecond
	// overdueFactor is the time after which a response is overdue, as a multiple of the request's usual work.
	overdueFactor = 1.5
	// slowServerSlowdown is the slowdown above which a server is considered slow.
	slowServerSlowdown = 2.5
	// attemptOverhead is the time that an attempt takes in addition to the server's work.
	attemptOverhead = 8 * time.Millisecond
	// hedgeBudgetReserve is the share of the retry budget that is reserved for attempts after a failure: attempts hedged to meet
	// the objective do not use it.
	hedgeBudgetReserve = 0.4
	// finalHedgeShare is the share of the time left until the deadline after which a hedged attempt starts even though it is too
	// late for the objective.
	finalHedgeShare = 0.5
)

// hedgePlan determines when a hedged attempt may start while the first one is running. Only idempotent requests with a buffered
// body and more than one allowed attempt are hedged.
type hedgePlan struct {
	allowed, bulk bool
	firstServer   balance.ServerKey
	// overdueAt is the time after which the first response is overdue. latestStart is the latest start of a hedged attempt that
	// can still meet the objective, which ends at objectiveAt. After finalStart a hedged attempt starts even if it is too late for
	// the objective.
	objectiveAt, overdueAt, latestStart, finalStart time.Time
}

// planHedge returns the plan for a request that has just been sent to its first server.
func (g *Gateway) planHedge(c *call, choice balance.Choice) hedgePlan {
	now := g.Clock.Now()
	p := hedgePlan{allowed: c.route.Idempotent && c.route.MaxAttempts > 1 && c.stream == nil,
		bulk: c.route.Bulk, firstServer: choice.Key}
	work := g.estimates.work(c.route)
	p.objectiveAt = c.arrivedAt.Add(c.route.Objective - c.priorWait)
	p.overdueAt = now.Add(time.Duration(overdueFactor*float64(work)) + attemptOverhead)
	p.latestStart = p.objectiveAt.Add(-work - attemptOverhead)
	p.finalStart = now.Add(time.Duration(finalHedgeShare * float64(c.deadline.Sub(now))))
	return p
}

// untilNextCheck returns the time until a hedged attempt is considered again.
func (p hedgePlan) untilNextCheck(now time.Time) time.Duration {
	switch {
	case !p.allowed || now.After(p.finalStart):
		return math.MaxInt64
	case now.After(p.latestStart):
		return max(hedgeInterval, p.finalStart.Sub(now))
	}
	return hedgeInterval
}

// startHedge starts a hedged attempt if the plan, the deadline, the load of the servers and the retry budget allow it, and
// reports whether it did.
func (g *Gateway) startHedge(ctx, superseded context.Context, c *call, p hedgePlan, results chan result) bool {
	now := g.Clock.Now()
	if !p.allowed || ctx.Err() != nil || !c.attemptLeft() || c.deadline.Sub(now) < minTimeLeft {
		return false
	}
	if now.Before(p.finalStart) && !g.worthHedging(p, now) {
		return false
	}
	choice, refusal := g.chooseServer(c)
	if refusal != nil {
		return false
	}
	reserve := 0.0
	if now.Before(p.finalStart) {
		if now.Add(choice.Expected).After(p.objectiveAt) || choice.Slowdown > slowServerSlowdown {
			return false
		}
		reserve = hedgeBudgetReserve
	}
	if !g.Retries.SpendWithReserve(c.service, reserve) {
		return false
	}
	c.trace.WriteString(" hedge")
	g.startAttempt(ctx, superseded, c, choice, results)
	return true
}

// worthHedging reports whether the first response is overdue or its server is now considered slow, while a hedged attempt could
// still meet the objective. Bulk requests are not hedged for their objective.
func (g *Gateway) worthHedging(p hedgePlan, now time.Time) bool {
	if p.bulk || now.After(p.latestStart) {
		return false
	}
	return now.After(p.overdueAt) || g.Balancer.Slowdown(p.firstServer, now) > slowServerSlowdown
}
