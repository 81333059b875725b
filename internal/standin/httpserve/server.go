// Package httpserve runs the HTTP servers of the stand-ins: an accept loop that tracks its connections, so that Close
// ends all of them at once.
package httpserve

import (
	"io"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// ErrClosed is returned by Serve once Close was called.
var ErrClosed = errors.New("server closed")

// Accept wraps or refuses a new connection. It returns nil when it has closed the connection.
type Accept func(net.Conn) net.Conn

// Server accepts connections and serves HTTP on them. It is safe for concurrent use.
type Server struct {
	http *fasthttp.Server
	done chan struct{}
	wg   sync.WaitGroup

	mu        sync.Mutex
	closed    bool
	listeners map[net.Listener]struct{}
	conns     map[net.Conn]struct{}
}

// New returns a server that answers with the given fasthttp server.
func New(h *fasthttp.Server) *Server {
	return &Server{
		http:      h,
		done:      make(chan struct{}),
		listeners: map[net.Listener]struct{}{},
		conns:     map[net.Conn]struct{}{},
	}
}

// Done is closed when Close is called. Handlers that wait select on it.
func (s *Server) Done() <-chan struct{} { return s.done }

// Serve accepts connections from ln until ln or the server is closed. accept may be nil. It returns ErrClosed after
// Close, and the listener's error otherwise.
func (s *Server) Serve(ln net.Listener, accept Accept) error {
	if !s.addListener(ln) {
		return errors.CombineErrors(ErrClosed, ln.Close())
	}
	defer s.removeListener(ln)
	for {
		c, err := ln.Accept()
		if err != nil {
			select {
			case <-s.done:
				return ErrClosed
			default:
				return errors.Wrap(err, "accept connection")
			}
		}
		if accept != nil {
			if c = accept(c); c == nil {
				continue
			}
		}
		s.start(c)
	}
}

// Close closes the listeners and all connections and waits until every handler has returned.
func (s *Server) Close() error {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.done)
	}
	for ln := range s.listeners {
		_ = ln.Close()
	}
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
	return nil
}

// Each calls visit for every open connection.
func (s *Server) Each(visit func(net.Conn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		visit(c)
	}
}

func (s *Server) start(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = c.Close()
		return
	}
	s.conns[c] = struct{}{}
	s.wg.Add(1)
	go s.serveConn(c)
}

func (s *Server) serveConn(c net.Conn) {
	defer s.wg.Done()
	// An error ends this connection only; faults close connections on purpose.
	_ = s.http.ServeConn(c)
	_ = c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) addListener(ln net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.listeners[ln] = struct{}{}
	return true
}

func (s *Server) removeListener(ln net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, ln)
	_ = ln.Close()
}

// Discard is a logger for fasthttp that drops its lines: broken connections are expected here.
type Discard struct{}

// Printf implements fasthttp.Logger.
func (Discard) Printf(string, ...any) {}

var _ io.Closer = (*Server)(nil)
