package bench

import (
	"strconv"
	"strings"

	"github.com/hornbeamway/hornbeamway/internal/lab/cluster"
	"github.com/hornbeamway/hornbeamway/internal/standin/backend"
)

// metricValues maps each metric, written with its labels as in the Prometheus text format, to its value.
type metricValues map[string]float64

// parseMetrics parses the Prometheus text format. It ignores lines without a value.
func parseMetrics(text []byte) metricValues {
	values := metricValues{}
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		space := strings.LastIndexByte(line, ' ')
		if space < 0 || strings.HasPrefix(line, "#") {
			continue
		}
		if v, err := strconv.ParseFloat(line[space+1:], 64); err == nil {
			values[line[:space]] = v
		}
	}
	return values
}

// sum returns the sum of the values of a metric over all labels.
func (m metricValues) sum(name string) float64 {
	total := 0.0
	for key, v := range m {
		if key == name || strings.HasPrefix(key, name+"{") {
			total += v
		}
	}
	return total
}

// byLabel returns the sums of the values of a metric, grouped by the value of one label. Values of 0 are omitted.
func (m metricValues) byLabel(name, label string) map[string]float64 {
	totals := map[string]float64{}
	for key, v := range m {
		rest, ok := strings.CutPrefix(key, name+"{")
		if !ok || v == 0 {
			continue
		}
		if _, value, ok := strings.Cut(rest, label+`="`); ok {
			value, _, _ = strings.Cut(value, `"`)
			totals[value] += v
		}
	}
	return totals
}

// snapshot holds the metrics of all entry VMs and the statistics of all backend servers at one time.
type snapshot struct {
	metrics map[string]metricValues
	stats   map[string]backend.Stats
}

func takeSnapshot(c *cluster.Cluster) (*snapshot, error) {
	s := &snapshot{metrics: map[string]metricValues{}, stats: map[string]backend.Stats{}}
	for _, vm := range c.VMs() {
		text, err := vm.Metrics()
		if err != nil {
			return nil, err
		}
		s.metrics[vm.ID] = parseMetrics(text)
	}
	for _, server := range c.Servers("") {
		stats, err := server.Stats()
		if err != nil {
			return nil, err
		}
		s.stats[server.ID] = stats
	}
	return s, nil
}

// since returns the increase of all metrics since an earlier snapshot, summed over all VMs. The counters of a VM that was
// replaced in between are lost; those of its replacement count from 0.
func (s *snapshot) since(earlier *snapshot) metricValues {
	increase := metricValues{}
	for vm, metrics := range s.metrics {
		for key, v := range metrics {
			increase[key] += v - earlier.metrics[vm][key]
		}
	}
	return increase
}

// setCounters sets the counters of a scenario from the snapshots before and after the measured time.
func (r *Scenario) setCounters(c *cluster.Cluster, before, after *snapshot) {
	increase := after.since(before)
	r.Retries = increase.sum("hornbeamway_retries_total")
	r.RetriesRefused = increase.sum("hornbeamway_retries_refused_total")
	r.Hedges = increase.sum("hornbeamway_hedges_total")
	r.Refusals = increase.byLabel("hornbeamway_problems_total", "reason")
	servers := c.Servers("")
	for _, s := range servers {
		from, to := before.stats[s.ID], after.stats[s.ID]
		bytes, millis := float64(to.ProbeBytes-from.ProbeBytes)/r.Seconds, float64(to.ProbeMillis-from.ProbeMillis)/r.Seconds
		p := &r.Probes
		p.MeanBytes, p.MaxBytes = p.MeanBytes+bytes/float64(len(servers)), max(p.MaxBytes, bytes)
		p.MeanMillis, p.MaxMillis = p.MeanMillis+millis/float64(len(servers)), max(p.MaxMillis, millis)
		connections := &r.Connections
		connections.Refused += to.ConnectionsRefused
		if connections.Limit == 0 || to.ConnectionsHighest*int64(connections.Limit) > connections.Highest*int64(s.ConnectionLimit) {
			connections.Server, connections.Highest, connections.Limit = s.ID, to.ConnectionsHighest, s.ConnectionLimit
		}
	}
}
