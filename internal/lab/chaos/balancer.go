package chaos

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamway/hornbeamway/internal/lab/cluster"
	"github.com/hornbeamway/hornbeamway/internal/lab/load"
	"github.com/hornbeamway/hornbeamway/internal/lab/pause"
)

const (
	checkInterval = 300 * time.Millisecond
	// checkTimeout bounds a health check and a request for tickets.
	checkTimeout = 700 * time.Millisecond
	// maxConns bounds the open connections to one entry VM.
	maxConns = 2048
)

// endpoint is the callers' address of one entry VM with its HTTP client and the result of the last health check.
type endpoint struct {
	vm     *cluster.VM
	client *load.Client
	ready  atomic.Bool
}

func newEndpoint(vm *cluster.VM) *endpoint {
	e := &endpoint{vm: vm, client: load.NewClient(vm.Entry.Address, maxConns)}
	e.ready.Store(true)
	return e
}

func (e *endpoint) checkHealth() { e.ready.Store(e.client.IsReady(checkTimeout)) }

// balancer stands in for the platform's load balancer: it chooses among the entry VMs that pass their health check.
type balancer struct {
	cluster *cluster.Cluster

	mu        sync.Mutex
	endpoints []*endpoint
}

func newBalancer(c *cluster.Cluster) *balancer {
	b := &balancer{cluster: c}
	b.refresh()
	return b
}

// refresh updates the endpoints to the current entry VMs of the cluster. Endpoints of VMs that remain keep their connections.
func (b *balancer) refresh() []*endpoint {
	vms := b.cluster.VMs()
	b.mu.Lock()
	defer b.mu.Unlock()
	existing := map[*cluster.VM]*endpoint{}
	for _, e := range b.endpoints {
		existing[e.vm] = e
	}
	endpoints := make([]*endpoint, 0, len(vms))
	for _, vm := range vms {
		e := existing[vm]
		if e == nil {
			e = newEndpoint(vm)
		}
		endpoints = append(endpoints, e)
	}
	b.endpoints = endpoints
	return endpoints
}

// runHealthChecks checks the health of all entry VMs at intervals of checkInterval until ctx ends.
func (b *balancer) runHealthChecks(ctx context.Context) {
	for ctx.Err() == nil {
		var group sync.WaitGroup
		for _, e := range b.refresh() {
			group.Go(e.checkHealth)
		}
		group.Wait()
		pause.Sleep(ctx, checkInterval)
	}
}

// pickEndpoint returns a random endpoint that is not among tried, or nil if all are. It prefers VMs that pass their health check,
// and among VMs of equal health those outside avoidRegion.
func (b *balancer) pickEndpoint(random *rand.Rand, avoidRegion string, tried []*endpoint) *endpoint {
	b.mu.Lock()
	endpoints := slices.Clone(b.endpoints)
	b.mu.Unlock()
	random.Shuffle(len(endpoints), func(i, j int) { endpoints[i], endpoints[j] = endpoints[j], endpoints[i] })
	var best *endpoint
	bestRank := 0
	for _, e := range endpoints {
		rank := 1
		if e.ready.Load() {
			rank += 2
		}
		if avoidRegion == "" || e.vm.Entry.Region != avoidRegion {
			rank++
		}
		if rank > bestRank && !slices.Contains(tried, e) {
			best, bestRank = e, rank
		}
	}
	return best
}
