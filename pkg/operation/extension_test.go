package operation_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/hornbeamway/hornbeamway/pkg/operation"
)

// setLogDown makes the log unavailable or available for the VMs.
func (c *cluster) setLogDown(down bool, ids ...string) {
	for _, id := range ids {
		c.vms[id].log.down = down
	}
}

// setPartitioned separates one VM from all others or reconnects it. From then on the list contains all VMs of the cluster
// that it did not contain yet.
func (c *cluster) setPartitioned(id string, partitioned bool) {
	for _, other := range c.ids {
		if other != id {
			c.partitioned[pair(id, other)] = partitioned
			delete(c.unlisted, other)
		}
	}
	delete(c.unlisted, id)
}

var _ = Describe("leases while the log fails", func() {
	var c *cluster
	all := []string{"e1", "e2", "e3"}
	BeforeEach(func() {
		c = newCluster(all...)
		c.listReadable = true
		c.run(20 * time.Second)
		Expect(c.owned()).To(HaveLen(3))
	})

	// Guards against caller keys that are refused in a log outage although all VMs grant the extension, and against caller
	// keys that still run although a VM that may claim did not grant it.
	DescribeTable("in an outage of 10 minutes", func(prepare func(), wantExtended bool) {
		c.setLogDown(true, all...)
		before := c.owned()
		prepare()
		c.run(operation.LeaseDuration + time.Second)
		for range 10 {
			if wantExtended {
				Expect(c.owned()).To(Equal(before))
			} else {
				Expect(c.owned()).To(BeEmpty())
			}
			c.run(time.Minute)
		}
		c.setLogDown(false, all...)
		c.setPartitioned("e3", false)
		c.run(20 * time.Second)
		Expect(c.owned()).To(Equal(before), "the owners renew; no VM takes over")
	},
		Entry("with all VMs alive and connected, leases are extended", func() {}, true),
		Entry("with a listed VM that has ended, leases end", func() { c.endedListed["e9"] = true }, false),
		Entry("with a listed VM that is partitioned, leases end", func() { c.setPartitioned("e3", true) }, false),
		Entry("with an unlisted VM that sends heartbeats but has not reached the log, leases end", func() {
			c.start("e4")
			c.unlisted["e4"] = true
			c.vms["e4"].log.down = true
		}, false),
		Entry("with a list that cannot be read, leases end", func() { c.listReadable = false }, false),
	)

	// Guards against a holder that loses its ranges although all VMs granted the extension, or keeps them after a VM has
	// claimed them.
	It("are extended for a holder alone cut off from the log only while nobody has claimed", func() {
		before := c.owned()
		c.setLogDown(true, "e1")
		for range 10 {
			c.run(time.Minute)
			Expect(c.owned()).To(Equal(before))
		}
		c.setPartitioned("e1", true)
		c.run(operation.TakeoverDelay + 5*time.Second)
		Expect(c.owned()).To(Equal(map[string]int{"e2": 64, "e3": 64}))
		c.setPartitioned("e1", false)
		c.run(time.Minute)
		Expect(c.owned()).To(Equal(map[string]int{"e2": 64, "e3": 64}))
	})

	// Guards against granted extensions that prevent a takeover for longer than TakeoverDelay after the holder ended.
	It("end when the holder dies after its last extension", func() {
		c.setLogDown(true, "e1")
		c.run(time.Minute)
		delete(c.vms, "e1")
		c.run(operation.TakeoverDelay + 5*time.Second)
		Expect(c.owned()).To(Equal(map[string]int{"e2": 64, "e3": 64}))
	})

	// Guards against a hanging log call that delays the extension until the lease has ended.
	It("are extended while a read hangs", func() {
		before, e1, ended := c.owned(), c.vms["e1"], make(chan struct{})
		e1.log.hang = make(chan struct{})
		go func() { defer close(ended); _, _ = e1.ranges.Step(context.Background()) }()
		e1.log.hang <- struct{}{}
		for range 2 * operation.TakeoverDelay / time.Second {
			c.clock.Advance(time.Second)
			c.step("e2")
			c.step("e3")
			c.extendLeases("e1")
			Expect(c.owned()["e1"]).To(Equal(before["e1"]))
		}
		e1.log.hang <- struct{}{}
		<-ended
	})

	request := func(v *vm) operation.ExtensionRequest {
		r := operation.ExtensionRequest{VM: v.self.VM, Incarnation: v.self.Incarnation}
		for i := range operation.RangeCount {
			if h := v.ranges.Holding(i); h.Owner.Local {
				r.Ranges = append(r.Ranges, operation.RangeRef{Range: i, Base: v.ranges.EpochForTest(i)})
			}
		}
		return r
	}

	// Guards against an extension that is granted in one of the cases in which it must be refused.
	DescribeTable("are refused", func(change func(r *operation.ExtensionRequest)) {
		r := request(c.vms["e1"])
		Expect(c.vms["e2"].ranges.GrantExtension(r)).To(Succeed())
		change(&r)
		Expect(c.vms["e2"].ranges.GrantExtension(r)).To(MatchError(operation.ErrExtensionRefused))
	},
		Entry("for another epoch", func(r *operation.ExtensionRequest) { r.Ranges[0].Base++ }),
		Entry("for another incarnation", func(r *operation.ExtensionRequest) { r.Incarnation++ }),
		Entry("for a range of another VM", func(r *operation.ExtensionRequest) { r.Ranges = append(r.Ranges, request(c.vms["e3"]).Ranges[0]) }),
		Entry("for a range out of bounds", func(r *operation.ExtensionRequest) { r.Ranges[0].Range = operation.RangeCount }),
		Entry("by a VM that has not reached the log's head", func(*operation.ExtensionRequest) { c.start("e2") }),
		Entry("by a VM whose own claim may still take effect", func(r *operation.ExtensionRequest) {
			c.setLogDown(true, "e1")
			c.setPartitioned("e1", true)
			for range 2 * operation.TakeoverDelay / time.Second {
				c.clock.Advance(time.Second)
				c.vms["e2"].log.delayAppends = 1000
				c.step("e2")
				for _, text := range c.log.delayed {
					var claim operation.LogRecord
					Expect(json.Unmarshal(text, &claim)).To(Succeed())
					if both := lo.Intersect(claim.Ranges, r.Ranges); claim.Kind == operation.KindClaim && len(both) > 0 {
						r.Ranges = both
						return
					}
				}
				c.log.applyDelayed()
			}
			Fail("e2 did not claim")
		}),
	)

	// Guards against a second run of a key after a former owner, which did not know of the new owner, ran the key late in
	// the new owner's window.
	It("that were extended without the new owner restart its window", func() {
		r := request(c.vms["e1"])
		c.vms["e1"].paused = true
		c.run(operation.TakeoverDelay + 3*time.Minute)
		r.EndedMillis = 1000
		now := c.clock.Now()
		moved := 0
		for _, id := range []string{"e2", "e3"} {
			Expect(c.vms[id].ranges.GrantExtension(r)).To(MatchError(operation.ErrExtensionRefused))
			for _, ref := range r.Ranges {
				if h := c.vms[id].ranges.Holding(ref.Range); h.Owner.Local {
					moved++
					Expect(h.AdmitFrom).To(BeTemporally("==", now.Add(operation.UncleanWindow-time.Second)))
				}
			}
		}
		Expect(moved).To(Equal(len(r.Ranges)))
	})

	// Guards against a claim without a memory window that uses memory which was handed over before a granted extension, for
	// a release that has not been read yet.
	It("discard memory that was handed over for a release that is not read yet", func() {
		old := c.vms["e1"]
		r := request(old)
		startDrain(old)
		c.step("e1")
		c.runSends("e1")
		for _, id := range []string{"e2", "e3"} {
			Expect(c.vms[id].ranges.GrantExtension(r)).To(Succeed())
		}
		c.run(5 * time.Second)
		Expect(c.owned()).To(Equal(map[string]int{"e2": 64, "e3": 64}))
		for _, ref := range r.Ranges {
			for _, id := range []string{"e2", "e3"} {
				if h := c.vms[id].ranges.Holding(ref.Range); h.Owner.Local {
					Expect(h.AdmitFrom).To(BeTemporally(">", c.clock.Now()))
				}
			}
		}
	})
})

// actInOutage performs one random action related to outages of the log for some or all VMs. Most faults are short, because
// a single VM that grants none ends all extensions.
func (m *model) actInOutage() {
	id, v := m.drawVM()
	seconds := func(low, high int) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(m.T, "seconds")) * time.Second
	}
	if v == nil {
		m.endOrRestart(id, v)
		return
	}
	switch n := rapid.IntRange(0, 39).Draw(m.T, "action"); {
	case n < 12:
		for _, each := range m.ids {
			m.runToCompletion(m.vms[each])
		}
	case n < 14 && !v.paused:
		m.request(rapid.SampledFrom(m.keys).Draw(m.T, "key"), v)
	case n < 18 && len(m.calls) > 0:
		i := rapid.IntRange(0, len(m.calls)-1).Draw(m.T, "call")
		if m.advance(m.calls[i]) {
			m.calls = append(m.calls[:i], m.calls[i+1:]...)
		}
	case n < 20:
		m.run(seconds(1, 20))
	case n < 25:
		m.run(seconds(50, 200))
	case n == 25:
		m.clock.Advance(seconds(1, 9))
		m.extendLeases(id)
	case n < 28:
		v.log.down = !v.log.down
	case n == 28:
		for _, each := range m.ids {
			if other := m.vms[each]; other != nil {
				other.log.down = rapid.Bool().Draw(m.T, "down")
			}
		}
	case n == 29:
		v.log.loseResponses = 3
	case n == 30:
		v.log.delayAppends = rapid.IntRange(1, 3).Draw(m.T, "late")
	case n == 31:
		m.log.applyDelayed()
	case n < 35:
		v.log.down = v.log.down || rapid.Bool().Draw(m.T, "down")
		m.setPartitioned(id, true)
		m.run(seconds(5, 25))
		m.setPartitioned(id, rapid.IntRange(0, 3).Draw(m.T, "stays") == 0)
	case n == 35:
		v.paused = true
		delete(m.unlisted, id)
		m.run(seconds(1, 25))
		v.paused = false
	case n == 36:
		m.endOrRestart(id, v)
	case n == 37:
		startDrain(v)
	default:
		m.endedListed, m.partitioned = map[string]bool{}, map[[2]string]bool{}
	}
}

// isPartitioned reports whether a VM is separated from any other VM.
func (m *model) isPartitioned(id string) bool {
	for p, partitioned := range m.partitioned {
		if partitioned && (p[0] == id || p[1] == id) {
			return true
		}
	}
	return false
}

// endOrRestart ends a VM, or starts it as a new process, which the list does not contain yet unless the VM is partitioned.
func (m *model) endOrRestart(id string, v *vm) {
	if v != nil && rapid.Bool().Draw(m.T, "ends") {
		delete(m.vms, id)
		delete(m.unlisted, id)
		m.endedListed[id] = true
		return
	}
	m.start(id)
	delete(m.endedListed, id)
	m.unlisted[id] = !m.isPartitioned(id)
}

// TestAtMostOnceInLogOutage guards against violations of invariants 3 and 4 of docs/design.md while leases are extended without the
// log: outages for all or some VMs, lost append responses, delayed claims, pauses, kills, partitioned VMs and an outdated list. It
// does not cover a VM that the others know neither from the list nor from heartbeats; section 5.7 of docs/design.md documents that
// gap.
func TestAtMostOnceInLogOutage(t *testing.T) {
	checkInterleavings(t, []string{"e1", "e2", "e3"}, 100, func(m *model) {
		// With few keys, most runs repeat a key.
		m.listReadable, m.keys = true, m.keys[:3]
		m.actInOutage()
	})
}
