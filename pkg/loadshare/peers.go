package loadshare

import (
	"net/netip"
	"time"

	"github.com/samber/lo"
	"k8s.io/klog/v2"
)

const (
	// groupPeerTimeout is the time without a datagram after which a VM of the group counts as unreachable: its in-flight
	// requests are no longer counted and it gets no events.
	groupPeerTimeout = 700 * time.Millisecond
	// remotePeerTimeout is the time after which a VM outside the group counts as unreachable if neither this VM nor one that
	// reports it in a contact has received a datagram from it.
	remotePeerTimeout = 6 * time.Second
	// minRestartTime is the shortest time between the last datagram of a VM that stops and the first one after its restart.
	minRestartTime = 300 * time.Millisecond
	// peerRetention is the time since a VM was last seen after which it is removed from the peers.
	peerRetention = 2 * time.Minute
	// unreachablePeerRounds is the interval of heartbeats to an unreachable VM of the group, in heartbeat rounds.
	unreachablePeerRounds = 5
	// contactsPerRound is the number of VMs in each other data centre of the region that get every contactRounds-th
	// heartbeat, and of VMs in other regions that get every otherRegionRounds-th.
	contactsPerRound  = 2
	contactRounds     = 5
	otherRegionRounds = 50
	// largeRegionPeers is the number of other live VMs in the region from which on counts are shared only within each data
	// centre.
	largeRegionPeers = 20
	// greetingPeriod is how long a newly added address gets every heartbeat before a datagram from its VM has arrived.
	greetingPeriod = time.Second
	// sampleContacts is the number of contacts in every unreachablePeerRounds-th heartbeat. maxReplyContacts bounds the contacts
	// in the reply to a VM from which a datagram arrived for the first time.
	sampleContacts   = 4
	maxReplyContacts = 40
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
	if revived {
		klog.InfoS("VM is reachable", "vm", m.vm, "address", sender, "region", m.region, "start", m.start)
		firstContact = firstContact || s.inGroup(p)
	}
	return newest, firstContact
}

// mergeContacts updates the peers from the contacts that another VM has sent.
func (s *Sharer) mergeContacts(contacts []contact, reporter string, now time.Time) {
	for _, c := range contacts {
		p := s.addByAddress(c.address, now)
		if p == nil {
			continue
		}
		if p.lastReceived.IsZero() {
			p.dataCentre, p.region, p.capacity = c.dataCentre, s.Regions[c.dataCentre], c.capacity
		}
		if at := now.Add(-c.age); at.After(p.lastReported) {
			p.lastReported = at
		}
		if !p.live && p.region != "" && !s.inGroup(p) && now.Sub(p.lastReported) < remotePeerTimeout {
			p.live = true
			klog.InfoS("VM was reported live by another VM", "address", c.address, "dataCentre", c.dataCentre, "teller", reporter,
				"age", c.age)
		}
	}
}

// expirePeers marks VMs as unreachable after their timeout and returns them. It removes those that were last seen longer than
// peerRetention ago.
func (s *Sharer) expirePeers(now time.Time) []peer {
	var unreachable []peer
	for address, p := range s.peers {
		lastSeen, timeout := p.lastSeen(), remotePeerTimeout
		if s.inGroup(p) {
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

// updateGroup computes the VMs that get every event: those of the region, or those of the data centre in a large region, where
// the number of datagrams would otherwise grow with the square of the number of VMs. It returns the VMs that have just left
// the group, whose counts are no longer valid.
func (s *Sharer) updateGroup() (removed []netip.AddrPort) {
	region := s.liveInRegion()
	wasDataCentre := s.groupIsDataCentre
	s.groupIsDataCentre = len(region) >= largeRegionPeers
	var group []netip.AddrPort
	for _, p := range region {
		switch {
		case s.inGroup(p):
			group = append(group, p.address)
		case !wasDataCentre:
			removed = append(removed, p.address)
		}
	}
	s.group.Store(&group)
	s.Balancer.SetDataCentreOnly(s.groupIsDataCentre)
	return removed
}

// inGroup reports whether a VM is in the group of this one, in which VMs share their counts.
func (s *Sharer) inGroup(p *peer) bool {
	return p.region == s.Region && (!s.groupIsDataCentre || p.dataCentre == s.DataCentre)
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

// heartbeatTargets returns the VMs that get a heartbeat in a round. readsStore means that this VM has read the store recently,
// so that the whole region needs its digest soon.
func (s *Sharer) heartbeatTargets(round int, now time.Time, readsStore bool) []netip.AddrPort {
	var targets, otherRegions []netip.AddrPort
	outsideGroup := map[string][]netip.AddrPort{}
	isolated := true
	for address, p := range s.peers {
		isolated = isolated && !(p.live && p.region == s.Region)
		switch {
		case p.region != "" && p.region != s.Region:
			otherRegions = append(otherRegions, address)
		case p.region == s.Region && !s.inGroup(p):
			outsideGroup[p.dataCentre] = append(outsideGroup[p.dataCentre], address)
		case p.live || round%unreachablePeerRounds == 0 || now.Sub(p.addedAt) < greetingPeriod:
			targets = append(targets, address)
		}
	}
	for _, addresses := range outsideGroup {
		switch {
		case readsStore:
			targets = append(targets, addresses...)
		case round%contactRounds == 0:
			targets = append(targets, lo.Samples(addresses, contactsPerRound)...)
		}
	}
	// A VM without a live peer in its region discovers them through other regions.
	if round%otherRegionRounds == 0 || isolated && round%contactRounds == 0 {
		targets = append(targets, lo.Samples(otherRegions, contactsPerRound)...)
	}
	return targets
}

// randomContacts returns a random sample of the live peers in every unreachablePeerRounds-th round, and none in others.
func (s *Sharer) randomContacts(round int, now time.Time) []contact {
	if round%unreachablePeerRounds != 0 {
		return nil
	}
	return lo.Map(lo.Samples(s.livePeers(), sampleContacts), func(p *peer, _ int) contact { return p.contact(now) })
}

// nearestContacts returns up to maxReplyContacts live peers for a reply to p: those of its data centre first, then those of its
// region, then all others.
func (s *Sharer) nearestContacts(p *peer, now time.Time) []contact {
	var contacts []contact
	for _, include := range []func(*peer) bool{
		func(o *peer) bool { return o.dataCentre == p.dataCentre },
		func(o *peer) bool { return o.dataCentre != p.dataCentre && o.region == p.region },
		func(o *peer) bool { return o.region != p.region },
	} {
		for _, o := range lo.Filter(s.livePeers(), func(o *peer, _ int) bool { return o != p && include(o) }) {
			if len(contacts) < maxReplyContacts {
				contacts = append(contacts, o.contact(now))
			}
		}
	}
	return contacts
}

func (s *Sharer) livePeers() []*peer {
	return lo.Filter(lo.Values(s.peers), func(p *peer, _ int) bool { return p.live })
}

func (p *peer) contact(now time.Time) contact {
	return contact{address: p.address.String(), dataCentre: p.dataCentre, capacity: p.capacity,
		age: now.Sub(p.lastSeen()).Truncate(time.Millisecond)}
}

// VMCount returns the number of known VMs, including this one.
func (s *Sharer) VMCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.peers) + 1
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
