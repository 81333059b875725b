// Package balance selects the backend server for each request: the one with the lowest expected response time and cost. It
// tracks the in-flight requests of all entry VMs of the region and the current slowdown of each server. Time is passed in,
// and no function does I/O or blocks.
package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamway/hornbeamway/pkg/directory"
)

// ServerKey identifies a server and its incarnation. All entry VMs compute the same key.
type ServerKey uint64

// ServerKeyOf returns the key of a server.
func ServerKeyOf(s *directory.Server) ServerKey {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(s.ID)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(s.Address)
	return ServerKey(d.Sum64() ^ uint64(s.Incarnation))
}

// LoadReport is the load that a server reports with a response.
type LoadReport struct {
	// Running and Waiting are the numbers of requests that the server runs and that wait for a slot.
	Running, Waiting int
	// Slowdown is how many times longer than usual work takes on the server at the moment; 1 is normal.
	Slowdown float64
}

// Location is the data centre and the region of a VM or server.
type Location struct {
	DataCentre, Region string
}

// Request describes a request for which a server is selected.
type Request struct {
	Service string
	// Work is the time that a server usually works on such a request. WorkUnknown is true if requests were refused because of this
	// estimate and no response has confirmed it since.
	Work        time.Duration
	WorkUnknown bool
	// Objective is the target latency, within which a response has its full value.
	Objective time.Duration
	// NonIdempotent is true if the request cannot be sent again after a failure.
	NonIdempotent bool
	// MaxLatency is the longest acceptable response time on a server with a free slot, and MaxQueueLatency that on a server where
	// the request waits for a slot; 0 means no limit. FreeSlots is the number of free slots that a server must have, or all of its
	// slots if it has fewer. Servers outside these limits are chosen last.
	MaxLatency, MaxQueueLatency time.Duration
	FreeSlots                   int
	// OwnRegion excludes the servers of other regions from those within the limits.
	OwnRegion bool
	// Bytes is the expected size of the request and its response together.
	Bytes float64
	// Exclude lists the servers that this request has already been sent to.
	Exclude []ServerKey
	// Connected reports whether an open connection to the address can be used. If it is nil, no cost is added for connecting.
	Connected func(address string) bool
}

// Choice is a selected server.
type Choice struct {
	Server *directory.Server
	Key    ServerKey
	// Expected is the expected response time.
	Expected time.Duration
	// WithinLimits is true if the server is within the limits of the request.
	WithinLimits bool
	// Trial is true if the server is outside the limits only because of an assumption about its load or the work, and may get the
	// request so that its response corrects that assumption.
	Trial bool
	// RoundTrip is the assumed network round-trip time, which is part of Expected.
	RoundTrip time.Duration
	// InFlight is the number of in-flight requests on the server, without this one.
	InFlight int
	// Slowdown is the expected slowdown of the server, and ReportAge the age of its last load report; negative if there is
	// none.
	Slowdown  float64
	ReportAge time.Duration
	// HeldOff is set if there is no server because of holds alone: the time until the first of them ends.
	HeldOff time.Duration
}

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

// Balancer tracks the load of the servers and selects one for each request. It is safe for concurrent use.
type Balancer struct {
	self Location

	mu sync.Mutex
	// peerCounts holds the numbers of in-flight requests of the peer VMs, by VM and server.
	peerCounts map[string]map[ServerKey]int
	// dataCentreOnly is true if VMs share their counts within their data centre only, not in the whole region.
	dataCentreOnly bool
	services       map[string]*serviceState
	servers        map[ServerKey]*serverState
	// availabilities holds what servers have stated about themselves, by server id.
	availabilities map[string]*availability
	random         *rand.Rand
}

// serviceState holds the servers of a service and the state that they share.
type serviceState struct {
	servers []*serverState
	// ownRegion is true if one of the servers is in the region of this VM.
	ownRegion bool
	// meanSlowdown is the moving average of the reported slowdowns.
	meanSlowdown float64
	// lastUrgentAt is the time of the last request whose objective is short compared with its work; see Urgent.
	lastUrgentAt time.Time
	// lastTrialAt is the time of the last trial request, and ownRegionReportAt that of the last load report of a server in the
	// region of this VM.
	lastTrialAt, ownRegionReportAt time.Time
}

// serverState is the state of one backend server as seen by this VM.
type serverState struct {
	info *directory.Server
	key  ServerKey
	// ownInFlight is the number of in-flight requests of this VM, totalInFlight that of all VMs that share their counts.
	ownInFlight, totalInFlight int
	// report is the last load report, received at reportedAt; reportedAt is zero if there is none.
	report     LoadReport
	reportedAt time.Time
	// failureRate is the recent share of failed requests, computed at failureRateAt.
	failureRate   float64
	failureRateAt time.Time
	// fullUntil and unreachableUntil are the ends of the backoff of a server that had no capacity or was unreachable.
	// unreachableCount is the number of failed connections since the last response.
	fullUntil, unreachableUntil time.Time
	unreachableCount            int
	misdirected                 bool
	// succeededAt is the time of the last outcome Success; zero if there is none or an outcome Full came after it.
	succeededAt time.Time
}

// New returns the balancer of a VM at the location self. The seed determines how ties between servers are broken.
func New(self Location, seed uint64) *Balancer {
	return &Balancer{self: self, services: map[string]*serviceState{}, servers: map[ServerKey]*serverState{},
		availabilities: map[string]*availability{},
		peerCounts:     map[string]map[ServerKey]int{}, random: rand.New(rand.NewPCG(seed, seed))}
}

// SetServers replaces the servers that may receive requests. The state of a server is retained while it is listed.
func (b *Balancer) SetServers(view *directory.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	oldServers, oldServices := b.servers, b.services
	b.servers, b.services = map[ServerKey]*serverState{}, map[string]*serviceState{}
	for name, infos := range view.ByService {
		svc := &serviceState{meanSlowdown: initialSlowdown}
		if old, ok := oldServices[name]; ok {
			*svc = *old
			svc.servers, svc.ownRegion = nil, false
		}
		for _, info := range infos {
			key := ServerKeyOf(info)
			s, ok := oldServers[key]
			if !ok {
				s = &serverState{key: key, totalInFlight: b.peerInFlight(key)}
			}
			s.info = info
			svc.servers = append(svc.servers, s)
			svc.ownRegion = svc.ownRegion || info.Region == b.self.Region
			b.servers[key] = s
		}
		b.services[name] = svc
	}
}

// Urgent reports whether an objective is so short, compared with the usual work of a request, that a slow server would miss it.
func Urgent(objective, work time.Duration) bool { return objective <= urgentWorkFactor*work }

// Pick returns the server with the lowest cost; ok is false if the service has no server that can be chosen. Servers that have
// stated that they are leaving, or have asked for no requests, are not chosen.
func (b *Balancer) Pick(r Request, now time.Time) (c Choice, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	svc := b.services[r.Service]
	if svc == nil {
		return Choice{}, false
	}
	if Urgent(r.Objective, r.Work) {
		svc.lastUrgentAt = now
	}
	best, heldOff := b.cheapest(svc, r, now)
	if best == nil {
		return Choice{HeldOff: heldOff}, false
	}
	slowdown := best.slowdown(svc, now)
	expected := b.expect(svc, best, r, now)
	c = Choice{Server: best.info, Key: best.key, InFlight: best.totalInFlight, Slowdown: slowdown, ReportAge: -1,
		WithinLimits: b.withinLimits(best, r, expected), Expected: duration(expected.millis), RoundTrip: duration(b.roundTrip(best))}
	c.Trial = !c.WithinLimits && b.mayTry(svc, best, r, now)
	if c.Trial && svc.trialDue(now) && !b.mayTryAgain(svc, best, now) {
		svc.lastTrialAt = now
	}
	if !best.reportedAt.IsZero() {
		c.ReportAge = now.Sub(best.reportedAt)
	}
	return c, true
}

// cheapest returns the server with the lowest cost that can be chosen, nil if there is none. heldOff is the time until the first hold
// ends if holds alone are the reason. The caller holds the lock.
func (b *Balancer) cheapest(svc *serviceState, r Request, now time.Time) (best *serverState, heldOff time.Duration) {
	bestCost := 0.0
	// triedAvailable is true if the request was already sent to a server that may get further ones.
	triedAvailable := false
	for _, s := range svc.servers {
		a := b.availabilityOf(s.info, now)
		status := a.at(now)
		if left := a.holdLeft(now); status == HeldOff && (heldOff == 0 || left < heldOff) {
			heldOff = left
		}
		if status != Available || s.misdirected {
			continue
		}
		if excluded(r.Exclude, s.key) {
			triedAvailable = true
			continue
		}
		cost := b.cost(svc, s, r, now) + b.random.Float64()*tieBreakRange
		if share := a.rampUpShare(now); share < 1 && b.random.Float64() >= share {
			cost += rampUpCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	if triedAvailable {
		heldOff = 0
	}
	return best, heldOff
}

func excluded(keys []ServerKey, key ServerKey) bool {
	for _, k := range keys {
		if k == key {
			return true
		}
	}
	return false
}

// Begin counts a request that this VM sends to a server, and returns the number of this VM's in-flight requests there.
func (b *Balancer) Begin(key ServerKey) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.servers[key]
	if !ok {
		return 0
	}
	s.ownInFlight++
	s.totalInFlight++
	return s.ownInFlight
}

// End records the end of a request of this VM, and returns the number of this VM's in-flight requests on the server.
func (b *Balancer) End(key ServerKey, o Outcome, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.servers[key]
	if !ok {
		return 0
	}
	if s.ownInFlight > 0 {
		s.ownInFlight--
		s.totalInFlight--
	}
	s.recordOutcome(o, now)
	return s.ownInFlight
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

// RecordPeerOutcome records the outcome of a request of a peer VM.
func (b *Balancer) RecordPeerOutcome(key ServerKey, o Outcome, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.servers[key]; ok {
		s.recordOutcome(o, now)
	}
}

// Urgent reports whether this VM has recently served urgent requests of a service: requests whose objective is short compared
// with their work.
func (b *Balancer) Urgent(name string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	svc := b.services[name]
	return svc != nil && !svc.lastUrgentAt.IsZero() && now.Sub(svc.lastUrgentAt) < urgentWindow
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
