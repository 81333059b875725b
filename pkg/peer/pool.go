package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// Pool maintains one connection to each peer address. It is safe for concurrent use.
type Pool struct {
	options Options
	meter   *meter
	stop    chan struct{}

	mu     sync.Mutex
	closed bool
	links  map[string]*link
}

// NewPool returns a pool without connections. The first message to an address opens a connection to it.
func NewPool(o Options) *Pool {
	o = o.withDefaults()
	p := &Pool{options: o, meter: newMeter(o.Metrics, "client"), stop: make(chan struct{}), links: map[string]*link{}}
	go p.closeIdle()
	return p
}

// Call sends a request to the peer at address and decodes the response into result, a pointer or nil. ctx and
// Options.CallTimeout bound its time. It returns the errors of this package.
func (p *Pool) Call(ctx context.Context, address, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, p.options.CallTimeout)
	defer cancel()
	l, s, err := p.connect(ctx, address)
	if err != nil {
		return err
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		return newError(nil, ErrBusy, address)
	}
	err = s.rpc.Call(ctx, method, params, result)
	return l.mapError(ctx, s, err)
}

// Call calls Pool.Call and returns a typed result.
func Call[Resp any](ctx context.Context, p *Pool, address, method string, params any) (Resp, error) {
	var answer Resp
	err := p.Call(ctx, address, method, params, &answer)
	return answer, err
}

// Notify sends a notification. A nil error means that the bytes were passed to the kernel, not that the peer received
// them.
func (p *Pool) Notify(ctx context.Context, address, method string, params any) error {
	ctx, cancel := context.WithTimeout(ctx, p.options.CallTimeout)
	defer cancel()
	l, s, err := p.connect(ctx, address)
	if err != nil {
		return err
	}
	return l.mapError(ctx, s, s.rpc.Notify(ctx, method, params))
}

// Traffic returns the total traffic of all connections that the pool has opened.
func (p *Pool) Traffic() Traffic { return p.meter.traffic() }

// Close closes all connections. Subsequent messages fail with ErrClosed.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.closed = true
	close(p.stop)
	for _, l := range p.links {
		l.closeConn(nil)
	}
}

// connect returns the link of an address and its open connection, which it opens if necessary.
func (p *Pool) connect(ctx context.Context, address string) (*link, *clientSession, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, nil, ErrClosed
	}
	l := p.links[address]
	if l == nil {
		l = &link{pool: p, address: address, dialLock: make(chan struct{}, 1)}
		p.links[address] = l
	}
	p.mu.Unlock()
	s, err := l.connect(ctx)
	return l, s, err
}

// closeIdle closes connections without traffic for IdleTimeout and removes addresses that have been unused for that time.
func (p *Pool) closeIdle() {
	ticker := time.NewTicker(p.options.IdleTimeout / 4)
	defer ticker.Stop()
	for {
		select {
		case <-p.stop:
			return
		case now := <-ticker.C:
			p.mu.Lock()
			for address, l := range p.links {
				if l.closeIdle(now) {
					delete(p.links, address)
				}
			}
			p.mu.Unlock()
		}
	}
}

// dial opens a connection and authenticates with peer.hello.
func (p *Pool) dial(ctx context.Context, address string) (*clientSession, error) {
	ctx, cancel := context.WithTimeout(ctx, p.options.DialTimeout)
	defer cancel()
	d := net.Dialer{KeepAlive: -1}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, newError(err, ErrUnreachable, address)
	}
	metered := p.meter.wrap(raw, p.options.CallTimeout, 0)
	rpc := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(metered, newCodec(p.options.FrameLimit)),
		rejectRequests{}, jsonrpc2.SetLogger(discardLog))
	var answer helloResponse
	if err := rpc.Call(ctx, methodHello, helloRequest{ID: p.options.ID, Secret: p.options.Secret}, &answer); err != nil {
		_ = rpc.Close()
		_ = metered.Close()
		var coded *jsonrpc2.Error
		if errors.As(err, &coded) && coded.Code == codeUnauthorized {
			return nil, newError(nil, ErrUnauthorized, address)
		}
		return nil, newError(err, ErrUnreachable, address)
	}
	return &clientSession{conn: metered, rpc: rpc, slots: make(chan struct{}, p.options.MaxCalls)}, nil
}

// rejectRequests closes a client's connection on which a request arrives; servers send only responses.
type rejectRequests struct{}

// Handle implements jsonrpc2.Handler.
func (rejectRequests) Handle(_ context.Context, rpc *jsonrpc2.Conn, _ *jsonrpc2.Request) {
	go rpc.Close()
}
