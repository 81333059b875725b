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
	selector     *dispatch.PoolSelector
	registry     *dispatch.Registry
	serversKnown atomic.Bool
}

var _ proxy.Placement = (*placement)(nil)

// update sets the backend servers and the alive entry VMs of all data centres.
func (p *placement) update(servers []dispatch.Server, members []membership.Member) {
	p.selector.Update(servers, lo.FilterMap(members, func(m membership.Member, _ int) (dispatch.VM, bool) {
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
	targets := p.selector.Targets(service, class)
	result := make([]proxy.Target, len(targets))
	for i, t := range targets {
		if load, ok := p.registry.Load(t.Pool); ok && t.Self {
			// Pools that this VM dispatches send no load report over the network, so their load is recorded here.
			p.selector.RecordLoad(t.Pool, load, 0)
		}
		result[i] = proxy.Target{
			Pool: t.Pool, DispatcherID: t.VM.ID, ForwardAddress: t.VM.Forward, Local: t.Self, OtherRegion: t.Remote,
			ExpectedWait: t.ExpectedWait, RecentWait: t.RecentWait,
		}
	}
	return result
}

// RecordLoad implements proxy.Placement.
func (p *placement) RecordLoad(pool dispatch.PoolKey, load dispatch.PoolLoad) {
	p.selector.RecordLoad(pool, load, 0)
}

// ServersKnown implements proxy.Placement.
func (p *placement) ServersKnown() bool { return p.serversKnown.Load() }

// Suspect implements proxy.Placement.
func (p *placement) Suspect(vm string) { p.selector.MarkSuspect(vm) }
