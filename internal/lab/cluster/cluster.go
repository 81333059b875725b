package cluster

import (
	"cmp"
	"context"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/internal/lab/port"
	"github.com/hornbeamway/hornbeamway/pkg/admin"
	"github.com/hornbeamway/hornbeamway/pkg/vmlist"
)

// Options configures a cluster.
type Options struct {
	Topology Topology
	// Bin is the directory of the executables. Default: bin.
	Bin string
	// Samples is the directory of the sample presets. Default: samples.
	Samples string
	// Dir is the directory for settings and logs. Default: a temporary directory, which Close removes.
	Dir string
	// VetoPeriod overrides the veto period of every preset. Default: 2s.
	VetoPeriod time.Duration
	// DrainNotice is the time between SIGTERM and the moment when an entry VM refuses connections. Default: 1s.
	DrainNotice time.Duration
	// ServiceTime is the distribution of service times in the form KIND:MEAN. Default: exponential:10ms.
	ServiceTime string
	// Seed is the seed of the first backend server; each further server uses the next number. Default: 1.
	Seed uint64
	// LogLevel is the log verbosity of the entry VMs.
	LogLevel int
	// ReadyTimeout bounds the start of the cluster. Default: 30s.
	ReadyTimeout time.Duration
	// NoBootstrap skips the bootstrap: the configuration log stays empty, and Start does not wait for the VMs to become ready.
	NoBootstrap bool
}

func (o *Options) setDefaults() {
	o.Bin = cmp.Or(o.Bin, "bin")
	o.Samples = cmp.Or(o.Samples, "samples")
	o.VetoPeriod = cmp.Or(o.VetoPeriod, 2*time.Second)
	o.DrainNotice = cmp.Or(o.DrainNotice, time.Second)
	o.ServiceTime = cmp.Or(o.ServiceTime, "exponential:10ms")
	o.Seed = cmp.Or(o.Seed, 1)
	o.ReadyTimeout = cmp.Or(o.ReadyTimeout, 30*time.Second)
}

// Cluster is a running system of child processes. It is safe for concurrent use.
type Cluster struct {
	options         Options
	dir             string
	ownsDir         bool
	cancelAfterFunc func() bool

	// LogService and VMList are the stand-ins for the log service and the VM list.
	LogService, VMList *Standin

	mu          sync.Mutex
	servers     []*Server
	vms         []*VM
	children    []*Process
	nextVMIndex int
	closed      bool
}

// Start starts a cluster and waits until every entry VM is ready. All processes are killed when ctx is cancelled or when the
// calling process ends. The caller must call Close unless Start returns an error.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	o.setDefaults()
	if err := o.Topology.validate(); err != nil {
		return nil, err
	}
	if err := checkMemory(o.Topology.Processes()); err != nil {
		return nil, err
	}
	c := &Cluster{options: o, dir: o.Dir}
	if c.dir == "" {
		dir, err := os.MkdirTemp("", "hornbeamlab-")
		if err != nil {
			return nil, errors.Wrap(err, "create the cluster directory")
		}
		c.dir, c.ownsDir = dir, true
	}
	c.cancelAfterFunc = context.AfterFunc(ctx, c.killAll)
	startCtx, cancel := context.WithTimeout(ctx, o.ReadyTimeout)
	defer cancel()
	if err := c.start(startCtx); err != nil {
		err = errors.Wrapf(err, "start cluster (last log lines: %s)", c.LogTail(5))
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	if err := c.startPlatformServices(ctx); err != nil {
		return err
	}
	if err := c.startServers(ctx); err != nil {
		return err
	}
	if err := c.startVMs(ctx); err != nil {
		return err
	}
	if c.options.NoBootstrap {
		return nil
	}
	if err := c.bootstrap(ctx); err != nil {
		return err
	}
	if err := c.WaitReady(ctx); err != nil {
		return err
	}
	return c.WaitMembers(ctx)
}

// startVMs starts the entry VMs of the topology, registers them in the VM list and waits until they are alive.
func (c *Cluster) startVMs(ctx context.Context) error {
	var group errgroup.Group
	for i := range c.options.Topology.EntryVMs {
		vm, err := c.newVM(c.options.Topology.Places[i%len(c.options.Topology.Places)])
		if err != nil {
			return err
		}
		group.Go(func() error {
			if err := c.register(vm.Entry); err != nil {
				return err
			}
			if err := vm.start(); err != nil {
				return err
			}
			return vm.waitAlive(ctx)
		})
	}
	return group.Wait()
}

// Dir returns the directory for settings and logs.
func (c *Cluster) Dir() string { return c.dir }

// VMs returns the entry VMs, excluding those that were replaced.
func (c *Cluster) VMs() []*VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.vms)
}

// VM returns the entry VM with the id, or nil if there is none.
func (c *Cluster) VM(id string) *VM {
	for _, vm := range c.VMs() {
		if vm.ID == id {
			return vm
		}
	}
	return nil
}

// CallerAddresses returns the addresses at which the entry VMs serve callers.
func (c *Cluster) CallerAddresses() []string {
	var addresses []string
	for _, vm := range c.VMs() {
		addresses = append(addresses, vm.Entry.Address)
	}
	return addresses
}

// spawn releases the ports and starts a process, which Close kills. It fails if the cluster is closed or the start fails.
func (c *Cluster) spawn(name, program string, ports []*port.Reservation, args ...string) (*Process, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.Wrap(ErrProcess, "cluster is closed")
	}
	port.Release(ports)
	process, err := startProcess(name, filepath.Join(c.dir, name+".log"), filepath.Join(c.options.Bin, program), args...)
	if err == nil {
		c.children = append(c.children, process)
	}
	return process, err
}

func (c *Cluster) processes() []*Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.children)
}

// Stop stops the entry VMs gracefully, then kills the other processes. It returns an error if an entry VM did not exit with
// code 0.
func (c *Cluster) Stop(ctx context.Context) error {
	var combined error
	for _, vm := range c.VMs() {
		if vm.Running() {
			combined = errors.CombineErrors(combined, vm.Terminate())
		}
	}
	for _, vm := range c.VMs() {
		if p := vm.Process(); p != nil && p.Running() {
			combined = errors.CombineErrors(combined, p.Wait(ctx))
		}
	}
	c.Close()
	return combined
}

// Close kills every process and removes the temporary directory. It may be called more than once.
func (c *Cluster) Close() {
	c.cancelAfterFunc()
	c.killAll()
	if c.ownsDir {
		if err := os.RemoveAll(c.dir); err != nil {
			klog.ErrorS(err, "failed to remove the cluster directory", "dir", c.dir)
		}
	}
}

func (c *Cluster) killAll() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	var group sync.WaitGroup
	for _, p := range c.processes() {
		group.Go(p.Kill)
	}
	group.Wait()
}

// register adds an entry to the VM list of the platform or replaces it.
func (c *Cluster) register(entry vmlist.VM) error {
	_, err := sendRequest("PUT", c.VMList.Address+"/vms/"+entry.ID, entry)
	return err
}

// Deregister removes an entry from the VM list of the platform.
func (c *Cluster) Deregister(id string) error {
	_, err := sendRequest("DELETE", c.VMList.Address+"/vms/"+id, nil)
	return err
}

// Operator returns a client with the operator's credential for the administration API of the first running entry VM, or nil
// if no entry VM is running.
func (c *Cluster) Operator() *admin.Client {
	for _, vm := range c.VMs() {
		if vm.Running() {
			return vm.Operator()
		}
	}
	return nil
}

// Deployment returns the name of the topology.
func (c *Cluster) Deployment() string { return c.options.Topology.Name }
