package burn

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/hornbeamway/hornbeamway/pkg/priority"
	"github.com/hornbeamway/hornbeamway/pkg/unit"
)

const (
	// plotLines bounds the lines of a plot; more cannot be told apart.
	plotLines  = 8
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
)

// Report holds the burn rates of one VM at one time.
type Report struct {
	At   time.Time `json:"at"`
	Rows []Row     `json:"rows"`
}

// Row is the state of one objective.
type Row struct {
	Service string         `json:"service"`
	Class   priority.Class `json:"class"`
	Latency unit.Duration  `json:"latency"`
	Target  float64        `json:"target"`
	Window  unit.Duration  `json:"window"`
	// Calls and Bad count the last 6 h.
	Calls uint32 `json:"calls"`
	Bad   uint32 `json:"bad"`
	// Burn5m, Burn1h and Burn6h are burn rates.
	Burn5m float64 `json:"burn5m"`
	Burn1h float64 `json:"burn1h"`
	Burn6h float64 `json:"burn6h"`
	// Spent is the share of the window's allowed errors that the last 6 h used up, at an even rate of calls.
	Spent float64 `json:"spent"`
	// History has the burn rates of each 5 min of the last 6 h, oldest first.
	History []float64 `json:"history"`
}

func (s *series) row(service string, class priority.Class, number int64) Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(number)
	o, longest := s.objective, s.sums[len(windows)-1]
	burn6h := o.burn(longest)
	return Row{Service: service, Class: class, Latency: unit.Duration(o.Latency), Target: o.Target,
		Window: unit.Duration(o.Window), Calls: longest.total, Bad: longest.bad,
		Burn5m: o.burn(s.sums[0]), Burn1h: o.burn(s.sums[1]), Burn6h: burn6h,
		Spent: burn6h * windows[len(windows)-1].Seconds() / o.Window.Seconds(), History: s.history()}
}

// WriteText writes the report as a table.
func (r Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SERVICE\tCLASS\tLATENCY\tTARGET\tCALLS 6H\tBAD 6H\tBURN 5M\tBURN 1H\tBURN 6H\tSPENT")
	for _, x := range r.Rows {
		fmt.Fprintf(t, "%s\t%s\t%s\t%g\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.1f%%\n", x.Service, x.Class, x.Latency.Std(), x.Target,
			x.Calls, x.Bad, x.Burn5m, x.Burn1h, x.Burn6h, 100*x.Spent)
	}
	return errors.Wrap(t.Flush(), "write burn table")
}

// WriteSVG plots the history of the objectives that burn fastest over 6 h, at most eight.
func (r Report) WriteSVG(w io.Writer) error {
	p := plot.New()
	p.Title.Text = "Burn rate in steps of 5 min, " + r.At.UTC().Format(time.RFC3339)
	p.X.Label.Text, p.Y.Label.Text = "hours before now", "burn rate"
	p.Y.Min, p.Legend.Top = 0, true
	rows := slices.Clone(r.Rows)
	slices.SortStableFunc(rows, func(a, b Row) int {
		switch {
		case a.Burn6h > b.Burn6h:
			return -1
		case a.Burn6h < b.Burn6h:
			return 1
		}
		return 0
	})
	for i, x := range rows[:min(len(rows), plotLines)] {
		line, err := plotter.NewLine(points(x.History))
		if err != nil {
			return errors.Wrapf(err, "plot %s %s", x.Service, x.Class)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(x.Service+" "+x.Class.String(), line)
	}
	out, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return errors.Wrap(err, "render burn plot")
	}
	_, err = out.WriteTo(w)
	return errors.Wrap(err, "write burn plot")
}

func points(history []float64) plotter.XYs {
	xys := make(plotter.XYs, len(history))
	for i, y := range history {
		xys[i] = plotter.XY{X: -float64(len(history)-1-i) * historyStep.Hours(), Y: y}
	}
	return xys
}
