// Command hornbeamlab starts complete systems on loopback, generates load, checks responses and measures performance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"
)

// arguments are the command line arguments.
type arguments struct {
	Demo  *demoCommand  `arg:"subcommand:demo" help:"two regions on loopback, traffic of all classes, changes of the preset and a drain; a report"`
	Load  *loadCommand  `arg:"subcommand:load" help:"load a running system"`
	Bench *benchCommand `arg:"subcommand:bench" help:"measure latency and policies; without a subcommand a short set"`
	Soak  *soakCommand  `arg:"subcommand:soak" help:"random faults on the platform form; exits 1 if a guarantee was violated"`
	Chaos *chaosCommand `arg:"subcommand:chaos" help:"faults under load; exits 1 if a guarantee was violated"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "Starts systems of child processes on loopback, generates load, checks answers and measures."
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var err error
	switch {
	case args.Demo != nil:
		err = args.Demo.run(ctx)
	case args.Load != nil:
		err = args.Load.run(ctx)
	case args.Bench != nil:
		err = args.Bench.run(ctx)
	case args.Soak != nil:
		err = args.Soak.run(ctx)
	case args.Chaos != nil:
		err = args.Chaos.run(ctx)
	default:
		parser.Fail("a subcommand is required")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "hornbeamlab:", err)
		if errors.Is(err, context.Canceled) {
			os.Exit(130)
		}
		os.Exit(1)
	}
}
