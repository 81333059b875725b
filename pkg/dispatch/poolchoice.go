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
	// suspectDuration is the time for which an unreachable dispatcher is skipped.
	suspectDuration = time.Second
	// loadMaxAge is the age beyond which a pool's load summary is ignored. The nearest pool is then tried again.
	loadMaxAge = time.Second
	// refusalMaxAge is the maximum age of a load summary on which a call is refused without a request to the pool. A queue
	// whose expected wait exceeds a deadline does not empty within this time, and one call per entry VM every 20 ms is an
	// acceptable cost for refreshing the summary.
	refusalMaxAge = 20 * time.Millisecond
	// bulkLinkPenalty is the additional expected wait required before a bulk call is sent to the other region. Its response
	// waits for the shared region link and holds its slot meanwhile, which raises the expected waits of both regions.
	// Without the penalty, a short backlog at the start sent bulk calls over the link until it was full, and it remained full.
	bulkLinkPenalty = time.Second
)

// VM describes an entry VM that may dispatch pools.
type VM struct {
	ID         string
	Region     string
	DataCentre string
	// Forward is the address for calls from other entry VMs.
	Forward string
}

// PoolSelectorOptions configures a PoolSelector.
type PoolSelectorOptions struct {
	Clock clock.Clock
	Self  VM
	// RegionRoundTrip is the round-trip time to another data centre of the same region. Default 3ms.
	RegionRoundTrip time.Duration
	// RemoteRoundTrip is the round-trip time to the other region. Default 60ms.
	RemoteRoundTrip time.Duration
}

// Target is a VM to which a call can be sent, with the pool to use there.
type Target struct {
	Pool PoolKey
	VM   VM
	// Self is true if the target is this VM.
	Self bool
	// Remote is true if the pool is in the other region, so that bodies cross the billed region link.
	Remote bool
	// ExpectedWait is the expected wait from a load summary of the pool that is at most 20 ms old; 0 if there is none.
	ExpectedWait time.Duration
	// RecentWait is the expected wait from a load summary of the pool that is at most 1 s old; 0 if there is none.
	RecentWait time.Duration
}

// PoolSelector selects the pool for a call and the dispatcher of that pool. It is safe for concurrent use.
type PoolSelector struct {
	options PoolSelectorOptions

	mu      sync.RWMutex
	pools   map[string][]poolEntry // by service, nearest first
	vms     map[string]VM
	loads   map[PoolKey]PoolLoad // At is the time of the summary on the local clock
	suspect map[string]time.Time // time until which a VM is suspect, by VM id
}

// poolEntry is a pool as seen from this VM.
type poolEntry struct {
	key       PoolKey
	roundTrip time.Duration
	remote    bool
	vmOrder   []string // VM ids in rendezvous order; this VM is appended if it is in another data centre
}

// NewPoolSelector returns a PoolSelector without pools.
func NewPoolSelector(o PoolSelectorOptions) *PoolSelector {
	const regionRoundTrip, remoteRoundTrip = 3 * time.Millisecond, 60 * time.Millisecond // docs/design.md, section 1
	o.RegionRoundTrip = cmp.Or(o.RegionRoundTrip, regionRoundTrip)
	o.RemoteRoundTrip = cmp.Or(o.RemoteRoundTrip, remoteRoundTrip)
	return &PoolSelector{options: o, loads: map[PoolKey]PoolLoad{}, suspect: map[string]time.Time{}}
}

// Update replaces the servers and the list of alive entry VMs of all data centres.
func (p *PoolSelector) Update(servers []Server, alive []VM) {
	vms := map[string]VM{p.options.Self.ID: p.options.Self}
	byDataCentre := map[string][]string{}
	for _, vm := range alive {
		vms[vm.ID] = vm
		byDataCentre[vm.DataCentre] = append(byDataCentre[vm.DataCentre], vm.ID)
	}
	pools := map[string][]poolEntry{}
	seen := map[PoolKey]bool{}
	for _, s := range servers {
		key := PoolKey{Service: s.Service, DataCentre: s.DataCentre}
		if seen[key] || s.State == StateLeaving {
			continue
		}
		seen[key] = true
		pools[s.Service] = append(pools[s.Service], p.newPoolEntry(key, s.Region, byDataCentre[s.DataCentre]))
	}
	for _, entries := range pools {
		slices.SortFunc(entries, func(a, b poolEntry) int {
			return cmp.Or(cmp.Compare(a.roundTrip, b.roundTrip), cmp.Compare(a.key.DataCentre, b.key.DataCentre))
		})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pools, p.vms = pools, vms
}

func (p *PoolSelector) newPoolEntry(key PoolKey, region string, vms []string) poolEntry {
	self := p.options.Self
	entry := poolEntry{key: key, vmOrder: Rank(key, vms)}
	switch {
	case region != self.Region:
		entry.roundTrip, entry.remote = p.options.RemoteRoundTrip, true
	case key.DataCentre != self.DataCentre:
		entry.roundTrip = p.options.RegionRoundTrip
	}
	if !slices.Contains(entry.vmOrder, self.ID) {
		entry.vmOrder = append(entry.vmOrder, self.ID)
	}
	return entry
}

// RecordLoad records a load summary that was received with a response. age is the age of the summary on arrival.
func (p *PoolSelector) RecordLoad(key PoolKey, load PoolLoad, age time.Duration) {
	load.At = p.options.Clock.Now().Add(-age)
	p.mu.Lock()
	defer p.mu.Unlock()
	if load.At.After(p.loads[key].At) {
		p.loads[key] = load
	}
}

// MarkSuspect marks a VM as suspect, so that it is skipped as dispatcher for one second. It is called when the VM refuses a
// connection or does not accept a call.
func (p *PoolSelector) MarkSuspect(vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspect[vm] = p.options.Clock.Now().Add(suspectDuration)
}

// prefersFarther reports whether the farther pool is preferred to the nearer one. That is the case if the nearer pool is
// unhealthy, or if its expected wait exceeds the farther pool's expected wait by more than the additional round-trip time, plus
// bulkLinkPenalty for a bulk call to the other region. The expected wait of a pool without a recent summary counts as 0. A
// farther pool known to be unhealthy is never preferred.
func (p *PoolSelector) prefersFarther(now time.Time, farther, nearer *poolEntry, class priority.Class) bool {
	fartherLoad, fartherKnown := p.load(now, farther.key)
	nearerLoad, nearerKnown := p.load(now, nearer.key)
	if !nearerKnown || fartherKnown && !fartherLoad.Healthy {
		return false
	}
	if !nearerLoad.Healthy {
		return true
	}
	requiredGain := farther.roundTrip - nearer.roundTrip
	if class == priority.Bulk && farther.remote && !nearer.remote {
		requiredGain += bulkLinkPenalty
	}
	return nearerLoad.ExpectedWait[class]-fartherLoad.ExpectedWait[class] > requiredGain
}

func (p *PoolSelector) load(now time.Time, key PoolKey) (PoolLoad, bool) {
	l, known := p.loads[key]
	if !known || now.Sub(l.At) > loadMaxAge {
		return PoolLoad{}, false
	}
	return l, true
}

// dispatcher returns the first VM in rendezvous order that is not suspect. This VM is never skipped.
func (p *PoolSelector) dispatcher(now time.Time, entry *poolEntry) VM {
	for _, id := range entry.vmOrder {
		if id == p.options.Self.ID || !now.Before(p.suspect[id]) {
			return p.vms[id]
		}
	}
	return p.options.Self
}
