package loadshare

import (
	"slices"

	"github.com/samber/lo"

	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
)

// Duties that are assigned to VMs. The values are hashed for the ranking, so that all VMs must use the same ones.
const (
	dutyRead  = "read the store"
	dutyRelay = "relay"
	dutyProbe = "probe"
)

const (
	// relaysPerDataCentre is the number of VMs of a data centre that fetch changes from other data centres for the rest of it.
	// maxProbers bounds the VMs that probe the servers of a data centre.
	relaysPerDataCentre = 2
	maxProbers          = 4
	// largeCapacityShare is the fraction of the largest capacity from which on a VM counts as large and is ranked first for duties.
	largeCapacityShare = 0.5
)

// candidate is a VM that may be assigned a duty.
type candidate struct {
	address  string
	capacity int
}

// rankForDuty returns the addresses of the candidates in the order in which they are assigned a duty. The largeCount
// candidates with a large capacity come first, because a VM with a duty does work for all others.
func rankForDuty(duty, location string, candidates []candidate) (order []string, largeCount int) {
	largest := lo.MaxBy(candidates, func(a, b candidate) bool { return a.capacity > b.capacity }).capacity
	large, small := lo.FilterReject(candidates, func(c candidate, _ int) bool {
		return float64(c.capacity) >= largeCapacityShare*float64(largest)
	})
	key := dispatch.PoolKey{Service: duty, DataCentre: location}
	address := func(c candidate, _ int) string { return c.address }
	return append(dispatch.Rank(key, lo.Map(large, address)), dispatch.Rank(key, lo.Map(small, address))...), len(large)
}

func (s *Sharer) ownCandidate() candidate {
	return candidate{address: s.self.String(), capacity: s.Capacity}
}

// candidates returns the live VMs of the region, this one included, whose data centre satisfies include.
func (s *Sharer) candidates(include func(dataCentre string) bool) []candidate {
	var candidates []candidate
	if include(s.DataCentre) {
		candidates = append(candidates, s.ownCandidate())
	}
	for _, p := range s.liveInRegion() {
		if include(p.dataCentre) {
			candidates = append(candidates, candidate{address: p.address.String(), capacity: p.capacity})
		}
	}
	return candidates
}

// ReadRank returns the number of live VMs of the region that are ranked before this one for reading the store.
func (s *Sharer) ReadRank() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	regional := s.candidates(func(string) bool { return true })
	order, _ := rankForDuty(dutyRead, s.Region, regional)
	return slices.Index(order, s.self.String())
}

// IsRelay reports whether this VM fetches changes from other data centres for the VMs of its own data centre. In a region
// whose VMs all share their counts, each VM fetches them for itself.
func (s *Sharer) IsRelay() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.groupIsDataCentre {
		return true
	}
	candidates := s.candidates(func(dataCentre string) bool { return dataCentre == s.DataCentre })
	order, _ := rankForDuty(dutyRelay, s.DataCentre, candidates)
	return slices.Index(order, s.self.String()) < relaysPerDataCentre
}

// Probes reports whether this VM probes the given server in a data centre of its region. Each server is probed by one of the
// first maxProbers VMs with a large capacity in the data centre, or in the region if the data centre has no VM.
func (s *Sharer) Probes(server, dataCentre string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := s.candidates(func(d string) bool { return d == dataCentre })
	if len(candidates) == 0 {
		candidates = s.candidates(func(string) bool { return true })
	}
	order, largeCount := rankForDuty(dutyProbe, dataCentre, candidates)
	probers := order[:min(maxProbers, largeCount)]
	if !slices.Contains(probers, s.self.String()) {
		return false
	}
	return dispatch.Rank(dispatch.PoolKey{Service: dutyProbe + " " + server, DataCentre: dataCentre}, probers)[0] == s.self.String()
}
