package peer

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/ingress"
)

// handler decodes parameters and calls a registered function.
type handler func(ctx context.Context, params json.RawMessage) (any, error)

// Server accepts connections from other entry VMs and runs the handlers of their calls and notifications.
type Server struct {
	options Options
	meter   *meter

	mu           sync.RWMutex
	handlers     map[string]handler
	sessions     map[*session]struct{}
	listener     net.Listener
	closed       bool
	sessionsDone sync.WaitGroup
}

// NewServer returns a server without handlers.
func NewServer(o Options) *Server {
	o = o.withDefaults()
	return &Server{options: o, meter: newMeter(o.Metrics, "server"), handlers: map[string]handler{},
		sessions: map[*session]struct{}{}}
}

// Handle registers f for a method. Calls run concurrently, at most Options.MaxCalls per connection. Notifications run one
// after another in the order received, so f must not block if the method is used for notifications. The text of an error
// of f is sent to the caller, where it is returned as ErrRemote.
func Handle[Req, Resp any](s *Server, method string, f func(context.Context, Req) (Resp, error)) {
	h := func(ctx context.Context, params json.RawMessage) (any, error) {
		var req Req
		if err := decodeParams(params, &req); err != nil {
			return nil, err
		}
		return f(ctx, req)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[method] = h
}

// decodeParams decodes the parameters of a request. Missing parameters leave v unchanged.
func decodeParams(params json.RawMessage, v any) error {
	if len(params) == 0 {
		return nil
	}
	if err := json.Unmarshal(params, v); err != nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return nil
}

// Serve accepts connections until Close. It returns nil after Close. A temporary error of l does not end it.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return errors.CombineErrors(ErrClosed, l.Close())
	}
	l = ingress.RetryAccept(l)
	s.listener = l
	s.mu.Unlock()
	for {
		raw, err := l.Accept()
		switch {
		case err == nil:
			s.accept(raw)
		case s.isClosed():
			return nil
		default:
			return errors.Wrap(err, "accept a peer connection")
		}
	}
}

func (s *Server) isClosed() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.closed
}

// accept starts a session on a new connection, or closes it if the server is closed or has MaxConnections sessions.
func (s *Server) accept(raw net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.sessions) >= s.options.MaxConnections {
		_ = raw.Close()
		return
	}
	ss := &session{server: s, conn: s.meter.wrap(raw, s.options.CallTimeout, 2*s.options.IdleTimeout),
		codec: newCodec(helloFrameLimit), slots: make(chan struct{}, s.options.MaxCalls)}
	s.sessions[ss] = struct{}{}
	s.sessionsDone.Add(1)
	go ss.serve()
}

// Close closes the listener and all connections and waits until all sessions have ended.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	var err error
	if s.listener != nil {
		err = s.listener.Close()
	}
	for ss := range s.sessions {
		_ = ss.conn.Close()
	}
	s.mu.Unlock()
	s.sessionsDone.Wait()
	return err
}

// Traffic returns the total traffic of all connections that the server has accepted.
func (s *Server) Traffic() Traffic { return s.meter.traffic() }

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.sessions)
}

// session is one accepted connection.
type session struct {
	server *Server
	conn   *conn
	codec  codec
	slots  chan struct{}          // one element per call in progress
	caller atomic.Pointer[string] // nil before peer.hello
}

// discardLog discards the log of package jsonrpc2.
var discardLog = log.New(io.Discard, "", 0)

// serve runs the session until the connection ends. It closes a connection without peer.hello after DialTimeout.
func (ss *session) serve() {
	defer ss.server.sessionsDone.Done()
	rpc := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(ss.conn, ss.codec), ss,
		jsonrpc2.SetLogger(discardLog))
	helloTimer := time.NewTimer(ss.server.options.DialTimeout)
	defer helloTimer.Stop()
	select {
	case <-rpc.DisconnectNotify():
	case <-helloTimer.C:
		if ss.caller.Load() == nil {
			_ = rpc.Close()
		}
		<-rpc.DisconnectNotify()
	}
	_ = ss.conn.Close()
	ss.server.mu.Lock()
	defer ss.server.mu.Unlock()
	delete(ss.server.sessions, ss)
}

// Handle implements jsonrpc2.Handler. It runs in the goroutine that reads from the connection.
func (ss *session) Handle(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	caller := ss.caller.Load()
	if caller == nil {
		ss.handleHello(ctx, rpc, req)
		return
	}
	ctx = context.WithValue(ctx, callerKey{}, *caller)
	if req.Notif {
		if _, err := ss.runHandler(ctx, req); err != nil {
			klog.V(2).InfoS("failed to handle a peer notification", "peer", *caller, "method", req.Method, "err", err)
		}
		return
	}
	select {
	case ss.slots <- struct{}{}:
		go ss.handleCall(ctx, rpc, req)
	default:
		ss.replyError(ctx, rpc, req.ID, codeBusy, ErrBusy.Error())
	}
}

// handleHello authenticates the peer. It closes the connection if the first message is not a valid peer.hello with the
// shared secret.
func (ss *session) handleHello(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var h helloRequest
	valid := req.Method == methodHello && !req.Notif && req.Params != nil && decodeParams(*req.Params, &h) == nil
	if !equalSecrets(h.Secret, ss.server.options.Secret) || !valid {
		klog.V(1).InfoS("rejected a peer connection: wrong secret or no valid peer.hello", "remote", ss.conn.RemoteAddr(),
			"method", req.Method)
		ss.replyError(ctx, rpc, req.ID, codeUnauthorized, ErrUnauthorized.Error())
		_ = rpc.Close()
		return
	}
	ss.codec.limit.Store(int64(ss.server.options.FrameLimit))
	ss.caller.Store(&h.ID)
	_ = rpc.Reply(ctx, req.ID, helloResponse{ID: ss.server.options.ID})
}

// handleCall runs the handler of a call and sends the response. If the result exceeds the frame limit, the response is
// an error.
func (ss *session) handleCall(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	defer func() { <-ss.slots }()
	result, err := ss.runHandler(ctx, req)
	if err == nil {
		err = rpc.Reply(ctx, req.ID, result)
		if err == nil || !errors.Is(err, ErrFrame) {
			return
		}
	}
	var coded *jsonrpc2.Error
	if errors.As(err, &coded) {
		ss.replyError(ctx, rpc, req.ID, coded.Code, coded.Message)
		return
	}
	ss.replyError(ctx, rpc, req.ID, jsonrpc2.CodeInternalError, err.Error())
}

// runHandler calls the handler of the method.
func (ss *session) runHandler(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	ss.server.mu.RLock()
	h := ss.server.handlers[req.Method]
	ss.server.mu.RUnlock()
	if h == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no method " + req.Method}
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	return h(ctx, params)
}

// replyError sends an error response to a call.
func (ss *session) replyError(ctx context.Context, rpc *jsonrpc2.Conn, id jsonrpc2.ID, code int64, message string) {
	_ = rpc.ReplyWithError(ctx, id, &jsonrpc2.Error{Code: code, Message: message})
}
