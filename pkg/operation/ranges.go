package operation

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/platformlog"
)

const (
	// pollInterval is the time between two reads of the stream while ranges move. Long polling would wake every VM at
	// every renewal.
	pollInterval = time.Second
	// idlePollInterval is the time between two reads while every range has the planned owner.
	idlePollInterval = RenewInterval
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

// requestStep makes Run call Step immediately.
func (m *RangeManager) requestStep() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}
