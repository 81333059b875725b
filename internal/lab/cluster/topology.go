// Package cluster starts and controls a complete system on loopback: the stand-ins for the platform and the backend servers,
// and the entry VMs, all as child processes on free ports.
package cluster

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// ErrTopology reports a topology that cannot be started.
var ErrTopology = errors.New("invalid topology")

// maxProcesses bounds the child processes of one cluster, so that an oversized topology does not overload the machine.
const maxProcesses = 200

// Place is one data centre of a region.
type Place struct {
	Region     string
	DataCentre string
}

// Service configures the backend servers of one service.
type Service struct {
	Name string
	// Servers is the number of backend servers, distributed evenly over the data centres.
	Servers int
	// ConnectionLimit is the number of open connections that one server accepts.
	ConnectionLimit int
	// ServiceTime is the distribution of the service time in the form KIND:MEAN. Default: Options.ServiceTime.
	ServiceTime string
}

// Topology describes the entry VMs and backend servers of a cluster. Both are distributed evenly over the places.
type Topology struct {
	// Name is the name of the deployment.
	Name string
	// Sample is the subdirectory of the samples directory that contains presets.json.
	Sample   string
	Places   []Place
	EntryVMs int
	Services []Service
	// Slots is the number of requests that one backend server executes concurrently.
	Slots int
}

// regionPlaces returns two data centres in each of two regions.
func regionPlaces(first, second string) []Place {
	var places []Place
	for _, region := range []string{first, second} {
		for _, suffix := range []string{"a", "b"} {
			places = append(places, Place{Region: region, DataCentre: region + "-" + suffix})
		}
	}
	return places
}

// Balisage returns the deployment of Balisage Teranga Franchises: 16 entry VMs and 40 backend servers.
func Balisage() Topology {
	return Topology{
		Name: "balisage", Sample: "balisage", Places: regionPlaces("dakar", "tamba"), EntryVMs: 16, Slots: 3,
		Services: []Service{
			{Name: "catalogue", Servers: 20, ConnectionLimit: 240},
			{Name: "orders", Servers: 10, ConnectionLimit: 240},
			{Name: "library", Servers: 10, ConnectionLimit: 240},
		},
	}
}

// Imbuto returns the deployment of Imbuto Press Consortium with the given number of entry VMs (14 to 16 in production) and 35
// backend servers.
func Imbuto(entryVMs int) Topology {
	return Topology{
		Name: "imbuto", Sample: "imbuto", Places: regionPlaces("kigali", "huye"), EntryVMs: entryVMs, Slots: 3,
		Services: []Service{
			{Name: "rota-board", Servers: 15, ConnectionLimit: 220},
			{Name: "slot-desk", Servers: 10, ConnectionLimit: 220},
			{Name: "ledger-vault", Servers: 10, ConnectionLimit: 220},
		},
	}
}

// Small returns the Balisage deployment with one entry VM and one backend server of each service per data centre.
func Small() Topology {
	t := Balisage()
	t.Name, t.EntryVMs = "small", len(t.Places)
	for i := range t.Services {
		t.Services[i].Servers = len(t.Places)
	}
	return t
}

// ByName returns a topology by its name: small, balisage or imbuto.
func ByName(name string) (Topology, error) {
	switch name {
	case "small":
		return Small(), nil
	case "balisage":
		return Balisage(), nil
	case "imbuto":
		return Imbuto(16), nil
	}
	return Topology{}, errors.Wrapf(ErrTopology, "unknown topology %q", name)
}

// Processes returns the number of child processes: entry VMs, backend servers, the log service and the VM list.
func (t Topology) Processes() int {
	n := t.EntryVMs + 2
	for _, s := range t.Services {
		n += s.Servers
	}
	return n
}

func (t Topology) validate() error {
	switch {
	case t.EntryVMs < 1 || len(t.Places) < 1:
		return errors.Wrap(ErrTopology, "at least one entry VM and one place are required")
	case t.Slots < 1:
		return errors.Wrap(ErrTopology, "slots must be positive")
	case t.Processes() > maxProcesses:
		return errors.Wrapf(ErrTopology, "%d processes, at most %d are allowed", t.Processes(), maxProcesses)
	}
	for _, s := range t.Services {
		if s.Servers < 0 || s.ConnectionLimit < 1 {
			return errors.Wrapf(ErrTopology, "service %q has a negative number of servers or no connection limit", s.Name)
		}
	}
	return nil
}

// serverID returns the id of the server with index i of a service.
func serverID(service string, i int) string { return fmt.Sprintf("%s-%02d", service, i+1) }

// vmID returns the id of the entry VM with index i.
func vmID(i int) string { return fmt.Sprintf("vm%02d", i+1) }
