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

	// inboundLimit bounds the received heartbeats that wait to be merged; excess ones are dropped, which has the effect of
	// a lost message.
	inboundLimit = 256
	// sendLimit bounds the heartbeats being sent; excess ones are dropped.
	sendLimit = 64
	// syncLimit bounds the table comparisons that wait; excess ones are refused.
	syncLimit = 16
	// sendTimeout bounds the sending of one heartbeat, including the connection setup.
	sendTimeout = 1500 * time.Millisecond
	// freshnessLimit is the time since the last tick up to which Fresh assumes that this process was not paused.
	freshnessLimit = 3 * time.Second
)

// Sender sends messages to peers; peer.Pool implements it.
type Sender interface {
	Notify(ctx context.Context, address, method string, params any) error
	Call(ctx context.Context, address, method string, params, result any) error
}

// Options configure a service. Self, Sender and Clock are required.
type Options struct {
	// Self describes this VM. NewService sets Incarnation and Start if they are zero.
	Self   Member
	Sender Sender
	Clock  clock.Clock
	// List is polled every second. If nil, only Seeds are used.
	List vmlist.List
	// Seeds are peer addresses used in addition to the list.
	Seeds []string
	// Status returns the values of other packages for the next heartbeat; nil leaves them zero. It must not block.
	Status func() HeartbeatStatus
	// OnHeartbeat, if not nil, is called with each heartbeat of a known peer. It must not block.
	OnHeartbeat func(from Member, status HeartbeatStatus)
	// Elapsed returns the time since an arbitrary fixed point, including time in which the machine was suspended. Default:
	// the kernel's boot-time clock.
	Elapsed func() time.Duration
	// Seed seeds the random choice of receivers; 0 selects a random seed.
	Seed uint64
}

// Service runs the member table and its message exchange. It implements View.
type Service struct {
	options      Options
	rng          *rand.Rand
	inbound      chan Heartbeat
	failedSends  chan string
	checkResults chan bool
	lists        chan []vmlist.VM
	// listReadAt is the time at which the last successful read of the VM list began.
	listReadAt     atomic.Pointer[time.Time]
	syncRequests   chan syncRequest
	syncResults    chan []MemberEntry
	leaveRequested chan struct{}
	sendSlots      chan struct{}

	current      atomic.Pointer[snapshot]
	lastTick     atomic.Int64 // Options.Elapsed in nanoseconds
	checkPending atomic.Bool
	superseded   atomic.Bool

	memberChanges, serverChanges broadcast
	leaveOnce                    sync.Once
	background                   sync.WaitGroup
}

// NewService returns a service that is not yet running. Register adds its handlers to a peer server; Run starts it.
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
		failedSends: make(chan string, sendLimit), checkResults: make(chan bool, 1), lists: make(chan []vmlist.VM, 1),
		syncRequests: make(chan syncRequest, syncLimit), syncResults: make(chan []MemberEntry, syncLimit),
		leaveRequested: make(chan struct{}), sendSlots: make(chan struct{}, sendLimit)}
	s.current.Store(newSnapshot(o.Self, []Member{o.Self}, nil))
	s.lastTick.Store(int64(o.Elapsed()))
	return s
}

// bootTime reads the kernel's boot-time clock, which also advances while the machine is suspended.
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
	peer.Handle(server, methodCheck, func(_ context.Context, c checkRequest) (checkResponse, error) {
		return s.handleCheck(c), nil
	})
	peer.Handle(server, methodSync, s.handleSync)
}

// Deliver queues a received heartbeat for merging. It returns ErrOverloaded if it drops the heartbeat.
func (s *Service) Deliver(h Heartbeat) error {
	select {
	case s.inbound <- h:
		return nil
	default:
		return ErrOverloaded
	}
}

// ErrOverloaded reports that a heartbeat was dropped or a table comparison refused because too many are waiting.
var ErrOverloaded = errors.New("too many heartbeats waiting")

// Leave announces to the peers that this VM is leaving. It does not block.
func (s *Service) Leave() { s.leaveOnce.Do(func() { close(s.leaveRequested) }) }

// Run sends and merges heartbeats until ctx ends. It returns after all its goroutines have ended.
func (s *Service) Run(ctx context.Context) {
	defer s.background.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if s.options.List != nil {
		s.background.Add(1)
		go s.pollList(ctx)
	}
	l := &loop{Service: s, table: NewTable(s.options.Self, s.options.Clock.Now()), leaving: s.leaveRequested}
	l.applyList(nil)
	l.run(ctx)
}

// loop is the state of the goroutine that owns the table.
type loop struct {
	*Service
	table   *Table
	leaving <-chan struct{} // Service.leaveRequested; nil once handled
}

func (l *loop) run(ctx context.Context) {
	// The first tick is at a random time, so that VMs that start together do not send together.
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
		case id := <-l.failedSends:
			l.table.SendFailed(l.options.Clock.Now(), id)
		case request := <-l.syncRequests:
			request.reply <- difference{l.table.Difference(request.summary)}
		case entries := <-l.syncResults:
			l.table.Merge(l.options.Clock.Now(), entries)
		case current := <-l.checkResults:
			l.finishCheck(current)
		case vms := <-l.lists:
			l.applyList(vms)
		case <-l.leaving:
			l.leaving = nil
			l.table.Leave()
		}
		l.publish()
	}
}

// receive merges a heartbeat and passes its status to OnHeartbeat if the sender is known.
func (l *loop) receive(h *Heartbeat) {
	if !l.table.Receive(l.options.Clock.Now(), h) || l.options.OnHeartbeat == nil {
		return
	}
	l.options.OnHeartbeat(l.table.records[h.ID].member(), h.status())
}

// tick detects a pause of this process, starts a check if one is pending and sends the heartbeats that are due.
func (l *loop) tick(ctx context.Context) {
	if l.options.Status != nil {
		l.table.SetStatus(l.options.Status())
	}
	elapsed := l.options.Elapsed()
	suspended := time.Duration(elapsed-time.Duration(l.lastTick.Load())) > pauseThreshold
	messages, paused := l.table.Tick(l.options.Clock.Now(), l.rng)
	if paused || suspended {
		klog.InfoS("process was paused; checking its state with a peer", "gap", elapsed-time.Duration(l.lastTick.Load()))
		l.checkPending.Store(true)
	}
	l.lastTick.Store(int64(elapsed))
	if l.checkPending.Load() {
		l.startCheck(ctx)
	}
	for _, m := range messages {
		l.send(ctx, m)
	}
}

// send sends one heartbeat in its own goroutine, because connecting may take until the timeout. It drops the heartbeat if
// sendLimit heartbeats are being sent.
func (l *loop) send(ctx context.Context, m Message) {
	select {
	case l.sendSlots <- struct{}{}:
	default:
		return
	}
	var summary Summary
	if m.Sync {
		summary = l.table.Summary()
	}
	l.background.Add(1)
	go func() {
		defer l.background.Done()
		defer func() { <-l.sendSlots }()
		ctx, cancel := context.WithTimeout(ctx, sendTimeout)
		defer cancel()
		err := l.options.Sender.Notify(ctx, m.Address, methodHeartbeat, m.Heartbeat)
		if errors.Is(err, peer.ErrLost) { // the peer had closed the connection; a heartbeat may be sent twice
			err = l.options.Sender.Notify(ctx, m.Address, methodHeartbeat, m.Heartbeat)
		}
		if err == nil {
			if m.Sync {
				l.requestSync(ctx, m.Address, summary)
			}
			return
		}
		klog.V(3).InfoS("failed to send a heartbeat", "peer", m.ID, "address", m.Address, "err", err)
		select {
		case l.failedSends <- m.ID:
		default:
		}
	}()
}

// publish replaces the snapshot and notifies subscribers if the table changed.
func (l *loop) publish() {
	if !l.table.Changed() {
		return
	}
	l.superseded.Store(l.table.Superseded())
	previous := l.current.Load()
	l.current.Store(newSnapshot(l.table.self.member(), l.table.Members(), previous.listed))
	l.memberChanges.notify()
}
