package preset

import "github.com/hornbeamway/hornbeamway/pkg/platformlog"

// reader applies batches of the log to a state. If records expired before they were read, it searches for a snapshot that
// covers the gap and continues from there. It is not safe for concurrent use.
type reader struct {
	state *State
	// scanOffset is the next offset to search for a snapshot while there is a gap; NoVersion otherwise.
	scanOffset int64
}

func newReader() *reader { return &reader{state: NewState(), scanOffset: NoVersion} }

// nextOffset returns the offset from which to read next.
func (r *reader) nextOffset() int64 {
	if r.scanOffset != NoVersion {
		return r.scanOffset
	}
	return r.state.Position + 1
}

// hasGap reports whether records are missing between the state and the first record of the log.
func (r *reader) hasGap() bool { return r.scanOffset != NoVersion }

// applyBatch applies a batch that was read from nextOffset. It returns the events and whether the state has reached the end
// of the log.
func (r *reader) applyBatch(b platformlog.Batch) (events []Event, atEnd bool) {
	r.updateGap(b)
	if r.hasGap() && !r.adoptSnapshot(b) {
		return nil, false
	}
	for _, record := range b.Records {
		if record.Offset == r.state.Position+1 {
			events = append(events, r.state.Apply(record))
		}
	}
	return events, r.state.Position+1 >= b.Next
}

// updateGap starts or ends the search for a snapshot.
func (r *reader) updateGap(b platformlog.Batch) {
	if b.First <= r.state.Position+1 {
		r.scanOffset = NoVersion
		return
	}
	r.scanOffset = max(r.scanOffset, b.First)
}

// adoptSnapshot adopts the first snapshot in the batch that leaves no gap and reports whether there was one.
func (r *reader) adoptSnapshot(b platformlog.Batch) bool {
	for _, record := range b.Records {
		if s, ok := startableSnapshot(record, b.First); ok && s.Position > r.state.Position {
			r.state, r.scanOffset = s, NoVersion
			return true
		}
		r.scanOffset = max(r.scanOffset, record.Offset+1)
	}
	return false
}

// adopt replaces the state by that of a peer if it has a later position and no lower version. It reports whether it did.
func (r *reader) adopt(s *State) bool {
	if s.Position <= r.state.Position || s.Version < r.state.Version {
		return false
	}
	r.state, r.scanOffset = s, NoVersion
	return true
}
