//go:build review

package kit

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Backend is one backend server. It serves one request at a time on a connection, Slots requests at once, and queues Queue more.
type Backend struct {
	Service, Zone string
	Slots, Queue  int
	// TellsLoad adds the load header to responses; the health path then responds immediately.
	TellsLoad bool
	// Work is the time that a request takes.
	Work func(r *Request) time.Duration
	// Body returns the body of the answer to a request.
	Body func(r *Request) []byte
	// WriteBody, if set, writes the body of an answer in place of a plain write. It returns false to end the connection.
	WriteBody func(c net.Conn, r *Request, body []byte) bool
	// After, if set, is called after each answer with the bytes that were sent.
	After func(c *Conn, r *Request, answer []byte)
	// Before, if set, is called when the next request has been read from a connection.
	Before func(c *Conn, r *Request)
	// Dark, if set, blocks while the server is silent and then returns false: the connection is lost. It returns true otherwise.
	Dark func() bool
	// OnRun is called when a request starts to run.
	OnRun func(b *Backend, r *Request)

	ID, Address string
	system      *System
	born        int64
	state       string
	down        bool
	seq         int
	listener    net.Listener
	slots       chan struct{}
	mu          sync.Mutex
	queued      int
	conns       map[*Conn]struct{}
}

// Conn is an accepted connection.
type Conn struct {
	net.Conn
	// Pending holds bytes that Before may send.
	Pending []byte
}

// Request is one request that a backend server has read.
type Request struct {
	ID, Method, Path string
	Deadline         time.Time
	Health           bool
}

func (b *Backend) listen() error { return b.listenAt("127.0.0.1:0") }

func (b *Backend) listenAt(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	b.listener, b.Address = l, l.Addr().String()
	b.slots, b.conns = make(chan struct{}, b.Slots), map[*Conn]struct{}{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if b.Dark != nil && !b.Dark() {
				_ = c.Close()
				continue
			}
			conn := &Conn{Conn: c}
			b.mu.Lock()
			b.conns[conn] = struct{}{}
			b.mu.Unlock()
			go b.serve(conn)
		}
	}()
	return nil
}

// Close ends the backend server.
func (b *Backend) Close() {
	_ = b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		_ = c.Close()
	}
}

// OpenConns returns the number of open connections.
func (b *Backend) OpenConns() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns)
}

func (b *Backend) serve(c *Conn) {
	defer func() {
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		hr, err := http.ReadRequest(reader)
		if err != nil || b.Dark != nil && !b.Dark() {
			return
		}
		if _, err := io.Copy(io.Discard, hr.Body); err != nil {
			return
		}
		ms, _ := strconv.Atoi(hr.Header.Get("Hornbeamway-Deadline-Ms"))
		r := &Request{ID: hr.Header.Get("Hornbeamway-Request-Id"), Method: hr.Method, Path: hr.URL.Path,
			Deadline: time.Now().Add(time.Duration(ms) * time.Millisecond), Health: hr.URL.Path == "/healthz"}
		if b.Before != nil {
			b.Before(c, r)
		}
		if expected := hr.Header.Get("Hornbeamway-Expect-Instance"); expected != "" && expected != b.ID {
			if !b.answer(c, r, 421, "", nil) {
				return
			}
			continue
		}
		if !b.handle(c, reader, r) {
			return
		}
	}
}

// handle waits for a slot, runs the request and answers it. It returns false if the connection has ended.
func (b *Backend) handle(c *Conn, reader *bufio.Reader, r *Request) bool {
	if r.Health && b.TellsLoad {
		return b.answer(c, r, 200, "", nil)
	}
	gone := make(chan struct{})
	next := make(chan struct{})
	go func() {
		defer close(next)
		if _, err := reader.Peek(1); err != nil {
			close(gone)
		}
	}()
	ok := b.run(c, r, gone)
	if ok {
		<-next
	}
	return ok
}

func (b *Backend) run(c *Conn, r *Request, gone chan struct{}) bool {
	select {
	case b.slots <- struct{}{}:
	default:
		b.mu.Lock()
		full := b.queued >= b.Queue
		if !full {
			b.queued++
		}
		b.mu.Unlock()
		if full {
			return b.answer(c, r, 503, "Hornbeamway-Not-Executed: 1\r\n", nil)
		}
		var timeout <-chan time.Time
		if !r.Health {
			timeout = time.After(time.Until(r.Deadline))
		}
		taken := false
		select {
		case b.slots <- struct{}{}:
			taken = true
		case <-timeout:
		case <-gone:
		}
		b.mu.Lock()
		b.queued--
		b.mu.Unlock()
		if !taken {
			return b.answer(c, r, 503, "Hornbeamway-Not-Executed: 1\r\n", nil)
		}
	}
	release := sync.OnceFunc(func() { <-b.slots })
	defer release()
	if r.Health {
		release()
		return b.answer(c, r, 200, "", nil)
	}
	if b.OnRun != nil {
		b.OnRun(b, r)
	}
	work, left := b.Work(r), time.Until(r.Deadline)
	select {
	case <-time.After(min(work, left)):
	case <-gone:
		return false
	}
	release()
	if work > left {
		return b.answer(c, r, 504, "Hornbeamway-Response-Signature: "+Signature(b.ID, r.ID)+"\r\n", nil)
	}
	return b.answer(c, r, 200, "Hornbeamway-Response-Signature: "+Signature(b.ID, r.ID)+"\r\n", b.Body(r))
}

// Signature stands for a backend server's proof.
func Signature(server, request string) string { return "3e1b." + server + "." + request }

// Content returns the content of an answer of n bytes, which names its request.
func Content(id string, n int) []byte {
	return bytes.Repeat([]byte(id+" "), n/(len(id)+1)+1)[:n]
}

func (b *Backend) answer(c *Conn, r *Request, status int, headers string, body []byte) bool {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\nHornbeamway-Instance-Id: %s\r\n", status, http.StatusText(status),
		len(body), b.ID)
	if r.ID != "" {
		head += "Hornbeamway-Request-Id: " + r.ID + "\r\n"
	}
	if b.TellsLoad {
		b.mu.Lock()
		head += fmt.Sprintf("Hornbeamway-Server-Load: %d,%d,%d,100\r\n", len(b.slots), b.queued, b.Slots)
		b.mu.Unlock()
	}
	head += headers + "\r\n"
	if b.Dark != nil && !b.Dark() {
		return false
	}
	if b.WriteBody != nil && len(body) > 0 {
		if _, err := io.WriteString(c, head); err != nil {
			return false
		}
		return b.WriteBody(c, r, body)
	}
	sent := append([]byte(head), body...)
	if _, err := c.Write(sent); err != nil {
		return false
	}
	if b.After != nil {
		b.After(c, r, sent)
	}
	return true
}
