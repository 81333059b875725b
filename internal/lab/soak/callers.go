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

	"github.com/hornbeamway/hornbeamway/internal/lab/pause"
	"github.com/hornbeamway/hornbeamway/internal/standin/platformserver"
)

const (
	// callerTimeout bounds one request, from its start to the end of its response.
	callerTimeout = 2 * time.Second
	// thinkTime is the mean pause between two requests of a caller, and quietThinkTime the one in every second spellDuration, in
	// which load reports become stale and the VMs probe servers.
	thinkTime      = 45 * time.Millisecond
	quietThinkTime = 300 * time.Millisecond
	spellDuration  = 2 * time.Second
	// bodyShare is the share of the requests on safe routes that are sent with POST and a body.
	bodyShare = 0.3
	// abandonShare is the share of the requests whose connection is closed before the response is read.
	abandonShare = 0.02
	// readyTimeout bounds one health check.
	readyTimeout = 500 * time.Millisecond
)

// balancer stands in for the platform's load balancer. It sends new connections to VMs that failed fewer than two health checks
// in a row, and to all VMs if fewer than half of them qualify.
type balancer struct {
	vms          []*vm
	mu           sync.Mutex
	failedChecks []int
}

func (b *balancer) run(ctx context.Context) {
	for ctx.Err() == nil {
		for i, v := range b.vms {
			go b.check(i, v)
		}
		pause.Sleep(ctx, time.Second)
	}
}

// healthClient opens a new connection for each health check.
var healthClient = &http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// ready reports whether a health check of the VM passes.
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
	b.failedChecks[i]++
	if ok {
		b.failedChecks[i] = 0
	}
}

func (b *balancer) pickVM() *vm {
	b.mu.Lock()
	defer b.mu.Unlock()
	var candidates []*vm
	for i, v := range b.vms {
		if b.failedChecks[i] < 2 {
			candidates = append(candidates, v)
		}
	}
	if 2*len(candidates) < len(b.vms) {
		candidates = b.vms
	}
	return candidates[rand.IntN(len(candidates))]
}

// caller sends requests one after another and reuses its connection as long as possible.
type caller struct {
	harness  *harness
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
		if c.conn != nil && !c.sendRequest() {
			_ = c.conn.Close()
			c.conn = nil
		}
		pause.Sleep(ctx, rand.N(2*currentThinkTime()))
	}
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

func currentThinkTime() time.Duration {
	if time.Now().UnixMilli()/spellDuration.Milliseconds()%2 == 0 {
		return thinkTime
	}
	return quietThinkTime
}

func (c *caller) dial() {
	c.vm = c.balancer.pickVM()
	conn, err := net.DialTimeout("tcp", c.vm.callersAddress(), time.Second)
	if err == nil {
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
}

// sendRequest sends one request and reports whether the connection can be reused.
func (c *caller) sendRequest() bool {
	c.sent++
	index, route := c.harness.operator.pickRoute()
	r := &request{id: fmt.Sprintf("%03d-%06d", c.number, c.sent), vm: c.vm.name, route: index, sent: time.Now()}
	checker := c.harness.checker
	checker.requestSent(r)
	if err := c.conn.SetDeadline(r.sent.Add(callerTimeout)); err != nil {
		return false
	}
	method, body := "GET", ""
	if route.kind == "unsafe" || rand.Float64() < bodyShare {
		method, body = "POST", string(make([]byte, rand.IntN(6000)))
	}
	_, err := fmt.Fprintf(c.conn, "%s %sx HTTP/1.1\r\nHost: "+host+"\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, route.prefix, platformserver.HeaderRequestID, r.id, platformserver.HeaderDeadline,
		callerTimeout.Milliseconds(), len(body), body)
	if err != nil || rand.Float64() < abandonShare {
		return false
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		checker.connectionLost(r, c.vm.inPlannedStop())
		return false
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		checker.connectionLost(r, c.vm.inPlannedStop())
		return false
	}
	checker.responseReceived(r, response{status: resp.StatusCode, requestID: resp.Header.Get(platformserver.HeaderRequestID),
		body: string(data), signature: resp.Header.Get(platformserver.HeaderSignature),
		leaving: resp.Header.Get(platformserver.HeaderLeaving) != "", elapsed: time.Since(r.sent)})
	return !resp.Close
}

// inPlannedStop reports whether the VM is in a planned stop during which no other fault acts on its process.
func (v *vm) inPlannedStop() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.stopping
}
