package bench

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/hornbeamway/hornbeamway/internal/lab/load"
)

// WriteText writes the result as tables.
func (r *Result) WriteText(w io.Writer) error {
	_, _ = fmt.Fprintf(w, "%s; %d cores, seed %d\n", r.Note, r.Cores, r.Seed)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if len(r.AddedLatency) > 0 {
		_, _ = fmt.Fprintln(t,
			"\nRATE/core\tRATE\tWAY\tP50 ms\tP99 ms\tADDED P50\tADDED P99\tCOMPLETED\tCPU us/call\tOTHER VM us/call")
	}
	for _, a := range r.AddedLatency {
		for _, arm := range a.Arms {
			_, _ = fmt.Fprintf(t, "%.0f\t%.0f\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.4f\t%.0f\t%.0f\n", a.RatePerCore, a.Rate, arm.Name,
				arm.P50, arm.P99, arm.AddedP50, arm.AddedP99, arm.Completed, arm.CPUMicros, arm.OtherCPUMicros)
		}
	}
	if len(r.Bodies) > 0 {
		_, _ = fmt.Fprintln(t, "\nBODY bytes\tAT ONCE\tSECONDS\tVM\tBEFORE MiB\tPEAK MiB")
	}
	for _, b := range r.Bodies {
		for _, vm := range b.VMs {
			_, _ = fmt.Fprintf(t, "%d\t%d\t%.2f\t%s\t%.1f\t%.1f\n",
				b.Bytes, b.Concurrent, b.Seconds, vm.ID, float64(vm.Before)/(1<<20), float64(vm.Peak)/(1<<20))
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, s := range r.Scenarios {
		if err := s.writeText(w); err != nil {
			return err
		}
	}
	return nil
}

func (r *Scenario) writeText(w io.Writer) error {
	_, _ = fmt.Fprintf(w, "\n%s: %s\n", r.Name, r.Description)
	if err := load.WriteTable(w, append(r.Classes[:len(r.Classes):len(r.Classes)], r.Streams...)); err != nil {
		return err
	}
	violations := r.Violations
	_, _ = fmt.Fprintf(w,
		"probes per server and second: mean %.0f B %.2f ms, highest %.0f B %.2f ms; connections: %d of %d on %s, %d refused\n",
		r.Probes.MeanBytes, r.Probes.MeanMillis, r.Probes.MaxBytes, r.Probes.MaxMillis, r.Connections.Highest, r.Connections.Limit,
		r.Connections.Server, r.Connections.Refused)
	_, err := fmt.Fprintf(w,
		"retries %.0f (%.0f refused), hedges %.0f, refusals: %s\norders %d: duplicate runs %d, run although not_run %d, answered and in no journal %d; wrong answers %d\n",
		r.Retries, r.RetriesRefused, r.Hedges, load.Counts(r.Refusals), r.Orders,
		len(violations.Duplicates), len(violations.RanButNotRun), len(violations.AnsweredButMissing), r.WrongAnswers)
	return err
}
