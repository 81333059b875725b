package burn_test

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"flag"
	"io"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hornbeamway/hornbeamway/pkg/burn"
	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

// The property tests use a fixed seed unless the command line gives another.
func init() { _ = flag.Set("rapid.seed", "20261204") }

func TestBurn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "burn")
}

var (
	key       = burn.Key{Service: `cata"logue`, Class: priority.Interactive}
	objective = burn.Objective{Latency: 50 * time.Millisecond, Target: 0.75, Window: 30 * 24 * time.Hour}
)

func tracker(set *metrics.Set) (*burn.Tracker, *clock.Manual) {
	c := clock.NewManual(time.Unix(1_700_000_000, 0))
	t := burn.NewTracker(c, set)
	if err := t.SetObjectives(map[burn.Key]burn.Objective{key: objective}); err != nil {
		panic(err)
	}
	return t, c
}

// Guards against windows that lose or keep buckets: compared with counting all calls one by one.
func TestWindowsMatchPlainCounting(t *testing.T) {
	type call struct {
		bucket int
		bad    bool
	}
	rapid.Check(t, func(t *rapid.T) {
		tr, c := tracker(metrics.NewSet())
		var calls []call
		bucket := 0
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			step := rapid.OneOf(rapid.IntRange(0, 40), rapid.IntRange(0, 2500)).Draw(t, "buckets")
			bucket += step
			c.Advance(time.Duration(step) * 10 * time.Second)
			bad := rapid.Bool().Draw(t, "bad")
			tr.Observe(key.Service, key.Class, 0, !bad)
			calls = append(calls, call{bucket, bad})
		}
		plain := func(buckets int) float64 {
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
		row := tr.Report().Rows[0]
		for _, w := range []struct {
			got  float64
			want float64
		}{{row.Burn5m, plain(30)}, {row.Burn1h, plain(360)}, {row.Burn6h, plain(2160)}} {
			if diff := w.got - w.want; diff > 1e-9 || diff < -1e-9 {
				t.Fatalf("got %v, want %v", w.got, w.want)
			}
		}
	})
}

var _ = Describe("a tracker", func() {
	// Guards against slow or failed calls that count as good, and against calls of other classes that count.
	DescribeTable("judges a call", func(class priority.Class, latency time.Duration, ok bool, calls, bad int) {
		t, _ := tracker(metrics.NewSet())
		t.Observe(key.Service, class, latency, ok)
		t.Observe("unknown", class, latency, ok)
		row := t.Report().Rows[0]
		Expect([]uint32{row.Calls, row.Bad}).To(Equal([]uint32{uint32(calls), uint32(bad)}))
	},
		Entry("good at the limit", priority.Interactive, 50*time.Millisecond, true, 1, 0),
		Entry("slow", priority.Interactive, 51*time.Millisecond, true, 1, 1),
		Entry("failed", priority.Interactive, time.Millisecond, false, 1, 1),
		Entry("another class", priority.Bulk, time.Second, false, 0, 0),
		Entry("no class", priority.Class(9), time.Second, false, 0, 0),
	)

	// Guards against objectives that divide by zero or claim windows that are not measured.
	DescribeTable("refuses an objective", func(o burn.Objective) {
		t, _ := tracker(metrics.NewSet())
		Expect(t.SetObjectives(map[burn.Key]burn.Objective{key: o})).To(MatchError(burn.ErrObjective))
		Expect(t.Report().Rows).To(HaveLen(1))
	},
		Entry("target 1", burn.Objective{Latency: 1, Target: 1, Window: 24 * time.Hour}),
		Entry("no latency", burn.Objective{Target: 0.9, Window: 24 * time.Hour}),
		Entry("short window", burn.Objective{Latency: 1, Target: 0.9, Window: time.Hour}),
	)

	// Guards against counters that are lost by an unrelated preset change, and old ones judged by a new objective.
	It("keeps counters of unchanged objectives and metrics of current ones", func() {
		set := metrics.NewSet()
		t, _ := tracker(set)
		t.Observe(key.Service, key.Class, time.Second, true)
		other := burn.Key{Service: "orders", Class: priority.Transactional}
		Expect(t.SetObjectives(map[burn.Key]burn.Objective{key: objective, other: objective})).To(Succeed())
		Expect(t.Report().Rows[0].Bad).To(BeEquivalentTo(1))
		var out bytes.Buffer
		set.WritePrometheus(&out)
		Expect(out.String()).To(ContainSubstring(`hornbeamway_burn_rate{service="cata\"logue",class="interactive",window="5m"} 4`))
		changed := objective
		changed.Latency *= 2
		Expect(t.SetObjectives(map[burn.Key]burn.Objective{key: changed})).To(Succeed())
		Expect(t.Report().Rows).To(HaveLen(1))
		Expect(t.Report().Rows[0].Bad).To(BeZero())
		Expect(set.ListMetricNames()).NotTo(ContainElement(ContainSubstring(`hornbeamway_burn_rate{service="orders"`)))
	})

	// Guards against garbage on the call path, which would add to tail latency.
	It("allocates nothing per call", func() {
		t, _ := tracker(metrics.NewSet())
		Expect(testing.AllocsPerRun(1000, func() { t.Observe(key.Service, key.Class, time.Second, true) })).To(BeZero())
	})

	// Guards against output that cannot be read back.
	It("writes JSON, a table and a plot", func() {
		t, c := tracker(metrics.NewSet())
		t.Observe(key.Service, key.Class, time.Second, true)
		c.Advance(10 * time.Minute)
		t.Observe(key.Service, key.Class, 0, true)
		report := t.Report()
		data, err := json.Marshal(report)
		Expect(err).NotTo(HaveOccurred())
		var back burn.Report
		Expect(json.Unmarshal(data, &back)).To(Succeed())
		Expect(back.Rows).To(Equal(report.Rows))
		Expect(report.Rows[0].History).To(HaveLen(72))
		Expect(report.Rows[0].History[69:]).To(Equal([]float64{4, 0, 0}))
		var text, svg bytes.Buffer
		Expect(report.WriteText(&text)).To(Succeed())
		Expect(text.String()).To(MatchRegexp(`interactive\s+50ms\s+0.75\s+2\s+1\s+0.00\s+2.00\s+2.00`))
		Expect(report.WriteSVG(&svg)).To(Succeed())
		decoder := xml.NewDecoder(&svg)
		for err == nil {
			_, err = decoder.Token()
		}
		Expect(err).To(Equal(io.EOF))
	})
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
