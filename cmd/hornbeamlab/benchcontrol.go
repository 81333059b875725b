package main

import (
	"context"
	"os"
	"time"

	"github.com/hornbeamway/hornbeamway/internal/lab/cluster"
	"github.com/hornbeamway/hornbeamway/internal/lab/control"
)

type benchCommand struct {
	Control *controlCommand `arg:"subcommand:control" help:"bytes, processor time and memory that idle entry VMs spend for control"`
}

func (c *benchCommand) run(ctx context.Context) error { return c.Control.run(ctx) }

type controlCommand struct {
	Bin      string        `arg:"--bin" default:"bin" help:"directory of the programs"`
	Samples  string        `arg:"--samples" default:"samples" help:"directory of the sample presets"`
	Sizes    []int         `arg:"--sizes" help:"numbers of entry VMs [default: 4 8 16 32]"`
	Settle   time.Duration `arg:"--settle" default:"25s" help:"time before the measured time"`
	Duration time.Duration `arg:"--duration" default:"30s" help:"measured time of each size"`
	Rate     float64       `arg:"--rate" help:"lookups per second over all entry VMs; default: idle"`
	Service  string        `arg:"--service" default:"exponential:10ms" help:"service time of the backend servers"`
}

func (c *controlCommand) run(ctx context.Context) error {
	if len(c.Sizes) == 0 {
		c.Sizes = []int{4, 8, 16, 32}
	}
	return control.Run(ctx, control.Options{
		Cluster: cluster.Options{Topology: cluster.Small(), Bin: c.Bin, Samples: c.Samples, ServiceTime: c.Service},
		Sizes:   c.Sizes, Settle: c.Settle, Duration: c.Duration, Rate: c.Rate, Out: os.Stdout,
	})
}
