package load

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// healthCheckInterval is the interval between health checks, as in the platform's load balancer.
	healthCheckInterval = 500 * time.Millisecond
	// controlRequestTimeout bounds a health check and a request for tickets.
	controlRequestTimeout = time.Second
	// maxConnectionsPerTarget bounds the open connections to one entry VM.
	maxConnectionsPerTarget = 4096
)

// target is one entry VM with its HTTP client and its health.
type target struct {
	address   string
	group     string
	client    *Client
	unhealthy atomic.Bool
}

func newTarget(t Target) *target {
	return &target{address: t.Address, group: t.Group, client: NewClient(t.Address, maxConnectionsPerTarget)}
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
func (t *target) checkHealth() { t.unhealthy.Store(!t.client.IsReady(controlRequestTimeout)) }

// close closes the idle connections to all targets.
func (b *balancer) close() {
	for _, t := range b.all() {
		t.client.CloseIdleConnections()
	}
}
