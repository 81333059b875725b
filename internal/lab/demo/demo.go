// Package demo runs two regions on loopback with traffic of all classes, changes of the preset and a drained backend
// server, and checks the promises of the system.
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
	"github.com/hornbeamway/hornbeamway/pkg/admin"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
)

// ErrPromise reports that the system broke a promise.
var ErrPromise = errors.New("promise broken")

// Options configure a demo.
type Options struct {
	Cluster  cluster.Options
	Rates    load.Rates
	Duration time.Duration
	Seed     uint64
	Out      io.Writer
	// KeepLogs is a directory that receives settings and logs. Empty: none.
	KeepLogs string
}

const (
	// inForceLimit is the time within which an accepted change holds everywhere.
	inForceLimit = 7 * time.Second
	// drainLimit is the time after which a draining server gets nothing new.
	drainLimit = 3 * time.Second
	// decisionLimit bounds the wait for a decision.
	decisionLimit = 15 * time.Second
	stopLimit     = 30 * time.Second
	pollEvery     = 20 * time.Millisecond
)

// demo is the state of one run.
type demo struct {
	Options
	ctx     context.Context
	cluster *cluster.Cluster
	broken  []string
}

// Run runs the demo and prints its report. Errors: ErrPromise, or why it could not run to its end.
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
	for _, b := range d.broken {
		d.printf("BROKEN: %s\n", b)
	}
	if len(d.broken) > 0 {
		return errors.Wrapf(ErrPromise, "%d", len(d.broken))
	}
	d.printf("all promises were kept\n")
	return nil
}

func (d *demo) printf(format string, args ...any) { _, _ = fmt.Fprintf(d.Out, format, args...) }

func (d *demo) breach(format string, args ...any) {
	d.broken = append(d.broken, fmt.Sprintf(format, args...))
}

func (d *demo) run() error {
	streams, err := load.Streams(d.cluster.Deployment(), d.Rates)
	if err != nil {
		return err
	}
	traffic, err := load.Start(d.ctx, load.Options{Targets: Targets(d.cluster), Streams: streams, Duration: d.Duration, Seed: d.Seed})
	if err != nil {
		return err
	}
	defer traffic.Stop()
	if err := d.events(); err != nil {
		return err
	}
	report := traffic.Wait()
	if d.ctx.Err() != nil {
		return d.ctx.Err()
	}
	if err := d.judge(report); err != nil {
		return err
	}
	return d.stop()
}

// Targets returns the entry VMs of a cluster, grouped by region.
func Targets(c *cluster.Cluster) []load.Target {
	var targets []load.Target
	for _, vm := range c.VMs() {
		targets = append(targets, load.Target{Address: vm.Entry.Address, Group: vm.Entry.Region})
	}
	return targets
}

// events makes the changes while the traffic runs.
func (d *demo) events() error {
	if err := d.acceptedChange(); err != nil {
		return err
	}
	if err := d.vetoedChange(); err != nil {
		return err
	}
	return d.drain()
}

// propose proposes another preset and returns the id.
func (d *demo) propose(name string) (string, error) {
	operator := d.cluster.Operator()
	status, err := operator.Status()
	if err != nil {
		return "", err
	}
	content, err := json.Marshal(name)
	if err != nil {
		return "", err
	}
	answer, err := operator.Propose(admin.ProposeRequest{Object: preset.ObjectActive, Base: status.ActiveVersion, Content: content})
	return answer.ID, errors.Wrapf(err, "propose %s", name)
}

// decided waits until a proposal is decided.
func (d *demo) decided(id string) (preset.Progress, error) {
	ctx, cancel := context.WithTimeout(d.ctx, decisionLimit)
	defer cancel()
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for {
		p, err := d.cluster.Operator().Progress(id)
		if err != nil {
			return p, err
		}
		switch p.Phase {
		case preset.PhaseAccepted, preset.PhaseVetoed, preset.PhaseWithdrawn, preset.PhaseUnknown:
			return p, nil
		}
		select {
		case <-ctx.Done():
			return p, errors.Wrapf(ctx.Err(), "proposal %s is %s and waits for %v", id, p.Phase, p.WaitingFor)
		case <-ticker.C:
		}
	}
}

func (d *demo) acceptedChange() error {
	proposed := time.Now()
	id, err := d.propose("peak")
	if err != nil {
		return err
	}
	p, err := d.decided(id)
	if err != nil {
		return err
	}
	accepted := time.Now()
	if p.Phase != preset.PhaseAccepted {
		d.breach("the change to peak is %s, not accepted", p.Phase)
		return nil
	}
	ctx, cancel := context.WithTimeout(d.ctx, inForceLimit)
	defer cancel()
	inForce, err := d.cluster.WaitForVersion(ctx, p.Offset)
	if err != nil {
		d.breach("the change to peak was not in force on every VM within %v: %v", inForceLimit, err)
		return nil
	}
	d.printf("change to peak: accepted %v after its proposal, in force on all VMs %v after its acceptance was seen\n",
		accepted.Sub(proposed).Round(time.Millisecond), inForce.Sub(accepted).Round(time.Millisecond))
	d.expectActive("peak")
	return nil
}

func (d *demo) vetoedChange() error {
	id, err := d.propose("maintenance")
	if err != nil {
		return err
	}
	vms := d.cluster.VMs()
	if err := vms[len(vms)-1].Customer().Veto(id); err != nil {
		return errors.Wrap(err, "veto")
	}
	p, err := d.decided(id)
	if err != nil {
		return err
	}
	d.printf("change to maintenance: %s\n", p.Phase)
	if p.Phase != preset.PhaseVetoed {
		d.breach("the vetoed change is %s", p.Phase)
	}
	return nil
}

// expectActive checks the preset in force on every VM.
func (d *demo) expectActive(name string) {
	for _, vm := range d.cluster.VMs() {
		if status, err := vm.Operator().Status(); err != nil || status.Active != name {
			d.breach("%s has preset %q in force, not %s (%v)", vm.ID, status.Active, name, err)
		}
	}
}

// drain lets one server leave and checks that it gets nothing new after the limit.
func (d *demo) drain() error {
	server := d.cluster.Servers("")[0]
	if err := server.Drain(drainLimit.Milliseconds()); err != nil {
		return err
	}
	if !wait(d.ctx, drainLimit+200*time.Millisecond) {
		return d.ctx.Err()
	}
	before, err := server.Stats()
	if err != nil {
		return err
	}
	if !wait(d.ctx, 2*time.Second) {
		return d.ctx.Err()
	}
	after, err := server.Stats()
	if err != nil {
		return err
	}
	d.printf("drain of %s: %d requests arrived in the two seconds after %v\n", server.ID, after.Requests-before.Requests, drainLimit)
	if after.Requests != before.Requests {
		d.breach("%s got %d requests more than %v after its drain", server.ID, after.Requests-before.Requests, drainLimit)
	}
	return nil
}

// wait waits for d. It reports false at the end of ctx.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// judge prints the result of the traffic and checks it.
func (d *demo) judge(report *load.Report) error {
	d.printf("\nlatency from the intended send time over %v, seed %d, on a shared machine\n", report.Duration, report.Seed)
	for _, rows := range [][]load.Summary{report.Streams, report.Classes} {
		if err := load.WriteTable(d.Out, rows); err != nil {
			return err
		}
	}
	runs, err := d.cluster.Journals()
	if err != nil {
		return err
	}
	v := load.Verify(report.Orders, runs)
	d.printf("\norders: %d, keys in the journals: %d, duplicate runs: %d, run although answered not_run: %d, answered and in no journal: %d\n",
		len(report.Orders), len(runs.ByKey), len(v.Duplicates), len(v.RanButNotRun), len(v.AnsweredButMissing))
	for _, list := range [][]string{v.Duplicates, v.RanButNotRun, v.AnsweredButMissing} {
		d.broken = append(d.broken, list...)
	}
	if report.Wrong > 0 {
		d.breach("%d wrong answers: %v", report.Wrong, report.WrongExamples)
	}
	d.expectActive("peak")
	for _, s := range report.Classes {
		if s.Requests == 0 || s.Outcomes[load.Answered] == 0 {
			d.breach("class %s got no answers", s.Name)
		}
	}
	return nil
}

// stop stops all VMs gracefully.
func (d *demo) stop() error {
	if d.KeepLogs != "" {
		if err := d.cluster.CopyLogs(d.KeepLogs); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(d.ctx, stopLimit)
	defer cancel()
	if err := d.cluster.Stop(ctx); err != nil {
		d.breach("planned stop: %v", err)
	}
	return nil
}
