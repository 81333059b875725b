package bench

import (
	"context"
	"path/filepath"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/internal/lab/cluster"
	"github.com/hornbeamway/hornbeamway/internal/lab/load"
)

// MeasureScenarios runs scenarios, all if only is empty, each with a system of its own. A scenario that fails does not stop
// the others; its error is part of the error returned with the results of the others.
func MeasureScenarios(ctx context.Context, o Options, only []string) ([]Scenario, error) {
	for _, name := range only {
		if !slices.Contains(ScenarioNames(), name) {
			return nil, errors.Wrapf(ErrBench, "unknown scenario %q", name)
		}
	}
	var results []Scenario
	var failures error
	for _, d := range definitions() {
		if len(only) > 0 && !slices.Contains(only, d.name) {
			continue
		}
		r, err := o.measure(ctx, d)
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

func (o *Options) measure(ctx context.Context, d definition) (*Scenario, error) {
	settings := o.Cluster
	settings.Topology, settings.ServiceTime = cluster.Imbuto(scenarioVMs), "exponential:"+scenarioMean.String()
	c, err := cluster.Start(ctx, settings)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	streams, err := load.Streams(c.Deployment(), calmRates())
	if err != nil {
		return nil, err
	}
	options := load.Options{Targets: targets(c), Streams: streams, Duration: o.Duration, WarmUp: o.WarmUp, Seed: o.Seed}
	if d.load != nil {
		d.load(&options)
	}
	traffic, err := load.Start(ctx, options)
	if err != nil {
		return nil, err
	}
	defer traffic.Stop()
	r, err := o.observe(&env{ctx: ctx, cluster: c, traffic: traffic}, d)
	if o.KeepLogs != "" {
		err = errors.Join(err, c.CopyLogs(filepath.Join(o.KeepLogs, d.name)))
	}
	return r, err
}

// observe takes the counters around the measured time and checks what callers were told.
func (o *Options) observe(e *env, d definition) (*Scenario, error) {
	if err := sleep(e.ctx, o.WarmUp); err != nil {
		return nil, err
	}
	start := time.Now()
	before, err := takeSnapshot(e.cluster)
	if err != nil {
		return nil, err
	}
	if d.act != nil {
		if err := d.act(e); err != nil {
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
	runs, err := e.cluster.Journals()
	if err != nil {
		return nil, err
	}
	r := &Scenario{
		Name: d.name, Description: d.description, Seconds: time.Since(start).Seconds(), Streams: report.Streams, Classes: report.Classes,
		WrongAnswers: report.Wrong, WrongExamples: report.WrongExamples, Violations: load.Verify(report.Orders, runs), Orders: len(report.Orders),
	}
	r.count(e.cluster, before, after)
	return r, nil
}

// sleep waits for d. Error: that of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
