package operation

import "time"

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
