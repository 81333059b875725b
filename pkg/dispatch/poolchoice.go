package dispatch

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

const (
	// suspectTime is the time for which a dispatcher that could not be reached is skipped.
	suspectTime = time.Second
	// loadMaxAge is the age from which a pool's statement is ignored. The nearest pool is then tried again.
	loadMaxAge = time.Second
	// refuseMaxAge is the age up to which a pool's statement refuses a call without asking the pool. A queue that is as
	// long as a deadline does not empty in that time, and one call per entry VM and 20 ms is cheap enough to ask again.
	refuseMaxAge = 20 * time.Millisecond
	// bulkLinkWait is how much longer a bulk call must expect to wait before it goes to the other region. Its answer waits
	// for the shared region link and holds its slot meanwhile, which makes the waits of both regions look longer: without
	// this, a short backlog at the start sent archives over the link until the link was full, for good.
	bulkLinkWait = time.Second
)

// VM is an entry VM that may dispatch pools.
type VM struct {
	ID         string
	Region     string
	DataCentre string
	// Forward is the address for calls from other entry VMs.
	Forward string
}

// ChoiceOptions configures a PoolChoice.
type ChoiceOptions struct {
	Clock clock.Clock
	Self  VM
	// RegionRoundTrip is the round trip to another data centre of the region. Default 3ms.
	RegionRoundTrip time.Duration
	// RemoteRoundTrip is the round trip to the other region. Default 60ms.
	RemoteRoundTrip time.Duration
}

// Target is a VM to send a call to, with the pool that it is to use.
type Target struct {
	Pool PoolKey
	VM   VM
	// Self is set when this VM dispatches the pool itself.
	Self bool
	// Remote is set when the pool is in the other region, so that bodies cross the billed link.
	Remote bool
	// ExpectedWait is the wait that the pool has stated within the last 20 ms; 0 if it has stated none.
	ExpectedWait time.Duration
	// RecentWait is the wait that the pool has stated within the last second; 0 if it has stated none.
	RecentWait time.Duration
}

// PoolChoice picks the pool of a call and that pool's dispatcher. It is safe for concurrent use.
type PoolChoice struct {
	options ChoiceOptions

	mu      sync.RWMutex
	pools   map[string][]place // by service, nearest first
	vms     map[string]VM
	loads   map[PoolKey]Load // At is the time of the statement on the local clock
	suspect map[string]time.Time
}

type place struct {
	key       PoolKey
	roundTrip time.Duration
	remote    bool
	order     []string // ids of the VMs in rendezvous order, this VM added last if it is in another data centre
}

// NewPoolChoice returns a choice without pools.
func NewPoolChoice(o ChoiceOptions) *PoolChoice {
	const regionRoundTrip, remoteRoundTrip = 3 * time.Millisecond, 60 * time.Millisecond // design section 1
	o.RegionRoundTrip = cmp.Or(o.RegionRoundTrip, regionRoundTrip)
	o.RemoteRoundTrip = cmp.Or(o.RemoteRoundTrip, remoteRoundTrip)
	return &PoolChoice{options: o, loads: map[PoolKey]Load{}, suspect: map[string]time.Time{}}
}

// Update replaces the servers and the alive entry VMs of all data centres.
func (p *PoolChoice) Update(servers []Server, alive []VM) {
	vms := map[string]VM{p.options.Self.ID: p.options.Self}
	byDataCentre := map[string][]string{}
	for _, vm := range alive {
		vms[vm.ID] = vm
		byDataCentre[vm.DataCentre] = append(byDataCentre[vm.DataCentre], vm.ID)
	}
	pools := map[string][]place{}
	seen := map[PoolKey]bool{}
	for _, s := range servers {
		key := PoolKey{Service: s.Service, DataCentre: s.DataCentre}
		if seen[key] || s.State == StateLeaving {
			continue
		}
		seen[key] = true
		pools[s.Service] = append(pools[s.Service], p.place(key, s.Region, byDataCentre[s.DataCentre]))
	}
	for _, places := range pools {
		slices.SortFunc(places, func(a, b place) int {
			return cmp.Or(cmp.Compare(a.roundTrip, b.roundTrip), cmp.Compare(a.key.DataCentre, b.key.DataCentre))
		})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pools, p.vms = pools, vms
}

func (p *PoolChoice) place(key PoolKey, region string, vms []string) place {
	self := p.options.Self
	at := place{key: key, order: Rank(key, vms)}
	switch {
	case region != self.Region:
		at.roundTrip, at.remote = p.options.RemoteRoundTrip, true
	case key.DataCentre != self.DataCentre:
		at.roundTrip = p.options.RegionRoundTrip
	}
	if !slices.Contains(at.order, self.ID) {
		at.order = append(at.order, self.ID)
	}
	return at
}

// Observe takes the statement of a pool that came back on an answer. age is the age of the statement on arrival.
func (p *PoolChoice) Observe(key PoolKey, load Load, age time.Duration) {
	load.At = p.options.Clock.Now().Add(-age)
	p.mu.Lock()
	defer p.mu.Unlock()
	if load.At.After(p.loads[key].At) {
		p.loads[key] = load
	}
}

// Suspect skips a dispatcher for a second. It is called when the VM refuses the connection or does not accept a call.
func (p *PoolChoice) Suspect(vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspect[vm] = p.options.Clock.Now().Add(suspectTime)
}

// better tells whether to move on from the nearer pool: it has no healthy server, or its expected wait is longer than
// the farther pool's wait plus the additional round trip. Nothing known of a pool counts as no wait.
func (p *PoolChoice) better(now time.Time, farther, nearer *place, class priority.Class) bool {
	far, farKnown := p.load(now, farther.key)
	near, nearKnown := p.load(now, nearer.key)
	if !nearKnown || farKnown && !far.Healthy {
		return false
	}
	if !near.Healthy {
		return true
	}
	price := farther.roundTrip - nearer.roundTrip
	if class == priority.Bulk && farther.remote && !nearer.remote {
		price += bulkLinkWait
	}
	return near.ExpectedWait[class]-far.ExpectedWait[class] > price
}

func (p *PoolChoice) load(now time.Time, key PoolKey) (Load, bool) {
	l, known := p.loads[key]
	if !known || now.Sub(l.At) > loadMaxAge {
		return Load{}, false
	}
	return l, true
}

// dispatcher returns the first VM of the rendezvous order that is not suspect, or this VM when all are.
func (p *PoolChoice) dispatcher(now time.Time, at *place) VM {
	for _, id := range at.order {
		if id == p.options.Self.ID || !now.Before(p.suspect[id]) {
			return p.vms[id]
		}
	}
	return p.options.Self
}
