package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/hornbeamway/hornbeamway/internal/lab/pause"
)

// ErrViolation reports that at least one guarantee was violated.
var ErrViolation = errors.New("guarantees were violated")

// Options configures one run.
type Options struct {
	// BinDir is the directory of the executables.
	BinDir string
	// Seed determines the faults and their times. Seed and Network together determine the loopback addresses of the VMs, so that
	// Network separates concurrent runs on one machine.
	Seed, Network uint64
	// VMs, ServersEach (per service) and Callers are the numbers of entry VMs, backend servers and callers.
	VMs, ServersEach, Callers int
	// Duration is the time during which faults are injected. A time without faults follows, in which the system must recover.
	Duration time.Duration
	// FaultInterval is the mean time between the starts of two faults. Default: 700 ms.
	FaultInterval time.Duration
	// Only limits the faults to those whose name begins with one of these prefixes. Empty: all faults.
	Only []string
	Out  io.Writer
}

// Times and thresholds of a run.
const (
	startTimeout         = 15 * time.Second
	defaultFaultInterval = 700 * time.Millisecond
	// recoveryTime is the time after the last fault within which requests must be served again, and measuredTime the time
	// after it in which that is measured.
	recoveryTime = 10 * time.Second
	measuredTime = 3 * time.Second
	// minServedShare is the share of the requests in measuredTime that must be served.
	minServedShare = 0.9
)

func (c *checker) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolationLocked(format, args...)
}

// Run runs the soak test with one seed. Errors: ErrViolation, and failures to start the system under test.
func Run(ctx context.Context, o Options) error {
	c := newChecker()
	h, err := newHarness(o, c)
	if err != nil {
		return err
	}
	defer h.close()
	background, stopBackground := context.WithCancel(ctx)
	defer stopBackground()
	go h.maintainServerRecords(background)
	b := &balancer{vms: h.vms, failedChecks: make([]int, len(h.vms))}
	go b.run(background)
	if err := h.awaitReady(ctx); err != nil {
		return err
	}
	var callers sync.WaitGroup
	for i := range o.Callers {
		callers.Add(1)
		go func() { defer callers.Done(); (&caller{harness: h, balancer: b, number: i}).run(background) }()
	}
	injected := h.injectFaults(ctx, o)
	pause.Sleep(ctx, recoveryTime)
	served, total := c.counts()
	pause.Sleep(ctx, measuredTime)
	servedLater, totalLater := c.counts()
	if float64(servedLater-served) < minServedShare*float64(totalLater-total) || totalLater == total {
		c.addViolation("RECOVER: %d of %d requests served %v after the last fault", servedLater-served, totalLater-total, recoveryTime)
	}
	stopBackground()
	callers.Wait()
	return h.report(o, injected)
}

// maintainServerRecords writes the servers' heartbeats and removes the expired records of stopped servers until ctx ends.
func (h *harness) maintainServerRecords(ctx context.Context) {
	for ctx.Err() == nil {
		h.writeHeartbeats()
		h.expireServers()
		pause.Sleep(ctx, heartbeatInterval/4)
	}
}

func (h *harness) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, v := range h.vms {
		for !ready(v) {
			if ctx.Err() != nil {
				return errors.Newf("VM %s is not ready after %v; its log is %s", v.name, startTimeout, v.logFile)
			}
			pause.Sleep(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

// injectFaults starts faults at random times until o.Duration has passed, waits for their ends and returns their names.
func (h *harness) injectFaults(ctx context.Context, o Options) []string {
	var enabled []fault
	for _, f := range faults {
		if len(o.Only) == 0 || hasAnyPrefix(f.name, o.Only) {
			enabled = append(enabled, f)
		}
	}
	var running sync.WaitGroup
	var injected []string
	for end := time.Now().Add(o.Duration); time.Now().Before(end) && ctx.Err() == nil && len(enabled) > 0; {
		f, draw := enabled[h.random.IntN(len(enabled))], h.random.IntN(1<<20)
		injected = append(injected, f.name)
		running.Add(1)
		go func() {
			defer running.Done()
			h.log.Printf("fault %s begins, draw %d", f.name, draw)
			f.inject(ctx, h, draw)
			h.log.Printf("fault %s has ended, draw %d", f.name, draw)
		}()
		pause.Sleep(ctx, time.Duration(h.random.Int64N(int64(2*cmp.Or(o.FaultInterval, defaultFaultInterval)))))
	}
	running.Wait()
	return injected
}

func hasAnyPrefix(name string, prefixes []string) bool {
	for _, p := range prefixes {
		if strings.HasPrefix(name, p) {
			return true
		}
	}
	return false
}

// counts returns the number of served requests and of all that can be served.
func (c *checker) counts() (served, total int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	total = -c.withoutRouteCount
	for _, n := range c.statusCounts {
		total += n
	}
	return c.servedCount, total
}

func (h *harness) report(o Options, injected []string) error {
	h.checker.mu.Lock()
	defer h.checker.mu.Unlock()
	fmt.Fprintf(o.Out, "seed %d: %d faults, responses by status %v, %d violations %v\n",
		o.Seed, len(injected), h.checker.statusCounts, len(h.checker.violations),
		lo.CountValuesBy(h.checker.violations, violation.guarantee))
	if len(h.checker.violations) == 0 {
		return os.RemoveAll(h.dir)
	}
	for _, v := range h.checker.violations {
		h.log.Printf("violation at %s: %s", v.at.Format("15:04:05.000"), v.text)
	}
	for _, v := range h.checker.violations[:min(len(h.checker.violations), 12)] {
		fmt.Fprintln(o.Out, "  "+v.at.Format("15:04:05.000 ")+v.text)
	}
	fmt.Fprintf(o.Out, "  faults: %s\n  logs: %s\n", strings.Join(injected, " "), h.dir)
	return errors.Wrapf(ErrViolation, "seed %d", o.Seed)
}
