package loadshare

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/balance"
	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/directory"
)

const (
	// heartbeatInterval is the time between two heartbeat rounds.
	heartbeatInterval = 200 * time.Millisecond
	// eventQueueSize bounds the events that wait to be sent. Further events are dropped; the next heartbeat repeats the counts.
	eventQueueSize = 1024
	// maxEventsPerDatagram bounds the events in one datagram, so that it fits into a packet.
	maxEventsPerDatagram = 24
	// reportBatchDelay is how long the load report of a probe waits for further ones, so that they share a datagram.
	reportBatchDelay = 2 * time.Millisecond
	// replyQueueSize bounds the VMs that wait for the first heartbeat of this one. Further VMs get the next regular heartbeat.
	replyQueueSize = 1024
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

// Options holds the settings and the dependencies of a Sharer.
type Options struct {
	Clock clock.Clock
	// VM is the name of this VM; DataCentre and Region are its location.
	VM, DataCentre, Region string
	// Capacity is how much work this VM can handle, in a unit that all VMs share. Regions maps data centres to regions.
	Capacity int
	Regions  map[string]string
	// Conn sends and receives datagrams. Its local address identifies this VM to other VMs.
	Conn     *net.UDPConn
	Balancer *balance.Balancer
	// Digest returns the versions and the age of this VM's configuration and servers.
	Digest func() directory.Digest
	// ReadsStore reports whether this VM has read the store recently, so that the other VMs need its digest soon.
	ReadsStore func() bool
	// ObserveDigest processes the digest of the VM at an address.
	ObserveDigest func(address string, d directory.Digest)
}

// Sharer shares counts and load reports with other VMs by datagrams. It is safe for concurrent use.
type Sharer struct {
	Options
	self     netip.AddrPort
	start    int64
	sequence atomic.Uint64
	// events are sent immediately; reports are sent after reportBatchDelay, together with further ones.
	events, reports chan Event
	// group holds the addresses of the VMs that get every event.
	group atomic.Pointer[[]netip.AddrPort]
	// aggregator holds the VMs that subscribe to summaries of this one.
	aggregator *aggregator
	// replyTargets queues VMs from which a first datagram has arrived. heartbeatNow triggers the next heartbeat immediately.
	replyTargets chan netip.AddrPort
	heartbeatNow chan struct{}

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
	// aggregated means that VMs share their counts through aggregators of their data centre, not directly in the whole region.
	aggregated bool
	// aggregators are those of this data centre, in rendezvous order; isAggregator is true if this VM is one of them.
	aggregators  []netip.AddrPort
	isAggregator bool
	subscription subscription
	// sourceKnown is the number of VMs that the aggregator of this VM knows.
	sourceKnown int
}

// New returns a sharer without peers.
func New(o Options) *Sharer {
	self := o.Conn.LocalAddr().(*net.UDPAddr).AddrPort()
	s := &Sharer{Options: o, self: netip.AddrPortFrom(self.Addr().Unmap(), self.Port()), start: time.Now().UnixMilli(),
		events: make(chan Event, eventQueueSize), reports: make(chan Event, eventQueueSize),
		replyTargets: make(chan netip.AddrPort, replyQueueSize), aggregator: newAggregator(),
		heartbeatNow: make(chan struct{}, 1), peers: map[netip.AddrPort]*peer{}}
	s.group.Store(&[]netip.AddrPort{})
	return s
}

// Publish sends an event to the VMs of the group. It never blocks.
func (s *Sharer) Publish(e Event) { enqueue(s.events, e) }

// PublishLoadReport sends what a probe has obtained, a load report or the statement that the server is leaving, to the VMs of the
// group. The event may wait for reportBatchDelay, so that several share a datagram. PublishLoadReport never blocks.
func (s *Sharer) PublishLoadReport(e Event) { enqueue(s.reports, e) }

func enqueue(queue chan Event, e Event) {
	select {
	case queue <- e:
	default:
		eventsDropped.Inc()
	}
}

// SendHeartbeatNow triggers the next heartbeat immediately, because this VM has a newer configuration or newer servers.
func (s *Sharer) SendHeartbeatNow() {
	select {
	case s.heartbeatNow <- struct{}{}:
	default: // A heartbeat is already requested.
	}
}

// Run sends and receives until ctx ends.
func (s *Sharer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { s.sendEvents(ctx, s.events, 0); return nil })
	group.Go(func() error { s.sendEvents(ctx, s.reports, reportBatchDelay); return nil })
	group.Go(func() error { s.sendHeartbeats(ctx); return nil })
	group.Go(func() error { s.sendSummaries(ctx); return nil })
	group.Go(func() error { return s.receive(ctx) })
	group.Go(func() error {
		<-ctx.Done()
		return s.Conn.SetReadDeadline(time.Unix(1, 0))
	})
	return group.Wait()
}

func (s *Sharer) newMessage() message {
	return message{vm: s.VM, dataCentre: s.DataCentre, region: s.Region, capacity: s.Capacity, start: s.start,
		sequence: s.sequence.Add(1)}
}

// sendEvents sends the events of a queue. The first event of a datagram waits for batchDelay, so that others can join it.
func (s *Sharer) sendEvents(ctx context.Context, queue chan Event, batchDelay time.Duration) {
	var buffer []byte
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-queue:
			if batchDelay > 0 {
				s.sleep(ctx, batchDelay)
			}
			m := s.newMessage()
			m.events = drainEvents(append(m.events, first), queue)
			s.aggregator.add(s.self, m.events)
			setReportAges(m.events, s.Clock.Now())
			buffer = m.encode(buffer[:0])
			s.send(buffer, *s.group.Load())
		}
	}
}

// drainEvents appends the queued events, up to maxEventsPerDatagram in total.
func drainEvents(events []Event, queue chan Event) []Event {
	for len(events) < maxEventsPerDatagram {
		select {
		case e := <-queue:
			events = append(events, e)
		default:
			return events
		}
	}
	return events
}

func (s *Sharer) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-s.Clock.After(d):
	}
}

func setReportAges(events []Event, now time.Time) {
	for i := range events {
		events[i].setReportAge(now)
	}
}

func (s *Sharer) sendHeartbeats(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		m := s.newHeartbeat()
		s.mu.Lock()
		now := s.Clock.Now()
		unreachable := s.expirePeers(now)
		removed := s.updateGroup(now)
		targets := s.heartbeatTargets(round, now, s.ReadsStore())
		source := s.subscription.source
		m.known, m.contacts = len(s.peers)+1, s.randomContacts(round, now)
		s.mu.Unlock()
		for _, p := range unreachable {
			klog.InfoS("VM became unreachable", "vm", p.name, "address", p.address, "silence", now.Sub(p.lastSeen()))
		}
		s.removeCounts(removed)
		s.send(m.encode(nil), targets)
		if source.IsValid() {
			m.subscribe = true
			s.send(m.encode(nil), []netip.AddrPort{source})
		}
		s.sendRepliesUntil(ctx, s.Clock.After(heartbeatInterval))
	}
}

// removeCounts removes the in-flight requests of VMs that no longer report them.
func (s *Sharer) removeCounts(vms []netip.AddrPort) {
	for _, address := range vms {
		s.Balancer.ReplacePeerInFlight(address.String(), nil)
	}
}

// newHeartbeat returns a heartbeat with the counts and the digest of this VM, but without contacts.
func (s *Sharer) newHeartbeat() message {
	m := s.newMessage()
	m.kind, m.complete, m.counts, m.digest = kindHeartbeat, true, s.Balancer.OwnInFlight(), s.Digest()
	return m
}

// sendRepliesUntil replies to VMs from which a first datagram has arrived, until the next heartbeat is due or triggered.
func (s *Sharer) sendRepliesUntil(ctx context.Context, due <-chan time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-due:
			return
		case <-s.heartbeatNow:
			return
		case address := <-s.replyTargets:
			m := s.newHeartbeat()
			s.mu.Lock()
			m.known = len(s.peers) + 1
			if p, ok := s.peers[address]; ok {
				m.contacts = s.nearestContacts(p, s.Clock.Now())
			}
			s.mu.Unlock()
			s.send(m.encode(nil), []netip.AddrPort{address})
		}
	}
}

func (s *Sharer) send(datagram []byte, targets []netip.AddrPort) {
	for _, address := range targets {
		if _, err := s.Conn.WriteToUDPAddrPort(datagram, address); err != nil {
			// A failed send is handled like a lost datagram: the next heartbeat repeats the counts.
			sendFailures.Inc()
			continue
		}
		datagramsSent.Inc()
		bytesSent.Add(len(datagram))
	}
}
