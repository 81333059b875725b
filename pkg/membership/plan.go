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
	// maxChanges bounds the member entries in one heartbeat.
	maxChanges = 8
	// gossipPeerLimit bounds the members of a region from which this VM draws receivers at random. Opening connections to
	// all members of a large region would exceed the control budget of 2 KB/s.
	gossipPeerLimit = 8
	// syncTicks is the minimum number of ticks between two comparisons of the whole table that this VM starts. Sending
	// random entries instead of comparing spreads them too slowly among many VMs.
	syncTicks = 2
	// randomPeerTicks, otherRegionTicks and probeTicks are the numbers of ticks between heartbeats to a random VM of the
	// region, to one of the other region, and to a VM that is listed but unknown or dead. With 16 VMs, heartbeats to a
	// random VM at every tick and to the other region at every second tick exceed 2 KB/s of control traffic per VM.
	randomPeerTicks  = 2
	otherRegionTicks = 4
	probeTicks       = 5
)

// Message is a heartbeat to send.
type Message struct {
	// ID is the receiver, or the address of a seed.
	ID        string
	Address   string
	Heartbeat Heartbeat
	// Sync requests a comparison with the receiver's table: the sender sends its Summary and merges the response.
	Sync bool
}

// Tick applies the timeouts and returns the heartbeats to send. It must be called once per Interval. The result paused
// reports that the time since the previous call exceeds pauseThreshold, so this process was not running throughout.
func (t *Table) Tick(now time.Time, rng *rand.Rand) (messages []Message, paused bool) {
	paused = t.applyTimeouts(now)
	t.ticks++
	if t.superseded {
		return nil, paused
	}
	// All heartbeats of a tick have the same sequence. The ring successor, which detects a failure, then knows the highest one;
	// otherwise a later sequence at another VM would undo its finding.
	t.self.Sequence++
	for _, message := range t.receivers(rng) {
		message.Heartbeat = t.heartbeat(message.ID, rng)
		messages = append(messages, message)
	}
	return messages, paused
}

// receivers chooses the receivers of this tick and returns messages that lack only the heartbeat.
func (t *Table) receivers(rng *rand.Rand) []Message {
	addresses := map[string]string{}
	add := func(r *record) { addresses[r.ID] = r.Peer }
	ring := t.ring(func(r *record) bool { return State(r.State) != Dead })
	for _, r := range ring { // a suspect successor may be dead, so the member after it gets a heartbeat too
		add(r)
		if State(r.State) < Suspect {
			break
		}
	}
	others := lo.Filter(ring, func(r *record, _ int) bool { return addresses[r.ID] == "" })
	if others = t.gossipPeers(others); len(others) > 0 && t.ticks%randomPeerTicks == 0 {
		add(others[rng.IntN(len(others))])
	}
	if remote := t.gossipPeers(t.otherRegionRecords()); len(remote) > 0 && t.ticks%otherRegionTicks == 0 {
		add(remote[rng.IntN(len(remote))])
	}
	for id := range t.sendNextTick {
		if r := t.records[id]; r != nil && r.Peer != "" {
			add(r)
		}
	}
	clear(t.sendNextTick)
	if len(ring) == 0 || t.ticks%probeTicks == 0 {
		t.addProbe(addresses, rng)
	}
	messages := lo.MapToSlice(addresses, func(id, address string) Message { return Message{ID: id, Address: address} })
	slices.SortFunc(messages, func(a, b Message) int { return compareIDs(a.ID, b.ID) })
	return t.addSync(messages)
}

// gossipPeers returns the members of a list from which this VM draws receivers at random: at most gossipPeerLimit, chosen
// by rendezvous hashing.
func (t *Table) gossipPeers(list []*record) []*record {
	weight := func(r *record) uint64 { return xxhash.Sum64String(t.self.ID + "\x00" + r.ID) }
	slices.SortFunc(list, func(a, b *record) int { return cmp.Compare(weight(b), weight(a)) })
	return list[:min(len(list), gossipPeerLimit)]
}

// addSync requests a table comparison with at most one receiver: with an unknown or dead VM if there is one, so that
// groups without knowledge of each other merge, otherwise with a VM whose digest differed.
func (t *Table) addSync(messages []Message) []Message {
	differing := t.records[t.syncPeer]
	t.syncPeer = ""
	unknown := slices.IndexFunc(messages, func(m Message) bool {
		r := t.records[m.ID]
		return r == nil || State(r.State) == Dead
	})
	switch {
	case t.ticks < t.nextSyncTick:
		return messages
	case unknown >= 0:
		messages[unknown].Sync = true
	case differing != nil && differing.Peer != "":
		i := slices.IndexFunc(messages, func(m Message) bool { return m.ID == differing.ID })
		if i < 0 {
			i, messages = len(messages), append(messages, Message{ID: differing.ID, Address: differing.Peer})
		}
		messages[i].Sync = true
	default:
		return messages
	}
	t.nextSyncTick = t.ticks + syncTicks
	return messages
}

// otherRegionRecords returns the members of other regions that are not dead and have a peer address, sorted by id.
func (t *Table) otherRegionRecords() []*record {
	others := lo.Filter(lo.Values(t.records), func(r *record, _ int) bool {
		return r.Region != t.self.Region && State(r.State) != Dead && r.Peer != ""
	})
	slices.SortFunc(others, func(a, b *record) int { return compareIDs(a.ID, b.ID) })
	return others
}

// addProbe adds one random VM that is listed but unknown or dead. Through these heartbeats VMs discover each other at the
// start and after a network partition between the regions.
func (t *Table) addProbe(addresses map[string]string, rng *rand.Rand) {
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
	addresses[id] = t.seeds[id]
	if addresses[id] == "" {
		addresses[id] = t.records[id].Peer
	}
}

// heartbeat builds the next heartbeat for the receiver.
func (t *Table) heartbeat(receiver string, rng *rand.Rand) Heartbeat {
	h := Heartbeat{ID: t.self.ID, Incarnation: t.self.Incarnation, Sequence: t.self.Sequence,
		Leaving: State(t.self.State) == Leaving, Version: t.self.Version, LogOffset: t.status.LogOffset,
		LogAgeMs: t.status.LogAge.Milliseconds(), Digest: t.digest()}
	r := t.records[receiver]
	if r != nil && State(r.State) >= Suspect {
		h.Changes = append(h.Changes, r.wireForm()) // first, so that the receiver can refute it
	}
	unknown := r == nil || State(r.State) == Dead // the receiver may not know this VM either
	if t.selfRemainingSends > 0 || !t.digestsEqual || unknown {
		t.selfRemainingSends = max(0, t.selfRemainingSends-1)
		h.Changes = append(h.Changes, t.self.wireForm())
	}
	h.Changes = t.appendChanges(h.Changes, rng)
	return h
}

// shuffledRecords returns all records in random order, so that VMs with equal tables send different entries.
func (t *Table) shuffledRecords(rng *rand.Rand) []*record {
	all := lo.Values(t.records)
	slices.SortFunc(all, func(a, b *record) int { return compareIDs(a.ID, b.ID) })
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

// appendChanges appends changed entries up to maxChanges, those first that have been sent least often since they changed.
func (t *Table) appendChanges(entries []MemberEntry, rng *rand.Rand) []MemberEntry {
	changed := lo.Filter(t.shuffledRecords(rng), func(r *record, _ int) bool { return r.remainingSends > 0 })
	slices.SortStableFunc(changed, func(a, b *record) int { return b.remainingSends - a.remainingSends })
	for _, r := range changed {
		if len(entries) >= maxChanges {
			break
		}
		r.remainingSends--
		entries = append(entries, r.wireForm())
	}
	return entries
}

// sendsPerChange returns the number of heartbeats that carry a change: enough for epidemic dissemination to reach all VMs
// with high probability. Table comparisons find the remaining differences.
func (t *Table) sendsPerChange() int { return bits.Len(uint(len(t.records)+1)) + 1 }

func compareIDs(a, b string) int { return strings.Compare(a, b) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
