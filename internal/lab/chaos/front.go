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
)

const (
	checkEvery   = 300 * time.Millisecond
	checkTimeout = 700 * time.Millisecond
	dialTimeout  = time.Second
	maxConns     = 2048
	readyPath    = "/.well-known/hornbeamway/readyz"
)

// errDial marks a connection that was not made, so that nothing was sent on it.
var errDial = errors.New("no connection")

// door is the callers' address of one entry VM.
type door struct {
	vm     *cluster.VM
	client *fasthttp.HostClient
	ready  atomic.Bool
}

func newDoor(vm *cluster.VM) *door {
	d := &door{vm: vm, client: &fasthttp.HostClient{
		Addr: vm.Entry.Address, MaxConns: maxConns, MaxIdemponentCallAttempts: 1, StreamResponseBody: true,
		DisablePathNormalizing: true, NoDefaultUserAgentHeader: true,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(address string) (net.Conn, error) {
			conn, err := net.DialTimeout("tcp", address, dialTimeout)
			return conn, errors.Mark(err, errDial)
		},
	}}
	d.ready.Store(true)
	return d
}

func (d *door) check() {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + d.vm.Entry.Address + readyPath)
	req.SetTimeout(checkTimeout)
	err := d.client.Do(req, resp)
	d.ready.Store(err == nil && resp.StatusCode() == fasthttp.StatusOK)
	_ = resp.CloseBodyStream()
}

// front stands for the platform's balancer: it chooses among the entry VMs that pass their health check.
type front struct {
	cluster *cluster.Cluster

	mu    sync.Mutex
	doors []*door
}

func newFront(c *cluster.Cluster) *front {
	f := &front{cluster: c}
	f.refresh()
	return f
}

// refresh follows the entry VMs of the cluster. Known ones keep their connections.
func (f *front) refresh() []*door {
	vms := f.cluster.VMs()
	f.mu.Lock()
	defer f.mu.Unlock()
	known := map[*cluster.VM]*door{}
	for _, d := range f.doors {
		known[d.vm] = d
	}
	doors := make([]*door, 0, len(vms))
	for _, vm := range vms {
		d := known[vm]
		if d == nil {
			d = newDoor(vm)
		}
		doors = append(doors, d)
	}
	f.doors = doors
	return doors
}

// watch checks the health of all entry VMs until ctx ends.
func (f *front) watch(ctx context.Context) {
	for ctx.Err() == nil {
		var group sync.WaitGroup
		for _, d := range f.refresh() {
			group.Go(d.check)
		}
		group.Wait()
		pause(ctx, checkEvery)
	}
}

// pick returns a random entry VM that passes its health check: outside the region, if one is named, and not among those
// tried. Without such a one it takes any that was not tried; nil when all were.
func (f *front) pick(random *rand.Rand, outside string, tried []*door) *door {
	f.mu.Lock()
	doors := slices.Clone(f.doors)
	f.mu.Unlock()
	random.Shuffle(len(doors), func(i, j int) { doors[i], doors[j] = doors[j], doors[i] })
	var best *door
	bestRank := 0
	for _, d := range doors {
		rank := 1
		if d.ready.Load() {
			rank += 2
		}
		if outside == "" || d.vm.Entry.Region != outside {
			rank++
		}
		if rank > bestRank && !slices.Contains(tried, d) {
			best, bestRank = d, rank
		}
	}
	return best
}
