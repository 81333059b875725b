package operation_test

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/operation"
	"github.com/hornbeamway/hornbeamway/pkg/platformlog"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
)

var _ = Describe("key ranges", func() {
	var c *cluster
	BeforeEach(func() {
		c = newCluster("e1", "e2", "e3")
		c.run(20 * time.Second)
	})
	begin := func(v *vm, key string) (*operation.Entry, operation.Verdict) {
		return v.Begin(c.clock.Now(), key, 1, time.Time{})
	}
	done := operation.Response{Status: 201, Headers: []operation.Header{{Name: "A", Value: "b"}}, Body: []byte("x")}

	// Guards against uneven shares, and against memory windows although no memory was lost.
	It("are spread evenly from an empty log without a memory window", func() {
		Expect(c.owned()).To(HaveEach(BeNumerically("~", operation.RangeCount/3, 1)))
		expectNoWindow(c)
	})

	// Guards against a key that runs again, or gets the verdict Unknown, after a planned move.
	It("keep their memory when a VM stops and when one joins", func() {
		keys := []string{"a", "b", "c", "d", "e", "f"}
		for _, key := range keys {
			e, v := begin(c.owner(key), key)
			Expect(v).To(Equal(operation.Run))
			c.owner(key).Finish(e, done)
		}
		stopped, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(c.vms["e1"].Drain(stopped)).To(MatchError(operation.ErrDrainIncomplete))
		c.run(8 * time.Second)
		Expect(c.vms["e1"].Drain(stopped)).To(Succeed())
		delete(c.vms, "e1")
		c.run(5 * time.Second)
		c.ids = append(c.ids, "e4")
		c.start("e4")
		c.run(15 * time.Second)
		Expect(c.owned()).To(And(HaveLen(3), HaveEach(BeNumerically("~", operation.RangeCount/3, 1))))
		for _, key := range keys {
			e, v := begin(c.owner(key), key)
			Expect(v).To(Equal(operation.Replay))
			Expect(*e.Response()).To(Equal(done))
		}
		expectNoWindow(c)
	})

	// Guards against memory that is lost when two VMs drain at the same time and one is the successor of the other.
	It("keep their memory when the successor begins to stop before it reads the release", func() {
		old := c.owner("k")
		e, _ := begin(old, "k")
		old.Finish(e, done)
		startDrain(old)
		c.step(old.self.VM)
		c.runSends(old.self.VM)
		c.step(old.self.VM)
		Expect(c.owner("k")).NotTo(BeNil(), "the release is not read yet")
		var remaining *vm
		for _, id := range c.ids {
			switch v := c.vms[id]; {
			case v == old:
			case remaining == nil:
				remaining = v
			default:
				startDrain(v)
			}
		}
		stopped, cancel := context.WithCancel(context.Background())
		cancel()
		for range 25 {
			c.run(time.Second)
			for id, v := range c.vms {
				if v.draining && v.Drain(stopped) == nil {
					delete(c.vms, id)
				}
			}
		}
		Expect(c.owned()).To(Equal(map[string]int{remaining.self.VM: operation.RangeCount}))
		_, v := begin(remaining, "k")
		Expect(v).To(Equal(operation.Replay))
		for r := range operation.RangeCount {
			Expect(remaining.ranges.Holding(r).AdmitFrom).To(BeTemporally("<=", c.clock.Now()), "range %d", r)
		}
	})

	// Guards against a new owner that runs keys which the dead owner may have run, for each handover step at which it can die.
	DescribeTable("start the memory window when the owner dies", func(before func(v *vm)) {
		old := c.owner("k")
		e, _ := begin(old, "k")
		old.Finish(e, done)
		before(old)
		delete(c.vms, old.self.VM)
		c.run(operation.TakeoverDelay + 5*time.Second)
		_, v := begin(c.owner("k"), "k")
		Expect(v).To(Equal(operation.Unknown))
		c.run(operation.UncleanWindow)
		_, v = begin(c.owner("k"), "k")
		Expect(v).To(Equal(operation.Run))
	},
		Entry("outside a handover", func(*vm) {}),
		Entry("after it froze the range", func(v *vm) { startDrain(v); c.step(v.self.VM) }),
		Entry("after the successor confirmed, before the release", func(v *vm) {
			startDrain(v)
			c.step(v.self.VM)
			c.runSends(v.self.VM)
		}),
	)

	// Guards against a second run on the successor of a key that starts after the export of its range or still runs then.
	It("start no new key between export and release, and hand over running keys as unknown", func() {
		old := c.owner("k")
		e, v := begin(old, "k")
		Expect(v).To(Equal(operation.Run))
		startDrain(old)
		late := ""
		for i := 0; late == ""; i++ {
			if key := fmt.Sprint(i); operation.RangeOf(key) == operation.RangeOf("k") {
				late = key
			}
		}
		for range 3 {
			c.clock.Advance(time.Second)
			c.step(old.self.VM)
			_, v = begin(old, late)
			Expect(v).To(Equal(operation.Unavailable))
			c.runSends(old.self.VM)
		}
		c.run(3 * time.Second)
		Expect(old.MarkNotRun(e)).To(Equal(problem.Unknown), "the successor owns the key now")
		_, v = begin(c.owner("k"), "k")
		Expect(v).To(Equal(operation.Unknown))
		_, v = begin(c.owner(late), late)
		Expect(v).To(Equal(operation.Run))
	})

	// Guards against a late chunk of an earlier handover that is accepted as the memory of the current release.
	It("are not claimed cleanly with the chunks of an earlier handover", func() {
		old := c.owner("k")
		c.loseHandover = 3 * operation.RangeCount
		startDrain(old)
		c.step(old.self.VM)
		c.runSends(old.self.VM)
		c.loseHandover = 0
		for range 6 {
			c.clock.Advance(time.Second)
			c.step(old.self.VM)
		}
		c.runSends(old.self.VM)
		c.step(old.self.VM)
		Expect(c.unconfirmedChunks).NotTo(BeEmpty())
		moved := c.unconfirmedChunks[0].Range
		for id, v := range c.vms {
			if id != old.self.VM {
				Expect(v.ranges.ReceiveChunk(c.unconfirmedChunks[0])).To(Succeed())
			}
		}
		c.run(3 * time.Second)
		claimed := 0
		for id, v := range c.vms {
			if h := v.ranges.Holding(moved); h.Owner.Local && id != old.self.VM {
				Expect(h.AdmitFrom).To(BeTemporally(">", c.clock.Now()))
				claimed++
			}
		}
		Expect(claimed).To(Equal(1))
	})

	// Guards against a holder that, after a pause beyond its lease, writes, or returns not_run for a key that another VM ran.
	It("stop a paused holder before its write", func() {
		old := c.owner("k")
		e, v := begin(old, "k")
		Expect(v).To(Equal(operation.Run))
		old.paused = true
		c.run(operation.TakeoverDelay + operation.UncleanWindow + 5*time.Second)
		_, v = begin(c.owner("k"), "k")
		Expect(v).To(Equal(operation.Run))
		old.paused = false
		Expect(old.CheckBeforeWrite(e)).To(HaveField("Outcome", problem.Unknown))
		Expect(old.MarkNotRun(e)).To(Equal(problem.Unknown))
		_, v = begin(old, "k2")
		Expect(v).NotTo(Equal(operation.Run))
		_, _ = old.ranges.Step(context.Background())
		_, v = begin(old, "k")
		Expect(v).NotTo(Equal(operation.Run))
	})

	// Guards against leases that do not end in a log outage, and against tickets that depend on the log.
	It("lose their leases in a log outage while tickets go on", func() {
		for _, v := range c.vms {
			v.log.down = true
		}
		c.run(operation.LeaseDuration + time.Second)
		Expect(c.owned()).To(BeEmpty())
		v := c.vms["e2"]
		ticket, _ := v.Issue()
		owner, err := c.vms["e1"].Locate(ticket)
		Expect(err).NotTo(HaveOccurred())
		Expect(owner.VM).To(Equal("e2"))
		e, verdict := begin(v, ticket)
		Expect(verdict).To(Equal(operation.Run))
		Expect(v.CheckBeforeWrite(e)).To(Succeed())
		for _, v := range c.vms {
			v.log.down = false
		}
		c.run(3 * time.Second)
		Expect(c.owned()).To(HaveEach(BeNumerically("~", operation.RangeCount/3, 1)), "the owners renew; no VM takes over")
	})

	// Guards against a VM that cannot reach the log and keeps its ranges, or acquires them again without a memory window.
	It("move to the region that reaches the log when the regions are apart", func() {
		c.vms["e3"].log.down = true
		c.run(operation.TakeoverDelay + 3*time.Second)
		Expect(c.owned()).To(And(HaveLen(2), HaveEach(operation.RangeCount/2)))
		c.vms["e3"].log.down = false
		c.run(15 * time.Second)
		Expect(c.owned()).To(And(HaveLen(3), HaveEach(BeNumerically("~", operation.RangeCount/3, 1))))
	})

	// Guards against ownership that is lost with expired records, or that a VM started later reads differently.
	It("survive expired records through snapshots", func() {
		c.run(60 * time.Second)
		want := c.owned()
		c.log.expire(len(c.log.records) - 60)
		c.start("e1")
		c.run(3 * time.Second)
		Expect(c.owned()["e2"]).To(Equal(want["e2"]))
		for r := range operation.RangeCount {
			a, b := c.vms["e1"].ranges.Holding(r).Owner, c.vms["e2"].ranges.Holding(r).Owner
			Expect(a.Incarnation).To(Equal(b.Incarnation))
		}
	})

	// Guards against a start without a memory window after all VMs have ended and all snapshots have expired.
	It("begin in the memory window when the log has expired", func() {
		c.log.expire(len(c.log.records))
		for _, id := range c.ids {
			c.start(id)
		}
		c.run(15 * time.Second)
		Expect(c.owned()).To(HaveLen(3))
		_, v := begin(c.owner("k"), "k")
		Expect(v).To(Equal(operation.Unknown))
	})
})

// Guards against data races between Run, Drain and the processing of requests.
var _ = It("RangeManager.Run is safe for use concurrent with requests", func() {
	c := newCluster("e1")
	ctx, cancel := context.WithCancel(context.Background())
	v, ended := c.vms["e1"], make(chan struct{})
	go func() { defer close(ended); v.ranges.Run(ctx) }()
	Eventually(func() operation.Verdict {
		c.clock.Advance(time.Second)
		_, verdict := v.Begin(c.clock.Now(), "k", 1, time.Time{})
		return verdict
	}).Should(Equal(operation.Run))
	cancel()
	Expect(v.Drain(ctx)).To(MatchError(operation.ErrDrainIncomplete))
	Eventually(ended).Should(BeClosed())
})

// expectNoWindow expects that no range of any VM is in a memory window.
func expectNoWindow(c *cluster) {
	for r := range operation.RangeCount {
		for _, v := range c.vms {
			Expect(v.ranges.Holding(r).AdmitFrom).To(BeTemporally("<=", c.clock.Now()))
		}
	}
}

// startDrain makes a VM drain and does not wait for the end.
func startDrain(v *vm) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	v.draining = true
	_ = v.Drain(ctx)
}

func record(offset int64, r operation.LogRecord) platformlog.Record {
	data, _ := json.Marshal(r)
	return platformlog.Record{Offset: offset, Data: data}
}

// Guards against a stale record, or a record of another process, that changes an owner.
var _ = DescribeTable("the table after e1 has claimed range 5 at offset 0", func(r operation.LogRecord, owner string) {
	var t operation.Table
	claim := operation.LogRecord{Kind: operation.KindClaim, VM: "e1", Incarnation: 1, Ranges: []operation.RangeRef{{Range: 5}}}
	t.Apply(record(0, claim))
	t.Apply(record(1, r))
	t.Apply(platformlog.Record{Offset: 2, Data: json.RawMessage(`[not json`)})
	Expect(t.Ranges[5].VM).To(Equal(owner))
	Expect(t.Next).To(BeEquivalentTo(3))
},
	Entry("claim with a stale base", operation.LogRecord{Kind: operation.KindClaim, VM: "e2", Ranges: []operation.RangeRef{{Range: 5}}}, "e1"),
	Entry("claim with the base", operation.LogRecord{Kind: operation.KindClaim, VM: "e2", Ranges: []operation.RangeRef{{Range: 5, Base: 1}}}, "e2"),
	Entry("range out of bounds", operation.LogRecord{Kind: operation.KindClaim, VM: "e2", Ranges: []operation.RangeRef{{Range: 128}, {Range: -1}}}, "e1"),
	Entry("release by another incarnation", operation.LogRecord{Kind: operation.KindRelease, VM: "e1", Incarnation: 2, Ranges: []operation.RangeRef{{Range: 5, Base: 1}}}, "e1"),
	Entry("release", operation.LogRecord{Kind: operation.KindRelease, VM: "e1", Incarnation: 1, Ranges: []operation.RangeRef{{Range: 5, Base: 1}}}, ""),
	Entry("reset at another offset", operation.LogRecord{Kind: operation.KindReset, Expect: 7}, "e1"),
	Entry("reset", operation.LogRecord{Kind: operation.KindReset, Expect: 1}, ""),
	Entry("snapshot", operation.LogRecord{Kind: operation.KindSnapshot, Table: make([]operation.RangeState, operation.RangeCount)}, "e1"),
)
