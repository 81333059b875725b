package bench

import (
	"context"
	"net/http"
	"runtime"
	"slices"
	"time"

	"github.com/hornbeamway/hornbeamway/internal/lab/cluster"
	"github.com/hornbeamway/hornbeamway/internal/lab/load"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

// AddedOptions configures the measurement of added latency.
type AddedOptions struct {
	Options
	// RatesPerCore are the offered rates in calls per second per core of the machine.
	RatesPerCore []float64
	// Runs is the number of interleaved runs of each arm.
	Runs int
}

// singlePoolTopology returns a topology of one data centre with one pool, so that every call takes the same path.
func singlePoolTopology() cluster.Topology {
	t := cluster.Balisage()
	t.Name, t.Places, t.EntryVMs = "added", t.Places[:1], 2
	t.Services = []cluster.Service{{Name: "catalogue", Servers: 4, ConnectionLimit: 240}}
	return t
}

// MeasureAddedLatency measures the latency that the entry VMs add to that of direct calls to the same backend servers, whose
// service time is near 0. The runs of the arms are interleaved, so that a change of the machine's load affects all of them.
func MeasureAddedLatency(ctx context.Context, o AddedOptions) ([]Added, error) {
	o.Cluster.Topology, o.Cluster.ServiceTime = singlePoolTopology(), "fixed:1ns"
	c, err := cluster.Start(ctx, o.Cluster)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	configs := armConfigs(c)
	var results []Added
	for _, rate := range o.RatesPerCore {
		a, err := o.measureAtRate(ctx, c, configs, rate)
		if err != nil {
			return nil, err
		}
		results = append(results, a)
	}
	return results, nil
}

// armConfig is the name of one arm with the targets of its calls.
type armConfig struct {
	name    string
	targets []load.Target
	// entryVM is the id of the entry VM that receives the calls; empty for direct calls.
	entryVM string
}

// armConfigs returns the configurations of the arms, the direct one first.
func armConfigs(c *cluster.Cluster) []armConfig {
	direct := armConfig{name: "direct"}
	for _, s := range c.Servers("") {
		direct.targets = append(direct.targets, load.Target{Address: s.Address})
	}
	configs := []armConfig{direct}
	for _, vm := range c.VMs() {
		configs = append(configs, armConfig{name: "through " + vm.ID, entryVM: vm.ID,
			targets: []load.Target{{Address: vm.Entry.Address}}})
	}
	return configs
}

func (o *AddedOptions) measureAtRate(ctx context.Context, c *cluster.Cluster, configs []armConfig,
	perCore float64) (Added, error) {
	a := Added{RatePerCore: perCore, Rate: perCore * float64(runtime.NumCPU())}
	for _, config := range configs {
		a.Arms = append(a.Arms, Arm{Name: config.name, Completed: 1})
	}
	for run := range o.Runs {
		for i := range configs {
			// The order rotates, so that no arm always follows the same one.
			i = (i + run) % len(configs)
			if err := o.runArm(ctx, c, configs[i], &a.Arms[i], a.Rate, run); err != nil {
				return a, err
			}
		}
	}
	a.computeMedians()
	return a, nil
}

// runArm makes one run of one arm and adds its results to arm.
func (o *AddedOptions) runArm(ctx context.Context, c *cluster.Cluster, config armConfig, arm *Arm, rate float64, run int) error {
	ownBefore, othersBefore := entryCPU(c, config.entryVM)
	report, err := load.Run(ctx, load.Options{
		Targets: config.targets, Duration: o.Duration, WarmUp: o.WarmUp, Seed: o.Seed + uint64(run), Direct: config.entryVM == "",
		Streams: []load.Stream{{Name: "lookups", Class: priority.Interactive, Method: http.MethodGet, Path: "/catalogue/", Rate: rate,
			Deadline: 2 * time.Second}},
	})
	if err != nil {
		return err
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	s := report.Streams[0]
	ownAfter, othersAfter := entryCPU(c, config.entryVM)
	calls := float64(s.Requests) + rate*o.WarmUp.Seconds()
	arm.CPUMicros += float64((ownAfter - ownBefore).Microseconds()) / calls / float64(o.Runs)
	arm.OtherCPUMicros += float64((othersAfter - othersBefore).Microseconds()) / calls / float64(o.Runs)
	arm.Runs = append(arm.Runs, s.Latency)
	arm.Completed = min(arm.Completed, s.Completed)
	o.Progress("added: %.0f calls/s, run %d, %s: p50 %.3f ms, p99 %.3f ms, completed %.4f, sent late p99 %.3f ms\n",
		rate, run+1, config.name, s.Latency.P50, s.Latency.P99, s.Completed, s.SendLagP99)
	return nil
}

// entryCPU returns the processor time used by the entry VM with the given id, and that used by all others.
func entryCPU(c *cluster.Cluster, id string) (own, others time.Duration) {
	for _, vm := range c.VMs() {
		used, err := vm.Process().CPU()
		switch {
		case err != nil:
		case vm.ID == id:
			own += used
		default:
			others += used
		}
	}
	return own, others
}

// computeMedians sets the medians of each arm and their differences to the direct arm, which is the first.
func (a *Added) computeMedians() {
	for i := range a.Arms {
		arm := &a.Arms[i]
		arm.P50 = median(arm.Runs, func(l load.Latency) float64 { return l.P50 })
		arm.P99 = median(arm.Runs, func(l load.Latency) float64 { return l.P99 })
		arm.AddedP50, arm.AddedP99 = arm.P50-a.Arms[0].P50, arm.P99-a.Arms[0].P99
	}
}

// median returns the median of a value over the runs: for an even number of runs the mean of the two middle values, and 0 without
// runs.
func median(runs []load.Latency, value func(load.Latency) float64) float64 {
	var values []float64
	for _, r := range runs {
		values = append(values, value(r))
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	n := len(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}
