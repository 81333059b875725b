package dispatch

import (
	"time"

	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

// Targets returns the ways to serve a call, best first: the dispatcher of the pool with the shortest way and wait, its
// successor, then the other pools' dispatchers, nearest first, and at last this VM itself for the chosen pool. A call that
// is proved not run on one target may go to the next. Nil when no pool serves the service.
func (p *PoolChoice) Targets(service string, class priority.Class) []Target {
	now := p.options.Clock.Now()
	p.mu.RLock()
	defer p.mu.RUnlock()
	places := p.pools[service]
	if len(places) == 0 {
		return nil
	}
	best := p.best(now, places, class)
	targets := make([]Target, 0, len(places)+2)
	first := p.target(best, p.dispatcher(now, best))
	if load, known := p.load(now, best.key); known {
		first.RecentWait = load.ExpectedWait[class]
		if now.Sub(load.At) <= refuseMaxAge {
			first.ExpectedWait = first.RecentWait
		}
	}
	targets = append(targets, first)
	if next, ok := p.successor(now, best); ok {
		targets = append(targets, p.target(best, next))
	}
	for i := range places {
		if at := &places[i]; at != best {
			targets = append(targets, p.target(at, p.dispatcher(now, at)))
		}
	}
	for _, t := range targets {
		if t.Self && t.Pool == best.key {
			return targets
		}
	}
	return append(targets, p.target(best, p.options.Self))
}

// best returns the pool with the shortest way and wait.
func (p *PoolChoice) best(now time.Time, places []place, class priority.Class) *place {
	best := &places[0]
	for i := range places[1:] {
		if farther := &places[i+1]; p.better(now, farther, best, class) {
			best = farther
		}
	}
	return best
}

func (p *PoolChoice) target(at *place, vm VM) Target {
	return Target{Pool: at.key, VM: vm, Self: vm.ID == p.options.Self.ID, Remote: at.remote}
}

// successor returns the second VM of the rendezvous order that is not suspect.
func (p *PoolChoice) successor(now time.Time, at *place) (VM, bool) {
	first := p.dispatcher(now, at).ID
	for _, id := range at.order {
		if id != first && !now.Before(p.suspect[id]) {
			return p.vms[id], true
		}
	}
	return VM{}, false
}

// Dispatches reports whether this VM is the dispatcher of a pool by its own view. A VM that only stands in for another
// one, or whose pool has moved, does not probe the pool's servers.
func (p *PoolChoice) Dispatches(key PoolKey) bool {
	now := p.options.Clock.Now()
	p.mu.RLock()
	defer p.mu.RUnlock()
	for i := range p.pools[key.Service] {
		if at := &p.pools[key.Service][i]; at.key == key {
			return p.dispatcher(now, at).ID == p.options.Self.ID
		}
	}
	return false
}
