package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// mode selects how a proxy treats connections and the bytes on them.
type mode uint8

const (
	// forward passes all bytes on.
	forward mode = iota
	// delay holds each chunk that was read for up to maxDelay.
	delay
	// dropAll discards the bytes of both directions; connections remain open, and new ones are accepted.
	dropAll
	// dropResponses discards the bytes that the server sends.
	dropResponses
	// refuse resets new connections.
	refuse
	// busy answers the request on a new connection with status 503 and closes the connection.
	busy
)

// busyResponse is the response in mode busy.
const busyResponse = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

const maxDelay = 60 * time.Millisecond

// proxy is a TCP proxy on the loopback interface in front of one address.
type proxy struct {
	listener net.Listener
	mu       sync.Mutex
	target   string
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

// setTarget sets the address to which new connections are forwarded.
func (p *proxy) setTarget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = address
}

func (p *proxy) currentTarget() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target
}

func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset closes the open connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		abort(c)
	}
}

// abort closes a connection with a TCP reset.
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
	if p.currentMode() == refuse {
		abort(c)
		return
	}
	if p.currentMode() == busy {
		_, _ = c.Read(make([]byte, 16<<10))
		_, _ = io.WriteString(c, busyResponse)
		_ = c.Close()
		return
	}
	server, err := net.DialTimeout("tcp", p.currentTarget(), time.Second)
	if err != nil {
		abort(c)
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[server] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Add(2)
	go func() { defer directions.Done(); p.copy(server, c, false) }()
	go func() { defer directions.Done(); p.copy(c, server, true) }()
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, server)
	p.mu.Unlock()
	_, _ = c.Close(), server.Close()
}

// copy forwards bytes from one connection to the other, and then the end of the stream: a half-close at EOF, a reset after any
// other error. In a mode that discards this direction it forwards neither.
func (p *proxy) copy(to, from net.Conn, fromServer bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		m := p.currentMode()
		dropped := m == dropAll || m == dropResponses && fromServer
		if m == delay {
			time.Sleep(time.Duration(rand.Int64N(int64(maxDelay))))
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
