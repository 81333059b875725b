package server

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/samber/do/v2"

	"github.com/hornbeamway/hornbeamway/pkg/admin"
	"github.com/hornbeamway/hornbeamway/pkg/burn"
	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/config"
	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
	"github.com/hornbeamway/hornbeamway/pkg/link"
	"github.com/hornbeamway/hornbeamway/pkg/measure"
	"github.com/hornbeamway/hornbeamway/pkg/membership"
	"github.com/hornbeamway/hornbeamway/pkg/operation"
	"github.com/hornbeamway/hornbeamway/pkg/peer"
	"github.com/hornbeamway/hornbeamway/pkg/platformlog"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
	"github.com/hornbeamway/hornbeamway/pkg/proxy"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
	"github.com/hornbeamway/hornbeamway/pkg/vmlist"
)

// newConnRate (per second) and newConnBurst limit new connections to one backend server. Each costs the server about 1 ms, so
// 50/s use less than 2% of three slots. Calls that time out close their connections, so an overload causes a constant
// stream of new connections.
const (
	newConnRate  = 50
	newConnBurst = 8
)

// processIdentity distinguishes this process from all others that run under the same VM id.
type processIdentity struct {
	incarnation uint64
	start       time.Time
}

// provide registers the constructors of all components. Each component is built once, when it is first needed.
func provide(i do.Injector, settings *config.Settings) {
	do.ProvideValue(i, settings)
	do.ProvideValue[clock.Clock](i, clock.System{})
	do.ProvideValue(i, processIdentity{incarnation: rand.Uint64(), start: time.Now()})
	do.ProvideValue[platformlog.Log](i, platformlog.NewClient(settings.LogService))
	do.ProvideValue(i, peer.Options{ID: settings.ID, Secret: settings.Credentials.Peer})
	do.ProvideValue(i, &connectionCaps{})
	do.ProvideValue(i, &heartbeatAdapter{})
	do.Provide(i, newPeerServer)
	do.Provide(i, newPeerPool)
	do.Provide(i, newMembers)
	do.Provide(i, newFleet)
	do.Provide(i, newPresetOptions)
	do.Provide(i, newFollower)
	do.Provide(i, newRegistry)
	do.Provide(i, newPlacement)
	do.Provide(i, newPoolUpdater)
	do.Provide(i, newOperationSelf)
	do.Provide(i, newLedger)
	do.Provide(i, newRanges)
	do.Provide(i, newOperations)
	do.Provide(i, newProber)
	do.Provide(i, newPacer)
	do.Provide(i, newBurnTracker)
	do.Provide(i, newProxy)
	do.Provide(i, newAdmin)
	do.Provide(i, assembleVM)
}

func newPeerServer(i do.Injector) (*peer.Server, error) {
	return peer.NewServer(do.MustInvoke[peer.Options](i)), nil
}

func newPeerPool(i do.Injector) (*peer.Pool, error) {
	return peer.NewPool(do.MustInvoke[peer.Options](i)), nil
}

func newMembers(i do.Injector) (*membership.Service, error) {
	settings, id := do.MustInvoke[*config.Settings](i), do.MustInvoke[processIdentity](i)
	heartbeats := do.MustInvoke[*heartbeatAdapter](i)
	members := membership.NewService(membership.Options{
		Self: membership.Member{
			ID: settings.ID, Incarnation: id.incarnation, Start: id.start,
			Region: settings.Region, DataCentre: settings.DataCentre,
			Forward: settings.Addresses.Forward, Peer: settings.Addresses.Peer, Admin: settings.Addresses.Admin,
		},
		Sender:      do.MustInvoke[*peer.Pool](i),
		Clock:       do.MustInvoke[clock.Clock](i),
		List:        vmlist.NewClient(settings.VMList),
		Seeds:       settings.Seeds,
		Status:      heartbeats.localStatus,
		OnHeartbeat: heartbeats.onHeartbeat,
	})
	members.Register(do.MustInvoke[*peer.Server](i))
	peer.ExposeHeaderTraffic(do.MustInvoke[*peer.Server](i), do.MustInvoke[*peer.Pool](i))
	return members, nil
}

func newFleet(i do.Injector) (*fleet, error) {
	return &fleet{members: do.MustInvoke[*membership.Service](i), pool: do.MustInvoke[*peer.Pool](i),
		clock: do.MustInvoke[clock.Clock](i)}, nil
}

func newPresetOptions(i do.Injector) (preset.Options, error) {
	f := do.MustInvoke[*fleet](i)
	return preset.Options{Log: do.MustInvoke[platformlog.Log](i), Clock: do.MustInvoke[clock.Clock](i), Peers: f, Fleet: f}, nil
}

func newFollower(i do.Injector) (*preset.Follower, error) {
	follower := preset.NewFollower(do.MustInvoke[preset.Options](i))
	do.MustInvoke[*heartbeatAdapter](i).follower = follower
	registerPreset(do.MustInvoke[*peer.Server](i), follower)
	return follower, nil
}

func newRegistry(i do.Injector) (*dispatch.Registry, error) {
	return dispatch.NewRegistry(do.MustInvoke[clock.Clock](i), do.MustInvoke[*config.Settings](i).DataCentre), nil
}

func newPlacement(i do.Injector) (*placement, error) {
	return &placement{
		selector: dispatch.NewPoolSelector(dispatch.PoolSelectorOptions{
			Clock: do.MustInvoke[clock.Clock](i),
			Self:  dispatchVM(do.MustInvoke[*membership.Service](i).Self()),
		}),
		registry: do.MustInvoke[*dispatch.Registry](i),
	}, nil
}

func newPoolUpdater(i do.Injector) (*poolUpdater, error) {
	return &poolUpdater{
		clock:     do.MustInvoke[clock.Clock](i),
		members:   do.MustInvoke[*membership.Service](i),
		follower:  do.MustInvoke[*preset.Follower](i),
		registry:  do.MustInvoke[*dispatch.Registry](i),
		placement: do.MustInvoke[*placement](i),
		caps:      do.MustInvoke[*connectionCaps](i),
		pacer:     do.MustInvoke[*link.Pacer](i),
		burn:      do.MustInvoke[*burn.Tracker](i),
	}, nil
}

func newOperationSelf(i do.Injector) (operation.Self, error) {
	settings, id := do.MustInvoke[*config.Settings](i), do.MustInvoke[processIdentity](i)
	forward, err := netip.ParseAddrPort(settings.Addresses.Forward)
	return operation.Self{VM: settings.ID, Incarnation: id.incarnation, Forward: forward}, err
}

func newLedger(i do.Injector) (*operation.Ledger, error) {
	return operation.NewLedger(do.MustInvoke[clock.Clock](i).Now()), nil
}

func newRanges(i do.Injector) (*operation.RangeManager, error) {
	f := do.MustInvoke[*fleet](i)
	ranges := operation.NewRangeManager(operation.RangeOptions{
		Clock:  do.MustInvoke[clock.Clock](i),
		Log:    do.MustInvoke[platformlog.Log](i),
		Peers:  f,
		Ledger: do.MustInvoke[*operation.Ledger](i),
		Self:   do.MustInvoke[operation.Self](i),
		Alive:  f.leaseCandidates,
		Voters: f.leaseVoters,
	})
	registerOperations(do.MustInvoke[*peer.Server](i), ranges)
	return ranges, nil
}

func newOperations(i do.Injector) (*operation.Coordinator, error) {
	return operation.NewCoordinator(operation.Options{
		Clock:  do.MustInvoke[clock.Clock](i),
		Codec:  operation.NewCodec(do.MustInvoke[*config.Settings](i).Credentials.Peer),
		Self:   do.MustInvoke[operation.Self](i),
		Ledger: do.MustInvoke[*operation.Ledger](i),
		Ranges: do.MustInvoke[*operation.RangeManager](i),

		RegionOf: do.MustInvoke[*fleet](i).regionOf,
	}), nil
}

func newBurnTracker(i do.Injector) (*burn.Tracker, error) {
	return burn.NewTracker(do.MustInvoke[clock.Clock](i), metrics.GetDefaultSet()), nil
}

func newProber(i do.Injector) (*measure.Runner, error) {
	return newProbeRunner(do.MustInvoke[clock.Clock](i), do.MustInvoke[*dispatch.Registry](i),
		do.MustInvoke[*placement](i).selector, do.MustInvoke[*preset.Follower](i).InForce), nil
}

func newProxy(i do.Injector) (*proxy.Proxy, error) {
	settings, c := do.MustInvoke[*config.Settings](i), do.MustInvoke[clock.Clock](i)
	return proxy.New(proxy.Options{
		Clock:         c,
		Limits:        settings.Limits,
		PeerKey:       settings.Credentials.Peer,
		Configuration: do.MustInvoke[*preset.Follower](i),
		Pools:         do.MustInvoke[*dispatch.Registry](i),
		Placement:     do.MustInvoke[*placement](i),
		Operations:    do.MustInvoke[*operation.Coordinator](i),
		Backends: upstream.NewTransport(upstream.Options{
			Clock: c, MaxConns: do.MustInvoke[*connectionCaps](i).forAddress, NewConnRate: newConnRate, NewConnBurst: newConnBurst,
		}),
		Forward:  upstream.NewTransport(upstream.Options{Clock: c}),
		Observer: do.MustInvoke[*burn.Tracker](i),
		Pacer:    do.MustInvoke[*link.Pacer](i),
		Region:   settings.Region,
	}), nil
}

func newAdmin(i do.Injector) (*admin.Server, error) {
	settings := do.MustInvoke[*config.Settings](i)
	follower, options := do.MustInvoke[*preset.Follower](i), do.MustInvoke[preset.Options](i)
	return admin.New(admin.Options{
		Credentials:   settings.Credentials,
		Configuration: follower,
		Changer:       preset.NewProposer(options.Log, options.Clock, follower),
		Watcher:       preset.NewWatcher(options, follower),
		Members:       do.MustInvoke[*membership.Service](i),
		Pools:         do.MustInvoke[*dispatch.Registry](i),
		Ready:         do.MustInvoke[*proxy.Proxy](i).Ready,
		Burn:          do.MustInvoke[*burn.Tracker](i),
	}), nil
}

func assembleVM(i do.Injector) (*vm, error) {
	settings := do.MustInvoke[*config.Settings](i)
	sockets, err := listen(settings.Addresses)
	if err != nil {
		return nil, err
	}
	follower, options := do.MustInvoke[*preset.Follower](i), do.MustInvoke[preset.Options](i)
	return &vm{
		settings:    settings,
		clock:       do.MustInvoke[clock.Clock](i),
		listeners:   sockets,
		members:     do.MustInvoke[*membership.Service](i),
		follower:    follower,
		acceptor:    preset.NewAcceptor(options, follower),
		snapshotter: preset.NewSnapshotter(options, follower),
		poolUpdater: do.MustInvoke[*poolUpdater](i),
		registry:    do.MustInvoke[*dispatch.Registry](i),
		operations:  do.MustInvoke[*operation.Coordinator](i),
		ranges:      do.MustInvoke[*operation.RangeManager](i),
		probeRunner: do.MustInvoke[*measure.Runner](i),
		pacer:       do.MustInvoke[*link.Pacer](i),
		proxy:       do.MustInvoke[*proxy.Proxy](i),
		peerServer:  do.MustInvoke[*peer.Server](i),
		admin:       do.MustInvoke[*admin.Server](i),
	}, nil
}
