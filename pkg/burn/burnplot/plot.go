// Package burnplot plots burn rates. It is separate from package burn, so that the fonts of the plotting library are not
// linked into the daemon.
package burnplot

import (
	"cmp"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/hornbeamway/hornbeamway/pkg/burn"
)

const (
	// maxLines is the maximum number of lines in a plot; more could not be distinguished.
	maxLines   = 8
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
)

// WriteSVG plots the burn-rate history of the objectives with the highest burn rates over 6 h, at most eight.
func WriteSVG(w io.Writer, r burn.Report) error {
	p := plot.New()
	p.Title.Text = "Burn rate in steps of 5 min, " + r.At.UTC().Format(time.RFC3339)
	p.X.Label.Text, p.Y.Label.Text = "hours before now", "burn rate"
	p.Y.Min, p.Legend.Top = 0, true
	rows := slices.Clone(r.Rows)
	slices.SortStableFunc(rows, func(a, b burn.Row) int { return cmp.Compare(b.Burn6h, a.Burn6h) })
	for i, row := range rows[:min(len(rows), maxLines)] {
		line, err := plotter.NewLine(points(row.BurnHistory()))
		if err != nil {
			return errors.Wrapf(err, "failed to plot service %s, class %s", row.Service, row.Class)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(row.Service+" "+row.Class.String(), line)
	}
	out, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return errors.Wrap(err, "failed to render the burn plot")
	}
	_, err = out.WriteTo(w)
	return errors.Wrap(err, "failed to write the burn plot")
}

// points returns the points of a line: hours relative to the newest step, and burn rates.
func points(history []float64) plotter.XYs {
	xys := make(plotter.XYs, len(history))
	for i, y := range history {
		xys[i] = plotter.XY{X: -float64(len(history)-1-i) * burn.HistoryStep.Hours(), Y: y}
	}
	return xys
}
