package operation

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/platformlog"
	"k8s.io/klog/v2"
)

const (
	// pollInterval is the time between two reads of the stream while ranges move. Long polls would wake every VM at
	// every renewal.
	pollInterval = time.Second
	// quietInterval is the time between two reads while every range is where it should be.
	quietInterval = RenewInterval
	// startWindow is the number of records before the log's end from which a VM starts to read, to find a snapshot there.
	// MaxHolders VMs append 2 renewals a second and a snapshot at least every 15 minutes, which are 1,800 records.
	startWindow = 2048
	// startWidening multiplies the window when it holds no snapshot.
	startWidening = 4
	// maxSnapshotInterval bounds the time between snapshots when the log keeps records for long.
	maxSnapshotInterval = 10 * time.Minute
	// settleDelay is the time at the log's head after which a VM has read a renewal of every VM that keeps up.
	settleDelay = RenewInterval + pollInterval
	// handoverWait is the time that running operations get to finish before their range is exported.
	handoverWait = time.Second
	// handoverTimeout bounds the transfer of all ranges that go to one VM.
	handoverTimeout = 5 * time.Second
	// releaseWait is the time after the last chunk within which the release of a range is read, if the sender got the
	// confirmation: one poll of each side and a slow append.
	releaseWait = 4 * time.Second
	// handoverBackoff is the wait after a failed transfer.
	handoverBackoff = 5 * time.Second
)

// ErrNoSuccessor reports a drain that ended before every range was handed over; the rest is taken over uncleanly.
var ErrNoSuccessor = errors.New("key ranges not handed over")

// RangeOptions are the parts of a RangeManager.
type RangeOptions struct {
	Clock  clock.Clock
	Log    platformlog.Log
	Peers  Peers
	Ledger *Ledger
	Self   Self
	// Alive returns the entry VMs that are alive and not leaving, in all regions that this VM hears from. At most
	// MaxHolders of them hold ranges.
	Alive func() []Candidate
	// Voters returns the VMs that have to promise before a lease is extended without the log: every entry VM that the
	// platform's list shows and every member that is not dead. known is false unless the list was read lately. Default:
	// leases are renewed through the log only.
	Voters func() (vms []string, known bool)
	// Go runs a transfer beside the manager's own goroutine. Default: a new goroutine.
	Go func(func())
}

// hold is a range that this process owns by the log as far as it was read.
type hold struct {
	epoch     int64
	leaseEnd  time.Time
	cleanFrom time.Time
}

type process struct {
	vm          string
	incarnation uint64
}

// RangeManager keeps the leases of this VM's ranges and implements Ranges. Run has one goroutine for the log and one that
// extends leases while the log fails.
type RangeManager struct {
	RangeOptions
	holdings atomic.Pointer[[RangeCount]Holding]
	wake     chan struct{}

	mu        sync.Mutex
	table     Table
	holds     map[int]*hold
	stages    map[int]*stage
	transfers map[int]*transfer
	// sent is the time before the append of each recent record of this process, by sequence.
	sent     map[uint64]time.Time
	sequence uint64
	// heard and changed are the times at which this VM read a process's last record and a range's last change.
	heard   map[process]time.Time
	heardVM map[string]time.Time
	changed [RangeCount]time.Time
	// headSince is the time since which this VM has been at the log's head; zero while it is not.
	headSince time.Time
	// lastRenewal and confirmed are the times before the last renewal was sent, and before the last one that was read back.
	lastRenewal  time.Time
	confirmed    time.Time
	lastSnapshot time.Time
	backoff      map[string]time.Time
	draining     bool
	holders      holders
	// chosen are the VMs that should hold ranges, as of the last step at the log's head.
	chosen []string
	// window is the number of records at the log's end that this VM reads to start; 0 before the first read.
	window int64
	// reachedHead says that this VM has read up to the log's head since its start.
	reachedHead bool
	// claimed is the epoch that the last claim of each range was based on. It does not count once the epoch has changed.
	claimed map[int]int64
	// logFailed says that a call to the log failed since the last renewal was read back; logCall is the start of the
	// call under way, zero if there is none.
	logFailed bool
	logCall   time.Time
	// lastKeep is when the other VMs were last asked to keep the leases.
	lastKeep time.Time
	// unsettled says that at the last step a range had no owner or one that should not hold ranges.
	unsettled bool
	// unclean counts the ranges of one batch that this VM got without their memory.
	unclean int
}

// NewRangeManager returns a manager that owns nothing until Run has claimed ranges.
func NewRangeManager(o RangeOptions) *RangeManager {
	if o.Go == nil {
		o.Go = func(f func()) { go f() }
	}
	m := &RangeManager{
		RangeOptions: o,
		wake:         make(chan struct{}, 1),
		holds:        map[int]*hold{},
		stages:       map[int]*stage{},
		transfers:    map[int]*transfer{},
		sent:         map[uint64]time.Time{},
		heard:        map[process]time.Time{},
		heardVM:      map[string]time.Time{},
		backoff:      map[string]time.Time{},
		claimed:      map[int]int64{},
	}
	m.holdings.Store(&[RangeCount]Holding{})
	return m
}

// Holding implements Ranges without a lock.
func (m *RangeManager) Holding(keyRange int) Holding { return m.holdings.Load()[keyRange] }

// Run keeps the leases until ctx ends.
func (m *RangeManager) Run(ctx context.Context) {
	var keeper sync.WaitGroup
	defer keeper.Wait()
	keeper.Go(func() { m.keepRun(ctx) })
	for ctx.Err() == nil {
		more, err := m.Step(ctx)
		if err != nil {
			klog.V(1).InfoS("operation log step failed", "err", err)
		}
		if more && err == nil {
			continue
		}
		select {
		case <-ctx.Done():
		case <-m.wake:
		case <-m.Clock.After(m.interval()):
		}
	}
}

// interval is the time until the next read.
func (m *RangeManager) interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.draining || m.unsettled || m.headSince.IsZero() || len(m.transfers)+len(m.stages) > 0 ||
		m.lastRenewal.After(m.confirmed) {
		return pollInterval
	}
	return quietInterval
}

// Step reads the stream once and acts on it. More says that there is more to read at once.
func (m *RangeManager) Step(ctx context.Context) (more bool, err error) {
	// Silence is measured up to the time before the read, so that a pause after the read looks like no silence.
	before := m.Clock.Now()
	batch, err := m.Log.Read(ctx, Stream, m.next(before), 0)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.logCall = time.Time{}
	if err != nil {
		m.headSince, m.logFailed = time.Time{}, true
		return false, err
	}
	now := m.Clock.Now()
	if m.seek(batch) {
		return true, nil
	}
	m.apply(now, batch)
	if m.table.Next < batch.Next {
		m.headSince = time.Time{}
		return len(batch.Records) > 0, nil
	}
	if m.widen(batch) {
		return true, nil
	}
	if m.headSince.IsZero() {
		m.headSince = now
	}
	m.reachedHead = true
	return m.act(ctx, before, batch.Retention())
}

// seek moves the start to startWindow records before the log's end, so that the time to read them is bounded whatever the
// retention. It reports that the batch is not to be applied.
func (m *RangeManager) seek(batch platformlog.Batch) bool {
	if m.window > 0 {
		return false
	}
	m.window = startWindow
	return m.startAt(batch)
}

// widen goes further back when the records up to the log's end held no usable snapshot and there are older ones.
func (m *RangeManager) widen(batch platformlog.Batch) bool {
	if m.table.Ready || m.table.begin <= batch.First {
		return false
	}
	m.window *= startWidening
	m.table = Table{}
	m.startAt(batch)
	return true
}

func (m *RangeManager) startAt(batch platformlog.Batch) bool {
	from := batch.Next - m.window
	if from <= batch.First {
		return false
	}
	m.table.Skip(from)
	return true
}

// next returns the offset to read from and notes the start of the read.
func (m *RangeManager) next(now time.Time) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.logCall = now
	return m.table.Next
}

func (m *RangeManager) apply(now time.Time, batch platformlog.Batch) {
	m.table.Skip(batch.First)
	for _, r := range batch.Records {
		e := m.table.Apply(r)
		m.observe(now, &e)
	}
	if m.unclean > 0 {
		klog.InfoS("key ranges taken over without their memory", "ranges", m.unclean, "window", UncleanWindow)
		m.unclean = 0
	}
	if len(batch.Records) > 0 || !m.table.Ready {
		m.publish()
	}
}

// publish makes the ownership visible to Holding.
func (m *RangeManager) publish() {
	var all [RangeCount]Holding
	if m.table.Ready {
		for r, s := range m.table.Ranges {
			if s.VM == "" {
				continue
			}
			all[r] = Holding{Known: true, Owner: Owner{VM: s.VM, Incarnation: s.Incarnation, Forward: s.Forward}}
			if h := m.holds[r]; h != nil {
				all[r].Owner.Local, all[r].LeaseEnd, all[r].CleanFrom = true, h.leaseEnd, h.cleanFrom
			}
		}
	}
	m.holdings.Store(&all)
}

// Receive stores a chunk that another VM hands over (Peers.Handover on the other side). Error: ErrHandoverRefused.
func (m *RangeManager) Receive(c Chunk) error {
	if c.Range < 0 || c.Range >= RangeCount || c.Handover == "" {
		return errors.Wrapf(ErrHandoverRefused, "range %d, handover %q", c.Range, c.Handover)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	staged := len(c.Entries)
	for _, s := range m.stages {
		staged += len(s.entries)
	}
	if m.draining || m.headSince.IsZero() || staged > m.Ledger.room() {
		return errors.Wrap(ErrHandoverRefused, "draining, behind the log, or memory full")
	}
	if len(m.stages) == 0 {
		// The release follows soon, so the interval between reads becomes the short one.
		m.poke()
	}
	st := m.stages[c.Range]
	if st == nil || (c.Index == 0 && st.handover != c.Handover) {
		st = &stage{handover: c.Handover}
		m.stages[c.Range] = st
	}
	st.at = m.Clock.Now()
	return st.add(st.at, c)
}

// Drain implements Ranges. Run must go on meanwhile. Error: ErrNoSuccessor when ctx ends first.
func (m *RangeManager) Drain(ctx context.Context) error {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	for {
		m.poke()
		if m.held() == 0 && m.expected() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ErrNoSuccessor, "%d ranges left, %d expected", m.held(), m.expected())
		case <-m.Clock.After(pollInterval / 10):
		}
	}
}

func (m *RangeManager) held() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.holds)
}

// expected returns the number of ranges of which this VM has all the memory and may still become the owner.
func (m *RangeManager) expected() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, now := 0, m.Clock.Now()
	for _, s := range m.stages {
		if s.complete && now.Sub(s.at) < releaseWait {
			n++
		}
	}
	return n
}

// poke makes Run step at once.
func (m *RangeManager) poke() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}
