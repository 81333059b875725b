package server

import (
	"sync"
	"time"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
	"github.com/hornbeamway/hornbeamway/pkg/membership"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
	"github.com/hornbeamway/hornbeamway/pkg/proxy"
)

// placement finds the pools of a service and the VMs that dispatch them.
type placement struct {
	clock   clock.Clock
	members *membership.Service

	mu    sync.RWMutex
	pools map[string][]poolPlace // by service
}

type poolPlace struct {
	key    dispatch.PoolKey
	region string
}

var _ proxy.Placement = (*placement)(nil)

func (p *placement) update(servers []dispatch.Server) {
	pools := map[string][]poolPlace{}
	seen := map[dispatch.PoolKey]bool{}
	for _, s := range servers {
		key := dispatch.PoolKey{Service: s.Service, DataCentre: s.DataCentre}
		if !seen[key] {
			seen[key] = true
			pools[s.Service] = append(pools[s.Service], poolPlace{key: key, region: s.Region})
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pools = pools
}

// Targets implements proxy.Placement.
func (p *placement) Targets(service string, _ priority.Class) []proxy.Target {
	self := p.members.Self()
	p.mu.RLock()
	pools := p.pools[service]
	p.mu.RUnlock()
	var targets []proxy.Target
	for distance := range 3 {
		for _, pool := range pools {
			if distanceOf(self, pool) != distance {
				continue
			}
			targets = append(targets, proxy.Target{
				Pool: pool.key, VM: self.ID, Forward: self.Forward, Local: true, OtherRegion: pool.region != self.Region,
			})
		}
	}
	return targets
}

func distanceOf(self membership.Member, pool poolPlace) int {
	switch {
	case pool.key.DataCentre == self.DataCentre:
		return 0
	case pool.region == self.Region:
		return 1
	}
	return 2
}

// Learn implements proxy.Placement.
func (p *placement) Learn(dispatch.PoolKey, priority.Class, time.Duration) {}

// Suspect implements proxy.Placement.
func (p *placement) Suspect(string) {}
