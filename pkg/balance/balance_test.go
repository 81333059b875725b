package balance_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/balance"
	"github.com/hornbeamway/hornbeamway/pkg/directory"
)

func TestBalance(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "balance")
}

var (
	start   = time.Unix(1_800_000_000, 0)
	lookup  = balance.Request{Service: "s", Work: 60 * time.Millisecond, Objective: 200 * time.Millisecond, Bytes: 5000}
	archive = balance.Request{Service: "s", Work: 60 * time.Millisecond, Objective: 800 * time.Millisecond, Bytes: 90_000}
)

func server(id, dataCentre, region string) *directory.Server {
	return &directory.Server{ID: id, Service: "s", Address: "10.0.0.1:1", DataCentre: dataCentre, Region: region, Slots: 3}
}

func newBalancer(servers ...*directory.Server) *balance.Balancer {
	b := balance.New(balance.Location{DataCentre: "a1", Region: "a"}, 1)
	b.SetServers(&directory.View{ByService: map[string][]*directory.Server{"s": servers}})
	return b
}

// pick returns the id of the server that is picked for a request, without beginning the request.
func pick(b *balance.Balancer, r balance.Request, now time.Time) string {
	c, ok := b.Pick(r, now)
	Expect(ok).To(BeTrue())
	return c.Server.ID
}

var _ = Describe("Balancer", func() {
	x, y, far := server("x", "a1", "a"), server("y", "a1", "a"), server("far", "b1", "b")

	// Guards against requests that queue on a server whose slots are taken by requests of a peer VM.
	It("counts the in-flight requests of peer VMs", func() {
		b := newBalancer(x, y)
		b.SetPeerInFlight("vm2", balance.ServerKeyOf(x), 3)
		Expect(pick(b, lookup, start)).To(Equal("y"))
		b.SetPeerInFlight("vm2", balance.ServerKeyOf(x), 0)
		b.SetPeerInFlight("vm3", balance.ServerKeyOf(y), 3)
		Expect(pick(b, lookup, start)).To(Equal("x"))
		b.ReplacePeerInFlight("vm3", nil)
		b.ReplacePeerInFlight("vm2", map[balance.ServerKey]int{balance.ServerKeyOf(x): 3})
		Expect(pick(b, lookup, start)).To(Equal("y"))
	})

	// Guards against load reports that are still used after the load of the server's machine has changed.
	It("avoids a server that has just reported a slowdown, and discounts the report within a second", func() {
		b := newBalancer(x, y)
		b.RecordLoadReport(balance.ServerKeyOf(x), balance.LoadReport{Slowdown: 5}, start)
		b.RecordLoadReport(balance.ServerKeyOf(y), balance.LoadReport{Slowdown: 1, Running: 1}, start)
		for range 20 {
			Expect(pick(b, lookup, start.Add(10*time.Millisecond))).To(Equal("y"))
		}
		Expect(b.Slowdown(balance.ServerKeyOf(x), start.Add(time.Second))).To(BeNumerically("<", 2.1))
	})

	// Guards against an older load report that arrives late and replaces a newer one.
	It("keeps the newest load report", func() {
		b := newBalancer(x)
		b.RecordLoadReport(balance.ServerKeyOf(x), balance.LoadReport{Slowdown: 5}, start)
		b.RecordLoadReport(balance.ServerKeyOf(x), balance.LoadReport{Slowdown: 1}, start.Add(-time.Millisecond))
		Expect(b.Slowdown(balance.ServerKeyOf(x), start)).To(BeNumerically("~", 5, 0.01))
	})

	// Guards against downloads that cross the link between regions because they leave the last free slots of their own region to
	// urgent requests: on one deployment they took four times the bytes between regions.
	It("counts servers of other regions and those without enough free slots as outside the limits", func() {
		b := newBalancer(x, far)
		b.SetPeerInFlight("vm2", balance.ServerKeyOf(x), 2)
		r := archive
		r.FreeSlots = 2
		c, _ := b.Pick(r, start)
		Expect(c.Server.ID).To(Equal("far"))
		Expect(c.WithinLimits).To(BeTrue())
		r.OwnRegion = true
		c, _ = b.Pick(r, start)
		Expect(c.WithinLimits).To(BeFalse())
		r.FreeSlots = 1
		c, _ = b.Pick(r, start)
		Expect(c.Server.ID).To(Equal("x"))
		Expect(c.WithinLimits).To(BeTrue())
	})

	// Guards against requests that wait for a slot for so long that they miss their objective.
	It("has a limit of its own for requests that wait for a slot", func() {
		b := newBalancer(x)
		r := lookup
		r.MaxLatency, r.MaxQueueLatency = 200*time.Millisecond, 100*time.Millisecond
		for _, inFlight := range []int{0, 2} {
			b.SetPeerInFlight("vm2", balance.ServerKeyOf(x), inFlight)
			c, _ := b.Pick(r, start)
			Expect(c.WithinLimits).To(BeTrue(), "%d in flight, expected %v", inFlight, c.Expected)
		}
		b.SetPeerInFlight("vm2", balance.ServerKeyOf(x), 3)
		c, _ := b.Pick(r, start)
		Expect(c.WithinLimits).To(BeFalse())
	})

	// Guards against a server that attracts traffic by failing fast.
	It("sends less than one in ten requests to the one of ten servers that fails every request", func() {
		servers := []*directory.Server{}
		for i := range 10 {
			servers = append(servers, server(fmt.Sprint("s", i), "a1", "a"))
		}
		b, sent, now := newBalancer(servers...), 0, start
		for range 1000 {
			now = now.Add(5 * time.Millisecond)
			c, _ := b.Pick(lookup, now)
			b.Begin(c.Key)
			outcome := balance.Success
			if c.Server.ID == "s0" {
				sent++
				outcome = balance.Failed
			}
			b.End(c.Key, outcome, now)
		}
		Expect(sent).To(BeNumerically("<", 100))
	})

	// Guards against large responses over links that are paid by volume while the local data centre has capacity.
	It("keeps large answers in the data centre while it has capacity, and leaves the region when it is overloaded", func() {
		b := newBalancer(x, server("z", "a2", "a"), far)
		for range 2 {
			Expect(pick(b, archive, start)).To(Equal("x"))
			b.Begin(balance.ServerKeyOf(x))
		}
		b.SetPeerInFlight("vm2", balance.ServerKeyOf(x), 30)
		Expect(pick(b, archive, start)).To(Equal("z"))
		b.SetPeerInFlight("vm2", balance.ServerKeyOf(server("z", "a2", "a")), 30)
		Expect(pick(b, lookup, start)).To(Equal("far"))
	})

	// Guards against a request that is sent to the same server twice, or to an address that another server now uses.
	It("picks no excluded and no misdirected server", func() {
		b := newBalancer(x, y)
		r := lookup
		r.Exclude = []balance.ServerKey{balance.ServerKeyOf(x)}
		Expect(pick(b, r, start)).To(Equal("y"))
		b.End(balance.ServerKeyOf(y), balance.Misdirected, start)
		_, ok := b.Pick(r, start)
		Expect(ok).To(BeFalse())
		restarted := *y
		restarted.Incarnation = 7
		b.SetServers(&directory.View{ByService: map[string][]*directory.Server{"s": {x, &restarted}}})
		Expect(pick(b, r, start)).To(Equal("y"))
	})

	// Guards against requests that are sent to an unreachable server one after the other and all fail to connect.
	It("avoids an unreachable server for a while", func() {
		b := newBalancer(x, y)
		b.End(balance.ServerKeyOf(x), balance.Unreachable, start)
		b.SetPeerInFlight("vm2", balance.ServerKeyOf(y), 8)
		Expect(pick(b, lookup, start.Add(100*time.Millisecond))).To(Equal("y"))
		Expect(pick(b, lookup, start.Add(20*time.Second))).To(Equal("x"))
	})

	// Guards against a wrong count of in-flight requests after the server list has changed between the begin and the end of a
	// request.
	It("keeps its own in-flight counts when the server list changes", func() {
		b := newBalancer(x, y)
		b.Begin(balance.ServerKeyOf(x))
		b.SetServers(&directory.View{ByService: map[string][]*directory.Server{"s": {x}}})
		Expect(b.OwnInFlight()).To(Equal(map[balance.ServerKey]int{balance.ServerKeyOf(x): 1}))
		Expect(b.End(balance.ServerKeyOf(x), balance.Success, start)).To(BeZero())
		Expect(b.End(balance.ServerKeyOf(y), balance.Success, start)).To(BeZero())
		Expect(b.OwnInFlight()).To(BeEmpty())
	})
})
