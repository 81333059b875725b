package balance

import "time"

const (
	// trialInterval is the interval at which a VM sends trial requests to servers of a service whose load is unknown.
	trialInterval = 200 * time.Millisecond
	// trialCost is the additional cost, in ms, of a server that may get a trial request. It ranks the server after those within the
	// limits of the request and before those outside them, which have outsideLimitsCost.
	trialCost = 2_500.0
	// knownLoadAge is the age of the last load report up to which a load counts as known. The slowdown in an older report has lost its
	// weight.
	knownLoadAge = 500 * time.Millisecond
)

// mayTry reports whether a server may get the request as a trial although its expected response time exceeds the limit. Without
// trials an expectation that depends on an assumption would never be corrected: nothing is sent, so that no response arrives. The
// other limits apply to a trial, too: the region, and the free slots that the counted requests have to leave.
func (b *Balancer) mayTry(svc *serviceState, s *serverState, r Request, now time.Time) bool {
	if len(r.Exclude) > 0 || now.Before(s.fullUntil) || now.Before(s.unreachableUntil) {
		return false
	}
	r.FreeSlots = max(1, r.FreeSlots)
	if !b.regionAllowed(s, r) || !s.hasFreeSlots(r) {
		return false
	}
	return r.WorkUnknown || !s.loadKnown(now) && (svc.trialDue(now) || b.mayTryAgain(svc, s, now))
}

// trialDue reports whether a trial request may be sent to a server of unknown load. None is sent while the load of the servers in the
// region of this VM is known: even rare ones from each VM would let overloaded regions take each other's slots.
func (svc *serviceState) trialDue(now time.Time) bool {
	return !svc.loadKnown(now) && now.Sub(svc.lastTrialAt) >= trialInterval
}

// loadKnown reports whether the load of the servers in the region of this VM is known: by a recent load report of one of them or, if
// they send none, by the shared counts.
func (svc *serviceState) loadKnown(now time.Time) bool {
	return svc.ownRegion && (svc.ownRegionReportAt.IsZero() || now.Sub(svc.ownRegionReportAt) <= knownLoadAge)
}

// loadKnown reports whether the last load report of a server is recent.
func (s *serverState) loadKnown(now time.Time) bool {
	return !s.reportedAt.IsZero() && now.Sub(s.reportedAt) <= knownLoadAge
}

// mayTryAgain reports whether a server may get another trial request before the trial interval has passed: the load of its service is
// unknown, it has sent no load report, its last success is at most maxReportAge ago, and no request of this VM is in flight on it.
func (b *Balancer) mayTryAgain(svc *serviceState, s *serverState, now time.Time) bool {
	return !svc.loadKnown(now) && s.reportedAt.IsZero() && s.ownInFlight == 0 &&
		!s.succeededAt.IsZero() && now.Sub(s.succeededAt) <= maxReportAge
}
