// Package demo runs two regions on loopback with traffic of all classes, changes of the preset and the drain of a backend
// server, and checks the guarantees of the system.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/internal/lab/cluster"
	"github.com/hornbeamway/hornbeamway/internal/lab/load"
	"github.com/hornbeamway/hornbeamway/internal/lab/pause"
	"github.com/hornbeamway/hornbeamway/pkg/admin"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
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

const (
	// maxInForceDelay is the time within which an accepted change must be in force on every VM.
	maxInForceDelay = 7 * time.Second
	// maxDrainDelay is the time after which a draining server must receive no new requests.
	maxDrainDelay = 3 * time.Second
	// decisionTimeout bounds the wait for the decision on a proposal.
	decisionTimeout = 15 * time.Second
	stopTimeout     = 30 * time.Second
	pollInterval    = 20 * time.Millisecond
)

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

// runScenario changes the preset and drains a server while the traffic is running.
func (d *demo) runScenario() error {
	if err := d.checkAcceptedChange(); err != nil {
		return err
	}
	if err := d.checkVetoedChange(); err != nil {
		return err
	}
	return d.checkDrain()
}

// propose proposes to activate a preset and returns the id of the proposal.
func (d *demo) propose(presetName string) (string, error) {
	operator := d.cluster.Operator()
	status, err := operator.Status()
	if err != nil {
		return "", err
	}
	content, err := json.Marshal(presetName)
	if err != nil {
		return "", err
	}
	response, err := operator.Propose(admin.ProposeRequest{
		Object: preset.ObjectActive, Base: status.ActiveVersion, Content: content,
	})
	return response.ID, errors.Wrapf(err, "propose to activate preset %s", presetName)
}

// waitForDecision waits until a proposal is decided.
func (d *demo) waitForDecision(id string) (preset.Progress, error) {
	ctx, cancel := context.WithTimeout(d.ctx, decisionTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		progress, err := d.cluster.Operator().Progress(id)
		if err != nil {
			return progress, err
		}
		switch progress.Phase {
		case preset.PhaseAccepted, preset.PhaseVetoed, preset.PhaseWithdrawn, preset.PhaseUnknown:
			return progress, nil
		}
		select {
		case <-ctx.Done():
			return progress, errors.Wrapf(ctx.Err(), "proposal %s is not decided: phase %s, waiting for %v",
				id, progress.Phase, progress.WaitingFor)
		case <-ticker.C:
		}
	}
}

func (d *demo) checkAcceptedChange() error {
	proposedAt := time.Now()
	id, err := d.propose("peak")
	if err != nil {
		return err
	}
	progress, err := d.waitForDecision(id)
	if err != nil {
		return err
	}
	acceptedAt := time.Now()
	if progress.Phase != preset.PhaseAccepted {
		d.recordViolation("the change to preset peak is %s, expected accepted", progress.Phase)
		return nil
	}
	ctx, cancel := context.WithTimeout(d.ctx, maxInForceDelay)
	defer cancel()
	inForceAt, err := d.cluster.WaitForVersion(ctx, progress.Offset)
	if err != nil {
		d.recordViolation("the change to preset peak was not in force on every VM within %v: %v", maxInForceDelay, err)
		return nil
	}
	d.printf("change to peak: accepted %v after its proposal, in force on all VMs %v after its acceptance was seen\n",
		acceptedAt.Sub(proposedAt).Round(time.Millisecond), inForceAt.Sub(acceptedAt).Round(time.Millisecond))
	d.checkActivePreset("peak")
	return nil
}

func (d *demo) checkVetoedChange() error {
	id, err := d.propose("maintenance")
	if err != nil {
		return err
	}
	vms := d.cluster.VMs()
	if err := vms[len(vms)-1].Customer().Veto(id); err != nil {
		return errors.Wrap(err, "veto")
	}
	progress, err := d.waitForDecision(id)
	if err != nil {
		return err
	}
	d.printf("change to maintenance: %s\n", progress.Phase)
	if progress.Phase != preset.PhaseVetoed {
		d.recordViolation("the vetoed change to preset maintenance is %s, expected vetoed", progress.Phase)
	}
	return nil
}

// checkActivePreset records a violation for every VM on which the preset is not in force.
func (d *demo) checkActivePreset(presetName string) {
	for _, vm := range d.cluster.VMs() {
		if status, err := vm.Operator().Status(); err != nil || status.Active != presetName {
			d.recordViolation("%s has preset %q in force, expected %s (error: %v)", vm.ID, status.Active, presetName, err)
		}
	}
}

// checkDrain drains one server and checks that it receives no new requests after maxDrainDelay.
func (d *demo) checkDrain() error {
	server := d.cluster.Servers("")[0]
	if err := server.Drain(maxDrainDelay.Milliseconds()); err != nil {
		return err
	}
	if !pause.Sleep(d.ctx, maxDrainDelay+200*time.Millisecond) {
		return d.ctx.Err()
	}
	before, err := server.Stats()
	if err != nil {
		return err
	}
	if !pause.Sleep(d.ctx, 2*time.Second) {
		return d.ctx.Err()
	}
	after, err := server.Stats()
	if err != nil {
		return err
	}
	d.printf("drain of %s: %d requests arrived in the two seconds after %v\n",
		server.ID, after.Requests-before.Requests, maxDrainDelay)
	if after.Requests != before.Requests {
		d.recordViolation("%s received %d requests later than %v after the start of its drain",
			server.ID, after.Requests-before.Requests, maxDrainDelay)
	}
	return nil
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
