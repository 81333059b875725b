package server

import (
	"sync/atomic"

	"github.com/samber/lo"

	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
	"github.com/hornbeamway/hornbeamway/pkg/membership"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
	"github.com/hornbeamway/hornbeamway/pkg/proxy"
)

// placement finds the dispatchers of the pools of a service for the proxy.
type placement struct {
	choice   *dispatch.PoolChoice
	registry *dispatch.Registry
	known    atomic.Bool
}

var _ proxy.Placement = (*placement)(nil)

// update takes the backend servers and the alive entry VMs of all data centres.
func (p *placement) update(servers []dispatch.Server, members []membership.Member) {
	p.choice.Update(servers, lo.FilterMap(members, func(m membership.Member, _ int) (dispatch.VM, bool) {
		return dispatchVM(m), m.State == membership.Alive
	}))
	if len(servers) > 0 {
		p.known.Store(true)
	}
}

func dispatchVM(m membership.Member) dispatch.VM {
	return dispatch.VM{ID: m.ID, Region: m.Region, DataCentre: m.DataCentre, Forward: m.Forward}
}

// Targets implements proxy.Placement.
func (p *placement) Targets(service string, class priority.Class) []proxy.Target {
	targets := p.choice.Targets(service, class)
	answer := make([]proxy.Target, len(targets))
	for i, t := range targets {
		if load, ok := p.registry.Load(t.Pool); ok && t.Self {
			// Pools of this VM answer without a message, so their load is learnt here.
			p.choice.Observe(t.Pool, load, 0)
		}
		answer[i] = proxy.Target{
			Pool: t.Pool, VM: t.VM.ID, Forward: t.VM.Forward, Local: t.Self, OtherRegion: t.Remote,
			ExpectedWait: t.ExpectedWait, RecentWait: t.RecentWait,
		}
	}
	return answer
}

// Learn implements proxy.Placement.
func (p *placement) Learn(pool dispatch.PoolKey, load dispatch.Load) { p.choice.Observe(pool, load, 0) }

// Known implements proxy.Placement.
func (p *placement) Known() bool { return p.known.Load() }

// Suspect implements proxy.Placement.
func (p *placement) Suspect(vm string) { p.choice.Suspect(vm) }
