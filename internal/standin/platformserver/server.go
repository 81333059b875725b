// Package platformserver simulates a backend server of the users' platform: it checks that a request is addressed to it, runs
// it in one of its slots, signs the response, reports its load and injects faults on request.
package platformserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of the platform's protocol.
const (
	HeaderRequestID        = "Hornbeamway-Request-Id"
	HeaderDeadline         = "Hornbeamway-Deadline-Ms"
	HeaderSignature        = "Hornbeamway-Response-Signature"
	HeaderNotRun           = "Hornbeamway-Not-Executed"
	headerExpectedInstance = "Hornbeamway-Expect-Instance"
	headerLoad             = "Hornbeamway-Server-Load"
	headerInstance         = "Hornbeamway-Instance-Id"
)

// HealthPath is the path of health checks.
const HealthPath = "/healthz"

// Faults are the injected faults.
type Faults struct {
	// Slowdown is a factor on the service time; 0 and 1 have no effect.
	Slowdown float64
	// These are probabilities from 0 to 1. DropResponse closes the connection after the request has run, without a response.
	// TruncateResponse closes it within the response. DuplicateResponse responds twice, the second time with a delay.
	// Unsigned omits the signature. Failed responds with 500. RefuseBeforeBody refuses a request before its body has been
	// read. Refuse refuses requests and health checks as not run. DuplicateRefusal sends a refusal twice, the second time with a
	// delay. TruncateHead closes the connection within the head of the response.
	DropResponse, TruncateResponse, DuplicateResponse, Unsigned, Failed, RefuseBeforeBody float64
	Refuse, DuplicateRefusal, TruncateHead                                                float64
	// Hang accepts requests but neither runs nor answers them.
	Hang bool
}

// Server is one simulated backend server. It is safe for concurrent use.
type Server struct {
	ID, Service string
	// ServiceTime is the mean service time of a request.
	ServiceTime time.Duration
	// OnRun is called when a request starts to run.
	OnRun func(server *Server, requestID string)

	listener         net.Listener
	slots            chan struct{}
	queued           atomic.Int64
	failHealthChecks atomic.Bool
	mu               sync.Mutex
	faults           Faults
	conns            map[net.Conn]struct{}
	closed           bool
}

// Limits of each server.
const (
	slotCount              = 3
	queueLimit             = 6
	maxSecondResponseDelay = 30 * time.Millisecond
)

// Start starts a server that listens on address (IP and port). serviceTime is its mean service time; onRun is called when a
// request starts to run.
func Start(id, service, address string, serviceTime time.Duration, onRun func(*Server, string)) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{
		ID: id, Service: service, ServiceTime: serviceTime, OnRun: onRun, listener: listener,
		slots: make(chan struct{}, slotCount), conns: map[net.Conn]struct{}{},
	}
	go s.accept()
	return s, nil
}

// Address returns the IP and port that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// SetFaults replaces the active faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// currentFaults returns the active faults.
func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// FailHealthChecks makes all further health checks fail.
func (s *Server) FailHealthChecks() { s.failHealthChecks.Store(true) }

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
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		f := s.currentFaults()
		refuseEarly := req.ContentLength > 0 && rand.Float64() < f.RefuseBeforeBody
		if !refuseEarly {
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
		}
		if !s.handleRequest(c, reader, req, f, refuseEarly) {
			return
		}
		if refuseEarly {
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
		}
	}
}

// handleRequest handles one request and reports whether the connection is kept open. If refuseEarly is set, it refuses
// the request as not run.
func (s *Server) handleRequest(c net.Conn, reader *bufio.Reader, req *http.Request, f Faults, refuseEarly bool) bool {
	id := req.Header.Get(HeaderRequestID)
	switch {
	case req.URL.Path == HealthPath && s.failHealthChecks.Load():
		return s.writeResponse(c, 503, "", "")
	case req.URL.Path == HealthPath && rand.Float64() >= f.Refuse:
		return s.writeResponse(c, 200, "", "")
	case req.URL.Path == HealthPath:
		return s.writeRefusal(c, id, f) // without an id, because health checks state none
	case req.Header.Get(headerExpectedInstance) != "" && req.Header.Get(headerExpectedInstance) != s.ID:
		return s.writeResponse(c, 421, id, "")
	case refuseEarly, s.queued.Load() >= queueLimit, rand.Float64() < f.Refuse:
		return s.writeRefusal(c, id, f)
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
	keepConnection := s.runRequest(ctx, id, req, f)
	switch {
	case keepConnection:
		keepConnection = s.writeResult(c, id, f)
	case ctx.Err() == nil:
		keepConnection = s.writeRefusal(c, id, f)
	}
	if keepConnection {
		// The reader can be used again when the next request has started to arrive.
		<-nextRequest
	}
	return keepConnection
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
	s.OnRun(s, id)
	duration := time.Duration(float64(s.ServiceTime) * max(1, f.Slowdown) * (0.5 + rand.Float64()))
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}

// ResponseBody returns the response body of a request, which depends on the service and the request ID.
func ResponseBody(service, requestID string) string {
	text := service + " " + requestID + " "
	for len(text) < 600 {
		text += text
	}
	return text
}

// writeRefusal states that a request was not run, subject to the faults f, and reports whether the connection is kept open.
func (s *Server) writeRefusal(c net.Conn, id string, f Faults) bool {
	if !s.writeResponse(c, 503, id, "", HeaderNotRun+": 1") {
		return false
	}
	if rand.Float64() >= f.DuplicateRefusal {
		return true
	}
	time.Sleep(rand.N(maxSecondResponseDelay))
	return s.writeResponse(c, 503, id, "", HeaderNotRun+": 1")
}

// writeResult writes the response to a request that has run, subject to the faults f, and reports whether the connection is
// kept open.
func (s *Server) writeResult(c net.Conn, id string, f Faults) bool {
	signatureHeader := HeaderSignature + ": " + s.ID + "." + id
	switch draw := rand.Float64(); {
	case draw < f.DropResponse:
		return false
	case rand.Float64() < f.TruncateHead:
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s\r\nContent-Length: 900\r\n\r\n", HeaderRequestID, id, signatureHeader)
		_, _ = io.WriteString(c, head[:rand.IntN(len(head))])
		return false
	case draw < f.DropResponse+f.TruncateResponse:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n%s: %s\r\n%s\r\n\r\nhalf",
			HeaderRequestID, id, signatureHeader)
		return false
	case draw < f.DropResponse+f.TruncateResponse+f.Unsigned:
		return s.writeResponse(c, 200, id, ResponseBody(s.Service, id))
	case draw < f.DropResponse+f.TruncateResponse+f.Unsigned+f.Failed:
		return s.writeResponse(c, 500, id, "failed", signatureHeader)
	case draw < f.DropResponse+f.TruncateResponse+f.Unsigned+f.Failed+f.DuplicateResponse:
		if !s.writeResponse(c, 200, id, ResponseBody(s.Service, id), signatureHeader) {
			return false
		}
		time.Sleep(time.Duration(rand.Int64N(int64(maxSecondResponseDelay))))
		return s.writeResponse(c, 200, id, ResponseBody(s.Service, id), signatureHeader)
	}
	return s.writeResponse(c, 200, id, ResponseBody(s.Service, id), signatureHeader)
}

// writeResponse writes a response with the load header and reports whether that succeeded.
func (s *Server) writeResponse(c net.Conn, status int, id, body string, headers ...string) bool {
	f := s.currentFaults()
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s: %s\r\n%s: %d,%d,%d,%d\r\n",
		status, http.StatusText(status), len(body), headerInstance, s.ID,
		headerLoad, len(s.slots), s.queued.Load(), slotCount, int(100*max(1, f.Slowdown)))
	if id != "" {
		text += HeaderRequestID + ": " + id + "\r\n"
	}
	for _, h := range headers {
		text += h + "\r\n"
	}
	_, err := io.WriteString(c, text+"\r\n"+body)
	return err == nil
}
