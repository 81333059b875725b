package membership

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

const (
	// maxChanges bounds the entries of one heartbeat.
	maxChanges = 8
	// partnerLimit bounds the members of a region from which receivers are drawn. Setting up connections to all members
	// of a large region would exceed the control budget of 2 KB/s.
	partnerLimit = 8
	// syncTicks is the least number of ticks between two comparisons of the whole table that this VM starts. Entries sent
	// at random instead spread too slowly in a large fleet.
	syncTicks = 2
	// randomTicks, otherRegionTicks and probeTicks are the ticks between heartbeats to a random VM of the region, to one
	// of the other region, and to a VM that is listed but unknown or dead. Heartbeats to a random VM every tick and to
	// the other region every second one take a VM at 16 VMs above 2 KB/s for control.
	randomTicks      = 2
	otherRegionTicks = 4
	probeTicks       = 5
)

// Message is a heartbeat to send.
type Message struct {
	// ID is the receiver, or the address of a seed.
	ID        string
	Address   string
	Heartbeat Heartbeat
	// Sync says that the table is to be compared with the receiver's: send Summary, merge the answer.
	Sync bool
}

// Tick applies the timeouts and returns what to send now. Call it once per Interval. paused reports that the time since
// the previous call was too long for this process to have been running.
func (t *Table) Tick(now time.Time, rng *rand.Rand) (messages []Message, paused bool) {
	paused = t.detect(now)
	t.ticks++
	if t.superseded {
		return nil, paused
	}
	for _, target := range t.targets(rng) {
		t.self.Sequence++
		target.Heartbeat = t.heartbeat(target.ID, rng)
		messages = append(messages, target)
	}
	return messages, paused
}

// targets chooses the receivers of this tick.
func (t *Table) targets(rng *rand.Rand) []Message {
	chosen := map[string]string{}
	add := func(r *record) { chosen[r.ID] = r.Peer }
	ring := t.ring(func(r *record) bool { return State(r.State) != Dead })
	for _, r := range ring { // suspects may be gone, so the next member gets a heartbeat too
		add(r)
		if State(r.State) < Suspect {
			break
		}
	}
	rest := lo.Filter(ring, func(r *record, _ int) bool { return chosen[r.ID] == "" })
	if rest = t.partners(rest); len(rest) > 0 && t.ticks%randomTicks == 0 {
		add(rest[rng.IntN(len(rest))])
	}
	if far := t.partners(t.otherRegion()); len(far) > 0 && t.ticks%otherRegionTicks == 0 {
		add(far[rng.IntN(len(far))])
	}
	for id := range t.greet {
		if r := t.records[id]; r != nil && r.Peer != "" {
			add(r)
		}
	}
	clear(t.greet)
	if len(ring) == 0 || t.ticks%probeTicks == 0 {
		t.addProbe(chosen, rng)
	}
	messages := lo.MapToSlice(chosen, func(id, address string) Message { return Message{ID: id, Address: address} })
	slices.SortFunc(messages, func(a, b Message) int { return compareText(a.ID, b.ID) })
	return t.addSync(messages)
}

// partners returns the few members of a list from which this VM draws at random, chosen by rendezvous hashing.
func (t *Table) partners(list []*record) []*record {
	weight := func(r *record) uint64 { return xxhash.Sum64String(t.self.ID + "\x00" + r.ID) }
	slices.SortFunc(list, func(a, b *record) int { return cmp.Compare(weight(b), weight(a)) })
	return list[:min(len(list), partnerLimit)]
}

// addSync marks a message for a comparison of tables: with an unknown VM, so that groups that do not know each other
// merge, else with one whose digest differed.
func (t *Table) addSync(messages []Message) []Message {
	with := t.records[t.syncWith]
	t.syncWith = ""
	unknown := slices.IndexFunc(messages, func(m Message) bool {
		r := t.records[m.ID]
		return r == nil || State(r.State) == Dead
	})
	switch {
	case t.ticks < t.nextSync:
		return messages
	case unknown >= 0:
		messages[unknown].Sync = true
	case with != nil && with.Peer != "":
		i := slices.IndexFunc(messages, func(m Message) bool { return m.ID == with.ID })
		if i < 0 {
			i, messages = len(messages), append(messages, Message{ID: with.ID, Address: with.Peer})
		}
		messages[i].Sync = true
	default:
		return messages
	}
	t.nextSync = t.ticks + syncTicks
	return messages
}

func (t *Table) otherRegion() []*record {
	far := lo.Filter(lo.Values(t.records), func(r *record, _ int) bool {
		return r.Region != t.self.Region && State(r.State) != Dead && r.Peer != ""
	})
	slices.SortFunc(far, func(a, b *record) int { return compareText(a.ID, b.ID) })
	return far
}

// addProbe adds one VM that is listed but unknown or dead. This is how VMs find each other at start and after a cut
// between the regions.
func (t *Table) addProbe(chosen map[string]string, rng *rand.Rand) {
	known := map[string]bool{t.self.Peer: true}
	for _, r := range t.records {
		if State(r.State) != Dead {
			known[r.Peer], known[r.ID] = true, true
		}
	}
	unknown := lo.Filter(lo.Keys(t.seeds), func(id string, _ int) bool {
		return id != t.self.ID && !known[id] && !known[t.seeds[id]]
	})
	for _, r := range t.records {
		if State(r.State) == Dead && r.Peer != "" && t.seeds[r.ID] == "" {
			unknown = append(unknown, r.ID)
		}
	}
	if len(unknown) == 0 {
		return
	}
	slices.Sort(unknown)
	id := unknown[rng.IntN(len(unknown))]
	chosen[id] = t.seeds[id]
	if chosen[id] == "" {
		chosen[id] = t.records[id].Peer
	}
}

// heartbeat builds the next heartbeat for the receiver.
func (t *Table) heartbeat(receiver string, rng *rand.Rand) Heartbeat {
	h := Heartbeat{ID: t.self.ID, Incarnation: t.self.Incarnation, Sequence: t.self.Sequence,
		Leaving: State(t.self.State) == Leaving, Version: t.self.Version, LogOffset: t.vitals.LogOffset,
		LogAgeMs: t.vitals.LogAge.Milliseconds(), Digest: t.digest()}
	r := t.records[receiver]
	if r != nil && State(r.State) >= Suspect {
		h.Changes = append(h.Changes, r.wire()) // first, so that it can refute
	}
	stranger := r == nil || State(r.State) == Dead // it may not know this VM either
	if t.selfSpread > 0 || !t.converged || stranger {
		t.selfSpread = max(0, t.selfSpread-1)
		h.Changes = append(h.Changes, t.self.wire())
	}
	h.Changes = t.appendChanged(h.Changes, rng)
	return h
}

// shuffled returns all records in random order, so that VMs that know the same send different entries.
func (t *Table) shuffled(rng *rand.Rand) []*record {
	all := lo.Values(t.records)
	slices.SortFunc(all, func(a, b *record) int { return compareText(a.ID, b.ID) })
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

// appendChanged appends entries that have been sent least often since they changed.
func (t *Table) appendChanged(to []MemberEntry, rng *rand.Rand) []MemberEntry {
	changed := lo.Filter(t.shuffled(rng), func(r *record, _ int) bool { return r.spread > 0 })
	slices.SortStableFunc(changed, func(a, b *record) int { return b.spread - a.spread })
	for _, r := range changed {
		if len(to) >= maxChanges {
			break
		}
		r.spread--
		to = append(to, r.wire())
	}
	return to
}

// spreadCount is how many heartbeats carry a change: enough for an epidemic to reach all with high probability. The
// comparison of tables finds what is left.
func (t *Table) spreadCount() int { return bits.Len(uint(len(t.records)+1)) + 1 }

func compareText(a, b string) int { return strings.Compare(a, b) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
