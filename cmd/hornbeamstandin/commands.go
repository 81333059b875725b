package main

import (
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/internal/standin/backend"
	"github.com/hornbeamway/hornbeamway/internal/standin/httpserve"
	"github.com/hornbeamway/hornbeamway/internal/standin/logservice"
	"github.com/hornbeamway/hornbeamway/internal/standin/vmlist"
	"github.com/hornbeamway/hornbeamway/pkg/strictjson"
	vms "github.com/hornbeamway/hornbeamway/pkg/vmlist"
)

// logCommand runs the simulated log service.
type logCommand struct {
	Address          string        `arg:"--address" default:"127.0.0.1:7001" help:"IP and port to listen on"`
	Seed             uint64        `arg:"--seed" default:"1" help:"seed of random faults"`
	Retention        time.Duration `arg:"--retention" default:"1h" help:"time for which records are kept"`
	MaxRecords       int           `arg:"--max-records" default:"1048576" help:"records kept per stream"`
	AppendsPerSecond float64       `arg:"--appends-per-second" default:"0" help:"limit of all appends; 0: none"`
}

func (c *logCommand) run() error {
	return serve("log", c.Address, logservice.New(logservice.Options{
		Seed: c.Seed, Retention: c.Retention, MaxRecords: c.MaxRecords, AppendsPerSecond: c.AppendsPerSecond,
	}))
}

// vmListCommand runs the simulated VM list.
type vmListCommand struct {
	Address string        `arg:"--address" default:"127.0.0.1:7002" help:"IP and port to listen on"`
	Lag     time.Duration `arg:"--lag" default:"0s" help:"time after which a change becomes visible"`
	File    string        `arg:"--file" help:"JSON file with the list at the start, as the answer to GET /vms"`
}

func (c *vmListCommand) run() error {
	var list struct {
		VMs []vms.VM `json:"vms"`
	}
	if c.File != "" {
		data, err := os.ReadFile(c.File)
		if err != nil {
			return errors.Wrap(err, "read VM list")
		}
		if err := strictjson.Decode(data, &list); err != nil {
			return errors.Wrapf(err, "decode VM list %s", c.File)
		}
	}
	s, err := vmlist.New(vmlist.Options{VMs: list.VMs, Lag: c.Lag})
	if err != nil {
		return err
	}
	return serve("vmlist", c.Address, s)
}

// distributionFlag is a distribution of service times in the form KIND:MEAN, for example exponential:10ms or fixed:5ms.
type distributionFlag backend.Distribution

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *distributionFlag) UnmarshalText(text []byte) error {
	kind, mean, _ := strings.Cut(string(text), ":")
	parsed, err := time.ParseDuration(mean)
	if err != nil || parsed <= 0 || kind != "exponential" && kind != "fixed" {
		return errors.Newf("%q is not a valid distribution; examples: exponential:10ms, fixed:5ms", text)
	}
	*d = distributionFlag{Mean: parsed, Exponential: kind == "exponential"}
	return nil
}

// backendCommand runs a simulated backend server.
type backendCommand struct {
	Address         string                      `arg:"--address" default:"127.0.0.1:7100" help:"IP and port to listen on"`
	Control         string                      `arg:"--control" help:"second IP and port for /faults, /journal, /stats and /load, without limits and faults"`
	ID              string                      `arg:"--id" help:"server id in answers; default: the address"`
	Seed            uint64                      `arg:"--seed" default:"1" help:"seed of service times and random faults"`
	Slots           int                         `arg:"--slots" default:"3" help:"requests that run at the same time"`
	Queue           int                         `arg:"--queue" default:"64" help:"requests that wait behind the slots; negative: none"`
	ConnectionLimit int                         `arg:"--connection-limit" default:"240" help:"open connections above which new ones are closed"`
	Service         distributionFlag            `arg:"--service" default:"exponential:10ms" help:"service time, KIND:MEAN"`
	Class           map[string]distributionFlag `arg:"--class,separate" help:"service time of paths with a prefix, PREFIX=KIND:MEAN; the longest prefix counts"`
	ColdFactor      float64                     `arg:"--cold-factor" default:"0" help:"factor on service times at the start; 0: none"`
	Cold            time.Duration               `arg:"--cold" default:"10s" help:"time over which the cold factor decays to 1"`
}

func (c *backendCommand) run() error {
	if c.ID == "" {
		c.ID = c.Address
	}
	s := backend.New(backend.Options{
		ID: c.ID, Seed: c.Seed, Slots: c.Slots, Queue: c.Queue, ConnectionLimit: c.ConnectionLimit,
		ServiceTime: backend.Distribution(c.Service), Classes: c.pathClasses(),
	})
	if c.ColdFactor > 0 {
		if err := s.SetFaults(backend.Faults{ColdFactor: c.ColdFactor, ColdMillis: c.Cold.Milliseconds()}); err != nil {
			return err
		}
	}
	if c.Control != "" {
		ln, err := net.Listen("tcp", c.Control)
		if err != nil {
			return errors.Wrap(err, "listen on control address")
		}
		go func() {
			if err := s.ServeControl(ln); !errors.Is(err, httpserve.ErrClosed) {
				klog.ErrorS(err, "failed to serve on the control address")
			}
		}()
	}
	return serve("backend", c.Address, s)
}

// pathClasses returns the path classes with the longest prefixes first, because the first match applies.
func (c *backendCommand) pathClasses() []backend.PathClass {
	var classes []backend.PathClass
	for prefix, d := range c.Class {
		classes = append(classes, backend.PathClass{Prefix: prefix, ServiceTime: backend.Distribution(d)})
	}
	slices.SortFunc(classes, func(a, b backend.PathClass) int { return len(b.Prefix) - len(a.Prefix) })
	return classes
}
