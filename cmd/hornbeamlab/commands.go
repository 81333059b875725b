package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/internal/lab/cluster"
	"github.com/hornbeamway/hornbeamway/internal/lab/demo"
	"github.com/hornbeamway/hornbeamway/internal/lab/load"
)

// systemFlags are the flags of the subcommands that start a system.
type systemFlags struct {
	Bin      string        `arg:"--bin" default:"bin" help:"directory of the programs"`
	Samples  string        `arg:"--samples" default:"samples" help:"directory of the sample presets"`
	Topology string        `arg:"--topology" default:"small" help:"topology of the system: small, balisage or imbuto"`
	Veto     time.Duration `arg:"--veto" default:"2s" help:"veto period of all presets"`
	Seed     uint64        `arg:"--seed" default:"1" help:"seed of arrivals and service times"`
	Keep     string        `arg:"--keep-logs" help:"directory that receives settings and logs"`
	LogLevel int           `arg:"--log-level" default:"0" help:"log verbosity of the entry VMs"`
}

// clusterOptions returns the options of the system that the flags describe.
func (f *systemFlags) clusterOptions() (cluster.Options, error) {
	topology, err := cluster.ByName(f.Topology)
	return cluster.Options{
		Topology: topology, Bin: f.Bin, Samples: f.Samples, VetoPeriod: f.Veto, Seed: f.Seed, LogLevel: f.LogLevel,
	}, err
}

// rateFlags are the offered request rates of the priority classes.
type rateFlags struct {
	Interactive   float64 `arg:"--interactive" default:"200" help:"interactive requests per second"`
	Transactional float64 `arg:"--transactional" default:"60" help:"transactional requests per second"`
	Bulk          float64 `arg:"--bulk" default:"20" help:"bulk requests per second"`
}

func (f *rateFlags) rates() load.Rates {
	return load.Rates{Interactive: f.Interactive, Transactional: f.Transactional, Bulk: f.Bulk}
}

// demoCommand demonstrates a system with two regions under traffic and prints a report.
type demoCommand struct {
	systemFlags
	rateFlags
	Duration time.Duration `arg:"--duration" default:"15s" help:"time of the traffic"`
}

func (c *demoCommand) run(ctx context.Context) error {
	o, err := c.clusterOptions()
	if err != nil {
		return err
	}
	return demo.Run(ctx, demo.Options{
		Cluster: o, Rates: c.rates(), Duration: c.Duration, Seed: c.Seed, Out: os.Stdout, KeepLogs: c.Keep,
	})
}

// loadCommand generates load on a running system.
type loadCommand struct {
	rateFlags
	Targets    []string      `arg:"positional,required" help:"callers' addresses of the entry VMs"`
	Deployment string        `arg:"--deployment" default:"balisage" help:"deployment whose routes are requested: balisage or imbuto"`
	Duration   time.Duration `arg:"--duration" default:"10s" help:"measured time"`
	WarmUp     time.Duration `arg:"--warm-up" default:"1s" help:"time of the load before the measured time"`
	Seed       uint64        `arg:"--seed" default:"1" help:"seed of arrivals"`
	Fixed      bool          `arg:"--fixed" help:"equal distances between requests instead of a Poisson process"`
	JSON       string        `arg:"--json" help:"file to which the result is written as JSON"`
}

func (c *loadCommand) run(ctx context.Context) error {
	streams, err := load.Streams(c.Deployment, c.rates())
	if err != nil {
		return err
	}
	var targets []load.Target
	for _, address := range c.Targets {
		targets = append(targets, load.Target{Address: address})
	}
	for i := range streams {
		streams[i].Fixed = c.Fixed
	}
	report, err := load.Run(ctx, load.Options{
		Targets: targets, Streams: streams, Duration: c.Duration, WarmUp: c.WarmUp, Seed: c.Seed,
	})
	if err != nil {
		return err
	}
	if err := writeJSON(c.JSON, report); err != nil {
		return err
	}
	if err := load.WriteTable(os.Stdout, append(report.Streams, report.Classes...)); err != nil {
		return err
	}
	if report.Wrong > 0 {
		return errors.Newf("%d wrong answers: %v", report.Wrong, report.WrongExamples)
	}
	return ctx.Err()
}

// writeJSON writes v to a file as JSON. It does nothing if the file name is empty.
func writeJSON(file string, v any) error {
	if file == "" {
		return nil
	}
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode result")
	}
	return errors.Wrap(os.WriteFile(file, append(data, '\n'), 0o644), "write result")
}
