package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// Pool keeps one connection to each peer address. It is safe for concurrent use.
type Pool struct {
	options Options
	meter   *meter
	stop    chan struct{}

	mu     sync.Mutex
	closed bool
	links  map[string]*link
}

// NewPool returns a pool without connections. They are opened by the first message to an address.
func NewPool(o Options) *Pool {
	o = o.withDefaults()
	p := &Pool{options: o, meter: newMeter(o.Metrics, "client"), stop: make(chan struct{}), links: map[string]*link{}}
	go p.closeIdle()
	return p
}

// Call sends a request to the peer at address and decodes the answer into result (a pointer, or nil). The time is
// bounded by ctx and by Options.CallTimeout. Errors: those of this package.
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
		return wrap(nil, ErrBusy, address)
	}
	err = s.rpc.Call(ctx, method, params, result)
	return l.finish(ctx, s, err)
}

// Call is Pool.Call with a typed answer.
func Call[Resp any](ctx context.Context, p *Pool, address, method string, params any) (Resp, error) {
	var resp Resp
	err := p.Call(ctx, address, method, params, &resp)
	return resp, err
}

// Notify sends a notification. No error means that the bytes were handed to the kernel, not that they arrived.
func (p *Pool) Notify(ctx context.Context, address, method string, params any) error {
	ctx, cancel := context.WithTimeout(ctx, p.options.CallTimeout)
	defer cancel()
	l, s, err := p.connect(ctx, address)
	if err != nil {
		return err
	}
	return l.finish(ctx, s, s.rpc.Notify(ctx, method, params))
}

// Traffic returns the traffic of all connections opened so far.
func (p *Pool) Traffic() Traffic { return p.meter.traffic() }

// Close closes all connections. Later messages fail with ErrClosed.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.closed = true
	close(p.stop)
	for _, l := range p.links {
		l.drop(nil)
	}
}

func (p *Pool) connect(ctx context.Context, address string) (*link, *stream, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, nil, ErrClosed
	}
	l := p.links[address]
	if l == nil {
		l = &link{pool: p, address: address, dialing: make(chan struct{}, 1)}
		p.links[address] = l
	}
	p.mu.Unlock()
	s, err := l.connect(ctx)
	return l, s, err
}

// closeIdle closes connections without traffic and forgets addresses that have been unused for as long.
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

// open dials and says hello.
func (p *Pool) open(ctx context.Context, address string) (*stream, error) {
	ctx, cancel := context.WithTimeout(ctx, p.options.DialTimeout)
	defer cancel()
	d := net.Dialer{KeepAlive: -1}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, wrap(err, ErrUnreachable, address)
	}
	c := p.meter.wrap(raw, p.options.CallTimeout, 0)
	rpc := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(c, newCodec(p.options.FrameLimit)),
		refuseAll{}, jsonrpc2.SetLogger(discardLog))
	var answer helloAnswer
	if err := rpc.Call(ctx, methodHello, hello{ID: p.options.ID, Secret: p.options.Secret}, &answer); err != nil {
		_ = rpc.Close()
		_ = c.Close()
		var coded *jsonrpc2.Error
		if errors.As(err, &coded) && coded.Code == codeUnauthorized {
			return nil, wrap(nil, ErrUnauthorized, address)
		}
		return nil, wrap(err, ErrUnreachable, address)
	}
	return &stream{conn: c, rpc: rpc, slots: make(chan struct{}, p.options.Calls)}, nil
}

// refuseAll ignores requests on a client's connection; servers send answers only.
type refuseAll struct{}

// Handle implements jsonrpc2.Handler.
func (refuseAll) Handle(_ context.Context, rpc *jsonrpc2.Conn, _ *jsonrpc2.Request) { go rpc.Close() }
