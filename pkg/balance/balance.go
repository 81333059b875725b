// Package balance chooses the backend server of each request. It knows the requests in flight of all entry VMs of the
// region and how fast each server works at the moment, and takes the server that is expected to answer first. It is pure:
// time is passed in, and nothing blocks.
package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamway/hornbeamway/pkg/directory"
)

// Key identifies a server and its incarnation between entry VMs.
type Key uint64

// KeyOf returns the key of a server.
func KeyOf(s *directory.Server) Key {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(s.ID)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(s.Address)
	return Key(d.Sum64() ^ uint64(s.Incarnation))
}

// Figure is what a server says of itself with an answer.
type Figure struct {
	// Running and Waiting are the requests that the server runs and that wait for a slot.
	Running, Waiting int
	// Slowness is how long work takes at this moment; 1 is usual.
	Slowness float64
}

// Place is where a VM or server stands.
type Place struct {
	DataCentre, Region string
}

// Request is what the choice depends on.
type Request struct {
	Service string
	// Work is the usual time that a server works on such a request.
	Work time.Duration
	// Objective is the latency within which an answer is of full use.
	Objective time.Duration
	// Once says that the request cannot be sent again after a failure.
	Once bool
	// Within is the time within which an answer is of use, and FreeSlotOnly says that the request must not wait for a slot.
	// Servers that do not fit are chosen last. Within 0: no limit.
	Within       time.Duration
	FreeSlotOnly bool
	// Bytes is the expected size of the request and its answer together.
	Bytes float64
	// Exclude are servers that this request was sent to before.
	Exclude []Key
	// Connected reports whether an open connection to a server can be used; nil: not known.
	Connected func(address string) bool
}

// Choice is a chosen server.
type Choice struct {
	Server *directory.Server
	Key    Key
	// Expected is the time after which the answer is expected.
	Expected time.Duration
	// Fits says that the server fits the limits of the request.
	Fits bool
	// Busy is the number of requests in flight there, without this one.
	Busy int
	// Slowness is the factor that was expected, and FigureAge the age of the figure behind it; negative: none.
	Slowness  float64
	FigureAge time.Duration
}

// Outcome says how a request on a server ended.
type Outcome uint8

// The outcomes.
const (
	// Answered is an answer that the server gave as it should.
	Answered Outcome = iota
	// Failed is an error answer, a broken answer or none in time.
	Failed
	// Unreachable is a connection that could not be made or was reset at once.
	Unreachable
	// Full is a server that had no room.
	Full
	// Misdirected is an answer of another server at the address.
	Misdirected
	// Abandoned is a request ended by this side.
	Abandoned
)

// Balancer holds the load of the servers. It is safe for concurrent use.
type Balancer struct {
	self Place

	mu sync.Mutex
	// others are the requests in flight of the other VMs, by VM.
	others map[string]map[Key]int
	// narrow says that VMs share their counts in a data centre only, not in the whole region.
	narrow   bool
	services map[string]*service
	servers  map[Key]*server
	random   *rand.Rand
}

// service is what the servers of a service have in common.
type service struct {
	servers []*server
	// slowness is the mean of the figures.
	slowness float64
	// urgentAt is when a request whose objective is short for its work was last served.
	urgentAt time.Time
}

// server is one backend server as this VM knows it.
type server struct {
	info *directory.Server
	key  Key
	// own are the requests in flight of this VM, total those of all VMs that share their counts.
	own, total int
	// figure is the last one told, at figureAt.
	figure   Figure
	figureAt time.Time
	// failure is the recent share of failed requests, at failureAt.
	failure   float64
	failureAt time.Time
	// fullUntil and awayUntil keep requests from a server that had no room or did not answer.
	fullUntil, awayUntil time.Time
	awayCount            int
	misdirected          bool
}

// New returns a balancer of a VM.
func New(self Place, seed uint64) *Balancer {
	return &Balancer{self: self, services: map[string]*service{}, servers: map[Key]*server{}, others: map[string]map[Key]int{},
		random: rand.New(rand.NewPCG(seed, seed))}
}

// SetServers takes the servers that may get requests. What is known of a server stays while it is listed.
func (b *Balancer) SetServers(view *directory.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old, oldServices := b.servers, b.services
	b.servers, b.services = map[Key]*server{}, map[string]*service{}
	for name, infos := range view.ByService {
		svc := &service{slowness: initialSlowness}
		if before, ok := oldServices[name]; ok {
			svc.slowness, svc.urgentAt = before.slowness, before.urgentAt
		}
		for _, info := range infos {
			key := KeyOf(info)
			s, ok := old[key]
			if !ok {
				s = &server{key: key, total: b.othersAt(key)}
			}
			s.info = info
			svc.servers = append(svc.servers, s)
			b.servers[key] = s
		}
		b.services[name] = svc
	}
}

// Urgent reports whether an objective is short for the usual work of a request, so that it is missed on a slow server.
func Urgent(objective, work time.Duration) bool { return objective <= urgentWorks*work }

// Pick returns the server that is expected to answer first; ok is false if the service has none.
func (b *Balancer) Pick(r Request, now time.Time) (c Choice, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	svc := b.services[r.Service]
	if svc == nil {
		return Choice{}, false
	}
	if Urgent(r.Objective, r.Work) {
		svc.urgentAt = now
	}
	best, bestCost := (*server)(nil), 0.0
	for _, s := range svc.servers {
		if s.misdirected || excluded(r.Exclude, s.key) {
			continue
		}
		cost := b.cost(svc, s, r, now) + b.random.Float64()*tieBreak
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	if best == nil {
		return Choice{}, false
	}
	slowness := best.slowness(svc, now)
	expected := b.expected(svc, best, r, now)
	c = Choice{Server: best.info, Key: best.key, Busy: best.total, Slowness: slowness, FigureAge: -1, Fits: best.fits(r, expected),
		Expected: time.Duration(expected * float64(time.Millisecond))}
	if !best.figureAt.IsZero() {
		c.FigureAge = now.Sub(best.figureAt)
	}
	return c, true
}

func excluded(keys []Key, key Key) bool {
	for _, k := range keys {
		if k == key {
			return true
		}
	}
	return false
}

// Begin counts a request that this VM sends to a server, and returns the number of its own there.
func (b *Balancer) Begin(key Key) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.servers[key]
	if !ok {
		return 0
	}
	s.own++
	s.total++
	return s.own
}

// End counts the end of a request and returns the number of this VM's own there.
func (b *Balancer) End(key Key, o Outcome, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.servers[key]
	if !ok {
		return 0
	}
	if s.own > 0 {
		s.own--
		s.total--
	}
	s.note(o, now)
	return s.own
}

// Learn takes what a server said of itself at a time.
func (b *Balancer) Learn(key Key, f Figure, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.servers[key]
	if !ok || at.Before(s.figureAt) {
		return
	}
	s.figure, s.figureAt = f, at
	if svc := b.services[s.info.Service]; svc != nil {
		svc.slowness += (f.Slowness - svc.slowness) * meanWeight
	}
}

// LearnOutcome takes the end of another VM's request.
func (b *Balancer) LearnOutcome(key Key, o Outcome, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.servers[key]; ok {
		s.note(o, now)
	}
}

// othersAt adds up the requests of the other VMs at a server.
func (b *Balancer) othersAt(key Key) int {
	total := 0
	for _, counts := range b.others {
		total += counts[key]
	}
	return total
}

// Narrow says whether VMs share their counts in a data centre only. What servers elsewhere have in flight is then known from
// their figures alone.
func (b *Balancer) Narrow(narrow bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.narrow = narrow
}

// counted reports whether the VMs that use a server share their counts with this one.
func (b *Balancer) counted(s *server) bool {
	if b.narrow {
		return s.info.DataCentre == b.self.DataCentre
	}
	return s.info.Region == b.self.Region
}

// SetOthers sets the number of requests that another VM has in flight at a server.
func (b *Balancer) SetOthers(vm string, key Key, count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.others[vm]
	if counts == nil {
		counts = map[Key]int{}
		b.others[vm] = counts
	}
	b.setOthers(counts, key, count)
}

// ReplaceOthers sets all requests that another VM has in flight. A nil map forgets the VM.
func (b *Balancer) ReplaceOthers(vm string, counts map[Key]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.others[vm]
	if known == nil {
		known = map[Key]int{}
		b.others[vm] = known
	}
	for key := range known {
		if _, still := counts[key]; !still {
			b.setOthers(known, key, 0)
		}
	}
	for key, count := range counts {
		b.setOthers(known, key, count)
	}
	if counts == nil {
		delete(b.others, vm)
	}
}

func (b *Balancer) setOthers(counts map[Key]int, key Key, count int) {
	if s, ok := b.servers[key]; ok {
		s.total += count - counts[key]
	}
	if count == 0 {
		delete(counts, key)
		return
	}
	counts[key] = count
}

// Own returns the requests that this VM has in flight, by server.
func (b *Balancer) Own() map[Key]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := map[Key]int{}
	for key, s := range b.servers {
		if s.own > 0 {
			own[key] = s.own
		}
	}
	return own
}

// OwnAt returns the number of requests that this VM has in flight at a server.
func (b *Balancer) OwnAt(key Key) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, known := b.servers[key]; known {
		return s.own
	}
	return 0
}

// Urgent reports whether this VM has lately served requests of a service whose objective is short
// for their work.
func (b *Balancer) Urgent(name string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	svc := b.services[name]
	return svc != nil && !svc.urgentAt.IsZero() && now.Sub(svc.urgentAt) < urgentMemory
}

// Slowness returns the slowness that is expected of a server now; 1 if the server is unknown.
func (b *Balancer) Slowness(key Key, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, known := b.servers[key]
	if !known {
		return 1
	}
	svc := b.services[s.info.Service]
	if svc == nil {
		return 1
	}
	return s.slowness(svc, now)
}

// FigureAge returns the age of a server's last figure; ok is false if there is none or the server is unknown.
func (b *Balancer) FigureAge(key Key, now time.Time) (age time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, known := b.servers[key]
	if !known || s.figureAt.IsZero() {
		return 0, false
	}
	return now.Sub(s.figureAt), true
}
