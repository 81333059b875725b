package routing

import (
	"math"
	"sync"
)

// goldenFraction spreads successive positions evenly over 0 to 1, so that the shares hold after few requests.
const goldenFraction = 0.6180339887498949

// Splitter divides the requests of each route between its services by weight. It is safe for concurrent use.
type Splitter struct {
	start    float64
	mu       sync.Mutex
	position map[string]float64 // by route
}

// NewSplitter returns a splitter. Splitters with different starts do not choose in step.
func NewSplitter(start float64) *Splitter {
	return &Splitter{start: start - math.Floor(start), position: map[string]float64{}}
}

// Pick returns the service of the next request of a route.
func (s *Splitter) Pick(r *Route) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	s.mu.Lock()
	at, ok := s.position[r.Name]
	if !ok {
		at = s.start
	}
	at += goldenFraction
	at -= math.Floor(at)
	s.position[r.Name] = at
	s.mu.Unlock()
	total := 0.0
	for _, share := range r.Shares {
		total += share.Weight
	}
	last := ""
	for _, share := range r.Shares {
		if share.Weight == 0 {
			continue
		}
		last = share.Service
		at -= share.Weight / total
		if at < 0 {
			return last
		}
	}
	return last
}
