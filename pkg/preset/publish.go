package preset

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

// publish makes the state visible to InForce. The caller holds the lock.
func (f *Follower) publish() {
	f.gate.until.Store(int64(f.usableUntil()))
	s := f.reader.state
	if old := f.gate.effective.Load(); f.atEnd && s.Version != NoVersion && (old == nil || old.Version < s.Version) {
		f.gate.effective.Store(&Effective{
			Version: s.Version, ActiveVersion: s.ActiveVersion, ContentVersion: s.Presets[s.Active].Version,
			Since: f.clock.Now(), Content: s.ActiveContent(),
		})
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// usableUntil is the boot time up to which the state may be used for admission.
func (f *Follower) usableUntil() time.Duration {
	if f.paused || f.reader.gap() {
		return -1
	}
	until := f.tick + doubtAfter
	if f.bound() {
		until = min(until, f.doubtFrom())
	}
	return until
}

// doubtFrom is the boot time from which a VM that has confirmed is in doubt.
func (f *Follower) doubtFrom() time.Duration {
	return max(f.heard, f.confirm.at, f.settle.from) + doubtAfter
}

// nearDoubt reports whether this VM will be in doubt soon unless it learns something.
func (f *Follower) nearDoubt() bool { return f.bound() && f.gate.boot() > f.doubtFrom()-doubtNotice }

// bound reports whether an acceptance may be in the log that this VM has not read.
func (f *Follower) bound() bool {
	return f.confirm.proposal != "" || (f.settle.active && len(f.reader.state.Pending) > 0)
}

// settling is the time after a start or a pause in which this VM acts as if it had confirmed what is pending, because
// an earlier incarnation may have confirmed or the acceptor may not know this VM yet.
type settling struct {
	active bool
	from   time.Duration // boot time
}

// markTime is the goroutine that notices pauses of this process.
func (f *Follower) markTime(ctx context.Context) {
	for {
		// The timer starts before the mark, so that a wait for the lock does not make the period longer.
		next := f.clock.After(tickEvery)
		f.mark()
		select {
		case <-next:
		case <-ctx.Done():
			return
		}
	}
}

func (f *Follower) mark() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.gate.boot()
	if now-f.tick > doubtAfter && f.atEnd {
		klog.InfoS("process was paused; checking the configuration before admitting", "pause", now-f.tick)
		f.paused, f.resumed = true, now
		f.settle = settling{active: true, from: now}
	}
	f.tick = now
	if f.paused || f.nearDoubt() {
		f.requestFetch("")
	}
	f.gate.until.Store(int64(f.usableUntil()))
}
