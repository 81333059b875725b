package proxy_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/config"
	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
	"github.com/hornbeamway/hornbeamway/pkg/operation"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
	"github.com/hornbeamway/hornbeamway/pkg/proxy"
	"github.com/hornbeamway/hornbeamway/pkg/unit"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

func TestProxy(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "proxy")
}

const (
	testPeerKey = "0123456789abcdef"
	testService = "catalogue"
)

// testContent has an idempotent route, a hedged one, one for large bodies and one for operations.
const testContent = `{"name":"ordinary","vetoPeriod":"1s","entryVMs":2,"operationMemory":"5m",
"services":[{"name":"catalogue","slots":3,"connectionLimit":240,"connectCost":"1ms","probeCost":"5ms"}],
"routes":[
 {"path":"/view","service":"catalogue","class":"interactive","idempotent":true,"timeout":"5s","maxBody":"1MiB"},
 {"path":"/hedged","methods":["GET"],"service":"catalogue","class":"interactive","idempotent":true,"timeout":"5s","maxBody":"1MiB","hedge":true},
 {"path":"/large","service":"catalogue","class":"bulk","idempotent":true,"timeout":"20s","maxBody":"64MiB"},
 {"path":"/orders","service":"catalogue","class":"transactional","idempotent":false,"timeout":"5s","maxBody":"1MiB"}],
"shares":{"interactive":0.5,"transactional":0.3,"bulk":0.1},
"link":{"capacity":"30Mbit/s","shares":{"interactive":0.5,"transactional":0.3,"bulk":0.1}}}`

// fixedConfiguration always returns the same preset as the one in force; nil: none is in force.
type fixedConfiguration struct{ effective *preset.Effective }

func (f fixedConfiguration) InForce() *preset.Effective { return f.effective }
func (f fixedConfiguration) Reason() preset.Reason      { return preset.ReasonNotStarted }

// fakePools hands out the servers in order and records the results of their slots.
type fakePools struct {
	mu      sync.Mutex
	servers []string
	p95     time.Duration
	err     error
	// errAfter is the number of slots that are handed out before Acquire returns err.
	errAfter  int
	results   []dispatch.ResultClass
	openSlots int
}

type fakeSlot struct {
	pools  *fakePools
	server dispatch.Server
	once   sync.Once
}

func (s *fakeSlot) Server() dispatch.Server { return s.server }

func (s *fakeSlot) Release(r dispatch.Result) {
	s.once.Do(func() {
		s.pools.mu.Lock()
		defer s.pools.mu.Unlock()
		s.pools.results = append(s.pools.results, r.Class)
		s.pools.openSlots--
	})
}

func (f *fakePools) Acquire(_ context.Context, r dispatch.Request) (dispatch.Slot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil && f.errAfter == 0 {
		return nil, f.err
	}
	f.errAfter = max(0, f.errAfter-1)
	address := f.servers[0]
	for _, a := range f.servers {
		if !slices.Contains(r.Exclude, a) {
			address = a
			break
		}
	}
	f.openSlots++
	return &fakeSlot{pools: f, server: dispatch.Server{ID: address, Address: address}}, nil
}

func (f *fakePools) Load(dispatch.PoolKey) (dispatch.PoolLoad, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := dispatch.PoolLoad{Healthy: true}
	for c := range l.P95 {
		l.P95[c], l.ExpectedWait[c] = f.p95, 7*time.Millisecond
	}
	return l, f.p95 > 0
}

// resultsWhenIdle returns the recorded results, or nil while a slot is held.
func (f *fakePools) resultsWhenIdle() []dispatch.ResultClass {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.openSlots > 0 {
		return nil
	}
	return slices.Clone(f.results)
}

// fakePlacement returns fixed targets and records the calls of RecordLoad and Suspect.
type fakePlacement struct {
	targets        []proxy.Target
	mu             sync.Mutex
	suspects       []string
	recordedWait   time.Duration
	serversUnknown bool
}

func (f *fakePlacement) Targets(string, priority.Class) []proxy.Target { return f.targets }

func (f *fakePlacement) ServersKnown() bool { return !f.serversUnknown }

func (f *fakePlacement) RecordLoad(_ dispatch.PoolKey, load dispatch.PoolLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordedWait = load.ExpectedWait[priority.Interactive]
}

func (f *fakePlacement) Suspect(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspects = append(f.suspects, vm)
}

// vm is one entry VM under test.
type vm struct {
	*proxy.Proxy
	name             string
	callers, forward string
	pools            *fakePools
	ownerRegions     map[string]string // regions of the owners of keys, by VM ID
	placement        *fakePlacement
	operations       *operation.Coordinator
	stop             func()
}

var testPool = dispatch.PoolKey{Service: testService, DataCentre: "dc1"}

var localTarget = proxy.Target{Pool: testPool, DispatcherID: "self", Local: true}

func listen(tb testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	return l
}

// newVM starts an entry VM whose pool has the given servers. change modifies its options before the start.
func newVM(tb testing.TB, id string, servers []string, change func(*proxy.Options)) *vm {
	content, err := preset.ParseContent([]byte(testContent))
	if err != nil {
		tb.Fatal(err)
	}
	callers, forward := listen(tb), listen(tb)
	v := &vm{name: id, callers: callers.Addr().String(), forward: forward.Addr().String(),
		ownerRegions: map[string]string{}}
	v.pools = &fakePools{servers: servers}
	v.placement = &fakePlacement{targets: []proxy.Target{localTarget}}
	self := operation.Self{VM: id, Incarnation: 1, Forward: netip.MustParseAddrPort(v.forward)}
	v.operations = operation.NewCoordinator(operation.Options{
		Clock: clock.System{}, Codec: operation.NewCodec(testPeerKey), Self: self,
		Ledger: operation.NewLedger(time.Now()), Ranges: operation.SingleVM{Self: self},
		RegionOf: func(vm string) string { return v.ownerRegions[vm] },
	})
	options := proxy.Options{
		Clock: clock.System{}, PeerKey: testPeerKey, Region: "west",
		Limits: config.Limits{HeaderSize: 8 << 10, Connections: 100, ConnectionsPerCaller: 100,
			HeaderTimeout: unit.Duration(time.Second), BodyIdleTimeout: unit.Duration(time.Second)},
		Configuration: fixedConfiguration{&preset.Effective{Version: 1, Content: content}},
		Pools:         v.pools, Placement: v.placement, Operations: v.operations,
		Backends: upstream.NewTransport(upstream.Options{}), Forward: upstream.NewTransport(upstream.Options{}),
	}
	if change != nil {
		change(&options)
	}
	v.Proxy = proxy.New(options)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = v.Serve(ctx, callers, forward) }()
	v.stop = sync.OnceFunc(func() {
		stopCtx, cancelStop := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancelStop()
		_ = v.Shutdown(stopCtx)
		cancel()
		_ = callers.Close()
		_ = forward.Close()
	})
	tb.Cleanup(v.stop)
	return v
}

func (v *vm) url(path string) string { return fmt.Sprintf("http://%s%s", v.callers, path) }
