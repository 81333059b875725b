package burn

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// bucketLength is the resolution of the counters.
	bucketLength = 10 * time.Second
	// buckets cover the longest window.
	buckets = int64(6 * time.Hour / bucketLength)
	// HistoryStep is the length of one step of Row.History.
	HistoryStep = 5 * time.Minute
)

// windows are the times over which burn rates are computed.
var windows = [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

// windowNames are the names used in metrics and tables.
var windowNames = [len(windows)]string{"5m", "1h", "6h"}

// count holds calls of one bucket or window of one VM. 32 bits are enough for 190,000 calls/s over 6 h.
type count struct{ total, bad uint32 }

func (c *count) add(o count) { c.total += o.total; c.bad += o.bad }
func (c *count) sub(o count) { c.total -= o.total; c.bad -= o.bad }

// wide returns the count with the width in which the counts of all VMs are added up.
func (c count) wide() Count { return Count{Calls: uint64(c.total), Bad: uint64(c.bad)} }

// series counts the calls of one service and class. One takes about 17 KiB.
type series struct {
	objective Objective
	calls     *metrics.Counter
	badCalls  *metrics.Counter

	mu      sync.Mutex
	current int64 // number of the newest bucket since the tracker's start
	ring    [buckets]count
	sums    [len(windows)]count // over the newest buckets of each window
}

// observe counts one call at a bucket number. Earlier numbers count in the newest bucket.
func (s *series) observe(number int64, bad bool) {
	one := count{total: 1}
	if bad {
		one.bad = 1
		s.badCalls.Inc()
	}
	s.calls.Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(number)
	s.ring[s.current%buckets].add(one)
	for i := range s.sums {
		s.sums[i].add(one)
	}
}

// advance starts new buckets up to number and drops those that leave a window.
func (s *series) advance(number int64) {
	if number-s.current >= buckets {
		s.ring, s.sums, s.current = [buckets]count{}, [len(windows)]count{}, number
		return
	}
	for s.current < number {
		s.current++
		for i, w := range windows {
			// The slot of the longest window is the one that is used again; it still holds the oldest bucket.
			oldest := s.current - int64(w/bucketLength)
			if oldest >= 0 {
				s.sums[i].sub(s.ring[oldest%buckets])
			}
		}
		s.ring[s.current%buckets] = count{}
	}
}

// burnRate is the bad share of the window over the share that the objective allows.
func (s *series) burnRate(number int64, window int) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(number)
	return s.objective.burn(s.sums[window].wide())
}

// history counts the steps of HistoryStep over the longest window, oldest first.
func (s *series) history() []Count {
	per := int64(HistoryStep / bucketLength)
	steps := make([]Count, 0, buckets/per)
	for first := s.current - buckets + 1; first <= s.current; first += per {
		var sum count
		for n := max(0, first); n < first+per; n++ {
			sum.add(s.ring[n%buckets])
		}
		steps = append(steps, sum.wide())
	}
	return steps
}
