// Package server wires the parts of an entry VM together and runs their life cycle. Programs that embed an entry VM call
// Run with their settings.
package server

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/do/v2"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/admin"
	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/config"
	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
	"github.com/hornbeamway/hornbeamway/pkg/link"
	"github.com/hornbeamway/hornbeamway/pkg/measure"
	"github.com/hornbeamway/hornbeamway/pkg/membership"
	"github.com/hornbeamway/hornbeamway/pkg/operation"
	"github.com/hornbeamway/hornbeamway/pkg/peer"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
	"github.com/hornbeamway/hornbeamway/pkg/proxy"
)

// Errors of the life cycle.
var (
	// ErrListen reports an address that cannot be listened on.
	ErrListen = errors.New("cannot listen")
	// ErrSuperseded reports that a later process runs under the id of this VM.
	ErrSuperseded = errors.New("a later process runs under the id of this VM")
	// ErrWiring reports a part that could not be built.
	ErrWiring = errors.New("cannot build the entry VM")
)

// Run serves as an entry VM until ctx ends, then drains: it fails health checks, serves for the drain notice, hands its
// operations over, finishes the calls in flight and returns nil. When a listener fails, it drains as well and returns the
// error. Errors: ErrListen, ErrWiring and those of the listeners.
func Run(ctx context.Context, settings *config.Settings) error {
	vm, err := newVM(settings)
	if err != nil {
		return err
	}
	return vm.run(ctx)
}

// listeners are the sockets of an entry VM.
type listeners struct {
	callers, forward, peer, admin net.Listener
}

// listen opens all sockets or none.
func listen(a config.Addresses) (*listeners, error) {
	l := &listeners{}
	for _, target := range []struct {
		listener *net.Listener
		address  string
	}{{&l.callers, a.Callers}, {&l.forward, a.Forward}, {&l.peer, a.Peer}, {&l.admin, a.Admin}} {
		listener, err := net.Listen("tcp", target.address)
		if err != nil {
			l.close()
			return nil, errors.Mark(errors.Wrapf(err, "%s", target.address), ErrListen)
		}
		*target.listener = listener
	}
	return l, nil
}

// close closes the listeners that are open. It is for a start that fails; the servers close their own later.
func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.forward, l.peer, l.admin} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// vm is a running entry VM.
type vm struct {
	settings   *config.Settings
	clock      clock.Clock
	listeners  *listeners
	members    *membership.Service
	follower   *preset.Follower
	acceptor   *preset.Acceptor
	snapshots  *preset.Snapshotter
	pools      *poolUpdater
	registry   *dispatch.Registry
	operations *operation.Coordinator
	ranges     *operation.RangeManager
	probes     *measure.Runner
	pacer      *link.Pacer
	proxy      *proxy.Proxy
	peers      *peer.Server
	admin      *admin.Server
}

func newVM(settings *config.Settings) (*vm, error) {
	injector := do.New()
	provide(injector, settings)
	built, err := do.Invoke[*vm](injector)
	if err != nil {
		return nil, errors.Mark(err, ErrWiring)
	}
	return built, nil
}

// run starts a goroutine for each duty and waits for the stop.
func (v *vm) run(ctx context.Context) error {
	duties, stopDuties := context.WithCancel(context.Background())
	defer stopDuties()
	var group sync.WaitGroup
	for _, duty := range []func(context.Context){
		v.members.Run, v.follower.Run, v.acceptor.Run, v.snapshots.Run, v.pools.run, v.ranges.Run, v.probes.Run, v.pacer.Run,
	} {
		group.Go(func() { duty(duties) })
	}
	failed := make(chan error, 4)
	go func() { failed <- v.peers.Serve(v.listeners.peer) }()
	go func() { failed <- v.admin.Serve(v.listeners.admin) }()
	go func() { failed <- v.proxy.Serve(duties, v.listeners.callers, v.listeners.forward) }()
	go func() { failed <- v.watchSuccessor(duties) }()
	klog.InfoS("entry VM started", "vm", v.settings.ID, "region", v.settings.Region, "dataCentre", v.settings.DataCentre,
		"callers", v.settings.Addresses.Callers, "admin", v.settings.Addresses.Admin)

	var err error
	select {
	case err = <-failed:
		klog.ErrorS(err, "a duty failed; stopping", "vm", v.settings.ID)
		err = errors.CombineErrors(err, v.drain())
	case <-ctx.Done():
		err = v.drain()
	}
	stopDuties()
	err = errors.CombineErrors(err, errors.CombineErrors(v.admin.Close(), v.peers.Close()))
	group.Wait()
	v.registry.Stop()
	klog.InfoS("entry VM stopped", "vm", v.settings.ID)
	return err
}

// watchSuccessor waits until a later process with the id of this VM is heard. This one was paused or cut off while it was
// replaced, and must stop.
func (v *vm) watchSuccessor(ctx context.Context) error {
	changes := v.members.Subscribe()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changes:
			if v.members.Superseded() {
				return ErrSuperseded
			}
		}
	}
}

// handoverTimeout bounds the handover of operations at a planned stop.
const handoverTimeout = 10 * time.Second

// drain stops without cutting off a call. It has no time limit: a long download in flight finishes.
func (v *vm) drain() error {
	klog.InfoS("entry VM is draining", "vm", v.settings.ID, "notice", v.settings.DrainNotice.Std())
	v.members.Leave()
	v.proxy.Drain()
	<-v.clock.After(v.settings.DrainNotice.Std())
	handover, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	if err := v.operations.Drain(handover); err != nil {
		klog.ErrorS(err, "operations were not handed over", "vm", v.settings.ID)
	}
	return v.proxy.Shutdown(context.Background())
}
