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

func with(servers ...*directory.Server) *balance.Balancer {
	b := balance.New(balance.Place{DataCentre: "a1", Region: "a"}, 1)
	b.SetServers(&directory.View{ByService: map[string][]*directory.Server{"s": servers}})
	return b
}

// picks returns how often each server is picked in n picks without an end.
func pick(b *balance.Balancer, r balance.Request, now time.Time) string {
	c, ok := b.Pick(r, now)
	Expect(ok).To(BeTrue())
	return c.Server.ID
}

var _ = Describe("Balancer", func() {
	x, y, far := server("x", "a1", "a"), server("y", "a1", "a"), server("far", "b1", "b")

	// Guards against requests that queue at a server that another VM has filled.
	It("counts the requests of other VMs", func() {
		b := with(x, y)
		b.SetOthers("vm2", balance.KeyOf(x), 3)
		Expect(pick(b, lookup, start)).To(Equal("y"))
		b.SetOthers("vm2", balance.KeyOf(x), 0)
		b.SetOthers("vm3", balance.KeyOf(y), 3)
		Expect(pick(b, lookup, start)).To(Equal("x"))
		b.ReplaceOthers("vm3", nil)
		b.ReplaceOthers("vm2", map[balance.Key]int{balance.KeyOf(x): 3})
		Expect(pick(b, lookup, start)).To(Equal("y"))
	})

	// Guards against figures that are believed after the load of the machine has changed.
	It("avoids a server that has just said that it is slow, and forgets it within a second", func() {
		b := with(x, y)
		b.Learn(balance.KeyOf(x), balance.Figure{Slowness: 5}, start)
		b.Learn(balance.KeyOf(y), balance.Figure{Slowness: 1, Running: 1}, start)
		for range 20 {
			Expect(pick(b, lookup, start.Add(10*time.Millisecond))).To(Equal("y"))
		}
		Expect(b.Slowness(balance.KeyOf(x), start.Add(time.Second))).To(BeNumerically("<", 2.1))
	})

	// Guards against an older figure that arrives late and replaces a newer one.
	It("keeps the newest figure", func() {
		b := with(x)
		b.Learn(balance.KeyOf(x), balance.Figure{Slowness: 5}, start)
		b.Learn(balance.KeyOf(x), balance.Figure{Slowness: 1}, start.Add(-time.Millisecond))
		Expect(b.Slowness(balance.KeyOf(x), start)).To(BeNumerically("~", 5, 0.01))
	})

	// Guards against traffic that a server draws by failing fast.
	It("sends less than one in ten requests to one of ten servers that fails all", func() {
		servers := []*directory.Server{}
		for i := range 10 {
			servers = append(servers, server(fmt.Sprint("s", i), "a1", "a"))
		}
		b, bad, now := with(servers...), 0, start
		for range 1000 {
			now = now.Add(5 * time.Millisecond)
			c, _ := b.Pick(lookup, now)
			b.Begin(c.Key)
			outcome := balance.Answered
			if c.Server.ID == "s0" {
				bad++
				outcome = balance.Failed
			}
			b.End(c.Key, outcome, now)
		}
		Expect(bad).To(BeNumerically("<", 100))
	})

	// Guards against large answers that are paid for by volume while there is room nearby.
	It("keeps large answers in the data centre while it has room, and leaves the region when it is far too full", func() {
		b := with(x, server("z", "a2", "a"), far)
		for range 2 {
			Expect(pick(b, archive, start)).To(Equal("x"))
			b.Begin(balance.KeyOf(x))
		}
		b.SetOthers("vm2", balance.KeyOf(x), 30)
		Expect(pick(b, archive, start)).To(Equal("z"))
		b.SetOthers("vm2", balance.KeyOf(server("z", "a2", "a")), 30)
		Expect(pick(b, lookup, start)).To(Equal("far"))
	})

	// Guards against a request that is sent twice to one server, and to a server whose address belongs to another one now.
	It("picks no excluded and no misdirected server", func() {
		b := with(x, y)
		r := lookup
		r.Exclude = []balance.Key{balance.KeyOf(x)}
		Expect(pick(b, r, start)).To(Equal("y"))
		b.End(balance.KeyOf(y), balance.Misdirected, start)
		_, ok := b.Pick(r, start)
		Expect(ok).To(BeFalse())
		reborn := *y
		reborn.Incarnation = 7
		b.SetServers(&directory.View{ByService: map[string][]*directory.Server{"s": {x, &reborn}}})
		Expect(pick(b, r, start)).To(Equal("y"))
	})

	// Guards against connection attempts that all run into a server that does not answer, one after the other.
	It("leaves an unreachable server alone for a while", func() {
		b := with(x, y)
		b.End(balance.KeyOf(x), balance.Unreachable, start)
		b.SetOthers("vm2", balance.KeyOf(y), 8)
		Expect(pick(b, lookup, start.Add(100*time.Millisecond))).To(Equal("y"))
		Expect(pick(b, lookup, start.Add(20*time.Second))).To(Equal("x"))
	})

	// Guards against a count of requests in flight that drifts when the server list changes between begin and end.
	It("keeps the count of its own requests over a change of the list", func() {
		b := with(x, y)
		b.Begin(balance.KeyOf(x))
		b.SetServers(&directory.View{ByService: map[string][]*directory.Server{"s": {x}}})
		Expect(b.Own()).To(Equal(map[balance.Key]int{balance.KeyOf(x): 1}))
		Expect(b.End(balance.KeyOf(x), balance.Answered, start)).To(BeZero())
		Expect(b.End(balance.KeyOf(y), balance.Answered, start)).To(BeZero())
		Expect(b.Own()).To(BeEmpty())
	})
})
