// Command hornbeamway is the entry VM daemon.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/alexflint/go-arg"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/internal/buildinfo"
	"github.com/hornbeamway/hornbeamway/pkg/config"
	"github.com/hornbeamway/hornbeamway/pkg/server"
)

type checkCommand struct{}

type arguments struct {
	Check  *checkCommand `arg:"subcommand:check" help:"validate a settings file and exit"`
	Config string        `arg:"--config,required" help:"settings file (JSON with comments)"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "Serves callers, dispatches pools of backend servers and follows the configuration log."
}

// Version implements arg.Versioned.
func (arguments) Version() string { return buildinfo.Line("hornbeamway") }

// Exit codes. The library exits with 2 for wrong arguments.
const (
	exitOK       = 0
	exitFailure  = 1
	exitSettings = 2
)

func main() {
	var args arguments
	arg.MustParse(&args)
	if args.Check != nil {
		os.Exit(check(args.Config, os.Stdout, os.Stderr))
	}
	os.Exit(serve(args.Config, os.Stderr))
}

// check validates a settings file and returns the exit code.
func check(path string, out, faults io.Writer) int {
	if _, err := config.Load(path); err != nil {
		fmt.Fprintln(faults, err)
		return exitSettings
	}
	fmt.Fprintln(out, "settings are valid")
	return exitOK
}

// serve runs the entry VM until a stop signal and returns the exit code.
func serve(path string, faults io.Writer) int {
	settings, err := config.Load(path)
	if err != nil {
		fmt.Fprintln(faults, err)
		return exitSettings
	}
	setVerbosity(settings.LogLevel)
	defer klog.Flush()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := server.Run(ctx, settings); err != nil {
		klog.ErrorS(err, "entry VM failed", "vm", settings.ID)
		return exitFailure
	}
	return exitOK
}

// setVerbosity sets klog's level, which the library only takes from flags.
func setVerbosity(level int) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("v", strconv.Itoa(level))
}
