package loadshare

import (
	"slices"

	"github.com/samber/lo"

	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
)

// Duties of VMs.
const (
	dutyRead  = "read the store"
	dutyRelay = "relay"
	dutyProbe = "probe"
)

const (
	// relays is the number of VMs of a data centre that fetch changes from elsewhere for the others, and probers that of those
	// that ask its servers.
	relays  = 2
	probers = 4
	// strongShare is the share of the largest capacity from which a VM comes first for duties.
	strongShare = 0.5
)

// candidate is a VM that could have a duty.
type candidate struct {
	address  string
	capacity int
}

// rank returns the candidates in the order in which a duty falls to them. Those with much capacity come first, because the
// holder of a duty works for all others; strong is their number.
func rank(duty, place string, candidates []candidate) (order []string, strong int) {
	largest := lo.MaxBy(candidates, func(a, b candidate) bool { return a.capacity > b.capacity }).capacity
	large, small := lo.FilterReject(candidates, func(c candidate, _ int) bool {
		return float64(c.capacity) >= strongShare*float64(largest)
	})
	key := dispatch.PoolKey{Service: duty, DataCentre: place}
	address := func(c candidate, _ int) string { return c.address }
	return append(dispatch.Rank(key, lo.Map(large, address)), dispatch.Rank(key, lo.Map(small, address))...), len(large)
}

func (s *Sharer) own() candidate { return candidate{address: s.self.String(), capacity: s.Capacity} }

// candidates returns the live VMs of the region that suit, with this one if it does.
func (s *Sharer) candidates(suits func(dataCentre string) bool) []candidate {
	var found []candidate
	if suits(s.DataCentre) {
		found = append(found, s.own())
	}
	for _, p := range s.liveInRegion() {
		if suits(p.dataCentre) {
			found = append(found, candidate{address: p.address.String(), capacity: p.capacity})
		}
	}
	return found
}

// ReadRank returns the number of live VMs of the region that read the store before this one.
func (s *Sharer) ReadRank() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.candidates(func(string) bool { return true })
	order, _ := rank(dutyRead, s.Region, all)
	return slices.Index(order, s.self.String())
}

// Relays reports whether this VM fetches changes from other data centres for the VMs of its own. In a region whose VMs all
// share their counts, each does so for itself.
func (s *Sharer) Relays() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.narrow {
		return true
	}
	own := s.candidates(func(dataCentre string) bool { return dataCentre == s.DataCentre })
	order, _ := rank(dutyRelay, s.DataCentre, own)
	return slices.Index(order, s.self.String()) < relays
}

// Probes reports whether this VM asks a server in a data centre of its region: one of the first few strong VMs of the data
// centre does, or of the region if the data centre has none.
func (s *Sharer) Probes(server, dataCentre string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	near := s.candidates(func(d string) bool { return d == dataCentre })
	if len(near) == 0 {
		near = s.candidates(func(string) bool { return true })
	}
	order, strong := rank(dutyProbe, dataCentre, near)
	first := order[:min(probers, strong)]
	if !slices.Contains(first, s.self.String()) {
		return false
	}
	return dispatch.Rank(dispatch.PoolKey{Service: dutyProbe + " " + server, DataCentre: dataCentre}, first)[0] == s.self.String()
}
