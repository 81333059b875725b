package operation

import "time"

// observe updates the manager's state other than the table after a record was applied.
func (m *RangeManager) observe(now time.Time, e *Event) {
	if e.Kind == "" {
		return
	}
	m.recordSeen(now, process{e.VM, e.Incarnation})
	if e.Kind == KindSnapshot || e.Kind == KindReset {
		m.lastSnapshot = now
	}
	if e.Loaded {
		for r := range m.table.Ranges {
			m.changedAt[r] = now
			m.syncOwnership(now, r, nil, e)
		}
	}
	for i := range e.Changes {
		c := &e.Changes[i]
		m.changedAt[c.Range] = now
		m.syncOwnership(now, c.Range, c, e)
	}
	m.confirmAppend(e)
}

// recordSeen stores the time of a log record of a process. The record shows that earlier incarnations of that VM have ended.
func (m *RangeManager) recordSeen(now time.Time, p process) {
	if _, known := m.lastSeen[p]; !known {
		for other := range m.lastSeen {
			if other.vm == p.vm {
				delete(m.lastSeen, other)
			}
		}
	}
	m.lastSeen[p] = now
	m.lastSeenVM[p.vm] = now
}

// syncOwnership updates the held range r to match the table.
func (m *RangeManager) syncOwnership(now time.Time, r int, c *Change, e *Event) {
	s := m.table.Ranges[r]
	if !s.ownedBy(m.Self.VM, m.Self.Incarnation) {
		m.endOwnership(r, c, e)
		return
	}
	if h := m.heldRanges[r]; h != nil && h.epoch == s.Epoch {
		return
	}
	m.heldRanges[r] = &heldRange{epoch: s.Epoch, admitFrom: m.installMemory(now, r, c)}
	m.endTransfer(r)
}

// installMemory adds the staged memory of a range that this VM has just acquired to the ledger, if it belongs to the release
// that preceded the claim. It returns the time from which new keys of the range may run.
func (m *RangeManager) installMemory(now time.Time, r int, c *Change) time.Time {
	st := m.stagedRanges[r]
	delete(m.stagedRanges, r)
	switch {
	case c == nil:
		// The change was read from a snapshot, so the previous state of the range is not known.
	case c.Previous.Epoch == 0:
		return now
	case st != nil && st.complete && c.Previous.Successor == m.Self.VM && c.Previous.Handover == st.handover:
		m.Ledger.install(now, r, st.entries)
		return st.windowEnd
	}
	m.uncleanTakeovers++
	return now.Add(UncleanWindow)
}

// endOwnership removes a held range. After this VM's own release its memory is dropped, because the successor has it. Staged
// memory is dropped once another VM has claimed the range after the release that the memory belongs to.
func (m *RangeManager) endOwnership(r int, c *Change, e *Event) {
	if st := m.stagedRanges[r]; st != nil && c != nil && c.Previous.Handover == st.handover {
		delete(m.stagedRanges, r)
	}
	if m.heldRanges[r] == nil {
		return
	}
	delete(m.heldRanges, r)
	if e.Kind == KindRelease {
		m.Ledger.dropRange(r)
	}
	m.endTransfer(r)
}

// confirmAppend extends the leases after a renewal or claim of this process was read back from the log. The lease is measured
// from just before the append was sent, and covers only ranges that this process owns in the log at that record.
func (m *RangeManager) confirmAppend(e *Event) {
	if e.VM != m.Self.VM || e.Incarnation != m.Self.Incarnation {
		return
	}
	sent, ok := m.sentAt[e.Sequence]
	if !ok {
		return
	}
	delete(m.sentAt, e.Sequence)
	leaseEnd := sent.Add(LeaseDuration)
	switch e.Kind {
	case KindRenew:
		if sent.After(m.confirmedRenewal) {
			m.confirmedRenewal = sent
		}
		m.logFailed = false
		for _, h := range m.heldRanges {
			h.extendLease(leaseEnd)
		}
	case KindClaim:
		for _, c := range e.Changes {
			if h := m.heldRanges[c.Range]; h != nil {
				h.extendLease(leaseEnd)
			}
		}
	}
}

func (h *heldRange) extendLease(end time.Time) {
	if end.After(h.leaseEnd) {
		h.leaseEnd = end
	}
}
