package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

const (
	// reviewInterval is the maximum time between two reviews of stragglers and ejections while requests arrive.
	reviewInterval = 10 * time.Millisecond
	// Thresholds of a server's relative service time, in multiples of the pool's median.
	stragglerRatio = 3
	ejectionRatio  = 8
	recoveredRatio = 2
	// minServiceTimeSamples is the number of samples from which a server's relative service time is evaluated.
	minServiceTimeSamples = 3
	// maxEjectedShare is the maximum share of a pool's servers that is ejected because of errors or slow responses.
	maxEjectedShare = 0.3
	// defaultErrorRelativeServiceTime is the relative service time recorded for an error while the pool's p95 is unknown.
	defaultErrorRelativeServiceTime = 3
	// drainHoldTime is the time after a server's response that it is draining, during which load reports without the draining
	// flag are ignored, because load reports lag behind responses.
	drainHoldTime = 30 * time.Second
	// notSentPause is the time for which a server gets no calls after a call was not sent because this VM had no connection
	// to it. It is the interval between new connections at 50 per second. The shortage is local to this VM and does not count
	// as an error of the server. Without the pause the server would remain the best choice for every waiting call, and the
	// calls would use up their attempts on it.
	notSentPause = 20 * time.Millisecond
)

// recordResult updates the statistics of the server and the class with the result of a call.
func (p *Pool) recordResult(now time.Time, s *ServerState, c priority.Class, r Result) {
	l := &p.latencies[c]
	switch r.Class {
	case Success:
		s.lastResponse = now
		s.observe(l.relativeServiceTime(r.Latency), false)
		s.recordSuccess()
		l.record(now, r.Latency)
		if !s.straggler && !s.ejected {
			l.recordMean(r.Latency)
		}
	case Failed, Shed:
		s.lastResponse = now
		s.observe(max(p.errorRelativeServiceTime(now, l), l.relativeServiceTime(r.Latency)), true)
		s.recordFailure(now)
	case TimedOut:
		// During a flood many calls are sent shortly before their deadline, and their timeouts are not caused by the server.
		// Counting them as errors ejected healthy servers in the middle of a flood of bulk calls.
		if relative := l.relativeServiceTime(r.Latency); relative >= p.errorRelativeServiceTime(now, l) {
			s.observe(relative, true)
			s.recordFailure(now)
		}
	case Cancelled:
		// The latency is a lower bound of the service time, so it is recorded only if it raises the server's relative service
		// time.
		if relative := l.relativeServiceTime(r.Latency); relative > s.relativeServiceTime {
			s.observe(relative, false)
		}
	case Refused:
		s.recordRefusal(now)
	case NotSent:
		s.paused, s.pausedUntil = true, now.Add(notSentPause)
	case Draining:
		s.lastResponse = now
		s.draining, s.drainingSince = true, now
	}
	if s.straggler || s.ejected || r.Class != Success {
		p.reviewedAt = time.Time{}
	}
}

// errorRelativeServiceTime returns the relative service time recorded for an error: that of the pool's p95, so that fast
// errors attract no calls.
func (p *Pool) errorRelativeServiceTime(now time.Time, l *latencyStats) float64 {
	p95 := l.percentile95(now)
	if p95 == 0 || l.mean == 0 {
		return defaultErrorRelativeServiceTime
	}
	return l.relativeServiceTime(p95)
}

// Report applies a load report of a server. Responses take precedence: a draining flag applies only if the report is newer
// than the last response, and a report without the flag ends draining only drainHoldTime after draining began.
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
	case r.Draining && !s.draining && r.At.After(s.lastResponse):
		s.draining, s.drainingSince = true, r.At
	case !r.Draining && s.draining && r.At.Sub(s.drainingSince) >= drainHoldTime:
		s.draining = false
		s.restartSlowStart()
	}
}

// review ends expired exclusions, detects stragglers and ejects servers. The flags do not change between two reviews.
func (p *Pool) review(now time.Time) {
	if !p.reviewedAt.IsZero() && now.Sub(p.reviewedAt) < reviewInterval {
		return
	}
	p.reviewedAt = now
	for _, s := range p.servers {
		s.endExpiredExclusions(now)
	}
	p.findStragglers()
	p.eject()
}

func (p *Pool) findStragglers() {
	median := p.medianRelativeServiceTime()
	for _, s := range p.servers {
		if median == 0 || s.serviceTimeSamples < minServiceTimeSamples {
			continue
		}
		ratio := s.relativeServiceTime / median
		switch {
		case ratio > stragglerRatio:
			s.straggler = true
		case ratio < recoveredRatio:
			s.straggler = false
		}
		if wasSlow := s.tooSlow; wasSlow && ratio <= ejectionRatio {
			s.restartSlowStart()
		}
		s.tooSlow = ratio > ejectionRatio
	}
}

// medianRelativeServiceTime returns the lower median of the servers with enough samples, or 0 if there are fewer than two.
func (p *Pool) medianRelativeServiceTime() float64 {
	var buffer [64]float64
	values := buffer[:0]
	for _, s := range p.servers {
		if s.eligible() && s.serviceTimeSamples >= minServiceTimeSamples {
			values = append(values, s.relativeServiceTime)
		}
	}
	if len(values) < 2 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// eject takes the servers with the highest ejection scores out of rotation, up to the ejection limit.
func (p *Pool) eject() {
	eligible := 0
	p.candidates = p.candidates[:0]
	for _, s := range p.servers {
		s.ejected = false
		if !s.eligible() {
			continue
		}
		eligible++
		if s.shouldEject() {
			p.candidates = append(p.candidates, s)
		}
	}
	if len(p.candidates) == 0 {
		return
	}
	slices.SortStableFunc(p.candidates, func(a, b *ServerState) int { return cmp.Compare(b.ejectionScore(), a.ejectionScore()) })
	for _, s := range p.candidates[:min(ejectionLimit(eligible), len(p.candidates))] {
		s.ejected = true
	}
}

// ejectionLimit returns how many of n servers may be ejected because of errors or slow responses. The only server of a pool is
// never ejected, because no other server could serve the calls.
func ejectionLimit(n int) int {
	if n <= 1 {
		return 0
	}
	return max(1, int(maxEjectedShare*float64(n)))
}
