package balance

import (
	"slices"
	"time"
)

// Pick returns the server with the lowest cost; ok is false if the service has no server that can be chosen. Servers that have
// stated that they are leaving, or have asked for no requests, are not chosen.
func (b *Balancer) Pick(r Request, now time.Time) (c Choice, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	svc := b.services[r.Service]
	if svc == nil {
		return Choice{}, false
	}
	if Urgent(r.Objective, r.Work) {
		svc.lastUrgentAt = now
	}
	best, heldOff := b.cheapest(svc, r, now)
	if best == nil {
		return Choice{HeldOff: heldOff}, false
	}
	slowdown := best.slowdown(svc, now)
	expected := b.expect(svc, best, r, now)
	c = Choice{Server: best.info, Key: best.key, InFlight: best.totalInFlight, Slowdown: slowdown, ReportAge: -1,
		WithinLimits: b.withinLimits(best, r, expected), Expected: fromMillis(expected.millis), RoundTrip: fromMillis(b.roundTrip(best))}
	c.Trial = !c.WithinLimits && b.mayTry(svc, best, r, now)
	if c.Trial && svc.trialDue(now) && !b.mayTryAgain(svc, best, now) {
		svc.lastTrialAt = now
	}
	if !best.reportedAt.IsZero() {
		c.ReportAge = now.Sub(best.reportedAt)
	}
	return c, true
}

// cheapest returns the server with the lowest cost that can be chosen, nil if there is none. heldOff is the time until the first hold
// ends if holds alone are the reason. The caller holds the lock.
func (b *Balancer) cheapest(svc *serviceState, r Request, now time.Time) (best *serverState, heldOff time.Duration) {
	bestCost := 0.0
	// triedAvailable is true if the request was already sent to a server that may get further ones.
	triedAvailable := false
	for _, s := range svc.servers {
		a := b.availabilityOf(s.info, now)
		status := a.at(now)
		if left := a.holdLeft(now); status == HeldOff && (heldOff == 0 || left < heldOff) {
			heldOff = left
		}
		if status != Available || s.misdirected {
			continue
		}
		if slices.Contains(r.Exclude, s.key) {
			triedAvailable = true
			continue
		}
		cost := b.cost(svc, s, r, now) + b.random.Float64()*tieBreakRange
		if share := a.rampUpShare(now); share < 1 && b.random.Float64() >= share {
			cost += rampUpCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	if triedAvailable {
		heldOff = 0
	}
	return best, heldOff
}
