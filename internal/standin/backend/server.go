// Package backend is a stand-in for the platform's backend servers: slots with a queue, load reports, deadlines,
// cancellation, draining, and faults that are switched over HTTP.
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
	// connectionCost and probeCost are the platform's figures for one new connection and one probe.
	connectionCost = time.Millisecond
	probeCost      = 5 * time.Millisecond
	// bufferedBodyBytes is the size up to which a request body is buffered; longer ones are streamed.
	bufferedBodyBytes = 64 << 10
	// listenRetry is the interval at which a refused address is listened on again when it is taken.
	listenRetry = 20 * time.Millisecond
)

// Distribution draws service times.
type Distribution struct {
	Mean time.Duration
	// Exponential draws from an exponential distribution; otherwise every time is the mean.
	Exponential bool
}

// PathClass gives paths with a prefix their own service time.
type PathClass struct {
	Prefix  string
	Service Distribution
}

// Options configure a Server.
type Options struct {
	// ID names the server in its answers.
	ID string
	// Clock defaults to the system clock.
	Clock clock.Clock
	// Seed of service times and random faults.
	Seed uint64
	// Slots is the number of requests that run at the same time. Default: 3.
	Slots int
	// Queue is the number of requests that wait behind the slots. Default: 64; negative: none.
	Queue int
	// ConnectionLimit is the number of open connections above which new ones are closed. Default: 240.
	ConnectionLimit int
	// Service draws service times. Default: exponential with a mean of 10 ms.
	Service Distribution
	// Classes are tried in order before Service.
	Classes []PathClass
}

// Server is one backend server. It is safe for concurrent use.
type Server struct {
	options  Options
	clock    clock.Clock
	slots    *slots
	switches *switches
	journal  journal
	stats    counters
	server   *httpserve.Server

	randomMu sync.Mutex
	random   *rand.Rand

	listenMu sync.Mutex
	listener net.Listener
	refusing bool
	// accepting is closed when the server listens again after a refusal.
	accepting chan struct{}
}

// New returns a server without faults.
func New(o Options) *Server {
	o = withDefaults(o)
	s := &Server{
		options:  o,
		clock:    o.Clock,
		slots:    &slots{limit: o.Slots, queueLimit: o.Queue, settledAt: o.Clock.Now()},
		switches: &switches{changed: make(chan struct{})},
		random:   rand.New(rand.NewPCG(o.Seed, 0)),
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
	if o.Service.Mean <= 0 {
		o.Service = Distribution{Mean: defaultServiceMean, Exponential: true}
	}
	return o
}

// Serve answers requests on ln until Close. A refusal (Refuse) closes ln; the same address is listened on again when
// it ends.
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
		wait := s.refusal()
		if wait == nil || errors.Is(err, httpserve.ErrClosed) {
			return err
		}
		select {
		case <-wait:
		case <-s.server.Done():
			return httpserve.ErrClosed
		}
		if ln, err = s.listenAgain(address); err != nil {
			return err
		}
	}
}

// ServeControl answers on ln without connection limit, costs and connection faults, so that faults can be switched
// while the server refuses connections.
func (s *Server) ServeControl(ln net.Listener) error { return s.server.Serve(ln, nil) }

// Close ends all connections and waits for the handlers.
func (s *Server) Close() error { return s.server.Close() }

// Refuse closes the listener for d, so that new connections are refused. Open connections stay. A zero d ends it.
func (s *Server) Refuse(d time.Duration) {
	s.listenMu.Lock()
	defer s.listenMu.Unlock()
	if s.refusing {
		s.refusing = false
		close(s.accepting)
	}
	if d <= 0 {
		return
	}
	s.refusing, s.accepting = true, make(chan struct{})
	if s.listener != nil {
		_ = s.listener.Close()
	}
	go s.endRefusal(s.accepting, s.clock.After(d))
}

func (s *Server) endRefusal(accepting chan struct{}, timeout <-chan time.Time) {
	select {
	case <-accepting:
		return
	case <-s.server.Done():
		return
	case <-timeout:
	}
	s.listenMu.Lock()
	defer s.listenMu.Unlock()
	if s.refusing && s.accepting == accepting {
		s.refusing = false
		close(accepting)
	}
}

// refusal returns the channel that is closed when the refusal ends; nil when there has been none since the listener
// closed.
func (s *Server) refusal() <-chan struct{} {
	s.listenMu.Lock()
	defer s.listenMu.Unlock()
	if s.accepting == nil {
		return nil
	}
	return s.accepting
}

func (s *Server) listenAgain(address string) (net.Listener, error) {
	for {
		ln, err := net.Listen("tcp", address)
		if err == nil {
			return ln, nil
		}
		// Another socket may hold the port for a moment.
		select {
		case <-time.After(listenRetry):
		case <-s.server.Done():
			return nil, errors.CombineErrors(httpserve.ErrClosed, err)
		}
	}
}

// SilenceConnections makes every connection that is open now silent for good: no more bytes go in either direction.
// New connections work. except, which may be nil, is left alone.
func (s *Server) SilenceConnections(except net.Conn) {
	s.server.Each(func(c net.Conn) {
		if wrapped, ok := c.(*conn); ok && c != except {
			wrapped.silent.Store(true)
		}
	})
}

// Faults returns the switched faults.
func (s *Server) Faults() Faults {
	f, _ := s.switches.get()
	return f
}

// SetFaults replaces the switched faults.
func (s *Server) SetFaults(f Faults) error {
	if err := f.validate(); err != nil {
		return err
	}
	s.switches.set(s.clock.Now(), f)
	return nil
}

// Journal returns the executions with an idempotency key; all for an empty key.
func (s *Server) Journal(key string) Journal { return s.journal.list(key) }

// Stats returns the counters.
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

// accept applies the connection limit and charges the cost of a connection.
func (s *Server) accept(raw net.Conn) net.Conn {
	c := &conn{Conn: raw, server: s}
	if s.stats.connected() > int64(s.options.ConnectionLimit) {
		s.stats.connectionsRefused.Add(1)
		_ = c.Close()
		return nil
	}
	s.slots.charge(s.clock.Now(), connectionCost)
	return c
}

// serviceTime draws the service time of a path.
func (s *Server) serviceTime(path string) time.Duration {
	d := s.options.Service
	for _, class := range s.options.Classes {
		if strings.HasPrefix(path, class.Prefix) {
			d = class.Service
			break
		}
	}
	if !d.Exponential {
		return d.Mean
	}
	return time.Duration(s.draw((*rand.Rand).ExpFloat64) * float64(d.Mean))
}

func (s *Server) draw(from func(*rand.Rand) float64) float64 {
	s.randomMu.Lock()
	defer s.randomMu.Unlock()
	return from(s.random)
}
