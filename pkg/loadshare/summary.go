package loadshare

import (
	"context"
	"net/netip"
	"time"
)

// sendSummaries sends the sums of the counts to the subscribers of this VM.
func (s *Sharer) sendSummaries(ctx context.Context) {
	var buffer []byte
	for ctx.Err() == nil {
		s.awaitSummary(ctx)
		now := s.Clock.Now()
		for _, due := range s.aggregator.next(now) {
			setReportAges(due.events, now)
			for _, m := range s.summaryMessages(&due, now) {
				buffer = m.encode(buffer[:0])
				s.send(buffer, []netip.AddrPort{due.subscriber})
			}
		}
		s.sleep(ctx, s.aggregator.spacing())
	}
}

// awaitSummary waits until the next summaries may be due. A VM without subscribers does not wake up for them.
func (s *Sharer) awaitSummary(ctx context.Context) {
	var due <-chan time.Time
	if s.aggregator.active() {
		due = s.Clock.After(reportDelay)
	}
	select {
	case <-ctx.Done():
	case <-s.aggregator.wake:
	case <-due:
	}
}

// summaryMessages returns the datagrams of a summary. Only the first one carries counts.
func (s *Sharer) summaryMessages(due *summary, now time.Time) []message {
	var messages []message
	for _, events := range due.chunks() {
		m := s.newMessage()
		m.kind, m.events = kindSummary, events
		messages = append(messages, m)
	}
	first := &messages[0]
	subscriber := due.subscriber.String()
	if !due.complete {
		first.counts = s.Balancer.InFlightWithout(subscriber, due.keys())
		return messages
	}
	first.complete, first.counts, first.digest = true, s.Balancer.AllInFlightWithout(subscriber), s.Digest()
	s.mu.Lock()
	defer s.mu.Unlock()
	first.known = len(s.peers) + 1
	first.contacts = s.rotatingContacts(due.round, now)
	return messages
}
