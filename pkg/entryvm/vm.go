package entryvm

import (
	"context"
	"net"
	"os"
	"os/signal"
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

// ErrListen reports an address that cannot be listened on.
var ErrListen = errors.New("cannot listen")

// Platform is what the adapter provides.
type Platform struct {
	// Store opens the client of the store at an address.
	Store   func(address string, t *upstream.Transport) directory.Store
	Codec   directory.Codec
	Dialect interface {
		gateway.Dialect
		prober.Figures
	}
	// Reload reads the settings again.
	Reload func() (*Settings, error)
}

// sockets are the listeners of an entry VM.
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

// close frees the addresses after a failed start. Nothing has used the sockets, so their errors tell nothing.
func (l *sockets) close() {
	for _, listener := range []net.Listener{l.callers, l.health, l.peer} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// vm is a running entry VM.
type vm struct {
	settings *Settings
	platform Platform
	sockets  *sockets
	state    *directory.State
	follower *directory.Follower
	sharer   *loadshare.Sharer
	gateway  *gateway.Gateway
	prober   *prober.Prober
	retries  *retrybudget.Budgets
	calls    *peer.Server
	pool     *peer.Pool
	// hup receives the signal for changed settings.
	hup chan os.Signal
	// burn measures against the objectives of the configuration of a version.
	burn         *burn.Tracker
	objectivesOf int64
}

// Run serves as an entry VM until ctx ends, then stops: health checks fail at once, requests are served until the platform
// sends no more, and those in flight are finished. It returns nil after that. Errors: ErrListen and those of the listeners.
func Run(ctx context.Context, s *Settings, p Platform) error {
	// The signal would end the process if it came before anything listens for it.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	l, err := listen(s)
	if err != nil {
		return err
	}
	v, err := build(s, p, l)
	if err != nil {
		return err
	}
	v.hup = hup
	return v.run(ctx)
}

// build makes the parts.
func build(s *Settings, p Platform, l *sockets) (*vm, error) {
	i := do.New()
	v := &vm{settings: s, platform: p, sockets: l, burn: burn.NewTracker(clock.System{}, nil)}
	system, seed := clock.System{}, xxhash.Sum64String(s.Peer+strconv.FormatInt(time.Now().UnixNano(), 10))
	do.ProvideValue(i, balance.New(balance.Place{DataCentre: s.DataCentre, Region: s.Region}, seed))
	do.ProvideValue(i, retrybudget.New(retryUse*s.RetryShare, 1))
	do.Provide(i, func(i do.Injector) (*directory.State, error) {
		b := do.MustInvoke[*balance.Balancer](i)
		return directory.NewState(system, p.Codec, b.SetServers), nil
	})
	do.Provide(i, func(i do.Injector) (*loadshare.Sharer, error) {
		return loadshare.New(loadshare.Options{Clock: system, VM: s.VM, DataCentre: s.DataCentre, Region: s.Region, Capacity: s.Capacity,
			Regions: s.Regions, Conn: l.datagrams,
			Balancer: do.MustInvoke[*balance.Balancer](i), Digest: do.MustInvoke[*directory.State](i).Digest,
			Reads:   func() bool { return v.follower.Reads() },
			Observe: func(address string, d directory.Digest) { v.follower.Observe(address, d) }}), nil
	})
	do.Provide(i, func(i do.Injector) (*directory.Follower, error) {
		store := p.Store(s.Store, upstream.NewTransport(storeTransport()))
		return directory.NewFollower(system, do.MustInvoke[*directory.State](i), store, v, s.FirstStart, v.joined), nil
	})
	do.ProvideValue(i, upstream.NewTransport(v.serverTransport()))
	do.Provide(i, func(i do.Injector) (*prober.Prober, error) {
		return prober.New(prober.Options{Clock: system, Figures: p.Dialect, State: do.MustInvoke[*directory.State](i),
			Balancer: do.MustInvoke[*balance.Balancer](i), Servers: do.MustInvoke[*upstream.Transport](i),
			Assigned: v.probes, Tell: do.MustInvoke[*loadshare.Sharer](i).TellFigure}), nil
	})
	do.Provide(i, func(i do.Injector) (*gateway.Gateway, error) {
		return gateway.New(gateway.Options{Clock: system, Dialect: p.Dialect, State: do.MustInvoke[*directory.State](i),
			Balancer: do.MustInvoke[*balance.Balancer](i), Splitter: routing.NewSplitter(float64(seed%1000) / 1000),
			Servers: do.MustInvoke[*upstream.Transport](i), Retries: do.MustInvoke[*retrybudget.Budgets](i),
			Tell: do.MustInvoke[*loadshare.Sharer](i).Tell, Observe: v.observe}), nil
	})
	options := peer.Options{ID: s.VM, Secret: s.Store}
	v.calls, v.pool = peer.NewServer(options), peer.NewPool(options)
	var err error
	if v.gateway, err = do.Invoke[*gateway.Gateway](i); err != nil {
		return nil, err
	}
	v.state, v.sharer = do.MustInvoke[*directory.State](i), do.MustInvoke[*loadshare.Sharer](i)
	v.prober = do.MustInvoke[*prober.Prober](i)
	v.retries, v.follower = do.MustInvoke[*retrybudget.Budgets](i), do.MustInvoke[*directory.Follower](i)
	peer.Handle(v.calls, methodSnapshot, func(_ context.Context, known directory.Known) (directory.Snapshot, error) {
		return v.state.Snapshot(known), nil
	})
	return v, nil
}

// methodSnapshot asks another VM for what it knows beyond this one.
const methodSnapshot = "directory.snapshot"

// Rank implements directory.Peers.
func (v *vm) Rank() int { return v.sharer.ReadRank() }

// Relays implements directory.Peers.
func (v *vm) Relays() bool { return v.sharer.Relays() }

// Near implements directory.Peers.
func (v *vm) Near(address string) bool { return v.sharer.Near(address) }

// Hasten implements directory.Peers.
func (v *vm) Hasten() { v.sharer.Hasten() }

// probes reports whether this VM asks a server for its load.
func (v *vm) probes(s *directory.Server) bool {
	return s.Region == v.settings.Region && v.sharer.Probes(s.ID, s.DataCentre)
}

// Alone implements directory.Peers.
func (v *vm) Alone() bool { return len(v.sharer.LiveInRegion()) == 0 }

// Seeds implements directory.Peers.
func (v *vm) Seeds() []string {
	if live := v.sharer.LiveInRegion(); len(live) > 0 {
		return live[:min(len(live), askedVMs)]
	}
	return v.settings.Seeds
}

// askedVMs is the number of VMs that are asked one after the other for what the store does not tell.
const askedVMs = 3

// Snapshot implements directory.Peers.
func (v *vm) Snapshot(ctx context.Context, address string, known directory.Known) (directory.Snapshot, error) {
	return peer.Call[directory.Snapshot](ctx, v.pool, address, methodSnapshot, known)
}

// joined takes the VMs that the store lists.
func (v *vm) joined(found directory.Batch) {
	var addresses []string
	for _, r := range found.Records {
		if len(r.Value) > 0 {
			addresses = append(addresses, r.Key)
		}
	}
	klog.InfoS("VMs read from the store", "vms", strings.Join(addresses, ","))
	v.sharer.Join(addresses)
}

func (v *vm) run(ctx context.Context) error {
	s := v.settings
	klog.InfoS("entry VM starts", "vm", s.VM, "dataCentre", s.DataCentre, "region", s.Region, "callers", s.Callers, "peer", s.Peer,
		"store", s.Store, "seeds", strings.Join(s.Seeds, ","))
	serving, end := context.WithCancel(context.Background())
	defer end()
	v.sharer.Join(s.Seeds)
	group, serving := errgroup.WithContext(serving)
	group.Go(func() error { return v.gateway.Serve(serving, v.sockets.callers) })
	group.Go(func() error { return v.serveHealth(serving) })
	group.Go(func() error { return v.sharer.Run(serving) })
	group.Go(func() error { v.follower.Run(serving, v.sharer.Address()); return nil })
	group.Go(func() error { v.maintain(serving); return nil })
	group.Go(func() error { v.prober.Run(serving); return nil })
	group.Go(func() error { return v.serveCalls(serving) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			v.stop()
			end()
		case <-serving.Done():
		}
		return nil
	})
	err := group.Wait()
	klog.InfoS("entry VM stopped", "vm", s.VM, "inFlight", v.gateway.InFlight(), "err", err)
	return err
}

func (v *vm) serveCalls(ctx context.Context) error {
	go func() {
		<-ctx.Done()
		if err := v.calls.Close(); err != nil {
			klog.ErrorS(err, "close the listener for other VMs")
		}
		v.pool.Close()
	}()
	return v.calls.Serve(v.sockets.peer)
}
