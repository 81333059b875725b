package preset

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/platformlog"
)

// Timing of the snapshotter.
const (
	// snapshotDivisor determines when a new snapshot is due: after the retention time divided by it.
	snapshotDivisor = 4
	// jitterDivisor determines the time over which the VMs spread their snapshots: the retention time divided by it.
	jitterDivisor = 16
	// snapshotRetryWait is the wait while the retention time or the configuration is not known, and after each attempt to
	// append a snapshot.
	snapshotRetryWait = time.Second
)

// Snapshotter appends snapshots to the configuration log, so that a VM can start after older records have expired. Each
// entry VM runs one; a snapshot from any VM postpones the next one of all.
type Snapshotter struct {
	log      platformlog.Log
	clock    clock.Clock
	follower *Follower
	author   string
	rand     *rand.Rand
}

// NewSnapshotter returns a snapshotter with the log, clock, fleet and random source of o.
func NewSnapshotter(o Options, f *Follower) *Snapshotter {
	s := &Snapshotter{log: o.Log, clock: o.Clock, follower: f, rand: o.Rand}
	if s.rand == nil {
		s.rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.Fleet != nil {
		s.author = o.Fleet.Self()
	}
	return s
}

// Run appends snapshots until ctx ends.
func (s *Snapshotter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait, due := s.follower.snapshotWait()
		if due {
			// The random delay comes after the due time, so that a snapshot of another VM during the delay is detected.
			if !s.wait(ctx, time.Duration(s.rand.Int64N(int64(wait)+1))) {
				return
			}
			if _, due = s.follower.snapshotWait(); due {
				s.append(ctx)
			}
			wait = snapshotRetryWait
		}
		if !s.wait(ctx, wait) {
			return
		}
	}
}

func (s *Snapshotter) wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-s.clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Snapshotter) append(ctx context.Context) {
	state, _ := s.follower.View()
	e, err := state.snapshotEntry(uuid.NewString(), s.author)
	if err == nil {
		_, err = s.log.Append(ctx, Stream, e)
	}
	if err != nil {
		klog.InfoS("failed to append a snapshot of the configuration", "err", err)
	}
}

// snapshotWait returns the time until a snapshot is due. If one is due, wait is the time over which to spread it.
func (f *Follower) snapshotWait() (wait time.Duration, due bool) {
	usable := f.InForce() != nil
	f.mu.Lock()
	defer f.mu.Unlock()
	if !usable || f.retention <= 0 {
		return snapshotRetryWait, false
	}
	if remaining := f.lastSnapshotAt.Add(f.retention / snapshotDivisor).Sub(f.clock.Now()); remaining > 0 {
		return remaining, false
	}
	return f.retention / jitterDivisor, true
}
