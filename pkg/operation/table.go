package operation

import (
	"encoding/json"

	"github.com/hornbeamway/hornbeamway/pkg/platformlog"
)

// Stream is the log stream of the key ranges.
const Stream = "operations"

// Kind is the kind of a record in the stream.
type Kind string

// The kinds of records.
const (
	// KindClaim takes ranges over; it counts per range if Base is the range's epoch.
	KindClaim Kind = "claim"
	// KindRenew shows that the owner of ranges is alive and still reads the log.
	KindRenew Kind = "renew"
	// KindRelease gives ranges up to a successor that has confirmed their memory.
	KindRelease Kind = "release"
	// KindSnapshot holds the table after the record Covers, for readers that start after older records have expired.
	// A snapshot is used rather than restatements in renewals: a paused former owner also renews, and readers with
	// different history would judge such a renewal differently. A snapshot is a function of the log alone.
	KindSnapshot Kind = "snapshot"
	// KindReset starts a new table without owners when the log holds no usable snapshot. It counts only at the offset
	// Expect, so its writer had read everything before it, and every reader then agrees that nothing older is usable.
	KindReset Kind = "reset"
)

// RangeRef names a range in a claim or release.
type RangeRef struct {
	Range int   `json:"r"`
	Base  int64 `json:"base"`
	// Handover names the transfer of the memory that the successor has confirmed. Only in releases.
	Handover string `json:"handover,omitempty"`
}

// RangeState is the ownership of one range.
type RangeState struct {
	// Epoch is 1 + the offset of the last counted change; 0: never claimed since the log began.
	Epoch       int64  `json:"e"`
	VM          string `json:"vm,omitempty"`
	Incarnation uint64 `json:"inc,omitempty"`
	Forward     string `json:"fwd,omitempty"`
	// Successor and Handover are set while the range is released and not claimed.
	Successor string `json:"next,omitempty"`
	Handover  string `json:"handover,omitempty"`
}

// LogRecord is one record of the stream.
type LogRecord struct {
	Kind        Kind         `json:"kind"`
	VM          string       `json:"vm"`
	Incarnation uint64       `json:"inc"`
	Forward     string       `json:"fwd,omitempty"`
	Sequence    uint64       `json:"seq,omitempty"`
	Ranges      []RangeRef   `json:"ranges,omitempty"`
	Successor   string       `json:"next,omitempty"`
	Covers      int64        `json:"covers,omitempty"`
	Table       []RangeState `json:"table,omitempty"`
	Expect      int64        `json:"expect,omitempty"`
}

// Change is the counted change of one range.
type Change struct {
	Range    int
	Previous RangeState
}

// Event is what a record did to the table.
type Event struct {
	LogRecord
	// Changes are the ranges whose ownership changed.
	Changes []Change
	// Loaded says that the table was loaded from a snapshot or replaced by a reset.
	Loaded bool
}

// Table is the fold of the stream. The zero value expects offset 0. It is a function of the records alone.
type Table struct {
	// Next is the offset of the next record to apply.
	Next int64
	// Ready says that the ownership is known; otherwise a snapshot or reset has to be read first.
	Ready  bool
	Ranges [RangeCount]RangeState
	// begin is the first offset that was read without a gap; buffered are the changes since, until the table is ready.
	begin    int64
	buffered []platformlog.Record
}

// Skip tells the table that records before first have expired. It loses its state if it had not applied them.
func (t *Table) Skip(first int64) {
	if first <= t.Next {
		t.Ready = t.Ready || t.Next == 0
		return
	}
	*t = Table{Next: first, begin: first}
}

// Apply applies one record. It is total: records that do not decode or do not count change nothing.
func (t *Table) Apply(r platformlog.Record) Event {
	if r.Offset < t.Next {
		return Event{}
	}
	t.Skip(r.Offset)
	t.Next = r.Offset + 1
	var e Event
	if json.Unmarshal(r.Data, &e.LogRecord) != nil {
		return Event{}
	}
	if !t.Ready {
		return t.load(r, e)
	}
	t.change(r.Offset, &e)
	return e
}

// load looks for the first usable snapshot or reset and then applies what was read after it.
func (t *Table) load(r platformlog.Record, e Event) Event {
	switch {
	case e.Kind == KindReset && e.Expect == r.Offset:
		t.Ready, t.buffered = true, nil
		t.change(r.Offset, &e)
	case e.Kind == KindSnapshot && e.Covers+1 >= t.begin && e.Covers < r.Offset && len(e.Table) == RangeCount:
		t.Ready = true
		copy(t.Ranges[:], e.Table)
		for _, b := range t.buffered {
			var earlier Event
			if b.Offset > e.Covers && json.Unmarshal(b.Data, &earlier.LogRecord) == nil {
				t.change(b.Offset, &earlier)
			}
		}
		t.buffered, e.Loaded = nil, true
	case e.Kind == KindClaim, e.Kind == KindRelease:
		t.buffered = append(t.buffered, r)
	}
	return e
}

func (t *Table) change(offset int64, e *Event) {
	switch e.Kind {
	case KindClaim:
		t.each(offset, e, func(s *RangeState, _ RangeRef) bool {
			*s = RangeState{VM: e.VM, Incarnation: e.Incarnation, Forward: e.Forward}
			return true
		})
	case KindRelease:
		t.each(offset, e, func(s *RangeState, ref RangeRef) bool {
			if !s.ownedBy(e.VM, e.Incarnation) {
				return false
			}
			*s = RangeState{Successor: e.Successor, Handover: ref.Handover}
			return true
		})
	case KindReset:
		if e.Expect != offset {
			return
		}
		for i := range t.Ranges {
			e.Changes = append(e.Changes, Change{Range: i, Previous: t.Ranges[i]})
			t.Ranges[i] = RangeState{Epoch: offset + 1}
		}
		e.Loaded = true
	}
}

// each applies f to the ranges of a record whose base is current.
func (t *Table) each(offset int64, e *Event, f func(*RangeState, RangeRef) bool) {
	for _, ref := range e.Ranges {
		if ref.Range < 0 || ref.Range >= RangeCount || t.Ranges[ref.Range].Epoch != ref.Base {
			continue
		}
		s := &t.Ranges[ref.Range]
		previous := *s
		if f(s, ref) {
			s.Epoch = offset + 1
			e.Changes = append(e.Changes, Change{Range: ref.Range, Previous: previous})
		}
	}
}

func (s RangeState) ownedBy(vm string, incarnation uint64) bool {
	return s.VM == vm && s.Incarnation == incarnation && vm != ""
}

// snapshot returns a record of the table. The table must be ready.
func (t *Table) snapshot(self Self) LogRecord {
	return LogRecord{Kind: KindSnapshot, VM: self.VM, Incarnation: self.Incarnation,
		Covers: t.Next - 1, Table: append([]RangeState(nil), t.Ranges[:]...)}
}
