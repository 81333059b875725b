package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/internal/lab/bench"
)

// benchCommand runs benchmarks. Without a subcommand it runs a short set of them.
type benchCommand struct {
	Added     *addedCommand     `arg:"subcommand:added" help:"latency over direct calls to the same backend servers"`
	Scenarios *scenariosCommand `arg:"subcommand:scenarios" help:"service during faults, floods and replacements of VMs"`
	Body      *bodyCommand      `arg:"subcommand:body" help:"peak memory of the entry VMs while a large body passes"`
	Control   *controlCommand   `arg:"subcommand:control" help:"bytes, processor time and memory that entry VMs spend for control"`
	Plot      *plotCommand      `arg:"subcommand:plot" help:"draw the plots of a result file"`
	systemFlags
	JSON string `arg:"--json" help:"file to which the result is written as JSON"`
	SVG  string `arg:"--svg" help:"directory to which plots are written"`
}

// addedCommand measures the latency that the entry VMs add compared with direct calls.
type addedCommand struct {
	Rates    []float64     `arg:"--rates" help:"offered calls per second and core [default: 20 100 400]"`
	Runs     int           `arg:"--runs" default:"3" help:"interleaved runs of each way"`
	Duration time.Duration `arg:"--duration" default:"1500ms" help:"measured time of a run"`
}

// scenariosCommand measures scenarios with faults, floods and replacements.
type scenariosCommand struct {
	Only     []string      `arg:"--only" help:"names of scenarios; default: all"`
	Duration time.Duration `arg:"--duration" default:"8s" help:"measured time of a scenario"`
}

// bodyCommand measures the peak memory of the entry VMs during the transfer of a large body.
type bodyCommand struct {
	Size int64 `arg:"--size" default:"200000000" help:"bytes of the body"`
}

// plotCommand draws the plots of a result file.
type plotCommand struct {
	File string `arg:"positional,required" help:"result file"`
}

// Durations of measurements. shortDuration applies to the scenarios of the short set, which runs without a subcommand;
// warmUp and addedWarmUp apply to all scenarios and to all measurements of the added latency.
const (
	shortDuration = 3 * time.Second
	warmUp        = 2 * time.Second
	addedWarmUp   = 500 * time.Millisecond
)

func (c *benchCommand) run(ctx context.Context) error {
	switch {
	case c.Plot != nil:
		return c.writePlots()
	case c.Control != nil:
		return c.Control.run(ctx, c.systemFlags)
	}
	result := bench.NewResult(c.Seed)
	measureErr := c.measure(ctx, result)
	if err := result.WriteText(os.Stdout); err != nil {
		return err
	}
	if c.JSON != "" {
		if err := result.Write(c.JSON); err != nil {
			return err
		}
	}
	if c.SVG != "" {
		if err := result.WritePlots(c.SVG); err != nil {
			return err
		}
	}
	return measureErr
}

// writePlots writes the plots of a result file.
func (c *benchCommand) writePlots() error {
	if c.SVG == "" {
		return errors.New("the subcommand plot requires --svg")
	}
	result, err := bench.Read(c.Plot.File)
	if err != nil {
		return err
	}
	return result.WritePlots(c.SVG)
}

// measure runs the benchmark of the selected subcommand, or the short set without one, and stores the results in r.
func (c *benchCommand) measure(ctx context.Context, r *bench.Result) error {
	switch {
	case c.Added != nil:
		return c.measureAdded(ctx, r, *c.Added)
	case c.Scenarios != nil:
		return c.measureScenarios(ctx, r, *c.Scenarios)
	case c.Body != nil:
		return c.measureBodies(ctx, r, *c.Body)
	}
	if err := c.measureAdded(ctx, r, addedCommand{Rates: []float64{20, 100}, Runs: 1, Duration: time.Second}); err != nil {
		return err
	}
	if err := c.measureScenarios(ctx, r, scenariosCommand{
		Only: []string{"calm", "straggler"}, Duration: shortDuration,
	}); err != nil {
		return err
	}
	return c.measureBodies(ctx, r, bodyCommand{Size: 200_000_000})
}

// benchOptions returns the options that all benchmarks share.
func (c *benchCommand) benchOptions(duration, warmUpTime time.Duration) (bench.Options, error) {
	system, err := c.systemFlags.clusterOptions()
	return bench.Options{
		Cluster: system, Seed: c.Seed, Duration: duration, WarmUp: warmUpTime, KeepLogs: c.Keep,
		Progress: func(format string, args ...any) { _, _ = fmt.Fprintf(os.Stderr, format, args...) },
	}, err
}

func (c *benchCommand) measureAdded(ctx context.Context, r *bench.Result, a addedCommand) error {
	o, err := c.benchOptions(a.Duration, addedWarmUp)
	if err != nil {
		return err
	}
	if len(a.Rates) == 0 {
		a.Rates = []float64{20, 100, 400}
	}
	r.AddedLatency, err = bench.MeasureAddedLatency(ctx, bench.AddedOptions{Options: o, RatesPerCore: a.Rates, Runs: a.Runs})
	return err
}

func (c *benchCommand) measureScenarios(ctx context.Context, r *bench.Result, s scenariosCommand) error {
	o, err := c.benchOptions(s.Duration, warmUp)
	if err != nil {
		return err
	}
	r.Scenarios, err = bench.MeasureScenarios(ctx, o, s.Only)
	return err
}

func (c *benchCommand) measureBodies(ctx context.Context, r *bench.Result, b bodyCommand) error {
	o, err := c.benchOptions(0, 0)
	if err != nil {
		return err
	}
	r.Bodies, err = bench.MeasureBodies(ctx, o, b.Size, []int{1, 4})
	return err
}
