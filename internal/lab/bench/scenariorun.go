package bench

import (
	"context"
	"path/filepath"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/internal/lab/cluster"
	"github.com/hornbeamway/hornbeamway/internal/lab/load"
	"github.com/hornbeamway/hornbeamway/internal/lab/pause"
)

// MeasureScenarios runs the scenarios named in only, or all if it is empty, each on a new system. A scenario that fails does not
// stop the others; its error is part of the error that is returned together with the results of the others.
func MeasureScenarios(ctx context.Context, o Options, only []string) ([]Scenario, error) {
	for _, name := range only {
		if !slices.Contains(ScenarioNames(), name) {
			return nil, errors.Wrapf(ErrBench, "unknown scenario %q", name)
		}
	}
	var results []Scenario
	var failures error
	for _, d := range scenarioDefinitions() {
		if len(only) > 0 && !slices.Contains(only, d.name) {
			continue
		}
		r, err := o.runScenario(ctx, d)
		if ctx.Err() != nil {
			return results, ctx.Err()
		}
		if err != nil {
			failures = errors.Join(failures, errors.Wrapf(err, "scenario %s", d.name))
			o.Progress("scenario %s failed: %v\n", d.name, err)
			continue
		}
		o.Progress("scenario %s done\n", d.name)
		results = append(results, *r)
	}
	return results, failures
}

func (o *Options) runScenario(ctx context.Context, d scenarioDefinition) (*Scenario, error) {
	clusterOptions := o.Cluster
	clusterOptions.Topology, clusterOptions.ServiceTime = cluster.Imbuto(entryVMCount), "exponential:"+meanServiceTime.String()
	c, err := cluster.Start(ctx, clusterOptions)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	streams, err := load.Streams(c.Deployment(), baseRates())
	if err != nil {
		return nil, err
	}
	loadOptions := load.Options{Targets: entryTargets(c), Streams: streams, Duration: o.Duration, WarmUp: o.WarmUp, Seed: o.Seed}
	if d.configureLoad != nil {
		d.configureLoad(&loadOptions)
	}
	traffic, err := load.Start(ctx, loadOptions)
	if err != nil {
		return nil, err
	}
	defer traffic.Stop()
	r, err := o.measureScenario(&environment{ctx: ctx, cluster: c, traffic: traffic}, d)
	if o.KeepLogs != "" {
		err = errors.Join(err, c.CopyLogs(filepath.Join(o.KeepLogs, d.name)))
	}
	return r, err
}

// measureScenario takes snapshots of the counters at the start and the end of the measured time, and compares the outcomes that
// the callers received with the journals of the backend servers.
func (o *Options) measureScenario(e *environment, d scenarioDefinition) (*Scenario, error) {
	if !pause.Sleep(e.ctx, o.WarmUp) {
		return nil, e.ctx.Err()
	}
	start := time.Now()
	before, err := takeSnapshot(e.cluster)
	if err != nil {
		return nil, err
	}
	if d.start != nil {
		if err := d.start(e); err != nil {
			return nil, err
		}
	}
	report := e.traffic.Wait()
	if err := e.cluster.CheckMemory(); err != nil {
		return nil, err
	}
	after, err := takeSnapshot(e.cluster)
	if err != nil {
		return nil, err
	}
	executions, err := e.cluster.Journals()
	if err != nil {
		return nil, err
	}
	r := &Scenario{
		Name: d.name, Description: d.description, Seconds: time.Since(start).Seconds(),
		Streams: report.Streams, Classes: report.Classes,
		WrongAnswers: report.Wrong, WrongExamples: report.WrongExamples,
		Violations: load.Verify(report.Operations, executions), Orders: len(report.Operations),
	}
	r.setCounters(e.cluster, before, after)
	return r, nil
}
