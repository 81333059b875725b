package loadshare

import (
	"slices"
	"time"

	"github.com/samber/lo"
	"k8s.io/klog/v2"
)

const (
	// heartbeatContacts is the number of contacts in every unreachablePeerRounds-th heartbeat, summaryContacts that in each complete
	// summary. maxReplyContacts bounds the contacts in the reply to a VM from which a datagram arrived for the first time.
	heartbeatContacts = 4
	summaryContacts   = 16
	maxReplyContacts  = 40
	// wellKnownShare is the share of the VMs that a VM must know so that it gets no contacts in reply to its first datagram.
	wellKnownShare = 0.9
)

// needsContacts reports whether a VM that sent its first datagram should get contacts at once. In a large region most VMs
// already know most others from their aggregator.
func (s *Sharer) needsContacts(m *message) bool {
	return !s.aggregated || float64(m.known) < wellKnownShare*float64(len(s.peers)+1)
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
		if !p.live && p.region != "" && !s.sharesDirectly(p) && now.Sub(p.lastReported) < remotePeerTimeout {
			p.live = true
			klog.V(1).InfoS("VM was reported live by another VM", "address", c.address, "dataCentre", c.dataCentre,
				"reportedBy", reporter, "age", c.age)
		}
	}
}

// randomContacts returns a random sample of the live peers in every unreachablePeerRounds-th round, and none in others.
func (s *Sharer) randomContacts(round int, now time.Time) []contact {
	if round%unreachablePeerRounds != 0 {
		return nil
	}
	return lo.Map(lo.Samples(s.livePeers(), heartbeatContacts), func(p *peer, _ int) contact { return p.contact(now) })
}

// rotatingContacts returns the next summaryContacts live VMs of the region in each round, so that a subscriber learns of all of
// them within a bounded time.
func (s *Sharer) rotatingContacts(round int, now time.Time) []contact {
	region := s.liveInRegion()
	slices.SortFunc(region, func(a, b *peer) int { return a.address.Compare(b.address) })
	contacts := make([]contact, 0, summaryContacts)
	for i := range min(summaryContacts, len(region)) {
		contacts = append(contacts, region[(round*summaryContacts+i)%len(region)].contact(now))
	}
	return contacts
}

// nearestContacts returns up to maxReplyContacts live peers for a reply to p: those of its data centre first, then those of its
// region, then all others, and within each group those with the largest capacity first, because they are
// ranked first for duties.
func (s *Sharer) nearestContacts(p *peer, now time.Time) []contact {
	var contacts []contact
	for _, include := range []func(*peer) bool{
		func(o *peer) bool { return o.dataCentre == p.dataCentre },
		func(o *peer) bool { return o.dataCentre != p.dataCentre && o.region == p.region },
		func(o *peer) bool { return o.region != p.region },
	} {
		included := lo.Filter(s.livePeers(), func(o *peer, _ int) bool { return o != p && include(o) })
		slices.SortFunc(included, func(a, b *peer) int { return b.capacity - a.capacity })
		for _, o := range included {
			if len(contacts) < maxReplyContacts {
				contacts = append(contacts, o.contact(now))
			}
		}
	}
	return contacts
}

// contact returns the peer as a contact for other VMs.
func (p *peer) contact(now time.Time) contact {
	return contact{address: p.address.String(), dataCentre: p.dataCentre, capacity: p.capacity,
		age: now.Sub(p.lastSeen()).Truncate(time.Millisecond)}
}
