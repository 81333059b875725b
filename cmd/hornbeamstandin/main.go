// Command hornbeamstandin runs a simulated service of the platform for tests: the log service, the VM list or a backend
// server.
package main

import (
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/internal/standin/httpserve"
)

// arguments are the command line arguments.
type arguments struct {
	Log     *logCommand     `arg:"subcommand:log" help:"run the log service"`
	VMList  *vmListCommand  `arg:"subcommand:vmlist" help:"run the VM list"`
	Backend *backendCommand `arg:"subcommand:backend" help:"run a backend server"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "Stand-ins of the platform. Faults are shown by GET /faults and switched by POST /faults."
}

// standin is a simulated service of the platform.
type standin interface {
	Serve(net.Listener) error
	Close() error
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	var err error
	switch {
	case args.Log != nil:
		err = args.Log.run()
	case args.VMList != nil:
		err = args.VMList.run()
	case args.Backend != nil:
		err = args.Backend.run()
	default:
		parser.Fail("a subcommand is required")
	}
	if err != nil {
		klog.ErrorS(err, "simulated service failed")
		klog.Flush()
		os.Exit(1)
	}
}

// serve listens on address and serves s until SIGTERM or SIGINT.
func serve(name, address string, s standin) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		_ = s.Close()
	}()
	klog.InfoS("Serving", "standin", name, "address", ln.Addr().String())
	if err := s.Serve(ln); !errors.Is(err, httpserve.ErrClosed) {
		return err
	}
	return nil
}
