// Package platformserver simulates a backend server of the users' platform: it checks that a request is addressed to it, runs
// it in one of its slots, signs the response, reports its load and injects faults on request.
package platformserver

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// HealthPath is the path of health checks.
const HealthPath = "/healthz"

// Server is one simulated backend server. It is safe for concurrent use.
type Server struct {
	ID, Service string
	// ServiceTime is the mean service time of a request.
	ServiceTime time.Duration

	observer         Observer
	listener         net.Listener
	slots            chan struct{}
	queued           atomic.Int64
	failHealthChecks atomic.Bool
	leaving          atomic.Bool
	mu               sync.Mutex
	faults           Faults
	holdOffUntil     time.Time
	conns            map[net.Conn]struct{}
	closed           bool
}

// Limits of each server.
const (
	slotCount  = 3
	queueLimit = 6
)

// Start starts a server that listens on address (IP and port). serviceTime is its mean service time; onRun is called when a
// request starts to run.
func Start(id, service, address string, serviceTime time.Duration, onRun func(*Server, string)) (*Server, error) {
	return StartObserved(id, service, address, serviceTime, runObserver(onRun))
}

// StartObserved is like Start, but tells observer all that happens at the server.
func StartObserved(id, service, address string, serviceTime time.Duration, observer Observer) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{
		ID: id, Service: service, ServiceTime: serviceTime, observer: observer, listener: listener,
		slots: make(chan struct{}, slotCount), conns: map[net.Conn]struct{}{},
	}
	go s.accept()
	return s, nil
}

// Address returns the IP and port that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server immediately and closes all connections, as in a crash.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
}

// accept accepts connections until the listener is closed.
func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.closed {
			_ = c.Close()
		}
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go s.serve(c)
	}
}

// serve handles the requests of a connection one after the other.
func (s *Server) serve(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	connRequestID := ""
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		e := s.identify(req, connRequestID)
		connRequestID = e.ConnRequestID
		s.observer.RequestArrived(s, e)
		f := s.currentFaults()
		refuseEarly := req.ContentLength > 0 && rand.Float64() < f.RefuseBeforeBody
		if !refuseEarly {
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
		}
		if !s.handleRequest(responder{server: s, conn: c, exchange: e}, reader, req, f, refuseEarly) {
			return
		}
		if refuseEarly {
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
		}
	}
}

// identify returns the exchange that a request starts on a connection whose latest request had the id connRequestID.
func (s *Server) identify(req *http.Request, connRequestID string) Exchange {
	id := req.Header.Get(HeaderRequestID)
	if id != "" {
		connRequestID = id
	}
	expected := req.Header.Get(headerExpectedInstance)
	healthCheck := req.URL.Path == HealthPath
	return Exchange{RequestID: id, ConnRequestID: connRequestID, HealthCheck: healthCheck,
		Misdirected: !healthCheck && expected != "" && expected != s.ID}
}

// handleRequest handles one request and reports whether the connection is kept open. If refuseEarly is set, it refuses
// the request as not run.
func (s *Server) handleRequest(w responder, reader *bufio.Reader, req *http.Request, f Faults, refuseEarly bool) bool {
	if w.exchange.Misdirected {
		return w.writeMisdirected(f)
	}
	if until := s.currentHoldOff(); !until.IsZero() {
		return w.writeHoldOff(f, until)
	}
	if w.exchange.HealthCheck {
		return s.handleHealthCheck(w, f)
	}
	if refuseEarly || s.queued.Load() >= queueLimit || rand.Float64() < f.Refuse {
		return w.writeRefusal(f)
	}
	if f.Hang {
		_, _ = reader.Peek(1)
		return false
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	nextRequest := make(chan struct{})
	go func() {
		defer close(nextRequest)
		// The client sends nothing before the response, so until then Peek returns only if the connection ends.
		if _, err := reader.Peek(1); err != nil {
			cancel()
		}
	}()
	keepConnection := s.runRequest(ctx, w.exchange.RequestID, req, f)
	switch {
	case keepConnection:
		keepConnection = w.writeResult(f)
	case ctx.Err() == nil:
		keepConnection = w.writeRefusal(f)
	}
	if keepConnection {
		// The reader can be used again when the next request has started to arrive.
		<-nextRequest
	}
	return keepConnection
}

// handleHealthCheck responds to a health check and reports whether the connection is kept open.
func (s *Server) handleHealthCheck(w responder, f Faults) bool {
	switch {
	case s.failHealthChecks.Load():
		return w.write(http.StatusServiceUnavailable, "")
	case rand.Float64() < f.Refuse:
		return w.writeRefusal(f) // without an id, because health checks state none
	}
	return w.write(http.StatusOK, "")
}

// runRequest waits for a slot, up to the deadline of the request, and runs the request. It returns false if the request was
// not run or its client disconnected.
func (s *Server) runRequest(ctx context.Context, id string, req *http.Request, f Faults) bool {
	deadlineMillis, err := strconv.Atoi(req.Header.Get(HeaderDeadline))
	if err != nil {
		deadlineMillis = 0
	}
	s.queued.Add(1)
	select {
	case s.slots <- struct{}{}:
		s.queued.Add(-1)
	case <-ctx.Done():
		s.queued.Add(-1)
		return false
	case <-time.After(time.Duration(deadlineMillis) * time.Millisecond):
		s.queued.Add(-1)
		return false
	}
	defer func() { <-s.slots }()
	s.observer.RequestRan(s, id)
	duration := time.Duration(float64(s.ServiceTime) * max(1, f.Slowdown) * (0.5 + rand.Float64()))
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}
