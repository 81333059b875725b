package balance

import (
	"math"
	"time"
)

// Outcome is the way in which a request on a server ended.
type Outcome uint8

// The outcomes.
const (
	// Success is a valid response without a server error.
	Success Outcome = iota
	// Failed is a server error, an invalid or incomplete response, or no response in time.
	Failed
	// Unreachable is a failure to connect, or a connection that was reset at once.
	Unreachable
	// Full is a server without capacity for the request.
	Full
	// Misdirected is a response from another server that now uses the address.
	Misdirected
	// Cancelled is a request that the entry VM ended.
	Cancelled
)

// RecordPeerOutcome records the outcome of a request of a peer VM.
func (b *Balancer) RecordPeerOutcome(key ServerKey, o Outcome, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.servers[key]; ok {
		s.recordOutcome(o, now)
	}
}

// recordOutcome updates the failure rate and the backoff of a server after a request of any VM.
func (s *serverState) recordOutcome(o Outcome, now time.Time) {
	switch o {
	case Full:
		s.fullUntil, s.succeededAt = now.Add(fullBackoff), time.Time{}
		return
	case Misdirected:
		s.misdirected = true
		return
	case Cancelled:
		return
	case Unreachable:
		backoff := maxUnreachableBackoff
		if s.unreachableCount < 4 {
			backoff = initialUnreachableBackoff << s.unreachableCount
		}
		s.unreachableCount++
		s.unreachableUntil = now.Add(backoff)
	case Success:
		s.unreachableCount, s.unreachableUntil, s.succeededAt = 0, time.Time{}, now
	}
	failed := 1.0
	if o == Success {
		failed = 0
	}
	rate := s.failureRateNow(now)
	s.failureRate, s.failureRateAt = rate+(failed-rate)*failureRateWeight, now
}

// failureRateNow returns the failure rate, decayed since the last outcome.
func (s *serverState) failureRateNow(now time.Time) float64 {
	if s.failureRate == 0 {
		return 0
	}
	return s.failureRate * math.Exp(-float64(now.Sub(s.failureRateAt))/float64(failureDecayTime))
}
