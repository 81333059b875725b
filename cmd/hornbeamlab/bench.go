package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/internal/lab/bench"
)

type benchCommand struct {
	Added     *addedCommand     `arg:"subcommand:added" help:"latency over direct calls to the same backend servers"`
	Scenarios *scenariosCommand `arg:"subcommand:scenarios" help:"faults, floods and replacements"`
	Body      *bodyCommand      `arg:"subcommand:body" help:"peak memory of the entry VMs while a large body passes"`
	Control   *controlCommand   `arg:"subcommand:control" help:"bytes, processor time and memory that entry VMs spend for control"`
	Plot      *plotCommand      `arg:"subcommand:plot" help:"draw the plots of a result file"`
	systemFlags
	JSON string `arg:"--json" help:"file for the result"`
	SVG  string `arg:"--svg" help:"directory for plots"`
}

type addedCommand struct {
	Rates    []float64     `arg:"--rates" help:"offered calls per second and core [default: 20 100 400]"`
	Runs     int           `arg:"--runs" default:"3" help:"interleaved runs of each way"`
	Duration time.Duration `arg:"--duration" default:"1500ms" help:"measured time of a run"`
}

type scenariosCommand struct {
	Only     []string      `arg:"--only" help:"names of scenarios; default: all"`
	Duration time.Duration `arg:"--duration" default:"8s" help:"measured time of a scenario"`
}

type bodyCommand struct {
	Size int64 `arg:"--size" default:"200000000" help:"bytes of the body"`
}

type plotCommand struct {
	File string `arg:"positional,required" help:"result file"`
}

// Times of the short set that runs without a subcommand.
const (
	shortDuration = 3 * time.Second
	warmUp        = 2 * time.Second
	addedWarmUp   = 500 * time.Millisecond
)

func (c *benchCommand) run(ctx context.Context) error {
	switch {
	case c.Plot != nil:
		return c.plot()
	case c.Control != nil:
		return c.Control.run(ctx, c.systemFlags)
	}
	result := bench.NewResult(c.Seed)
	failure := c.measure(ctx, result)
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
	return failure
}

func (c *benchCommand) plot() error {
	if c.SVG == "" {
		return errors.New("plot needs --svg")
	}
	result, err := bench.Read(c.Plot.File)
	if err != nil {
		return err
	}
	return result.WritePlots(c.SVG)
}

func (c *benchCommand) measure(ctx context.Context, r *bench.Result) error {
	switch {
	case c.Added != nil:
		return c.added(ctx, r, *c.Added)
	case c.Scenarios != nil:
		return c.scenarios(ctx, r, *c.Scenarios)
	case c.Body != nil:
		return c.body(ctx, r, *c.Body)
	}
	if err := c.added(ctx, r, addedCommand{Rates: []float64{20, 100}, Runs: 1, Duration: time.Second}); err != nil {
		return err
	}
	if err := c.scenarios(ctx, r, scenariosCommand{Only: []string{"calm", "straggler"}, Duration: shortDuration}); err != nil {
		return err
	}
	return c.body(ctx, r, bodyCommand{Size: 200_000_000})
}

func (c *benchCommand) options(duration, warmUp time.Duration) (bench.Options, error) {
	system, err := c.systemFlags.options()
	return bench.Options{
		Cluster: system, Seed: c.Seed, Duration: duration, WarmUp: warmUp, KeepLogs: c.Keep,
		Progress: func(format string, args ...any) { _, _ = fmt.Fprintf(os.Stderr, format, args...) },
	}, err
}

func (c *benchCommand) added(ctx context.Context, r *bench.Result, a addedCommand) error {
	o, err := c.options(a.Duration, addedWarmUp)
	if err != nil {
		return err
	}
	if len(a.Rates) == 0 {
		a.Rates = []float64{20, 100, 400}
	}
	r.Added, err = bench.MeasureAdded(ctx, bench.AddedOptions{Options: o, RatesPerCore: a.Rates, Runs: a.Runs})
	return err
}

func (c *benchCommand) scenarios(ctx context.Context, r *bench.Result, s scenariosCommand) error {
	o, err := c.options(s.Duration, warmUp)
	if err != nil {
		return err
	}
	r.Scenarios, err = bench.MeasureScenarios(ctx, o, s.Only)
	return err
}

func (c *benchCommand) body(ctx context.Context, r *bench.Result, b bodyCommand) error {
	o, err := c.options(0, 0)
	if err != nil {
		return err
	}
	r.Bodies, err = bench.MeasureBodies(ctx, o, b.Size, []int{1, 4})
	return err
}
