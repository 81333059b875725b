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
	// healthCheckInterval is the interval between health checks, as in the platform's load balancer.
	healthCheckInterval = 500 * time.Millisecond
	// controlRequestTimeout bounds a health check and a request for tickets.
	controlRequestTimeout = time.Second
	dialTimeout           = time.Second
	readinessPath         = "/.well-known/hornbeamway/readyz"
	// maxConnectionsPerTarget bounds the open connections to one entry VM.
	maxConnectionsPerTarget = 4096
)

// errDial marks a failure to establish a connection: nothing of the request was sent.
var errDial = errors.New("failed to connect to the entry VM")

// target is one entry VM with its HTTP client and its health.
type target struct {
	address   string
	group     string
	client    *fasthttp.HostClient
	unhealthy atomic.Bool
}

func newTarget(t Target) *target {
	return &target{address: t.Address, group: t.Group, client: &fasthttp.HostClient{
		Addr: t.Address, MaxConns: maxConnectionsPerTarget, MaxIdemponentCallAttempts: 1, StreamResponseBody: true,
		DisablePathNormalizing: true, NoDefaultUserAgentHeader: true,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(address string) (net.Conn, error) {
			conn, err := net.DialTimeout("tcp", address, dialTimeout)
			return conn, errors.Mark(err, errDial)
		},
	}}
}

// balancer selects entry VMs round robin and skips those that fail their health check, as the platform's load balancer does.
type balancer struct {
	mu      sync.Mutex
	targets []*target
	next    atomic.Uint64
}

// setTargets replaces the targets. Targets that were present before keep their connections.
func (b *balancer) setTargets(targets []Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	existing := map[string]*target{}
	for _, t := range b.targets {
		existing[t.address] = t
	}
	updated := make([]*target, 0, len(targets))
	for _, t := range targets {
		if kept, ok := existing[t.Address]; ok {
			updated = append(updated, kept)
		} else {
			updated = append(updated, newTarget(t))
		}
	}
	b.targets = updated
}

func (b *balancer) all() []*target {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.targets
}

// pick returns the next healthy target of the group that is not in tried. It accepts any group if group is empty or has no
// such target, falls back to an unhealthy target if no healthy one is left, and returns nil if all targets were tried.
func (b *balancer) pick(group string, tried []*target) *target {
	targets := b.all()
	start := int(b.next.Add(1) % uint64(max(len(targets), 1)))
	var best *target
	bestScore := 0
	for i := range targets {
		t := targets[(start+i)%len(targets)]
		score := 1
		if group == "" || t.group == group {
			score++
		}
		if !t.unhealthy.Load() {
			score += 2
		}
		if score > bestScore && !slices.Contains(tried, t) {
			best, bestScore = t, score
		}
	}
	return best
}

// runHealthChecks checks the health of all targets at each interval until ctx is cancelled.
func (b *balancer) runHealthChecks(ctx context.Context) {
	ticker := time.NewTicker(healthCheckInterval)
	defer ticker.Stop()
	for {
		var checks sync.WaitGroup
		for _, t := range b.all() {
			checks.Go(t.checkHealth)
		}
		checks.Wait()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// checkHealth updates the health of the target from its readiness endpoint.
func (t *target) checkHealth() {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + t.address + readinessPath)
	req.SetTimeout(controlRequestTimeout)
	err := t.client.Do(req, resp)
	t.unhealthy.Store(err != nil || resp.StatusCode() != fasthttp.StatusOK)
	_ = resp.CloseBodyStream()
}

// close closes the idle connections to all targets.
func (b *balancer) close() {
	for _, t := range b.all() {
		t.client.CloseIdleConnections()
	}
}
