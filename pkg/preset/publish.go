package preset

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

// publish makes the state visible to InForce and closes the channel for changes. The caller holds the lock.
func (f *Follower) publish() {
	f.gate.usableUntil.Store(int64(f.usableUntil()))
	s := f.reader.state
	if old := f.gate.effective.Load(); f.initialized && s.Version != NoVersion && (old == nil || old.Version < s.Version) {
		f.gate.effective.Store(&Effective{
			Version: s.Version, ActiveVersion: s.ActiveVersion, ContentVersion: s.Presets[s.Active].Version,
			Since: f.clock.Now(), Content: s.ActiveContent(),
		})
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// usableUntil returns the boot time until which the state may be used for admission.
func (f *Follower) usableUntil() time.Duration {
	if f.stale || f.reader.hasGap() {
		return -1
	}
	until := f.lastTick + doubtTimeout
	if f.mayMissAcceptance() {
		until = min(until, f.doubtStart())
	}
	return until
}

// doubtStart returns the boot time from which this VM is in doubt if it may have missed an acceptance.
func (f *Follower) doubtStart() time.Duration {
	return max(f.currentAsOf, f.confirmation.confirmedAt, f.settling.startedAt) + doubtTimeout
}

// doubtImminent reports whether this VM will be in doubt within doubtMargin, or is already, unless the log or peers confirm
// its state.
func (f *Follower) doubtImminent() bool {
	return f.mayMissAcceptance() && f.gate.bootTime() > f.doubtStart()-doubtMargin
}

// mayMissAcceptance reports whether the log may contain an acceptance that this VM has not read.
func (f *Follower) mayMissAcceptance() bool {
	return f.confirmation.proposal != "" || (f.settling.active && len(f.reader.state.Pending) > 0)
}

// settlingPeriod is the time after a start or a pause during which this VM behaves as if it had confirmed the pending
// proposals, because an earlier incarnation may have confirmed them or the acceptor may not have this VM in its view yet.
type settlingPeriod struct {
	active    bool
	startedAt time.Duration // boot time
}

// detectPauses checks for pauses of this process every tickInterval until ctx ends.
func (f *Follower) detectPauses(ctx context.Context) {
	for {
		// The timer starts before the check, so that waiting for the lock does not lengthen the interval.
		nextTick := f.clock.After(tickInterval)
		f.checkForPause()
		select {
		case <-nextTick:
		case <-ctx.Done():
			return
		}
	}
}

// checkForPause marks the state as stale if the last check is older than doubtTimeout, and requests states from peers while
// the state is stale or this VM is close to being in doubt.
func (f *Follower) checkForPause() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.gate.bootTime()
	if now-f.lastTick > doubtTimeout && f.initialized {
		klog.InfoS("process was paused; verifying the configuration before admitting calls", "pause", now-f.lastTick)
		f.stale, f.pauseDetectedAt = true, now
		f.settling = settlingPeriod{active: true, startedAt: now}
	}
	f.lastTick = now
	if f.stale || f.doubtImminent() {
		f.requestFetch("")
	}
	f.gate.usableUntil.Store(int64(f.usableUntil()))
}
