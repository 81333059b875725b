package membership

import (
	"slices"
	"time"
)

// Times of failure detection, in heartbeat intervals of one second.
const (
	// Interval is the time between two heartbeats to the ring successor.
	Interval = time.Second
	// suspectAfter is the silence after which a VM suspects its ring predecessor.
	suspectAfter = 3 * Interval
	// deadAfter is the time that a suspect has for refutation.
	deadAfter = 3 * Interval
	// forgetAfter is how long dead members are kept, so that late entries do not bring them back.
	forgetAfter = 10 * time.Minute
	// restartGrace is the age of a process up to which it takes a later start time than that of an entry of its own id.
	// This covers a wall clock that went back at the restart.
	restartGrace = 30 * time.Second
	// pauseAfter is the gap between two ticks that counts as a pause of this process.
	pauseAfter = 2500 * time.Millisecond
)

// record is what this VM knows about one other VM.
type record struct {
	MemberEntry
	// heard is when the last heartbeat came directly from the member.
	heard time.Time
	// direct is the last sequence that came directly from the member. Entries passed on by others may be ahead of it.
	direct uint64
	// since is when the current state was learnt.
	since time.Time
	// spread is how many more heartbeats carry the entry.
	spread int
}

// Table is the member table. It is pure: time is passed in. It is not safe for concurrent use.
type Table struct {
	self    MemberEntry
	vitals  Vitals
	started time.Time
	records map[string]*record
	// seeds are addresses of VMs that may be unknown: listed VMs by id, and settings' seeds by address.
	seeds map[string]string

	selfSpread int
	superseded bool
	converged  bool // the last digest received equalled the own one
	changed    bool
	lastTick   time.Time
	ticks      uint64
	syncWith   string // member whose digest differed
	nextSync   uint64 // first tick of the next comparison
	watched    string
	watchSince time.Time
	greet      map[string]bool // members to answer at the next tick
}

// NewTable returns a table that knows only self.
func NewTable(self Member, now time.Time) *Table {
	return &Table{
		self: MemberEntry{ID: self.ID, Incarnation: self.Incarnation, StartMs: self.Start.UnixMilli(), Sequence: 1,
			Region: self.Region, DataCentre: self.DataCentre, Forward: self.Forward, Peer: self.Peer, Admin: self.Admin},
		started: now, records: map[string]*record{}, seeds: map[string]string{}, lastTick: now, watchSince: now,
		greet: map[string]bool{},
	}
}

// SetVitals sets what the next heartbeats carry.
func (t *Table) SetVitals(v Vitals) {
	t.changed = t.changed || v.PresetVersion != t.self.Version
	t.vitals, t.self.Version = v, v.PresetVersion
}

// Leave makes the next heartbeats say that this VM is leaving.
func (t *Table) Leave() {
	if State(t.self.State) != Leaving {
		t.self.State = uint8(Leaving)
		t.announceSelf()
	}
}

// SetSeeds replaces the peer addresses of VMs that may be unknown, by VM id or by the address itself.
func (t *Table) SetSeeds(seeds map[string]string) { t.seeds = seeds }

// Superseded reports that a later incarnation of this VM's id exists, so this process must not serve.
func (t *Table) Superseded() bool { return t.superseded }

// Changed reports whether members, states or preset versions changed since the last call.
func (t *Table) Changed() bool {
	c := t.changed
	t.changed = false
	return c
}

// Members returns all known members including self and dead ones, sorted by id.
func (t *Table) Members() []Member {
	all := []Member{t.self.member()}
	for _, r := range t.records {
		all = append(all, r.member())
	}
	slices.SortFunc(all, func(a, b Member) int { return compareText(a.ID, b.ID) })
	return all
}

// Receive merges a heartbeat. It reports whether the sender is known by its addresses.
func (t *Table) Receive(now time.Time, h *Heartbeat) bool {
	for i := range h.Changes {
		fresh := t.merge(now, h.Changes[i])
		if fresh && h.Changes[i].ID == h.ID {
			t.greet[h.ID] = true
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
		t.merge(now, e) // ignored if another VM has passed on a later entry
		if h.Sequence > r.direct {
			r.heard, r.direct = now, h.Sequence
		}
	}
	t.converged = h.Digest == t.digest()
	if !t.converged {
		t.syncWith = h.ID
	}
	return known
}

// merge takes the entry if it is more recent than the one known. It reports whether the incarnation is new.
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
			return false // a later heartbeat brings the addresses
		}
		t.records[e.ID] = &record{MemberEntry: e, since: now, spread: t.spreadCount()}
		t.changed = true
		return State(e.State) < Suspect
	}
	if compare(&e, &r.MemberEntry) <= 0 {
		r.keepPlace(&e)
		return false
	}
	newer := compareIncarnations(&e, &r.MemberEntry) > 0
	if newer && e.Peer == "" && State(e.State) != Dead {
		return false
	}
	e.keepPlace(&r.MemberEntry)
	if newer || e.State != r.State || e.Version != r.Version {
		r.since, r.spread, t.changed = now, t.spreadCount(), true
	}
	if newer {
		r.heard, r.direct = time.Time{}, 0
	}
	r.MemberEntry = e
	return newer && State(e.State) < Suspect
}

// mergeSelf refutes claims about this process and notices other processes with the same id.
func (t *Table) mergeSelf(now time.Time, e *MemberEntry) {
	if e.Incarnation == t.self.Incarnation {
		if State(e.State) >= Suspect && e.Sequence >= t.self.Sequence {
			t.self.Sequence = e.Sequence
			t.announceSelf()
		} else if State(e.State) >= Suspect {
			t.selfSpread = t.spreadCount()
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

// announceSelf raises the sequence and spreads the own entry.
func (t *Table) announceSelf() {
	t.self.Sequence++
	t.selfSpread = t.spreadCount()
	t.changed = true
}

// SendFailed tells that a heartbeat to a member could not be sent. A member that has been silent too is suspected: this
// finds members whose ring successor failed with them.
func (t *Table) SendFailed(now time.Time, id string) {
	r := t.records[id]
	if r != nil && State(r.State) < Suspect && now.Sub(later(r.heard, r.since)) >= suspectAfter {
		t.setState(now, r, Suspect)
	}
}

func (t *Table) setState(now time.Time, r *record, s State) {
	r.State, r.since, r.spread, t.changed = uint8(s), now, t.spreadCount(), true
	if s == Suspect {
		t.greet[r.ID] = true // tell the suspect, so that it can refute
	}
}

// detect applies the timeouts. It returns whether this process was paused since the last call.
func (t *Table) detect(now time.Time) (paused bool) {
	paused = now.Sub(t.lastTick) > pauseAfter
	t.lastTick = now
	if paused {
		t.forgiveSilence(now)
		return true
	}
	for id, r := range t.records {
		switch {
		case State(r.State) == Suspect && now.Sub(r.since) >= deadAfter:
			t.setState(now, r, Dead)
		case State(r.State) == Dead && now.Sub(r.since) >= forgetAfter:
			delete(t.records, id)
		}
	}
	t.watchPredecessor(now)
	return false
}

// forgiveSilence restarts all timeouts: after a pause of this process the silence of others proves nothing.
func (t *Table) forgiveSilence(now time.Time) {
	t.watchSince = now
	for _, r := range t.records {
		if State(r.State) == Suspect {
			r.since = now
		}
	}
}

func (t *Table) watchPredecessor(now time.Time) {
	ring := t.ring(func(r *record) bool { return State(r.State) < Suspect })
	if len(ring) == 0 {
		t.watched = ""
		return
	}
	p := ring[len(ring)-1]
	if p.ID != t.watched {
		t.watched, t.watchSince = p.ID, now
	}
	if now.Sub(later(p.heard, t.watchSince)) >= suspectAfter {
		t.setState(now, p, Suspect)
	}
}

// ring returns the members of the own region for which keep holds, in ring order starting after self.
func (t *Table) ring(keep func(*record) bool) []*record {
	var ring []*record
	for _, r := range t.records {
		if r.Region == t.self.Region && keep(r) {
			ring = append(ring, r)
		}
	}
	slices.SortFunc(ring, func(a, b *record) int { return compareText(a.ID, b.ID) })
	first, _ := slices.BinarySearchFunc(ring, t.self.ID, func(r *record, id string) int { return compareText(r.ID, id) })
	return slices.Concat(ring[first:], ring[:first])
}

// digest summarises all members that are not dead. Dead ones are forgotten at different times.
func (t *Table) digest() uint32 {
	sum := t.self.hash()
	for _, r := range t.records {
		if State(r.State) != Dead {
			sum ^= r.hash()
		}
	}
	return uint32(sum)
}
