package cluster

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/internal/lab/port"
	"github.com/hornbeamway/hornbeamway/pkg/admin"
	"github.com/hornbeamway/hornbeamway/pkg/config"
	"github.com/hornbeamway/hornbeamway/pkg/unit"
	"github.com/hornbeamway/hornbeamway/pkg/vmlist"
)

// VM is an entry VM. It is safe for concurrent use.
type VM struct {
	ID string
	// Entry is the VM's entry in the VM list while it is live.
	Entry vmlist.VM

	cluster      *Cluster
	settingsFile string
	ports        []*port.Reservation
	// operator and customer are reused, because each client keeps its own connections open and the administration API bounds
	// their number.
	operator, customer *admin.Client

	mu      sync.Mutex
	process *Process
}

// newVM creates an entry VM with an unused id and writes its settings.
func (c *Cluster) newVM(place Place) (*VM, error) {
	ports, err := port.ReserveAll(4)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	id := vmID(c.nextVMIndex)
	c.nextVMIndex++
	c.mu.Unlock()
	vm := &VM{ID: id, cluster: c, ports: ports, settingsFile: filepath.Join(c.dir, id+".json"), Entry: vmlist.VM{
		ID: id, Role: vmlist.RoleEntry, Region: place.Region, DataCentre: place.DataCentre, State: vmlist.StateLive,
		Address: ports[0].Address, Forward: ports[1].Address, Peer: ports[2].Address, Admin: ports[3].Address,
	}}
	vm.operator = admin.NewClient(vm.Entry.Admin, OperatorCredential)
	vm.customer = admin.NewClient(vm.Entry.Admin, CustomerCredential)
	if err := vm.writeSettings(); err != nil {
		port.Release(ports)
		return nil, err
	}
	c.mu.Lock()
	c.vms = append(c.vms, vm)
	c.mu.Unlock()
	return vm, nil
}

func (vm *VM) writeSettings() error {
	entry, cluster := vm.Entry, vm.cluster
	data, err := json.MarshalIndent(config.Settings{
		ID: entry.ID, Region: entry.Region, DataCentre: entry.DataCentre,
		Addresses:  config.Addresses{Callers: entry.Address, Forward: entry.Forward, Peer: entry.Peer, Admin: entry.Admin},
		LogService: cluster.LogService.Address, VMList: cluster.VMList.Address,
		Credentials: config.Credentials{Operator: OperatorCredential, Customer: CustomerCredential, Peer: peerCredential},
		// All callers share one address in these clusters.
		Limits:      config.Limits{ConnectionsPerCaller: 20000},
		DrainNotice: unit.Duration(cluster.options.DrainNotice), LogLevel: cluster.options.LogLevel,
	}, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	return errors.Wrap(os.WriteFile(vm.settingsFile, data, 0o600), "write settings")
}

// start starts a process of the VM.
func (vm *VM) start() error {
	p, err := vm.cluster.spawn(vm.ID, "hornbeamway", vm.ports, "--config", vm.settingsFile)
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.ports = nil
	if err == nil {
		vm.process = p
	}
	return err
}

// Process returns the latest process of the VM, or nil before the first start.
func (vm *VM) Process() *Process {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.process
}

// Running reports whether the VM has a process that has not ended. A paused process counts as running.
func (vm *VM) Running() bool {
	p := vm.Process()
	return p != nil && p.Running()
}

// Terminate marks the VM as leaving in the VM list, as the platform does before a planned stop, and sends SIGTERM.
func (vm *VM) Terminate() error {
	leaving := vm.Entry
	leaving.State = vmlist.StateLeaving
	if err := vm.cluster.register(leaving); err != nil {
		return err
	}
	return vm.Process().Terminate()
}

// Stop stops the VM gracefully and removes it from the VM list. It returns an error if the process did not exit with code 0.
func (vm *VM) Stop(ctx context.Context) error {
	if err := vm.Terminate(); err != nil {
		return err
	}
	err := vm.Process().Wait(ctx)
	return errors.CombineErrors(err, vm.cluster.Deregister(vm.ID))
}

// Kill kills the process. The VM remains in the VM list until Deregister, because the platform's list lags behind the actual
// state.
func (vm *VM) Kill() { vm.Process().Kill() }

// Restart registers the VM in the VM list, starts it with the same id and addresses and waits until it is ready. The previous
// process must have ended.
func (vm *VM) Restart(ctx context.Context) error {
	if vm.Running() {
		return errors.Wrapf(ErrProcess, "%s is still running", vm.ID)
	}
	if err := vm.cluster.register(vm.Entry); err != nil {
		return err
	}
	if err := vm.start(); err != nil {
		return err
	}
	return vm.WaitReady(ctx)
}

// AddVM starts and registers an additional entry VM and waits until it is ready.
func (c *Cluster) AddVM(ctx context.Context, place Place) (*VM, error) {
	vm, err := c.newVM(place)
	if err != nil {
		return nil, err
	}
	if err := vm.start(); err != nil {
		return nil, err
	}
	if err := c.register(vm.Entry); err != nil {
		return nil, err
	}
	return vm, vm.WaitReady(ctx)
}

// Replace stops an entry VM, gracefully or by SIGKILL, starts a new one in the same data centre and returns it once it is
// ready. The new VM has a different id and different addresses.
func (c *Cluster) Replace(ctx context.Context, id string, graceful bool) (*VM, error) {
	old := c.VM(id)
	if old == nil {
		return nil, errors.Wrapf(ErrProcess, "entry VM %q does not exist", id)
	}
	var err error
	switch {
	case !old.Running():
		err = c.Deregister(id)
	case graceful:
		err = old.Stop(ctx)
	default:
		old.Kill()
		err = c.Deregister(id)
	}
	if err != nil {
		return nil, err
	}
	c.removeVM(old)
	return c.AddVM(ctx, Place{Region: old.Entry.Region, DataCentre: old.Entry.DataCentre})
}

func (c *Cluster) removeVM(old *VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, vm := range c.vms {
		if vm == old {
			c.vms = append(c.vms[:i], c.vms[i+1:]...)
			return
		}
	}
}

// WaitReady waits until /readyz of the VM succeeds. It returns an error if the process or ctx ends first.
func (vm *VM) WaitReady(ctx context.Context) error { return vm.waitFor(ctx, "/readyz") }

func (vm *VM) waitAlive(ctx context.Context) error { return vm.waitFor(ctx, "/livez") }

func (vm *VM) waitFor(ctx context.Context, path string) error {
	return waitFor(ctx, vm.Process(), vm.Entry.Admin+path)
}

// Operator returns a client of the administration API with the operator's credential.
func (vm *VM) Operator() *admin.Client { return vm.operator }

// Customer returns a client of the administration API with the customer's credential.
func (vm *VM) Customer() *admin.Client { return vm.customer }

// Metrics returns the metrics of the VM in the Prometheus text format.
func (vm *VM) Metrics() ([]byte, error) { return sendRequest("GET", vm.Entry.Admin+"/metrics", nil) }
