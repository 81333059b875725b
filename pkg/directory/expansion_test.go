package directory

import (
	"bytes"
	"encoding/json"
	"runtime"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
)

// peakGrowth returns by how many bytes the heap in use grows at most while f runs.
func peakGrowth(f func()) uint64 {
	const interval = 5 * time.Millisecond
	liveHeap := func() uint64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := liveHeap()
	peak, done := before, make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	for {
		select {
		case <-done:
			return max(peak, liveHeap()) - before
		case <-time.After(interval):
			peak = max(peak, liveHeap())
		}
	}
}

var _ = Describe("A snapshot that expands", func() {
	const (
		maxGrowth = 48 << 20
		// maxFrame is the size in bytes of the largest message of another VM.
		maxFrame = 4 << 20
	)
	var state *State
	BeforeEach(func() {
		state = NewState(clock.NewManual(time.Unix(1_800_000_000, 0)), testCodec{}, func(*View) {})
		state.applyServers(Batch{Records: []Record{{Key: "a", Value: []byte(`{"service":"s"}`)}}, Next: 1}, true)
	})
	emptyServers := func(size int) []byte {
		return append(append([]byte("["), bytes.Repeat([]byte("{},"), size/3)...), "{}]"...)
	}

	// Guards against a VM that runs out of memory by a small message of another one, and against servers that are lost to it.
	DescribeTable("takes a bounded memory and changes nothing", func(message func() []byte) {
		text := message()
		Expect(len(text)).To(BeNumerically("<=", maxFrame))
		growth := peakGrowth(func() {
			var snap Snapshot
			if json.Unmarshal(text, &snap) == nil {
				state.ApplySnapshot(snap, "vm")
			}
		})
		Expect(growth).To(BeNumerically("<", maxGrowth))
		Expect(state.View().Servers).To(HaveLen(1))
		Expect(state.View().Servers).To(HaveKey("a"))
		Expect(state.Digest().ConfigVersion).To(BeZero())
	},
		Entry("in compressed servers", func() []byte {
			text, err := json.Marshal(Snapshot{Digest: Digest{ServersRevision: 2}, CompressedServers: compress(emptyServers(8 << 20))})
			Expect(err).NotTo(HaveOccurred())
			return text
		}),
		Entry("in changed servers", func() []byte {
			return append(append([]byte(`{"ServersRevision":2,"since":1,"servers":`), emptyServers(maxFrame-100)...), '}')
		}),
		Entry("in a configuration", func() []byte {
			record := append(bytes.Repeat([]byte("0"), 15<<20), '1')
			text, err := json.Marshal(Snapshot{Digest: Digest{ConfigVersion: 1}, ConfigKey: "config", ConfigRecord: compress(record)})
			Expect(err).NotTo(HaveOccurred())
			return text
		}),
	)
})
