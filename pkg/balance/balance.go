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

// Location is the data centre and the region of a VM or server.
type Location struct {
	DataCentre, Region string
}

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

// Urgent reports whether this VM has recently served urgent requests of a service: requests whose objective is short compared
// with their work.
func (b *Balancer) Urgent(name string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	svc := b.services[name]
	return svc != nil && !svc.lastUrgentAt.IsZero() && now.Sub(svc.lastUrgentAt) < urgentWindow
}
