package bench

import (
	"strconv"
	"strings"

	"github.com/hornbeamway/hornbeamway/internal/lab/cluster"
	"github.com/hornbeamway/hornbeamway/internal/standin/backend"
)

// sample is the value of one metric with its labels, as written in the text format of Prometheus.
type sample map[string]float64

// parseMetrics reads the text format of Prometheus. Lines that are no values are left out.
func parseMetrics(text []byte) sample {
	s := sample{}
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		cut := strings.LastIndexByte(line, ' ')
		if cut < 0 || strings.HasPrefix(line, "#") {
			continue
		}
		if v, err := strconv.ParseFloat(line[cut+1:], 64); err == nil {
			s[line[:cut]] = v
		}
	}
	return s
}

// sum adds the values of a metric over all labels.
func (s sample) sum(name string) float64 {
	total := 0.0
	for key, v := range s {
		if key == name || strings.HasPrefix(key, name+"{") {
			total += v
		}
	}
	return total
}

// byLabel adds the values of a metric by the value of a label.
func (s sample) byLabel(name, label string) map[string]float64 {
	totals := map[string]float64{}
	for key, v := range s {
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

// snapshot is the state of all counters at one moment.
type snapshot struct {
	metrics map[string]sample
	stats   map[string]backend.Stats
}

func takeSnapshot(c *cluster.Cluster) (*snapshot, error) {
	s := &snapshot{metrics: map[string]sample{}, stats: map[string]backend.Stats{}}
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

// since returns the growth of all metrics since an earlier snapshot, over all VMs. The counters of a VM that was replaced in
// between are lost; those of the new one count from 0.
func (s *snapshot) since(earlier *snapshot) sample {
	growth := sample{}
	for vm, metrics := range s.metrics {
		for key, v := range metrics {
			growth[key] += v - earlier.metrics[vm][key]
		}
	}
	return growth
}

// count fills the counters of a scenario.
func (r *Scenario) count(c *cluster.Cluster, before, after *snapshot) {
	growth := after.since(before)
	r.Retries = growth.sum("hornbeamway_retries_total")
	r.RetriesRefused = growth.sum("hornbeamway_retries_refused_total")
	r.Hedges = growth.sum("hornbeamway_hedges_total")
	r.Refusals = growth.byLabel("hornbeamway_problems_total", "reason")
	servers := c.Servers("")
	for _, s := range servers {
		from, to := before.stats[s.ID], after.stats[s.ID]
		bytes, millis := float64(to.ProbeBytes-from.ProbeBytes)/r.Seconds, float64(to.ProbeMillis-from.ProbeMillis)/r.Seconds
		p := &r.Probes
		p.MeanBytes, p.MaxBytes = p.MeanBytes+bytes/float64(len(servers)), max(p.MaxBytes, bytes)
		p.MeanMillis, p.MaxMillis = p.MeanMillis+millis/float64(len(servers)), max(p.MaxMillis, millis)
		top := &r.Connections
		top.Refused += to.ConnectionsRefused
		if top.Limit == 0 || to.ConnectionsHighest*int64(top.Limit) > top.Highest*int64(s.ConnectionLimit) {
			top.Server, top.Highest, top.Limit = s.ID, to.ConnectionsHighest, s.ConnectionLimit
		}
	}
}
