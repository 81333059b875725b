package measure

import (
	"time"
)

const (
	// minSilence is the time since the last response to a call after which a server may be probed.
	minSilence = 2 * time.Second
	// defaultProbeTime is the expected backend time of a probe whose cost is not stated: 5 ms is the higher of the known costs.
	// defaultProbeBytes is the expected size in bytes of the first probe of a server.
	defaultProbeTime  = 5 * time.Millisecond
	defaultProbeBytes = 512
)

// Target is a server that may be probed.
type Target struct {
	ID      string
	Address string
	// LastResponse is the time of the last response to a call. Zero: none.
	LastResponse time.Time
	// StatedTime is the backend time of a probe as stated in the preset. Zero: not stated; 5 ms are assumed.
	StatedTime time.Duration
}

// Result is the load that a server reports in response to a probe, and the cost of the probe.
type Result struct {
	Slots, Busy, Queued int
	Draining            bool
	// Age is the age of the reported load when the response arrived, as far as known.
	Age time.Duration
	// Cost is the actual cost of the probe.
	Cost Cost
}

// Report is a usable probe result.
type Report struct {
	ID                  string
	Slots, Busy, Queued int
	Draining            bool
	// At is the time to which the reported load applies.
	At time.Time
}

// Planner decides which server to probe next. It does no I/O and is not safe for concurrent use.
type Planner struct {
	byteBudget *bucket
	servers    map[string]*serverState
	order      []string
}

type serverState struct {
	target       Target
	timeBudget   *bucket
	byteBudget   *bucket
	expectedCost Cost
	lastProbe    time.Time
	inFlight     bool
	listed       bool
}

// NewPlanner returns a planner with empty buckets.
func NewPlanner(now time.Time) *Planner {
	return &Planner{byteBudget: newBucket(now, vmBytesPerSecond), servers: map[string]*serverState{}}
}

// Update replaces the set of servers of the pools that this VM dispatches.
func (p *Planner) Update(now time.Time, targets []Target) {
	for _, s := range p.servers {
		s.listed = false
	}
	p.order = p.order[:0]
	for _, t := range targets {
		s := p.servers[t.ID]
		if s == nil {
			s = &serverState{
				timeBudget:   newBucket(now, serverTimePerSecond),
				byteBudget:   newBucket(now, serverBytesPerSecond),
				expectedCost: Cost{Bytes: defaultProbeBytes},
			}
			p.servers[t.ID] = s
		}
		s.target, s.listed = t, true
		if t.StatedTime == 0 {
			s.target.StatedTime = defaultProbeTime
		}
		s.expectedCost.Time = max(s.expectedCost.Time, s.target.StatedTime)
		p.order = append(p.order, t.ID)
	}
	for id, s := range p.servers {
		if !s.listed {
			delete(p.servers, id)
		}
	}
}

// Next returns the server to probe now: among the servers without a response in the last 2 s whose budget allows a probe, the
// least recently probed one. The expected cost is spent at once. Each successful Next must be followed by one Done.
func (p *Planner) Next(now time.Time) (Target, bool) {
	var best *serverState
	for _, id := range p.order {
		s := p.servers[id]
		if s.inFlight || now.Sub(s.target.LastResponse) < minSilence || !p.affordable(now, s) {
			continue
		}
		if best == nil || s.lastProbe.Before(best.lastProbe) {
			best = s
		}
	}
	if best == nil {
		return Target{}, false
	}
	best.inFlight, best.lastProbe = true, now
	p.spend(now, best, best.expectedCost)
	return best.target, true
}

// Done records the end of a probe that was sent at sent and adjusts the budget to its actual cost. It returns false if the
// result must not be used: the probe failed, or the server has responded to a call since the probe was sent or since the time
// to which the result applies. A failed probe is charged the expected cost, or its actual cost if that is higher.
func (p *Planner) Done(now, sent time.Time, id string, r Result, failed bool) (Report, bool) {
	s := p.servers[id]
	if s == nil {
		return Report{}, false
	}
	s.inFlight = false
	p.spend(now, s, Cost{Time: max(r.Cost.Time-s.expectedCost.Time, 0), Bytes: max(r.Cost.Bytes-s.expectedCost.Bytes, 0)})
	if failed {
		return Report{}, false
	}
	// A server may respond long before it has used all the backend time of the probe, so the measured time alone may be too low.
	s.expectedCost = Cost{Time: max(r.Cost.Time, s.target.StatedTime), Bytes: r.Cost.Bytes}
	at := now.Add(-r.Age)
	if s.target.LastResponse.After(sent) || s.target.LastResponse.After(at) {
		return Report{}, false
	}
	return Report{ID: id, Slots: r.Slots, Busy: r.Busy, Queued: r.Queued, Draining: r.Draining, At: at}, true
}

func (p *Planner) affordable(now time.Time, s *serverState) bool {
	expectedBytes := s.expectedCost.Bytes
	return s.timeBudget.canSpend(now, microseconds(s.expectedCost.Time)) &&
		s.byteBudget.canSpend(now, expectedBytes) && p.byteBudget.canSpend(now, expectedBytes)
}

func (p *Planner) spend(now time.Time, s *serverState, c Cost) {
	s.timeBudget.spend(now, microseconds(c.Time))
	s.byteBudget.spend(now, c.Bytes)
	p.byteBudget.spend(now, c.Bytes)
}

func microseconds(d time.Duration) int { return int(d / time.Microsecond) }
