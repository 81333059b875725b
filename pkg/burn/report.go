package burn

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/pkg/priority"
	"github.com/hornbeamway/hornbeamway/pkg/unit"
)

// Report holds the burn rates of one VM, or of several VMs after Merge, at one point in time.
type Report struct {
	At   time.Time `json:"at"`
	Rows []Row     `json:"rows"`
}

// Count holds the number of calls that an objective applies to and the number of bad calls among them.
type Count struct {
	Calls uint64 `json:"calls"`
	// Bad is the number of those calls that failed or exceeded the latency of the objective.
	Bad uint64 `json:"bad"`
}

func (c *Count) add(o Count) { c.Calls += o.Calls; c.Bad += o.Bad }

// badFraction returns the fraction of bad calls; 0 if there were no calls.
func (c Count) badFraction() float64 {
	if c.Calls == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Calls)
}

// Row is the state of one objective. It holds counts as well as rates, because the rates of several VMs cannot be added.
type Row struct {
	Service string         `json:"service"`
	Class   priority.Class `json:"class"`
	Latency unit.Duration  `json:"latency"`
	Target  float64        `json:"target"`
	Window  unit.Duration  `json:"window"`
	// VMs is the number of VMs whose calls are counted.
	VMs int `json:"vms"`
	// Last5m, Last1h and Last6h are the counts over the last 5 min, 1 h and 6 h.
	Last5m Count `json:"last5m"`
	Last1h Count `json:"last1h"`
	Last6h Count `json:"last6h"`
	// Burn5m, Burn1h and Burn6h are the burn rates over the same times.
	Burn5m float64 `json:"burn5m"`
	Burn1h float64 `json:"burn1h"`
	Burn6h float64 `json:"burn6h"`
	// Spent is the fraction of the window's error budget that was spent in the last 6 h, assuming an even rate of calls.
	Spent float64 `json:"spent"`
	// History holds the counts of each HistoryStep in the last 6 h, oldest first.
	History []Count `json:"history"`
}

// Objective returns the objective of the row.
func (r *Row) Objective() Objective {
	return Objective{Latency: r.Latency.Std(), Target: r.Target, Window: r.Window.Std()}
}

// BurnHistory returns the burn rate of each step of History.
func (r *Row) BurnHistory() []float64 {
	rates := make([]float64, len(r.History))
	for i, c := range r.History {
		rates[i] = r.Objective().burnRate(c)
	}
	return rates
}

// computeRates sets the fields that are derived from the counts.
func (r *Row) computeRates() {
	o := r.Objective()
	r.Burn5m, r.Burn1h, r.Burn6h = o.burnRate(r.Last5m), o.burnRate(r.Last1h), o.burnRate(r.Last6h)
	r.Spent = r.Burn6h * windows[len(windows)-1].Seconds() / r.Window.Std().Seconds()
}

// add adds the counts of another VM's row of the same objective.
func (r *Row) add(o *Row) {
	r.VMs += o.VMs
	r.Last5m.add(o.Last5m)
	r.Last1h.add(o.Last1h)
	r.Last6h.add(o.Last6h)
	for i := range min(len(r.History), len(o.History)) {
		// Both histories end at the present, so they are aligned at their newest steps.
		r.History[len(r.History)-1-i].add(o.History[len(o.History)-1-i])
	}
}

// row returns the row of the series at a bucket number.
func (s *series) row(service string, class priority.Class, bucket int64) Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(bucket)
	o := s.objective
	r := Row{
		Service: service, Class: class, Latency: unit.Duration(o.Latency), Target: o.Target, Window: unit.Duration(o.Window),
		VMs: 1, Last5m: s.windowSums[0].toCount(), Last1h: s.windowSums[1].toCount(), Last6h: s.windowSums[2].toCount(),
		History: s.history(),
	}
	r.computeRates()
	return r
}

// Merge merges the reports of several VMs by adding their counts. While a change of objectives propagates, VMs have
// different objectives for the same service and class; their rows cannot be added and remain separate. At is the latest
// time of the reports.
func Merge(reports ...Report) Report {
	type mergeKey struct {
		Key
		Objective
	}
	merged := Report{Rows: []Row{}}
	index := map[mergeKey]int{}
	for _, report := range reports {
		if report.At.After(merged.At) {
			merged.At = report.At
		}
		for _, row := range report.Rows {
			k := mergeKey{Key{row.Service, row.Class}, row.Objective()}
			if i, ok := index[k]; ok {
				merged.Rows[i].add(&row)
				continue
			}
			index[k] = len(merged.Rows)
			row.History = slices.Clone(row.History)
			merged.Rows = append(merged.Rows, row)
		}
	}
	for i := range merged.Rows {
		merged.Rows[i].computeRates()
	}
	slices.SortStableFunc(merged.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Latency, b.Latency))
	})
	return merged
}

// WriteText writes the report as a table.
func (r Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SERVICE\tCLASS\tLATENCY\tTARGET\tVMS\tCALLS 6H\tBAD 6H\tBURN 5M\tBURN 1H\tBURN 6H\tSPENT")
	for _, row := range r.Rows {
		fmt.Fprintf(table, "%s\t%s\t%s\t%g\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.1f%%\n", row.Service, row.Class, row.Latency.Std(),
			row.Target, row.VMs, row.Last6h.Calls, row.Last6h.Bad, row.Burn5m, row.Burn1h, row.Burn6h, 100*row.Spent)
	}
	return errors.Wrap(table.Flush(), "write burn table")
}
