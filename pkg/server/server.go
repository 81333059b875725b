// Package server assembles the components of an entry VM and runs its life cycle. Programs that embed an entry VM call Run
// with their settings.
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
	// ErrListen reports that a listen address could not be opened.
	ErrListen = errors.New("cannot listen")
	// ErrSuperseded reports that a later process with the id of this VM is running.
	ErrSuperseded = errors.New("a later process runs under the id of this VM")
	// ErrWiring reports a component that could not be built.
	ErrWiring = errors.New("cannot build the entry VM")
)

// Run serves as an entry VM until ctx ends and then drains: it fails health checks, keeps serving for the drain notice, hands
// over its operations, waits for the in-flight calls and returns nil. It also drains when a listener fails or a later process
// with the same id is running, and returns that error. Errors: ErrListen, ErrSuperseded, ErrWiring and those of the listeners.
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

// listen opens all listeners. On an error it leaves none open.
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

// close closes the open listeners after a failed start. Once the servers run, they close their listeners themselves.
func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.forward, l.peer, l.admin} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// vm is a running entry VM.
type vm struct {
	settings    *config.Settings
	clock       clock.Clock
	listeners   *listeners
	members     *membership.Service
	follower    *preset.Follower
	acceptor    *preset.Acceptor
	snapshotter *preset.Snapshotter
	poolUpdater *poolUpdater
	registry    *dispatch.Registry
	operations  *operation.Coordinator
	ranges      *operation.RangeManager
	probeRunner *measure.Runner
	pacer       *link.Pacer
	proxy       *proxy.Proxy
	peerServer  *peer.Server
	admin       *admin.Server
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

// run starts the background tasks and the servers, waits until ctx ends or one of them fails, and then drains.
func (v *vm) run(ctx context.Context) error {
	tasksCtx, stopTasks := context.WithCancel(context.Background())
	defer stopTasks()
	var group sync.WaitGroup
	for _, task := range []func(context.Context){
		v.members.Run, v.follower.Run, v.acceptor.Run, v.snapshotter.Run, v.poolUpdater.run, v.ranges.Run,
		v.probeRunner.Run, v.pacer.Run,
	} {
		group.Go(func() { task(tasksCtx) })
	}
	failures := make(chan error, 4)
	go func() { failures <- v.peerServer.Serve(v.listeners.peer) }()
	go func() { failures <- v.admin.Serve(v.listeners.admin) }()
	go func() { failures <- v.proxy.Serve(tasksCtx, v.listeners.callers, v.listeners.forward) }()
	go func() { failures <- v.waitUntilSuperseded(tasksCtx) }()
	klog.InfoS("entry VM started", "vm", v.settings.ID, "region", v.settings.Region, "dataCentre", v.settings.DataCentre,
		"callers", v.settings.Addresses.Callers, "admin", v.settings.Addresses.Admin)

	var err error
	select {
	case err = <-failures:
		klog.ErrorS(err, "component failed; shutting down", "vm", v.settings.ID)
		err = errors.CombineErrors(err, v.drain())
	case <-ctx.Done():
		err = v.drain()
	}
	stopTasks()
	err = errors.CombineErrors(err, errors.CombineErrors(v.admin.Close(), v.peerServer.Close()))
	group.Wait()
	v.registry.Stop()
	klog.InfoS("entry VM stopped", "vm", v.settings.ID)
	return err
}

// waitUntilSuperseded returns ErrSuperseded once the membership reports a later process with the id of this VM, or nil when
// ctx ends. A superseded process was paused or cut off while it was replaced, and must stop.
func (v *vm) waitUntilSuperseded(ctx context.Context) error {
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

// handoverTimeout bounds the handover of operations to another VM during a planned stop.
const handoverTimeout = 10 * time.Second

// drain announces that this VM is leaving, serves for the drain notice, hands over the operations and waits for the in-flight
// calls. That wait has no time limit, so that a long download can finish.
func (v *vm) drain() error {
	klog.InfoS("draining entry VM", "vm", v.settings.ID, "notice", v.settings.DrainNotice.Std())
	v.members.Leave()
	v.proxy.Drain()
	<-v.clock.After(v.settings.DrainNotice.Std())
	handoverCtx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	if err := v.operations.Drain(handoverCtx); err != nil {
		klog.ErrorS(err, "failed to hand over operations", "vm", v.settings.ID)
	}
	return v.proxy.Shutdown(context.Background())
}
