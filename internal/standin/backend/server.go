// Package backend simulates the platform's backend servers: slots with a queue, load reports, deadlines, cancellation,
// draining, and faults that are injected over HTTP.
package backend

import (
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/internal/standin/httpserve"
	"github.com/hornbeamway/hornbeamway/pkg/clock"
)

// Defaults of the server.
const (
	defaultSlots           = 3
	defaultQueue           = 64
	defaultConnectionLimit = 240
	defaultServiceMean     = 10 * time.Millisecond
	// connectionCost and probeCost are the slot time that the platform specifies for a new connection and for a probe.
	connectionCost = time.Millisecond
	probeCost      = 5 * time.Millisecond
	// bufferedBodyBytes is the maximum size of a buffered request body; larger bodies are streamed.
	bufferedBodyBytes = 64 << 10
	// listenRetry is the interval between attempts to listen again after a refusal while the address is in use.
	listenRetry = 20 * time.Millisecond
)

// Distribution is a distribution of service times.
type Distribution struct {
	Mean time.Duration
	// Exponential selects an exponential distribution; otherwise every service time is Mean.
	Exponential bool
}

// PathClass sets the service time of paths with a prefix.
type PathClass struct {
	Prefix      string
	ServiceTime Distribution
}

// Options configures a Server.
type Options struct {
	// ID identifies the server in its responses.
	ID string
	// Clock is the time source. Default: the system clock.
	Clock clock.Clock
	// Seed is the random seed of service times and faults.
	Seed uint64
	// Slots is the number of requests that run concurrently. Default: 3.
	Slots int
	// Queue is the maximum number of requests that wait for a slot. Default: 64; negative: no queue.
	Queue int
	// ConnectionLimit is the maximum number of open connections; further ones are closed immediately. Default: 240.
	ConnectionLimit int
	// ServiceTime is the distribution of service times. Default: exponential with a mean of 10 ms.
	ServiceTime Distribution
	// Classes override ServiceTime; the first class whose prefix matches the path applies.
	Classes []PathClass
}

// Server is one simulated backend server. It is safe for concurrent use.
type Server struct {
	options Options
	clock   clock.Clock
	slots   *slots
	faults  *faultState
	journal journal
	stats   counters
	server  *httpserve.Server

	randomMu sync.Mutex
	random   *rand.Rand

	listenMu sync.Mutex
	listener net.Listener
	refusing bool
	// refusalEnd is closed when the current refusal ends. It is nil before the first refusal.
	refusalEnd chan struct{}
}

// New returns a server with no active faults.
func New(o Options) *Server {
	o = withDefaults(o)
	s := &Server{
		options: o,
		clock:   o.Clock,
		slots:   &slots{limit: o.Slots, queueLimit: o.Queue, debtUpdatedAt: o.Clock.Now()},
		faults:  &faultState{changed: make(chan struct{})},
		random:  rand.New(rand.NewPCG(o.Seed, 0)),
	}
	s.server = httpserve.New(&fasthttp.Server{
		Handler: s.handle, StreamRequestBody: true, MaxRequestBodySize: bufferedBodyBytes, Logger: httpserve.Discard{},
		NoDefaultServerHeader: true, DisablePreParseMultipartForm: true,
	})
	return s
}

func withDefaults(o Options) Options {
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.Slots <= 0 {
		o.Slots = defaultSlots
	}
	if o.Queue == 0 {
		o.Queue = defaultQueue
	}
	o.Queue = max(o.Queue, 0)
	if o.ConnectionLimit <= 0 {
		o.ConnectionLimit = defaultConnectionLimit
	}
	if o.ServiceTime.Mean <= 0 {
		o.ServiceTime = Distribution{Mean: defaultServiceMean, Exponential: true}
	}
	return o
}

// Serve handles requests on ln until Close. Refuse closes ln; when the refusal ends, Serve listens on the same address
// again.
func (s *Server) Serve(ln net.Listener) error {
	address := ln.Addr().String()
	for {
		s.listenMu.Lock()
		s.listener = ln
		refusing := s.refusing
		s.listenMu.Unlock()
		if refusing {
			_ = ln.Close()
		}
		err := s.server.Serve(ln, s.accept)
		refusalEnd := s.refusalEndChan()
		if refusalEnd == nil || errors.Is(err, httpserve.ErrClosed) {
			return err
		}
		select {
		case <-refusalEnd:
		case <-s.server.Done():
			return httpserve.ErrClosed
		}
		if ln, err = s.listenAgain(address); err != nil {
			return err
		}
	}
}

// ServeControl serves the control paths on ln without connection limit, slot costs and connection faults, so that faults
// can be changed while the server refuses connections.
func (s *Server) ServeControl(ln net.Listener) error { return s.server.Serve(ln, nil) }

// Close closes all connections and waits for the handlers to return.
func (s *Server) Close() error { return s.server.Close() }

// Refuse closes the listener for d, so that new connections are refused. Open connections are not affected. A zero or
// negative d ends the refusal.
func (s *Server) Refuse(d time.Duration) {
	s.listenMu.Lock()
	defer s.listenMu.Unlock()
	if s.refusing {
		s.refusing = false
		close(s.refusalEnd)
	}
	if d <= 0 {
		return
	}
	s.refusing, s.refusalEnd = true, make(chan struct{})
	if s.listener != nil {
		_ = s.listener.Close()
	}
	go s.endRefusal(s.refusalEnd, s.clock.After(d))
}

// endRefusal ends the refusal at its timeout, unless it has ended before or the server is closed.
func (s *Server) endRefusal(refusalEnd chan struct{}, timeout <-chan time.Time) {
	select {
	case <-refusalEnd:
		return
	case <-s.server.Done():
		return
	case <-timeout:
	}
	s.listenMu.Lock()
	defer s.listenMu.Unlock()
	if s.refusing && s.refusalEnd == refusalEnd {
		s.refusing = false
		close(refusalEnd)
	}
}

// refusalEndChan returns the channel that is closed when the last refusal ends, or nil if there has been no refusal.
func (s *Server) refusalEndChan() <-chan struct{} {
	s.listenMu.Lock()
	defer s.listenMu.Unlock()
	if s.refusalEnd == nil {
		return nil
	}
	return s.refusalEnd
}

// listenAgain listens on address, and retries until it succeeds or the server is closed.
func (s *Server) listenAgain(address string) (net.Listener, error) {
	for {
		ln, err := net.Listen("tcp", address)
		if err == nil {
			return ln, nil
		}
		// Another socket may use the port temporarily.
		select {
		case <-time.After(listenRetry):
		case <-s.server.Done():
			return nil, errors.CombineErrors(httpserve.ErrClosed, err)
		}
	}
}

// SilenceConnections permanently silences all open connections: no more bytes pass in either direction. New connections
// are not affected, nor is except, which may be nil.
func (s *Server) SilenceConnections(except net.Conn) {
	s.server.Each(func(c net.Conn) {
		if wrapped, ok := c.(*conn); ok && c != except {
			wrapped.silent.Store(true)
		}
	})
}

// Faults returns the active faults.
func (s *Server) Faults() Faults {
	f, _ := s.faults.get()
	return f
}

// SetFaults replaces the active faults. It returns an error if a value is out of range.
func (s *Server) SetFaults(f Faults) error {
	if err := f.validate(); err != nil {
		return err
	}
	s.faults.set(s.clock.Now(), f)
	return nil
}

// Journal returns the executions with an idempotency key, or all executions if the key is empty.
func (s *Server) Journal(key string) Journal { return s.journal.list(key) }

// Stats returns the current load and the counters.
func (s *Server) Stats() Stats {
	busy, queued := s.slots.loadAt(s.clock.Now())
	c := &s.stats
	return Stats{
		ServerID: s.options.ID, Requests: c.requests.Load(), Started: c.started.Load(), Completed: c.completed.Load(),
		Cancelled: c.cancelled.Load(), Shed: c.shed.Load(), Expired: c.expired.Load(), Failed: c.failed.Load(),
		Stalled: c.stalled.Load(), Busy: busy, Queued: queued, Connections: c.connections.Load(),
		ConnectionsHighest: c.connectionsHighest.Load(), ConnectionsTotal: c.connectionsTotal.Load(),
		ConnectionsRefused: c.connectionsRefused.Load(), Probes: c.probes.Load(),
		ProbeMillis: c.probes.Load() * probeCost.Milliseconds(), ProbeBytes: c.probeBytes.Load(),
	}
}

// accept wraps a new connection and charges its slot time. It closes the connection and returns nil above the connection
// limit.
func (s *Server) accept(raw net.Conn) net.Conn {
	c := &conn{Conn: raw, server: s}
	if s.stats.connectionOpened() > int64(s.options.ConnectionLimit) {
		s.stats.connectionsRefused.Add(1)
		_ = c.Close()
		return nil
	}
	s.slots.charge(s.clock.Now(), connectionCost)
	return c
}

// serviceTime returns a random service time for a path.
func (s *Server) serviceTime(path string) time.Duration {
	d := s.options.ServiceTime
	for _, class := range s.options.Classes {
		if strings.HasPrefix(path, class.Prefix) {
			d = class.ServiceTime
			break
		}
	}
	if !d.Exponential {
		return d.Mean
	}
	return time.Duration(s.randomValue((*rand.Rand).ExpFloat64) * float64(d.Mean))
}

// randomValue calls draw with the random source, which is not safe for concurrent use.
func (s *Server) randomValue(draw func(*rand.Rand) float64) float64 {
	s.randomMu.Lock()
	defer s.randomMu.Unlock()
	return draw(s.random)
}
