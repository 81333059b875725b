package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/hornbeamway/hornbeamway/pkg/directory"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

// stepKind is what a server does with a request.
type stepKind string

const (
	refuses      stepKind = "refuses"
	runs         stepKind = "runs"
	runsAndFails stepKind = "runs and fails"
	runsAndDrops stepKind = "runs and closes the connection"
)

// copyTime is when a server writes the copies of a response.
type copyTime string

const (
	withResponse    copyTime = "with the response"
	afterDelay      copyTime = "after a delay"
	withNextRequest copyTime = "when the next request has arrived"
)

// refusalFraming is how a server writes the body of a refusal.
type refusalFraming string

const (
	emptyBody   refusalFraming = "empty"
	largeChunks refusalFraming = "chunked"
	largeLength refusalFraming = "large"
	brokenBody  refusalFraming = "broken"
)

const (
	// refusalBodySize is more than the transport buffers.
	refusalBodySize = 20_000
	// copyGap is the time by which copies precede the response to the request that they meet.
	copyGap = time.Millisecond
	// orderWait is how long a caller waits for an order, and repeatPause its pause after a refusal.
	orderWait = 400 * time.Millisecond
	// ordersAtOnce is low, so that an order often finds the connection on which it was refused idle.
	ordersAtOnce = 3
	repeatPause  = 3 * time.Millisecond
)

// step is what a server does with one attempt of an order, whichever server receives it.
type step struct {
	kind      stepKind
	status    int
	framing   refusalFraming
	interim   bool
	copies    int
	copyTime  copyTime
	copyDelay time.Duration
	// relist is true if the servers are listed under other ids before the response, so that the next attempt may go to the same address.
	relist bool
}

// scriptedOrder is a non-idempotent request. After its steps, further attempts run.
type scriptedOrder struct {
	path  string
	steps []step
	// repeats is how often the caller sends the order again under its id after a refusal.
	repeats int
}

var steps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	return step{
		kind:      rapid.SampledFrom([]stepKind{refuses, refuses, refuses, runs, runsAndFails, runsAndDrops}).Draw(t, "kind"),
		status:    rapid.SampledFrom([]int{503, 429, 421, 400, 200}).Draw(t, "status"),
		framing:   rapid.SampledFrom([]refusalFraming{emptyBody, emptyBody, largeChunks, largeLength, brokenBody}).Draw(t, "framing"),
		interim:   rapid.Bool().Draw(t, "interim"),
		copies:    rapid.SampledFrom([]int{0, 1, 1, 2, 6}).Draw(t, "copies"),
		copyTime:  rapid.SampledFrom([]copyTime{withResponse, afterDelay, withNextRequest, withNextRequest}).Draw(t, "copyTime"),
		copyDelay: time.Duration(rapid.SampledFrom([]int{0, 1, 3, 10}).Draw(t, "copyDelayMs")) * time.Millisecond,
		relist:    rapid.Bool().Draw(t, "relist"),
	}
}), 0, 4)

var scriptedOrders = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) scriptedOrder {
	return scriptedOrder{
		path:    rapid.SampledFrom([]string{"/once/", "/patient/", "/upload/"}).Draw(t, "path"),
		steps:   steps.Draw(t, "steps"),
		repeats: rapid.IntRange(0, 4).Draw(t, "repeats"),
	}
}), 40, 120)

// refusal returns a refusal, with the id of the request if it has one.
func (s step) refusal(id string) string {
	named := ""
	if id != "" {
		named = "Id: " + id + "\r\n"
	}
	head := fmt.Sprintf("HTTP/1.1 %d X\r\n%s", s.status, named)
	if s.status != http.StatusMisdirectedRequest {
		head += "Not-Run: 1\r\n"
	}
	if s.interim {
		head = "HTTP/1.1 103 X\r\n" + named + "\r\n" + head
	}
	body := strings.Repeat("x", refusalBodySize)
	switch s.framing {
	case largeChunks:
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", refusalBodySize, body)
	case largeLength:
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", refusalBodySize, body)
	case brokenBody:
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", refusalBodySize, body[1:])
	}
	return head + "Content-Length: 0\r\n\r\n"
}

// orderServers are the servers of a service. They repeat responses and count the runs of each order.
type orderServers struct {
	mu       sync.Mutex
	orders   map[string]scriptedOrder
	attempts map[string]int
	runs     map[string]int
	conns    map[net.Conn]*repeatingConn
	// relist lists the servers under other ids.
	relist func()
	// met counts the copies that were written while another request was waiting on their connection.
	met atomic.Int64
}

// repeatingConn is a connection on which responses are repeated.
type repeatingConn struct {
	net.Conn
	mu sync.Mutex
	// pending are the copies to be written when the next request arrives.
	pending bytes.Buffer
}

// write writes whole responses, so that no copy ends up within another response.
func (c *repeatingConn) write(text string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := c.Conn.Write([]byte(text))
	return err == nil
}

// writePending writes the copies that wait for a request, and reports whether there were any.
func (c *repeatingConn) writePending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, _ := c.pending.WriteTo(c.Conn)
	return n > 0
}

// writeWithCopies writes a response and its copies as the step says.
func (c *repeatingConn) writeWithCopies(s step, text string) bool {
	copies := strings.Repeat(text, s.copies)
	switch s.copyTime {
	case withResponse:
		return c.write(text + copies)
	case afterDelay:
		time.AfterFunc(s.copyDelay, func() { c.write(copies) })
	case withNextRequest:
		c.mu.Lock()
		c.pending.WriteString(copies)
		c.mu.Unlock()
	}
	return c.write(text)
}

func (s *orderServers) connOf(c net.Conn) *repeatingConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[c] == nil {
		s.conns[c] = &repeatingConn{Conn: c}
	}
	return s.conns[c]
}

// next returns what to do with an attempt of an order, and counts it.
func (s *orderServers) next(id string) step {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.attempts[id]
	s.attempts[id]++
	next := step{kind: runs}
	if script := s.orders[id].steps; n < len(script) {
		next = script[n]
	}
	if next.kind != refuses {
		s.runs[id]++
	}
	return next
}

func (s *orderServers) respond(r *receivedRequest, c net.Conn) bool {
	conn, id := s.connOf(c), r.Header.Get("Id")
	if conn.writePending() {
		s.met.Add(1)
		time.Sleep(copyGap)
	}
	if id == "" {
		probe := step{status: http.StatusServiceUnavailable, copies: 1, copyTime: withNextRequest}
		return conn.writeWithCopies(probe, probe.refusal(""))
	}
	next := s.next(id)
	if next.relist {
		s.relist()
	}
	signed := "Id: " + id + "\r\nProof: p\r\n"
	switch next.kind {
	case refuses:
		if next.framing == brokenBody {
			conn.write(next.refusal(id))
			return false
		}
		return conn.writeWithCopies(next, next.refusal(id))
	case runsAndDrops:
		return false
	case runsAndFails:
		return conn.writeWithCopies(next, "HTTP/1.1 500 X\r\n"+signed+"Content-Length: 0\r\n\r\n")
	}
	return conn.writeWithCopies(next, fmt.Sprintf("HTTP/1.1 200 X\r\n%sContent-Length: %d\r\n\r\n%s", signed, len(id), id))
}

// promisesNotRun reports whether a status promises the caller that its request was not run.
func promisesNotRun(status int) bool { return slices.Contains([]int{503, 429, 421, 408}, status) }

// orderFixture is a gateway with two servers that repeat responses.
type orderFixture struct {
	*fixture
	servers  *orderServers
	backends []*backend
	listing  atomic.Int64
}

func startOrders() *orderFixture {
	s := &orderServers{orders: map[string]scriptedOrder{}, attempts: map[string]int{}, runs: map[string]int{},
		conns: map[net.Conn]*repeatingConn{}}
	backends := []*backend{startBackend(s.respond), startBackend(s.respond)}
	f := &orderFixture{fixture: startGateway(backends...), servers: s, backends: backends}
	f.listing.Store(1)
	s.relist = f.relist
	return f
}

// relist lists the servers as others at the same addresses.
func (f *orderFixture) relist() {
	const slots = 64
	listing := f.listing.Add(1)
	snap := directory.Snapshot{Digest: directory.Digest{ConfigVersion: 1, ServersRevision: listing}}
	for i, b := range f.backends {
		snap.Servers = append(snap.Servers, directory.Server{ID: fmt.Sprintf("s%d-%d", i, listing), Service: "s", Address: b.address,
			DataCentre: "d", Region: "r", Slots: slots, Incarnation: listing})
	}
	f.state.ApplySnapshot(snap, "test")
}

// probe sends requests without an id on the connections that orders use, as the prober does.
func (f *orderFixture) probe(ctx context.Context) {
	const interval = 10 * time.Millisecond
	classify := func(h *fasthttp.ResponseHeader) upstream.Verdict {
		if len(h.Peek("Id")) > 0 {
			return upstream.Foreign
		}
		return upstream.Accepted
	}
	for i := 0; ctx.Err() == nil; i++ {
		req := fasthttp.AcquireRequest()
		req.SetRequestURI("http://h/health")
		a := upstream.Attempt{Address: f.backends[i%len(f.backends)].address, Idempotent: true, Classify: classify,
			Deadline: time.Now().Add(orderWait)}
		_ = f.Servers.RoundTrip(ctx, a, req, &fasthttp.Response{})
		fasthttp.ReleaseRequest(req)
		time.Sleep(interval)
	}
}

// place sends an order, and again after a refusal as often as its script says. It returns the last response.
func (f *orderFixture) place(id string, o scriptedOrder) response {
	for repeat := 0; ; repeat++ {
		c := f.dial()
		c.sendWaiting(orderWait, "POST", o.path, id, []byte("order"))
		last := c.receive()
		_ = c.Close()
		if last.err != nil || !promisesNotRun(last.StatusCode) || repeat == o.repeats {
			return last
		}
		// A server that has answered 421 gets requests again only when it is listed anew.
		f.relist()
		time.Sleep(repeatPause)
	}
}

// check returns how an order broke a guarantee, or an empty string. An order runs at most once, and not at all if its last response
// promises that it was not run.
func (f *orderFixture) check(id string, last response) string {
	f.servers.mu.Lock()
	defer f.servers.mu.Unlock()
	ran, attempts := f.servers.runs[id], f.servers.attempts[id]
	switch {
	case ran > 1:
		return fmt.Sprintf("order %s ran %d times in %d attempts", id, ran, attempts)
	case last.err == nil && promisesNotRun(last.StatusCode) && ran > 0:
		return fmt.Sprintf("order %s ran although it was refused with status %d: %s", id, last.StatusCode, last.body)
	case last.err == nil && last.StatusCode == http.StatusOK && last.body != id:
		return fmt.Sprintf("order %s got the response %q", id, last.body)
	}
	return ""
}

var _ = Describe("non-idempotent requests", func() {
	// Guards against a request that runs twice, or although its caller was told that it had not run: whatever servers refuse, repeat
	// or break off, and however often the caller sends a refused request again.
	It("run at most once, and never after a refusal, whatever servers repeat", func() {
		f := startOrders()
		answered := map[int]int{}
		f.relist()
		ctx, cancel := context.WithCancel(context.Background())
		var probing sync.WaitGroup
		probing.Go(func() { f.probe(ctx) })
		lastOf, placed := map[string]response{}, 0
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var (
				placing errgroup.Group
				mu      sync.Mutex
			)
			placing.SetLimit(ordersAtOnce)
			for _, o := range scriptedOrders.Draw(t, "orders") {
				id := fmt.Sprintf("order-%d", placed)
				placed++
				f.servers.mu.Lock()
				f.servers.orders[id] = o
				f.servers.mu.Unlock()
				placing.Go(func() error {
					defer GinkgoRecover()
					last := f.place(id, o)
					mu.Lock()
					defer mu.Unlock()
					lastOf[id] = last
					if fault := f.check(id, last); fault != "" {
						t.Errorf("%s; script %+v", fault, o)
					}
					if last.err == nil {
						answered[last.StatusCode]++
					}
					return nil
				})
			}
			_ = placing.Wait()
		})
		cancel()
		probing.Wait()
		for id, last := range lastOf {
			Expect(f.check(id, last)).To(BeEmpty())
		}
		GinkgoWriter.Println("orders", placed, "last responses by status", answered, "copies that met a request", f.servers.met.Load())
		Expect(answered).To(And(HaveKey(200), HaveKey(502), HaveKey(503)))
		Expect(f.servers.met.Load()).To(BeNumerically(">", 10))
	})
})
