package balance

import "time"

const (
	// trialInterval is the interval at which a VM sends trial requests to servers of unknown load of a service, and spareTrialInterval
	// that while it knows the load of those in its region, which are used first.
	trialInterval      = 200 * time.Millisecond
	spareTrialInterval = 10 * time.Second
	// trialCost, in ms, makes a server that may get a trial request the choice after the servers within the limits of the request.
	trialCost = 2_500.0
	// knownLoadAge is the age up to which a load report counts as knowledge. The slowdown in an older one has lost its weight.
	knownLoadAge = 500 * time.Millisecond
)

// mayTry reports whether a server may get the request as a trial although its expected response time exceeds the limit. Without
// trials an expectation that rests on an assumption would never be corrected: nothing is sent, so that no response arrives. The
// limits that rest on knowledge apply to a trial, too: the counted requests have to leave the free slots that the request needs.
func (b *Balancer) mayTry(svc *serviceState, s *serverState, r Request, now time.Time) bool {
	if len(r.Exclude) > 0 || now.Before(s.fullUntil) || now.Before(s.unreachableUntil) {
		return false
	}
	r.FreeSlots = max(1, r.FreeSlots)
	if !b.regionAllowed(s, r) || !s.hasFreeSlots(r) {
		return false
	}
	return r.WorkUnknown || !s.loadKnown(now) && (svc.trialDue(now) || b.answersTrials(svc, s, now))
}

// trialDue reports whether the interval since the last trial request to a server of unknown load has passed.
func (svc *serviceState) trialDue(now time.Time) bool {
	interval := trialInterval
	if svc.loadKnown(now) {
		interval = spareTrialInterval
	}
	return now.Sub(svc.lastTrialAt) >= interval
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

// answersTrials reports whether a server of a service of unknown load has just answered and has no request of this VM.
func (b *Balancer) answersTrials(svc *serviceState, s *serverState, now time.Time) bool {
	return !svc.loadKnown(now) && s.reportedAt.IsZero() && s.ownInFlight == 0 &&
		!s.answeredAt.IsZero() && now.Sub(s.answeredAt) <= maxReportAge
}
