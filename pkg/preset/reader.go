package preset

import "github.com/hornbeamway/hornbeamway/pkg/platformlog"

// reader folds batches of the log into a state. When records expired before they were read, it looks for a snapshot
// that covers the gap and reads on from there. It is not safe for concurrent use.
type reader struct {
	state *State
	// scan is the next offset to look at for a snapshot while there is a gap; NoVersion otherwise.
	scan int64
}

func newReader() *reader { return &reader{state: NewState(), scan: NoVersion} }

// next is the offset to read from.
func (r *reader) next() int64 {
	if r.scan != NoVersion {
		return r.scan
	}
	return r.state.Position + 1
}

// gap reports whether records are missing between the state and the log's first record.
func (r *reader) gap() bool { return r.scan != NoVersion }

// feed folds a batch that was read from next. It reports the events and whether the state is at the log's end.
func (r *reader) feed(b platformlog.Batch) (events []Event, atEnd bool) {
	r.checkGap(b)
	if r.gap() && !r.findSnapshot(b) {
		return nil, false
	}
	for _, record := range b.Records {
		if record.Offset == r.state.Position+1 {
			events = append(events, r.state.Apply(record))
		}
	}
	return events, r.state.Position+1 >= b.Next
}

// checkGap starts or ends the search for a snapshot.
func (r *reader) checkGap(b platformlog.Batch) {
	if b.First <= r.state.Position+1 {
		r.scan = NoVersion
		return
	}
	r.scan = max(r.scan, b.First)
}

// findSnapshot takes the first snapshot in the batch that leaves no gap.
func (r *reader) findSnapshot(b platformlog.Batch) bool {
	for _, record := range b.Records {
		if s, ok := snapshotIn(record, b.First); ok && s.Position > r.state.Position {
			r.state, r.scan = s, NoVersion
			return true
		}
		r.scan = max(r.scan, record.Offset+1)
	}
	return false
}

// take adopts a state from a peer when it is later in the same log.
func (r *reader) take(s *State) bool {
	if s.Position <= r.state.Position || s.Version < r.state.Version {
		return false
	}
	r.state, r.scan = s, NoVersion
	return true
}
