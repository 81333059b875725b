package operation

import "time"

// observe updates what this VM knows beside the table.
func (m *RangeManager) observe(now time.Time, e *Event) {
	if e.Kind == "" {
		return
	}
	m.hear(now, process{e.VM, e.Incarnation})
	if e.Kind == KindSnapshot || e.Kind == KindReset {
		m.lastSnapshot = now
	}
	if e.Loaded {
		for r := range m.table.Ranges {
			m.changed[r] = now
			m.sync(now, r, nil, e)
		}
	}
	for i := range e.Changes {
		c := &e.Changes[i]
		m.changed[c.Range] = now
		m.sync(now, c.Range, c, e)
	}
	m.confirm(e)
}

// hear notes a record of a process. It shows that earlier incarnations of that VM have ended.
func (m *RangeManager) hear(now time.Time, p process) {
	if _, known := m.heard[p]; !known {
		for other := range m.heard {
			if other.vm == p.vm {
				delete(m.heard, other)
			}
		}
	}
	m.heard[p] = now
	m.heardVM[p.vm] = now
}

// sync brings the hold of a range in line with the table.
func (m *RangeManager) sync(now time.Time, r int, c *Change, e *Event) {
	s := m.table.Ranges[r]
	if !s.ownedBy(m.Self.VM, m.Self.Incarnation) {
		m.lose(r, c, e)
		return
	}
	if h := m.holds[r]; h != nil && h.epoch == s.Epoch {
		return
	}
	m.holds[r] = &hold{epoch: s.Epoch, cleanFrom: m.takeMemory(now, r, c)}
	m.endTransfer(r)
}

// takeMemory returns the time from which unfamiliar keys of a range that this VM has just got may run.
func (m *RangeManager) takeMemory(now time.Time, r int, c *Change) time.Time {
	st := m.stages[r]
	delete(m.stages, r)
	switch {
	case c == nil:
		// The change was read from a snapshot, so the range's history is not known.
	case c.Previous.Epoch == 0:
		return now
	case st != nil && st.complete && c.Previous.Successor == m.Self.VM && c.Previous.Handover == st.handover:
		m.Ledger.install(now, r, st.entries)
		return st.windowEnd
	}
	m.unclean++
	return now.Add(UncleanWindow)
}

// lose ends the hold of a range. After this VM's own release the successor has the memory. Received memory is dropped once
// another VM has claimed the range after the release that belongs to it.
func (m *RangeManager) lose(r int, c *Change, e *Event) {
	if st := m.stages[r]; st != nil && c != nil && c.Previous.Handover == st.handover {
		delete(m.stages, r)
	}
	if m.holds[r] == nil {
		return
	}
	delete(m.holds, r)
	if e.Kind == KindRelease {
		m.Ledger.drop(r)
	}
	m.endTransfer(r)
}

// confirm extends the leases that a record of this process stands for. The lease counts from before the append was sent,
// and only for ranges that the log gives to this process at that record.
func (m *RangeManager) confirm(e *Event) {
	if e.VM != m.Self.VM || e.Incarnation != m.Self.Incarnation {
		return
	}
	sent, ok := m.sent[e.Sequence]
	if !ok {
		return
	}
	delete(m.sent, e.Sequence)
	end := sent.Add(LeaseDuration)
	switch e.Kind {
	case KindRenew:
		if sent.After(m.confirmed) {
			m.confirmed = sent
		}
		m.logFailed = false
		for _, h := range m.holds {
			h.extend(end)
		}
	case KindClaim:
		for _, c := range e.Changes {
			if h := m.holds[c.Range]; h != nil {
				h.extend(end)
			}
		}
	}
}

func (h *hold) extend(end time.Time) {
	if end.After(h.leaseEnd) {
		h.leaseEnd = end
	}
}
