// Package httpserve runs the HTTP servers of the simulated platform services. Its accept loop tracks the open connections,
// so that Close can close all of them immediately.
package httpserve

import (
	"io"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// ErrClosed is returned by Serve after Close has been called.
var ErrClosed = errors.New("server closed")

// Accept wraps a new connection, or refuses it by closing it and returning nil.
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

// New returns a server that handles requests with httpServer.
func New(httpServer *fasthttp.Server) *Server {
	return &Server{
		http:      httpServer,
		done:      make(chan struct{}),
		listeners: map[net.Listener]struct{}{},
		conns:     map[net.Conn]struct{}{},
	}
}

// Done returns a channel that is closed when Close is called. Handlers that block must select on it.
func (s *Server) Done() <-chan struct{} { return s.done }

// Serve accepts connections from ln until ln or the server is closed. accept may be nil. Serve returns ErrClosed after
// Close, and otherwise the error of the listener.
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
		s.startConn(c)
	}
}

// Close closes the listeners and all connections, and waits until all handlers have returned.
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

// startConn serves a connection in its own goroutine, or closes it if the server is closed.
func (s *Server) startConn(c net.Conn) {
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
	// An error ends only this connection. Errors are expected, because injected faults close connections.
	_ = s.http.ServeConn(c)
	_ = c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// addListener registers a listener so that Close closes it. It returns false if the server is closed.
func (s *Server) addListener(ln net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.listeners[ln] = struct{}{}
	return true
}

// removeListener closes a listener and removes it.
func (s *Server) removeListener(ln net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, ln)
	_ = ln.Close()
}

// Discard is a fasthttp logger that discards all messages, because broken connections are expected.
type Discard struct{}

// Printf implements fasthttp.Logger.
func (Discard) Printf(string, ...any) {}

var _ io.Closer = (*Server)(nil)
