package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to the bytes that pass through it.
type mode uint8

const (
	// pass hands everything on.
	pass mode = iota
	// delay holds each piece for up to delayMax.
	delay
	// silence drops what arrives in both directions; connections stay open, and new ones are accepted.
	silence
	// oneWay drops what the server sends.
	oneWay
	// refuse resets new connections.
	refuse
	// busy answers each request on a new connection with 503.
	busy
)

// busyAnswer is what a busy proxy says.
const busyAnswer = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

const delayMax = 60 * time.Millisecond

// proxy is a loopback relay in front of one address.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	mode     mode
	conns    map[net.Conn]struct{}
}

func startProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *proxy) now() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset breaks the open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		abort(c)
	}
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.relay(c)
	}
}

func (p *proxy) relay(c net.Conn) {
	if p.now() == refuse {
		abort(c)
		return
	}
	if p.now() == busy {
		_, _ = c.Read(make([]byte, 16<<10))
		_, _ = io.WriteString(c, busyAnswer)
		_ = c.Close()
		return
	}
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		abort(c)
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[server] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); p.copy(server, c, false) }()
	go func() { defer both.Done(); p.copy(c, server, true) }()
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, server)
	p.mu.Unlock()
	_, _ = c.Close(), server.Close()
}

// copy hands bytes on and passes the end of the stream on, as a reset if the source was reset.
func (p *proxy) copy(to, from net.Conn, fromServer bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		m := p.now()
		dropped := m == silence || m == oneWay && fromServer
		if m == delay {
			time.Sleep(time.Duration(rand.Int64N(int64(delayMax))))
		}
		if n > 0 && !dropped {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				abort(from)
				return
			}
		}
		if err == nil {
			continue
		}
		if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF && !dropped {
			_ = tcp.CloseWrite()
			return
		}
		if !dropped {
			abort(to)
		}
		return
	}
}
