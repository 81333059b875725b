package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

// Guards against pools that move between the remaining VMs when another VM dies.
func TestRankKeepsItsOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z0-9]{1,6}"), 1, 16, rapid.ID[string]).Draw(t, "vms")
		key := dispatch.PoolKey{Service: rapid.String().Draw(t, "service"), DataCentre: "d1"}
		dead := rapid.SampledFrom(vms).Draw(t, "dead")
		rest := slices.DeleteFunc(slices.Clone(vms), func(id string) bool { return id == dead })
		want := slices.DeleteFunc(dispatch.Rank(key, vms), func(id string) bool { return id == dead })
		if got := dispatch.Rank(key, rest); !slices.Equal(got, want) {
			t.Fatalf("order %v, want %v", got, want)
		}
	})
}

// Guards against pools that are concentrated on a few VMs.
var _ = It("spreads pools over the VMs", func() {
	vms := []string{"e0", "e1", "e2", "e3"}
	count := map[string]int{}
	for i := range 400 {
		count[dispatch.Rank(dispatch.PoolKey{Service: fmt.Sprint("s", i), DataCentre: "d1"}, vms)[0]]++
	}
	for _, id := range vms {
		Expect(count[id]).To(BeNumerically("~", 100, 30))
	}
})

type loadSummary struct {
	dataCentre string
	healthy    bool
	wait       time.Duration
	age        time.Duration
}

// Guards against calls to a pool that cannot serve them, calls that cross the billed region link needlessly, and outdated
// load summaries that divert calls.
var _ = DescribeTable("chooses the pool",
	func(want string, summaries ...loadSummary) {
		manual := clock.NewManual(start)
		selector := dispatch.NewPoolSelector(dispatch.PoolSelectorOptions{Clock: manual,
			Self: dispatch.VM{ID: "e1", Region: "r1", DataCentre: "d1"}})
		var servers []dispatch.Server
		for _, location := range [][2]string{{"r2", "d3"}, {"r1", "d2"}, {"r1", "d1"}} {
			servers = append(servers, dispatch.Server{ID: location[1], Service: "orders", Region: location[0], DataCentre: location[1]})
		}
		selector.Update(servers, []dispatch.VM{{ID: "e1", DataCentre: "d1"},
			{ID: "e2", DataCentre: "d2"}, {ID: "e3", DataCentre: "d3"}})
		for _, s := range summaries {
			load := dispatch.PoolLoad{Healthy: s.healthy}
			load.ExpectedWait[priority.Interactive] = s.wait
			selector.RecordLoad(dispatch.PoolKey{Service: "orders", DataCentre: s.dataCentre}, load, s.age)
		}
		targets := selector.Targets("orders", priority.Interactive)
		Expect(targets).NotTo(BeEmpty())
		target := targets[0]
		Expect(target.Pool.DataCentre).To(Equal(want))
		Expect(target.Self).To(Equal(want == "d1"))
		Expect(target.Remote).To(Equal(want == "d3"))
	},
	Entry("nearest when no load is known", "d1"),
	Entry("nearest when the wait is below the round trip", "d1", loadSummary{"d1", true, 2 * time.Millisecond, 0}),
	Entry("same region when the wait is above its round trip", "d2", loadSummary{"d1", true, 4 * time.Millisecond, 0}),
	Entry("same region when the nearest is unhealthy", "d2", loadSummary{"d1", false, 0, 0}),
	Entry("other region when it is faster with its round trip", "d3",
		loadSummary{"d1", true, 80 * time.Millisecond, 0}, loadSummary{"d2", true, 70 * time.Millisecond, 0}),
	Entry("nearest again when its load summary is outdated", "d1", loadSummary{"d1", false, 0, 1100 * time.Millisecond}),
	Entry("nearest when all are unhealthy", "d1",
		loadSummary{"d1", false, 0, 0}, loadSummary{"d2", false, 0, 0}, loadSummary{"d3", false, 0, 0}),
)

// Guards against bulk responses that fill the region link because of a short backlog.
var _ = DescribeTable("keeps bulk off the region link", func(class priority.Class, wait time.Duration, remote bool) {
	selector := dispatch.NewPoolSelector(dispatch.PoolSelectorOptions{Clock: clock.NewManual(start),
		Self: dispatch.VM{ID: "e1", Region: "r1", DataCentre: "d1"}})
	selector.Update([]dispatch.Server{
		{Service: "orders", Region: "r1", DataCentre: "d1"}, {Service: "orders", Region: "r2", DataCentre: "d3"}}, nil)
	load := dispatch.PoolLoad{Healthy: true}
	load.ExpectedWait[class] = wait
	selector.RecordLoad(dispatch.PoolKey{Service: "orders", DataCentre: "d1"}, load, 0)
	Expect(selector.Targets("orders", class)[0].Remote).To(Equal(remote))
},
	Entry("bulk waits 1 s", priority.Bulk, time.Second, false),
	Entry("bulk waits 2 s", priority.Bulk, 2*time.Second, true),
	Entry("transactional waits 70 ms", priority.Transactional, 70*time.Millisecond, true),
)

// Guards against calls refused because of an outdated load summary although the queue may be empty by now.
var _ = It("returns the expected wait of the first target for 20 ms only", func() {
	manual := clock.NewManual(start)
	selector := dispatch.NewPoolSelector(dispatch.PoolSelectorOptions{Clock: manual,
		Self: dispatch.VM{ID: "e1", Region: "r1", DataCentre: "d1"}})
	selector.Update([]dispatch.Server{{Service: "orders", Region: "r1", DataCentre: "d1"}}, nil)
	Expect(selector.Targets("orders", priority.Interactive)[0].ExpectedWait).To(BeZero())
	load := dispatch.PoolLoad{Healthy: true}
	load.ExpectedWait[priority.Interactive] = time.Second
	selector.RecordLoad(dispatch.PoolKey{Service: "orders", DataCentre: "d1"}, load, 0)
	manual.Advance(20 * time.Millisecond)
	Expect(selector.Targets("orders", priority.Interactive)[0].ExpectedWait).To(Equal(time.Second))
	manual.Advance(time.Millisecond)
	Expect(selector.Targets("orders", priority.Interactive)[0].ExpectedWait).To(BeZero())
})

// Guards against calls that are still sent to a dead dispatcher before the failure detector reports it.
var _ = It("skips a suspect dispatcher for one second and uses itself last", func() {
	manual := clock.NewManual(start)
	selector := dispatch.NewPoolSelector(dispatch.PoolSelectorOptions{Clock: manual,
		Self: dispatch.VM{ID: "e0", Region: "r1", DataCentre: "d1"}})
	selector.Update([]dispatch.Server{{Service: "orders", Region: "r1", DataCentre: "d2"}},
		[]dispatch.VM{{ID: "e1", DataCentre: "d2"}, {ID: "e2", DataCentre: "d2"}})
	var order []string
	for range 3 {
		target := selector.Targets("orders", priority.Interactive)[0]
		order = append(order, target.VM.ID)
		selector.MarkSuspect(target.VM.ID)
	}
	Expect(order[:2]).To(ConsistOf("e1", "e2"))
	Expect(order[2]).To(Equal("e0"))
	manual.Advance(time.Second)
	target := selector.Targets("orders", priority.Interactive)[0]
	Expect(target.VM.ID).To(Equal(order[0]))
})
