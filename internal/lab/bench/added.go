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

// AddedOptions configure the measurement of added latency.
type AddedOptions struct {
	Options
	// RatesPerCore are offered rates in calls per second and core of the machine.
	RatesPerCore []float64
	// Runs is the number of interleaved runs of each arm.
	Runs int
}

// addedTopology is one data centre with one pool, so that every call takes the same way.
func addedTopology() cluster.Topology {
	t := cluster.Balisage()
	t.Name, t.Places, t.EntryVMs = "added", t.Places[:1], 2
	t.Services = []cluster.Service{{Name: "catalogue", Servers: 4, ConnectionLimit: 240}}
	return t
}

// MeasureAdded measures the latency over that of direct calls to the same backend servers, whose service time is near 0.
// The arms take turns, so that a change of the machine's load meets all of them.
func MeasureAdded(ctx context.Context, o AddedOptions) ([]Added, error) {
	o.Cluster.Topology, o.Cluster.ServiceTime = addedTopology(), "fixed:1ns"
	c, err := cluster.Start(ctx, o.Cluster)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	ways := waysTo(c)
	var results []Added
	for _, rate := range o.RatesPerCore {
		a, err := o.atRate(ctx, c, ways, rate)
		if err != nil {
			return nil, err
		}
		results = append(results, a)
	}
	return results, nil
}

// way is one arm with its targets.
type way struct {
	name    string
	targets []load.Target
	// vm is the entry VM that takes the calls; empty for direct calls.
	vm string
}

// waysTo returns the arms, the direct one first.
func waysTo(c *cluster.Cluster) []way {
	direct := way{name: "direct"}
	for _, s := range c.Servers("") {
		direct.targets = append(direct.targets, load.Target{Address: s.Address})
	}
	ways := []way{direct}
	for _, vm := range c.VMs() {
		ways = append(ways, way{name: "through " + vm.ID, vm: vm.ID, targets: []load.Target{{Address: vm.Entry.Address}}})
	}
	return ways
}

func (o *AddedOptions) atRate(ctx context.Context, c *cluster.Cluster, ways []way, perCore float64) (Added, error) {
	a := Added{RatePerCore: perCore, Rate: perCore * float64(runtime.NumCPU())}
	for _, w := range ways {
		a.Arms = append(a.Arms, Arm{Name: w.name, Completed: 1})
	}
	for run := range o.Runs {
		for i := range ways {
			// The order rotates, so that no arm always follows the same one.
			i = (i + run) % len(ways)
			if err := o.runArm(ctx, c, ways[i], &a.Arms[i], a.Rate, run); err != nil {
				return a, err
			}
		}
	}
	a.compare()
	return a, nil
}

// runArm makes one run of one arm.
func (o *AddedOptions) runArm(ctx context.Context, c *cluster.Cluster, w way, arm *Arm, rate float64, run int) error {
	own, others := entryCPU(c, w.vm)
	report, err := load.Run(ctx, load.Options{
		Targets: w.targets, Duration: o.Duration, WarmUp: o.WarmUp, Seed: o.Seed + uint64(run), Direct: w.vm == "",
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
	ownAfter, othersAfter := entryCPU(c, w.vm)
	calls := float64(s.Requests) + rate*o.WarmUp.Seconds()
	arm.CPUMicros += float64((ownAfter - own).Microseconds()) / calls / float64(o.Runs)
	arm.OtherCPUMicros += float64((othersAfter - others).Microseconds()) / calls / float64(o.Runs)
	arm.Runs = append(arm.Runs, s.Latency)
	arm.Completed = min(arm.Completed, s.Completed)
	o.Progress("added: %.0f calls/s, run %d, %s: p50 %.3f ms, p99 %.3f ms, completed %.4f, sent late p99 %.3f ms\n",
		rate, run+1, w.name, s.Latency.P50, s.Latency.P99, s.Completed, s.SendLagP99)
	return nil
}

// entryCPU returns the processor time of one entry VM and of the others.
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

// compare fills the medians and the differences to the direct arm, which is the first.
func (a *Added) compare() {
	for i := range a.Arms {
		arm := &a.Arms[i]
		arm.P50 = median(arm.Runs, func(l load.Latency) float64 { return l.P50 })
		arm.P99 = median(arm.Runs, func(l load.Latency) float64 { return l.P99 })
		arm.AddedP50, arm.AddedP99 = arm.P50-a.Arms[0].P50, arm.P99-a.Arms[0].P99
	}
}

// median returns the median of a value over the runs; the mean of the middle two for an even number.
func median(runs []load.Latency, of func(load.Latency) float64) float64 {
	var values []float64
	for _, r := range runs {
		values = append(values, of(r))
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	n := len(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}
