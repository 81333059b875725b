package balance_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/balance"
)

var _ = Describe("Balancer without knowledge of the load of a server", func() {
	far := server("far", "b1", "b")
	farKey := balance.ServerKeyOf(far)
	// farLookup is a lookup whose limit is below the expected response time of a server in another region with the assumed load.
	farLookup := lookup
	farLookup.MaxLatency, farLookup.MaxQueueLatency = 150*time.Millisecond, 150*time.Millisecond

	choose := func(b *balance.Balancer, r balance.Request, now time.Time) balance.Choice {
		c, ok := b.Pick(r, now)
		Expect(ok).To(BeTrue())
		Expect(c.WithinLimits).To(BeFalse(), "expected %v", c.Expected)
		return c
	}

	// Guards against a service that gets no requests because of an assumed load, and against trial requests one after the other.
	It("sends a trial request at intervals", func() {
		b, trials := newBalancer(far), 0
		for elapsed := time.Duration(0); elapsed < time.Second; elapsed += time.Millisecond {
			if choose(b, farLookup, start.Add(elapsed)).Trial {
				trials++
			}
		}
		Expect(trials).To(Equal(5))
	})

	// Guards against trial requests that take slots of another region while both regions have a high load: each VM sends its own, so
	// that even one in 10 s is many together. Tests of the work do not depend on this.
	It("sends no trial request while the servers in its region report that they are slow", func() {
		x := server("x", "a1", "a")
		b, trials := newBalancer(far, x), 0
		test := farLookup
		test.WorkUnknown = true
		for elapsed := time.Duration(0); elapsed < 25*time.Second; elapsed += 10 * time.Millisecond {
			now := start.Add(elapsed)
			b.RecordLoadReport(balance.ServerKeyOf(x), balance.LoadReport{Slowdown: 5}, now)
			if choose(b, farLookup, now).Trial {
				trials++
			}
			if elapsed%time.Second == 500*time.Millisecond {
				Expect(choose(b, test, now).Trial).To(BeTrue())
			}
		}
		Expect(trials).To(BeZero())
	})

	// Guards against a trial request that takes the place of one that can be answered within its limits.
	It("prefers a server within the limits", func() {
		b := newBalancer(far, server("x", "a1", "a"))
		c, _ := b.Pick(farLookup, start)
		Expect(c.Server.ID).To(Equal("x"))
		Expect(c.WithinLimits).To(BeTrue())
		Expect(c.Trial).To(BeFalse())
	})

	// Guards against an idle server that gets no trial because another one, known to be slow, costs less.
	It("prefers a server of unknown load to one that is known to be slow", func() {
		slow := server("slow", far.DataCentre, far.Region)
		b := newBalancer(far, slow)
		b.RecordLoadReport(balance.ServerKeyOf(slow), balance.LoadReport{Slowdown: 3}, start)
		c := choose(b, farLookup, start)
		Expect(c.Server.ID).To(Equal("far"))
		Expect(c.Trial).To(BeTrue())
	})

	// Guards against requests that are sent although it is known that they cannot be served.
	DescribeTable("sends no trial request", func(prepare func(b *balance.Balancer, r *balance.Request)) {
		b, r := newBalancer(far), farLookup
		prepare(b, &r)
		Expect(choose(b, r, start).Trial).To(BeFalse())
	},
		Entry("if all slots are taken by counted requests", func(b *balance.Balancer, _ *balance.Request) {
			b.SetPeerInFlight("vm2", farKey, far.Slots)
		}),
		Entry("if fewer slots are free than the request needs", func(b *balance.Balancer, r *balance.Request) {
			b.SetPeerInFlight("vm2", farKey, far.Slots-1)
			r.FreeSlots = 2
		}),
		Entry("if the server has just reported that it is slow", func(b *balance.Balancer, _ *balance.Request) {
			b.RecordLoadReport(farKey, balance.LoadReport{Slowdown: 5}, start)
		}),
		Entry("if the server was just full", func(b *balance.Balancer, _ *balance.Request) { b.End(farKey, balance.Full, start) }),
		Entry("if the server is unreachable", func(b *balance.Balancer, _ *balance.Request) {
			b.End(farKey, balance.Unreachable, start)
		}),
		Entry("outside the region of the request", func(_ *balance.Balancer, r *balance.Request) { r.OwnRegion = true }),
	)

	// Guards against an assumed time of work that keeps requests away from a server which reports that it is idle.
	It("sends a trial request to a server of known load if the work is unknown", func() {
		b, r := newBalancer(far), farLookup
		r.Work = time.Second
		b.RecordLoadReport(farKey, balance.LoadReport{Slowdown: 1}, start)
		Expect(choose(b, r, start).Trial).To(BeFalse())
		r.WorkUnknown = true
		Expect(choose(b, r, start).Trial).To(BeTrue())
	})
})
