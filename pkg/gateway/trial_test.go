package gateway

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/balance"
	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/directory"
	"github.com/hornbeamway/hornbeamway/pkg/routing"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

// learningRun plays a VM that sends a steady, low load to a service, without a network. The VM learns about its servers only by the
// responses to its requests and, if probed is true, by probes.
type learningRun struct {
	gateway *Gateway
	clock   *clock.Manual
	route   *routing.Route
	servers []*directory.Server
	// work is the time that a server works on a request, slowdown the factor by which it takes longer at the moment, and delay what
	// the network adds. reports is true if responses carry a load report that states the slowdown.
	work, delay time.Duration
	slowdown    float64
	reports     bool
	probed      bool
	// full is true if the servers have no capacity. interval is the time between two requests.
	full     bool
	interval time.Duration
	pending  []pendingResponse
}

type pendingResponse struct {
	choice        balance.Choice
	sentAt, dueAt time.Time
}

const (
	learningServers  = 4
	learningSlots    = 3
	learningWork     = 90 * time.Millisecond
	learningInterval = 50 * time.Millisecond
	probedEvery      = 80 * time.Millisecond
	regionDelay      = 62 * time.Millisecond
)

// newLearningRun returns a run of a VM that has just started, with servers in the given region. The VM is in region "r".
func newLearningRun(region string, objective time.Duration) *learningRun {
	r := &learningRun{clock: clock.NewManual(time.Unix(1_800_000_000, 0)), work: learningWork, slowdown: 1, reports: true,
		interval: learningInterval,
		route:    &routing.Route{Name: "r", Objective: objective, Timeout: time.Second, MaxAttempts: 1}}
	r.gateway = New(Options{Clock: r.clock, Balancer: balance.New(balance.Location{DataCentre: "d", Region: "r"}, 1),
		Servers: upstream.NewTransport(upstream.Options{})})
	r.replaceServers(region, 1)
	return r
}

// replaceServers replaces all servers of the service by ones that have just started.
func (r *learningRun) replaceServers(region string, incarnation int64) {
	r.servers = nil
	for i := range learningServers {
		r.servers = append(r.servers, &directory.Server{ID: fmt.Sprint("s", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i),
			DataCentre: "d", Region: region, Slots: learningSlots, Incarnation: incarnation})
	}
	r.gateway.Balancer.SetServers(&directory.View{ByService: map[string][]*directory.Server{"s": r.servers}})
}

// play sends requests for the given time and returns the share of them that was not refused.
func (r *learningRun) play(d time.Duration) float64 {
	sent, admitted := 0, 0
	for elapsed := time.Duration(0); elapsed < d; elapsed += time.Millisecond {
		r.clock.Advance(time.Millisecond)
		r.receiveDue()
		if r.probed && elapsed%probedEvery == 0 {
			r.probe()
		}
		if elapsed%r.interval == 0 {
			sent++
			if r.send() {
				admitted++
			}
		}
	}
	return float64(admitted) / float64(sent)
}

func (r *learningRun) probe() {
	for _, s := range r.servers {
		r.gateway.Balancer.RecordLoadReport(balance.ServerKeyOf(s), balance.LoadReport{Slowdown: r.slowdown}, r.clock.Now())
	}
}

// send sends a request to the server that the gateway chooses, and reports whether there was one.
func (r *learningRun) send() bool {
	now := r.clock.Now()
	choice, refusal := r.gateway.chooseServer(&call{route: r.route, service: "s", arrivedAt: now, deadline: now.Add(r.route.Timeout),
		body: r.gateway.requestBodies.NewBuffer()})
	if refusal != nil {
		return false
	}
	r.gateway.Balancer.Begin(choice.Key)
	took := time.Duration(float64(r.work)*r.slowdown) + r.delay
	r.pending = append(r.pending, pendingResponse{choice: choice, sentAt: now, dueAt: now.Add(took)})
	return true
}

// receiveDue records the responses that are due.
func (r *learningRun) receiveDue() {
	now := r.clock.Now()
	r.pending = slices.DeleteFunc(r.pending, func(p pendingResponse) bool {
		if p.dueAt.After(now) {
			return false
		}
		report, outcome := balance.LoadReport{Slowdown: r.slowdown}, balance.Success
		if r.full {
			report.Running, report.Waiting, outcome = learningSlots, learningSlots, balance.Full
		} else {
			r.gateway.estimates.record(r.route, p.choice, now.Sub(p.sentAt), initialResponseBytes)
		}
		if r.reports {
			r.gateway.Balancer.RecordLoadReport(p.choice.Key, report, now)
		}
		r.gateway.Balancer.End(p.choice.Key, outcome, now)
		return true
	})
}

var _ = Describe("VM that does not know the load of the servers", func() {
	const (
		learningTime   = 3 * time.Second
		observedTime   = 5 * time.Second
		mostlyAdmitted = 0.95
		// sentPerSecond bounds the requests that a VM sends to servers that are expected to be too slow.
		sentPerSecond = 10
	)

	// Guards against a VM that refuses all requests to a service whose servers are all in another region, because it assumes a load
	// with which they would be too slow: nothing is sent, so that it never learns that they are idle.
	DescribeTable("serves a service with idle servers in another region only after its start",
		func(delay time.Duration, reports bool) {
			r := newLearningRun("other", 200*time.Millisecond)
			r.delay, r.reports = delay, reports
			r.play(learningTime)
			Expect(r.play(observedTime)).To(BeNumerically(">", mostlyAdmitted))
		},
		Entry("that report their load", regionDelay, true),
		Entry("that do not report their load", regionDelay, false),
		Entry("that are nearer than assumed", time.Duration(0), true),
	)

	// Guards against a work estimate that a slow network has raised above the limit and that nothing lowers again, because all
	// requests of the route are refused.
	It("serves a route again after its responses were slow for a while", func() {
		r := newLearningRun("r", 200*time.Millisecond)
		r.probed = true
		Expect(r.play(learningTime)).To(BeNumerically(">", mostlyAdmitted))
		r.delay = 500 * time.Millisecond
		r.play(10 * time.Second)
		r.delay = 0
		r.play(2 * learningTime)
		Expect(r.play(observedTime)).To(BeNumerically(">", mostlyAdmitted))
	})

	// Guards against a mean slowdown of a service that is not probed, which stays high because all requests are refused for it.
	DescribeTable("serves a service that is not probed again after its servers were slow for a while",
		func(replaced bool) {
			r := newLearningRun("r", time.Second)
			Expect(r.play(learningTime)).To(BeNumerically(">", mostlyAdmitted))
			r.slowdown = 25
			r.play(10 * time.Second)
			r.slowdown = 1
			if replaced {
				r.replaceServers("r", 2)
			}
			r.play(2 * learningTime)
			Expect(r.play(observedTime)).To(BeNumerically(">", mostlyAdmitted))
		},
		Entry("with the same servers", false),
		Entry("with other servers", true),
	)

	// Guards against trial requests in great numbers, which servers of another region that are full or silent would have to refuse
	// or leave unanswered.
	DescribeTable("sends few requests on trial to servers in another region",
		func(reports bool, prepare func(r *learningRun)) {
			r := newLearningRun("other", 200*time.Millisecond)
			r.reports, r.delay, r.interval = reports, regionDelay, 5*time.Millisecond
			prepare(r)
			sentShare := sentPerSecond * r.interval.Seconds()
			Expect(r.play(observedTime)).To(BeNumerically("<", sentShare))
		},
		Entry("that are full and report it", true, func(r *learningRun) { r.full = true }),
		Entry("that are full and do not report it", false, func(r *learningRun) { r.full = true }),
		Entry("that do not answer", false, func(r *learningRun) { r.delay = time.Hour }),
		Entry("that report that they are slow", true, func(r *learningRun) { r.slowdown = 25 }),
	)
})
