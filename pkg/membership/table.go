package membership

import (
	"slices"
	"time"
)

// Timing of the failure detector, based on the heartbeat interval of one second.
const (
	// Interval is the time between two heartbeats to the ring successor.
	Interval = time.Second
	// suspectAfter is the time without a heartbeat after which a VM suspects its ring predecessor.
	suspectAfter = 3 * Interval
	// deadAfter is the time that a suspect has to refute the suspicion before it is declared dead.
	deadAfter = 3 * Interval
	// deadRetention is the time for which dead members are kept, so that late entries do not add them again.
	deadRetention = 10 * time.Minute
	// restartGrace is the age of a process up to which it raises its own start time above that of a later entry with its
	// id, instead of being superseded by it. This covers a wall clock that was set back during the restart.
	restartGrace = 30 * time.Second
	// pauseThreshold is the time between two ticks above which this process counts as having been paused.
	pauseThreshold = 2500 * time.Millisecond
)

// record is the entry of another VM with the local state of failure detection and dissemination.
type record struct {
	MemberEntry
	// lastHeartbeat is the time of the last heartbeat received directly from the member.
	lastHeartbeat time.Time
	// lastDirectSequence is the last sequence received directly from the member. Entries relayed by other VMs may be ahead
	// of it.
	lastDirectSequence uint64
	// stateSince is the time at which the current state was set in this table.
	stateSince time.Time
	// remainingSends is the number of further heartbeats that carry the entry.
	remainingSends int
}

// Table is the member table. It does no I/O and reads no clock: callers pass the time. It is not safe for concurrent use.
type Table struct {
	self    MemberEntry
	status  HeartbeatStatus
	started time.Time
	records map[string]*record
	// seeds are the peer addresses of VMs that may be unknown: VMs of the VM list by id, seeds of the settings by address.
	seeds map[string]string

	selfRemainingSends int
	superseded         bool
	digestsEqual       bool // the last digest received equalled that of this table
	changed            bool
	lastTick           time.Time
	ticks              uint64
	syncPeer           string // id of the member whose digest differed last
	nextSyncTick       uint64 // earliest tick of the next table comparison
	watchedID          string // id of the ring predecessor whose heartbeats are monitored
	watchedSince       time.Time
	sendNextTick       map[string]bool // ids of members that get a heartbeat at the next tick
}

// NewTable returns a table with self as its only member.
func NewTable(self Member, now time.Time) *Table {
	return &Table{
		self: MemberEntry{ID: self.ID, Incarnation: self.Incarnation, StartMs: self.Start.UnixMilli(), Sequence: 1,
			Region: self.Region, DataCentre: self.DataCentre, Forward: self.Forward, Peer: self.Peer, Admin: self.Admin},
		started: now, records: map[string]*record{}, seeds: map[string]string{}, lastTick: now, watchedSince: now,
		sendNextTick: map[string]bool{},
	}
}

// SetStatus sets the status that the next heartbeats carry.
func (t *Table) SetStatus(status HeartbeatStatus) {
	t.changed = t.changed || status.PresetVersion != t.self.Version
	t.status, t.self.Version = status, status.PresetVersion
}

// Leave sets the state of this VM to Leaving, which the next heartbeats announce.
func (t *Table) Leave() {
	if State(t.self.State) != Leaving {
		t.self.State = uint8(Leaving)
		t.announceSelf()
	}
}

// SetSeeds replaces the peer addresses of VMs that may be unknown. The keys are VM ids or the addresses themselves.
func (t *Table) SetSeeds(seeds map[string]string) { t.seeds = seeds }

// Superseded reports whether a later incarnation of this VM's id exists, so that this process must not serve.
func (t *Table) Superseded() bool { return t.superseded }

// Changed reports whether members, states or preset versions changed since the last call.
func (t *Table) Changed() bool {
	changed := t.changed
	t.changed = false
	return changed
}

// Members returns all known members including self and dead ones, sorted by id.
func (t *Table) Members() []Member {
	all := []Member{t.self.member()}
	for _, r := range t.records {
		all = append(all, r.member())
	}
	slices.SortFunc(all, func(a, b Member) int { return compareIDs(a.ID, b.ID) })
	return all
}

// Receive merges a heartbeat. It reports whether the table has the addresses of the sender's incarnation.
func (t *Table) Receive(now time.Time, h *Heartbeat) bool {
	for i := range h.Changes {
		newIncarnation := t.merge(now, h.Changes[i])
		if newIncarnation && h.Changes[i].ID == h.ID {
			t.sendNextTick[h.ID] = true
		}
	}
	r := t.records[h.ID]
	known := r != nil && r.Incarnation == h.Incarnation
	if known {
		state := Alive
		if h.Leaving {
			state = Leaving
		}
		e := r.MemberEntry
		e.Sequence, e.State, e.Version = h.Sequence, uint8(state), h.Version
		t.merge(now, e) // no effect if another VM has relayed a later entry
		if h.Sequence > r.lastDirectSequence {
			r.lastHeartbeat, r.lastDirectSequence = now, h.Sequence
		}
	}
	t.digestsEqual = h.Digest == t.digest()
	if !t.digestsEqual {
		t.syncPeer = h.ID
	}
	return known
}

// merge stores the entry if it is more recent than the stored one. It reports whether it added an incarnation that is
// alive or leaving.
func (t *Table) merge(now time.Time, e MemberEntry) bool {
	if e.ID == t.self.ID {
		t.mergeSelf(now, &e)
		return false
	}
	if State(e.State) > Dead {
		return false
	}
	r := t.records[e.ID]
	if r == nil {
		if e.Peer == "" && State(e.State) != Dead {
			return false // wait for an entry with addresses
		}
		t.records[e.ID] = &record{MemberEntry: e, stateSince: now, remainingSends: t.sendsPerChange()}
		t.changed = true
		return State(e.State) < Suspect
	}
	if compare(&e, &r.MemberEntry) <= 0 {
		r.copyMissingAddresses(&e)
		return false
	}
	newer := compareIncarnations(&e, &r.MemberEntry) > 0
	if newer && e.Peer == "" && State(e.State) != Dead {
		return false
	}
	e.copyMissingAddresses(&r.MemberEntry)
	if newer || e.State != r.State || e.Version != r.Version {
		r.stateSince, r.remainingSends, t.changed = now, t.sendsPerChange(), true
	}
	if newer {
		r.lastHeartbeat, r.lastDirectSequence = time.Time{}, 0
	}
	r.MemberEntry = e
	return newer && State(e.State) < Suspect
}

// mergeSelf refutes suspicions of this process and detects other processes with the same id.
func (t *Table) mergeSelf(now time.Time, e *MemberEntry) {
	if e.Incarnation == t.self.Incarnation {
		if State(e.State) >= Suspect && e.Sequence >= t.self.Sequence {
			t.self.Sequence = e.Sequence
			t.announceSelf()
		} else if State(e.State) >= Suspect {
			t.selfRemainingSends = t.sendsPerChange()
		}
		return
	}
	if compareIncarnations(e, &t.self) < 0 {
		return
	}
	if now.Sub(t.started) > restartGrace {
		t.superseded, t.changed = true, true
		return
	}
	t.self.StartMs = e.StartMs + 1
	t.announceSelf()
}

// announceSelf raises the sequence and adds the entry of this VM to the next heartbeats.
func (t *Table) announceSelf() {
	t.self.Sequence++
	t.selfRemainingSends = t.sendsPerChange()
	t.changed = true
}

// SendFailed records that a heartbeat to a member could not be sent. The member becomes suspect if it has sent no
// heartbeat for suspectAfter either. This detects members whose ring successor failed together with them.
func (t *Table) SendFailed(now time.Time, id string) {
	r := t.records[id]
	if r != nil && State(r.State) < Suspect && now.Sub(later(r.lastHeartbeat, r.stateSince)) >= suspectAfter {
		t.setState(now, r, Suspect)
	}
}

// setState changes the state of a member and disseminates it.
func (t *Table) setState(now time.Time, r *record, s State) {
	r.State, r.stateSince, r.remainingSends, t.changed = uint8(s), now, t.sendsPerChange(), true
	if s == Suspect {
		t.sendNextTick[r.ID] = true // the heartbeat carries the suspicion, so that the suspect can refute it
	}
}

// applyTimeouts declares members suspect or dead and removes dead ones after deadRetention. After a pause of this process
// it only restarts the timeouts. It returns whether this process was paused since the last call.
func (t *Table) applyTimeouts(now time.Time) (paused bool) {
	paused = now.Sub(t.lastTick) > pauseThreshold
	t.lastTick = now
	if paused {
		t.restartTimeouts(now)
		return true
	}
	for id, r := range t.records {
		switch {
		case State(r.State) == Suspect && now.Sub(r.stateSince) >= deadAfter:
			t.setState(now, r, Dead)
		case State(r.State) == Dead && now.Sub(r.stateSince) >= deadRetention:
			delete(t.records, id)
		}
	}
	t.watchPredecessor(now)
	return false
}

// restartTimeouts restarts the timeouts of suspicion. After a pause of this process missing heartbeats are no evidence of
// a failure.
func (t *Table) restartTimeouts(now time.Time) {
	t.watchedSince = now
	for _, r := range t.records {
		if State(r.State) == Suspect {
			r.stateSince = now
		}
	}
}

// watchPredecessor suspects the ring predecessor if it has sent no heartbeat for suspectAfter.
func (t *Table) watchPredecessor(now time.Time) {
	ring := t.ring(func(r *record) bool { return State(r.State) < Suspect })
	if len(ring) == 0 {
		t.watchedID = ""
		return
	}
	predecessor := ring[len(ring)-1]
	if predecessor.ID != t.watchedID {
		t.watchedID, t.watchedSince = predecessor.ID, now
	}
	if now.Sub(later(predecessor.lastHeartbeat, t.watchedSince)) >= suspectAfter {
		t.setState(now, predecessor, Suspect)
	}
}

// ring returns the members of this VM's region for which keep returns true, in ring order (by id, wrapping around)
// starting after self.
func (t *Table) ring(keep func(*record) bool) []*record {
	var ring []*record
	for _, r := range t.records {
		if r.Region == t.self.Region && keep(r) {
			ring = append(ring, r)
		}
	}
	slices.SortFunc(ring, func(a, b *record) int { return compareIDs(a.ID, b.ID) })
	first, _ := slices.BinarySearchFunc(ring, t.self.ID, func(r *record, id string) int { return compareIDs(r.ID, id) })
	return slices.Concat(ring[first:], ring[:first])
}

// digest returns a hash over all members that are not dead. Dead ones are left out because VMs remove them at different
// times.
func (t *Table) digest() uint32 {
	sum := t.self.hash()
	for _, r := range t.records {
		if State(r.State) != Dead {
			sum ^= r.hash()
		}
	}
	return uint32(sum)
}
