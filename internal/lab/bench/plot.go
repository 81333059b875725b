package bench

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	// Registers the SVG format for Plot.Save.
	_ "gonum.org/v1/plot/vg/vgsvg"

	"github.com/hornbeamway/hornbeamway/internal/lab/load"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

// Size of each plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// minPlottedMillis is the lowest latency on a logarithmic axis, in milliseconds; a latency of 0 can't be drawn there.
const minPlottedMillis = 0.001

// WritePlots writes SVG plots of the result to a directory, which it creates if it does not exist.
func (r *Result) WritePlots(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "create the directory for plots")
	}
	if len(r.AddedLatency) > 0 {
		if err := r.plotAdded(filepath.Join(dir, "added.svg")); err != nil {
			return err
		}
	}
	if len(r.Scenarios) == 0 {
		return nil
	}
	for _, p := range []struct {
		file, title string
		value       func(load.Summary) float64
		log         bool
	}{
		{"scenarios-p50.svg", "p50 latency, ms", func(s load.Summary) float64 { return max(s.Latency.P50, minPlottedMillis) }, true},
		{"scenarios-p99.svg", "p99 latency, ms", func(s load.Summary) float64 { return max(s.Latency.P99, minPlottedMillis) }, true},
		{"scenarios-p999.svg", "p99.9 latency, ms",
			func(s load.Summary) float64 { return max(s.Latency.P999, minPlottedMillis) }, true},
		{"scenarios-completed.svg", "completed share", func(s load.Summary) float64 { return s.Completed }, false},
	} {
		if err := r.plotScenarios(filepath.Join(dir, p.file), p.title, p.value, p.log); err != nil {
			return err
		}
	}
	return nil
}

// newPlot returns a plot whose title names the measurement environment and the seed.
func (r *Result) newPlot(title string) *plot.Plot {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s (shared machine, %d cores, seed %d)", title, r.Cores, r.Seed)
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

func (r *Result) plotAdded(file string) error {
	p := r.newPlot("added latency")
	p.X.Label.Text, p.Y.Label.Text = "offered calls per second and core", "ms over direct calls"
	var lines []any
	for i := 1; i < len(r.AddedLatency[0].Arms); i++ {
		var p50, p99 plotter.XYs
		for _, a := range r.AddedLatency {
			p50 = append(p50, plotter.XY{X: a.RatePerCore, Y: a.Arms[i].AddedP50})
			p99 = append(p99, plotter.XY{X: a.RatePerCore, Y: a.Arms[i].AddedP99})
		}
		name := r.AddedLatency[0].Arms[i].Name
		lines = append(lines, "p50, "+name, p50, "p99, "+name, p99)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return errors.Wrap(err, "plot")
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "write the plot")
}

func (r *Result) plotScenarios(file, title string, value func(load.Summary) float64, logarithmic bool) error {
	p := r.newPlot(title)
	if logarithmic {
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	var names []string
	for _, s := range r.Scenarios {
		names = append(names, s.Name)
	}
	p.NominalX(names...)
	var points []any
	for _, class := range priority.Classes() {
		var xys plotter.XYs
		for i, s := range r.Scenarios {
			for _, c := range s.Classes {
				if c.Class == class.String() {
					xys = append(xys, plotter.XY{X: float64(i), Y: value(c)})
				}
			}
		}
		if len(xys) > 0 {
			points = append(points, class.String(), xys)
		}
	}
	if err := plotutil.AddScatters(p, points...); err != nil {
		return errors.Wrap(err, "plot")
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "write the plot")
}
