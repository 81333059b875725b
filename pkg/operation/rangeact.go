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
	// phaseFrozen: no unfamiliar key starts; running operations may finish.
	phaseFrozen phase = iota
	// phaseSending: the chunks are on their way.
	phaseSending
	// phaseConfirmed: the successor has all chunks; the release is appended until it is read. From the first append on
	// there is no way back, because its answer may be lost after it took effect.
	phaseConfirmed
)

// transfer is the handover of one range to a successor.
type transfer struct {
	keyRange int
	to       string
	id       string
	since    time.Time
	phase    phase
}

// act appends what the ownership asks for. It is called at the head of the log, with mu held.
func (m *RangeManager) act(ctx context.Context, before time.Time, retention time.Duration) (appended bool, err error) {
	if !m.table.Ready {
		return true, m.append(ctx, LogRecord{Kind: KindReset, Expect: m.table.Next})
	}
	m.choose(before)
	m.unsettled = slices.ContainsFunc(m.table.Ranges[:], func(s RangeState) bool { return !slices.Contains(m.chosen, s.VM) })
	plan, ok := m.plan(before)
	if ok {
		m.startTransfers(plan)
	}
	m.send()
	records := m.releases()
	if claim := m.claim(plan, before); len(claim.Ranges) > 0 {
		records = append(records, claim)
	}
	now := m.Clock.Now()
	// A holder without ranges renews too: only VMs that are heard in the log are given ranges.
	if (len(m.holds) > 0 || m.holder()) && m.renewalDue(now) {
		m.lastRenewal = now
		records = append(records, LogRecord{Kind: KindRenew})
	}
	if m.holder() && m.snapshotDue(now, retention) {
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

// append sends one record without holding the lock. An unknown result is resolved by reading on.
func (m *RangeManager) append(ctx context.Context, r LogRecord) error {
	m.sequence++
	r.VM, r.Incarnation, r.Sequence = m.Self.VM, m.Self.Incarnation, m.sequence
	sent := m.Clock.Now()
	for sequence, at := range m.sent {
		if sent.Sub(at) > LeaseDuration {
			delete(m.sent, sequence)
		}
	}
	m.sent[r.Sequence] = sent
	added := m.noteClaim(r)
	m.logCall = sent
	m.mu.Unlock()
	_, err := m.Log.Append(ctx, Stream, r)
	m.mu.Lock()
	m.logCall = time.Time{}
	m.logFailed = m.logFailed || err != nil
	if errors.Is(err, platformlog.ErrUnavailable) {
		// The append has not taken effect. An earlier claim on the same base may still do.
		for _, keyRange := range added {
			delete(m.claimed, keyRange)
		}
	}
	if errors.Is(err, platformlog.ErrUnknownAppend) {
		return nil
	}
	return err
}

// noteClaim remembers the ranges that a claim is under way for and returns those that had none on this base.
func (m *RangeManager) noteClaim(r LogRecord) (added []int) {
	if r.Kind != KindClaim {
		return nil
	}
	for _, ref := range r.Ranges {
		if base, ok := m.claimed[ref.Range]; !ok || base != ref.Base {
			m.claimed[ref.Range] = ref.Base
			added = append(added, ref.Range)
		}
	}
	return added
}

// renewalDue reports that the last renewal that was read back is old. One that was sent and not read back, because the
// append failed or its answer was lost, is repeated after pollInterval.
func (m *RangeManager) renewalDue(now time.Time) bool {
	return now.Sub(m.confirmed) >= RenewInterval && now.Sub(m.lastRenewal) >= pollInterval
}

func (m *RangeManager) snapshotDue(now time.Time, retention time.Duration) bool {
	if retention <= 0 {
		return false
	}
	interval := min(retention/4, maxSnapshotInterval)
	// The VMs wait differently long, so that usually one of them writes.
	jitter := time.Duration(xxhash.Sum64String(m.Self.VM) % uint64(interval/2+1))
	since := m.lastSnapshot
	if m.lastSnapshot.IsZero() {
		since = m.headSince
	}
	return m.table.Next > 0 && now.Sub(since) >= interval+jitter
}

// silent reports that nothing was read of a range's owner or successor for the takeover delay.
func (m *RangeManager) silent(r int, before time.Time) bool {
	s := m.table.Ranges[r]
	latest := m.headSince
	for _, at := range []time.Time{m.changed[r], m.heard[process{s.VM, s.Incarnation}]} {
		if at.After(latest) {
			latest = at
		}
	}
	return before.Sub(latest) >= TakeoverDelay
}

// claimable reports that this VM may claim a range.
func (m *RangeManager) claimable(r int, before time.Time) bool {
	s := m.table.Ranges[r]
	switch {
	case s.ownedBy(m.Self.VM, m.Self.Incarnation):
		return false
	case s.VM == "" && s.Successor == "":
		return before.Sub(m.headSince) >= settleDelay
	}
	return m.silent(r, before)
}

// present reports that a VM was heard in the log lately. A VM that is alive but cut off from the log gets no ranges.
func (m *RangeManager) present(vm string, before time.Time) bool {
	at, ok := m.heardVM[vm]
	if m.headSince.After(at) {
		at = m.headSince
	}
	return ok && before.Sub(at) < TakeoverDelay
}

// choose updates the VMs that should hold ranges.
func (m *RangeManager) choose(before time.Time) {
	alive := m.Alive()
	if !m.draining && !slices.ContainsFunc(alive, func(c Candidate) bool { return c.VM == m.Self.VM }) {
		alive = append(alive, Candidate{VM: m.Self.VM})
	}
	m.chosen = m.holders.choose(before, m.Self.VM, alive, func(vm string) time.Time {
		if at := m.heardVM[vm]; at.After(m.headSince) {
			return at
		}
		return m.headSince
	})
}

// holder reports that this VM should hold ranges.
func (m *RangeManager) holder() bool { return !m.draining && slices.Contains(m.chosen, m.Self.VM) }

// plan returns the VM that should own each range. VMs that have fallen silent in the log get nothing.
func (m *RangeManager) plan(before time.Time) ([RangeCount]string, bool) {
	var owners [RangeCount]string
	for r, s := range m.table.Ranges {
		owner := s.VM + s.Successor
		switch {
		case s.VM == m.Self.VM && s.Incarnation != m.Self.Incarnation:
		case owner != "" && owner != m.Self.VM && m.silent(r, before):
			// The range is free for the others.
		default:
			owners[r] = owner
		}
	}
	var alive []string
	for _, vm := range m.chosen {
		if vm != m.Self.VM && m.present(vm, before) {
			alive = append(alive, vm)
		}
	}
	if m.holder() {
		alive = append(alive, m.Self.VM)
	}
	if len(alive) == 0 {
		return owners, false
	}
	return planOwners(owners, alive), true
}

func (m *RangeManager) claim(plan [RangeCount]string, before time.Time) LogRecord {
	record := LogRecord{Kind: KindClaim, Forward: m.Self.Forward.String()}
	for r, vm := range plan {
		s := m.table.Ranges[r]
		// The named successor alone has the memory, so it claims even if the plan has moved on meanwhile, or if it has
		// begun to drain: it hands the range on.
		named := s.VM == "" && s.Successor == m.Self.VM
		if named && (!m.draining || m.stages[r] != nil) || !m.draining && vm == m.Self.VM && m.claimable(r, before) {
			record.Ranges = append(record.Ranges, RangeRef{Range: r, Base: s.Epoch})
		}
	}
	return record
}

// startTransfers freezes the held ranges that another VM should own.
func (m *RangeManager) startTransfers(plan [RangeCount]string) {
	now := m.Clock.Now()
	for r, h := range m.holds {
		to := plan[r]
		if to == m.Self.VM || m.transfers[r] != nil || now.Before(m.backoff[to]) || !now.Before(h.leaseEnd) {
			continue
		}
		m.sequence++
		id := strconv.FormatUint(m.Self.Incarnation, 36) + "-" + strconv.FormatUint(m.sequence, 36)
		m.transfers[r] = &transfer{keyRange: r, to: to, id: id, since: now}
		m.Ledger.setFrozen(r, true)
	}
}

// send starts one sender per successor for the frozen ranges whose operations have finished or had time to.
func (m *RangeManager) send() {
	now := m.Clock.Now()
	byVM := map[string][]*transfer{}
	for r, t := range m.transfers {
		if t.phase != phaseFrozen || (m.Ledger.running(r) > 0 && now.Sub(t.since) < handoverWait) {
			continue
		}
		t.phase = phaseSending
		byVM[t.to] = append(byVM[t.to], t)
	}
	for vm, transfers := range byVM {
		m.Go(func() { m.sendAll(vm, transfers) })
	}
}

// sendAll transfers ranges one after the other and gives the rest up at the first failure.
func (m *RangeManager) sendAll(vm string, transfers []*transfer) {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	var failed error
	for _, t := range transfers {
		if failed == nil {
			failed = m.sendRange(ctx, t)
		}
		m.settle(t, failed)
	}
	if failed != nil {
		klog.InfoS("handover of key ranges failed", "ranges", len(transfers), "vm", vm, "err", failed)
	}
	m.poke()
}

func (m *RangeManager) sendRange(ctx context.Context, t *transfer) error {
	m.mu.Lock()
	h := m.holds[t.keyRange]
	if m.transfers[t.keyRange] != t || h == nil {
		m.mu.Unlock()
		return nil
	}
	now := m.Clock.Now()
	windowLeft := h.cleanFrom.Sub(now)
	m.mu.Unlock()
	for _, c := range m.Ledger.export(now, t.keyRange, t.id, windowLeft) {
		if err := m.Peers.Handover(ctx, t.to, c); err != nil {
			return err
		}
	}
	return nil
}

func (m *RangeManager) settle(t *transfer, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.transfers[t.keyRange] != t:
		// The range was lost meanwhile.
	case err == nil:
		t.phase = phaseConfirmed
	default:
		m.backoff[t.to] = m.Clock.Now().Add(handoverBackoff)
		m.endTransfer(t.keyRange)
	}
}

// endTransfer lets unfamiliar keys of a range start again, if this VM owns it.
func (m *RangeManager) endTransfer(r int) {
	delete(m.transfers, r)
	m.Ledger.setFrozen(r, false)
}

// releases returns one release per successor for the confirmed ranges.
func (m *RangeManager) releases() []LogRecord {
	byVM := map[string]*LogRecord{}
	for r := range RangeCount {
		t := m.transfers[r]
		if t == nil || t.phase != phaseConfirmed || m.holds[r] == nil {
			continue
		}
		if byVM[t.to] == nil {
			byVM[t.to] = &LogRecord{Kind: KindRelease, Successor: t.to}
		}
		ref := RangeRef{Range: r, Base: m.holds[r].epoch, Handover: t.id}
		byVM[t.to].Ranges = append(byVM[t.to].Ranges, ref)
	}
	records := make([]LogRecord, 0, len(byVM))
	for _, r := range byVM {
		records = append(records, *r)
	}
	return records
}
