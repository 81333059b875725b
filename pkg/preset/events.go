package preset

// eventRingSize is the number of latest events kept for callers that wait for the outcome of a record.
const eventRingSize = 256

// eventRing is a ring buffer of the latest events. It is guarded by Follower.mu.
type eventRing struct {
	events [eventRingSize]Event
	count  int
}

func newEventRing() *eventRing { return &eventRing{} }

func (r *eventRing) add(e Event) {
	r.events[r.count%eventRingSize] = e
	r.count++
}

// find returns the oldest retained event of the record with the given id.
func (r *eventRing) find(recordID string) (Event, bool) {
	for i := max(r.count-eventRingSize, 0); i < r.count; i++ {
		if e := r.events[i%eventRingSize]; e.RecordID == recordID {
			return e, true
		}
	}
	return Event{}, false
}
