package load

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const (
	// checkEvery is the interval of the health checks, as a platform's balancer makes them.
	checkEvery   = 500 * time.Millisecond
	checkTimeout = time.Second
	dialTimeout  = time.Second
	readyPath    = "/.well-known/hornbeamway/readyz"
	// connectionsPerTarget bounds the open connections to one entry VM.
	connectionsPerTarget = 4096
)

// errDial marks a connection that was not made, so that nothing was sent on it.
var errDial = errors.New("no connection")

// target is one entry VM.
type target struct {
	address string
	group   string
	client  *fasthttp.HostClient
	down    atomic.Bool
}

func newTarget(t Target) *target {
	return &target{address: t.Address, group: t.Group, client: &fasthttp.HostClient{
		Addr: t.Address, MaxConns: connectionsPerTarget, MaxIdemponentCallAttempts: 1, StreamResponseBody: true,
		DisablePathNormalizing: true, NoDefaultUserAgentHeader: true,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(address string) (net.Conn, error) {
			conn, err := net.DialTimeout("tcp", address, dialTimeout)
			return conn, errors.Mark(err, errDial)
		},
	}}
}

// balancer chooses among the entry VMs in turn and skips those that fail their health check, as the platform's does.
type balancer struct {
	mu      sync.Mutex
	targets []*target
	next    atomic.Uint64
}

// set replaces the targets. Known ones keep their connections.
func (b *balancer) set(targets []Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := map[string]*target{}
	for _, t := range b.targets {
		known[t.address] = t
	}
	fresh := make([]*target, 0, len(targets))
	for _, t := range targets {
		if old, ok := known[t.Address]; ok {
			fresh = append(fresh, old)
		} else {
			fresh = append(fresh, newTarget(t))
		}
	}
	b.targets = fresh
}

func (b *balancer) all() []*target {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.targets
}

// pick returns the next healthy target of a group that was not tried yet; any group if group is empty or none of it is
// left; an unhealthy one when there is no other; nil when all were tried.
func (b *balancer) pick(group string, tried []*target) *target {
	targets := b.all()
	first := int(b.next.Add(1) % uint64(max(len(targets), 1)))
	var best *target
	bestRank := 0
	for i := range targets {
		t := targets[(first+i)%len(targets)]
		rank := 1
		if group == "" || t.group == group {
			rank++
		}
		if !t.down.Load() {
			rank += 2
		}
		if rank > bestRank && !slices.Contains(tried, t) {
			best, bestRank = t, rank
		}
	}
	return best
}

// watch checks the health of all targets until ctx ends.
func (b *balancer) watch(ctx context.Context) {
	ticker := time.NewTicker(checkEvery)
	defer ticker.Stop()
	for {
		var group sync.WaitGroup
		for _, t := range b.all() {
			group.Go(t.check)
		}
		group.Wait()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// check asks the target whether it is ready.
func (t *target) check() {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + t.address + readyPath)
	req.SetTimeout(checkTimeout)
	err := t.client.Do(req, resp)
	t.down.Store(err != nil || resp.StatusCode() != fasthttp.StatusOK)
	_ = resp.CloseBodyStream()
}

// close closes the idle connections.
func (b *balancer) close() {
	for _, t := range b.all() {
		t.client.CloseIdleConnections()
	}
}
