package operation

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/pkg/platformlog"
)

// reconcile compares the ownership with the plan, starts transfers and appends the records that are due. It is called at the
// head of the log, with mu held. appended reports whether it appended any record.
func (m *RangeManager) reconcile(ctx context.Context, readStart time.Time, retention time.Duration) (appended bool, err error) {
	if !m.table.Ready {
		return true, m.append(ctx, LogRecord{Kind: KindReset, Expect: m.table.Next})
	}
	m.updateHolders(readStart)
	m.rebalanceNeeded = slices.ContainsFunc(m.table.Ranges[:],
		func(s RangeState) bool { return !slices.Contains(m.selectedHolders, s.VM) })
	plan, ok := m.planOwnership(readStart)
	if ok {
		m.startTransfers(plan)
	}
	m.startSenders()
	records := m.releaseRecords()
	if claim := m.claimRecord(plan, readStart); len(claim.Ranges) > 0 {
		records = append(records, claim)
	}
	now := m.Clock.Now()
	// A holder without ranges renews too, because only VMs with recent log records are assigned ranges.
	if (len(m.heldRanges) > 0 || m.isHolder()) && m.renewalDue(now) {
		m.lastRenewal = now
		records = append(records, LogRecord{Kind: KindRenew})
	}
	if m.isHolder() && m.snapshotDue(now, retention) {
		m.lastSnapshot = now
		records = append(records, m.table.snapshot(m.Self))
	}
	for _, r := range records {
		if err := m.append(ctx, r); err != nil {
			return false, err
		}
	}
	return len(records) > 0, nil
}

// append appends one record to the log. It releases mu during the call. Whether an append with an unknown result took effect
// is determined by the following reads.
func (m *RangeManager) append(ctx context.Context, r LogRecord) error {
	m.sequence++
	r.VM, r.Incarnation, r.Sequence = m.Self.VM, m.Self.Incarnation, m.sequence
	sent := m.Clock.Now()
	for sequence, at := range m.sentAt {
		if sent.Sub(at) > LeaseDuration {
			delete(m.sentAt, sequence)
		}
	}
	m.sentAt[r.Sequence] = sent
	newlyClaimed := m.recordClaim(r)
	m.logCallStart = sent
	m.mu.Unlock()
	_, err := m.Log.Append(ctx, Stream, r)
	m.mu.Lock()
	m.logCallStart = time.Time{}
	m.logFailed = m.logFailed || err != nil
	if errors.Is(err, platformlog.ErrUnavailable) {
		// The append has not taken effect. An earlier claim on the same base may still take effect, so its entry remains.
		for _, keyRange := range newlyClaimed {
			delete(m.claimBase, keyRange)
		}
	}
	if errors.Is(err, platformlog.ErrUnknownAppend) {
		return nil
	}
	return err
}

// renewalDue reports whether the last renewal that was read back is at least RenewInterval old. A renewal that was sent and
// not read back, because the append failed or its response was lost, is repeated after pollInterval.
func (m *RangeManager) renewalDue(now time.Time) bool {
	return now.Sub(m.confirmedRenewal) >= RenewInterval && now.Sub(m.lastRenewal) >= pollInterval
}

// snapshotDue reports whether this VM should append a snapshot.
func (m *RangeManager) snapshotDue(now time.Time, retention time.Duration) bool {
	if retention <= 0 {
		return false
	}
	interval := min(retention/4, maxSnapshotInterval)
	// The interval differs per VM, so that usually only one of them writes the snapshot.
	jitter := time.Duration(xxhash.Sum64String(m.Self.VM) % uint64(interval/2+1))
	since := m.lastSnapshot
	if m.lastSnapshot.IsZero() {
		since = m.atHeadSince
	}
	return m.table.Next > 0 && now.Sub(since) >= interval+jitter
}
