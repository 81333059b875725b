package loadshare

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/balance"
	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/directory"
)

const (
	// heartbeatInterval is how often the VMs of the region are told everything.
	heartbeatInterval = 200 * time.Millisecond
	// eventRing bounds the events that wait to be sent. Events above it are dropped; the next heartbeat repeats the counts.
	eventRing = 1024
	// maxEvents bounds the events in one datagram, so that it fits into a packet.
	maxEvents = 24
	// gatherTime is how long figures of probes wait for others, so that they share a datagram.
	gatherTime = 2 * time.Millisecond
	// replyRing bounds the VMs that wait for a first heartbeat of this one. Those above it get the next one.
	replyRing = 1024
	// maxDatagram is the largest datagram in bytes.
	maxDatagram = 64 << 10
)

var (
	datagramsSent     = metrics.NewCounter(`hornbeamway_loadshare_datagrams_total{direction="sent"}`)
	bytesSent         = metrics.NewCounter(`hornbeamway_loadshare_bytes_total{direction="sent"}`)
	datagramsReceived = metrics.NewCounter(`hornbeamway_loadshare_datagrams_total{direction="received"}`)
	datagramsInvalid  = metrics.NewCounter(`hornbeamway_loadshare_datagrams_invalid_total`)
	eventsDropped     = metrics.NewCounter(`hornbeamway_loadshare_events_dropped_total`)
	sendFailures      = metrics.NewCounter(`hornbeamway_loadshare_send_failures_total`)
)

// Options are the parts of a Sharer.
type Options struct {
	Clock clock.Clock
	// VM, DataCentre and Region name the sender and its place.
	VM, DataCentre, Region string
	// Capacity is how much work this VM can take, in the same unit for all VMs. Regions maps data centres to regions.
	Capacity int
	Regions  map[string]string
	// Conn sends and receives datagrams. Its local address is how other VMs know this one.
	Conn     *net.UDPConn
	Balancer *balance.Balancer
	// Digest returns what this VM knows of configuration and servers.
	Digest func() directory.Digest
	// Reads reports whether this VM has just read the store, so that the others must hear of it soon.
	Reads func() bool
	// Observe takes the digest of the VM at an address.
	Observe func(address string, d directory.Digest)
}

// Sharer sends and receives datagrams. It is safe for concurrent use.
type Sharer struct {
	Options
	self     netip.AddrPort
	start    int64
	sequence atomic.Uint64
	// events are sent at once, figures may wait for others.
	events, figures chan Event
	// group are the VMs that get every event.
	group atomic.Pointer[[]netip.AddrPort]
	// replies are VMs that were heard for the first time, and hasten asks for the next heartbeat at once.
	replies chan netip.AddrPort
	hasten  chan struct{}

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
	// narrow says that the group is the data centre, not the region.
	narrow bool
}

// New returns a sharer that knows no other VM.
func New(o Options) *Sharer {
	self := o.Conn.LocalAddr().(*net.UDPAddr).AddrPort()
	s := &Sharer{Options: o, self: netip.AddrPortFrom(self.Addr().Unmap(), self.Port()), start: time.Now().UnixMilli(),
		events: make(chan Event, eventRing), figures: make(chan Event, eventRing), replies: make(chan netip.AddrPort, replyRing),
		hasten: make(chan struct{}, 1), peers: map[netip.AddrPort]*peer{}}
	s.group.Store(&[]netip.AddrPort{})
	return s
}

// Tell sends an event to the VMs of the group. It never blocks.
func (s *Sharer) Tell(e Event) { offer(s.events, e) }

// TellFigure is Tell for a figure that a probe has found. It may wait a few milliseconds for others.
func (s *Sharer) TellFigure(e Event) { offer(s.figures, e) }

func offer(ring chan Event, e Event) {
	select {
	case ring <- e:
	default:
		eventsDropped.Inc()
	}
}

// Hasten sends the next heartbeat at once, because this VM knows something later.
func (s *Sharer) Hasten() {
	select {
	case s.hasten <- struct{}{}:
	default: // One is asked for already.
	}
}

// Run sends and receives until ctx ends.
func (s *Sharer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { s.sendEvents(ctx, s.events, 0); return nil })
	group.Go(func() error { s.sendEvents(ctx, s.figures, gatherTime); return nil })
	group.Go(func() error { s.sendHeartbeats(ctx); return nil })
	group.Go(func() error { return s.receive(ctx) })
	group.Go(func() error {
		<-ctx.Done()
		return s.Conn.SetReadDeadline(time.Unix(1, 0))
	})
	return group.Wait()
}

func (s *Sharer) message() message {
	return message{vm: s.VM, dataCentre: s.DataCentre, region: s.Region, capacity: s.Capacity, start: s.start,
		sequence: s.sequence.Add(1)}
}

// sendEvents sends the events of a ring. gather is how long the first one waits for others.
func (s *Sharer) sendEvents(ctx context.Context, ring chan Event, gather time.Duration) {
	var buffer []byte
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-ring:
			if gather > 0 {
				s.pause(ctx, gather)
			}
			m := s.message()
			m.events = drainEvents(append(m.events, first), ring)
			now := s.Clock.Now()
			for i := range m.events {
				m.events[i].age(now)
			}
			buffer = m.encode(buffer[:0])
			s.send(buffer, *s.group.Load())
		}
	}
}

// drainEvents adds the events that wait already.
func drainEvents(events []Event, ring chan Event) []Event {
	for len(events) < maxEvents {
		select {
		case e := <-ring:
			events = append(events, e)
		default:
			return events
		}
	}
	return events
}

func (s *Sharer) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-s.Clock.After(d):
	}
}

func (s *Sharer) sendHeartbeats(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		m := s.heartbeat()
		s.mu.Lock()
		now := s.Clock.Now()
		gone := s.expire(now)
		left := s.regroup()
		targets := s.heartbeatTargets(round, now, s.Reads())
		m.known = s.sample(round, now)
		s.mu.Unlock()
		for _, p := range gone {
			klog.InfoS("VM silent", "vm", p.name, "address", p.address, "silence", now.Sub(p.lastWord()))
			left = append(left, p.address)
		}
		s.forgetCounts(left)
		s.send(m.encode(nil), targets)
		s.replyUntil(ctx, s.Clock.After(heartbeatInterval))
	}
}

// forgetCounts drops the requests of VMs that no longer tell of them.
func (s *Sharer) forgetCounts(vms []netip.AddrPort) {
	for _, address := range vms {
		s.Balancer.ReplaceOthers(address.String(), nil)
	}
}

// heartbeat returns a message with all that this VM knows but other VMs.
func (s *Sharer) heartbeat() message {
	m := s.message()
	m.heartbeat, m.counts, m.digest = true, s.Balancer.Own(), s.Digest()
	return m
}

// replyUntil answers VMs that were heard for the first time until the next heartbeat is due.
func (s *Sharer) replyUntil(ctx context.Context, due <-chan time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-due:
			return
		case <-s.hasten:
			return
		case address := <-s.replies:
			m := s.heartbeat()
			s.mu.Lock()
			if p, known := s.peers[address]; known {
				m.known = s.nearest(p, s.Clock.Now())
			}
			s.mu.Unlock()
			s.send(m.encode(nil), []netip.AddrPort{address})
		}
	}
}

func (s *Sharer) send(datagram []byte, targets []netip.AddrPort) {
	for _, address := range targets {
		if _, err := s.Conn.WriteToUDPAddrPort(datagram, address); err != nil {
			// A datagram that cannot be sent is like one that is lost: the next heartbeat repeats what counts.
			sendFailures.Inc()
			continue
		}
		datagramsSent.Inc()
		bytesSent.Add(len(datagram))
	}
}

func (s *Sharer) receive(ctx context.Context) error {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := s.Conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return errors.Wrap(err, "receive datagrams")
			}
			// An ICMP error of a VM that has ended is reported on this socket and concerns no other VM.
			sendFailures.Inc()
			continue
		}
		datagramsReceived.Inc()
		m, err := decode(buffer[:n])
		if err != nil {
			datagramsInvalid.Inc()
			klog.InfoS("datagram dropped", "from", from, "err", err)
			continue
		}
		s.take(m, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

// take applies a datagram of another VM.
func (s *Sharer) take(m *message, from netip.AddrPort) {
	now := s.Clock.Now()
	s.mu.Lock()
	current, first := s.note(m, from, now)
	p := s.peers[from]
	grouped := p != nil && s.inGroup(p)
	s.learn(m.known, m.vm, now)
	var left []netip.AddrPort
	if first {
		left = s.regroup()
	}
	s.mu.Unlock()
	s.forgetCounts(left)
	if first {
		select {
		case s.replies <- from:
		default: // The next heartbeat tells it.
		}
	}
	if grouped {
		s.takeEvents(m, from.String(), current, now)
	}
	if !m.heartbeat || m.region != s.Region {
		return
	}
	if current && grouped {
		s.Balancer.ReplaceOthers(from.String(), m.counts)
	}
	s.Observe(from.String(), m.digest)
}

func (s *Sharer) takeEvents(m *message, from string, current bool, now time.Time) {
	for _, e := range m.events {
		if current {
			s.Balancer.SetOthers(from, e.Key, e.Count)
		}
		if e.Outcome != nil {
			s.Balancer.LearnOutcome(e.Key, *e.Outcome, now)
		}
		if e.Figure != nil {
			s.Balancer.Learn(e.Key, *e.Figure, now.Add(-e.figureAge))
		}
	}
}
