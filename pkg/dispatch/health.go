package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

const (
	// reviewInterval is the longest time between two reviews of stragglers and ejections while requests arrive.
	reviewInterval = 10 * time.Millisecond
	// Limits of the slowness in multiples of the pool's median.
	stragglerSlowness = 3
	ejectSlowness     = 8
	recoveredSlowness = 2
	// judgedSamples is the number of answers from which a server's slowness counts.
	judgedSamples = 3
	// ejectedShare is the largest part of a pool that is ejected because of errors or slowness.
	ejectedShare = 0.3
	// errorSlowness is the slowness that an error counts as while the pool's p95 is not known.
	errorSlowness = 3
	// drainMemory is the time for which a report that says that a server does not drain counts less than the drain
	// answer of the server, because reports lag.
	drainMemory = 30 * time.Second
	// unsentPause is the time for which a server gets nothing after this VM had no connection for it. It is the time
	// between two new connections at 50 per second. The shortage is the VM's own, so it is no error of the server;
	// without the pause the server would stay the best choice of each waiting call and use up their attempts.
	unsentPause = 20 * time.Millisecond
)

// learn updates the statistics from the result of a call.
func (p *Pool) learn(now time.Time, s *ServerState, c priority.Class, r Result) {
	l := &p.latency[c]
	switch r.Class {
	case Success:
		s.lastAnswer = now
		s.observe(l.slowness(r.Latency), false)
		s.succeeded()
		l.record(now, r.Latency)
		if !s.straggler && !s.ejected {
			l.recordMean(r.Latency)
		}
	case Failed, Shed:
		s.lastAnswer = now
		s.observe(max(p.errorSlowness(now, l), l.slowness(r.Latency)), true)
		s.failed(now)
	case TimedOut:
		// In a flood many calls are sent shortly before their deadline. Their end says nothing about the server: counted
		// as errors they ejected healthy servers in the middle of a flood of bulk.
		if slowness := l.slowness(r.Latency); slowness >= p.errorSlowness(now, l) {
			s.observe(slowness, true)
			s.failed(now)
		}
	case Cancelled:
		// The call would have taken longer than this; it says nothing when it is short.
		if slowness := l.slowness(r.Latency); slowness > s.slowness {
			s.observe(slowness, false)
		}
	case Refused:
		s.refuse(now)
	case Unsent:
		s.paused, s.pausedUntil = true, now.Add(unsentPause)
	case Draining:
		s.lastAnswer = now
		s.draining, s.drainedAt = true, now
	}
	if s.straggler || s.ejected || r.Class != Success {
		p.reviewedAt = time.Time{}
	}
}

// errorSlowness returns the slowness that an error counts as: the pool's p95, so that fast errors never look attractive.
func (p *Pool) errorSlowness(now time.Time, l *latencies) float64 {
	p95 := l.percentile95(now)
	if p95 == 0 || l.mean == 0 {
		return errorSlowness
	}
	return l.slowness(p95)
}

// Report takes a load report. It never overrules answers: a drain report counts only if it is newer than the last
// answer, and a report of readiness ends a drain only long after the drain answer.
func (p *Pool) Report(now time.Time, id string, r LoadReport) {
	s := p.byID[id]
	if s == nil || !r.At.After(s.report.At) {
		return
	}
	s.report = r
	if now.Sub(r.At) > reportMaxAge {
		return
	}
	switch {
	case r.Draining && !s.draining && r.At.After(s.lastAnswer):
		s.draining, s.drainedAt = true, r.At
	case !r.Draining && s.draining && r.At.Sub(s.drainedAt) >= drainMemory:
		s.draining = false
		s.restart()
	}
}

// review ends ejections whose time is over and finds stragglers. Between two reviews the flags stand.
func (p *Pool) review(now time.Time) {
	if !p.reviewedAt.IsZero() && now.Sub(p.reviewedAt) < reviewInterval {
		return
	}
	p.reviewedAt = now
	for _, s := range p.servers {
		s.returnByTime(now)
	}
	p.findStragglers()
	p.eject()
}

func (p *Pool) findStragglers() {
	median := p.medianSlowness()
	for _, s := range p.servers {
		if median == 0 || s.samples < judgedSamples {
			continue
		}
		relative := s.slowness / median
		switch {
		case relative > stragglerSlowness:
			s.straggler = true
		case relative < recoveredSlowness:
			s.straggler = false
		}
		if wasSlow := s.tooSlow; wasSlow && relative <= ejectSlowness {
			s.restart()
		}
		s.tooSlow = relative > ejectSlowness
	}
}

// medianSlowness returns the lower median over the judged servers, or 0 for fewer than two.
func (p *Pool) medianSlowness() float64 {
	var buffer [64]float64
	values := buffer[:0]
	for _, s := range p.servers {
		if s.open() && s.samples >= judgedSamples {
			values = append(values, s.slowness)
		}
	}
	if len(values) < 2 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// eject puts the worst servers out of rotation, within the ejection limit.
func (p *Pool) eject() {
	open := 0
	p.candidates = p.candidates[:0]
	for _, s := range p.servers {
		s.ejected = false
		if !s.open() {
			continue
		}
		open++
		if s.wantEject() {
			p.candidates = append(p.candidates, s)
		}
	}
	if len(p.candidates) == 0 {
		return
	}
	slices.SortStableFunc(p.candidates, func(a, b *ServerState) int { return cmp.Compare(b.badness(), a.badness()) })
	for _, s := range p.candidates[:min(ejectionLimit(open), len(p.candidates))] {
		s.ejected = true
	}
}

// ejectionLimit returns how many of n servers may be ejected because of errors or slowness. The only server of a pool
// is never ejected, because nothing is left to serve the calls.
func ejectionLimit(n int) int {
	if n <= 1 {
		return 0
	}
	return max(1, int(ejectedShare*float64(n)))
}
