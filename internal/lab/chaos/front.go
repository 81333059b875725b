package chaos

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/internal/lab/cluster"
	"github.com/hornbeamway/hornbeamway/internal/lab/pause"
)

const (
	checkInterval = 300 * time.Millisecond
	checkTimeout  = 700 * time.Millisecond
	dialTimeout   = time.Second
	maxConns      = 2048
	readyPath     = "/.well-known/hornbeamway/readyz"
)

// errNotConnected marks a failed connection attempt, after which nothing was sent.
var errNotConnected = errors.New("connection could not be established")

// endpoint is the callers' address of one entry VM with its HTTP client and the result of the last health check.
type endpoint struct {
	vm     *cluster.VM
	client *fasthttp.HostClient
	ready  atomic.Bool
}

func newEndpoint(vm *cluster.VM) *endpoint {
	e := &endpoint{vm: vm, client: &fasthttp.HostClient{
		Addr: vm.Entry.Address, MaxConns: maxConns, MaxIdemponentCallAttempts: 1, StreamResponseBody: true,
		DisablePathNormalizing: true, NoDefaultUserAgentHeader: true,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(address string) (net.Conn, error) {
			conn, err := net.DialTimeout("tcp", address, dialTimeout)
			return conn, errors.Mark(err, errNotConnected)
		},
	}}
	e.ready.Store(true)
	return e
}

func (e *endpoint) checkHealth() {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + e.vm.Entry.Address + readyPath)
	req.SetTimeout(checkTimeout)
	err := e.client.Do(req, resp)
	e.ready.Store(err == nil && resp.StatusCode() == fasthttp.StatusOK)
	_ = resp.CloseBodyStream()
}

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
