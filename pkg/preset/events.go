package preset

// EventKind is the effect of a record on the state.
type EventKind string

// The kinds of events.
const (
	// Ignored: the record is malformed or has no effect; Reason gives the cause.
	Ignored EventKind = "ignored"
	// Repeated: the record repeats an earlier one and changes nothing.
	Repeated EventKind = "repeated"
	// Bootstrapped: the first presets are in force.
	Bootstrapped EventKind = "bootstrapped"
	// Proposed: the proposal is pending.
	Proposed EventKind = "proposed"
	// Conflict: the record is rejected because of an earlier change or a limit; InForce is the version on which to base a
	// new proposal.
	Conflict EventKind = "conflict"
	// Invalid: the proposal or bootstrap is rejected because its content is not valid.
	Invalid EventKind = "invalid"
	// Vetoed and Withdrawn: the proposal is permanently rejected.
	Vetoed    EventKind = "vetoed"
	Withdrawn EventKind = "withdrawn"
	// Aborted: a confirm round ended without acceptance; the proposal remains pending.
	Aborted EventKind = "aborted"
	// Accepted: the change is in force.
	Accepted EventKind = "accepted"
	// Snapshotted: the record is a snapshot, which does not change the state.
	Snapshotted EventKind = "snapshotted"
)

// Event describes the effect of one record.
type Event struct {
	Kind     EventKind
	Offset   int64
	RecordID string
	// Proposal and Object are set when the record concerns a proposal.
	Proposal, Object string
	// InForce is the version of Object in force after the record.
	InForce int64
	Reason  string
}

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
