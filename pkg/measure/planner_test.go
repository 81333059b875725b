package measure_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hornbeamway/hornbeamway/internal/testsupport"
	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/measure"
)

func init() { testsupport.FixRapid("20261204", "") }

func TestMeasure(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "measure")
}

var start = time.Unix(1_000_000, 0)

// Guards against probes that exceed the budget of a server or of the VM, for any probe cost and planning interval.
func TestProbesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "servers")
		targets := make([]measure.Target, n)
		for i := range targets {
			targets[i].ID = fmt.Sprint(i)
		}
		now := start
		p := measure.NewPlanner(now)
		p.Update(now, targets)
		spent, bytes := map[string]time.Duration{}, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			target, ok := p.Next(now)
			if !ok {
				continue
			}
			cost := measure.Cost{
				Time:  time.Duration(rapid.IntRange(100, 9000).Draw(t, "us")) * time.Microsecond,
				Bytes: rapid.IntRange(100, 700).Draw(t, "bytes"),
			}
			p.Done(now, now, target.ID, measure.Result{Cost: cost}, false)
			spent[target.ID] += cost.Time
			bytes += cost.Bytes
			elapsed := now.Sub(start).Seconds()
			// Only the last probe may have cost more than expected; later probes wait until the debt is repaid.
			if limit := 5*elapsed + 9; spent[target.ID].Seconds()*1000 > limit {
				t.Fatalf("server %s: %v in %.1f s", target.ID, spent[target.ID], elapsed)
			}
			if limit := 1024*elapsed + 700; float64(bytes) > limit {
				t.Fatalf("VM: %d bytes in %.1f s", bytes, elapsed)
			}
		}
	})
}

// Guards against a burst of probes when all VMs are replaced at once, and against probing servers that respond to calls.
var _ = DescribeTable("plans a probe",
	func(after, sinceResponse time.Duration, want bool) {
		p := measure.NewPlanner(start)
		now := start.Add(after)
		p.Update(start, []measure.Target{{ID: "a", LastResponse: now.Add(-sinceResponse)}})
		_, ok := p.Next(now)
		Expect(ok).To(Equal(want))
	},
	Entry("not at the start", time.Duration(0), time.Hour, false),
	Entry("not before the budget allows it", 900*time.Millisecond, time.Hour, false),
	Entry("of a server without a recent response", 1100*time.Millisecond, 2*time.Second, true),
	Entry("not of a server with a recent response", 1100*time.Millisecond, 1900*time.Millisecond, false),
)

// Guards against probing a server too often because it responds long before it has used all the backend time of the probe.
var _ = DescribeTable("spends the stated cost of a probe, not only the measured response time",
	func(stated time.Duration, maxProbes int) {
		p, probes := measure.NewPlanner(start), 0
		for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(100 * time.Millisecond) {
			p.Update(now, []measure.Target{{ID: "a", StatedTime: stated}})
			if _, ok := p.Next(now); ok {
				probes++
				p.Done(now, now, "a", measure.Result{Cost: measure.Cost{Time: 300 * time.Microsecond, Bytes: 250}}, false)
			}
		}
		Expect(probes).To(And(BeNumerically(">=", maxProbes-1), BeNumerically("<=", maxProbes)))
	},
	Entry("5 ms", 5*time.Millisecond, 10),
	Entry("10 ms", 10*time.Millisecond, 5),
	Entry("not stated", time.Duration(0), 10),
)

// Guards against a probe result that overrides a later response to a call.
var _ = It("drops a result that is older than the last response", func() {
	p := measure.NewPlanner(start)
	p.Update(start, []measure.Target{{ID: "a"}})
	sent := start.Add(2 * time.Second)
	_, ok := p.Next(sent)
	Expect(ok).To(BeTrue())
	p.Update(sent, []measure.Target{{ID: "a", LastResponse: sent.Add(time.Millisecond)}})
	_, used := p.Done(sent.Add(5*time.Millisecond), sent, "a", measure.Result{}, false)
	Expect(used).To(BeFalse())
})

type fakeProber struct{}

func (fakeProber) Probe(context.Context, measure.Target) (measure.Result, error) {
	return measure.Result{Slots: 3, Age: 300 * time.Millisecond, Cost: measure.Cost{Time: time.Millisecond, Bytes: 300}}, nil
}

// Guards against a Runner that never probes, ignores the age of a result, or does not return when its context is cancelled.
var _ = It("reports the result with its age and returns when its context is cancelled", func() {
	manualClock := clock.NewManual(start)
	reports := make(chan measure.Report, 1)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	runner := measure.Runner{Clock: manualClock, Prober: fakeProber{}, Report: func(r measure.Report) { reports <- r },
		Targets: func() []measure.Target { return []measure.Target{{ID: "a"}} }}
	go func() { runner.Run(ctx); close(ended) }()
	for range 2 { // the first iteration adds the server with an empty bucket
		Eventually(manualClock.PendingTimers).Should(Equal(1))
		manualClock.Advance(2 * time.Second)
	}
	Eventually(reports).Should(Receive(HaveField("At", start.Add(3700*time.Millisecond))))
	cancel()
	Eventually(ended).Should(BeClosed())
})
