package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/balance"
	"github.com/hornbeamway/hornbeamway/pkg/directory"
)

// floodRun plays a flood of downloads on a service that also has urgent lookups, without a network: requests arrive at
// random, wait as waitLimits says and occupy a slot of the server that the balancer picks.
type floodRun struct {
	balancer *balance.Balancer
	random   *rand.Rand
	now      time.Time
	// ends holds the requests that occupy a slot, by the time at which they end; queue the downloads that wait, by arrival.
	ends  map[time.Time]balance.ServerKey
	queue []time.Time
	// lookups and downloads count the arrivals, busy the lookups that found no free slot, lost the downloads that were refused.
	lookups, downloads, busy, lost int
}

const (
	floodServers      = 10
	floodSlots        = 3
	floodWork         = 100 * time.Millisecond
	lookupObjective   = 300 * time.Millisecond
	downloadObjective = 2 * time.Second
	lookupsPerSecond  = 130
)

func newFloodRun() *floodRun {
	var servers []*directory.Server
	for i := range floodServers {
		servers = append(servers, &directory.Server{ID: fmt.Sprint("s", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i),
			DataCentre: "d", Region: "r", Slots: floodSlots})
	}
	r := &floodRun{balancer: balance.New(balance.Location{DataCentre: "d", Region: "r"}, 1), random: rand.New(rand.NewPCG(4, 4)),
		now: time.Unix(1_800_000_000, 0), ends: map[time.Time]balance.ServerKey{}}
	r.balancer.SetServers(&directory.View{ByService: map[string][]*directory.Server{"s": servers}})
	return r
}

// send sends a request to the best server if that is within the limits, and reports whether it did.
func (r *floodRun) send(objective time.Duration, freeSlots int) bool {
	choice, _ := r.balancer.Pick(balance.Request{Service: "s", Work: floodWork, Objective: objective, FreeSlots: freeSlots}, r.now)
	if !choice.WithinLimits {
		return false
	}
	r.balancer.Begin(choice.Key)
	end := r.now.Add(time.Duration(float64(floodWork) * (0.5 + r.random.Float64())))
	for ; r.ends[end] != 0; end = end.Add(time.Nanosecond) {
		continue
	}
	r.ends[end] = choice.Key
	return true
}

// step plays one millisecond with the given number of downloads a second.
func (r *floodRun) step(downloadsPerSecond float64) {
	r.now = r.now.Add(time.Millisecond)
	for end, key := range r.ends {
		if !end.After(r.now) {
			r.balancer.End(key, balance.Success, r.now)
			delete(r.ends, end)
		}
	}
	if r.random.Float64() < lookupsPerSecond/1000. {
		r.lookups++
		if !r.send(lookupObjective, 1) {
			r.busy++
		}
	}
	if r.random.Float64() < downloadsPerSecond/1000 {
		r.downloads++
		r.queue = append(r.queue, r.now)
	}
	r.queue = slices.DeleteFunc(r.queue, func(arrivedAt time.Time) bool {
		limits, elapsed := newWaitLimits(true, downloadObjective), r.now.Sub(arrivedAt)
		if elapsed%waitInterval != 0 {
			return false
		}
		if r.send(downloadObjective, limits.freeSlots(elapsed)) {
			return true
		}
		if elapsed >= limits.last {
			r.lost++
		}
		return elapsed >= limits.last
	})
}

var _ = Describe("flood of downloads on a service with urgent lookups", func() {
	// Guards against lookups that find all slots taken by downloads, which could have waited, and against downloads that are
	// lost although there is capacity for all.
	It("leaves a slot for lookups, and completes the downloads within half of their objective", func() {
		r := newFloodRun()
		for range 20_000 {
			r.step(110)
		}
		Expect(r.lookups).To(BeNumerically(">", 2000))
		Expect(float64(r.busy) / float64(r.lookups)).To(BeNumerically("<", 0.02))
		Expect(r.lost).To(BeZero())
	})

	// Guards against downloads that starve while lookups take all spare slots, and against an unbounded wait.
	It("serves some downloads beyond the capacity, and refuses the others at half of their objective", func() {
		r := newFloodRun()
		for range 20_000 {
			r.step(400)
		}
		Expect(r.lost).To(BeNumerically(">", 0))
		Expect(len(r.queue)).To(BeNumerically("<=", int(420*lastShare*downloadObjective.Seconds())))
		Expect(float64(r.downloads-r.lost) / float64(r.downloads)).To(BeNumerically(">", 0.25))
	})

	// Guards against a request that waits although it has already missed its objective.
	It("does not let a late request wait", func() {
		Expect(newWaitLimits(true, -time.Second).last).To(BeNumerically("<", 0))
		Expect(newWaitLimits(false, time.Second).freeSlots(0)).To(BeZero())
	})
})
