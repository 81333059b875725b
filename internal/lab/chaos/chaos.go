// Package chaos runs a system of separate processes under load and a seeded schedule of faults, and counts violated guarantees
// from the journals of the backend servers and from the responses.
package chaos

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/internal/lab/cluster"
	"github.com/hornbeamway/hornbeamway/internal/lab/pause"
)

// ErrViolation reports that the system violated a guarantee.
var ErrViolation = errors.New("guarantee violated")

// Options configures a run.
type Options struct {
	Cluster cluster.Options
	// Duration is the time during which faults are injected. Start, recovery and the final checks add to it.
	Duration time.Duration
	// Seed determines the schedule of faults and the requests. It does not determine the timing of the processes.
	Seed uint64
	// Only limits the schedule to faults whose name begins with one of these prefixes. Empty: all.
	Only []string
	Out  io.Writer
	// KeepLogs is a directory that receives settings and logs. Empty: none.
	KeepLogs string
}

const (
	// warmUp is the duration of load before the first fault.
	warmUp = 3 * time.Second
	// recoveryTimeout is the time within which every VM must be ready after the last fault has ended.
	recoveryTimeout = 30 * time.Second
	// faultFreeTime is the duration of load without faults at the end.
	faultFreeTime = 4 * time.Second
	// actionTimeout is the time that the actions of a fault, such as a restart, may take in addition to the fault's duration.
	actionTimeout = 40 * time.Second
)

// harness is the system under test with the state of one run.
type harness struct {
	Options
	cluster   *cluster.Cluster
	balancer  *balancer
	records   *requestLog
	startedAt time.Time

	proposals     *proposalSet
	configReports *configReports

	mu         sync.Mutex
	violations []violation
	timeline   []string
	stops      []plannedStop
	// faultyVMs holds the ids of the VMs on which a fault is active.
	faultyVMs map[string]bool
}

// violation is one violated guarantee with its evidence.
type violation struct {
	kind     string
	evidence string
}

// Run runs the faults and prints a report. Errors: ErrViolation, or the failure that ended the run early.
func Run(ctx context.Context, o Options) error {
	c, err := cluster.Start(ctx, o.Cluster)
	if err != nil {
		return err
	}
	defer c.Close()
	h := &harness{
		Options: o, cluster: c, balancer: newBalancer(c), records: &requestLog{}, startedAt: time.Now(), faultyVMs: map[string]bool{},
		proposals: &proposalSet{byMark: map[time.Duration]*proposal{}}, configReports: newConfigReports(),
	}
	h.printf("seed %d: %d entry VMs and %d backend servers, %v of faults\n", o.Seed, len(c.VMs()), len(c.Servers("")), o.Duration)
	err = h.run(ctx)
	if o.KeepLogs != "" {
		err = errors.CombineErrors(err, c.CopyLogs(o.KeepLogs))
	}
	return err
}

func (h *harness) printf(format string, args ...any) { _, _ = fmt.Fprintf(h.Out, format, args...) }

// addViolation records a violated guarantee.
func (h *harness) addViolation(kind, format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, violation{kind: kind, evidence: h.elapsed(time.Now()) + " " + fmt.Sprintf(format, args...)})
}

// addEvent adds a line to the timeline.
func (h *harness) addEvent(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timeline = append(h.timeline, h.elapsed(time.Now())+" "+fmt.Sprintf(format, args...))
}

// elapsed formats a time as seconds since the start of the load.
func (h *harness) elapsed(t time.Time) string {
	return fmt.Sprintf("%8.3fs", t.Sub(h.startedAt).Seconds())
}

// newRandom returns a random source for one purpose, derived from the seed.
func (h *harness) newRandom(purpose uint64) *rand.Rand { return rand.New(rand.NewPCG(h.Seed, purpose)) }

func (h *harness) run(ctx context.Context) error {
	monitorCtx, stopMonitoring := context.WithCancel(ctx)
	defer stopMonitoring()
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var background, traffic sync.WaitGroup
	background.Go(func() { h.balancer.runHealthChecks(monitorCtx) })
	background.Go(func() { h.monitor(monitorCtx) })
	h.startedAt = time.Now()
	traffic.Go(func() { h.generateLoad(loadCtx) })
	pause.Sleep(ctx, warmUp)

	operatorsCtx, stopOperators := context.WithTimeout(ctx, h.Duration)
	var operators sync.WaitGroup
	operators.Go(func() { h.runOperators(operatorsCtx) })
	h.injectFaults(ctx, newSchedule(h.Seed, h.Duration, h.Only))
	stopOperators()
	operators.Wait()
	h.recover(ctx)
	pause.Sleep(ctx, faultFreeTime)

	stopLoad()
	traffic.Wait()
	stopMonitoring()
	background.Wait()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return h.checkAll()
}

// recover ends all faults and waits until every VM is ready. It records a violation if that takes longer than
// recoveryTimeout.
func (h *harness) recover(ctx context.Context) {
	h.clearFaults()
	readyCtx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	start := time.Now()
	if err := h.cluster.WaitReady(readyCtx); err != nil {
		h.addViolation(violationNotRecovered, "not every VM was ready %v after the last fault: %v", recoveryTimeout, err)
		return
	}
	h.addEvent("all faults ended, all VMs ready after %v", time.Since(start).Round(time.Millisecond))
}
