package directory

import (
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
)

var _ = Describe("Server records", func() {
	const firstBorn, secondBorn = 5000, 3000
	var (
		manualClock *clock.Manual
		state       *State
	)
	BeforeEach(func() {
		manualClock = clock.NewManual(time.Unix(1_800_000_000, 0))
		state = NewState(manualClock, testCodec{}, func(*View) {})
	})
	newState := func() *State { return NewState(manualClock, testCodec{}, func(*View) {}) }
	record := func(offset int64, s Server) Record {
		data, err := json.Marshal(s)
		Expect(err).NotTo(HaveOccurred())
		return Record{Key: s.ID, Value: data, Offset: offset}
	}
	removal := func(offset int64, id string) Record { return Record{Key: id, Offset: offset} }
	server := func(born, sequence int64, leaving bool) Server {
		return Server{ID: "a", Service: "s", Address: "1", Slots: 3, Incarnation: born, Sequence: sequence, Leaving: leaving}
	}
	read := func(next int64, records ...Record) {
		state.applyServers(Batch{Records: records, Next: next}, false)
	}
	readAll := func(next int64, records ...Record) {
		state.applyServers(Batch{Records: records, Next: next}, true)
	}

	// Guards against a server that is used after it has reported that it is leaving, because its clock was ahead at its
	// earlier start.
	It("takes the records of a server that starts again with a lower start time", func() {
		readAll(1, record(0, server(firstBorn, 40, false)))
		read(2, record(1, server(secondBorn, 1, false)))
		Expect(state.View().Servers["a"].Incarnation).To(BeEquivalentTo(secondBorn))
		read(3, record(2, server(secondBorn, 2, true)))
		Expect(state.View().ByService["s"]).To(BeEmpty())
	})

	// Guards against a server without a start time whose sequence numbers start anew.
	It("takes the records of a server that starts again without a start time", func() {
		readAll(1, record(0, server(0, 40, false)))
		read(2, record(1, server(0, 1, true)))
		Expect(state.View().ByService["s"]).To(BeEmpty())
	})

	// Guards against a write of a server that the store executes late, after the server has reported that it is leaving.
	It("ignores a lower sequence number of the same start", func() {
		readAll(1, record(0, server(firstBorn, 40, true)))
		read(2, record(1, server(firstBorn, 39, false)))
		Expect(state.View().ByService["s"]).To(BeEmpty())
	})

	// Guards against a record of another writer, without the start time that the server states, that takes the place of the server's.
	It("ignores a record without a start time of a server that states it", func() {
		readAll(1, record(0, server(firstBorn, 40, true)))
		read(2, record(1, server(0, 90, false)))
		Expect(state.View().ByService["s"]).To(BeEmpty())
		Expect(state.View().Servers["a"].Incarnation).To(BeEquivalentTo(firstBorn))
	})

	// Guards against an older record that is read once more, whatever its start time, and against a record that names a place in
	// the store itself.
	It("never replaces a record by one from before it in the store", func() {
		crafted := server(secondBorn, 1, true)
		crafted.Revision = 1000
		readAll(11, record(10, crafted))
		Expect(state.View().Servers["a"].Revision).To(BeEquivalentTo(11), "only the store tells the place of a record")
		older := record(8, server(firstBorn, 40, false))
		read(11, older)
		Expect(state.View().ByService["s"]).To(BeEmpty(), "incremental read")
		readAll(11, older)
		Expect(state.View().ByService["s"]).To(BeEmpty(), "read of the newest records")
		read(11, removal(9, "a"))
		Expect(state.View().Servers).To(HaveKey("a"), "removal")
		read(12, record(11, server(secondBorn, 2, false)))
		Expect(state.View().ByService["s"]).To(HaveLen(1))
	})

	// Guards against VMs that order records differently after a snapshot.
	It("sends the place of a record in the store to other VMs", func() {
		readAll(6, record(5, server(firstBorn, 40, false)))
		other := newState()
		other.ApplySnapshot(state.Snapshot(Versions{}), "vm")
		Expect(other.View().Servers["a"].Revision).To(BeEquivalentTo(6))
		other.applyServers(Batch{Records: []Record{record(6, server(secondBorn, 1, true))}, Next: 7}, false)
		Expect(other.View().ByService["s"]).To(BeEmpty())
	})
})
