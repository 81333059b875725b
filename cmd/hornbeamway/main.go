// Command hornbeamway is the daemon of an entry VM.
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
	"github.com/hornbeamway/hornbeamway/pkg/directory"
	"github.com/hornbeamway/hornbeamway/pkg/entryvm"
	"github.com/hornbeamway/hornbeamway/pkg/eventlog"
	"github.com/hornbeamway/hornbeamway/pkg/server"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
	"github.com/hornbeamway/hornbeamway/platform"
)

// checkCommand is the subcommand check.
type checkCommand struct{}

// platformCommand is the subcommand platform.
type platformCommand struct{}

// arguments are the command line arguments.
type arguments struct {
	Check    *checkCommand    `arg:"subcommand:check" help:"validate a settings file and exit"`
	Platform *platformCommand `arg:"subcommand:platform" help:"serve on the users' platform, with the settings file that the platform names"`
	Config   string           `arg:"--config" help:"settings file (JSON with comments); required but for platform"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "Serves callers, dispatches pools of backend servers and follows the configuration log."
}

// Version implements arg.Versioned.
func (arguments) Version() string { return buildinfo.Line("hornbeamway") }

// Exit codes. The argument parser also exits with 2 for invalid arguments.
const (
	exitOK       = 0
	exitFailure  = 1
	exitSettings = 2
)

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	if args.Platform != nil {
		ignoreHangup()
		os.Exit(servePlatform(untilStopSignal(), os.Stderr))
	}
	if args.Config == "" {
		parser.Fail("--config is required")
	}
	if args.Check != nil {
		os.Exit(checkSettings(args.Config, os.Stdout, os.Stderr))
	}
	os.Exit(serve(untilStopSignal(), args.Config, os.Stderr))
}

// untilStopSignal returns a context that ends at the first SIGTERM or SIGINT. Further ones have no effect: their default action would
// end the process while it finishes requests or writes its log.
func untilStopSignal() context.Context {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-signals
		cancel()
	}()
	return ctx
}

// ignoreHangup prevents SIGHUP, which requests a reload of the settings, from terminating the process before the entry VM has installed
// its handler and after the entry VM has removed it.
func ignoreHangup() {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
}

// checkSettings validates a settings file and returns the exit code.
func checkSettings(path string, stdout, stderr io.Writer) int {
	if _, err := config.Load(path); err != nil {
		fmt.Fprintln(stderr, err)
		return exitSettings
	}
	fmt.Fprintln(stdout, "settings are valid")
	return exitOK
}

// serve runs the entry VM with a settings file until ctx ends, and returns the exit code.
func serve(ctx context.Context, path string, stderr io.Writer) int {
	settings, err := config.Load(path)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitSettings
	}
	setVerbosity(settings.LogLevel)
	defer klog.Flush()
	if err := server.Run(ctx, settings); err != nil {
		klog.ErrorS(err, "entry VM failed", "vm", settings.ID)
		return exitFailure
	}
	return exitOK
}

// servePlatform runs the entry VM on the users' platform until ctx ends, and returns the exit code.
func servePlatform(ctx context.Context, stderr io.Writer) int {
	settings, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitSettings
	}
	defer eventlog.Start()()
	err = entryvm.Run(ctx, settings, entryvm.Platform{
		Store: func(address string, t *upstream.Transport) directory.Store { return platform.NewStore(address, t) },
		Codec: platform.Codec{Regions: settings.Regions}, Dialect: platform.Dialect{}, Reload: platform.LoadSettings,
	})
	if err != nil {
		klog.ErrorS(err, "entry VM failed", "vm", settings.VM)
		return exitFailure
	}
	return exitOK
}

// setVerbosity sets the verbosity of klog, which can only be set through flags.
func setVerbosity(level int) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("v", strconv.Itoa(level))
}
