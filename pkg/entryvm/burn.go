package entryvm

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/burn"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
	"github.com/hornbeamway/hornbeamway/pkg/routing"
)

const (
	// objectiveTarget is the share of a route's requests that must be answered within its objective, and objectiveWindow the
	// time over which that holds. The configuration names the latency only.
	objectiveTarget = 0.95
	objectiveWindow = 30 * 24 * time.Hour
)

// class returns the priority class of a route's requests.
func class(r *routing.Route) priority.Class {
	return priority.Class(min(max(r.Priority, 0), priority.NumClasses-1))
}

// followObjectives measures burn against the objectives of the configuration in force. Routes of one service and class share
// the shortest objective.
func (v *vm) followObjectives() {
	table := v.state.Table()
	if table == nil || table.Version == v.objectivesOf {
		return
	}
	objectives := map[burn.Key]burn.Objective{}
	for _, route := range table.Routes() {
		for _, share := range route.Shares {
			key := burn.Key{Service: share.Service, Class: class(route)}
			if known, ok := objectives[key]; !ok || route.Objective < known.Latency {
				objectives[key] = burn.Objective{Latency: route.Objective, Target: objectiveTarget, Window: objectiveWindow}
			}
		}
	}
	v.objectivesOf = table.Version
	if err := v.burn.SetObjectives(objectives); err != nil {
		klog.InfoS("objectives not changed; burn is measured against the earlier ones", "config", table.Version, "err", err)
	}
}

// observe counts the end of a request.
func (v *vm) observe(route *routing.Route, service string, took time.Duration, ok bool) {
	v.burn.Observe(service, class(route), took, ok)
}
