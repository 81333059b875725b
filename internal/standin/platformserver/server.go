// Package platformserver is a stand-in for a backend server of the users' platform: it checks that a request is meant for it,
// runs it in one of its slots, signs the answer, tells its load, and misbehaves when asked to.
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
	HeaderRequestID = "Hornbeamway-Request-Id"
	HeaderDeadline  = "Hornbeamway-Deadline-Ms"
	HeaderSignature = "Hornbeamway-Response-Signature"
	HeaderNotRun    = "Hornbeamway-Not-Executed"
	headerExpect    = "Hornbeamway-Expect-Instance"
	headerLoad      = "Hornbeamway-Server-Load"
	headerInstance  = "Hornbeamway-Instance-Id"
)

// HealthPath answers health checks.
const HealthPath = "/healthz"

// Faults are what a server does wrong. Shares are of its answers.
type Faults struct {
	// Slowness multiplies the work; 0 and 1: none.
	Slowness float64
	// Lost closes the connection after the work without an answer, Cut within the answer, Twice answers twice, the second
	// time late, Unsigned leaves the signature out, Failed answers 500, Early answers before the body was read.
	Lost, Cut, Twice, Unsigned, Failed, Early float64
	// Hang takes requests and never answers.
	Hang bool
}

// Server is one backend server. It is safe for concurrent use.
type Server struct {
	ID, Service string
	// Work is the mean time that a request takes.
	Work time.Duration
	// Run is called when a request begins to run.
	Run func(server *Server, requestID string)

	listener net.Listener
	slots    chan struct{}
	waiting  atomic.Int64
	leaving  atomic.Bool
	mu       sync.Mutex
	faults   Faults
	conns    map[net.Conn]struct{}
	closed   bool
}

const (
	slots      = 3
	queue      = 6
	lateSecond = 30 * time.Millisecond
)

// Start serves on an address (IP and port).
func Start(id, service, address string, work time.Duration, run func(*Server, string)) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, Service: service, Work: work, Run: run, listener: l, slots: make(chan struct{}, slots), conns: map[net.Conn]struct{}{}}
	go s.accept()
	return s, nil
}

// Address is where the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Server) misdeeds() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Leave makes health checks fail.
func (s *Server) Leave() { s.leaving.Store(true) }

// Close ends the server at once, as a crash does.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
}

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
		f := s.misdeeds()
		early := req.ContentLength > 0 && rand.Float64() < f.Early
		if !early {
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
		}
		if !s.answer(c, reader, req, f, early) {
			return
		}
		if early {
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
		}
	}
}

// answer handles one request. It reports whether the connection goes on.
func (s *Server) answer(c net.Conn, reader *bufio.Reader, req *http.Request, f Faults, early bool) bool {
	id := req.Header.Get(HeaderRequestID)
	switch {
	case req.URL.Path == HealthPath && s.leaving.Load():
		return s.write(c, 503, "", "")
	case req.URL.Path == HealthPath:
		return s.write(c, 200, "", "")
	case req.Header.Get(headerExpect) != "" && req.Header.Get(headerExpect) != s.ID:
		return s.write(c, 421, id, "")
	case early, s.waiting.Load() >= queue:
		return s.write(c, 503, id, "", HeaderNotRun+": 1")
	}
	if f.Hang {
		_, _ = reader.Peek(1)
		return false
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	next := make(chan struct{})
	go func() {
		defer close(next)
		// A caller sends nothing before the answer, so that only the end of the connection can arrive.
		if _, err := reader.Peek(1); err != nil {
			cancel()
		}
	}()
	goesOn := s.work(ctx, id, req, f)
	switch {
	case goesOn:
		goesOn = s.deliver(c, id, f)
	case ctx.Err() == nil:
		goesOn = s.write(c, 503, id, "", HeaderNotRun+": 1")
	}
	if goesOn {
		// The reader is free again when the next request has begun.
		<-next
	}
	return goesOn
}

// work waits for a slot and runs the request. It reports false if the request was not run or its caller left.
func (s *Server) work(ctx context.Context, id string, req *http.Request, f Faults) bool {
	left, err := strconv.Atoi(req.Header.Get(HeaderDeadline))
	if err != nil {
		left = 0
	}
	s.waiting.Add(1)
	select {
	case s.slots <- struct{}{}:
		s.waiting.Add(-1)
	case <-ctx.Done():
		s.waiting.Add(-1)
		return false
	case <-time.After(time.Duration(left) * time.Millisecond):
		s.waiting.Add(-1)
		return false
	}
	defer func() { <-s.slots }()
	s.Run(s, id)
	work := time.Duration(float64(s.Work) * max(1, f.Slowness) * (0.5 + rand.Float64()))
	select {
	case <-time.After(work):
		return true
	case <-ctx.Done():
		return false
	}
}

// Body is the answer that belongs to a request.
func Body(service, requestID string) string {
	text := service + " " + requestID + " "
	for len(text) < 600 {
		text += text
	}
	return text
}

func (s *Server) deliver(c net.Conn, id string, f Faults) bool {
	signed := HeaderSignature + ": " + s.ID + "." + id
	switch chance := rand.Float64(); {
	case chance < f.Lost:
		return false
	case chance < f.Lost+f.Cut:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n%s: %s\r\n%s\r\n\r\nhalf", HeaderRequestID, id, signed)
		return false
	case chance < f.Lost+f.Cut+f.Unsigned:
		return s.write(c, 200, id, Body(s.Service, id))
	case chance < f.Lost+f.Cut+f.Unsigned+f.Failed:
		return s.write(c, 500, id, "failed", signed)
	case chance < f.Lost+f.Cut+f.Unsigned+f.Failed+f.Twice:
		if !s.write(c, 200, id, Body(s.Service, id), signed) {
			return false
		}
		time.Sleep(time.Duration(rand.Int64N(int64(lateSecond))))
		return s.write(c, 200, id, Body(s.Service, id), signed)
	}
	return s.write(c, 200, id, Body(s.Service, id), signed)
}

func (s *Server) write(c net.Conn, status int, id, body string, headers ...string) bool {
	f := s.misdeeds()
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s: %s\r\n%s: %d,%d,%d,%d\r\n", status, http.StatusText(status), len(body),
		headerInstance, s.ID, headerLoad, len(s.slots), s.waiting.Load(), slots, int(100*max(1, f.Slowness)))
	if id != "" {
		text += HeaderRequestID + ": " + id + "\r\n"
	}
	for _, h := range headers {
		text += h + "\r\n"
	}
	_, err := io.WriteString(c, text+"\r\n"+body)
	return err == nil
}
