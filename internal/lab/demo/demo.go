// Package demo runs two regions on loopback with traffic of all classes, changes of the preset and the drain of a backend
// server, and checks the guarantees of the system.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/internal/lab/cluster"
	"github.com/hornbeamway/hornbeamway/internal/lab/load"
)

// ErrViolation reports that the system violated a guarantee.
var ErrViolation = errors.New("guarantees violated in the demo")

// Options configures a demo.
type Options struct {
	Cluster  cluster.Options
	Rates    load.Rates
	Duration time.Duration
	Seed     uint64
	Out      io.Writer
	// KeepLogs is the directory to which settings and logs are copied. Empty: they are not copied.
	KeepLogs string
}

// stopTimeout bounds the graceful stop of the entry VMs.
const stopTimeout = 30 * time.Second

// demo is the state of one run.
type demo struct {
	Options
	ctx        context.Context
	cluster    *cluster.Cluster
	violations []string
}

// Run runs the demo and prints its report. It returns ErrViolation, or the error that ended the demo early.
func Run(ctx context.Context, o Options) error {
	c, err := cluster.Start(ctx, o.Cluster)
	if err != nil {
		return err
	}
	defer c.Close()
	d := &demo{Options: o, ctx: ctx, cluster: c}
	d.printf("%d entry VMs and %d backend servers are ready (loopback, shared machine)\n", len(c.VMs()), len(c.Servers("")))
	if err := d.run(); err != nil {
		return err
	}
	for _, violation := range d.violations {
		d.printf("VIOLATION: %s\n", violation)
	}
	if len(d.violations) > 0 {
		return errors.Wrapf(ErrViolation, "%d", len(d.violations))
	}
	d.printf("no guarantee was violated\n")
	return nil
}

func (d *demo) printf(format string, args ...any) { _, _ = fmt.Fprintf(d.Out, format, args...) }

func (d *demo) recordViolation(format string, args ...any) {
	d.violations = append(d.violations, fmt.Sprintf(format, args...))
}

func (d *demo) run() error {
	streams, err := load.Streams(d.cluster.Deployment(), d.Rates)
	if err != nil {
		return err
	}
	traffic, err := load.Start(d.ctx, load.Options{
		Targets: Targets(d.cluster), Streams: streams, Duration: d.Duration, Seed: d.Seed,
	})
	if err != nil {
		return err
	}
	defer traffic.Stop()
	if err := d.runScenario(); err != nil {
		return err
	}
	report := traffic.Wait()
	if d.ctx.Err() != nil {
		return d.ctx.Err()
	}
	if err := d.checkReport(report); err != nil {
		return err
	}
	return d.stop()
}

// Targets returns the entry VMs of a cluster as targets of a load, grouped by region.
func Targets(c *cluster.Cluster) []load.Target {
	var targets []load.Target
	for _, vm := range c.VMs() {
		targets = append(targets, load.Target{Address: vm.Entry.Address, Group: vm.Entry.Region})
	}
	return targets
}

// checkReport prints the results of the traffic and checks them for violations.
func (d *demo) checkReport(report *load.Report) error {
	d.printf("\nlatency from the intended send time over %v, seed %d, on a shared machine\n", report.Duration, report.Seed)
	for _, rows := range [][]load.Summary{report.Streams, report.Classes} {
		if err := load.WriteTable(d.Out, rows); err != nil {
			return err
		}
	}
	executions, err := d.cluster.Journals()
	if err != nil {
		return err
	}
	violations := load.Verify(report.Operations, executions)
	d.printf(
		"\norders: %d, keys in the journals: %d, duplicate runs: %d, run although answered not_run: %d, answered and in no journal: %d\n",
		len(report.Operations), len(executions.ByKey),
		len(violations.Duplicates), len(violations.RanButNotRun), len(violations.AnsweredButMissing))
	for _, list := range [][]string{violations.Duplicates, violations.RanButNotRun, violations.AnsweredButMissing} {
		d.violations = append(d.violations, list...)
	}
	if report.Wrong > 0 {
		d.recordViolation("%d responses that belong to another request or are corrupted: %v", report.Wrong, report.WrongExamples)
	}
	d.checkActivePreset("peak")
	for _, s := range report.Classes {
		if s.Requests == 0 || s.Outcomes[load.Answered] == 0 {
			d.recordViolation("class %s: no request was answered", s.Name)
		}
	}
	return nil
}

// stop copies the logs if requested, stops all VMs gracefully and records a violation if that fails.
func (d *demo) stop() error {
	if d.KeepLogs != "" {
		if err := d.cluster.CopyLogs(d.KeepLogs); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(d.ctx, stopTimeout)
	defer cancel()
	if err := d.cluster.Stop(ctx); err != nil {
		d.recordViolation("the graceful stop of the entry VMs failed: %v", err)
	}
	return nil
}
