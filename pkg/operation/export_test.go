package operation

import "time"

// SetBounds sets the limits of the coordinator's ledger.
func (c *Coordinator) SetBounds(entries, responseBytes int) {
	c.ledger.maxEntries, c.ledger.maxResponseBytes = entries, responseBytes
}

// BeginForTest starts a key that is always admitted.
func (l *Ledger) BeginForTest(now time.Time, key string) (*Entry, Verdict) {
	return l.begin(now, RangeOf(key), key, 1, now, func() Verdict { return Run })
}

// NotRunForTest removes a running entry.
func (l *Ledger) NotRunForTest(e *Entry) { l.notRun(e) }

// DecodeTicketForTest decodes an unsigned ticket.
var DecodeTicketForTest = decodeTicket

// EpochForTest returns the epoch of a range in the table.
func (m *RangeManager) EpochForTest(keyRange int) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Ranges[keyRange].Epoch
}
