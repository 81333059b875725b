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

// meanServiceTime is the mean service time of the scenarios. It is longer than that of a real lookup, so that the load generator
// can offer five times the capacity of a service on the machine that also runs the system.
const meanServiceTime = 40 * time.Millisecond

// entryVMCount is the number of entry VMs of the scenarios: two per data centre.
const entryVMCount = 8

// Names of the services of the scenarios: views only, views and claims, ledger entries and archives.
const (
	viewsService  = "rota-board"
	claimsService = "slot-desk"
	ledgerService = "ledger-vault"
)

// floodFactor is the offered rate of a flood as a multiple of the service's capacity.
const floodFactor = 5

// floodDeadline is the deadline of the requests of a flood.
const floodDeadline = 2 * time.Second

// environment is a running system under load.
type environment struct {
	ctx     context.Context
	cluster *cluster.Cluster
	traffic *load.Running
}

// scenarioDefinition defines one scenario.
type scenarioDefinition struct {
	name, description string
	// configureLoad changes the base load. Nil: unchanged.
	configureLoad func(*load.Options)
	// start runs at the start of the measured time, for example to inject a fault. Nil: nothing.
	start func(*environment) error
}

// scenarioDefinitions returns the definitions of all scenarios.
func scenarioDefinitions() []scenarioDefinition {
	setFaults := func(selectServers func([]*cluster.Server) []*cluster.Server, faults map[string]any) func(*environment) error {
		return func(e *environment) error {
			for _, s := range selectServers(e.cluster.Servers(viewsService)) {
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
	return []scenarioDefinition{
		{name: "calm", description: "60% of the capacity of the views' service"},
		{name: "straggler", description: "one views server 20 times slower", start: setFaults(first, map[string]any{"slow": 20})},
		{name: "fail-fast", description: "one views server fails at once and reports to be idle",
			start: setFaults(first, map[string]any{
				"failProbability": 1, "loadFixed": map[string]any{"slots": 3, "busy": 0, "queued": 0, "draining": false},
			})},
		{name: "shift", description: "all load moves to the other region every 50 ms",
			configureLoad: func(o *load.Options) { o.GroupInterval = 50 * time.Millisecond }},
		{name: "cold-start", description: "a quarter of the views servers 10 times slower, back to normal over 5 s",
			start: setFaults(quarter, map[string]any{"coldFactor": 10, "coldMs": 5000})},
		{name: "drain", description: "one views server drains, and sheds after 500 ms", start: func(e *environment) error {
			return e.cluster.Servers(viewsService)[0].Drain(500)
		}},
		{name: "late-reports", description: "load reports of the views servers are 2 s late",
			start: setFaults(every, map[string]any{"loadLagMs": 2000})},
		{name: "flood-bulk", description: "archives at 5 times the capacity of their service, which also takes ledger entries",
			configureLoad: func(o *load.Options) { setFloodRate(o, "ledgers", ledgerService) }},
		{name: "flood-interactive", description: "slot views at 5 times the capacity of their service, which also takes claims",
			configureLoad: func(o *load.Options) { setFloodRate(o, "slot-views", claimsService) }},
		{name: "replace-half", description: "half of the entry VMs killed and replaced at once", start: replaceHalf},
	}
}

// ScenarioNames returns the names of all scenarios.
func ScenarioNames() []string {
	return lo.Map(scenarioDefinitions(), func(d scenarioDefinition, _ int) string { return d.name })
}

// capacity returns the capacity of a service in requests per second, or 0 for an unknown service.
func capacity(service string) float64 {
	t := cluster.Imbuto(entryVMCount)
	for _, s := range t.Services {
		if s.Name == service {
			return float64(s.Servers*t.Slots) / meanServiceTime.Seconds()
		}
	}
	return 0
}

// baseRates returns rates that load the services to about 60% (views), 37% (claims) and 40% (ledger) of their capacity.
func baseRates() load.Rates {
	return load.Rates{
		Interactive:   0.6 / 0.9 * capacity(viewsService),
		Transactional: 0.27 * (capacity(claimsService) + capacity(ledgerService)),
		Bulk:          0.13 * capacity(ledgerService),
	}
}

// setFloodRate raises the rate of one stream to floodFactor times the capacity of a service and sets its deadline to
// floodDeadline.
func setFloodRate(o *load.Options, stream, service string) {
	for i := range o.Streams {
		if s := &o.Streams[i]; s.Name == stream {
			s.Rate, s.Deadline, s.Timeout = floodFactor*capacity(service), floodDeadline, 0
		}
	}
}

// replaceHalf kills every second entry VM and starts replacements.
func replaceHalf(e *environment) error {
	var group sync.WaitGroup
	vms := e.cluster.VMs()
	failures := make([]error, len(vms))
	for i, vm := range vms {
		if i%2 == 0 {
			group.Go(func() { _, failures[i] = e.cluster.Replace(e.ctx, vm.ID, false) })
		}
	}
	group.Wait()
	e.traffic.SetTargets(entryTargets(e.cluster))
	return errors.Join(failures...)
}

func entryTargets(c *cluster.Cluster) []load.Target {
	return lo.Map(c.VMs(), func(vm *cluster.VM, _ int) load.Target {
		return load.Target{Address: vm.Entry.Address, Group: vm.Entry.Region}
	})
}
