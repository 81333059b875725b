package main

import (
	"context"
	"os"
	"time"

	"github.com/hornbeamway/hornbeamway/internal/lab/cluster"
	"github.com/hornbeamway/hornbeamway/internal/lab/control"
)

// controlCommand measures the bytes, processor time and memory that entry VMs use for control traffic.
type controlCommand struct {
	Sizes    []int         `arg:"--sizes" help:"numbers of entry VMs [default: 4 8 16 32]"`
	Settle   time.Duration `arg:"--settle" default:"25s" help:"time before the measured time"`
	Duration time.Duration `arg:"--duration" default:"30s" help:"measured time of each size"`
	Rate     float64       `arg:"--rate" help:"lookups per second over all entry VMs; default: idle"`
	Service  string        `arg:"--service" default:"exponential:10ms" help:"service time of the backend servers"`
}

func (c *controlCommand) run(ctx context.Context, system systemFlags) error {
	if len(c.Sizes) == 0 {
		c.Sizes = []int{4, 8, 16, 32}
	}
	return control.Run(ctx, control.Options{
		Cluster: cluster.Options{Topology: cluster.Small(), Bin: system.Bin, Samples: system.Samples, ServiceTime: c.Service},
		Sizes:   c.Sizes, Settle: c.Settle, Duration: c.Duration, Rate: c.Rate, Out: os.Stdout,
	})
}
