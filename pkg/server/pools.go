package server

import (
	"context"
	"time"

	"github.com/samber/lo"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/burn"
	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
	"github.com/hornbeamway/hornbeamway/pkg/link"
	"github.com/hornbeamway/hornbeamway/pkg/membership"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
	"github.com/hornbeamway/hornbeamway/pkg/vmlist"
)

// poolUpdater applies the backend servers of the VM list and the settings of the preset in force to the pools, the placement,
// the connection caps, the pacer and the burn tracker.
type poolUpdater struct {
	clock     clock.Clock
	members   *membership.Service
	follower  *preset.Follower
	registry  *dispatch.Registry
	placement *placement
	caps      *connectionCaps
	pacer     *link.Pacer
	burn      *burn.Tracker
}

// refreshInterval bounds the delay of a change whose notification was missed.
const refreshInterval = time.Second

// run updates the pools after each change and every refreshInterval until ctx ends.
func (u *poolUpdater) run(ctx context.Context) {
	servers, members := u.members.SubscribeServers(), u.members.Subscribe()
	for ctx.Err() == nil {
		_, configuration := u.follower.View()
		u.update()
		select {
		case <-ctx.Done():
		case <-servers:
		case <-members:
		case <-configuration:
		case <-u.clock.After(refreshInterval):
		}
	}
}

func (u *poolUpdater) update() {
	effective := u.follower.InForce()
	if effective == nil {
		return
	}
	content := effective.Content
	servers := lo.FilterMap(u.members.Servers(), func(v vmlist.VM, _ int) (dispatch.Server, bool) {
		service, ok := content.Service(v.Service)
		if !ok {
			return dispatch.Server{}, false
		}
		return dispatch.Server{
			ID: v.ID, Address: v.Address, Service: v.Service, Region: v.Region, DataCentre: v.DataCentre,
			State: dispatch.State(v.State), Slots: service.Slots,
		}, true
	})
	u.registry.Update(servers, priority.Shares(content.Shares.ByClass()))
	u.placement.update(servers, u.members.Members())
	u.caps.update(u.members.Self().DataCentre, servers, content)
	configureLink(u.pacer, content)
	setObjectives(u.burn, content)
}

// setObjectives applies the service-level objectives of the preset in force to the burn tracker.
func setObjectives(tracker *burn.Tracker, content *preset.Content) {
	objectives := map[burn.Key]burn.Objective{}
	for _, service := range content.Services {
		for class, o := range service.Objectives {
			objectives[burn.Key{Service: service.Name, Class: class}] = burn.Objective{
				Latency: o.Latency.Std(), Target: o.Target, Window: o.Window.Std(),
			}
		}
	}
	if err := tracker.SetObjectives(objectives); err != nil {
		klog.ErrorS(err, "failed to apply the objectives of the preset", "preset", content.Name)
	}
}
