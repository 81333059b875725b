package operation

import (
	"context"
	"strconv"
	"time"

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
