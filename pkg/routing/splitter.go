package routing

import (
	"math"
	"sync"
)

// goldenRatioConjugate is the step between successive positions. Its multiples modulo 1 are spread evenly over 0 to 1, so that
// the shares match the weights after a few requests.
const goldenRatioConjugate = 0.6180339887498949

// Splitter distributes the requests of each route over its services by weight. It is safe for concurrent use.
type Splitter struct {
	offset    float64
	mu        sync.Mutex
	positions map[string]float64 // by route
}

// NewSplitter returns a splitter. The fractional part of offset is the first position of each route: splitters with different
// offsets do not choose the same sequence of services.
func NewSplitter(offset float64) *Splitter {
	return &Splitter{offset: offset - math.Floor(offset), positions: map[string]float64{}}
}

// Pick returns the service for the next request of a route.
func (s *Splitter) Pick(r *Route) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	s.mu.Lock()
	position, ok := s.positions[r.Name]
	if !ok {
		position = s.offset
	}
	position += goldenRatioConjugate
	position -= math.Floor(position)
	s.positions[r.Name] = position
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
		position -= share.Weight / total
		if position < 0 {
			return last
		}
	}
	return last
}
