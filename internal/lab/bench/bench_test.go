package bench

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/internal/lab/load"
)

func TestBench(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Bench Suite")
}

var _ = Describe("metrics", func() {
	const text = `# HELP x
hornbeamway_retries_total{service="a"} 3
hornbeamway_retries_total{service="b"} 4
hornbeamway_retries_refused_total{service="a"} 9
hornbeamway_problems_total{reason="queue_full",outcome="not_run"} 5
hornbeamway_problems_total{reason="queue_full",outcome="unknown"} 1
plain 2.5
broken
`
	// Guards against sums that include a metric whose name only begins with the given name, and against lost labels.
	It("sums and groups metrics of the text format", func() {
		s := parseMetrics([]byte(text))
		Expect(s.sum("hornbeamway_retries_total")).To(Equal(7.0))
		Expect(s.sum("plain")).To(Equal(2.5))
		Expect(s.byLabel("hornbeamway_problems_total", "reason")).To(Equal(map[string]float64{"queue_full": 6}))
	})

	// Guards against an increase that includes counts from before the measured time, or omits a VM that started later.
	It("computes the increase of counters per VM", func() {
		before := &snapshot{metrics: map[string]metricValues{"vm1": {"a": 5}, "gone": {"a": 100}}}
		after := &snapshot{metrics: map[string]metricValues{"vm1": {"a": 7}, "vm2": {"a": 1}}}
		Expect(after.since(before)).To(Equal(metricValues{"a": 3}))
	})
})

var _ = Describe("results", func() {
	result := func() *Result {
		r := NewResult(1)
		a := Added{RatePerCore: 10, Arms: []Arm{
			{Name: "direct", Runs: []load.Latency{{P50: 1, P99: 4}, {P50: 3, P99: 2}, {P50: 2, P99: 9}}},
			{Name: "through", Runs: []load.Latency{{P50: 4, P99: 10}, {P50: 6, P99: 12}}},
		}}
		a.computeMedians()
		r.AddedLatency = []Added{a}
		r.Scenarios = []Scenario{{Name: "calm", Classes: []load.Summary{{Class: "interactive", Completed: 1},
			{Class: "bulk", Latency: load.Latency{P50: 2, P99: 3, P999: 4}}}}}
		return r
	}

	// Guards against added latencies that are computed from a single run, which may be an outlier.
	It("compares the medians of the runs with the direct arm", func() {
		a := result().AddedLatency[0]
		Expect(a.Arms[0].P50).To(Equal(2.0))
		Expect(a.Arms[0].AddedP99).To(BeZero())
		Expect(a.Arms[1].AddedP50).To(Equal(3.0))
		Expect(a.Arms[1].AddedP99).To(Equal(7.0))
	})

	// Guards against plots that fail on a class without answered requests, whose latency of 0 can't be drawn on a logarithmic axis.
	It("are read back from a file and plotted", func() {
		dir := GinkgoT().TempDir()
		file := filepath.Join(dir, "r.json")
		Expect(result().Write(file)).To(Succeed())
		r, err := Read(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Note).To(ContainSubstring("shared machine"))
		Expect(r.WritePlots(filepath.Join(dir, "plots"))).To(Succeed())
		for _, name := range []string{"added.svg", "scenarios-p50.svg", "scenarios-p99.svg",
			"scenarios-p999.svg", "scenarios-completed.svg"} {
			Expect(os.ReadFile(filepath.Join(dir, "plots", name))).To(ContainSubstring("<svg"))
		}
	})
})
