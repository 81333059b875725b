package preset

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/platformlog"
)

// Timing and limits of the follower.
const (
	// pollWait is the maximum duration of one long poll.
	pollWait = 2 * time.Second
	// shortPollWait is the maximum duration of a long poll while this VM may have missed an acceptance. The state counts as
	// current as of the start of a read, so a read of pollWait in progress, one of shortPollWait and the network delay must
	// together be shorter than doubtTimeout.
	shortPollWait = 500 * time.Millisecond
	// retryMin and retryMax are the bounds of the random delay after a failed read.
	retryMin = 200 * time.Millisecond
	retryMax = time.Second
	// doubtTimeout is the time after which a VM that was paused or has confirmed a proposal stops admitting calls unless
	// its state is known to be current.
	doubtTimeout = 3 * time.Second
	// doubtMargin is the time before the start of doubt at which this VM begins to query peers.
	doubtMargin = time.Second
	// tickInterval is the time between two checks for a pause of the process. It is well below doubtTimeout, so that a
	// busy machine is not mistaken for a pause.
	tickInterval = 500 * time.Millisecond
	// settlingDuration is the time after a start or a pause during which a confirm round may be in progress that does not
	// include this VM, because the VM list and heartbeats lag by seconds.
	settlingDuration = 10 * time.Second
	// fetchTimeout limits one fetch from a peer.
	fetchTimeout = time.Second
	// fetchFanout is the maximum number of random peers in one round of fetches.
	fetchFanout = 3
)

// Options configure a Follower.
type Options struct {
	Log   platformlog.Log
	Clock clock.Clock
	// Boot is the boot clock. Default: SystemBootClock. Tests derive it from a manual clock.
	Boot BootClock
	// Peers and Fleet may be nil; the follower then uses the log only.
	Peers Peers
	Fleet Fleet
	// Rand is the source of jitter. Default: a generator with a random seed.
	Rand *rand.Rand
}

// Follower reads the configuration log continuously and publishes the preset in force. It implements Current.
type Follower struct {
	log   platformlog.Log
	clock clock.Clock
	peers Peers
	fleet Fleet
	gate  gate

	mu              sync.Mutex
	rand            *rand.Rand
	reader          *reader
	initialized     bool                 // the end of the log was reached once, or a peer with a usable state sent it
	firstSeen       map[string]time.Time // start of the veto period by proposal id; a peer may have seen the proposal earlier
	confirmation    confirmation
	lastTick        time.Duration // boot time of the last check for a pause
	stale           bool          // a pause was detected and the state has not been verified since
	pauseDetectedAt time.Duration // boot time at which the last pause was detected
	settling        settlingPeriod
	logContactAt    time.Duration // boot time at the start of the last read that returned the end of the log
	currentAsOf     time.Duration // boot time as of which the state was last known to be current, from the log or from peers

	retention      time.Duration
	lastSnapshotAt time.Time     // when this VM last applied a snapshot record
	changed        chan struct{} // closed and replaced after each change
	fetchRequests  chan struct{} // triggers a round of fetches
	fetchFrom      string        // peer that is known to have a later state; empty: none
	events         *eventRing
}

// NewFollower returns a follower with an empty state. Run starts it.
func NewFollower(o Options) *Follower {
	if o.Boot == nil {
		o.Boot = SystemBootClock
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	f := &Follower{
		log: o.Log, clock: o.Clock, peers: o.Peers, fleet: o.Fleet, rand: o.Rand,
		gate: gate{bootTime: o.Boot}, reader: newReader(), firstSeen: map[string]time.Time{},
		changed: make(chan struct{}), fetchRequests: make(chan struct{}, 1), events: newEventRing(),
	}
	f.lastTick = o.Boot()
	return f
}

// InForce implements Current.
func (f *Follower) InForce() *Effective { return f.gate.inForce() }

// Reason implements Current.
func (f *Follower) Reason() Reason {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.gate.bootTime()
	switch {
	case f.reader.hasGap():
		return ReasonGap
	case !f.initialized:
		return ReasonNotStarted
	case f.reader.state.Version == NoVersion:
		return ReasonNoConfiguration
	case f.stale || now > f.lastTick+doubtTimeout:
		return ReasonStale
	case f.mayMissAcceptance() && now > f.doubtStart():
		return ReasonInDoubt
	}
	return ""
}

// Run reads the log, detects pauses and fetches states from peers until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { f.readLog(ctx) })
	group.Go(func() { f.detectPauses(ctx) })
	if f.peers != nil && f.fleet != nil {
		group.Go(func() { f.fetchStates(ctx) })
	}
	group.Wait()
}

// readLog reads the log until ctx ends. After a failed read it requests the state from peers and retries.
func (f *Follower) readLog(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.readOnce(ctx); err == nil {
			continue
		}
		f.requestFetch("")
		select {
		case <-f.clock.After(f.jitter(retryMin, retryMax)):
		case <-ctx.Done():
		}
	}
}

func (f *Follower) readOnce(ctx context.Context) error {
	f.mu.Lock()
	from, wait, sentAt := f.reader.nextOffset(), pollWait, f.gate.bootTime()
	switch {
	case f.stale || !f.initialized:
		wait = 0 // a response is needed immediately, even if there are no new records
	case f.mayMissAcceptance():
		wait = shortPollWait
	}
	f.mu.Unlock()
	batch, err := f.log.Read(ctx, Stream, from, wait)
	if err != nil {
		if ctx.Err() == nil {
			klog.V(1).InfoS("failed to read the configuration log", "from", from, "err", err)
		}
		return err
	}
	return f.handleBatch(batch, from, sentAt)
}

// errGapNotClosed reports that the log was read to its end and no snapshot in it closes the gap.
var errGapNotClosed = errors.New("no snapshot in the configuration log closes the gap of expired records")

func (f *Follower) handleBatch(b platformlog.Batch, from int64, sentAt time.Duration) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.publish()
	f.retention = b.Retention()
	if from != f.reader.nextOffset() {
		return nil // the state of a peer was adopted during the read
	}
	events, atEnd := f.reader.applyBatch(b)
	f.handleEvents(events)
	if f.reader.hasGap() {
		if f.reader.nextOffset() >= b.Next {
			return errGapNotClosed
		}
		return nil
	}
	if !atEnd {
		return nil
	}
	f.markInitialized()
	f.recordLogContact(sentAt)
	return nil
}

// markInitialized records that the state is complete for the first time, starts the settling period and requests states from
// peers, because they hold the ages of the pending proposals.
func (f *Follower) markInitialized() {
	if f.initialized {
		return
	}
	f.initialized = true
	f.settling = settlingPeriod{active: true, startedAt: f.gate.bootTime()}
	f.requestFetch("")
}

// recordLogContact records that the log confirmed the state as current as of the boot time sentAt, when the read was sent.
func (f *Follower) recordLogContact(sentAt time.Duration) {
	f.logContactAt = max(f.logContactAt, sentAt)
	f.recordCurrentAsOf(sentAt)
}

// recordCurrentAsOf records that a request sent at the boot time sentAt returned a later state or showed the state to be
// complete.
func (f *Follower) recordCurrentAsOf(sentAt time.Duration) {
	f.currentAsOf = max(f.currentAsOf, sentAt)
	if sentAt >= f.settling.startedAt+settlingDuration {
		f.settling.active = false
	}
	// The response to a request sent before the pause was detected can be as old as the pause.
	if sentAt >= f.pauseDetectedAt {
		f.stale = false
	}
}

// handleEvents logs and stores the events and updates the bookkeeping of pending proposals.
func (f *Follower) handleEvents(events []Event) {
	for _, ev := range events {
		if ev.Kind != Snapshotted && ev.Kind != Repeated {
			klog.InfoS("processed configuration record", "kind", ev.Kind, "offset", ev.Offset, "proposal", ev.Proposal,
				"object", ev.Object, "versionInForce", ev.InForce, "reason", ev.Reason)
		}
		if ev.Kind == Snapshotted {
			f.lastSnapshotAt = f.clock.Now()
		}
		f.events.add(ev)
	}
	f.updatePending()
}

// updatePending starts the veto period of proposals that are new to this VM and removes decided ones.
func (f *Follower) updatePending() {
	pending := f.reader.state.Pending
	for id := range f.firstSeen {
		if _, ok := pending[id]; !ok {
			delete(f.firstSeen, id)
		}
	}
	for id := range pending {
		if _, ok := f.firstSeen[id]; !ok {
			f.firstSeen[id] = f.clock.Now()
		}
	}
	f.confirmation.clearIfSettled(f.reader.state)
}

// jitter returns a random duration between low and high, both included.
func (f *Follower) jitter(low, high time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return low + time.Duration(f.rand.Int64N(int64(high-low)+1))
}

// View returns a copy of this VM's current state and a channel that is closed at the next change.
func (f *Follower) View() (*State, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reader.state.clone(), f.changed
}

// Status is the state of the follower as reported in heartbeats and by the administration API.
type Status struct {
	Version, Position int64
	// LogAge is the time since the last contact with the log; negative if there was none.
	LogAge time.Duration
	Reason Reason
}

// Status returns the version, the position, the time since the last log contact and the reason why no preset is in force.
func (f *Follower) Status() Status {
	reason := f.Reason()
	f.mu.Lock()
	defer f.mu.Unlock()
	age := time.Duration(-1)
	if f.logContactAt > 0 {
		age = f.gate.bootTime() - f.logContactAt
	}
	return Status{Version: f.reader.state.Version, Position: f.reader.state.Position, LogAge: age, Reason: reason}
}
