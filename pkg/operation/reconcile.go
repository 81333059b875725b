package operation

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/hornbeamway/hornbeamway/pkg/platformlog"
	"k8s.io/klog/v2"
)

// phase is the progress of a transfer.
type phase uint8

const (
	// phaseFrozen: no new key starts; running operations may finish.
	phaseFrozen phase = iota
	// phaseSending: the chunks are being sent.
	phaseSending
	// phaseConfirmed: the successor has all chunks; the release is appended repeatedly until it is read back. From the
	// first append on the transfer cannot be cancelled, because the append may take effect although its response is lost.
	phaseConfirmed
)

// transfer is the handover of one range to a successor.
type transfer struct {
	keyRange  int
	successor string
	id        string
	startedAt time.Time
	phase     phase
}

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

// recordClaim stores the base of each range of a pending claim and returns the ranges that had no pending claim on this base.
func (m *RangeManager) recordClaim(r LogRecord) (newlyClaimed []int) {
	if r.Kind != KindClaim {
		return nil
	}
	for _, ref := range r.Ranges {
		if base, ok := m.claimBase[ref.Range]; !ok || base != ref.Base {
			m.claimBase[ref.Range] = ref.Base
			newlyClaimed = append(newlyClaimed, ref.Range)
		}
	}
	return newlyClaimed
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

// ownerStale reports whether this VM has read no record of a range's owner and no change of the range for TakeoverDelay.
func (m *RangeManager) ownerStale(r int, readStart time.Time) bool {
	s := m.table.Ranges[r]
	latest := m.atHeadSince
	for _, at := range []time.Time{m.changedAt[r], m.lastSeen[process{s.VM, s.Incarnation}]} {
		if at.After(latest) {
			latest = at
		}
	}
	return readStart.Sub(latest) >= TakeoverDelay
}

// claimable reports whether this VM may claim a range.
func (m *RangeManager) claimable(r int, readStart time.Time) bool {
	s := m.table.Ranges[r]
	switch {
	case s.ownedBy(m.Self.VM, m.Self.Incarnation):
		return false
	case s.VM == "" && s.Successor == "":
		return readStart.Sub(m.atHeadSince) >= settleDelay
	}
	return m.ownerStale(r, readStart)
}

// seenRecently reports whether a record of a VM was read within TakeoverDelay. A VM that is alive but cannot reach the log is
// assigned no ranges.
func (m *RangeManager) seenRecently(vm string, readStart time.Time) bool {
	at, ok := m.lastSeenVM[vm]
	if m.atHeadSince.After(at) {
		at = m.atHeadSince
	}
	return ok && readStart.Sub(at) < TakeoverDelay
}

// updateHolders updates the VMs that should hold ranges.
func (m *RangeManager) updateHolders(readStart time.Time) {
	alive := m.Alive()
	if !m.draining && !slices.ContainsFunc(alive, func(c Candidate) bool { return c.VM == m.Self.VM }) {
		alive = append(alive, Candidate{VM: m.Self.VM})
	}
	m.selectedHolders = m.selector.selectHolders(readStart, m.Self.VM, alive, func(vm string) time.Time {
		if at := m.lastSeenVM[vm]; at.After(m.atHeadSince) {
			return at
		}
		return m.atHeadSince
	})
}

// isHolder reports whether this VM should hold ranges.
func (m *RangeManager) isHolder() bool {
	return !m.draining && slices.Contains(m.selectedHolders, m.Self.VM)
}

// planOwnership returns the VM that should own each range. VMs without recent log records are assigned no ranges. The result
// is false if no VM can own ranges.
func (m *RangeManager) planOwnership(readStart time.Time) ([RangeCount]string, bool) {
	var owners [RangeCount]string
	for r, s := range m.table.Ranges {
		// At most one of the two is set.
		owner := s.VM + s.Successor
		switch {
		case s.VM == m.Self.VM && s.Incarnation != m.Self.Incarnation:
		case owner != "" && owner != m.Self.VM && m.ownerStale(r, readStart):
			// The owner is stale, so the range is free for the other VMs.
		default:
			owners[r] = owner
		}
	}
	var alive []string
	for _, vm := range m.selectedHolders {
		if vm != m.Self.VM && m.seenRecently(vm, readStart) {
			alive = append(alive, vm)
		}
	}
	if m.isHolder() {
		alive = append(alive, m.Self.VM)
	}
	if len(alive) == 0 {
		return owners, false
	}
	return planOwners(owners, alive), true
}

// claimRecord returns a claim of the ranges that this VM should and may claim now.
func (m *RangeManager) claimRecord(plan [RangeCount]string, readStart time.Time) LogRecord {
	record := LogRecord{Kind: KindClaim, Forward: m.Self.Forward.String()}
	for r, vm := range plan {
		s := m.table.Ranges[r]
		// Only the successor of the release has the memory, so it claims the range even if the plan has changed since, or
		// if it has begun to drain. In that case it hands the range over to another VM.
		isSuccessor := s.VM == "" && s.Successor == m.Self.VM
		if isSuccessor && (!m.draining || m.stagedRanges[r] != nil) ||
			!m.draining && vm == m.Self.VM && m.claimable(r, readStart) {
			record.Ranges = append(record.Ranges, RangeRef{Range: r, Base: s.Epoch})
		}
	}
	return record
}

// startTransfers starts a transfer for each held range that another VM should own, and freezes the range.
func (m *RangeManager) startTransfers(plan [RangeCount]string) {
	now := m.Clock.Now()
	for r, h := range m.heldRanges {
		successor := plan[r]
		if successor == m.Self.VM || m.transfers[r] != nil || now.Before(m.backoffUntil[successor]) || !now.Before(h.leaseEnd) {
			continue
		}
		m.sequence++
		id := strconv.FormatUint(m.Self.Incarnation, 36) + "-" + strconv.FormatUint(m.sequence, 36)
		m.transfers[r] = &transfer{keyRange: r, successor: successor, id: id, startedAt: now}
		m.Ledger.setFrozen(r, true)
	}
}

// startSenders starts one sender per successor for the frozen ranges whose operations have finished or whose grace period has
// ended.
func (m *RangeManager) startSenders() {
	now := m.Clock.Now()
	byVM := map[string][]*transfer{}
	for r, t := range m.transfers {
		if t.phase != phaseFrozen || (m.Ledger.runningCount(r) > 0 && now.Sub(t.startedAt) < handoverGracePeriod) {
			continue
		}
		t.phase = phaseSending
		byVM[t.successor] = append(byVM[t.successor], t)
	}
	for vm, transfers := range byVM {
		m.Go(func() { m.sendRanges(vm, transfers) })
	}
}

// sendRanges transfers ranges to a VM one after the other. After the first failure the remaining transfers are cancelled.
func (m *RangeManager) sendRanges(vm string, transfers []*transfer) {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	var transferErr error
	for _, t := range transfers {
		if transferErr == nil {
			transferErr = m.sendRange(ctx, t)
		}
		m.completeTransfer(t, transferErr)
	}
	if transferErr != nil {
		klog.InfoS("failed to hand over key ranges", "ranges", len(transfers), "vm", vm, "err", transferErr)
	}
	m.requestStep()
}

// sendRange sends the memory of one range, unless its transfer has ended meanwhile.
func (m *RangeManager) sendRange(ctx context.Context, t *transfer) error {
	m.mu.Lock()
	h := m.heldRanges[t.keyRange]
	if m.transfers[t.keyRange] != t || h == nil {
		m.mu.Unlock()
		return nil
	}
	now := m.Clock.Now()
	windowLeft := h.admitFrom.Sub(now)
	m.mu.Unlock()
	for _, c := range m.Ledger.export(now, t.keyRange, t.id, windowLeft) {
		if err := m.Peers.Handover(ctx, t.successor, c); err != nil {
			return err
		}
	}
	return nil
}

// completeTransfer stores the result of sending a range. After a failure the transfer ends.
func (m *RangeManager) completeTransfer(t *transfer, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.transfers[t.keyRange] != t:
		// The transfer has ended meanwhile, because this VM no longer owns the range.
	case err == nil:
		t.phase = phaseConfirmed
	default:
		m.backoffUntil[t.successor] = m.Clock.Now().Add(handoverBackoff)
		m.endTransfer(t.keyRange)
	}
}

// endTransfer removes a transfer and unfreezes its range, so that new keys may start again if this VM still owns the range.
func (m *RangeManager) endTransfer(r int) {
	delete(m.transfers, r)
	m.Ledger.setFrozen(r, false)
}

// releaseRecords returns one release per successor for the confirmed transfers.
func (m *RangeManager) releaseRecords() []LogRecord {
	byVM := map[string]*LogRecord{}
	for r := range RangeCount {
		t := m.transfers[r]
		if t == nil || t.phase != phaseConfirmed || m.heldRanges[r] == nil {
			continue
		}
		if byVM[t.successor] == nil {
			byVM[t.successor] = &LogRecord{Kind: KindRelease, Successor: t.successor}
		}
		ref := RangeRef{Range: r, Base: m.heldRanges[r].epoch, Handover: t.id}
		byVM[t.successor].Ranges = append(byVM[t.successor].Ranges, ref)
	}
	records := make([]LogRecord, 0, len(byVM))
	for _, r := range byVM {
		records = append(records, *r)
	}
	return records
}
