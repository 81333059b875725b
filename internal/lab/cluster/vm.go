package cluster

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/pkg/admin"
	"github.com/hornbeamway/hornbeamway/pkg/config"
	"github.com/hornbeamway/hornbeamway/pkg/unit"
	"github.com/hornbeamway/hornbeamway/pkg/vmlist"
)

// VM is one entry VM. It is safe for concurrent use.
type VM struct {
	ID string
	// Entry is the VM's entry on the platform's list when it is live.
	Entry vmlist.VM

	cluster  *Cluster
	settings string
	ports    []*reservation
	// operator and customer are kept, because each client keeps connections of its own open and the administration API
	// bounds their number.
	operator, customer *admin.Client

	mu      sync.Mutex
	process *Process
}

// newVM writes the settings of a new entry VM with an id that was not used before.
func (c *Cluster) newVM(place Place) (*VM, error) {
	ports, err := reserveAll(4)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	id := vmID(c.nextVM)
	c.nextVM++
	c.mu.Unlock()
	vm := &VM{ID: id, cluster: c, ports: ports, settings: filepath.Join(c.dir, id+".json"), Entry: vmlist.VM{
		ID: id, Role: vmlist.RoleEntry, Region: place.Region, DataCentre: place.DataCentre, State: vmlist.StateLive,
		Address: ports[0].address, Forward: ports[1].address, Peer: ports[2].address, Admin: ports[3].address,
	}}
	vm.operator = admin.NewClient(vm.Entry.Admin, OperatorCredential)
	vm.customer = admin.NewClient(vm.Entry.Admin, CustomerCredential)
	if err := vm.writeSettings(); err != nil {
		release(ports)
		return nil, err
	}
	c.mu.Lock()
	c.vms = append(c.vms, vm)
	c.mu.Unlock()
	return vm, nil
}

func (vm *VM) writeSettings() error {
	e, c := vm.Entry, vm.cluster
	data, err := json.MarshalIndent(config.Settings{
		ID: e.ID, Region: e.Region, DataCentre: e.DataCentre,
		Addresses:  config.Addresses{Callers: e.Address, Forward: e.Forward, Peer: e.Peer, Admin: e.Admin},
		LogService: c.Log.Address, VMList: c.List.Address,
		Credentials: config.Credentials{Operator: OperatorCredential, Customer: CustomerCredential, Peer: peerCredential},
		// All callers of a lab share one address.
		Limits:      config.Limits{ConnectionsPerCaller: 20000},
		DrainNotice: unit.Duration(c.options.DrainNotice), LogLevel: c.options.LogLevel,
	}, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	return errors.Wrap(os.WriteFile(vm.settings, data, 0o600), "write settings")
}

// start starts the process.
func (vm *VM) start() error {
	p, err := vm.cluster.spawn(vm.ID, "hornbeamway", vm.ports, "--config", vm.settings)
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.ports = nil
	if err == nil {
		vm.process = p
	}
	return err
}

// Process returns the latest process of the VM; nil before the first start.
func (vm *VM) Process() *Process {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.process
}

// Running reports whether the VM has a process that has not ended. A paused one counts as running.
func (vm *VM) Running() bool {
	p := vm.Process()
	return p != nil && p.Running()
}

// Terminate lists the VM as leaving, as the platform does before a planned stop, and sends SIGTERM.
func (vm *VM) Terminate() error {
	leaving := vm.Entry
	leaving.State = vmlist.StateLeaving
	if err := vm.cluster.list(leaving); err != nil {
		return err
	}
	return vm.Process().Terminate()
}

// Stop stops the VM gracefully and takes it off the list. Error: it did not end with exit code 0.
func (vm *VM) Stop(ctx context.Context) error {
	if err := vm.Terminate(); err != nil {
		return err
	}
	err := vm.Process().Wait(ctx)
	return errors.CombineErrors(err, vm.cluster.Unlist(vm.ID))
}

// Kill kills the process. The VM stays on the list, which lags behind reality, until Unlist.
func (vm *VM) Kill() { vm.Process().Kill() }

// Restart starts the VM again with the same id and addresses, and lists it. The process must have ended.
func (vm *VM) Restart(ctx context.Context) error {
	if vm.Running() {
		return errors.Wrapf(ErrProcess, "%s is running", vm.ID)
	}
	if err := vm.cluster.list(vm.Entry); err != nil {
		return err
	}
	if err := vm.start(); err != nil {
		return err
	}
	return vm.WaitReady(ctx)
}

// AddVM starts one more entry VM and waits until it is ready.
func (c *Cluster) AddVM(ctx context.Context, place Place) (*VM, error) {
	vm, err := c.newVM(place)
	if err != nil {
		return nil, err
	}
	if err := vm.start(); err != nil {
		return nil, err
	}
	if err := c.list(vm.Entry); err != nil {
		return nil, err
	}
	return vm, vm.WaitReady(ctx)
}

// Replace starts a new entry VM in the place of one that is stopped, gracefully or by SIGKILL, and returns it once it is
// ready. The new one has another id and other addresses.
func (c *Cluster) Replace(ctx context.Context, id string, graceful bool) (*VM, error) {
	old := c.VM(id)
	if old == nil {
		return nil, errors.Wrapf(ErrProcess, "no VM %q", id)
	}
	var err error
	switch {
	case !old.Running():
		err = c.Unlist(id)
	case graceful:
		err = old.Stop(ctx)
	default:
		old.Kill()
		err = c.Unlist(id)
	}
	if err != nil {
		return nil, err
	}
	c.forget(old)
	return c.AddVM(ctx, Place{Region: old.Entry.Region, DataCentre: old.Entry.DataCentre})
}

func (c *Cluster) forget(old *VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, vm := range c.vms {
		if vm == old {
			c.vms = append(c.vms[:i], c.vms[i+1:]...)
			return
		}
	}
}

// WaitReady waits until the VM's /readyz succeeds. Error: the process ended or ctx did.
func (vm *VM) WaitReady(ctx context.Context) error { return vm.waitFor(ctx, "/readyz") }

func (vm *VM) waitAlive(ctx context.Context) error { return vm.waitFor(ctx, "/livez") }

func (vm *VM) waitFor(ctx context.Context, path string) error {
	return waitFor(ctx, vm.Process(), vm.Entry.Admin+path)
}

// Operator returns the administration API with the operator's credential.
func (vm *VM) Operator() *admin.Client { return vm.operator }

// Customer returns the administration API with the customer's credential.
func (vm *VM) Customer() *admin.Client { return vm.customer }

// Metrics returns the VM's metrics in the text format of Prometheus.
func (vm *VM) Metrics() ([]byte, error) { return request("GET", vm.Entry.Admin+"/metrics", nil) }
