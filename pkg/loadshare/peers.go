package loadshare

import (
	"net/netip"
	"time"

	"github.com/samber/lo"
	"k8s.io/klog/v2"
)

const (
	// groupPeerTimeout is the time without a datagram after which the in-flight requests of a VM are no longer counted. A VM with
	// which this one shares its counts directly then counts as unreachable and gets no events.
	groupPeerTimeout = 700 * time.Millisecond
	// remotePeerTimeout is the time after which any other VM counts as unreachable if neither this VM nor one that reports it in
	// a contact has received a datagram from it. With hundreds of VMs each is reported only every few seconds.
	remotePeerTimeout = 15 * time.Second
	// minRestartTime is the shortest time between the last datagram of a VM that stops and the first one after its restart.
	minRestartTime = 300 * time.Millisecond
	// peerRetention is the time since a VM was last seen after which it is removed from the peers.
	peerRetention = 2 * time.Minute
	// largeRegionPeers is the number of other live VMs in the region from which on counts are shared through aggregators of each
	// data centre, and smallRegionPeers the one below which they are shared directly again.
	largeRegionPeers = 20
	smallRegionPeers = 16
	// maxPeers bounds the VMs in Sharer.peers.
	maxPeers = 4096
)

// peer is another entry VM.
type peer struct {
	address    netip.AddrPort
	name       string
	dataCentre string
	// region is empty until a datagram of the VM or a contact states it.
	region   string
	capacity int
	start    int64
	sequence uint64
	// addedAt is when the address was added, lastReceived the time of the last datagram from the VM, and lastReported the
	// time of the latest datagram from it that any VM has reported in a contact; zero: none yet.
	addedAt, lastReceived, lastReported time.Time
	live                                bool
	// counted means that the balancer has counts that this VM sent.
	counted bool
	// aggregatorSince is when this VM became one of the aggregators, and silentSince when it stopped sending as one; zero: never.
	aggregatorSince, silentSince time.Time
}

// lastSeen returns the time of the latest datagram from the VM that this VM received or that was reported to it.
func (p *peer) lastSeen() time.Time {
	if p.lastReported.After(p.lastReceived) {
		return p.lastReported
	}
	return p.lastReceived
}

// AddPeers adds addresses of possible peers.
func (s *Sharer) AddPeers(addresses []string) {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, text := range addresses {
		s.addByAddress(text, now)
	}
}

func (s *Sharer) addByAddress(text string, now time.Time) *peer {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		klog.InfoS("ignored an invalid peer address", "address", text, "err", err)
		return nil
	}
	return s.addPeer(address, now)
}

func (s *Sharer) addPeer(address netip.AddrPort, now time.Time) *peer {
	p, ok := s.peers[address]
	if ok || address == s.self || len(s.peers) >= maxPeers {
		return p
	}
	p = &peer{address: address, addedAt: now}
	s.peers[address] = p
	return p
}

// updateSender updates the peer that sent a datagram. newest reports whether the datagram is the latest of its sender, so
// that its counts apply. firstContact reports whether it is the first datagram since the sender's start, or since a sender in the
// group was unreachable.
func (s *Sharer) updateSender(m *message, sender netip.AddrPort, now time.Time) (newest, firstContact bool) {
	p := s.addPeer(sender, now)
	if p == nil {
		return false, false
	}
	// After a restart with an earlier clock the start time is lower than before. The datagrams of the previous start have all
	// arrived after minRestartTime.
	firstContact = p.lastReceived.IsZero() || m.start > p.start || m.start != p.start && now.Sub(p.lastReceived) > minRestartTime
	newest = firstContact || m.start == p.start && m.sequence > p.sequence
	revived := !p.live
	p.live, p.lastReceived, p.name, p.dataCentre, p.region, p.capacity = true, now, m.vm, m.dataCentre, m.region, m.capacity
	if newest {
		p.start, p.sequence = m.start, m.sequence
	}
	if revived && s.sharesDirectly(p) {
		klog.InfoS("VM is reachable", "vm", m.vm, "address", sender, "region", m.region, "start", m.start)
		firstContact = true
	}
	return newest, firstContact
}

// expirePeers marks VMs as unreachable after their timeout and returns them. It removes those that were last seen longer than
// peerRetention ago.
func (s *Sharer) expirePeers(now time.Time) []peer {
	var unreachable []peer
	for address, p := range s.peers {
		lastSeen, timeout := p.lastSeen(), remotePeerTimeout
		if s.sharesDirectly(p) {
			lastSeen, timeout = p.lastReceived, groupPeerTimeout
		}
		if p.live && now.Sub(lastSeen) > timeout {
			p.live = false
			unreachable = append(unreachable, *p)
		}
		if !p.live && now.Sub(p.lastSeen()) > peerRetention && now.Sub(p.addedAt) > peerRetention {
			delete(s.peers, address)
		}
	}
	return unreachable
}

// updateGroup computes the VMs that get every event: those of the region, or the aggregators of the data centre in a large
// region. It returns the VMs whose counts are no longer valid.
func (s *Sharer) updateGroup(now time.Time) (removed []netip.AddrPort) {
	s.updateAggregated(now)
	var group []netip.AddrPort
	if s.aggregated {
		s.updateAggregators(now)
		group = lo.Without(s.aggregators, s.self)
	} else {
		s.aggregators, s.isAggregator, s.subscription = nil, false, subscription{}
		group = lo.Map(s.liveInRegion(), func(p *peer, _ int) netip.AddrPort { return p.address })
	}
	s.group.Store(&group)
	s.Balancer.SetDataCentreOnly(s.aggregated)
	for address, p := range s.peers {
		if p.counted && !s.sharesCounts(p, now) && s.subscription.applied != address {
			p.counted = false
			removed = append(removed, address)
		}
	}
	return removed
}

// updateAggregated decides how counts are shared. VMs count here as long as any VM receives their datagrams: a VM that already uses
// aggregators sends too few heartbeats to those that do not yet.
func (s *Sharer) updateAggregated(now time.Time) {
	recent := lo.Filter(lo.Values(s.peers), func(p *peer, _ int) bool {
		return p.region == s.Region && now.Sub(p.lastSeen()) < remotePeerTimeout
	})
	switch {
	case len(recent) >= largeRegionPeers:
		s.aggregated = true
	case len(recent) < smallRegionPeers:
		s.aggregated = false
	}
	if s.aggregated {
		for _, p := range recent {
			p.live = true
		}
	}
}

// sharesDirectly reports whether a VM sends its events to this one without an aggregator, and expects those of this one.
func (s *Sharer) sharesDirectly(p *peer) bool { return !s.aggregated && p.region == s.Region }

// sharesCounts reports whether the counts in the heartbeats and events of a VM apply at this one.
func (s *Sharer) sharesCounts(p *peer, now time.Time) bool {
	if p.region != s.Region || now.Sub(p.lastReceived) > groupPeerTimeout {
		return false
	}
	return !s.aggregated || p.dataCentre == s.DataCentre && s.collects()
}

func (s *Sharer) liveInRegion() []*peer {
	var live []*peer
	for _, p := range s.peers {
		if p.live && p.region == s.Region {
			live = append(live, p)
		}
	}
	return live
}

func (s *Sharer) livePeers() []*peer {
	return lo.Filter(lo.Values(s.peers), func(p *peer, _ int) bool { return p.live })
}

// VMCount returns the number of VMs that this one or its aggregator knows, including this one.
func (s *Sharer) VMCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(len(s.peers)+1, s.sourceKnown)
}

// Address returns the address at which other entry VMs reach this one.
func (s *Sharer) Address() string { return s.self.String() }

// LiveInRegion returns the addresses of the other live VMs of the region.
func (s *Sharer) LiveInRegion() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lo.Map(s.liveInRegion(), func(p *peer, _ int) string { return p.address.String() })
}

// InSameDataCentre reports whether the VM at an address is in the data centre of this one.
func (s *Sharer) InSameDataCentre(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.peers[parsed]
	return ok && p.dataCentre == s.DataCentre
}
