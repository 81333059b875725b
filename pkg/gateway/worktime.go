package gateway

import (
	"sync"
	"time"

	"github.com/hornbeamway/hornbeamway/pkg/routing"
)

const (
	// initialWorkShare is the work that is expected of a route without answers yet, as a share of its objective, by whether its
	// answers are large.
	initialWorkShare     = 0.35
	initialBulkWorkShare = 0.1
	// initialBytes is the size that is expected of an answer of such a route, by whether its answers are large.
	initialBytes     = 5_000
	initialBulkBytes = 90_000
	// learnWeight is the weight of one answer in the means.
	learnWeight = 0.05
	// waitDecay is the weight of one shorter wait in the longest wait of a route's callers, and usualWait the share of that
	// from which a wait counts as one of a first try: callers of one route do not all wait for the same time.
	waitDecay = 0.002
	usualWait = 0.8
)

// workTimes holds the usual work and answer size of the requests of each route. It is safe for concurrent use.
type workTimes struct {
	mu     sync.Mutex
	routes map[string]*routeWork
}

type routeWork struct {
	work  float64 // nanoseconds at usual speed
	bytes float64
	wait  float64 // longest wait of late, in nanoseconds
}

func newWorkTimes() *workTimes { return &workTimes{routes: map[string]*routeWork{}} }

func (w *workTimes) get(r *routing.Route) *routeWork {
	found, ok := w.routes[r.Name]
	if !ok {
		found = &routeWork{work: initialWorkShare * float64(r.Objective), bytes: initialBytes}
		if r.Bulk {
			found.work, found.bytes = initialBulkWorkShare*float64(r.Objective), initialBulkBytes
		}
		w.routes[r.Name] = found
	}
	return found
}

// work returns the usual time that a server works on a request.
func (w *workTimes) work(r *routing.Route) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.get(r).work)
}

// waited takes the time for which a caller will wait and returns for how long it has been trying already, at least. A caller
// that tries again within its time says a shorter one than at first.
func (w *workTimes) waited(r *routing.Route, wait time.Duration) time.Duration {
	if wait <= 0 {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	found := w.get(r)
	found.wait = max(float64(wait), found.wait+(float64(wait)-found.wait)*waitDecay)
	return max(0, time.Duration(usualWait*found.wait)-wait)
}

// answerBytes returns the usual size of an answer.
func (w *workTimes) answerBytes(r *routing.Route) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.get(r).bytes
}

// learn takes an answer that a server of the given slowness needed a time for. Times that include a wait are cut to twice
// the mean.
func (w *workTimes) learn(r *routing.Route, took time.Duration, slowness float64, bytes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	found := w.get(r)
	sample := min(float64(took)/max(slowness, 0.1), 2*found.work)
	found.work += (sample - found.work) * learnWeight
	found.bytes += (float64(bytes) - found.bytes) * learnWeight
}
