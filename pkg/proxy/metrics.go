package proxy

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hornbeamway/hornbeamway/pkg/preset"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
)

// metricCache caches metrics by their label values, because formatting labels costs more than counting.
type metricCache[K comparable, V any] struct {
	create func(K) V
	mu     sync.RWMutex
	values map[K]V
}

func newMetricCache[K comparable, V any](create func(K) V) *metricCache[K, V] {
	return &metricCache[K, V]{create: create, values: map[K]V{}}
}

func (c *metricCache[K, V]) get(key K) V {
	c.mu.RLock()
	value, ok := c.values[key]
	c.mu.RUnlock()
	if ok {
		return value
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if value, ok = c.values[key]; !ok {
		value = c.create(key)
		c.values[key] = value
	}
	return value
}

// routeKey holds the labels of a route's metrics.
type routeKey struct {
	service string
	class   priority.Class
}

// statusClasses is the number of status classes: 1xx to 5xx, and index 0 for any other status.
const statusClasses = 6

type routeMetrics struct {
	calls    [statusClasses]*metrics.Counter
	duration *metrics.Histogram
}

type problemKey struct {
	reason  problem.Reason
	outcome problem.Outcome
}

var (
	routes = newMetricCache(func(k routeKey) *routeMetrics {
		m := &routeMetrics{}
		labels := fmt.Sprintf(`service=%q,class=%q`, k.service, k.class.String())
		for i := range m.calls {
			m.calls[i] = metrics.GetOrCreateCounter(fmt.Sprintf(`hornbeamway_calls_total{%s,status="%dxx"}`, labels, i))
		}
		m.duration = metrics.GetOrCreateHistogram(fmt.Sprintf(`hornbeamway_call_duration_seconds{%s}`, labels))
		return m
	})
	problems = newMetricCache(func(k problemKey) *metrics.Counter {
		return metrics.GetOrCreateCounter(fmt.Sprintf(`hornbeamway_problems_total{reason=%q,outcome=%q}`, k.reason, k.outcome))
	})
	retries        = newServiceCounters("hornbeamway_retries_total")
	retriesRefused = newServiceCounters("hornbeamway_retries_refused_total")
	hedges         = newServiceCounters("hornbeamway_hedges_total")
	// linkBytes counts the body bytes that this VM sent over the region link.
	linkBytes = newMetricCache(func(c priority.Class) *metrics.Counter {
		return metrics.GetOrCreateCounter(fmt.Sprintf(`hornbeamway_link_body_bytes_total{class=%q}`, c.String()))
	})
)

func newServiceCounters(name string) *metricCache[string, *metrics.Counter] {
	return newMetricCache(func(service string) *metrics.Counter {
		return metrics.GetOrCreateCounter(fmt.Sprintf(`%s{service=%q}`, name, service))
	})
}

// countCall counts a call and records its latency.
func countCall(r *preset.Route, status int, latency time.Duration) {
	m := routes.get(routeKey{r.Service, r.Class})
	class := status / 100
	if class < 0 || class >= statusClasses {
		class = 0
	}
	m.calls[class].Inc()
	m.duration.Update(latency.Seconds())
}

// countProblem counts an error response of this VM.
func countProblem(p *problem.Problem) { problems.get(problemKey{p.Reason, p.Outcome}).Inc() }
