package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/peer"
	"github.com/hornbeamway/hornbeamway/pkg/vmlist"
)

const (
	methodHeartbeat = "membership.heartbeat"
	methodCheck     = "membership.check"
	methodSync      = "membership.sync"

	// inboundLimit bounds heartbeats waiting to be merged; more are dropped, as if lost.
	inboundLimit = 256
	// sendLimit bounds heartbeats being sent; more are dropped.
	sendLimit = 64
	// syncLimit bounds table comparisons waiting; more are refused.
	syncLimit = 16
	// sendTimeout bounds one heartbeat including the connection setup.
	sendTimeout = 1500 * time.Millisecond
	// freshFor is how long the state counts as fresh after the last tick of this process.
	freshFor = 3 * time.Second
)

// Sender sends messages to peers; peer.Pool implements it.
type Sender interface {
	Notify(ctx context.Context, address, method string, params any) error
	Call(ctx context.Context, address, method string, params, result any) error
}

// Options configure a service. Self, Sender and Clock are required.
type Options struct {
	// Self describes this VM. The service sets Incarnation and Start if they are zero.
	Self   Member
	Sender Sender
	Clock  clock.Clock
	// List is polled every second; nil: only Seeds are used.
	List vmlist.List
	// Seeds are peer addresses used besides the list.
	Seeds []string
	// Vitals returns what the next heartbeat carries; nil: nothing. It must not block.
	Vitals func() Vitals
	// OnHeartbeat is called with each heartbeat of a known peer; nil: not used. It must not block.
	OnHeartbeat func(from Member, v Vitals)
	// Elapsed returns the time since any fixed point including time in which the machine was suspended. Default: the
	// kernel's boot clock.
	Elapsed func() time.Duration
	// Seed seeds the choice of receivers; 0: random.
	Seed uint64
}

// Service runs the member table. It implements View.
type Service struct {
	options Options
	rng     *rand.Rand
	inbound chan Heartbeat
	failed  chan string
	checked chan bool
	listed  chan []vmlist.VM
	// listRead is the time before the last successful read of the VM list.
	listRead atomic.Pointer[time.Time]
	syncs    chan syncRequest
	synced   chan []MemberEntry
	leave    chan struct{}
	sending  chan struct{}

	current    atomic.Pointer[snapshot]
	lastTick   atomic.Int64 // Options.Elapsed in nanoseconds
	mustCheck  atomic.Bool
	superseded atomic.Bool

	members, servers broadcast
	leaveOnce        sync.Once
	running          sync.WaitGroup
}

// NewService returns a service that is not running. Register it with a server and call Run.
func NewService(o Options) *Service {
	if o.Self.Incarnation == 0 {
		o.Self.Incarnation = rand.Uint64()
	}
	if o.Self.Start.IsZero() {
		o.Self.Start = o.Clock.Now()
	}
	if o.Elapsed == nil {
		o.Elapsed = bootTime
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	s := &Service{options: o, rng: rand.New(rand.NewPCG(o.Seed, 0)), inbound: make(chan Heartbeat, inboundLimit),
		failed: make(chan string, sendLimit), checked: make(chan bool, 1), listed: make(chan []vmlist.VM, 1),
		syncs: make(chan syncRequest, syncLimit), synced: make(chan []MemberEntry, syncLimit),
		leave: make(chan struct{}), sending: make(chan struct{}, sendLimit)}
	s.current.Store(newSnapshot(o.Self, []Member{o.Self}, nil))
	s.lastTick.Store(int64(o.Elapsed()))
	return s
}

// bootTime reads the clock that goes on while the machine is suspended.
func bootTime() time.Duration {
	var ts unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return time.Duration(ts.Nano())
}

// Register adds the handlers to a peer server.
func (s *Service) Register(server *peer.Server) {
	peer.Handle(server, methodHeartbeat, func(_ context.Context, h Heartbeat) (struct{}, error) {
		return struct{}{}, s.Deliver(h)
	})
	peer.Handle(server, methodCheck, func(_ context.Context, c check) (checkAnswer, error) {
		return s.answerCheck(c), nil
	})
	peer.Handle(server, methodSync, s.answerSync)
}

// Deliver hands in a received heartbeat. Error: ErrOverloaded, the heartbeat is dropped.
func (s *Service) Deliver(h Heartbeat) error {
	select {
	case s.inbound <- h:
		return nil
	default:
		return ErrOverloaded
	}
}

// ErrOverloaded reports that a heartbeat was dropped because too many are waiting.
var ErrOverloaded = errors.New("too many heartbeats waiting")

// Leave announces that this VM is leaving. It returns at once.
func (s *Service) Leave() { s.leaveOnce.Do(func() { close(s.leave) }) }

// Run sends and merges heartbeats until ctx ends.
func (s *Service) Run(ctx context.Context) {
	defer s.running.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if s.options.List != nil {
		s.running.Add(1)
		go s.pollList(ctx)
	}
	l := &loop{Service: s, table: NewTable(s.options.Self, s.options.Clock.Now()), leaving: s.leave}
	l.useList(nil)
	l.run(ctx)
}

// loop is the state of the goroutine that owns the table.
type loop struct {
	*Service
	table   *Table
	leaving <-chan struct{} // nil once handled
}

func (l *loop) run(ctx context.Context) {
	// The first tick comes at a random time, so that VMs started together do not send together.
	tick := l.options.Clock.After(time.Duration(l.rng.Int64N(int64(Interval))))
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick:
			tick = l.options.Clock.After(Interval)
			l.tick(ctx)
		case h := <-l.inbound:
			l.receive(&h)
		case id := <-l.failed:
			l.table.SendFailed(l.options.Clock.Now(), id)
		case r := <-l.syncs:
			r.answer <- difference{l.table.Difference(r.summary)}
		case entries := <-l.synced:
			l.table.Merge(l.options.Clock.Now(), entries)
		case ok := <-l.checked:
			l.finishCheck(ok)
		case vms := <-l.listed:
			l.useList(vms)
		case <-l.leaving:
			l.leaving = nil
			l.table.Leave()
		}
		l.publish()
	}
}

func (l *loop) receive(h *Heartbeat) {
	if !l.table.Receive(l.options.Clock.Now(), h) || l.options.OnHeartbeat == nil {
		return
	}
	l.options.OnHeartbeat(l.table.records[h.ID].member(), h.vitals())
}

func (l *loop) tick(ctx context.Context) {
	if l.options.Vitals != nil {
		l.table.SetVitals(l.options.Vitals())
	}
	elapsed := l.options.Elapsed()
	suspended := time.Duration(elapsed-time.Duration(l.lastTick.Load())) > pauseAfter
	messages, paused := l.table.Tick(l.options.Clock.Now(), l.rng)
	if paused || suspended {
		klog.InfoS("process was paused", "gap", elapsed-time.Duration(l.lastTick.Load()))
		l.mustCheck.Store(true)
	}
	l.lastTick.Store(int64(elapsed))
	if l.mustCheck.Load() {
		l.startCheck(ctx)
	}
	for _, m := range messages {
		l.send(ctx, m)
	}
}

// send delivers one heartbeat on its own goroutine, because connecting may take until the timeout.
func (l *loop) send(ctx context.Context, m Message) {
	select {
	case l.sending <- struct{}{}:
	default:
		return
	}
	var summary Summary
	if m.Sync {
		summary = l.table.Summary()
	}
	l.running.Add(1)
	go func() {
		defer l.running.Done()
		defer func() { <-l.sending }()
		ctx, cancel := context.WithTimeout(ctx, sendTimeout)
		defer cancel()
		err := l.options.Sender.Notify(ctx, m.Address, methodHeartbeat, m.Heartbeat)
		if errors.Is(err, peer.ErrLost) { // the connection had been closed by the peer; heartbeats may be repeated
			err = l.options.Sender.Notify(ctx, m.Address, methodHeartbeat, m.Heartbeat)
		}
		if err == nil {
			if m.Sync {
				l.sync(ctx, m.Address, summary)
			}
			return
		}
		klog.V(3).InfoS("heartbeat not sent", "peer", m.ID, "address", m.Address, "err", err)
		select {
		case l.failed <- m.ID:
		default:
		}
	}()
}

func (l *loop) publish() {
	if !l.table.Changed() {
		return
	}
	l.superseded.Store(l.table.Superseded())
	old := l.current.Load()
	l.current.Store(newSnapshot(l.table.self.member(), l.table.Members(), old.listed))
	l.members.notify()
}
