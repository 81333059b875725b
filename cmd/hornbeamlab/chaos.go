package main

import (
	"context"
	"os"
	"time"

	"github.com/hornbeamway/hornbeamway/internal/lab/chaos"
	"github.com/hornbeamway/hornbeamway/internal/lab/cluster"
)

// chaosVMs is the number of entry VMs in a chaos run. The backend servers are those of the small topology.
const chaosVMs = 8

// chaosCommand injects faults under load and checks the guarantees of the system.
type chaosCommand struct {
	Bin      string   `arg:"--bin" default:"bin" help:"directory of the programs"`
	Samples  string   `arg:"--samples" default:"samples" help:"directory of the sample presets"`
	Seconds  int      `arg:"--seconds" default:"120" help:"time of the faults"`
	Seed     uint64   `arg:"--seed" default:"1" help:"seed of the schedule and of the requests"`
	Only     []string `arg:"--only" help:"limits the faults to those whose name begins so, for example vm.pause log"`
	Keep     string   `arg:"--keep-logs" help:"directory that receives settings and logs"`
	LogLevel int      `arg:"--log-level" default:"0" help:"log verbosity of the entry VMs"`
}

func (c *chaosCommand) run(ctx context.Context) error {
	topology := cluster.Small()
	topology.EntryVMs = chaosVMs
	return chaos.Run(ctx, chaos.Options{
		Cluster: cluster.Options{
			Topology: topology, Bin: c.Bin, Samples: c.Samples, Seed: c.Seed, LogLevel: c.LogLevel, DrainNotice: 2 * time.Second,
		},
		Duration: time.Duration(c.Seconds) * time.Second, Seed: c.Seed, Only: c.Only, Out: os.Stdout, KeepLogs: c.Keep,
	})
}
