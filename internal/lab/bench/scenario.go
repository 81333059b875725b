package bench

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/hornbeamway/hornbeamway/internal/lab/cluster"
	"github.com/hornbeamway/hornbeamway/internal/lab/load"
)

// scenarioMean is the mean service time of the scenarios. It is longer than a real lookup, so that five times the capacity
// of a service can be generated on the machine that also runs the system.
const scenarioMean = 40 * time.Millisecond

// scenarioVMs is the number of entry VMs of the scenarios: two per data centre.
const scenarioVMs = 8

// Names of the services of the scenarios: views alone, views with claims, entries with archives.
const (
	viewsService  = "rota-board"
	claimsService = "slot-desk"
	ledgerService = "ledger-vault"
)

// floodFactor is the offered rate of a flood in units of the service's capacity.
const floodFactor = 5

// floodDeadline is the deadline of the requests of a flood.
const floodDeadline = 2 * time.Second

// env is a running system under load.
type env struct {
	ctx     context.Context
	cluster *cluster.Cluster
	traffic *load.Running
}

// definition is a scenario.
type definition struct {
	name, description string
	// load changes the load of calm days. Nil: unchanged.
	load func(*load.Options)
	// act runs when the measured time begins. Nil: nothing.
	act func(*env) error
}

// definitions are all scenarios.
func definitions() []definition {
	faults := func(choose func([]*cluster.Server) []*cluster.Server, faults map[string]any) func(*env) error {
		return func(e *env) error {
			for _, s := range choose(e.cluster.Servers(viewsService)) {
				if err := s.SetFaults(faults); err != nil {
					return err
				}
			}
			return nil
		}
	}
	first := func(all []*cluster.Server) []*cluster.Server { return all[:1] }
	quarter := func(all []*cluster.Server) []*cluster.Server { return all[:(len(all)+3)/4] }
	every := func(all []*cluster.Server) []*cluster.Server { return all }
	return []definition{
		{name: "calm", description: "60% of the capacity of the views' service"},
		{name: "straggler", description: "one views server 20 times slower", act: faults(first, map[string]any{"slow": 20})},
		{name: "fail-fast", description: "one views server fails at once and reports to be idle", act: faults(first, map[string]any{
			"failProbability": 1, "loadFixed": map[string]any{"slots": 3, "busy": 0, "queued": 0, "draining": false},
		})},
		{name: "shift", description: "all load moves to the other region every 50 ms",
			load: func(o *load.Options) { o.Shift = 50 * time.Millisecond }},
		{name: "cold-start", description: "a quarter of the views servers 10 times slower, back to normal over 5 s",
			act: faults(quarter, map[string]any{"coldFactor": 10, "coldMs": 5000})},
		{name: "drain", description: "one views server drains, and sheds after 500 ms", act: func(e *env) error {
			return e.cluster.Servers(viewsService)[0].Drain(500)
		}},
		{name: "late-reports", description: "load reports of the views servers are 2 s late", act: faults(every, map[string]any{"loadLagMs": 2000})},
		{name: "flood-bulk", description: "archives at 5 times the capacity of their service, which also takes ledger entries",
			load: func(o *load.Options) { flood(o, "ledgers", ledgerService) }},
		{name: "flood-interactive", description: "slot views at 5 times the capacity of their service, which also takes claims",
			load: func(o *load.Options) { flood(o, "slot-views", claimsService) }},
		{name: "replace-half", description: "half of the entry VMs killed and replaced at once", act: replaceHalf},
	}
}

// ScenarioNames lists the scenarios.
func ScenarioNames() []string {
	return lo.Map(definitions(), func(d definition, _ int) string { return d.name })
}

// capacity returns the requests per second that a service can run.
func capacity(service string) float64 {
	t := cluster.Imbuto(scenarioVMs)
	for _, s := range t.Services {
		if s.Name == service {
			return float64(s.Servers*t.Slots) / scenarioMean.Seconds()
		}
	}
	return 0
}

// calmRates load the services to about 60% (views), 37% (claims) and 40% (ledger).
func calmRates() load.Rates {
	return load.Rates{
		Interactive:   0.6 / 0.9 * capacity(viewsService),
		Transactional: 0.27 * (capacity(claimsService) + capacity(ledgerService)),
		Bulk:          0.13 * capacity(ledgerService),
	}
}

// flood raises the rate of one stream.
func flood(o *load.Options, stream, service string) {
	for i := range o.Streams {
		if s := &o.Streams[i]; s.Name == stream {
			s.Rate, s.Deadline, s.Timeout = floodFactor*capacity(service), floodDeadline, 0
		}
	}
}

// replaceHalf kills every second entry VM and starts new ones.
func replaceHalf(e *env) error {
	var group sync.WaitGroup
	old := e.cluster.VMs()
	failures := make([]error, len(old))
	for i, vm := range old {
		if i%2 == 0 {
			group.Go(func() { _, failures[i] = e.cluster.Replace(e.ctx, vm.ID, false) })
		}
	}
	group.Wait()
	e.traffic.SetTargets(targets(e.cluster))
	return errors.Join(failures...)
}

func targets(c *cluster.Cluster) []load.Target {
	return lo.Map(c.VMs(), func(vm *cluster.VM, _ int) load.Target {
		return load.Target{Address: vm.Entry.Address, Group: vm.Entry.Region}
	})
}
