package main

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/internal/lab/soak"
)

// soakCommand injects random faults into a system with the interfaces of the users' platform and checks its guarantees.
type soakCommand struct {
	Bin            string   `arg:"--bin" default:"bin" help:"directory of the programs"`
	Seed           uint64   `arg:"--seed" default:"1" help:"first seed"`
	Seeds          int      `arg:"--seeds" default:"1" help:"number of seeds, one after the other"`
	Seconds        int      `arg:"--seconds" default:"20" help:"time of the faults of each seed"`
	VMs            int      `arg:"--vms" default:"6" help:"number of entry VMs, at least 2"`
	Servers        int      `arg:"--servers" default:"4" help:"number of backend servers of each of the four services"`
	Callers        int      `arg:"--callers" default:"24" help:"number of callers"`
	Network        uint64   `arg:"--network" default:"1" help:"number of the loopback network; runs at the same time need different ones"`
	IntervalMillis int64    `arg:"--interval-ms" default:"700" help:"mean time between the starts of two faults"`
	Only           []string `arg:"--only" help:"limits the faults to those whose name begins so, for example vm.pause store"`
}

// run runs all seeds one after the other and returns the error of the first seed that failed.
func (c *soakCommand) run(ctx context.Context) error {
	var firstErr error
	for i := range c.Seeds {
		err := soak.Run(ctx, soak.Options{BinDir: c.Bin, Seed: c.Seed + uint64(i), Network: c.Network, VMs: c.VMs, ServersEach: c.Servers,
			Callers: c.Callers, Duration: time.Duration(c.Seconds) * time.Second, FaultInterval: time.Duration(c.IntervalMillis) * time.Millisecond,
			Only: c.Only, Out: os.Stdout})
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil && firstErr == nil {
			firstErr = errors.Wrapf(err, "seed %d", c.Seed+uint64(i))
		}
	}
	return firstErr
}
