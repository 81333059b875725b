package server

import (
	"sync/atomic"

	"github.com/samber/lo"

	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
	"github.com/hornbeamway/hornbeamway/pkg/membership"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
	"github.com/hornbeamway/hornbeamway/pkg/proxy"
)

// placement finds the pools of a service and their dispatchers for the proxy.
type placement struct {
	choice       *dispatch.PoolSelector
	registry     *dispatch.Registry
	serversKnown atomic.Bool
}

var _ proxy.Placement = (*placement)(nil)

// update sets the backend servers and the alive entry VMs of all data centres.
func (p *placement) update(servers []dispatch.Server, members []membership.Member) {
	p.choice.Update(servers, lo.FilterMap(members, func(m membership.Member, _ int) (dispatch.VM, bool) {
		return dispatchVM(m), m.State == membership.Alive
	}))
	if len(servers) > 0 {
		p.serversKnown.Store(true)
	}
}

func dispatchVM(m membership.Member) dispatch.VM {
	return dispatch.VM{ID: m.ID, Region: m.Region, DataCentre: m.DataCentre, Forward: m.Forward}
}

// Targets implements proxy.Placement.
func (p *placement) Targets(service string, class priority.Class) []proxy.Target {
	targets := p.choice.Targets(service, class)
	result := make([]proxy.Target, len(targets))
	for i, t := range targets {
		if load, ok := p.registry.Load(t.Pool); ok && t.Self {
			// Pools that this VM dispatches send no load report over the network, so their load is recorded here.
			p.choice.RecordLoad(t.Pool, load, 0)
		}
		result[i] = proxy.Target{
			Pool: t.Pool, DispatcherID: t.VM.ID, ForwardAddress: t.VM.Forward, Local: t.Self, OtherRegion: t.Remote,
			ExpectedWait: t.ExpectedWait, RecentWait: t.RecentWait,
		}
	}
	return result
}

// Learn implements proxy.Placement.
func (p *placement) RecordLoad(pool dispatch.PoolKey, load dispatch.PoolLoad) {
	p.choice.RecordLoad(pool, load, 0)
}

// Known implements proxy.Placement.
func (p *placement) ServersKnown() bool { return p.serversKnown.Load() }

// Suspect implements proxy.Placement.
func (p *placement) Suspect(vm string) { p.choice.MarkSuspect(vm) }
