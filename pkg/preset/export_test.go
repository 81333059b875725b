package preset

import (
	"github.com/hornbeamway/hornbeamway/pkg/platformlog"
)

// ReadAll folds the records of a log that starts at first, in batches of size n, as a new reader does.
func ReadAll(records []platformlog.Record, first int64, n int) (s *State, complete bool) {
	r := newReader()
	end := int64(len(records))
	for range 4*len(records) + 8 {
		from := min(max(r.next(), first), end)
		b := platformlog.Batch{First: first, Next: end, Records: records[from:min(from+int64(n), end)]}
		if _, atEnd := r.feed(b); atEnd {
			return r.state, true
		}
	}
	return r.state, false
}

// SnapshotEntry is the record that a snapshotter appends.
func (s *State) SnapshotEntry(id string) (*Entry, error) { return s.snapshotEntry(id, "test") }
