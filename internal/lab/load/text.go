package load

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/samber/lo"
)

// WriteTable prints one line per summary.
func WriteTable(w io.Writer, rows []Summary) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "NAME\tCLASS\tOFFERED/s\tREQUESTS\tCOMPLETED\tP50 ms\tP99 ms\tP99.9 ms\tMAX ms\tRETRIES\tOTHER OUTCOMES")
	for _, s := range rows {
		l := s.Latency
		_, _ = fmt.Fprintf(t, "%s\t%s\t%.0f\t%d\t%.4f\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%s\n", s.Name, s.Class, s.Offered, s.Requests, s.Completed,
			l.P50, l.P99, l.P999, l.Max, s.Retries, others(s))
	}
	return t.Flush()
}

// others lists the outcomes other than answered, and the reasons.
func others(s Summary) string {
	var parts []string
	for outcome, n := range s.Outcomes {
		if outcome != Answered {
			parts = append(parts, fmt.Sprintf("%s=%d", outcome, n))
		}
	}
	slices.Sort(parts)
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, " ") + " (" + Counts(s.Reasons) + ")"
}

// Counts writes counts by name, the highest first.
func Counts[N int64 | float64](counts map[string]N) string {
	entries := lo.Entries(counts)
	slices.SortFunc(entries, func(a, b lo.Entry[string, N]) int {
		return cmp.Or(cmp.Compare(b.Value, a.Value), strings.Compare(a.Key, b.Key))
	})
	return strings.Join(lo.Map(entries, func(e lo.Entry[string, N], _ int) string { return fmt.Sprintf("%s=%v", e.Key, e.Value) }), " ")
}
