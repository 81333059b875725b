package entryvm

import (
	"context"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/samber/do/v2"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/balance"
	"github.com/hornbeamway/hornbeamway/pkg/burn"
	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/directory"
	"github.com/hornbeamway/hornbeamway/pkg/gateway"
	"github.com/hornbeamway/hornbeamway/pkg/loadshare"
	"github.com/hornbeamway/hornbeamway/pkg/peer"
	"github.com/hornbeamway/hornbeamway/pkg/prober"
	"github.com/hornbeamway/hornbeamway/pkg/retrybudget"
	"github.com/hornbeamway/hornbeamway/pkg/routing"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

// ErrListen reports that a listen address could not be opened.
var ErrListen = errors.New("cannot listen")

// Platform holds the platform-specific parts of an entry VM, which an adapter provides.
type Platform struct {
	// Store returns a client of the store at an address (IP and port).
	Store   func(address string, t *upstream.Transport) directory.Store
	Codec   directory.Codec
	Dialect interface {
		gateway.Dialect
		prober.ResponseReader
	}
	// Reload reads the settings file again.
	Reload func() (*Settings, error)
}

// sockets holds the listeners and the UDP socket of an entry VM.
type sockets struct {
	callers, health, peer net.Listener
	datagrams             *net.UDPConn
}

func listen(s *Settings) (*sockets, error) {
	l := &sockets{}
	for _, target := range []struct {
		listener *net.Listener
		address  string
	}{{&l.callers, s.Callers}, {&l.health, s.Health}, {&l.peer, s.Peer}} {
		listener, err := net.Listen("tcp", target.address)
		if err != nil {
			l.close()
			return nil, errors.Mark(errors.Wrapf(err, "%s", target.address), ErrListen)
		}
		*target.listener = listener
	}
	address, err := net.ResolveUDPAddr("udp", s.Peer)
	if err == nil {
		l.datagrams, err = net.ListenUDP("udp", address)
	}
	if err != nil {
		l.close()
		return nil, errors.Mark(errors.Wrapf(err, "%s", s.Peer), ErrListen)
	}
	return l, nil
}

// close closes the listeners after a failed start. Errors are ignored, because nothing has used the sockets yet.
func (l *sockets) close() {
	for _, listener := range []net.Listener{l.callers, l.health, l.peer} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// vm is a running entry VM.
type vm struct {
	settings     *Settings
	platform     Platform
	sockets      *sockets
	state        *directory.State
	balancer     *balance.Balancer
	follower     *directory.Follower
	sharer       *loadshare.Sharer
	gateway      *gateway.Gateway
	prober       *prober.Prober
	retryBudgets *retrybudget.Budgets
	peerServer   *peer.Server
	peerPool     *peer.Pool
	// hup receives SIGHUP, which requests a reload of the settings.
	hup chan os.Signal
	// burnTracker measures against the objectives of the configuration with the version objectivesVersion.
	burnTracker       *burn.Tracker
	objectivesVersion int64
}

// heapShare is the share of the memory limit of the process from which on the garbage collector runs more often. The rest is for
// thread stacks and for bytes that the kernel has received and that count as the memory of the process.
const heapShare = 0.8

// Run serves as an entry VM until ctx ends and then shuts down: health checks fail at once, requests are served until the
// platform stops sending them, and in-flight requests finish. It then returns nil. Errors: ErrListen and those of the
// listeners.
func Run(ctx context.Context, s *Settings, p Platform) error {
	// Without a handler, an early SIGHUP would terminate the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	l, err := listen(s)
	if err != nil {
		return err
	}
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(s.MemoryLimit)))
	}
	v, err := newVM(s, p, l)
	if err != nil {
		return err
	}
	v.hup = hup
	return v.run(ctx)
}

// newVM builds the components of an entry VM and connects them.
func newVM(s *Settings, p Platform, l *sockets) (*vm, error) {
	i := do.New()
	v := &vm{settings: s, platform: p, sockets: l, burnTracker: burn.NewTracker(clock.System{}, nil)}
	system, seed := clock.System{}, xxhash.Sum64String(s.Peer+strconv.FormatInt(time.Now().UnixNano(), 10))
	do.ProvideValue(i, balance.New(balance.Location{DataCentre: s.DataCentre, Region: s.Region}, seed))
	do.ProvideValue(i, retrybudget.New(retryBudgetFraction*s.RetryBudgetRatio, 1))
	do.Provide(i, func(i do.Injector) (*directory.State, error) {
		b := do.MustInvoke[*balance.Balancer](i)
		return directory.NewState(system, p.Codec, b.SetServers), nil
	})
	do.Provide(i, func(i do.Injector) (*loadshare.Sharer, error) {
		return loadshare.New(loadshare.Options{Clock: system, VM: s.VM, DataCentre: s.DataCentre, Region: s.Region, Capacity: s.Capacity,
			Regions: s.Regions, Conn: l.datagrams,
			Balancer: do.MustInvoke[*balance.Balancer](i), Digest: do.MustInvoke[*directory.State](i).Digest,
			ReadsStore:    func() bool { return v.follower.ReadRecently() },
			ObserveDigest: func(address string, d directory.Digest) { v.follower.ObserveDigest(address, d) }}), nil
	})
	do.Provide(i, func(i do.Injector) (*directory.Follower, error) {
		store := p.Store(s.Store, upstream.NewTransport(storeTransportOptions()))
		return directory.NewFollower(system, do.MustInvoke[*directory.State](i), store, v, s.FirstStart, v.joinListedVMs), nil
	})
	do.ProvideValue(i, upstream.NewTransport(v.serverTransportOptions()))
	do.Provide(i, func(i do.Injector) (*prober.Prober, error) {
		return prober.New(prober.Options{Clock: system, Responses: p.Dialect, State: do.MustInvoke[*directory.State](i),
			Balancer: do.MustInvoke[*balance.Balancer](i), Transport: do.MustInvoke[*upstream.Transport](i),
			Assignment: v.probeAssignment, Publish: do.MustInvoke[*loadshare.Sharer](i).PublishLoadReport}), nil
	})
	do.Provide(i, func(i do.Injector) (*gateway.Gateway, error) {
		return gateway.New(gateway.Options{Clock: system, Dialect: p.Dialect, State: do.MustInvoke[*directory.State](i),
			Balancer: do.MustInvoke[*balance.Balancer](i), Splitter: routing.NewSplitter(float64(seed%1000) / 1000),
			Servers: do.MustInvoke[*upstream.Transport](i), Retries: do.MustInvoke[*retrybudget.Budgets](i),
			Publish: do.MustInvoke[*loadshare.Sharer](i).Publish, Observe: v.observeRequest}), nil
	})
	v.initPeerRPC()
	var err error
	if v.gateway, err = do.Invoke[*gateway.Gateway](i); err != nil {
		return nil, err
	}
	v.state, v.sharer = do.MustInvoke[*directory.State](i), do.MustInvoke[*loadshare.Sharer](i)
	v.balancer = do.MustInvoke[*balance.Balancer](i)
	v.prober = do.MustInvoke[*prober.Prober](i)
	v.retryBudgets, v.follower = do.MustInvoke[*retrybudget.Budgets](i), do.MustInvoke[*directory.Follower](i)
	return v, nil
}

// initPeerRPC creates the server and the connections for calls between entry VMs.
func (v *vm) initPeerRPC() {
	options := peer.Options{ID: v.settings.VM, Secret: v.settings.deploymentKey()}
	v.peerServer, v.peerPool = peer.NewServer(options), peer.NewPool(options)
	peer.Handle(v.peerServer, methodSnapshot, func(_ context.Context, versions directory.Versions) (directory.Snapshot, error) {
		return v.state.Snapshot(versions), nil
	})
}

// methodSnapshot is the RPC method that returns the part of a peer VM's state that is newer than the caller's.
const methodSnapshot = "directory.snapshot"

// ReadRank implements directory.Peers.
func (v *vm) ReadRank() int { return v.sharer.ReadRank() }

// IsRelay implements directory.Peers.
func (v *vm) IsRelay() bool { return v.sharer.IsRelay() }

// InSameDataCentre implements directory.Peers.
func (v *vm) InSameDataCentre(address string) bool { return v.sharer.InSameDataCentre(address) }

// SendDigestNow implements directory.Peers.
func (v *vm) SendDigestNow() { v.sharer.SendHeartbeatNow() }

// probeAssignment returns the rule by which this VM is the one that probes a server for its load.
func (v *vm) probeAssignment() func(*directory.Server) bool {
	duty := v.sharer.ProbeDuty()
	return func(s *directory.Server) bool {
		return s.Region == v.settings.Region && duty.Covers(s.ID, s.DataCentre)
	}
}

// Isolated implements directory.Peers.
func (v *vm) Isolated() bool { return len(v.sharer.LiveInRegion()) == 0 }

// Seeds implements directory.Peers.
func (v *vm) Seeds() []string {
	if live := v.sharer.LiveInRegion(); len(live) > 0 {
		return live[:min(len(live), maxSnapshotPeers)]
	}
	return v.settings.Seeds
}

// maxSnapshotPeers is the number of peer VMs that are queried one after the other while the store is unreachable.
const maxSnapshotPeers = 3

// Snapshot implements directory.Peers.
func (v *vm) Snapshot(ctx context.Context, address string, versions directory.Versions) (directory.Snapshot, error) {
	return peer.Call[directory.Snapshot](ctx, v.peerPool, address, methodSnapshot, versions)
}

// joinListedVMs adds the VMs that the store lists to the peers.
func (v *vm) joinListedVMs(batch directory.Batch) {
	var addresses []string
	for _, r := range batch.Records {
		if len(r.Value) > 0 {
			addresses = append(addresses, r.Key)
		}
	}
	klog.InfoS("read the VM list from the store", "vms", strings.Join(addresses, ","))
	v.sharer.AddPeers(addresses)
}

func (v *vm) run(ctx context.Context) error {
	s := v.settings
	klog.InfoS("starting entry VM", "vm", s.VM, "dataCentre", s.DataCentre, "region", s.Region, "callers", s.Callers, "peer", s.Peer,
		"store", s.Store, "seeds", strings.Join(s.Seeds, ","), "memoryLimit", s.MemoryLimit)
	serving, cancel := context.WithCancel(context.Background())
	defer cancel()
	v.sharer.AddPeers(s.Seeds)
	group, serving := errgroup.WithContext(serving)
	group.Go(func() error { return v.gateway.Serve(serving, v.sockets.callers) })
	group.Go(func() error { return v.serveHealth(serving) })
	group.Go(func() error { return v.sharer.Run(serving) })
	group.Go(func() error { v.follower.Run(serving, v.sharer.Address()); return nil })
	group.Go(func() error { v.runMaintenance(serving); return nil })
	group.Go(func() error { v.prober.Run(serving); return nil })
	group.Go(func() error { return v.servePeers(serving) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			drain(v.gateway, s.ShutdownTimeout)
			cancel()
		case <-serving.Done():
		}
		return nil
	})
	err := group.Wait()
	klog.InfoS("entry VM stopped", "vm", s.VM, "inFlight", v.gateway.InFlight(), "err", err)
	return err
}

func (v *vm) servePeers(ctx context.Context) error {
	go func() {
		<-ctx.Done()
		if err := v.peerServer.Close(); err != nil {
			klog.ErrorS(err, "failed to close the peer listener")
		}
		v.peerPool.Close()
	}()
	return v.peerServer.Serve(v.sockets.peer)
}
