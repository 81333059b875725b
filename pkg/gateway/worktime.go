package gateway

import (
	"sync"
	"time"

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
	// longestWaitWeight is the weight with which a shorter wait lowers the longest wait of a route's callers. A wait of at least
	// firstTryWaitShare of the longest one counts as that of a first try, because callers of one route differ in their waits.
	longestWaitWeight = 0.002
	firstTryWaitShare = 0.8
)

// routeEstimates holds moving estimates for the requests of each route: work, response size and longest wait of a caller. It is
// safe for concurrent use.
type routeEstimates struct {
	mu     sync.Mutex
	routes map[string]*routeEstimate
}

type routeEstimate struct {
	work          float64 // time at a slowdown of 1, in nanoseconds
	responseBytes float64
	longestWait   float64 // longest recent wait of a caller, in nanoseconds
}

func newRouteEstimates() *routeEstimates { return &routeEstimates{routes: map[string]*routeEstimate{}} }

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

// record updates the estimates of a route with the response time and size of a response. The time is divided by the slowdown of
// the server. It is limited to twice the current estimate, because some times include a wait for a slot.
func (e *routeEstimates) record(r *routing.Route, took time.Duration, slowdown float64, bytes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	estimate := e.get(r)
	sample := min(float64(took)/max(slowdown, 0.1), 2*estimate.work)
	estimate.work += (sample - estimate.work) * sampleWeight
	estimate.responseBytes += (float64(bytes) - estimate.responseBytes) * sampleWeight
}
