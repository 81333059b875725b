package proxy

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hornbeamway/hornbeamway/pkg/preset"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
)

// countCall counts a call and records its latency.
func countCall(r *preset.Route, status int, latency time.Duration) {
	labels := fmt.Sprintf(`{service=%q,class=%q,status="%dxx"}`, r.Service, r.Class.String(), status/100)
	metrics.GetOrCreateCounter("hornbeamway_calls_total" + labels).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`hornbeamway_call_duration_seconds{service=%q,class=%q}`, r.Service, r.Class.String())).
		Update(latency.Seconds())
}

// countProblem counts an error answer of this VM.
func countProblem(p *problem.Problem) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`hornbeamway_problems_total{reason=%q,outcome=%q}`, p.Reason, p.Outcome)).Inc()
}

func countRetry(service string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`hornbeamway_retries_total{service=%q}`, service)).Inc()
}

func countRetryRefused(service string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`hornbeamway_retries_refused_total{service=%q}`, service)).Inc()
}

func countHedge(service string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`hornbeamway_hedges_total{service=%q}`, service)).Inc()
}
