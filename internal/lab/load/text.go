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

// WriteTable writes a table with one row per summary.
func WriteTable(w io.Writer, rows []Summary) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table,
		"NAME\tCLASS\tOFFERED/s\tREQUESTS\tCOMPLETED\tP50 ms\tP99 ms\tP99.9 ms\tMAX ms\tRETRIES\tOTHER OUTCOMES")
	for _, s := range rows {
		latency := s.Latency
		_, _ = fmt.Fprintf(table, "%s\t%s\t%.0f\t%d\t%.4f\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%s\n",
			s.Name, s.Class, s.Offered, s.Requests, s.Completed,
			latency.P50, latency.P99, latency.P999, latency.Max, s.Retries, otherOutcomes(s))
	}
	return table.Flush()
}

// otherOutcomes formats the counts of the outcomes other than Answered and of their reasons.
func otherOutcomes(s Summary) string {
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

// Counts formats counts as name=count, in descending order of the counts.
func Counts[N int64 | float64](counts map[string]N) string {
	entries := lo.Entries(counts)
	slices.SortFunc(entries, func(a, b lo.Entry[string, N]) int {
		return cmp.Or(cmp.Compare(b.Value, a.Value), strings.Compare(a.Key, b.Key))
	})
	return strings.Join(lo.Map(entries, func(e lo.Entry[string, N], _ int) string {
		return fmt.Sprintf("%s=%v", e.Key, e.Value)
	}), " ")
}
