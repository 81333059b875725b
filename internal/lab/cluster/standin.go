package cluster

import (
	"context"
	"strconv"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/hornbeamway/hornbeamway/internal/standin/backend"
	"github.com/hornbeamway/hornbeamway/pkg/vmlist"
)

// Standin is a stand-in process of the platform.
type Standin struct {
	*Process
	// Address serves the stand-in's protocol.
	Address string
	// control is the address of /faults, /journal and /stats.
	control string
}

// SetFaults switches faults. Fields that are not in the JSON form of faults stay as they are: a map names single ones.
func (s *Standin) SetFaults(faults any) error {
	_, err := request("POST", s.control+"/faults", faults)
	return err
}

// NextOffset returns the offset of the next record of a stream of the log service.
func (c *Cluster) NextOffset(stream string) (int64, error) {
	type info struct {
		Next int64 `json:"next"`
	}
	answer, err := getJSON[struct {
		Streams map[string]info `json:"streams"`
	}](c.Log.control + "/streams")
	return answer.Streams[stream].Next, err
}

// Server is a backend server.
type Server struct {
	Standin
	ID      string
	Service string
	// ConnectionLimit is the number of open connections that the server accepts.
	ConnectionLimit int
	// Entry is the server's entry on the platform's list when it is live.
	Entry   vmlist.VM
	cluster *Cluster
}

// waitFor waits until a GET of url succeeds. Error: the process ended or ctx did.
func waitFor(ctx context.Context, p *Process, url string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-p.Done():
			cancel(errors.Wrapf(ErrProcess, "%s ended", p.Name))
		case <-ctx.Done():
		}
	}()
	err := Eventually(ctx, func() error {
		_, err := request("GET", url, nil)
		return err
	})
	if cause := context.Cause(ctx); err != nil && cause != nil {
		return errors.Wrapf(cause, "%s: %v", p.Name, err)
	}
	return err
}

// startPlatform starts the log service and the VM list.
func (c *Cluster) startPlatform(ctx context.Context) error {
	for _, s := range []struct {
		name   string
		target **Standin
	}{{"log", &c.Log}, {"vmlist", &c.List}} {
		ports, err := reserveAll(1)
		if err != nil {
			return err
		}
		address := ports[0].address
		p, err := c.spawn(s.name, "hornbeamstandin", ports, s.name, "--address", address)
		if err != nil {
			return err
		}
		*s.target = &Standin{Process: p, Address: address, control: address}
		if err := waitFor(ctx, p, address+"/faults"); err != nil {
			return err
		}
	}
	return nil
}

// startServers starts and lists the backend servers.
func (c *Cluster) startServers(ctx context.Context) error {
	var group errgroup.Group
	n := 0
	for _, service := range c.options.Topology.Services {
		for i := range service.Servers {
			place := c.options.Topology.Places[i%len(c.options.Topology.Places)]
			s, err := c.startServer(service, serverID(service.Name, i), place, c.options.Seed+uint64(n))
			if err != nil {
				return err
			}
			n++
			group.Go(func() error {
				if err := waitFor(ctx, s.Process, s.control+"/faults"); err != nil {
					return err
				}
				return c.list(s.Entry)
			})
		}
	}
	return group.Wait()
}

// startServer starts one backend server.
func (c *Cluster) startServer(service Service, id string, place Place, seed uint64, extra ...string) (*Server, error) {
	ports, err := reserveAll(2)
	if err != nil {
		return nil, err
	}
	serviceTime := service.ServiceTime
	setDefault(&serviceTime, c.options.ServiceTime)
	address, control := ports[0].address, ports[1].address
	args := append([]string{"backend", "--address", address, "--control", control, "--id", id,
		"--seed", strconv.FormatUint(seed, 10), "--slots", strconv.Itoa(c.options.Topology.Slots),
		"--connection-limit", strconv.Itoa(service.ConnectionLimit), "--service", serviceTime}, extra...)
	p, err := c.spawn(id, "hornbeamstandin", ports, args...)
	if err != nil {
		return nil, err
	}
	s := &Server{
		Standin: Standin{Process: p, Address: address, control: control}, ID: id, Service: service.Name, cluster: c,
		ConnectionLimit: service.ConnectionLimit,
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

// Servers returns the backend servers of a service; all for an empty name.
func (c *Cluster) Servers(service string) []*Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []*Server
	for _, s := range c.servers {
		if service == "" || s.Service == service {
			found = append(found, s)
		}
	}
	return found
}

// Drain makes the server announce its drain and shed new work after grace milliseconds, and lists it as leaving.
func (s *Server) Drain(graceMillis int64) error {
	if err := s.SetFaults(map[string]any{"drain": true, "drainGraceMs": graceMillis}); err != nil {
		return err
	}
	leaving := s.Entry
	leaving.State = vmlist.StateLeaving
	return s.cluster.list(leaving)
}

// Undrain ends a drain.
func (s *Server) Undrain() error {
	if err := s.SetFaults(map[string]any{"drain": false}); err != nil {
		return err
	}
	return s.cluster.list(s.Entry)
}

// Stats returns the server's counters.
func (s *Server) Stats() (backend.Stats, error) { return getJSON[backend.Stats](s.control + "/stats") }

// Journal returns the runs of requests other than GET and HEAD.
func (s *Server) Journal() (backend.Journal, error) {
	return getJSON[backend.Journal](s.control + "/journal")
}
