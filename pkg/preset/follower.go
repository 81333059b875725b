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

// Times of the follower.
const (
	// pollWait is the wait of one long poll.
	pollWait = 2 * time.Second
	// boundWait is the wait of one long poll while an unread acceptance would stop this VM. The answer to a poll proves
	// what was true when the poll was sent, so that two polls in a row must be shorter than doubtAfter.
	boundWait = 500 * time.Millisecond
	// retryMin and retryMax bound the jittered wait after a read that failed.
	retryMin = 200 * time.Millisecond
	retryMax = time.Second
	// doubtAfter is the time without news after which a VM stops to admit when it was paused or has confirmed.
	doubtAfter = 3 * time.Second
	// doubtNotice is the time before a doubt at which peers are asked.
	doubtNotice = time.Second
	// tickEvery is the time between two marks that the process runs. It is well below doubtAfter, so that a busy
	// machine is not taken for a pause.
	tickEvery = 500 * time.Millisecond
	// settleTime is the time after a start or a pause in which a confirm round may be going on that does not include
	// this VM: the list and heartbeats are seconds late.
	settleTime = 10 * time.Second
	// fetchTimeout bounds one fetch from a peer.
	fetchTimeout = time.Second
	// fetchPeers is the number of peers asked in one round when nothing is known about them.
	fetchPeers = 3
)

// Options configure a Follower.
type Options struct {
	Log   platformlog.Log
	Clock clock.Clock
	// Boot defaults to SystemBootClock. Tests derive it from a manual clock.
	Boot BootClock
	// Peers and Fleet may be nil; the follower then knows the log only.
	Peers Peers
	Fleet Fleet
	// Rand is the source of jitter. Default: a random seed.
	Rand *rand.Rand
}

// Follower follows the configuration log and publishes the preset in force. It implements Current.
type Follower struct {
	log   platformlog.Log
	clock clock.Clock
	peers Peers
	fleet Fleet
	gate  gate

	mu      sync.Mutex
	rand    *rand.Rand
	reader  *reader
	atEnd   bool                 // the log's end was reached once, or a sound peer gave its state
	read    map[string]time.Time // when this VM first held each pending proposal
	confirm confirmation
	tick    time.Duration // boot time of the last mark that the process ran
	paused  bool          // a pause was found and the state is not checked yet
	resumed time.Duration // boot time at which the pause was found
	settle  settling
	contact time.Duration // boot time at the start of the last read that was answered
	heard   time.Duration // boot time of the latest news: contact or a peer with a later position

	retention time.Duration
	snapshot  time.Time     // when this VM last read a snapshot record
	changed   chan struct{} // closed and replaced after each change
	wake      chan struct{} // asks for a round of fetches
	fetchFrom string        // peer that is known to be ahead; empty: any
	events    *eventRing
}

// NewFollower returns a follower that has read nothing. Run starts it.
func NewFollower(o Options) *Follower {
	if o.Boot == nil {
		o.Boot = SystemBootClock
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	f := &Follower{
		log: o.Log, clock: o.Clock, peers: o.Peers, fleet: o.Fleet, rand: o.Rand,
		gate: gate{boot: o.Boot}, reader: newReader(), read: map[string]time.Time{},
		changed: make(chan struct{}), wake: make(chan struct{}, 1), events: newEventRing(),
	}
	f.tick = o.Boot()
	return f
}

// InForce implements Current.
func (f *Follower) InForce() *Effective { return f.gate.inForce() }

// Reason implements Current.
func (f *Follower) Reason() Reason {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.gate.boot()
	switch {
	case f.reader.gap():
		return ReasonGap
	case !f.atEnd:
		return ReasonNotStarted
	case f.reader.state.Version == NoVersion:
		return ReasonNoConfiguration
	case f.paused || now > f.tick+doubtAfter:
		return ReasonStale
	case f.bound() && now > f.doubtFrom():
		return ReasonInDoubt
	}
	return ""
}

// Run follows the log until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { f.readLog(ctx) })
	group.Go(func() { f.markTime(ctx) })
	if f.peers != nil && f.fleet != nil {
		group.Go(func() { f.fetchStates(ctx) })
	}
	group.Wait()
}

// readLog is the goroutine that reads the log.
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
	from, wait, sent := f.reader.next(), pollWait, f.gate.boot()
	switch {
	case f.paused || !f.atEnd:
		wait = 0 // the answer is needed at once, also when there is nothing new
	case f.bound():
		wait = boundWait
	}
	f.mu.Unlock()
	batch, err := f.log.Read(ctx, Stream, from, wait)
	if err != nil {
		if ctx.Err() == nil {
			klog.V(1).InfoS("cannot read the configuration log", "from", from, "err", err)
		}
		return err
	}
	return f.handleBatch(batch, from, sent)
}

// errNoProgress reports a batch that brought nothing while there is a gap.
var errNoProgress = errors.New("no snapshot closes the gap in the configuration log")

func (f *Follower) handleBatch(b platformlog.Batch, from int64, sent time.Duration) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.publish()
	f.retention = b.Retention()
	if from != f.reader.next() {
		return nil // a peer's state was taken during the read
	}
	events, atEnd := f.reader.feed(b)
	f.handleEvents(events)
	if f.reader.gap() {
		if f.reader.next() >= b.Next {
			return errNoProgress
		}
		return nil
	}
	if !atEnd {
		return nil
	}
	f.started()
	f.checked(sent)
	return nil
}

// started notes that the state is complete for the first time. Peers are asked how long they hold what is pending.
func (f *Follower) started() {
	if f.atEnd {
		return
	}
	f.atEnd = true
	f.settle = settling{active: true, from: f.gate.boot()}
	f.requestFetch("")
}

// checked notes an answer to a question that was sent at the given boot time: the state was current then.
func (f *Follower) checked(sent time.Duration) {
	f.contact = max(f.contact, sent)
	f.news(sent)
}

// news notes that a later or complete state was learnt from a question that was sent at the given boot time.
func (f *Follower) news(sent time.Duration) {
	f.heard = max(f.heard, sent)
	if sent >= f.settle.from+settleTime {
		f.settle.active = false
	}
	// An answer to a question from before the pause can be as old as the pause.
	if sent >= f.resumed {
		f.paused = false
	}
}

// handleEvents keeps the times of pending proposals and wakes those who wait for events.
func (f *Follower) handleEvents(events []Event) {
	for _, ev := range events {
		if ev.Kind != Snapshotted && ev.Kind != Repeated {
			klog.InfoS("configuration record", "kind", ev.Kind, "offset", ev.Offset, "proposal", ev.Proposal,
				"object", ev.Object, "versionInForce", ev.InForce, "reason", ev.Reason)
		}
		if ev.Kind == Snapshotted {
			f.snapshot = f.clock.Now()
		}
		f.events.add(ev)
	}
	f.notePending()
}

// notePending starts the veto period of proposals that are new to this VM and forgets decided ones.
func (f *Follower) notePending() {
	pending := f.reader.state.Pending
	for id := range f.read {
		if _, ok := pending[id]; !ok {
			delete(f.read, id)
		}
	}
	for id := range pending {
		if _, ok := f.read[id]; !ok {
			f.read[id] = f.clock.Now()
		}
	}
	f.confirm.settle(f.reader.state)
}

func (f *Follower) jitter(low, high time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return low + time.Duration(f.rand.Int64N(int64(high-low)+1))
}

// View returns a copy of the state as this VM has read it, and a channel that is closed at the next change.
func (f *Follower) View() (*State, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reader.state.clone(), f.changed
}

// Status is what heartbeats and the administration API say about the follower.
type Status struct {
	Version, Position int64
	// LogAge is the time since the last contact with the log; negative without any.
	LogAge time.Duration
	Reason Reason
}

// Status returns the version, position and age of the last log contact.
func (f *Follower) Status() Status {
	reason := f.Reason()
	f.mu.Lock()
	defer f.mu.Unlock()
	age := time.Duration(-1)
	if f.contact > 0 {
		age = f.gate.boot() - f.contact
	}
	return Status{Version: f.reader.state.Version, Position: f.reader.state.Position, LogAge: age, Reason: reason}
}
