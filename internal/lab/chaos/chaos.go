// Package chaos runs a system of separate processes under load and a seeded schedule of faults, and counts broken promises
// from the journals of the backend servers and from the answers.
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
)

// ErrViolation reports that the system broke a promise.
var ErrViolation = errors.New("promise broken")

// Options configure a run.
type Options struct {
	Cluster cluster.Options
	// Duration is the time of faults. Start, recovery and the final checks come on top.
	Duration time.Duration
	// Seed determines the schedule of faults and the requests. Timing of processes is not part of it.
	Seed uint64
	// Only limits the schedule to faults whose name begins with one of these. Empty: all.
	Only []string
	Out  io.Writer
	// KeepLogs is a directory that receives settings and logs. Empty: none.
	KeepLogs string
}

const (
	// warmUp is the time of load before the first fault.
	warmUp = 3 * time.Second
	// recoveryLimit is the time within which every VM must be ready after the last fault ended.
	recoveryLimit = 30 * time.Second
	// cleanTime is the time of load without faults at the end.
	cleanTime = 4 * time.Second
	// actionLimit bounds one action, such as a restart, beyond its fault.
	actionLimit = 40 * time.Second
)

// run is the state of one run.
type run struct {
	Options
	cluster *cluster.Cluster
	front   *front
	book    *book
	began   time.Time

	changes   *changes
	sightings *sightings

	mu         sync.Mutex
	violations []violation
	timeline   []string
	stops      []plannedStop
	// out are the ids of the VMs that have a fault.
	out map[string]bool
}

// violation is one broken promise with its evidence.
type violation struct {
	kind     string
	evidence string
}

// Run runs the faults and prints a report. Errors: ErrViolation, or why it could not run to its end.
func Run(ctx context.Context, o Options) error {
	c, err := cluster.Start(ctx, o.Cluster)
	if err != nil {
		return err
	}
	defer c.Close()
	r := &run{
		Options: o, cluster: c, front: newFront(c), book: &book{}, began: time.Now(), out: map[string]bool{},
		changes: &changes{all: map[time.Duration]*change{}}, sightings: newSightings(),
	}
	r.printf("seed %d: %d entry VMs and %d backend servers, %v of faults\n", o.Seed, len(c.VMs()), len(c.Servers("")), o.Duration)
	err = r.run(ctx)
	if o.KeepLogs != "" {
		err = errors.CombineErrors(err, c.CopyLogs(o.KeepLogs))
	}
	return err
}

func (r *run) printf(format string, args ...any) { _, _ = fmt.Fprintf(r.Out, format, args...) }

// breach records a broken promise.
func (r *run) breach(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, violation{kind: kind, evidence: r.stamp(time.Now()) + " " + fmt.Sprintf(format, args...)})
}

// note adds a line to the timeline.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.timeline = append(r.timeline, r.stamp(time.Now())+" "+fmt.Sprintf(format, args...))
}

// stamp gives a time as seconds since the start of the load.
func (r *run) stamp(t time.Time) string { return fmt.Sprintf("%8.3fs", t.Sub(r.began).Seconds()) }

// random returns a random source of the seed for one purpose.
func (r *run) random(purpose uint64) *rand.Rand { return rand.New(rand.NewPCG(r.Seed, purpose)) }

func (r *run) run(ctx context.Context) error {
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	loading, stopLoading := context.WithCancel(ctx)
	defer stopLoading()
	var background, load sync.WaitGroup
	background.Go(func() { r.front.watch(watching) })
	background.Go(func() { r.monitor(watching) })
	r.began = time.Now()
	load.Go(func() { r.load(loading) })
	pause(ctx, warmUp)

	changing, stopChanging := context.WithTimeout(ctx, r.Duration)
	var changes sync.WaitGroup
	changes.Go(func() { r.operators(changing) })
	r.faults(ctx, newSchedule(r.Seed, r.Duration, r.Only))
	stopChanging()
	changes.Wait()
	r.recover(ctx)
	pause(ctx, cleanTime)

	stopLoading()
	load.Wait()
	stopWatching()
	background.Wait()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return r.judge()
}

// recover ends all faults and waits until every VM is ready.
func (r *run) recover(ctx context.Context) {
	r.calm()
	ready, cancel := context.WithTimeout(ctx, recoveryLimit)
	defer cancel()
	began := time.Now()
	if err := r.cluster.WaitReady(ready); err != nil {
		r.breach(kindNotRecovered, "not every VM was ready %v after the last fault: %v", recoveryLimit, err)
		return
	}
	r.note("all faults ended, all VMs ready after %v", time.Since(began).Round(time.Millisecond))
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
