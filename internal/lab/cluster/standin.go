package cluster

import (
	"cmp"
	"context"
	"strconv"

	"golang.org/x/sync/errgroup"

	"github.com/hornbeamway/hornbeamway/internal/lab/port"
	"github.com/hornbeamway/hornbeamway/internal/standin/backend"
	"github.com/hornbeamway/hornbeamway/pkg/vmlist"
)

// Standin is a process that simulates a service of the platform or a backend server.
type Standin struct {
	*Process
	// Address is the address of the simulated service.
	Address string
	// controlAddress is the address of /faults, /journal and /stats.
	controlAddress string
}

// SetFaults sets the faults of the stand-in. Fields that are absent from the JSON encoding of faults remain unchanged, so a
// map can set single faults.
func (s *Standin) SetFaults(faults any) error {
	_, err := sendRequest("POST", s.controlAddress+"/faults", faults)
	return err
}

// Server is a backend server.
type Server struct {
	Standin
	ID      string
	Service string
	// ConnectionLimit is the number of open connections that the server accepts.
	ConnectionLimit int
	// Entry is the server's entry in the VM list while it is live.
	Entry   vmlist.VM
	cluster *Cluster
}

// startPlatformServices starts the log service and the VM list.
func (c *Cluster) startPlatformServices(ctx context.Context) error {
	for _, service := range []struct {
		name    string
		standin **Standin
	}{{"log", &c.LogService}, {"vmlist", &c.VMList}} {
		ports, err := port.ReserveAll(1)
		if err != nil {
			return err
		}
		address := ports[0].Address
		p, err := c.spawn(service.name, "hornbeamstandin", ports, service.name, "--address", address)
		if err != nil {
			return err
		}
		*service.standin = &Standin{Process: p, Address: address, controlAddress: address}
		if err := waitFor(ctx, p, address+"/faults"); err != nil {
			return err
		}
	}
	return nil
}

// startServers starts the backend servers and registers them in the VM list.
func (c *Cluster) startServers(ctx context.Context) error {
	var group errgroup.Group
	index := 0
	for _, service := range c.options.Topology.Services {
		for i := range service.Servers {
			place := c.options.Topology.Places[i%len(c.options.Topology.Places)]
			s, err := c.startServer(service, serverID(service.Name, i), place, c.options.Seed+uint64(index))
			if err != nil {
				return err
			}
			index++
			group.Go(func() error {
				if err := waitFor(ctx, s.Process, s.controlAddress+"/faults"); err != nil {
					return err
				}
				return c.register(s.Entry)
			})
		}
	}
	return group.Wait()
}

// startServer starts one backend server, without registering it in the VM list.
func (c *Cluster) startServer(service Service, id string, place Place, seed uint64, extraArgs ...string) (*Server, error) {
	ports, err := port.ReserveAll(2)
	if err != nil {
		return nil, err
	}
	serviceTime := cmp.Or(service.ServiceTime, c.options.ServiceTime)
	address, controlAddress := ports[0].Address, ports[1].Address
	args := append([]string{"backend", "--address", address, "--control", controlAddress, "--id", id,
		"--seed", strconv.FormatUint(seed, 10), "--slots", strconv.Itoa(c.options.Topology.Slots),
		"--connection-limit", strconv.Itoa(service.ConnectionLimit), "--service", serviceTime}, extraArgs...)
	p, err := c.spawn(id, "hornbeamstandin", ports, args...)
	if err != nil {
		return nil, err
	}
	s := &Server{
		Standin: Standin{Process: p, Address: address, controlAddress: controlAddress},
		ID:      id, Service: service.Name, cluster: c, ConnectionLimit: service.ConnectionLimit,
		Entry: vmlist.VM{
			ID: id, Role: vmlist.RoleBackend, Region: place.Region, DataCentre: place.DataCentre, State: vmlist.StateLive,
			Service: service.Name, Address: address,
		},
	}
	c.mu.Lock()
	c.servers = append(c.servers, s)
	c.mu.Unlock()
	return s, nil
}

// Servers returns the backend servers of a service, or those of all services if the name is empty.
func (c *Cluster) Servers(service string) []*Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	var matching []*Server
	for _, s := range c.servers {
		if service == "" || s.Service == service {
			matching = append(matching, s)
		}
	}
	return matching
}

// Drain marks the server as leaving in the VM list and makes it announce that it is draining and, after graceMillis, shed new
// requests.
func (s *Server) Drain(graceMillis int64) error {
	if err := s.SetFaults(map[string]any{"drain": true, "drainGraceMs": graceMillis}); err != nil {
		return err
	}
	leaving := s.Entry
	leaving.State = vmlist.StateLeaving
	return s.cluster.register(leaving)
}

// Undrain ends the drain of the server and registers it as live again.
func (s *Server) Undrain() error {
	if err := s.SetFaults(map[string]any{"drain": false}); err != nil {
		return err
	}
	return s.cluster.register(s.Entry)
}

// Stats returns the server's counters.
func (s *Server) Stats() (backend.Stats, error) {
	return getJSON[backend.Stats](s.controlAddress + "/stats")
}

// Journal returns the server's executions of requests other than GET and HEAD.
func (s *Server) Journal() (backend.Journal, error) {
	return getJSON[backend.Journal](s.controlAddress + "/journal")
}
