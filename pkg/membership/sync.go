package membership

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Summary maps member ids to the hashes of their table entries.
type Summary map[string]uint32

// Summary returns the hashes of all entries, from which a peer determines the entries to send.
func (t *Table) Summary() Summary {
	s := Summary{t.self.ID: uint32(t.self.hash())}
	for id, r := range t.records {
		s[id] = uint32(r.hash())
	}
	return s
}

// Difference returns the entries that are missing from the summary or differ from it. Dead members that are missing from
// it are left out.
func (t *Table) Difference(s Summary) []MemberEntry {
	var entries []MemberEntry
	if s[t.self.ID] != uint32(t.self.hash()) {
		entries = append(entries, t.self.wireForm())
	}
	for id, r := range t.records {
		hash, known := s[id]
		if hash != uint32(r.hash()) && (known || State(r.State) != Dead) {
			entries = append(entries, r.MemberEntry)
		}
	}
	// The receiver merges the entries in this order, and the number of sends of each depends on the members known before it.
	slices.SortFunc(entries, func(a, b MemberEntry) int { return compareIDs(a.ID, b.ID) })
	return entries
}

// Merge merges the entries that a peer returned as the difference.
func (t *Table) Merge(now time.Time, entries []MemberEntry) {
	for _, e := range entries {
		t.merge(now, e)
	}
}

// difference is the result of membership.sync; its parameter is a Summary.
type difference struct {
	Entries []MemberEntry `json:"c,omitempty"`
}

// syncRequest is a peer's summary with the channel for the difference.
type syncRequest struct {
	summary Summary
	reply   chan difference
}

// handleSync passes a peer's summary to the goroutine that owns the table and waits for the difference. It returns
// ErrOverloaded if too many summaries are waiting.
func (s *Service) handleSync(ctx context.Context, summary Summary) (difference, error) {
	request := syncRequest{summary, make(chan difference, 1)}
	select {
	case s.syncRequests <- request:
	default:
		return difference{}, ErrOverloaded
	}
	select {
	case d := <-request.reply:
		return d, nil
	case <-ctx.Done():
		return difference{}, errors.Wrap(ctx.Err(), "compare member tables")
	}
}

// requestSync requests the difference from a peer and passes it to the goroutine that owns the table.
func (s *Service) requestSync(ctx context.Context, address string, summary Summary) {
	var d difference
	if err := s.options.Sender.Call(ctx, address, methodSync, summary, &d); err != nil {
		return // the next differing digest starts another comparison
	}
	select {
	case s.syncResults <- d.Entries:
	default:
	}
}
