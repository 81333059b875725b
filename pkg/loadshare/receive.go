package loadshare

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/balance"
)

func (s *Sharer) receive(ctx context.Context) error {
	buffer := make([]byte, maxDatagram)
	for {
		n, sender, err := s.Conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return errors.Wrap(err, "receive datagrams")
			}
			// The socket reports the ICMP error of a VM that has stopped. Such an error does not affect other VMs.
			sendFailures.Inc()
			continue
		}
		datagramsReceived.Inc()
		m, err := decode(buffer[:n])
		if err != nil {
			datagramsInvalid.Inc()
			klog.InfoS("dropped an invalid datagram", "from", sender, "err", err)
			continue
		}
		s.handleDatagram(m, netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port()))
	}
}

// acceptance is what applies of a datagram.
type acceptance struct {
	events, counts bool
	// reply means that the sender gets a heartbeat with contacts. removed holds VMs whose counts are no longer valid.
	reply   bool
	removed []netip.AddrPort
}

// handleDatagram applies a datagram from another VM.
func (s *Sharer) handleDatagram(m *message, sender netip.AddrPort) {
	now := s.Clock.Now()
	for i := range m.events {
		m.events[i].ReportedAt = now.Add(-m.events[i].reportAge)
	}
	accepted := s.accept(m, sender, now)
	s.removeCounts(accepted.removed)
	if accepted.reply {
		select {
		case s.replyTargets <- sender:
		default: // The queue is full; the VM gets the next regular heartbeat.
		}
	}
	if m.subscribe {
		s.aggregator.subscribe(sender, now)
	}
	if accepted.events {
		s.applyEvents(m, sender, accepted.counts && m.kind != kindSummary, now)
	}
	if accepted.counts {
		s.applyCounts(m, sender.String())
	}
	if m.hasDigest() && m.region == s.Region {
		s.ObserveDigest(sender.String(), m.digest)
	}
}

// accept updates the peers from a datagram and returns what applies of it.
func (s *Sharer) accept(m *message, sender netip.AddrPort, now time.Time) (a acceptance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest, firstContact := s.updateSender(m, sender, now)
	s.mergeContacts(m.contacts, m.vm, now)
	a.reply = firstContact && s.needsContacts(m)
	if firstContact && !s.aggregated {
		// In a large region the next heartbeat round is soon enough, and ranking the VMs anew for each of hundreds is not cheap.
		a.removed = s.updateGroup(now)
	}
	p, known := s.peers[sender]
	if !known {
		return a
	}
	if m.kind == kindSummary {
		a.events, a.counts = s.acceptSummary(m, sender, newest, now)
	} else {
		a.events = s.sharesCounts(p, now)
		a.counts = a.events && newest
	}
	p.counted = p.counted || a.counts
	return a
}

// applyEvents records what happened to the requests of other VMs. setCounts means that the events carry the counts of the sender.
func (s *Sharer) applyEvents(m *message, sender netip.AddrPort, setCounts bool, now time.Time) {
	if m.kind == kindEvents {
		s.aggregator.add(sender, m.events)
	}
	for _, e := range m.events {
		if setCounts {
			s.Balancer.SetPeerInFlight(sender.String(), e.Key, e.Count)
		}
		if e.Outcome != nil {
			s.Balancer.RecordPeerOutcome(e.Key, *e.Outcome, now)
		}
		if e.LoadReport != nil {
			s.Balancer.RecordLoadReport(e.Key, *e.LoadReport, e.ReportedAt)
		}
		if e.Leaving {
			s.recordLeaving(e.Key, m.vm, now)
		}
	}
}

// recordLeaving records that a server has stated to another VM that it is leaving.
func (s *Sharer) recordLeaving(key balance.ServerKey, vm string, now time.Time) {
	if server := s.Balancer.RecordPeerLeaving(key, now); server != nil {
		klog.InfoS("another VM reports that a server is leaving", "server", server.ID, "service", server.Service, "reportedBy", vm)
	}
}

// applyCounts applies the counts of a heartbeat or a summary.
func (s *Sharer) applyCounts(m *message, sender string) {
	switch {
	case m.kind == kindEvents:
	case m.complete:
		s.Balancer.ReplacePeerInFlight(sender, m.counts)
	default:
		for key, count := range m.counts {
			s.Balancer.SetPeerInFlight(sender, key, count)
		}
	}
}
