package burn_test

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hornbeamway/hornbeamway/internal/testsupport"
	"github.com/hornbeamway/hornbeamway/pkg/burn"
	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

func init() { testsupport.FixRapid("20261204", "") }

func TestBurn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "burn")
}

var (
	key       = burn.Key{Service: `cata"logue`, Class: priority.Interactive}
	objective = burn.Objective{Latency: 50 * time.Millisecond, Target: 0.75, Window: 30 * 24 * time.Hour}
)

func newTracker(set *metrics.Set) (*burn.Tracker, *clock.Manual) {
	c := clock.NewManual(time.Unix(1_700_000_000, 0))
	t := burn.NewTracker(c, set)
	if err := t.SetObjectives(map[burn.Key]burn.Objective{key: objective}); err != nil {
		panic(err)
	}
	return t, c
}

// Guards against windows that drop buckets too early or too late. The rates are compared with a count of individual calls.
func TestWindowsMatchPlainCounting(t *testing.T) {
	type call struct {
		bucket int
		bad    bool
	}
	rapid.Check(t, func(t *rapid.T) {
		tracker, c := newTracker(metrics.NewSet())
		var calls []call
		bucket := 0
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			step := rapid.OneOf(rapid.IntRange(0, 40), rapid.IntRange(0, 2500)).Draw(t, "buckets")
			bucket += step
			c.Advance(time.Duration(step) * 10 * time.Second)
			bad := rapid.Bool().Draw(t, "bad")
			tracker.Observe(key.Service, key.Class, 0, !bad)
			calls = append(calls, call{bucket, bad})
		}
		countedRate := func(buckets int) float64 {
			total, bad := 0.0, 0.0
			for _, x := range calls {
				if x.bucket > bucket-buckets {
					total++
					if x.bad {
						bad++
					}
				}
			}
			return bad / total / (1 - objective.Target)
		}
		row := tracker.Report().Rows[0]
		for _, w := range []struct {
			got  float64
			want float64
		}{{row.Burn5m, countedRate(30)}, {row.Burn1h, countedRate(360)}, {row.Burn6h, countedRate(2160)}} {
			if diff := w.got - w.want; diff > 1e-9 || diff < -1e-9 {
				t.Fatalf("got %v, want %v", w.got, w.want)
			}
		}
	})
}

var _ = Describe("a tracker", func() {
	// Guards against counting slow or failed calls as good, and against counting calls of other classes.
	DescribeTable("classifies a call", func(class priority.Class, latency time.Duration, ok bool, calls, bad int) {
		t, _ := newTracker(metrics.NewSet())
		t.Observe(key.Service, class, latency, ok)
		t.Observe("unknown", class, latency, ok)
		row := t.Report().Rows[0]
		Expect(row.Last6h).To(Equal(burn.Count{Calls: uint64(calls), Bad: uint64(bad)}))
	},
		Entry("good at the limit", priority.Interactive, 50*time.Millisecond, true, 1, 0),
		Entry("slow", priority.Interactive, 51*time.Millisecond, true, 1, 1),
		Entry("failed", priority.Interactive, time.Millisecond, false, 1, 1),
		Entry("another class", priority.Bulk, time.Second, false, 0, 0),
		Entry("no class", priority.Class(9), time.Second, false, 0, 0),
	)

	// Guards against objectives that cause a division by zero or have a window shorter than the longest measured one.
	DescribeTable("rejects an objective", func(o burn.Objective) {
		t, _ := newTracker(metrics.NewSet())
		Expect(t.SetObjectives(map[burn.Key]burn.Objective{key: o})).To(MatchError(burn.ErrObjective))
		Expect(t.Report().Rows).To(HaveLen(1))
	},
		Entry("target 1", burn.Objective{Latency: 1, Target: 1, Window: 24 * time.Hour}),
		Entry("no latency", burn.Objective{Target: 0.9, Window: 24 * time.Hour}),
		Entry("short window", burn.Objective{Latency: 1, Target: 0.9, Window: time.Hour}),
	)

	// Guards against losing counters in an unrelated preset change, and against applying a new objective to counters of the old.
	It("keeps the counters of unchanged objectives and removes the metrics of removed ones", func() {
		set := metrics.NewSet()
		t, _ := newTracker(set)
		t.Observe(key.Service, key.Class, time.Second, true)
		other := burn.Key{Service: "orders", Class: priority.Transactional}
		Expect(t.SetObjectives(map[burn.Key]burn.Objective{key: objective, other: objective})).To(Succeed())
		Expect(t.Report().Rows[0].Last6h.Bad).To(BeEquivalentTo(1))
		var out bytes.Buffer
		set.WritePrometheus(&out)
		Expect(out.String()).To(ContainSubstring(`hornbeamway_burn_rate{service="cata\"logue",class="interactive",window="5m"} 4`))
		changed := objective
		changed.Latency *= 2
		Expect(t.SetObjectives(map[burn.Key]burn.Objective{key: changed})).To(Succeed())
		Expect(t.Report().Rows).To(HaveLen(1))
		Expect(t.Report().Rows[0].Last6h.Bad).To(BeZero())
		Expect(set.ListMetricNames()).NotTo(ContainElement(ContainSubstring(`hornbeamway_burn_rate{service="orders"`)))
	})

	// Guards against allocations on the call path; garbage collection would add to the tail latency.
	It("allocates nothing per call", func() {
		t, _ := newTracker(metrics.NewSet())
		Expect(testing.AllocsPerRun(1000, func() { t.Observe(key.Service, key.Class, time.Second, true) })).To(BeZero())
	})

	// Guards against JSON that does not decode to the same report, and against wrong rates in the table.
	It("writes JSON and a table", func() {
		t, c := newTracker(metrics.NewSet())
		t.Observe(key.Service, key.Class, time.Second, true)
		c.Advance(10 * time.Minute)
		t.Observe(key.Service, key.Class, 0, true)
		report := t.Report()
		data, err := json.Marshal(report)
		Expect(err).NotTo(HaveOccurred())
		var decoded burn.Report
		Expect(json.Unmarshal(data, &decoded)).To(Succeed())
		Expect(decoded.Rows).To(Equal(report.Rows))
		Expect(report.Rows[0].History).To(HaveLen(72))
		Expect(report.Rows[0].History[69:]).To(Equal([]burn.Count{{Calls: 1, Bad: 1}, {}, {Calls: 1}}))
		Expect(report.Rows[0].BurnHistory()[69:]).To(Equal([]float64{4, 0, 0}))
		var text bytes.Buffer
		Expect(report.WriteText(&text)).To(Succeed())
		Expect(text.String()).To(MatchRegexp(`interactive\s+50ms\s+0.75\s+1\s+2\s+1\s+0.00\s+2.00\s+2.00`))
	})
})

// Guards against merged rates that differ from the rates of a single VM that observed all calls.
func TestMergeMatchesOneTracker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		combined, combinedClock := newTracker(metrics.NewSet())
		parts, clocks := make([]*burn.Tracker, 3), []*clock.Manual{combinedClock}
		for i := range parts {
			var c *clock.Manual
			parts[i], c = newTracker(metrics.NewSet())
			clocks = append(clocks, c)
		}
		for range rapid.IntRange(0, 40).Draw(t, "calls") {
			step := time.Duration(rapid.IntRange(0, 400).Draw(t, "buckets")) * 10 * time.Second
			for _, c := range clocks {
				c.Advance(step)
			}
			bad := rapid.Bool().Draw(t, "bad")
			combined.Observe(key.Service, key.Class, 0, !bad)
			parts[rapid.IntRange(0, len(parts)-1).Draw(t, "vm")].Observe(key.Service, key.Class, 0, !bad)
		}
		want := combined.Report()
		want.Rows[0].VMs = len(parts)
		got := burn.Merge(parts[0].Report(), parts[1].Report(), parts[2].Report())
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	})
}

// Guards against adding the counts of an old objective to those of a new one.
var _ = It("does not merge rows of different objectives", func() {
	a, _ := newTracker(metrics.NewSet())
	b, _ := newTracker(metrics.NewSet())
	changed := objective
	changed.Latency *= 2
	Expect(b.SetObjectives(map[burn.Key]burn.Objective{key: changed})).To(Succeed())
	merged := burn.Merge(b.Report(), a.Report())
	Expect(merged.Rows).To(HaveLen(2))
	Expect(merged.Rows[0].Latency).To(BeNumerically("<", merged.Rows[1].Latency))
	Expect(burn.Merge().Rows).To(BeEmpty())
})

func BenchmarkObserve(b *testing.B) {
	t := burn.NewTracker(clock.System{}, metrics.NewSet())
	if err := t.SetObjectives(map[burn.Key]burn.Objective{key: objective}); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		t.Observe(key.Service, key.Class, time.Millisecond, true)
	}
}
