package loadshare

import (
	"net/netip"
	"slices"
	"time"

	"github.com/samber/lo"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
)

const (
	// aggregatorsPerDataCentre is the number of VMs of a data centre that collect the counts of all its VMs. Each VM subscribes to
	// the summaries of one of them.
	aggregatorsPerDataCentre = 3
	// summaryTimeout is the time without a summary after which a VM subscribes to another aggregator.
	summaryTimeout = 300 * time.Millisecond
	// silenceHold is how long an aggregator that stopped sending is not used again, even if other VMs receive its datagrams: the
	// path from it may be cut in one direction.
	silenceHold = 5 * time.Second
	// aggregatorTimeout is the time without a datagram after which an aggregator counts as silent, also at VMs that do not subscribe
	// to it: all VMs of a data centre must report to the same ones. Aggregators send every aggregatorRounds-th heartbeat to all VMs of
	// their data centre.
	aggregatorTimeout = time.Second
	aggregatorRounds  = 2
)

// subscription is the aggregator whose summaries this VM receives.
type subscription struct {
	// source is the aggregator, the zero value if there is none; since is when this VM subscribed to it, and lastSummary when its
	// last summary arrived.
	source             netip.AddrPort
	since, lastSummary time.Time
	// applied is the aggregator whose counts are in the balancer. It follows source when the first complete summary of that
	// arrives.
	applied netip.AddrPort
}

// silent reports whether p has stopped sending and either did so recently or no datagram of it has been received or reported since.
func (p *peer) silent(now time.Time) bool {
	if p.silentSince.IsZero() {
		return false
	}
	return now.Sub(p.silentSince) < silenceHold || !p.lastSeen().After(p.silentSince)
}

// collects reports whether this VM balances on the counts that the VMs of its data centre report to it, because it is an
// aggregator or others take it for one. Otherwise it uses the summaries of another VM.
func (s *Sharer) collects() bool { return s.isAggregator || s.aggregator.active() }

// updateAggregators recomputes the aggregators of the data centre and the one to which this VM subscribes.
func (s *Sharer) updateAggregators(now time.Time) {
	candidates := s.candidates(func(dataCentre string) bool { return dataCentre == s.DataCentre })
	candidates = lo.Filter(candidates, func(c candidate, _ int) bool {
		p, ok := s.peers[c.address]
		return !ok || !p.silent(now)
	})
	order, _ := rankForDuty(dutyAggregate, s.DataCentre, candidates)
	s.setAggregators(order[:min(aggregatorsPerDataCentre, len(order))], now)
	s.markSilentAggregators(now)
	if s.collects() {
		s.subscription = subscription{}
		return
	}
	s.updateSource(now)
}

// setAggregators sets the aggregators of the data centre and records when each became one.
func (s *Sharer) setAggregators(aggregators []netip.AddrPort, now time.Time) {
	for _, address := range aggregators {
		if p, ok := s.peers[address]; ok && !slices.Contains(s.aggregators, address) {
			p.aggregatorSince = now
		}
	}
	s.aggregators, s.isAggregator = aggregators, slices.Contains(aggregators, s.self)
}

// markSilentAggregators marks the aggregators from which no datagram arrives any more.
func (s *Sharer) markSilentAggregators(now time.Time) {
	for _, address := range s.aggregators {
		if p, ok := s.peers[address]; ok && now.Sub(lo.Latest(p.lastReceived, p.aggregatorSince)) > aggregatorTimeout {
			s.markSilent(p, now)
		}
	}
}

func (s *Sharer) markSilent(p *peer, now time.Time) {
	p.silentSince = now
	klog.InfoS("aggregator became silent", "vm", p.name, "address", p.address, "silence", now.Sub(p.lastReceived))
}

// updateSource subscribes to another aggregator if the present one is silent or no longer an aggregator. The VMs of a data centre are
// divided among its aggregators by rendezvous hashing.
func (s *Sharer) updateSource(now time.Time) {
	sub := &s.subscription
	if p, ok := s.peers[sub.source]; ok && now.Sub(lo.Latest(sub.since, sub.lastSummary)) > summaryTimeout {
		s.markSilent(p, now)
	}
	usable := lo.Filter(s.aggregators, func(address netip.AddrPort, _ int) bool { return !s.peers[address].silent(now) })
	source := netip.AddrPort{}
	if len(usable) > 0 {
		key := dispatch.PoolKey{Service: dutyAggregate + " " + s.self.String(), DataCentre: s.DataCentre}
		source = rankAddresses(key, usable)[0]
	}
	if source != sub.source {
		klog.InfoS("subscribing to an aggregator", "address", source, "previous", sub.source)
		sub.source, sub.since = source, now
	}
	if now.Sub(sub.lastSummary) > groupPeerTimeout {
		sub.applied = netip.AddrPort{}
	}
}

// acceptSummary records a summary and reports whether its events apply, and whether its counts do.
func (s *Sharer) acceptSummary(m *message, sender netip.AddrPort, newest bool, now time.Time) (events, counts bool) {
	sub := &s.subscription
	if !s.aggregated || s.collects() || sender != sub.source {
		return false, false
	}
	sub.lastSummary = now
	if m.complete && newest {
		sub.applied, s.sourceKnown = sender, m.known
	}
	return true, newest && sub.applied == sender
}
