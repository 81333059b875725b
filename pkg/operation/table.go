package operation

import (
	"encoding/json"

	"github.com/hornbeamway/hornbeamway/pkg/platformlog"
)

// Stream is the name of the log stream that records the ownership of the key ranges.
const Stream = "operations"

// Kind is the kind of a record in the stream.
type Kind string

// The kinds of records.
const (
	// KindClaim makes its VM the owner of ranges. It takes effect for each range whose epoch equals Base.
	KindClaim Kind = "claim"
	// KindRenew shows that an owner of ranges is alive and still reads the log.
	KindRenew Kind = "renew"
	// KindRelease releases ranges to a successor that has confirmed the receipt of their memory.
	KindRelease Kind = "release"
	// KindSnapshot contains the table after the record at offset Covers, for readers that start after older records have
	// expired. Renewals do not repeat the ownership instead: a paused former owner also renews, and readers that have read
	// different parts of the log would interpret such a renewal differently. A snapshot depends on the log alone.
	KindSnapshot Kind = "snapshot"
	// KindReset starts a new table without owners when the log contains no usable snapshot. It takes effect only at the
	// offset Expect. Its writer has then read every record before it, and all readers agree that none of those is usable.
	KindReset Kind = "reset"
)

// RangeRef identifies a range in a claim, a release or an ExtensionRequest.
type RangeRef struct {
	Range int `json:"r"`
	// Base is the epoch of the range on which the record is based.
	Base int64 `json:"base"`
	// Handover identifies the transfer of the memory that the successor has confirmed. Set only in releases.
	Handover string `json:"handover,omitempty"`
}

// RangeState is the ownership of one range.
type RangeState struct {
	// Epoch is 1 + the offset of the last change that took effect; 0: not claimed since the start of the log.
	Epoch       int64  `json:"e"`
	VM          string `json:"vm,omitempty"`
	Incarnation uint64 `json:"inc,omitempty"`
	Forward     string `json:"fwd,omitempty"`
	// Successor and Handover are set while the range is released and not yet claimed.
	Successor string `json:"next,omitempty"`
	Handover  string `json:"handover,omitempty"`
}

// LogRecord is one record of the stream.
type LogRecord struct {
	Kind        Kind   `json:"kind"`
	VM          string `json:"vm"`
	Incarnation uint64 `json:"inc"`
	// Forward is the forward address of the VM. Set only in claims.
	Forward string `json:"fwd,omitempty"`
	// Sequence increases with each record of a process.
	Sequence uint64 `json:"seq,omitempty"`
	// Ranges lists the ranges of a claim or release.
	Ranges []RangeRef `json:"ranges,omitempty"`
	// Successor is the VM to which a release hands over the ranges.
	Successor string `json:"next,omitempty"`
	// Covers is the offset of the last record that the Table of a snapshot includes.
	Covers int64        `json:"covers,omitempty"`
	Table  []RangeState `json:"table,omitempty"`
	// Expect is the only offset at which a reset takes effect.
	Expect int64 `json:"expect,omitempty"`
}

// Change is a change of one range that took effect.
type Change struct {
	Range    int
	Previous RangeState
}

// Event is a record with its effects on the table.
type Event struct {
	LogRecord
	// Changes are the ranges whose ownership changed.
	Changes []Change
	// Loaded reports whether the record loaded the table from a snapshot or replaced it by a reset.
	Loaded bool
}

// Table is the ownership of all ranges, computed by applying the records of the stream in order. It depends on the records
// alone. The zero value expects offset 0.
type Table struct {
	// Next is the offset of the next record to apply.
	Next int64
	// Ready reports whether the ownership is known; otherwise a snapshot or reset must be read first.
	Ready  bool
	Ranges [RangeCount]RangeState
	// contiguousFrom is the offset from which on records were read without a gap; buffered are the claims and releases
	// since then, until the table is ready.
	contiguousFrom int64
	buffered       []platformlog.Record
}

// Skip continues at the offset first, because the records before it have expired. The table is cleared if it had not applied
// all of them.
func (t *Table) Skip(first int64) {
	if first <= t.Next {
		t.Ready = t.Ready || t.Next == 0
		return
	}
	*t = Table{Next: first, contiguousFrom: first}
}

// Apply applies one record. It never fails: records that cannot be decoded or do not take effect leave the ownership
// unchanged.
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
	t.applyChange(r.Offset, &e)
	return e
}

// load applies a record to a table that is not ready. It buffers claims and releases until the first usable snapshot or reset.
// After a snapshot it applies the buffered records that the snapshot does not cover.
func (t *Table) load(r platformlog.Record, e Event) Event {
	switch {
	case e.Kind == KindReset && e.Expect == r.Offset:
		t.Ready, t.buffered = true, nil
		t.applyChange(r.Offset, &e)
	case e.Kind == KindSnapshot && e.Covers+1 >= t.contiguousFrom && e.Covers < r.Offset && len(e.Table) == RangeCount:
		t.Ready = true
		copy(t.Ranges[:], e.Table)
		for _, b := range t.buffered {
			var earlier Event
			if b.Offset > e.Covers && json.Unmarshal(b.Data, &earlier.LogRecord) == nil {
				t.applyChange(b.Offset, &earlier)
			}
		}
		t.buffered, e.Loaded = nil, true
	case e.Kind == KindClaim, e.Kind == KindRelease:
		t.buffered = append(t.buffered, r)
	}
	return e
}

// applyChange applies a claim, release or reset and adds the changed ranges to e.
func (t *Table) applyChange(offset int64, e *Event) {
	switch e.Kind {
	case KindClaim:
		t.applyToRanges(offset, e, func(s *RangeState, _ RangeRef) bool {
			*s = RangeState{VM: e.VM, Incarnation: e.Incarnation, Forward: e.Forward}
			return true
		})
	case KindRelease:
		t.applyToRanges(offset, e, func(s *RangeState, ref RangeRef) bool {
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

// applyToRanges calls f for each range of a record whose base is the range's epoch. If f returns true, the range gets a new
// epoch and is added to the changes of e.
func (t *Table) applyToRanges(offset int64, e *Event, f func(*RangeState, RangeRef) bool) {
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

// snapshot returns a snapshot record of the table, which must be ready.
func (t *Table) snapshot(self Self) LogRecord {
	return LogRecord{Kind: KindSnapshot, VM: self.VM, Incarnation: self.Incarnation,
		Covers: t.Next - 1, Table: append([]RangeState(nil), t.Ranges[:]...)}
}
