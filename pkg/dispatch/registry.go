package dispatch

import (
	"context"
	"sync"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
)

// Registry holds the pools that this VM dispatches. A pool is started by its first request, so that a VM keeps state only
// for the pools it dispatches. Registry implements Dispatcher and is safe for concurrent use.
type Registry struct {
	clock      clock.Clock
	dataCentre string

	mu      sync.RWMutex
	servers map[PoolKey][]Server
	shares  priority.Shares
	runners map[PoolKey]*Runner
	stopped bool
}

// NewRegistry returns a registry without servers for a VM in dataCentre.
func NewRegistry(c clock.Clock, dataCentre string) *Registry {
	return &Registry{clock: c, dataCentre: dataCentre, servers: map[PoolKey][]Server{}, runners: map[PoolKey]*Runner{}}
}

// Update replaces the servers of all data centres and the minimum shares of the preset in force.
func (r *Registry) Update(servers []Server, shares priority.Shares) {
	pools := map[PoolKey][]Server{}
	for _, s := range servers {
		key := PoolKey{Service: s.Service, DataCentre: s.DataCentre}
		pools[key] = append(pools[key], s)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.servers, r.shares = pools, shares
	for key, runner := range r.runners {
		runner.Update(pools[key], shares)
	}
}

// Acquire implements Dispatcher.
func (r *Registry) Acquire(ctx context.Context, request Request) (Slot, error) {
	if request.DataCentre == "" {
		request.DataCentre = r.dataCentre
	}
	runner, refused := r.runner(PoolKey{Service: request.Service, DataCentre: request.DataCentre})
	if refused != nil {
		return nil, refused
	}
	return runner.Acquire(ctx, request)
}

// Load returns the latest load summary of a pool, or false when this VM does not dispatch the pool.
func (r *Registry) Load(key PoolKey) (PoolLoad, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	runner := r.runners[key]
	if runner == nil {
		return PoolLoad{}, false
	}
	return runner.Load(), true
}

// Runners returns the runners of the pools that this VM dispatches, by pool.
func (r *Registry) Runners() map[PoolKey]*Runner {
	r.mu.RLock()
	defer r.mu.RUnlock()
	runners := make(map[PoolKey]*Runner, len(r.runners))
	for key, runner := range r.runners {
		runners[key] = runner
	}
	return runners
}

// Stop stops all pools. Waiting requests are refused with outcome not_run.
func (r *Registry) Stop() {
	r.mu.Lock()
	r.stopped = true
	runners := r.runners
	r.runners = map[PoolKey]*Runner{}
	r.mu.Unlock()
	for _, runner := range runners {
		runner.Stop()
	}
}

func (r *Registry) runner(key PoolKey) (*Runner, *problem.Problem) {
	r.mu.RLock()
	runner := r.runners[key]
	r.mu.RUnlock()
	if runner != nil {
		return runner, nil
	}
	return r.startRunner(key)
}

func (r *Registry) startRunner(key PoolKey) (*Runner, *problem.Problem) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return nil, stoppedProblem()
	}
	if runner := r.runners[key]; runner != nil {
		return runner, nil
	}
	servers := r.servers[key]
	if len(servers) == 0 {
		return nil, refusal(problem.ReasonNoServer, "the pool has no servers", 0)
	}
	pool := NewPool(PoolOptions{Key: key, Shares: r.shares})
	pool.Update(r.clock.Now(), servers, r.shares)
	runner := NewRunner(r.clock, pool)
	r.runners[key] = runner
	return runner, nil
}
