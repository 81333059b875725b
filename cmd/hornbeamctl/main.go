// Command hornbeamctl is the command line client of the administration API for operators and the customer.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/hornbeamway/hornbeamway/internal/buildinfo"
	"github.com/hornbeamway/hornbeamway/pkg/admin"
)

// arguments are the command line arguments.
type arguments struct {
	Status    *statusCommand    `arg:"subcommand:status" help:"show the preset in force"`
	Presets   *presetsCommand   `arg:"subcommand:presets" help:"list the presets"`
	Show      *showCommand      `arg:"subcommand:show" help:"show the content of a preset"`
	Bootstrap *bootstrapCommand `arg:"subcommand:bootstrap" help:"write the first presets of a deployment"`
	Activate  *activateCommand  `arg:"subcommand:activate" help:"propose another preset to be in force"`
	Propose   *proposeCommand   `arg:"subcommand:propose" help:"propose new content for a preset"`
	Veto      *vetoCommand      `arg:"subcommand:veto" help:"veto a proposal (customer)"`
	Withdraw  *withdrawCommand  `arg:"subcommand:withdraw" help:"withdraw a proposal (operator)"`
	Proposals *proposalsCommand `arg:"subcommand:proposals" help:"list the pending proposals"`
	Watch     *watchCommand     `arg:"subcommand:watch" help:"watch a proposal until it is decided"`
	VMs       *vmsCommand       `arg:"subcommand:vms" help:"show the entry VMs as seen by one of them"`
	Servers   *serversCommand   `arg:"subcommand:servers" help:"show the backend servers as seen by one entry VM"`
	Burn      *burnCommand      `arg:"subcommand:burn" help:"show service-level burn over all entry VMs"`

	Address    string `arg:"--address,env:HORNBEAMWAY_ADMIN" default:"127.0.0.1:8083" help:"IP and port of an administration API"`
	Credential string `arg:"--credential,env:HORNBEAMWAY_CREDENTIAL" help:"credential of the operator or the customer"`
	JSON       bool   `arg:"--json" help:"print JSON for scripts"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "Shows and changes the configuration of hornbeamway through the administration API of an entry VM."
}

// Version implements arg.Versioned.
func (arguments) Version() string { return buildinfo.Line("hornbeamctl") }

// command is a subcommand that can be run.
type command interface {
	run(*session) error
}

// session holds the API client, the output and the polling interval of a subcommand.
type session struct {
	client *admin.Client
	out    printer
	// watchInterval is the polling interval of a watched proposal.
	watchInterval time.Duration
}

// defaultWatchInterval is short compared with the shortest veto period in use (10 s).
const defaultWatchInterval = 500 * time.Millisecond

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	selected, ok := parser.Subcommand().(command)
	if !ok {
		parser.Fail("a subcommand is required")
	}
	s := &session{
		client:        admin.NewClient(args.Address, args.Credential),
		out:           printer{w: os.Stdout, json: args.JSON},
		watchInterval: defaultWatchInterval,
	}
	if err := selected.run(s); err != nil {
		fmt.Fprintln(os.Stderr, "hornbeamctl:", errorText(err))
		os.Exit(1)
	}
}
