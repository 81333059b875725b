package loadshare

import (
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
)

const (
	// silentAfter is the time without a datagram after which the requests of a VM no longer count and it gets no events.
	silentAfter = 700 * time.Millisecond
	// forgetAfter is the time without a datagram after which a VM is forgotten.
	forgetAfter = 2 * time.Minute
	// silentRounds and farRounds are how many heartbeats pass between two that are sent to a silent VM, and to a VM of
	// another region, which needs to know of this one only.
	silentRounds = 5
	farRounds    = 50
	// largeRegion is the number of other VMs in a region from which they share counts within their data centres only.
	largeRegion = 20
	// nearRounds are the heartbeats between two that go to a VM of the region outside the group, unless this VM reads the
	// store and the others need to hear of it.
	nearRounds = 5
	// greetTime is how long a VM that was learnt of gets every heartbeat.
	greetTime = time.Second
	// greetPause is the least time between two heartbeats.
	greetPause = 15 * time.Millisecond
	// sampleSize is the number of addresses of other VMs in a heartbeat, firstSample that within firstTime of the start.
	sampleSize  = 4
	firstSample = 40
	firstTime   = 10 * time.Second
	// maxPeers bounds the VMs that are remembered.
	maxPeers = 4096
)

// peer is another entry VM.
type peer struct {
	address    netip.AddrPort
	name       string
	dataCentre string
	region     string
	start      int64
	sequence   uint64
	// added is when the address was learnt, heard the time of the last datagram; zero: none yet.
	added, heard time.Time
	live         bool
}

// Join adds addresses of VMs that may exist.
func (s *Sharer) Join(addresses []string) {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, text := range addresses {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			klog.InfoS("address of a VM ignored", "address", text, "err", err)
			continue
		}
		s.add(address, now)
	}
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

// note takes the head of a datagram. It reports whether its counts are the newest.
func (s *Sharer) note(m *message, from netip.AddrPort, now time.Time) bool {
	p := s.add(from, now)
	if p == nil {
		return false
	}
	if !p.live {
		select {
		case s.greet <- struct{}{}:
		default: // One is asked for already.
		}
		klog.InfoS("VM heard", "vm", m.vm, "address", from, "region", m.region, "start", m.start)
	}
	p.live, p.heard, p.name, p.dataCentre, p.region = true, now, m.vm, m.dataCentre, m.region
	if m.start < p.start || m.start == p.start && m.sequence <= p.sequence {
		return false
	}
	p.start, p.sequence = m.start, m.sequence
	return true
}

// expire returns the VMs that have fallen silent, and forgets those that have been silent for long.
func (s *Sharer) expire(now time.Time) []peer {
	var silent []peer
	for address, p := range s.peers {
		limit := silentAfter
		switch {
		case p.region != s.Region:
			limit = farRounds * heartbeatInterval * 3
		case !s.inGroup(p.dataCentre):
			limit = nearRounds * heartbeatInterval * 3
		}
		if p.live && now.Sub(p.heard) > limit {
			p.live = false
			silent = append(silent, *p)
		}
		if last := p.heard; !p.live && now.Sub(last) > forgetAfter && now.Sub(p.added) > forgetAfter {
			delete(s.peers, address)
		}
	}
	return silent
}

// regroup works out the VMs that get every event: those of the region, or those of the data centre in a large region, where
// the datagrams would otherwise grow with the square of the VMs. It reports whether the group is the data centre.
func (s *Sharer) regroup() (narrow bool) {
	region := s.liveInRegion()
	narrow = len(region) >= largeRegion
	if narrow {
		var near []netip.AddrPort
		for _, address := range region {
			if s.peers[address].dataCentre == s.DataCentre {
				near = append(near, address)
			}
		}
		region = near
	}
	s.narrow.Store(narrow)
	s.group.Store(&region)
	return narrow
}

// inGroup reports whether a VM of the region and a data centre shares its counts with this one.
func (s *Sharer) inGroup(dataCentre string) bool {
	return !s.narrow.Load() || dataCentre == s.DataCentre
}

func (s *Sharer) liveInRegion() []netip.AddrPort {
	var targets []netip.AddrPort
	for address, p := range s.peers {
		if p.live && p.region == s.Region {
			targets = append(targets, address)
		}
	}
	return targets
}

func (s *Sharer) heartbeatTargets(round int, now time.Time, reads bool) []netip.AddrPort {
	var targets []netip.AddrPort
	for address, p := range s.peers {
		switch {
		case now.Sub(p.added) < greetTime && (p.region == "" || p.region == s.Region):
			targets = append(targets, address)
		case !p.live && round%silentRounds != 0:
		case p.live && p.region != s.Region && round%farRounds != 0:
		case p.live && p.region == s.Region && !s.inGroup(p.dataCentre) && round%nearRounds != 0 && !reads:
		default:
			targets = append(targets, address)
		}
	}
	return targets
}

// sample returns some addresses, others in each round. Go's order of a map is random enough for that.
func (s *Sharer) sample(round int) []string {
	var known []string
	if round%silentRounds != 0 {
		return nil
	}
	size := sampleSize
	if time.Duration(round)*heartbeatInterval < firstTime {
		size = firstSample
	}
	for address, p := range s.peers {
		if len(known) == size {
			break
		}
		if p.live {
			known = append(known, address.String())
		}
	}
	return known
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
	var addresses []string
	for _, a := range s.liveInRegion() {
		addresses = append(addresses, a.String())
	}
	return addresses
}

// liveInDataCentre returns the addresses of the live VMs of a data centre, this one included, and of the region if the data
// centre has none.
func (s *Sharer) liveInDataCentre(dataCentre string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var near, region []string
	if s.DataCentre == dataCentre {
		near = append(near, s.self.String())
	}
	region = append(region, s.self.String())
	for address, p := range s.peers {
		if !p.live || p.region != s.Region {
			continue
		}
		region = append(region, address.String())
		if p.dataCentre == dataCentre {
			near = append(near, address.String())
		}
	}
	if len(near) > 0 {
		return near
	}
	return region
}

// Assigned reports whether a duty for something in a data centre of this region falls to this VM.
func (s *Sharer) Assigned(duty, dataCentre string) bool {
	order := dispatch.Rank(dispatch.PoolKey{Service: duty, DataCentre: dataCentre}, s.liveInDataCentre(dataCentre))
	return order[0] == s.self.String()
}

// Rank returns the number of live VMs of the region that come before this one in the rendezvous order of a duty.
func (s *Sharer) Rank(duty string) int {
	ids := append(s.LiveInRegion(), s.Address())
	for i, id := range dispatch.Rank(dispatch.PoolKey{Service: duty, DataCentre: s.Region}, ids) {
		if id == s.Address() {
			return i
		}
	}
	return 0
}
