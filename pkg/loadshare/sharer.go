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
	// maxDatagram is the largest datagram in bytes.
	maxDatagram = 64 << 10
)

var (
	datagramsSent     = metrics.NewCounter(`hornbeamway_loadshare_datagrams_total{direction="sent"}`)
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
	events   chan Event
	// group are the VMs that get every event.
	group atomic.Pointer[[]netip.AddrPort]
	// greet asks for a heartbeat at once, because a VM was heard for the first time.
	greet chan struct{}
	// narrow says that the group is the data centre, not the region.
	narrow atomic.Bool

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
}

// New returns a sharer that knows no other VM.
func New(o Options) *Sharer {
	self := o.Conn.LocalAddr().(*net.UDPAddr).AddrPort()
	s := &Sharer{Options: o, self: netip.AddrPortFrom(self.Addr().Unmap(), self.Port()), start: time.Now().UnixMilli(),
		events: make(chan Event, eventRing), greet: make(chan struct{}, 1), peers: map[netip.AddrPort]*peer{}}
	s.group.Store(&[]netip.AddrPort{})
	return s
}

// Tell sends an event to the VMs of the region. It never blocks.
func (s *Sharer) Tell(e Event) {
	select {
	case s.events <- e:
	default:
		eventsDropped.Inc()
	}
}

// Run sends and receives until ctx ends.
func (s *Sharer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { s.sendEvents(ctx); return nil })
	group.Go(func() error { s.sendHeartbeats(ctx); return nil })
	group.Go(func() error { return s.receive(ctx) })
	group.Go(func() error {
		<-ctx.Done()
		return s.Conn.SetReadDeadline(time.Unix(1, 0))
	})
	return group.Wait()
}

func (s *Sharer) message() message {
	return message{vm: s.VM, dataCentre: s.DataCentre, region: s.Region, start: s.start, sequence: s.sequence.Add(1)}
}

func (s *Sharer) sendEvents(ctx context.Context) {
	var buffer []byte
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-s.events:
			m := s.message()
			m.events = append(m.events, first)
			m.events = s.drainEvents(m.events)
			buffer = m.encode(buffer[:0])
			s.send(buffer, *s.group.Load())
		}
	}
}

// drainEvents takes the events that wait already.
func (s *Sharer) drainEvents(events []Event) []Event {
	for len(events) < maxEvents {
		select {
		case e := <-s.events:
			events = append(events, e)
		default:
			return events
		}
	}
	return events
}

func (s *Sharer) sendHeartbeats(ctx context.Context) {
	var buffer []byte
	for round := 0; ; round++ {
		m := s.message()
		m.heartbeat, m.counts, m.digest = true, s.Balancer.Own(), s.Digest()
		s.mu.Lock()
		now := s.Clock.Now()
		gone := s.expire(now)
		targets := s.heartbeatTargets(round, now, s.Reads())
		narrow := s.regroup()
		m.known = s.sample(round)
		s.mu.Unlock()
		for _, p := range gone {
			klog.InfoS("VM silent", "vm", p.name, "address", p.address, "silence", s.Clock.Now().Sub(p.heard))
			s.Balancer.ReplaceOthers(p.address.String(), nil)
		}
		s.Balancer.Narrow(narrow)
		buffer = m.encode(buffer[:0])
		s.send(buffer, targets)
		select {
		case <-ctx.Done():
			return
		case <-s.Clock.After(heartbeatInterval):
		case <-s.greet:
			s.pause(ctx, greetPause)
		}
	}
}

// pause waits, so that VMs that start together share one heartbeat.
func (s *Sharer) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-s.Clock.After(d):
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
	current := s.note(m, from, now)
	s.mu.Unlock()
	if m.region == s.Region && s.inGroup(m.dataCentre) {
		s.takeEvents(m, from.String(), current, now)
	}
	if !m.heartbeat {
		return
	}
	if m.region == s.Region {
		if current && s.inGroup(m.dataCentre) {
			s.Balancer.ReplaceOthers(from.String(), m.counts)
		}
		s.Observe(from.String(), m.digest)
	}
	s.Join(m.known)
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
			s.Balancer.Learn(e.Key, *e.Figure, now.Add(-e.FigureAge))
		}
	}
}
