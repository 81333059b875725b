// Command hornbeamway is the entry VM daemon.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/alexflint/go-arg"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/config"
	"github.com/hornbeamway/hornbeamway/pkg/server"
)

type checkCommand struct {
	Config string `arg:"--config,required" help:"settings file (JSON with comments)"`
}

type arguments struct {
	Check  *checkCommand `arg:"subcommand:check" help:"validate a settings file and exit"`
	Config string        `arg:"--config" help:"settings file (JSON with comments)"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "Serves callers, dispatches pools of backend servers and follows the configuration log."
}

// Exit codes.
const (
	exitFailure  = 1
	exitSettings = 2
)

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	switch {
	case args.Check != nil:
		load(args.Check.Config)
		fmt.Println("settings are valid")
	case args.Config == "":
		parser.Fail("--config is required")
	default:
		run(load(args.Config))
	}
}

func load(path string) *config.Settings {
	settings, err := config.Load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	return settings
}

func run(settings *config.Settings) {
	setVerbosity(settings.LogLevel)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := server.Run(ctx, settings)
	if err != nil {
		klog.ErrorS(err, "entry VM failed", "vm", settings.ID)
	}
	klog.Flush()
	if err != nil {
		os.Exit(exitFailure)
	}
}

// setVerbosity sets klog's level, which the library only takes from flags.
func setVerbosity(level int) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("v", strconv.Itoa(level))
}
