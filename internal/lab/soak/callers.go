package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hornbeamway/hornbeamway/internal/standin/platformserver"
)

const (
	callerWait   = 2 * time.Second
	thinkTime    = 25 * time.Millisecond
	bodyShare    = 0.3
	leaveShare   = 0.02
	readyTimeout = 500 * time.Millisecond
)

// balancer is the platform's: it sends new connections to VMs whose health checks pass, and to all if too few do.
type balancer struct {
	vms    []*vm
	mu     sync.Mutex
	misses []int
}

func (b *balancer) run(ctx context.Context) {
	for ctx.Err() == nil {
		for i, v := range b.vms {
			go b.check(i, v)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// healthClient asks for health on a connection of its own each time.
var healthClient = &http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// ready reports whether the health check of a VM passes.
func ready(v *vm) bool {
	resp, err := healthClient.Get("http://" + v.ip + ":" + healthPort + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (b *balancer) check(i int, v *vm) {
	ok := ready(v)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.misses[i]++
	if ok {
		b.misses[i] = 0
	}
}

func (b *balancer) pick() *vm {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []*vm
	for i, v := range b.vms {
		if b.misses[i] < 2 {
			ready = append(ready, v)
		}
	}
	if 2*len(ready) < len(b.vms) {
		ready = b.vms
	}
	return ready[rand.IntN(len(ready))]
}

// caller sends one request after the other on a connection that it keeps as long as it can.
type caller struct {
	world    *world
	balancer *balancer
	number   int
	sent     int
	conn     net.Conn
	reader   *bufio.Reader
	vm       *vm
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.conn == nil {
			c.dial()
		}
		if c.conn != nil && !c.ask() {
			_ = c.conn.Close()
			c.conn = nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rand.Int64N(int64(2 * thinkTime)))):
		}
	}
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

func (c *caller) dial() {
	c.vm = c.balancer.pick()
	conn, err := net.DialTimeout("tcp", c.vm.callers(), time.Second)
	if err == nil {
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
}

// ask sends one request. It reports whether the connection can be used again.
func (c *caller) ask() bool {
	c.sent++
	r := &request{id: fmt.Sprintf("%03d-%06d", c.number, c.sent), vm: c.vm.name, route: rand.IntN(len(routes)), sent: time.Now()}
	j := c.world.judge
	j.begin(r)
	if err := c.conn.SetDeadline(r.sent.Add(callerWait)); err != nil {
		return false
	}
	method, body := "GET", ""
	if routes[r.route].kind == "unsafe" || rand.Float64() < bodyShare {
		method, body = "POST", string(make([]byte, rand.IntN(6000)))
	}
	_, err := fmt.Fprintf(c.conn, "%s %sx HTTP/1.1\r\nHost: soak.example\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, routes[r.route].prefix, platformserver.HeaderRequestID, r.id, platformserver.HeaderDeadline, callerWait.Milliseconds(), len(body), body)
	if err != nil || rand.Float64() < leaveShare {
		return false
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		j.cut(r, c.vm.stopsInTime())
		return false
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		j.cut(r, c.vm.stopsInTime())
		return false
	}
	j.end(r, resp.StatusCode, resp.Header.Get(platformserver.HeaderRequestID), string(data), resp.Header.Get(platformserver.HeaderSignature) != "", time.Since(r.sent))
	return !resp.Close
}

// stopsInTime reports whether a planned stop of the VM is going on that nothing else disturbs.
func (v *vm) stopsInTime() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.stopping
}
