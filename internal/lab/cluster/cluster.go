package cluster

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/admin"
	"github.com/hornbeamway/hornbeamway/pkg/vmlist"
)

// Options configure a cluster.
type Options struct {
	Topology Topology
	// Bin is the directory of the programs. Default: bin.
	Bin string
	// Samples is the directory of the sample presets. Default: samples.
	Samples string
	// Dir receives settings and logs. Default: a temporary directory, which Close removes.
	Dir string
	// VetoPeriod replaces the veto period of every preset. Default: 2s.
	VetoPeriod time.Duration
	// DrainNotice is the time from SIGTERM until an entry VM refuses connections. Default: 1s.
	DrainNotice time.Duration
	// ServiceTime is the distribution KIND:MEAN of service times. Default: exponential:10ms.
	ServiceTime string
	// Seed is the seed of the first backend server; the others count on from it. Default: 1.
	Seed uint64
	// LogLevel is the log verbosity of the entry VMs.
	LogLevel int
	// ReadyTimeout bounds the start. Default: 30s.
	ReadyTimeout time.Duration
	// NoBootstrap leaves the configuration log empty.
	NoBootstrap bool
}

func (o *Options) setDefaults() {
	setDefault(&o.Bin, "bin")
	setDefault(&o.Samples, "samples")
	setDefault(&o.VetoPeriod, 2*time.Second)
	setDefault(&o.DrainNotice, time.Second)
	setDefault(&o.ServiceTime, "exponential:10ms")
	setDefault(&o.Seed, 1)
	setDefault(&o.ReadyTimeout, 30*time.Second)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Cluster is a running system. It is safe for concurrent use.
type Cluster struct {
	options Options
	dir     string
	ownsDir bool
	stopped func() bool

	// Log and List are the stand-ins of the log service and of the VM list.
	Log, List *Standin

	mu      sync.Mutex
	servers []*Server
	vms     []*VM
	all     []*Process
	nextVM  int
	closed  bool
}

// Start starts a cluster and waits until every entry VM is ready. The end of ctx kills all processes; so does the end of
// the tool. The caller calls Close in every case where there is no error.
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
			return nil, errors.Wrap(err, "create directory")
		}
		c.dir, c.ownsDir = dir, true
	}
	c.stopped = context.AfterFunc(ctx, c.killAll)
	ready, cancel := context.WithTimeout(ctx, o.ReadyTimeout)
	defer cancel()
	if err := c.start(ready); err != nil {
		err = errors.Wrapf(err, "start cluster (last log lines: %s)", c.LogTail(5))
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	if err := c.startPlatform(ctx); err != nil {
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

// startVMs starts the first entry VMs and lists them.
func (c *Cluster) startVMs(ctx context.Context) error {
	var group errgroup.Group
	for i := range c.options.Topology.EntryVMs {
		vm, err := c.newVM(c.options.Topology.Places[i%len(c.options.Topology.Places)])
		if err != nil {
			return err
		}
		group.Go(func() error {
			if err := c.list(vm.Entry); err != nil {
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

// bootstrap appends the sample's presets through the first VM.
func (c *Cluster) bootstrap(ctx context.Context) error {
	file, err := readPresets(c.options.Samples, c.options.Topology.Sample, c.options.VetoPeriod, c.options.Topology.EntryVMs)
	if err != nil {
		return err
	}
	operator := c.VMs()[0].Operator()
	// A VM that has not read the log yet refuses; bootstrap counts only on an empty state, so repeating it is harmless.
	return errors.Wrap(Eventually(ctx, func() error {
		if status, err := operator.Status(); err == nil && status.Active != "" {
			return nil
		}
		return operator.Bootstrap(file)
	}), "bootstrap")
}

// WaitReady waits until every running entry VM is ready.
func (c *Cluster) WaitReady(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, vm := range c.VMs() {
		if vm.Running() {
			group.Go(func() error { return vm.WaitReady(ctx) })
		}
	}
	return group.Wait()
}

// WaitMembers waits until every running entry VM sees every other running one as alive.
func (c *Cluster) WaitMembers(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	running := lo.Filter(c.VMs(), func(vm *VM, _ int) bool { return vm.Running() })
	for _, vm := range running {
		group.Go(func() error {
			return Eventually(ctx, func() error {
				seen, err := vm.Operator().VMs()
				if err != nil {
					return err
				}
				for _, other := range running {
					if !slices.ContainsFunc(seen, func(m admin.VM) bool { return m.ID == other.ID && m.State == "alive" }) {
						return errors.Newf("%s does not see %s", vm.ID, other.ID)
					}
				}
				return nil
			})
		})
	}
	return group.Wait()
}

// WaitInForce waits until every running entry VM has a configuration of the version or a later one, and returns the time
// at which the last one was seen to have it.
func (c *Cluster) WaitInForce(ctx context.Context, version int64) (time.Time, error) {
	group, ctx := errgroup.WithContext(ctx)
	for _, vm := range c.VMs() {
		if !vm.Running() {
			continue
		}
		group.Go(func() error {
			return Eventually(ctx, func() error {
				status, err := vm.Operator().Status()
				if err == nil && status.Version < version {
					err = errors.Newf("%s has version %d", vm.ID, status.Version)
				}
				return err
			})
		})
	}
	err := group.Wait()
	return time.Now(), err
}

// Dir is the directory of settings and logs.
func (c *Cluster) Dir() string { return c.dir }

// VMs returns the entry VMs, without those that were replaced.
func (c *Cluster) VMs() []*VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*VM(nil), c.vms...)
}

// VM returns the entry VM with the id; nil if there is none.
func (c *Cluster) VM(id string) *VM {
	for _, vm := range c.VMs() {
		if vm.ID == id {
			return vm
		}
	}
	return nil
}

// Callers returns the callers' addresses of the entry VMs.
func (c *Cluster) Callers() []string {
	var addresses []string
	for _, vm := range c.VMs() {
		addresses = append(addresses, vm.Entry.Address)
	}
	return addresses
}

// spawn starts a process that Close will end. Error: the cluster is closed or the start failed.
func (c *Cluster) spawn(name, program string, ports []*reservation, args ...string) (*Process, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.Wrap(ErrProcess, "cluster is closed")
	}
	release(ports)
	p, err := startProcess(name, filepath.Join(c.dir, name+".log"), filepath.Join(c.options.Bin, program), args...)
	if err == nil {
		c.all = append(c.all, p)
	}
	return p, err
}

func (c *Cluster) processes() []*Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Process(nil), c.all...)
}

// Stop stops the entry VMs gracefully, then kills the rest. Error: an entry VM did not end with exit code 0.
func (c *Cluster) Stop(ctx context.Context) error {
	var result error
	for _, vm := range c.VMs() {
		if vm.Running() {
			result = errors.CombineErrors(result, vm.Terminate())
		}
	}
	for _, vm := range c.VMs() {
		if p := vm.Process(); p != nil && p.Running() {
			result = errors.CombineErrors(result, p.Wait(ctx))
		}
	}
	c.Close()
	return result
}

// Close kills every process and removes the temporary directory. It may be called more than once.
func (c *Cluster) Close() {
	c.stopped()
	c.killAll()
	if c.ownsDir {
		if err := os.RemoveAll(c.dir); err != nil {
			klog.ErrorS(err, "Remove directory", "dir", c.dir)
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

// list puts an entry on the platform's list.
func (c *Cluster) list(entry vmlist.VM) error {
	_, err := request("PUT", c.List.Address+"/vms/"+entry.ID, entry)
	return err
}

// Unlist takes an entry off the platform's list.
func (c *Cluster) Unlist(id string) error {
	_, err := request("DELETE", c.List.Address+"/vms/"+id, nil)
	return err
}

// Operator returns the administration API of the first running entry VM with the operator's credential; nil when none runs.
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

// Appended returns the number of appends to all streams since the log service started.
func (c *Cluster) Appended() (int64, error) {
	answer, err := getJSON[struct {
		Streams map[string]struct {
			Appended int64 `json:"appended"`
		} `json:"streams"`
	}](c.Log.Address + "/streams")
	sum := int64(0)
	for _, s := range answer.Streams {
		sum += s.Appended
	}
	return sum, err
}
