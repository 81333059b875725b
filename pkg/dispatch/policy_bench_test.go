package dispatch

import (
	"fmt"
	"os"
	"testing"
	"text/tabwriter"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

type policyCase struct {
	name  string
	setUp func(*model)
}

func policies() []policyCase {
	return []policyCase{
		{"dispatcher", withDispatcher},
		{"round robin", withBaseline(func(vm int) Selection { return &RoundRobin{next: vm} })},
		{"random", withBaseline(func(vm int) Selection { return NewRandom(uint64(vm)) })},
		{"least requests", withBaseline(func(vm int) Selection { return &LeastRequests{next: vm} })},
		{"two choices, own", withBaseline(func(vm int) Selection { return NewTwoChoices(uint64(vm), false) })},
		{"two choices, report", withBaseline(func(vm int) Selection { return NewTwoChoices(uint64(vm), true) })},
	}
}

func runModel(s scenario, setUp func(*model)) *modelResults {
	m := newModel(s)
	setUp(m)
	return m.run()
}

func (o *modelResults) quantile(c priority.Class, q float64) float64 {
	return float64(o.latency[c].ValueAtQuantile(q)) / 1000
}

func (o *modelResults) completedFraction(c priority.Class) float64 {
	return float64(o.completed[c]) / float64(max(o.offered[c], 1))
}

// BenchmarkPolicies prints a table of the results of all policies in all scenarios. The simulated results depend only on the
// seed.
func BenchmarkPolicies(b *testing.B) {
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(out, "seed %d\nscenario\tpolicy\tint p50 ms\tint p99\tint p99.9\ttrans p99\tbulk p99\tint done %%\ttrans done %%\tbulk done %%\tto server 0 %%\t\n", modelSeed)
	for _, s := range scenarios {
		for _, p := range policies() {
			o := runModel(s, p.setUp)
			fmt.Fprintf(out, "%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t\n", s.name, p.name,
				o.quantile(0, 50), o.quantile(0, 99), o.quantile(0, 99.9), o.quantile(1, 99), o.quantile(2, 99),
				100*o.completedFraction(0), 100*o.completedFraction(1), 100*o.completedFraction(2),
				100*float64(o.sentToFaulty)/float64(o.sentDuringFault))
		}
	}
	_ = out.Flush()
}

var _ = Describe("dispatcher on the simulated clock", Ordered, func() {
	results := map[string]*modelResults{}
	BeforeAll(func() {
		for _, s := range scenarios {
			results[s.name] = runModel(s, withDispatcher)
		}
	})

	// Guards against a server that attracts calls because it fails fast while its load report shows it as idle.
	It("gives a server that fails fast no more than its fair share after one second", func() {
		o := results["fail fast"]
		Expect(float64(o.sentToFaulty) / float64(o.sentDuringFault)).To(BeNumerically("<=", 1.0/modelServers))
	})

	// Guards against a straggler that determines the tail latency of the whole pool.
	It("keeps the p99 of interactive within 1.5 times calm with one straggler", func() {
		Expect(results["straggler"].quantile(priority.Interactive, 99)).To(
			BeNumerically("<=", 1.5*results["calm"].quantile(priority.Interactive, 99)))
	})

	// Guards against a class that loses its minimum share to a flood of another class.
	DescribeTable("completes 99% of the other classes in a flood",
		func(name string, others ...priority.Class) {
			for _, c := range others {
				Expect(results[name].completedFraction(c)).To(BeNumerically(">=", 0.99), c.String())
			}
		},
		Entry("of bulk", "flood bulk", priority.Interactive, priority.Transactional),
		Entry("of interactive", "flood interactive", priority.Transactional, priority.Bulk),
	)

	// Guards against a backlog that persists after the flood.
	DescribeTable("recovers its latency within two seconds after a flood",
		func(name string) {
			for _, c := range priority.Classes() {
				after := time.Duration(results[name].afterFlood[c].ValueAtQuantile(99)) * time.Microsecond
				calm := time.Duration(results["calm"].afterFlood[c].ValueAtQuantile(99)) * time.Microsecond
				Expect(after).To(BeNumerically("<=", calm*3/2), c.String())
			}
		},
		Entry("of bulk", "flood bulk"),
		Entry("of interactive", "flood interactive"),
	)
})
