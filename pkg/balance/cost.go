package balance

import "time"

const (
	// urgentWorkFactor is the longest objective, as a multiple of the usual work of a request, for which recent load reports
	// matter: a longer objective is met even by a slow server. urgentWindow is the time for which a service counts as urgent
	// after such a request.
	urgentWorkFactor = 5
	urgentWindow     = 2 * time.Second
	// initialSlowdown is assumed for the servers of a service until load reports arrive.
	initialSlowdown = 1.3
	// meanSlowdownWeight is the weight of one load report in the mean slowdown of a service.
	meanSlowdownWeight = 0.02
	// slowdownDecayTime is the time constant with which a reported slowdown loses its weight: a server shares its machine
	// with others, and the load of that machine changes about this often.
	slowdownDecayTime = 150 * time.Millisecond
	// warmUpSlowdown is the factor by which work takes longer on a server that has just started.
	warmUpSlowdown = 2
	// highUtilization is the share of busy slots above which servers work more slowly, and highUtilizationSlowdown the
	// factor by which they do.
	highUtilization         = 0.8
	highUtilizationSlowdown = 1.5
	// crossDataCentreDelay and crossRegionDelay are round-trip times in ms.
	crossDataCentreDelay = 2.8
	crossRegionDelay     = 62.0
	// crossDataCentreCost and crossRegionCost weigh traffic that is paid by volume against latency, in ms per kB.
	crossDataCentreCost = 2.0
	crossRegionCost     = 14.0
	// connectCost is the cost of opening a connection, as a multiple of the request's objective.
	connectCost = 0.06
	// maxReportAge is the age up to which the request counts of a load report are used. For an older report, or none,
	// assumedInFlight requests are assumed.
	maxReportAge    = time.Second
	assumedInFlight = 2
	// failureCost is the cost of a server that always fails, as a multiple of the request's objective.
	failureCost = 4.0
	// failureRateWeight is the weight of one outcome in the failure rate of a server, and failureDecayTime the time constant
	// with which the rate decays.
	failureRateWeight = 0.25
	failureDecayTime  = 4 * time.Second
	// fullBackoff is the time after an outcome Full for which the cost of the server is higher by the request's objective.
	fullBackoff = 30 * time.Millisecond
	// initialUnreachableBackoff is the time for which a server is avoided after a failed connection. It doubles with each
	// further failure, up to maxUnreachableBackoff.
	initialUnreachableBackoff = 250 * time.Millisecond
	maxUnreachableBackoff     = 4 * time.Second
	// unreachableCost makes an unreachable server the last choice, in ms.
	unreachableCost = 10_000.0
	// rampUpCost, in ms, makes a server the last choice for the requests that it does not get yet after a hold; see rampUpTime.
	rampUpCost = 10_000.0
	// outsideLimitsCost, in ms, is added for a server outside the limits of the request, which would then be refused, so that
	// a server within the limits is preferred even if it fails at times. The preference ends above a failure rate of
	// maxFailureRate. For requests that cannot be sent again after a failure it ends above maxFailureRateOnce, because they can
	// be sent again after a refusal.
	outsideLimitsCost  = 5_000.0
	maxFailureRate     = 0.7
	maxFailureRateOnce = 0.3
	// tieBreakRange is the range of the random cost, in ms, that spreads requests over servers of equal cost.
	tieBreakRange = 1.0
)

// cost returns the expected response time of a server in ms plus penalties for failures, traffic between data centres, a new
// connection, lack of capacity and unreachability.
func (b *Balancer) cost(svc *serviceState, s *serverState, r Request, now time.Time) float64 {
	expected := b.expect(svc, s, r, now)
	cost := expected.millis
	failureRate, maxRate := s.failureRateNow(now), maxFailureRate
	if r.NonIdempotent {
		maxRate = maxFailureRateOnce
	}
	switch within := b.withinLimits(s, r, expected); {
	case within && failureRate <= maxRate:
	case !within && failureRate <= maxRate && b.mayTry(svc, s, r, now):
		cost += trialCost
	default:
		cost += outsideLimitsCost
	}
	cost += failureRate * failureCost * toMillis(r.Objective)
	kB := r.Bytes / 1e3
	switch {
	case s.info.Region != b.self.Region:
		cost += kB * crossRegionCost
	case s.info.DataCentre != b.self.DataCentre:
		cost += kB * crossDataCentreCost
	}
	if r.Connected != nil && !r.Connected(s.info.Address) {
		cost += connectCost * toMillis(r.Objective)
	}
	if now.Before(s.fullUntil) {
		cost += toMillis(r.Objective)
	}
	if now.Before(s.unreachableUntil) {
		cost += unreachableCost
	}
	return cost
}

// expectation is what is expected of a server for a request: the time in ms until it responds, and whether the request waits for
// a slot there.
type expectation struct {
	millis float64
	queued bool
}

// withinLimits reports whether a server with an expectation is within the limits of a request.
func (b *Balancer) withinLimits(s *serverState, r Request, e expectation) bool {
	limit := r.MaxLatency
	if e.queued {
		limit = r.MaxQueueLatency
	}
	return (limit == 0 || e.millis <= toMillis(limit)) && b.regionAllowed(s, r) && s.hasFreeSlots(r)
}

// regionAllowed reports whether a request may be sent to the region of a server.
func (b *Balancer) regionAllowed(s *serverState, r Request) bool {
	return !r.OwnRegion || s.info.Region == b.self.Region
}

// hasFreeSlots reports whether the counted requests leave the free slots that a request needs.
func (s *serverState) hasFreeSlots(r Request) bool {
	return r.FreeSlots == 0 || s.totalInFlight+min(r.FreeSlots, s.info.Slots) <= s.info.Slots
}

// expect returns what is expected of a server: work, time in its queue and round trip.
func (b *Balancer) expect(svc *serviceState, s *serverState, r Request, now time.Time) expectation {
	work := toMillis(r.Work) * s.slowdown(svc, now)
	if now.Before(s.info.WarmUntil) {
		work *= warmUpSlowdown
	}
	inFlight := s.totalInFlight
	if !b.countsShared(s) {
		inFlight = max(inFlight, s.reportedInFlight(now))
	}
	slots := max(1, s.info.Slots)
	if float64(inFlight+1) > highUtilization*float64(slots) {
		work *= highUtilizationSlowdown
	}
	total := work
	queued := inFlight - slots + 1
	if queued > 0 {
		total += work * float64(queued) / float64(slots)
	}
	return expectation{millis: total + b.roundTrip(s), queued: queued > 0}
}

// roundTrip returns the assumed network round-trip time to a server in ms.
func (b *Balancer) roundTrip(s *serverState) float64 {
	switch {
	case s.info.Region != b.self.Region:
		return crossRegionDelay
	case s.info.DataCentre != b.self.DataCentre:
		return crossDataCentreDelay
	}
	return 0
}

// toMillis converts a duration to milliseconds.
func toMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// fromMillis converts milliseconds to a duration.
func fromMillis(millis float64) time.Duration {
	return time.Duration(millis * float64(time.Millisecond))
}
