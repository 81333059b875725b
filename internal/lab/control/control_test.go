package control

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestControl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "control")
}

// Guards against a table that omits one direction of a part or counts another metric as control traffic.
var _ = It("sums the directions of a part and computes the rate of each VM", func() {
	start := time.Unix(1000, 0)
	text := func(sent, cpu string) string {
		return "hornbeamway_control_bytes_total{part=\"vmlist\",direction=\"sent\"} " + sent + "\n" +
			"hornbeamway_control_bytes_total{part=\"vmlist\",direction=\"received\"} 50\n" +
			"hornbeamway_peer_sent_bytes_total{role=\"client\"} 9999\n" +
			"process_cpu_seconds_total " + cpu + "\nprocess_resident_memory_bytes 2.5e+07\n"
	}
	before := parseMetrics(text("100", "1"), start)
	Expect(before.parts).To(Equal(map[string]float64{"vmlist": 150}))
	after := parseMetrics(text("300", "1.5"), start.Add(10*time.Second))
	s := aggregate(map[string]scrape{"a": before, "b": before},
		map[string]scrape{"a": after, "b": before.later(10 * time.Second)})
	Expect(s.Parts["vmlist"]).To(BeNumerically("~", 10))
	Expect(s.MaxBytes).To(BeNumerically("~", 20))
	Expect(s.MaxCores).To(BeNumerically("~", 0.05))
	Expect(s.Memory).To(BeNumerically("~", 25e6))
})

// Guards against a slope that differs from the least-squares fit.
var _ = It("computes the slope per VM", func() {
	Expect(leastSquares([]float64{4, 8, 16}, []float64{9, 17, 33})).To(BeNumerically("~", 2))
})

// later returns the same scrape with its time advanced by d.
func (s scrape) later(d time.Duration) scrape {
	s.at = s.at.Add(d)
	return s
}
