package measure

import (
	"time"
)

const (
	// quietTime is the time without an answer after which a server may be probed.
	quietTime = 2 * time.Second
	// initialTime is taken for a probe whose cost is not stated: 5 ms is the higher of the known costs. initialBytes are
	// expected of the first probe of a server.
	initialTime  = 5 * time.Millisecond
	initialBytes = 512
)

// Target is a server that may be probed.
type Target struct {
	ID      string
	Address string
	// LastAnswer is the time of the last answer to a call. Zero: none.
	LastAnswer time.Time
	// Cost is the backend time of a probe as the preset states it. Zero: not stated; 5 ms are taken.
	Cost time.Duration
}

// Result is the answer to a probe.
type Result struct {
	Slots, Busy, Queued int
	Draining            bool
	// Age is the age of the statement when it arrived, as far as known.
	Age time.Duration
	// Cost is what the probe used.
	Cost Cost
}

// Report is a usable probe result.
type Report struct {
	ID                  string
	Slots, Busy, Queued int
	Draining            bool
	// At is the time at which the statement was true.
	At time.Time
}

// Planner decides which server to probe next. It is pure and not safe for concurrent use.
type Planner struct {
	bytes   *bucket
	servers map[string]*probed
	order   []string
}

type probed struct {
	target    Target
	time      *bucket
	bytes     *bucket
	expected  Cost
	lastProbe time.Time
	inFlight  bool
	listed    bool
}

// NewPlanner returns a planner with empty buckets.
func NewPlanner(now time.Time) *Planner {
	return &Planner{bytes: newBucket(now, vmByteRate), servers: map[string]*probed{}}
}

// Update replaces the servers of the pools that this VM dispatches.
func (p *Planner) Update(now time.Time, targets []Target) {
	for _, s := range p.servers {
		s.listed = false
	}
	p.order = p.order[:0]
	for _, t := range targets {
		s := p.servers[t.ID]
		if s == nil {
			s = &probed{
				time:     newBucket(now, serverTimeRate),
				bytes:    newBucket(now, serverByteRate),
				expected: Cost{Bytes: initialBytes},
			}
			p.servers[t.ID] = s
		}
		s.target, s.listed = t, true
		if t.Cost == 0 {
			s.target.Cost = initialTime
		}
		s.expected.Time = max(s.expected.Time, s.target.Cost)
		p.order = append(p.order, t.ID)
	}
	for id, s := range p.servers {
		if !s.listed {
			delete(p.servers, id)
		}
	}
}

// Next returns the server to probe now: of those without an answer in the last 2 s whose budget allows it, the one that
// was probed longest ago. The expected cost is spent at once. Each Next needs one Done.
func (p *Planner) Next(now time.Time) (Target, bool) {
	var best *probed
	for _, id := range p.order {
		s := p.servers[id]
		if s.inFlight || now.Sub(s.target.LastAnswer) < quietTime || !p.affordable(now, s) {
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
	p.spend(now, best, best.expected)
	return best.target, true
}

// Done takes the end of a probe that was sent at sent and corrects the budget by the real cost. It returns false when
// the result must not be used: the probe failed, or the server has answered a call since. A probe that failed costs
// what was expected, unless it cost more.
func (p *Planner) Done(now, sent time.Time, id string, r Result, failed bool) (Report, bool) {
	s := p.servers[id]
	if s == nil {
		return Report{}, false
	}
	s.inFlight = false
	p.spend(now, s, Cost{Time: max(r.Cost.Time-s.expected.Time, 0), Bytes: max(r.Cost.Bytes-s.expected.Bytes, 0)})
	if failed {
		return Report{}, false
	}
	// A server may answer long before it has paid for the probe, so the answer's time alone says too little.
	s.expected = Cost{Time: max(r.Cost.Time, s.target.Cost), Bytes: r.Cost.Bytes}
	at := now.Add(-r.Age)
	if s.target.LastAnswer.After(sent) || s.target.LastAnswer.After(at) {
		return Report{}, false
	}
	return Report{ID: id, Slots: r.Slots, Busy: r.Busy, Queued: r.Queued, Draining: r.Draining, At: at}, true
}

func (p *Planner) affordable(now time.Time, s *probed) bool {
	bytes := s.expected.Bytes
	return s.time.has(now, microseconds(s.expected.Time)) && s.bytes.has(now, bytes) && p.bytes.has(now, bytes)
}

func (p *Planner) spend(now time.Time, s *probed, c Cost) {
	s.time.spend(now, microseconds(c.Time))
	s.bytes.spend(now, c.Bytes)
	p.bytes.spend(now, c.Bytes)
}

func microseconds(d time.Duration) int { return int(d / time.Microsecond) }
