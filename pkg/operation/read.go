package operation

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/platformlog"
)

const (
	// initialReadWindow is the number of records at the log's end that a VM reads at its start to find a snapshot.
	// MaxHolders VMs append 2 renewals per second and a snapshot at least every 15 minutes, which is 1,800 records.
	initialReadWindow = 2048
	// readWindowGrowth is the factor by which the window grows when it contains no snapshot.
	readWindowGrowth = 4
)

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
