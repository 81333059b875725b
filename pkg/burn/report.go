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

// Report holds the burn rates of one VM, or of several VMs after Merge, at one time.
type Report struct {
	At   time.Time `json:"at"`
	Rows []Row     `json:"rows"`
}

// Count holds calls judged against an objective.
type Count struct {
	Calls uint64 `json:"calls"`
	// Bad counts the calls among Calls that failed or were too slow.
	Bad uint64 `json:"bad"`
}

func (c *Count) add(o Count) { c.Calls += o.Calls; c.Bad += o.Bad }

// badShare is the share of bad calls; 0 without calls.
func (c Count) badShare() float64 {
	if c.Calls == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Calls)
}

// Row is the state of one objective. Counts are kept next to the rates, because rates of several VMs cannot be added up.
type Row struct {
	Service string         `json:"service"`
	Class   priority.Class `json:"class"`
	Latency unit.Duration  `json:"latency"`
	Target  float64        `json:"target"`
	Window  unit.Duration  `json:"window"`
	// VMs is the number of VMs that the counts come from.
	VMs int `json:"vms"`
	// Last5m, Last1h and Last6h count the calls of these times.
	Last5m Count `json:"last5m"`
	Last1h Count `json:"last1h"`
	Last6h Count `json:"last6h"`
	// Burn5m, Burn1h and Burn6h are burn rates.
	Burn5m float64 `json:"burn5m"`
	Burn1h float64 `json:"burn1h"`
	Burn6h float64 `json:"burn6h"`
	// Spent is the share of the window's allowed errors that the last 6 h used up, at an even rate of calls.
	Spent float64 `json:"spent"`
	// History counts the calls of each HistoryStep of the last 6 h, oldest first.
	History []Count `json:"history"`
}

// Objective returns the objective that the row judges by.
func (r *Row) Objective() Objective {
	return Objective{Latency: r.Latency.Std(), Target: r.Target, Window: r.Window.Std()}
}

// BurnHistory returns the burn rates of the steps of History.
func (r *Row) BurnHistory() []float64 {
	rates := make([]float64, len(r.History))
	for i, c := range r.History {
		rates[i] = r.Objective().burn(c)
	}
	return rates
}

// computeRates fills the fields that follow from the counts.
func (r *Row) computeRates() {
	o := r.Objective()
	r.Burn5m, r.Burn1h, r.Burn6h = o.burn(r.Last5m), o.burn(r.Last1h), o.burn(r.Last6h)
	r.Spent = r.Burn6h * windows[len(windows)-1].Seconds() / r.Window.Std().Seconds()
}

// add adds the counts of another VM's row of the same objective.
func (r *Row) add(o *Row) {
	r.VMs += o.VMs
	r.Last5m.add(o.Last5m)
	r.Last1h.add(o.Last1h)
	r.Last6h.add(o.Last6h)
	for i := range min(len(r.History), len(o.History)) {
		// Both end with the present, so the newest steps belong together.
		r.History[len(r.History)-1-i].add(o.History[len(o.History)-1-i])
	}
}

func (s *series) row(service string, class priority.Class, number int64) Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(number)
	o := s.objective
	r := Row{
		Service: service, Class: class, Latency: unit.Duration(o.Latency), Target: o.Target, Window: unit.Duration(o.Window),
		VMs: 1, Last5m: s.sums[0].wide(), Last1h: s.sums[1].wide(), Last6h: s.sums[2].wide(), History: s.history(),
	}
	r.computeRates()
	return r
}

// Merge adds up the counts of several VMs. While a change of objectives spreads, VMs judge by different objectives; such
// rows cannot be added up and stay apart. At is the latest time of the reports.
func Merge(reports ...Report) Report {
	type key struct {
		Key
		Objective
	}
	merged := Report{Rows: []Row{}}
	index := map[key]int{}
	for _, report := range reports {
		if report.At.After(merged.At) {
			merged.At = report.At
		}
		for _, row := range report.Rows {
			k := key{Key{row.Service, row.Class}, row.Objective()}
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
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SERVICE\tCLASS\tLATENCY\tTARGET\tVMS\tCALLS 6H\tBAD 6H\tBURN 5M\tBURN 1H\tBURN 6H\tSPENT")
	for _, x := range r.Rows {
		fmt.Fprintf(t, "%s\t%s\t%s\t%g\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.1f%%\n", x.Service, x.Class, x.Latency.Std(), x.Target,
			x.VMs, x.Last6h.Calls, x.Last6h.Bad, x.Burn5m, x.Burn1h, x.Burn6h, 100*x.Spent)
	}
	return errors.Wrap(t.Flush(), "write burn table")
}
