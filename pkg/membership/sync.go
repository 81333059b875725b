package membership

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Summary has a hash of each entry of a table by member id.
type Summary map[string]uint32

// Summary returns the hashes of all entries, so that a peer can tell which ones to send.
func (t *Table) Summary() Summary {
	s := Summary{t.self.ID: uint32(t.self.hash())}
	for id, r := range t.records {
		s[id] = uint32(r.hash())
	}
	return s
}

// Difference returns the entries that are not in the summary or differ. Dead members that the other side does not know
// are left out.
func (t *Table) Difference(s Summary) []MemberEntry {
	var entries []MemberEntry
	if s[t.self.ID] != uint32(t.self.hash()) {
		entries = append(entries, t.self.wire())
	}
	for id, r := range t.records {
		hash, known := s[id]
		if hash != uint32(r.hash()) && (known || State(r.State) != Dead) {
			entries = append(entries, r.MemberEntry)
		}
	}
	return entries
}

// Merge takes entries that a peer returned as the difference.
func (t *Table) Merge(now time.Time, entries []MemberEntry) {
	for _, e := range entries {
		t.merge(now, e)
	}
}

// difference is the result of membership.sync; its parameter is a Summary.
type difference struct {
	Entries []MemberEntry `json:"c,omitempty"`
}

type syncRequest struct {
	summary Summary
	answer  chan difference
}

// answerSync has the goroutine that owns the table compare it with a peer's summary.
func (s *Service) answerSync(ctx context.Context, summary Summary) (difference, error) {
	r := syncRequest{summary, make(chan difference, 1)}
	select {
	case s.syncs <- r:
	default:
		return difference{}, ErrOverloaded
	}
	select {
	case d := <-r.answer:
		return d, nil
	case <-ctx.Done():
		return difference{}, errors.Wrap(ctx.Err(), "compare member tables")
	}
}

// sync asks a peer for the difference and hands it to the goroutine that owns the table.
func (s *Service) sync(ctx context.Context, address string, summary Summary) {
	var d difference
	if err := s.options.Sender.Call(ctx, address, methodSync, summary, &d); err != nil {
		return // the next differing digest starts another
	}
	select {
	case s.synced <- d.Entries:
	default:
	}
}
