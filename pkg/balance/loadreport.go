package balance

import (
	"math"
	"time"
)

// LoadReport is the load that a server reports with a response.
type LoadReport struct {
	// Running and Waiting are the numbers of requests that the server runs and that wait for a slot.
	Running, Waiting int
	// Slowdown is how many times longer than usual work takes on the server at the moment; 1 is normal.
	Slowdown float64
}

// RecordLoadReport records a load report that a server sent at the given time. A report older than the last one is ignored.
func (b *Balancer) RecordLoadReport(key ServerKey, report LoadReport, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.servers[key]
	if !ok || at.Before(s.reportedAt) {
		return
	}
	s.report, s.reportedAt = report, at
	if svc := b.services[s.info.Service]; svc != nil {
		svc.meanSlowdown += (report.Slowdown - svc.meanSlowdown) * meanSlowdownWeight
		if s.info.Region == b.self.Region && at.After(svc.ownRegionReportAt) {
			svc.ownRegionReportAt = at
		}
	}
}

// LoadReportAge returns the age of the last load report of a server; ok is false if there is none or the server is unknown.
func (b *Balancer) LoadReportAge(key ServerKey, now time.Time) (age time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, found := b.servers[key]
	if !found || s.reportedAt.IsZero() {
		return 0, false
	}
	return now.Sub(s.reportedAt), true
}

// Slowdown returns the expected slowdown of a server; 1 if the server is unknown.
func (b *Balancer) Slowdown(key ServerKey, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.servers[key]
	if !ok {
		return 1
	}
	svc := b.services[s.info.Service]
	if svc == nil {
		return 1
	}
	return s.slowdown(svc, now)
}

// slowdown returns the slowdown expected now: the last reported one, which decays towards the mean of the service with the
// age of the report.
func (s *serverState) slowdown(svc *serviceState, now time.Time) float64 {
	if s.reportedAt.IsZero() {
		return svc.meanSlowdown
	}
	weight := math.Exp(-float64(now.Sub(s.reportedAt)) / float64(slowdownDecayTime))
	return weight*s.report.Slowdown + (1-weight)*svc.meanSlowdown
}

// reportedInFlight returns the number of running and waiting requests in the last load report of a server, or assumedInFlight
// if that report is missing or older than maxReportAge.
func (s *serverState) reportedInFlight(now time.Time) int {
	if s.reportedAt.IsZero() || now.Sub(s.reportedAt) > maxReportAge {
		return assumedInFlight
	}
	return s.report.Running + s.report.Waiting
}
