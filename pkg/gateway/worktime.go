package gateway

import (
	"sync"
	"time"

	"github.com/hornbeamway/hornbeamway/pkg/balance"
	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/routing"
)

const (
	// initialWorkShare is the work assumed for a route without any responses yet, as a share of its objective;
	// initialBulkWorkShare is that of a bulk route, whose responses are large.
	initialWorkShare     = 0.35
	initialBulkWorkShare = 0.1
	// initialResponseBytes is the response size in bytes assumed for a route without any responses yet, and
	// initialBulkResponseBytes that of a bulk route.
	initialResponseBytes     = 5_000
	initialBulkResponseBytes = 90_000
	// sampleWeight is the weight of one response in the moving averages.
	sampleWeight = 0.05
	// trialSampleWeight is the weight of the first response after a trial request was sent because the work is unknown.
	trialSampleWeight = 0.5
	// workTestInterval is the time after the first refusal of a route, without a response since, from which its work counts as unknown,
	// so that a trial request may be sent. It is also the least time between two such requests.
	workTestInterval = time.Second
	// minWorkShare is the least share of a response time that counts as work, because the round-trip time that is subtracted is an
	// assumption.
	minWorkShare = 0.5
	// longestWaitWeight is the weight with which a shorter wait lowers the longest wait of a route's callers. A wait of at least
	// firstTryWaitShare of the longest one counts as that of a first try, because callers of one route differ in their waits.
	longestWaitWeight = 0.002
	firstTryWaitShare = 0.8
)

// routeEstimates holds moving estimates for the requests of each route: work, response size and longest wait of a caller. It is
// safe for concurrent use.
type routeEstimates struct {
	clock  clock.Clock
	mu     sync.Mutex
	routes map[string]*routeEstimate
}

type routeEstimate struct {
	work          float64 // time at a slowdown of 1, in nanoseconds
	responseBytes float64
	longestWait   float64 // longest recent wait of a caller, in nanoseconds
	// refusedSince is the time of the first refusal since the last response, or of the last trial request for unknown work if that is
	// later; zero if there is neither. testing is true from that trial request until the next response of the route.
	refusedSince time.Time
	testing      bool
}

func newRouteEstimates(c clock.Clock) *routeEstimates {
	return &routeEstimates{clock: c, routes: map[string]*routeEstimate{}}
}

// get returns the estimate of a route and creates it if it does not exist. The caller holds the lock.
func (e *routeEstimates) get(r *routing.Route) *routeEstimate {
	estimate, ok := e.routes[r.Name]
	if !ok {
		estimate = &routeEstimate{work: initialWorkShare * float64(r.Objective), responseBytes: initialResponseBytes}
		if r.Bulk {
			estimate.work, estimate.responseBytes = initialBulkWorkShare*float64(r.Objective), initialBulkResponseBytes
		}
		e.routes[r.Name] = estimate
	}
	return estimate
}

// work returns the time that a server usually works on a request of the route.
func (e *routeEstimates) work(r *routing.Route) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(e.get(r).work)
}

// workUnknown reports whether requests of a route have been refused without a response for so long that its estimated work counts
// as unknown: while all requests are refused, no response confirms the estimate.
func (e *routeEstimates) workUnknown(r *routing.Route) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.get(r).unknown(e.clock.Now())
}

// unknown reports whether the work of the route counts as unknown at the time now.
func (estimate *routeEstimate) unknown(now time.Time) bool {
	return !estimate.refusedSince.IsZero() && now.Sub(estimate.refusedSince) >= workTestInterval
}

// recordRefusal records that a request of a route is refused, or waits, because no server is within its limits.
func (e *routeEstimates) recordRefusal(r *routing.Route) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if estimate := e.get(r); estimate.refusedSince.IsZero() {
		estimate.refusedSince = e.clock.Now()
	}
}

// recordTrial records that a trial request of a route is sent. If the work is unknown, the next response has a high weight.
func (e *routeEstimates) recordTrial(r *routing.Route) {
	e.mu.Lock()
	defer e.mu.Unlock()
	estimate, now := e.get(r), e.clock.Now()
	if estimate.unknown(now) {
		estimate.refusedSince, estimate.testing = now, true
	}
}

// priorWait records the wait that a caller states, and returns a lower bound on the time for which the caller has already been
// retrying. A caller that retries within its total wait states the remaining time, which is shorter than that of the first try.
func (e *routeEstimates) priorWait(r *routing.Route, wait time.Duration) time.Duration {
	if wait <= 0 {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	estimate := e.get(r)
	estimate.longestWait = max(float64(wait), estimate.longestWait+(float64(wait)-estimate.longestWait)*longestWaitWeight)
	return max(0, time.Duration(firstTryWaitShare*estimate.longestWait)-wait)
}

// responseBytes returns the usual size of a response of the route in bytes.
func (e *routeEstimates) responseBytes(r *routing.Route) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.get(r).responseBytes
}

// record updates the estimates of a route with the response time and size of a response from the chosen server. The time without the
// round trip is divided by the slowdown of the server. It is limited to twice the current estimate, because some times include a wait
// for a slot.
func (e *routeEstimates) record(r *routing.Route, choice balance.Choice, took time.Duration, bytes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	estimate, weight := e.get(r), sampleWeight
	if estimate.testing {
		weight = trialSampleWeight
	}
	estimate.refusedSince, estimate.testing = time.Time{}, false
	work := max(float64(took-choice.RoundTrip), minWorkShare*float64(took))
	sample := min(work/max(choice.Slowdown, 0.1), 2*estimate.work)
	estimate.work += (sample - estimate.work) * weight
	estimate.responseBytes += (float64(bytes) - estimate.responseBytes) * sampleWeight
}
