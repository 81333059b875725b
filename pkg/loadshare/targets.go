package loadshare

import (
	"net/netip"
	"slices"
	"time"

	"github.com/samber/lo"
)

const (
	// unreachablePeerRounds is the interval of heartbeats to an unreachable VM of the group, in heartbeat rounds.
	unreachablePeerRounds = 5
	// contactsPerRound is the number of VMs in each other data centre of the region that get every contactRounds-th
	// heartbeat, and of VMs in other regions that get every otherRegionRounds-th.
	contactsPerRound  = 2
	contactRounds     = 5
	otherRegionRounds = 50
	// newAddressPeriod is the time for which a newly added address gets every heartbeat although no datagram from its VM has arrived.
	newAddressPeriod = time.Second
)

// heartbeatTargets returns the VMs that get a heartbeat in a round, without the aggregator to which this VM subscribes.
// readsStore means that this VM has read the store recently, so that the whole region needs its digest soon.
func (s *Sharer) heartbeatTargets(round int, now time.Time, readsStore bool) []netip.AddrPort {
	var targets, otherRegions []netip.AddrPort
	byDataCentre := map[string][]netip.AddrPort{}
	isolated := true
	for address, p := range s.peers {
		isolated = isolated && !(p.live && p.region == s.Region)
		switch {
		case address == s.subscription.source:
		case s.aggregated && slices.Contains(s.aggregators, address):
			targets = append(targets, address)
		case p.region != "" && p.region != s.Region:
			otherRegions = append(otherRegions, address)
		case p.region == s.Region && s.aggregated:
			byDataCentre[p.dataCentre] = append(byDataCentre[p.dataCentre], address)
		case p.live || round%unreachablePeerRounds == 0 || now.Sub(p.addedAt) < newAddressPeriod:
			targets = append(targets, address)
		}
	}
	for dataCentre, addresses := range byDataCentre {
		switch {
		case readsStore, s.isAggregator && dataCentre == s.DataCentre && round%aggregatorRounds == 0:
			targets = append(targets, addresses...)
		case round%contactRounds == 0:
			// The aggregators send the VMs that they know as contacts, so that all VMs of their data centre soon know this one.
			targets = append(targets, lo.Union(lo.Samples(addresses, contactsPerRound), s.aggregatorsOf(dataCentre))...)
		}
	}
	// A VM without a live peer in its region discovers them through other regions.
	if round%otherRegionRounds == 0 || isolated && round%contactRounds == 0 {
		targets = append(targets, lo.Samples(otherRegions, contactsPerRound)...)
	}
	return targets
}

// aggregatorsOf returns the aggregators of another data centre of the region, as this VM ranks them.
func (s *Sharer) aggregatorsOf(dataCentre string) []netip.AddrPort {
	if dataCentre == s.DataCentre {
		return nil
	}
	candidates := s.candidates(func(d string) bool { return d == dataCentre })
	if len(candidates) == 0 {
		return nil
	}
	order, _ := rankForDuty(dutyAggregate, dataCentre, candidates)
	return order[:min(aggregatorsPerDataCentre, len(order))]
}
