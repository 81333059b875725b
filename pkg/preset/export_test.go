package preset

import (
	"github.com/hornbeamway/hornbeamway/pkg/platformlog"
)

// ReadAll applies the records of a log that starts at offset first with a new reader, in batches of n records. complete is
// true if the reader reached the end of the log.
func ReadAll(records []platformlog.Record, first int64, n int) (s *State, complete bool) {
	r := newReader()
	end := int64(len(records))
	for range 4*len(records) + 8 {
		from := min(max(r.nextOffset(), first), end)
		b := platformlog.Batch{First: first, Next: end, Records: records[from:min(from+int64(n), end)]}
		if _, atEnd := r.applyBatch(b); atEnd {
			return r.state, true
		}
	}
	return r.state, false
}

// SnapshotEntry returns the record that a snapshotter appends.
func (s *State) SnapshotEntry(id string) (*Entry, error) { return s.snapshotEntry(id, "test") }
