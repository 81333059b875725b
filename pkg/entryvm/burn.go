package entryvm

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/burn"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
	"github.com/hornbeamway/hornbeamway/pkg/routing"
)

const (
	// objectiveTarget is the share of a route's requests that must be answered within its latency objective, and
	// objectiveWindow the period over which that share is measured. The configuration sets the latency only.
	objectiveTarget = 0.95
	objectiveWindow = 30 * 24 * time.Hour
)

// priorityClass returns the priority class of a route's requests.
func priorityClass(r *routing.Route) priority.Class {
	return priority.Class(min(max(r.Priority, 0), priority.NumClasses-1))
}

// updateObjectives applies the latency objectives of the configuration in force to the burn tracker. Routes of the same
// service and class share the shortest objective.
func (v *vm) updateObjectives() {
	table := v.state.Table()
	if table == nil || table.Version == v.objectivesVersion {
		return
	}
	objectives := map[burn.Key]burn.Objective{}
	for _, route := range table.Routes() {
		for _, share := range route.Shares {
			key := burn.Key{Service: share.Service, Class: priorityClass(route)}
			if existing, ok := objectives[key]; !ok || route.Objective < existing.Latency {
				objectives[key] = burn.Objective{Latency: route.Objective, Target: objectiveTarget, Window: objectiveWindow}
			}
		}
	}
	v.objectivesVersion = table.Version
	if err := v.burnTracker.SetObjectives(objectives); err != nil {
		klog.InfoS("failed to update the latency objectives; still measuring burn against the previous ones",
			"config", table.Version, "err", err)
	}
}

// observeRequest records the duration and the success of a finished request in the burn tracker.
func (v *vm) observeRequest(route *routing.Route, service string, duration time.Duration, ok bool) {
	v.burnTracker.Observe(service, priorityClass(route), duration, ok)
}
