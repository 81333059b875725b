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

// Times of the snapshotter.
const (
	// snapshotShare is the part of the retention time after which a new snapshot is due.
	snapshotShare = 4
	// snapshotJitter is the part of the retention time over which the VMs spread their snapshots.
	snapshotJitter = 16
	// snapshotIdle is the wait while the retention time or the configuration is not known.
	snapshotIdle = time.Second
)

// Snapshotter appends snapshots, so that a VM can start when older records have expired. Each entry VM runs one; a
// snapshot of another VM puts off the next one.
type Snapshotter struct {
	log      platformlog.Log
	clock    clock.Clock
	follower *Follower
	author   string
	rand     *rand.Rand
}

// NewSnapshotter returns a snapshotter with the log, clock, fleet and jitter of o.
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
			// The jitter comes last, so that a snapshot of another VM during it is seen.
			if !s.sleep(ctx, time.Duration(s.rand.Int64N(int64(wait)+1))) {
				return
			}
			if _, due = s.follower.snapshotWait(); due {
				s.append(ctx)
			}
			wait = snapshotIdle
		}
		if !s.sleep(ctx, wait) {
			return
		}
	}
}

func (s *Snapshotter) sleep(ctx context.Context, d time.Duration) bool {
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
		klog.InfoS("cannot append a snapshot of the configuration", "err", err)
	}
}

// snapshotWait returns the time until a snapshot is due, or due and the time over which to spread it.
func (f *Follower) snapshotWait() (wait time.Duration, due bool) {
	sound := f.InForce() != nil
	f.mu.Lock()
	defer f.mu.Unlock()
	if !sound || f.retention <= 0 {
		return snapshotIdle, false
	}
	if left := f.snapshot.Add(f.retention / snapshotShare).Sub(f.clock.Now()); left > 0 {
		return left, false
	}
	return f.retention / snapshotJitter, true
}
