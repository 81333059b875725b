package loadshare

import (
	"net/netip"
	"time"

	"github.com/samber/lo"
	"k8s.io/klog/v2"
)

const (
	// silentAfter is the time without a datagram after which the requests of a VM of the group no longer count and it gets no
	// events.
	silentAfter = 700 * time.Millisecond
	// untoldAfter is the time without word of a VM outside the group, its own or another's, after which it counts as gone.
	untoldAfter = 6 * time.Second
	// restartTime is the least time from the last datagram of a VM that ends to the first one of its next start.
	restartTime = 300 * time.Millisecond
	// forgetAfter is the time without word after which a VM is forgotten.
	forgetAfter = 2 * time.Minute
	// silentRounds is how many heartbeats pass between two to a silent VM of the group.
	silentRounds = 5
	// contacts is the number of VMs of each other data centre of the region that get every contactRounds-th heartbeat, and
	// of the VMs of other regions that get every farRounds-th.
	contacts      = 2
	contactRounds = 5
	farRounds     = 50
	// largeRegion is the number of other VMs in a region from which they share counts within their data centres only.
	largeRegion = 20
	// greetTime is how long an address that was learnt gets every heartbeat until its VM is heard.
	greetTime = time.Second
	// sampleSize is the number of other VMs in every silentRounds-th heartbeat, replySize that in the answer to a VM that was
	// heard for the first time.
	sampleSize = 4
	replySize  = 40
	// maxPeers bounds the VMs that are remembered.
	maxPeers = 4096
)

// peer is another entry VM.
type peer struct {
	address    netip.AddrPort
	name       string
	dataCentre string
	// region is empty until the VM or another one has told its place.
	region   string
	capacity int
	start    int64
	sequence uint64
	// added is when the address was learnt, heard the time of the last datagram, and told that of the last one to any VM that
	// told of it; zero: none yet.
	added, heard, told time.Time
	live               bool
}

// lastWord is the last sign of life that this VM knows of.
func (p *peer) lastWord() time.Time {
	if p.told.After(p.heard) {
		return p.told
	}
	return p.heard
}

// Join adds addresses of VMs that may exist.
func (s *Sharer) Join(addresses []string) {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, text := range addresses {
		s.addText(text, now)
	}
}

func (s *Sharer) addText(text string, now time.Time) *peer {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		klog.InfoS("address of a VM ignored", "address", text, "err", err)
		return nil
	}
	return s.add(address, now)
}

func (s *Sharer) add(address netip.AddrPort, now time.Time) *peer {
	p, ok := s.peers[address]
	if ok || address == s.self || len(s.peers) >= maxPeers {
		return p
	}
	p = &peer{address: address, added: now}
	s.peers[address] = p
	return p
}

// note takes the head of a datagram. current reports whether its counts are the newest, and first whether the sender, or this
// start of it, was not heard before.
func (s *Sharer) note(m *message, from netip.AddrPort, now time.Time) (current, first bool) {
	p := s.add(from, now)
	if p == nil {
		return false, false
	}
	// A start may be told with a clock that is behind that of the start before, whose datagrams have arrived by now.
	first = p.heard.IsZero() || m.start > p.start || m.start != p.start && now.Sub(p.heard) > restartTime
	current = first || m.start == p.start && m.sequence > p.sequence
	revived := !p.live
	p.live, p.heard, p.name, p.dataCentre, p.region, p.capacity = true, now, m.vm, m.dataCentre, m.region, m.capacity
	if current {
		p.start, p.sequence = m.start, m.sequence
	}
	if revived {
		klog.InfoS("VM heard", "vm", m.vm, "address", from, "region", m.region, "start", m.start)
		first = first || s.inGroup(p)
	}
	return current, first
}

// learn takes what another VM tells of VMs.
func (s *Sharer) learn(known []contact, teller string, now time.Time) {
	for _, c := range known {
		p := s.addText(c.address, now)
		if p == nil {
			continue
		}
		if p.heard.IsZero() {
			p.dataCentre, p.region, p.capacity = c.dataCentre, s.Regions[c.dataCentre], c.capacity
		}
		if at := now.Add(-c.age); at.After(p.told) {
			p.told = at
		}
		if !p.live && p.region != "" && !s.inGroup(p) && now.Sub(p.told) < untoldAfter {
			p.live = true
			klog.InfoS("VM told of", "address", c.address, "dataCentre", c.dataCentre, "teller", teller, "age", c.age)
		}
	}
}

// expire returns the VMs that have fallen silent, and forgets those that have been silent for long.
func (s *Sharer) expire(now time.Time) []peer {
	var silent []peer
	for address, p := range s.peers {
		last, limit := p.lastWord(), untoldAfter
		if s.inGroup(p) {
			last, limit = p.heard, silentAfter
		}
		if p.live && now.Sub(last) > limit {
			p.live = false
			silent = append(silent, *p)
		}
		if !p.live && now.Sub(p.lastWord()) > forgetAfter && now.Sub(p.added) > forgetAfter {
			delete(s.peers, address)
		}
	}
	return silent
}

// regroup works out the VMs that get every event: those of the region, or those of the data centre in a large region, where
// the datagrams would otherwise grow with the square of the VMs. It returns the VMs whose counts hold no longer, because they
// have just left the group.
func (s *Sharer) regroup() (left []netip.AddrPort) {
	region := s.liveInRegion()
	before := s.narrow
	s.narrow = len(region) >= largeRegion
	var group []netip.AddrPort
	for _, p := range region {
		switch {
		case s.inGroup(p):
			group = append(group, p.address)
		case !before:
			left = append(left, p.address)
		}
	}
	s.group.Store(&group)
	s.Balancer.Narrow(s.narrow)
	return left
}

// inGroup reports whether a VM shares its counts with this one.
func (s *Sharer) inGroup(p *peer) bool {
	return p.region == s.Region && (!s.narrow || p.dataCentre == s.DataCentre)
}

func (s *Sharer) liveInRegion() []*peer {
	var found []*peer
	for _, p := range s.peers {
		if p.live && p.region == s.Region {
			found = append(found, p)
		}
	}
	return found
}

// heartbeatTargets returns the VMs that get a heartbeat in a round. reads says that this VM reads the store, so that the whole
// region needs to hear of it soon.
func (s *Sharer) heartbeatTargets(round int, now time.Time, reads bool) []netip.AddrPort {
	var targets, far []netip.AddrPort
	near := map[string][]netip.AddrPort{}
	alone := true
	for address, p := range s.peers {
		alone = alone && !(p.live && p.region == s.Region)
		switch {
		case p.region != "" && p.region != s.Region:
			far = append(far, address)
		case p.region == s.Region && !s.inGroup(p):
			near[p.dataCentre] = append(near[p.dataCentre], address)
		case p.live || round%silentRounds == 0 || now.Sub(p.added) < greetTime:
			targets = append(targets, address)
		}
	}
	for _, addresses := range near {
		switch {
		case reads:
			targets = append(targets, addresses...)
		case round%contactRounds == 0:
			targets = append(targets, lo.Samples(addresses, contacts)...)
		}
	}
	// A VM that hears no other of its region finds them through other regions.
	if round%farRounds == 0 || alone && round%contactRounds == 0 {
		targets = append(targets, lo.Samples(far, contacts)...)
	}
	return targets
}

// sample returns some VMs, others in each round.
func (s *Sharer) sample(round int, now time.Time) []contact {
	if round%silentRounds != 0 {
		return nil
	}
	return lo.Map(lo.Samples(s.livePeers(), sampleSize), func(p *peer, _ int) contact { return p.contact(now) })
}

// nearest returns up to replySize VMs, those of the data centre of p first, then those of its region.
func (s *Sharer) nearest(p *peer, now time.Time) []contact {
	var found []contact
	for _, suits := range []func(*peer) bool{
		func(o *peer) bool { return o.dataCentre == p.dataCentre },
		func(o *peer) bool { return o.dataCentre != p.dataCentre && o.region == p.region },
		func(o *peer) bool { return o.region != p.region },
	} {
		for _, o := range lo.Filter(s.livePeers(), func(o *peer, _ int) bool { return o != p && suits(o) }) {
			if len(found) < replySize {
				found = append(found, o.contact(now))
			}
		}
	}
	return found
}

func (s *Sharer) livePeers() []*peer {
	return lo.Filter(lo.Values(s.peers), func(p *peer, _ int) bool { return p.live })
}

func (p *peer) contact(now time.Time) contact {
	return contact{address: p.address.String(), dataCentre: p.dataCentre, capacity: p.capacity,
		age: now.Sub(p.lastWord()).Truncate(time.Millisecond)}
}

// VMs returns the number of VMs that are known, with this one.
func (s *Sharer) VMs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.peers) + 1
}

// Address returns the address of this VM between entry VMs.
func (s *Sharer) Address() string { return s.self.String() }

// LiveInRegion returns the addresses of the live VMs of the region.
func (s *Sharer) LiveInRegion() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lo.Map(s.liveInRegion(), func(p *peer, _ int) string { return p.address.String() })
}

// Near reports whether the VM at an address is in the data centre of this one.
func (s *Sharer) Near(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p, known := s.peers[parsed]
	return known && p.dataCentre == s.DataCentre
}
