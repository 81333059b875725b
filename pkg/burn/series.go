package burn

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// bucketLength is the time covered by one bucket, the resolution of the counters.
	bucketLength = 10 * time.Second
	// numBuckets is the number of buckets that cover the longest window.
	numBuckets = int64(6 * time.Hour / bucketLength)
	// HistoryStep is the time covered by one element of Row.History.
	HistoryStep = 5 * time.Minute
)

// windows are the periods over which burn rates are computed, shortest first.
var windows = [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

// windowNames are the names of the windows in metrics.
var windowNames = [len(windows)]string{"5m", "1h", "6h"}

// windowCount counts the calls of one VM in one bucket or window. 32 bits suffice for 190,000 calls/s over 6 h.
type windowCount struct{ total, bad uint32 }

func (c *windowCount) add(o windowCount) { c.total += o.total; c.bad += o.bad }
func (c *windowCount) sub(o windowCount) { c.total -= o.total; c.bad -= o.bad }

// toCount converts the count to 64 bits, in which the counts of all VMs are added.
func (c windowCount) toCount() Count { return Count{Calls: uint64(c.total), Bad: uint64(c.bad)} }

// series counts the calls of one service and class. Each takes about 17 KiB of memory.
type series struct {
	objective Objective
	calls     *metrics.Counter
	badCalls  *metrics.Counter

	mu           sync.Mutex
	newestBucket int64 // number of the newest bucket, counted from the tracker's start
	ring         [numBuckets]windowCount
	windowSums   [len(windows)]windowCount // sum of the buckets in each window
}

// observeAt counts one call in the given bucket. A call in an earlier bucket than the newest counts in the newest.
func (s *series) observeAt(bucket int64, bad bool) {
	increment := windowCount{total: 1}
	if bad {
		increment.bad = 1
		s.badCalls.Inc()
	}
	s.calls.Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(bucket)
	s.ring[s.newestBucket%numBuckets].add(increment)
	for i := range s.windowSums {
		s.windowSums[i].add(increment)
	}
}

// advance starts the buckets up to the given one and subtracts the buckets that leave a window from its sum.
func (s *series) advance(bucket int64) {
	if bucket-s.newestBucket >= numBuckets {
		s.ring, s.windowSums, s.newestBucket = [numBuckets]windowCount{}, [len(windows)]windowCount{}, bucket
		return
	}
	for s.newestBucket < bucket {
		s.newestBucket++
		for i, w := range windows {
			// For the longest window, the expired bucket is in the ring position that is reused below and not yet cleared.
			expired := s.newestBucket - int64(w/bucketLength)
			if expired >= 0 {
				s.windowSums[i].sub(s.ring[expired%numBuckets])
			}
		}
		s.ring[s.newestBucket%numBuckets] = windowCount{}
	}
}

// burnRate returns the burn rate over the window with the given index in windows.
func (s *series) burnRate(bucket int64, window int) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(bucket)
	return s.objective.burnRate(s.windowSums[window].toCount())
}

// history returns the counts of each HistoryStep in the longest window, oldest first.
func (s *series) history() []Count {
	bucketsPerStep := int64(HistoryStep / bucketLength)
	steps := make([]Count, 0, numBuckets/bucketsPerStep)
	for first := s.newestBucket - numBuckets + 1; first <= s.newestBucket; first += bucketsPerStep {
		var sum windowCount
		for n := max(0, first); n < first+bucketsPerStep; n++ {
			sum.add(s.ring[n%numBuckets])
		}
		steps = append(steps, sum.toCount())
	}
	return steps
}
