package loadshare

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hornbeamway/hornbeamway/pkg/balance"
)

const (
	// minSummarySpacing is the shortest time between two summaries to a subscriber. The begin or end of a request is sent at once
	// if the last summary is older: VMs that learn of a taken slot late send requests to servers that are full.
	minSummarySpacing = 2 * time.Millisecond
	// maxSummariesPerSecond bounds the summaries that one aggregator sends. With more subscribers the spacing is longer.
	maxSummariesPerSecond = 4000
	// reportDelay is how long the load report of a probe waits for the begin or end of a request, to share its summary.
	reportDelay = 20 * time.Millisecond
	// summaryKeepAlive is the longest time without a summary to a subscriber. It must be well below summaryTimeout.
	summaryKeepAlive = 100 * time.Millisecond
	// completeSummaryInterval is the time between two summaries with the counts of all servers, which repair lost datagrams.
	completeSummaryInterval = time.Second
	// subscriptionTimeout is the time after its last heartbeat for which a subscriber gets summaries.
	subscriptionTimeout = 700 * time.Millisecond
	// maxPendingEvents bounds the events that wait for the next summary. Complete summaries make up for dropped ones.
	maxPendingEvents = 4096
)

// aggregator collects the events of the VMs of a data centre and prepares the summaries for its subscribers. It is safe for
// concurrent use.
type aggregator struct {
	mu          sync.Mutex
	subscribers map[netip.AddrPort]*subscriber
	pending     []pendingEvent
	// wake is signalled when the first subscriber arrives, or the begin or end of a request.
	wake chan struct{}
}

// subscriber is a VM that gets summaries.
type subscriber struct {
	// lastHeartbeat is the time of its last subscription; summaryAt and completeAt are when the last summary and the last complete
	// one were due. Zero: none yet.
	lastHeartbeat, summaryAt, completeAt time.Time
	// completed is the number of complete summaries so far.
	completed int
}

// pendingEvent is an event that the next summaries carry, and the VM that reported it.
type pendingEvent struct {
	origin netip.AddrPort
	event  Event
}

// summary is the content of the next summary for one subscriber.
type summary struct {
	subscriber netip.AddrPort
	// complete means that the counts of all servers are sent, not only those of the servers in events.
	complete bool
	// round numbers the complete summaries of a subscriber.
	round  int
	events []Event
}

func newAggregator() *aggregator {
	return &aggregator{subscribers: map[netip.AddrPort]*subscriber{}, wake: make(chan struct{}, 1)}
}

// subscribe adds or renews the subscription of a VM.
func (a *aggregator) subscribe(vm netip.AddrPort, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	existing, ok := a.subscribers[vm]
	if ok {
		existing.lastHeartbeat = now
		return
	}
	a.subscribers[vm] = &subscriber{lastHeartbeat: now}
	a.signal()
}

// signal wakes the sender of summaries.
func (a *aggregator) signal() {
	select {
	case a.wake <- struct{}{}:
	default: // The sender is already awake.
	}
}

// active reports whether any VM is subscribed.
func (a *aggregator) active() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.subscribers) > 0
}

// add queues events of a VM for the next summaries. Without subscribers it drops them.
func (a *aggregator) add(origin netip.AddrPort, events []Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.subscribers) == 0 {
		return
	}
	for _, e := range events {
		if len(a.pending) >= maxPendingEvents {
			eventsDropped.Inc()
			continue
		}
		a.pending = append(a.pending, pendingEvent{origin, e})
		if !e.probeReport() {
			a.signal()
		}
	}
}

// spacing returns the shortest time until the next summaries.
func (a *aggregator) spacing() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(minSummarySpacing, time.Duration(len(a.subscribers))*time.Second/maxSummariesPerSecond)
}

// next removes expired subscribers and returns the summaries that are due. A subscriber does not get its own events.
func (a *aggregator) next(now time.Time) []summary {
	a.mu.Lock()
	defer a.mu.Unlock()
	var due []summary
	for address, s := range a.subscribers {
		if now.Sub(s.lastHeartbeat) > subscriptionTimeout {
			delete(a.subscribers, address)
			continue
		}
		next := summary{subscriber: address, round: s.completed, complete: now.Sub(s.completeAt) >= completeSummaryInterval}
		for _, p := range a.pending {
			if p.origin != address {
				next.events = append(next.events, p.event)
			}
		}
		if !next.complete && len(next.events) == 0 && now.Sub(s.summaryAt) < summaryKeepAlive {
			continue
		}
		s.summaryAt = now
		if next.complete {
			s.completeAt = now
			s.completed++
		}
		due = append(due, next)
	}
	a.pending = a.pending[:0]
	return due
}

// keys returns the servers of the events, without duplicates.
func (s *summary) keys() []balance.ServerKey {
	keys := make([]balance.ServerKey, 0, len(s.events))
	for _, e := range s.events {
		keys = append(keys, e.Key)
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}

// chunks returns the events in parts that each fit into a datagram; at least one part, which may be empty.
func (s *summary) chunks() [][]Event {
	if len(s.events) == 0 {
		return [][]Event{nil}
	}
	return slices.Collect(slices.Chunk(s.events, maxEventsPerDatagram))
}
