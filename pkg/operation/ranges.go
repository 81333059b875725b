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
	// pollInterval is the time between two reads of the stream while ranges move. Long polling would wake every VM at
	// every renewal.
	pollInterval = time.Second
	// idlePollInterval is the time between two reads while every range has the planned owner.
	idlePollInterval = RenewInterval
	// initialReadWindow is the number of records at the log's end that a VM reads at its start to find a snapshot.
	// MaxHolders VMs append 2 renewals per second and a snapshot at least every 15 minutes, which is 1,800 records.
	initialReadWindow = 2048
	// readWindowGrowth is the factor by which the window grows when it contains no snapshot.
	readWindowGrowth = 4
	// maxSnapshotInterval limits the time between snapshots when the log's retention is long.
	maxSnapshotInterval = 10 * time.Minute
	// settleDelay is the time at the log's head after which this VM has read a renewal of every VM that renews on time.
	settleDelay = RenewInterval + pollInterval
	// handoverGracePeriod is the time for which running operations may finish before their range is exported.
	handoverGracePeriod = time.Second
	// handoverTimeout limits the transfer of all ranges that are handed over to one VM.
	handoverTimeout = 5 * time.Second
	// releaseTimeout is the time after the last chunk within which the release of a range is read, if the sender received
	// the confirmation. It covers one poll of each side and a slow append.
	releaseTimeout = 4 * time.Second
	// handoverBackoff is the time without further transfers to a VM after a transfer to it failed.
	handoverBackoff = 5 * time.Second
)

// ErrDrainIncomplete reports a drain that ended before every range was handed over. Other VMs claim the
// remaining ranges without their memory.
var ErrDrainIncomplete = errors.New("key ranges not handed over")

// RangeOptions are the dependencies of a RangeManager.
type RangeOptions struct {
	Clock  clock.Clock
	Log    platformlog.Log
	Peers  Peers
	Ledger *Ledger
	Self   Self
	// Alive returns the entry VMs that are alive and not leaving, in all regions from which this VM receives heartbeats. At
	// most MaxHolders of them hold ranges.
	Alive func() []Candidate
	// Voters returns the VMs that must grant an extension before a lease is extended without the log: every entry VM on the
	// platform's list and every member that is not dead. known is false unless the list was read recently. Default:
	// leases are renewed through the log only.
	Voters func() (vms []string, known bool)
	// Go runs a transfer concurrently with Run. Default: in a new goroutine.
	Go func(func())
}

// heldRange is a range that this process owns according to the log records read so far.
type heldRange struct {
	epoch    int64
	leaseEnd time.Time
	// admitFrom is the time from which new keys of the range may run.
	admitFrom time.Time
}

// process is one incarnation of a VM.
type process struct {
	vm          string
	incarnation uint64
}

// RangeManager maintains the leases of this VM's ranges and implements Ranges. Run uses one goroutine for the log and one
// that extends leases while the log is unavailable.
type RangeManager struct {
	RangeOptions
	holdings atomic.Pointer[[RangeCount]Holding]
	wake     chan struct{}

	mu           sync.Mutex
	table        Table
	heldRanges   map[int]*heldRange
	stagedRanges map[int]*stagedRange
	transfers    map[int]*transfer
	// sentAt is the time just before the append of each recent record of this process, by sequence.
	sentAt   map[uint64]time.Time
	sequence uint64
	// lastSeen, lastSeenVM and changedAt are the times at which this VM read the last record of a process, the last record
	// of a VM and the last change of a range.
	lastSeen   map[process]time.Time
	lastSeenVM map[string]time.Time
	changedAt  [RangeCount]time.Time
	// atHeadSince is the time since which this VM has been at the log's head; zero while it is not.
	atHeadSince time.Time
	// lastRenewal is the time just before the last renewal was sent; confirmedRenewal is the same for the last renewal that
	// was read back.
	lastRenewal      time.Time
	confirmedRenewal time.Time
	lastSnapshot     time.Time
	backoffUntil     map[string]time.Time
	draining         bool
	selector         holderSelector
	// selectedHolders are the VMs that should hold ranges, as of the last step at the log's head.
	selectedHolders []string
	// readWindow is the number of records at the log's end that this VM reads at its start; 0 before the first read.
	readWindow int64
	// reachedHead is true once this VM has read up to the log's head since its start.
	reachedHead bool
	// claimBase is the epoch on which the last claim of each range was based. It is obsolete once the epoch has changed.
	claimBase map[int]int64
	// logFailed reports whether a call to the log has failed since the last renewal was read back; logCallStart is the
	// start of the call in progress, zero if there is none.
	logFailed    bool
	logCallStart time.Time
	// lastExtensionRequest is the time of the last extension request to the other VMs.
	lastExtensionRequest time.Time
	// rebalanceNeeded reports whether at the last step a range had no owner or an owner that should not hold ranges.
	rebalanceNeeded bool
	// uncleanTakeovers counts the ranges of one batch that this VM acquired without their memory.
	uncleanTakeovers int
}

// NewRangeManager returns a manager that owns no ranges until Run has claimed some.
func NewRangeManager(o RangeOptions) *RangeManager {
	if o.Go == nil {
		o.Go = func(f func()) { go f() }
	}
	m := &RangeManager{
		RangeOptions: o,
		wake:         make(chan struct{}, 1),
		heldRanges:   map[int]*heldRange{},
		stagedRanges: map[int]*stagedRange{},
		transfers:    map[int]*transfer{},
		sentAt:       map[uint64]time.Time{},
		lastSeen:     map[process]time.Time{},
		lastSeenVM:   map[string]time.Time{},
		backoffUntil: map[string]time.Time{},
		claimBase:    map[int]int64{},
	}
	m.holdings.Store(&[RangeCount]Holding{})
	return m
}

// Holding implements Ranges. It does not lock.
func (m *RangeManager) Holding(keyRange int) Holding { return m.holdings.Load()[keyRange] }

// Run maintains the leases until ctx ends.
func (m *RangeManager) Run(ctx context.Context) {
	var extender sync.WaitGroup
	defer extender.Wait()
	extender.Go(func() { m.runLeaseExtension(ctx) })
	for ctx.Err() == nil {
		more, err := m.Step(ctx)
		if err != nil {
			klog.V(1).InfoS("failed to read the operation log or to append to it; retrying", "err", err)
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

// interval returns the time until the next read.
func (m *RangeManager) interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.draining || m.rebalanceNeeded || m.atHeadSince.IsZero() || len(m.transfers)+len(m.stagedRanges) > 0 ||
		m.lastRenewal.After(m.confirmedRenewal) {
		return pollInterval
	}
	return idlePollInterval
}

// Step reads the stream once, applies the records and appends the records that are due. more reports whether the next read
// should follow immediately.
func (m *RangeManager) Step(ctx context.Context) (more bool, err error) {
	// The time without records of an owner is measured up to the start of the read, so that a pause of this process after
	// the read is not mistaken for a stale owner.
	readStart := m.Clock.Now()
	batch, err := m.Log.Read(ctx, Stream, m.beginRead(readStart), 0)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.logCallStart = time.Time{}
	if err != nil {
		m.atHeadSince, m.logFailed = time.Time{}, true
		return false, err
	}
	now := m.Clock.Now()
	if m.seekStart(batch) {
		return true, nil
	}
	m.apply(now, batch)
	if m.table.Next < batch.Next {
		m.atHeadSince = time.Time{}
		return len(batch.Records) > 0, nil
	}
	if m.widenReadWindow(batch) {
		return true, nil
	}
	if m.atHeadSince.IsZero() {
		m.atHeadSince = now
	}
	m.reachedHead = true
	return m.reconcile(ctx, readStart, batch.Retention())
}

// seekStart moves the start to initialReadWindow records before the log's end, so that the time to read them is bounded for
// any retention. It reports whether the batch must be skipped.
func (m *RangeManager) seekStart(batch platformlog.Batch) bool {
	if m.readWindow > 0 {
		return false
	}
	m.readWindow = initialReadWindow
	return m.startAt(batch)
}

// widenReadWindow starts again from an earlier offset if the records up to the log's end contained no usable snapshot and
// older records exist. It reports whether it did so.
func (m *RangeManager) widenReadWindow(batch platformlog.Batch) bool {
	if m.table.Ready || m.table.contiguousFrom <= batch.First {
		return false
	}
	m.readWindow *= readWindowGrowth
	m.table = Table{}
	m.startAt(batch)
	return true
}

// startAt skips the records before the read window. It returns false if all retained records are within the window.
func (m *RangeManager) startAt(batch platformlog.Batch) bool {
	from := batch.Next - m.readWindow
	if from <= batch.First {
		return false
	}
	m.table.Skip(from)
	return true
}

// beginRead returns the offset to read from and stores the start time of the read.
func (m *RangeManager) beginRead(now time.Time) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.logCallStart = now
	return m.table.Next
}

func (m *RangeManager) apply(now time.Time, batch platformlog.Batch) {
	m.table.Skip(batch.First)
	for _, r := range batch.Records {
		e := m.table.Apply(r)
		m.observe(now, &e)
	}
	if m.uncleanTakeovers > 0 {
		klog.InfoS("took over key ranges without their operation memory", "ranges", m.uncleanTakeovers, "window", UncleanWindow)
		m.uncleanTakeovers = 0
	}
	if len(batch.Records) > 0 || !m.table.Ready {
		m.publish()
	}
}

// publish updates the ownership that Holding returns.
func (m *RangeManager) publish() {
	var all [RangeCount]Holding
	if m.table.Ready {
		for r, s := range m.table.Ranges {
			if s.VM == "" {
				continue
			}
			all[r] = Holding{Known: true, Owner: Owner{VM: s.VM, Incarnation: s.Incarnation, Forward: s.Forward}}
			if h := m.heldRanges[r]; h != nil {
				all[r].Owner.Local, all[r].LeaseEnd, all[r].AdmitFrom = true, h.leaseEnd, h.admitFrom
			}
		}
	}
	m.holdings.Store(&all)
}

// ReceiveChunk stages a chunk that another VM sent with Peers.Handover. Error: ErrHandoverRefused.
func (m *RangeManager) ReceiveChunk(c Chunk) error {
	if c.Range < 0 || c.Range >= RangeCount || c.Handover == "" {
		return errors.Wrapf(ErrHandoverRefused, "invalid chunk: range %d, handover %q", c.Range, c.Handover)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	staged := len(c.Entries)
	for _, s := range m.stagedRanges {
		staged += len(s.entries)
	}
	if m.draining || m.atHeadSince.IsZero() || staged > m.Ledger.freeEntries() {
		return errors.Wrap(ErrHandoverRefused, "this VM is draining, is behind the log's head, or its operation memory is full")
	}
	if len(m.stagedRanges) == 0 {
		// The release follows soon, so the log is read immediately and then at pollInterval.
		m.requestStep()
	}
	st := m.stagedRanges[c.Range]
	if st == nil || (c.Index == 0 && st.handover != c.Handover) {
		st = &stagedRange{handover: c.Handover}
		m.stagedRanges[c.Range] = st
	}
	st.receivedAt = m.Clock.Now()
	return st.addChunk(st.receivedAt, c)
}

// Drain implements Ranges. Run must be running meanwhile. Error: ErrDrainIncomplete if ctx ends first.
func (m *RangeManager) Drain(ctx context.Context) error {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	for {
		m.requestStep()
		if m.heldCount() == 0 && m.expectedCount() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ErrDrainIncomplete, "%d ranges still held, %d ranges expected from other VMs",
				m.heldCount(), m.expectedCount())
		case <-m.Clock.After(pollInterval / 10):
		}
	}
}

func (m *RangeManager) heldCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.heldRanges)
}

// expectedCount returns the number of ranges whose memory this VM has received completely and whose owner it may still
// become.
func (m *RangeManager) expectedCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, now := 0, m.Clock.Now()
	for _, s := range m.stagedRanges {
		if s.complete && now.Sub(s.receivedAt) < releaseTimeout {
			n++
		}
	}
	return n
}

// requestStep makes Run call Step immediately.
func (m *RangeManager) requestStep() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}
