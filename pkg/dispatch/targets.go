package dispatch

import (
	"time"

	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

// Targets returns the targets for a call in order of preference: the dispatcher of the pool with the lowest round-trip time
// and expected wait, its successor, the dispatchers of the other pools, nearest first, and finally this VM for the selected
// pool, unless it is listed already. A call proved not to have run on one target may be sent to the next. Targets returns
// nil if no pool serves the service.
func (p *PoolSelector) Targets(service string, class priority.Class) []Target {
	now := p.options.Clock.Now()
	p.mu.RLock()
	defer p.mu.RUnlock()
	entries := p.pools[service]
	if len(entries) == 0 {
		return nil
	}
	best := p.bestPool(now, entries, class)
	targets := make([]Target, 0, len(entries)+2)
	first := p.target(best, p.dispatcher(now, best))
	if load, known := p.load(now, best.key); known {
		first.RecentWait = load.ExpectedWait[class]
		if now.Sub(load.At) <= refusalMaxAge {
			first.ExpectedWait = first.RecentWait
		}
	}
	targets = append(targets, first)
	if next, ok := p.successor(now, best); ok {
		targets = append(targets, p.target(best, next))
	}
	for i := range entries {
		if entry := &entries[i]; entry != best {
			targets = append(targets, p.target(entry, p.dispatcher(now, entry)))
		}
	}
	for _, t := range targets {
		if t.Self && t.Pool == best.key {
			return targets
		}
	}
	return append(targets, p.target(best, p.options.Self))
}

// bestPool returns the pool with the lowest round-trip time and expected wait.
func (p *PoolSelector) bestPool(now time.Time, entries []poolEntry, class priority.Class) *poolEntry {
	best := &entries[0]
	for i := range entries[1:] {
		if farther := &entries[i+1]; p.prefersFarther(now, farther, best, class) {
			best = farther
		}
	}
	return best
}

func (p *PoolSelector) target(entry *poolEntry, vm VM) Target {
	return Target{Pool: entry.key, VM: vm, Self: vm.ID == p.options.Self.ID, Remote: entry.remote}
}

// successor returns the second VM in rendezvous order that is not suspect.
func (p *PoolSelector) successor(now time.Time, entry *poolEntry) (VM, bool) {
	first := p.dispatcher(now, entry).ID
	for _, id := range entry.vmOrder {
		if id != first && !now.Before(p.suspect[id]) {
			return p.vms[id], true
		}
	}
	return VM{}, false
}

// Dispatches reports whether this VM is the dispatcher of a pool according to its own view. A VM that dispatches a pool only
// as a temporary replacement, or whose pool has moved to another VM, does not probe the servers of the pool.
func (p *PoolSelector) Dispatches(key PoolKey) bool {
	now := p.options.Clock.Now()
	p.mu.RLock()
	defer p.mu.RUnlock()
	for i := range p.pools[key.Service] {
		if entry := &p.pools[key.Service][i]; entry.key == key {
			return p.dispatcher(now, entry).ID == p.options.Self.ID
		}
	}
	return false
}
