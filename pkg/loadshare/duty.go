package loadshare

import (
	"net/netip"
	"slices"

	"github.com/samber/lo"

	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
)

// Duties that are assigned to VMs. The values are hashed for the ranking, so that all VMs must use the same ones.
const (
	dutyRead      = "read the store"
	dutyRelay     = "relay"
	dutyProbe     = "probe"
	dutyAggregate = "aggregate"
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
	address  netip.AddrPort
	capacity int
}

// rankForDuty returns the addresses of the candidates in the order in which they are assigned a duty. The largeCount
// candidates with a large capacity come first, because a VM with a duty does work for all others.
func rankForDuty(duty, location string, candidates []candidate) (order []netip.AddrPort, largeCount int) {
	largest := lo.MaxBy(candidates, func(a, b candidate) bool { return a.capacity > b.capacity }).capacity
	large, small := lo.FilterReject(candidates, func(c candidate, _ int) bool {
		return float64(c.capacity) >= largeCapacityShare*float64(largest)
	})
	key := dispatch.PoolKey{Service: duty, DataCentre: location}
	address := func(c candidate, _ int) netip.AddrPort { return c.address }
	return append(rankAddresses(key, lo.Map(large, address)), rankAddresses(key, lo.Map(small, address))...), len(large)
}

// rankAddresses returns addresses in rendezvous order.
func rankAddresses(key dispatch.PoolKey, addresses []netip.AddrPort) []netip.AddrPort {
	byText := make(map[string]netip.AddrPort, len(addresses))
	texts := make([]string, len(addresses))
	for i, address := range addresses {
		texts[i] = address.String()
		byText[texts[i]] = address
	}
	return lo.Map(dispatch.Rank(key, texts), func(text string, _ int) netip.AddrPort { return byText[text] })
}

func (s *Sharer) ownCandidate() candidate {
	return candidate{address: s.self, capacity: s.Capacity}
}

// candidates returns the live VMs of the region, this one included, whose data centre satisfies include.
func (s *Sharer) candidates(include func(dataCentre string) bool) []candidate {
	var candidates []candidate
	if include(s.DataCentre) {
		candidates = append(candidates, s.ownCandidate())
	}
	for _, p := range s.liveInRegion() {
		if include(p.dataCentre) {
			candidates = append(candidates, candidate{address: p.address, capacity: p.capacity})
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
	return slices.Index(order, s.self)
}

// IsRelay reports whether this VM fetches changes from other data centres for the VMs of its own data centre. In a region
// whose VMs all share their counts, each VM fetches them for itself.
func (s *Sharer) IsRelay() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.aggregated {
		return true
	}
	candidates := s.candidates(func(dataCentre string) bool { return dataCentre == s.DataCentre })
	order, _ := rankForDuty(dutyRelay, s.DataCentre, candidates)
	return slices.Index(order, s.self) < relaysPerDataCentre
}

// ProbeDuty returns the servers that this VM probes, as of now. It is computed for all servers at once, because ranking the VMs
// for each single server takes much processor time in a large region.
func (s *Sharer) ProbeDuty() *ProbeDuty {
	s.mu.Lock()
	defer s.mu.Unlock()
	duty := &ProbeDuty{self: s.self.String(), dataCentre: s.DataCentre, own: s.probers(s.DataCentre), regional: s.probers(""),
		others: map[string]bool{}}
	for _, p := range s.liveInRegion() {
		duty.others[p.dataCentre] = true
	}
	return duty
}

// probers returns the VMs that probe the servers of a data centre of the region: its aggregators if it has some, and otherwise
// the first maxProbers VMs with a large capacity in the data centre, or in the region if the data centre has no VM.
func (s *Sharer) probers(dataCentre string) []string {
	text := func(address netip.AddrPort, _ int) string { return address.String() }
	if s.aggregated && dataCentre == s.DataCentre {
		return lo.Map(s.aggregators, text)
	}
	candidates := s.candidates(func(d string) bool { return d == dataCentre })
	if len(candidates) == 0 {
		candidates = s.candidates(func(string) bool { return true })
	}
	order, largeCount := rankForDuty(dutyProbe, dataCentre, candidates)
	return lo.Map(order[:min(maxProbers, largeCount)], text)
}

// ProbeDuty is the part of the servers of a region that one VM probes.
type ProbeDuty struct {
	self, dataCentre string
	// own holds the VMs that probe the servers of the data centre of this VM, and regional those for data centres without VMs.
	own, regional []string
	// others holds the data centres that have other VMs, which probe the servers there.
	others map[string]bool
}

// Covers reports whether the VM probes the given server in a data centre of its region.
func (d *ProbeDuty) Covers(server, dataCentre string) bool {
	probers := d.regional
	switch {
	case dataCentre == d.dataCentre:
		probers = d.own
	case d.others[dataCentre]:
		return false
	}
	if !slices.Contains(probers, d.self) {
		return false
	}
	return dispatch.Rank(dispatch.PoolKey{Service: dutyProbe + " " + server, DataCentre: dataCentre}, probers)[0] == d.self
}
