package directory

import (
	"encoding/json"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
)

var _ = Describe("A read of the store", func() {
	var state, peer *State
	record := func(offset int64, id string, leaving bool) Record {
		data, err := json.Marshal(Server{Service: "s", Address: "1", Slots: 3, Incarnation: 1, Sequence: offset, Leaving: leaving})
		Expect(err).NotTo(HaveOccurred())
		return Record{Key: id, Value: data, Offset: offset}
	}
	batch := func(next int64, records ...Record) Batch { return Batch{Records: records, Next: next} }
	sync := func(to, from *State) {
		to.ApplySnapshot(from.Snapshot(Versions{ServersRevision: to.Digest().ServersRevision}), "vm")
	}
	// Both VMs know the servers a and b.
	BeforeEach(func() {
		manualClock := clock.NewManual(time.Unix(1_800_000_000, 0))
		newState := func() *State { return NewState(manualClock, testCodec{}, func(*View) {}) }
		state, peer = newState(), newState()
		peer.applyServers(batch(2, record(0, "a", false), record(1, "b", false)), true)
		sync(state, peer)
	})

	// Guards against requests to a server that is gone, because a read that began before a snapshot is applied after it.
	It("that is older than a snapshot brings back nothing that the snapshot removed", func() {
		heartbeat := record(2, "b", false)
		peer.applyServers(batch(4, heartbeat, Record{Key: "b", Offset: 3}), false)
		sync(state, peer)
		Expect(state.View().Servers).NotTo(HaveKey("b"))

		state.applyServers(batch(3, heartbeat), false)
		Expect(state.View().Servers).NotTo(HaveKey("b"), "changes")
		state.applyServers(batch(3, record(0, "a", false), heartbeat), true)
		Expect(state.View().Servers).NotTo(HaveKey("b"), "all servers")
		Expect(state.Digest().ServersRevision).To(BeEquivalentTo(4))
	})

	// Guards against a removal that no longer counts once many others have followed it.
	It("brings nothing back after any number of removals", func() {
		heartbeat := record(2, "b", false)
		peer.applyServers(batch(4, heartbeat, Record{Key: "b", Offset: 3}), false)
		for i := range int64(2 * maxRecordedRemovals) {
			id := fmt.Sprintf("c%d", i)
			peer.applyServers(batch(6+2*i, record(4+2*i, id, false), Record{Key: id, Offset: 5 + 2*i}), false)
		}
		Expect(len(peer.history.removed)).To(BeNumerically("<=", maxRecordedRemovals))
		sync(state, peer)
		state.applyServers(batch(3, heartbeat), false)
		Expect(state.View().Servers).To(HaveLen(1))
	})

	// Guards against a server that is new in a snapshot and is removed by a read that began before.
	It("of all servers that is older than a snapshot removes nothing that the snapshot added", func() {
		peer.applyServers(batch(3, record(2, "c", false)), false)
		sync(state, peer)
		state.applyServers(batch(2, record(0, "a", false), record(1, "b", false)), true)
		Expect(state.View().Servers).To(HaveKey("c"))
	})

	// Guards against a record that the store deleted unread and a snapshot did not hold.
	It("of all servers that is not older than the state replaces it", func() {
		state.applyServers(batch(9, record(5, "c", false), record(8, "a", true)), true)
		Expect(state.View().Servers).To(And(HaveLen(2), HaveKey("c")))
		Expect(state.View().Servers["a"].Leaving).To(BeTrue())
		Expect(state.Digest().ServersRevision).To(BeEquivalentTo(9))
	})

	Context("of all servers in several pages", func() {
		// The pages are read one after the other: after the first page a reports that it is leaving and d leaves; the last page
		// holds c, written at offset 4.
		changes := func() []Record {
			return []Record{record(2, "a", true), {Key: "d", Offset: 3}, record(4, "c", false)}
		}
		BeforeEach(func() {
			for _, s := range []*State{state, peer} {
				s.applyServers(batch(2, record(0, "a", false), record(1, "d", false)), true)
			}
			peer.applyServers(batch(2, record(0, "a", false), record(4, "c", false)), true)
		})

		// Guards against changes that are lost because a record from a later page counts as everything before it.
		It("is followed by the changes since its first page", func() {
			Expect(peer.Digest().ServersRevision).To(BeEquivalentTo(2))
			peer.applyServers(batch(5, changes()...), false)
			Expect(peer.View().Servers["a"].Leaving).To(BeTrue())
			Expect(peer.View().Servers).To(HaveLen(2))
		})

		// Guards against VMs with the same revision and different servers.
		It("leaves nothing that other VMs do not get", func() {
			peer.applyServers(batch(5, changes()...), false)
			sync(state, peer)
			Expect(state.Digest().ServersRevision).To(Equal(peer.Digest().ServersRevision))
			Expect(state.View().Servers).To(And(HaveLen(2), HaveKey("a"), HaveKey("c")))
			Expect(state.View().Servers["a"].Leaving).To(BeTrue())
		})

		// Guards against a snapshot whose sender has an older record of a server than this VM, and against one from a VM of an
		// earlier version, which names no revisions.
		It("is not undone by a snapshot with an older record of a server", func() {
			peer.applyServers(batch(2, record(0, "a", false), record(6, "b", true)), true)
			older := Server{ID: "b", Service: "s", Address: "1", Slots: 3, Incarnation: 9, Sequence: 50, Revision: 3}
			unknown := Server{ID: "e", Service: "s", Address: "1", Slots: 3, Incarnation: 9, Sequence: 50}
			snap := Snapshot{Digest: Digest{ServersRevision: 4, ServersNext: 4}, Since: 2, Servers: []Server{older, unknown}}
			peer.ApplySnapshot(snap, "vm")
			Expect(peer.View().Servers["b"].Leaving).To(BeTrue(), "changes")
			Expect(peer.View().Servers).To(HaveKey("e"))
			snap.Since, snap.ServersRevision = 0, 5
			peer.ApplySnapshot(snap, "vm")
			Expect(peer.View().Servers["b"].Leaving).To(BeTrue(), "all servers")
			Expect(peer.View().Servers).To(HaveLen(2))
		})
	})
})
