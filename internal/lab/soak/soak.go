package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrBroken reports that a promise was broken.
var ErrBroken = errors.New("promises were broken")

// Options configure one run.
type Options struct {
	// Bin is the directory of the programs.
	Bin string
	// Seed decides on the faults and their times. Network tells runs apart that are on one machine at the same time.
	Seed, Network uint64
	// VMs, ServersEach (per service) and Callers are the size.
	VMs, ServersEach, Callers int
	// Duration is the time of the faults; a calm time follows in which the system must serve again.
	Duration time.Duration
	// Only limits the faults to those whose name begins so.
	Only []string
	Out  io.Writer
}

// Times of a run.
const (
	startLimit = 15 * time.Second
	// gapMean is the mean time between two faults.
	gapMean = 700 * time.Millisecond
	// recovery is the time after the last fault in which requests must be served again, and proof the time in which that is
	// looked at.
	recovery = 10 * time.Second
	proof    = 3 * time.Second
	// servedAtLeast is the share of the requests in the calm time that must be served.
	servedAtLeast = 0.9
)

func (j *judge) fail(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.breaks(format, args...)
}

// Run plays one seed. Errors: ErrBroken, and those of starting.
func Run(ctx context.Context, o Options) error {
	j := newJudge()
	w, err := newWorld(o, j)
	if err != nil {
		return err
	}
	defer w.close()
	background, stop := context.WithCancel(ctx)
	defer stop()
	go w.tend(background)
	b := &balancer{vms: w.vms, misses: make([]int, len(w.vms))}
	go b.run(background)
	if err := w.awaitReady(ctx); err != nil {
		return err
	}
	var callers sync.WaitGroup
	for i := range o.Callers {
		callers.Add(1)
		go func() { defer callers.Done(); (&caller{world: w, balancer: b, number: i}).run(background) }()
	}
	played := w.play(ctx, o)
	pause(ctx, recovery)
	served, sent := j.progress()
	pause(ctx, proof)
	servedLater, sentLater := j.progress()
	if float64(servedLater-served) < servedAtLeast*float64(sentLater-sent) || sentLater == sent {
		j.fail("RECOVER: %d of %d requests served %v after the last fault", servedLater-served, sentLater-sent, recovery)
	}
	stop()
	callers.Wait()
	return w.report(o, played)
}

// tend writes heartbeats and removes entries of servers that are gone.
func (w *world) tend(ctx context.Context) {
	for ctx.Err() == nil {
		w.beat()
		w.expire()
		pause(ctx, heartbeat/4)
	}
}

func (w *world) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for _, v := range w.vms {
		for !ready(v) {
			if ctx.Err() != nil {
				return errors.Newf("%s is not ready after %v; its log is %s", v.name, startLimit, v.log)
			}
			pause(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

// play starts faults at random times until the duration has passed and returns their names.
func (w *world) play(ctx context.Context, o Options) []string {
	var all []fault
	for _, f := range faults {
		if len(o.Only) == 0 || matches(f.name, o.Only) {
			all = append(all, f)
		}
	}
	var running sync.WaitGroup
	var played []string
	for end := time.Now().Add(o.Duration); time.Now().Before(end) && ctx.Err() == nil && len(all) > 0; {
		f, pick := all[w.random.IntN(len(all))], w.random.IntN(1<<20)
		played = append(played, f.name)
		running.Add(1)
		go func() {
			defer running.Done()
			f.play(ctx, w, pick)
		}()
		pause(ctx, time.Duration(w.random.Int64N(int64(2*gapMean))))
	}
	running.Wait()
	return played
}

func matches(name string, prefixes []string) bool {
	for _, p := range prefixes {
		if strings.HasPrefix(name, p) {
			return true
		}
	}
	return false
}

func (j *judge) progress() (served, sent int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, n := range j.outcomes {
		sent += n
	}
	return j.answered, sent
}

func (w *world) report(o Options, played []string) error {
	w.judge.mu.Lock()
	defer w.judge.mu.Unlock()
	fmt.Fprintf(o.Out, "seed %d: %d faults, answers by status %v, %d promises broken\n", o.Seed, len(played), w.judge.outcomes, len(w.judge.broken))
	if len(w.judge.broken) == 0 {
		return os.RemoveAll(w.dir)
	}
	for _, line := range w.judge.broken[:min(len(w.judge.broken), 12)] {
		fmt.Fprintln(o.Out, "  "+line)
	}
	fmt.Fprintf(o.Out, "  faults: %s\n  logs: %s\n", strings.Join(played, " "), w.dir)
	return errors.Wrapf(ErrBroken, "seed %d", o.Seed)
}
