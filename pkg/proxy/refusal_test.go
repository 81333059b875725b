package proxy_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
	"github.com/hornbeamway/hornbeamway/pkg/proxy"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

// told reads the problem of an answer.
func told(resp *http.Response) problem.Problem {
	GinkgoHelper()
	var p problem.Problem
	body := text(resp)
	Expect(resp.Header.Get("Content-Type")).To(Equal(problem.ContentType), "%s", body)
	Expect(json.Unmarshal([]byte(body), &p)).To(Succeed())
	Expect(p.Status).To(Equal(resp.StatusCode))
	Expect(p.RequestID).To(Equal(resp.Header.Get("X-Request-Id")))
	return p
}

// refusedAddress returns an address on which nothing listens.
func refusedAddress() string {
	l := listen(GinkgoTB())
	Expect(l.Close()).To(Succeed())
	return l.Addr().String()
}

// silent starts a server that accepts connections and never answers. arrived gets the first bytes of each connection, ended
// the end of each connection.
func silent() (address string, arrived, ended chan string) {
	l := listen(GinkgoTB())
	DeferCleanup(l.Close)
	arrived, ended = make(chan string, 100), make(chan string, 100)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				b := make([]byte, 4096)
				n, _ := c.Read(b)
				arrived <- string(b[:n])
				_, err := io.Copy(io.Discard, c)
				ended <- fmt.Sprint(err)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String(), arrived, ended
}

func answering(status int, headers ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		for i := 0; i+1 < len(headers); i += 2 {
			w.Header().Set(headers[i], headers[i+1])
		}
		w.WriteHeader(status)
	}
}

func aborting(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// Guards against a refusal that tells the wrong outcome: a caller repeats what it is told was not run.
var _ = DescribeTable("tells outcome and attempt of a refusal",
	func(server func() string, prepare func(*vm), method, path string, headers []string, status int, outcome problem.Outcome, reason problem.Reason) {
		vms := pair(server())
		if prepare != nil {
			prepare(vms[0])
		}
		for _, v := range vms {
			By(v.name)
			resp := do(method, v.url(path), "x", append(headers, "Idempotency-Key", "key-"+v.name, "X-Request-Id", "r1")...)
			p := told(resp)
			Expect(p.Status).To(Equal(status), "%+v", p)
			Expect(p.Outcome).To(Equal(outcome), "%+v", p)
			Expect(p.Attempt).To(Equal(outcome), "%+v", p)
			Expect(p.Reason).To(Equal(reason), "%+v", p)
			Expect(resp.Header.Get("Retry-After") != "").To(Equal(status == 503), "%+v", p)
		}
	},
	Entry("refused connection, view", refusedAddress, nil, "PUT", "/view", nil, 503, problem.NotRun, problem.ReasonUpstream),
	Entry("refused connection, operation", refusedAddress, nil, "POST", "/orders", nil, 503, problem.NotRun, problem.ReasonUpstream),
	Entry("shed, view", func() string { return backend(answering(503, "Hornbeamway-Not-Run", "1")) }, nil,
		"PUT", "/view", nil, 503, problem.NotRun, problem.ReasonUpstream),
	Entry("shed, operation", func() string { return backend(answering(503, "Hornbeamway-Not-Run", "1")) }, nil,
		"POST", "/orders", nil, 503, problem.NotRun, problem.ReasonUpstream),
	Entry("drain", func() string { return backend(answering(503, "Hornbeamway-Not-Run", "1", "Hornbeamway-Drain", "1")) }, nil,
		"POST", "/orders", nil, 503, problem.NotRun, problem.ReasonUpstream),
	Entry("expired at the server", func() string { return backend(answering(504, "Hornbeamway-Not-Run", "1")) }, nil,
		"POST", "/orders", nil, 504, problem.NotRun, problem.ReasonDeadline),
	Entry("queue full", refusedAddress, func(v *vm) {
		v.pools.err = problem.New(503, problem.NotRun, problem.ReasonQueueFull, "full").WithRetryAfter(time.Second)
	}, "POST", "/orders", nil, 503, problem.NotRun, problem.ReasonQueueFull),
	Entry("no time left", refusedAddress, nil, "POST", "/orders", []string{"X-Deadline-Ms", "0"}, 504, problem.NotRun, problem.ReasonDeadline),
	Entry("deadline after the write, view", func() string { a, _, _ := silent(); return a }, nil,
		"PUT", "/view", []string{"X-Deadline-Ms", "150"}, 504, problem.Unknown, problem.ReasonDeadline),
	Entry("deadline after the write, operation", func() string { a, _, _ := silent(); return a }, nil,
		"POST", "/orders", []string{"X-Deadline-Ms", "150"}, 504, problem.Unknown, problem.ReasonDeadline),
	Entry("cut answer, view", func() string { return backend(aborting) }, nil, "PUT", "/view", nil, 502, problem.Unknown, problem.ReasonUpstream),
	Entry("cut answer, operation", func() string { return backend(aborting) }, nil, "POST", "/orders", nil, 502, problem.Unknown, problem.ReasonUpstream),
	Entry("malformed deadline", refusedAddress, nil, "PUT", "/view", []string{"X-Deadline-Ms", "1s"},
		400, problem.NotRun, problem.ReasonBadRequest),
)

var _ = Describe("refusing and retrying", func() {
	// Guards against an expired call that reaches a backend server.
	It("never writes an expired call", func() {
		var calls atomic.Int64
		address := backend(func(http.ResponseWriter, *http.Request) { calls.Add(1) })
		for _, v := range pair(address) {
			Expect(told(do("GET", v.url("/view"), "", "X-Deadline-Ms", "0")).Reason).To(Equal(problem.ReasonDeadline))
		}
		Expect(calls.Load()).To(BeZero())
	})

	// Guards against a connection limit that is told as a failure of the backend server.
	It("tells a reached connection limit as not run and as unsent", func() {
		address, arrived, _ := silent()
		v := newVM(GinkgoTB(), "e1", []string{address}, func(o *proxy.Options) {
			o.Backends = upstream.NewTransport(upstream.Options{MaxConns: func(string) int { return 1 }})
		})
		go func() { _, _ = http.Get(v.url("/view")) }()
		Eventually(arrived).Should(Receive())
		p := told(do("POST", v.url("/orders"), "", "Idempotency-Key", "k", "X-Deadline-Ms", "300"))
		Expect(p.Outcome).To(Equal(problem.NotRun))
		Expect(p.Status).To(Equal(503))
		v.pools.mu.Lock()
		defer v.pools.mu.Unlock()
		Expect(v.pools.results).To(HaveEach(dispatch.Unsent))
	})

	// Guards against refusals that are paid for at every pool in a flood, and against calls that stay at a pool without servers.
	DescribeTable("brings a refused call to the next pool only when that can help", func(reason problem.Reason, visits int) {
		next := backend(answering(http.StatusOK))
		other := newVM(GinkgoTB(), "e2", []string{next}, nil)
		v := newVM(GinkgoTB(), "e1", nil, func(o *proxy.Options) {
			o.Placement = &fakePlacement{targets: []proxy.Target{localTarget, {Pool: testPool, VM: "e2", Forward: other.forward, OtherRegion: true}}}
		})
		v.pools.err = problem.New(503, problem.NotRun, reason, "refused").WithRetryAfter(time.Second)
		_ = text(do("GET", v.url("/view"), ""))
		Expect(other.pools.finished()).To(HaveLen(visits))
	},
		Entry("queue full", problem.ReasonQueueFull, 0),
		Entry("expected wait too long", problem.ReasonDeadlineTooShort, 0),
		Entry("no server", problem.ReasonNoServer, 1),
		Entry("stopped dispatcher", problem.ReasonDraining, 1),
	)

	// Guards against refusals that cost a hop each in a flood, and against refusing what can still be served.
	DescribeTable("refuses without a hop what the pool's expected wait excludes", func(wait time.Duration, visits int) {
		other := newVM(GinkgoTB(), "e2", []string{backend(answering(http.StatusOK))}, nil)
		v := newVM(GinkgoTB(), "e1", nil, func(o *proxy.Options) {
			o.Placement = &fakePlacement{targets: []proxy.Target{{Pool: testPool, VM: "e2", Forward: other.forward, ExpectedWait: wait}}}
		})
		resp := do("GET", v.url("/view"), "", "X-Deadline-Ms", "2000")
		if visits == 0 {
			p := told(resp)
			Expect(p.Reason).To(Equal(problem.ReasonDeadlineTooShort))
			Expect(p.Outcome).To(Equal(problem.NotRun))
			Expect(resp.Header.Get("Retry-After")).To(Equal("4"))
		}
		_ = text(resp)
		Expect(other.pools.finished()).To(HaveLen(visits))
	},
		Entry("longer than the deadline", 3500*time.Millisecond, 0),
		Entry("within the deadline", time.Second, 1),
		Entry("not known", time.Duration(0), 1),
	)

	// Guards against a dispatcher with a long queue that is taken for dead, and against one that is dead and is waited for.
	DescribeTable("waits for a dispatcher as long as its queue is", func(wait time.Duration, visits int) {
		slow := newVM(GinkgoTB(), "e2", []string{backend(func(http.ResponseWriter, *http.Request) { time.Sleep(500 * time.Millisecond) })}, nil)
		next := newVM(GinkgoTB(), "e3", []string{backend(answering(http.StatusOK))}, nil)
		placement := &fakePlacement{targets: []proxy.Target{
			{Pool: testPool, VM: "e2", Forward: slow.forward, RecentWait: wait}, {Pool: testPool, VM: "e3", Forward: next.forward},
		}}
		v := newVM(GinkgoTB(), "e1", nil, func(o *proxy.Options) { o.Placement = placement })
		Expect(do("GET", v.url("/view"), "", "X-Deadline-Ms", "900").StatusCode).To(Equal(http.StatusOK))
		Expect(next.pools.finished()).To(HaveLen(visits))
		Expect(placement.suspect).To(HaveLen(visits))
	},
		Entry("long queue", 200*time.Millisecond, 0),
		Entry("no queue", time.Duration(0), 1),
	)

	// Guards against a second attempt that hides that the first one may have been run.
	It("never tells not run after an attempt that may have been run", func() {
		address := backend(aborting)
		v := newVM(GinkgoTB(), "e1", []string{address}, nil)
		v.pools.errAfter, v.pools.err = 1, problem.New(503, problem.NotRun, problem.ReasonQueueFull, "full")
		p := told(do("PUT", v.url("/view"), ""))
		Expect(p.Reason).To(Equal(problem.ReasonQueueFull))
		Expect(p.Outcome).To(Equal(problem.Unknown))
		Expect(p.Attempt).To(Equal(problem.Unknown))
	})

	// Guards against retries beyond their bound or budget, or multiplied along a chain of calls.
	It("retries within its bound and budget, and never a retry", func() {
		var attempts []string
		address := backend(func(w http.ResponseWriter, r *http.Request) {
			attempts = append(attempts, r.Header.Get("Hornbeamway-Attempt"))
			w.WriteHeader(500)
		})
		for i := range 2 {
			v := pair(address)[i]
			attempts = nil
			Expect(do("GET", v.url("/view"), "").StatusCode).To(Equal(500))
			Expect(attempts).To(Equal([]string{"", "1", "2"}))
			attempts = nil
			Expect(do("GET", v.url("/view"), "", "Hornbeamway-Attempt", "1").StatusCode).To(Equal(500))
			Expect(attempts).To(Equal([]string{"1"}))
			attempts = nil
			for range 50 {
				Expect(do("GET", v.url("/view"), "").StatusCode).To(Equal(500))
			}
			// The bucket holds 10 at first, of which 2 were used, and gains 0.1 for each call.
			Expect(len(attempts)).To(BeNumerically("<=", 50+10+5))
		}
	})

	// Guards against an operation that is sent a second time after a byte was written.
	It("sends an operation again only when it was not run", func() {
		var first, second atomic.Int64
		lossy := backend(func(w http.ResponseWriter, r *http.Request) { first.Add(1); aborting(w, r) })
		well := backend(func(http.ResponseWriter, *http.Request) { second.Add(1) })
		v := newVM(GinkgoTB(), "e1", []string{lossy, well}, nil)
		Expect(told(do("POST", v.url("/orders"), "", "Idempotency-Key", "k1")).Outcome).To(Equal(problem.Unknown))
		Expect(first.Load()).To(BeEquivalentTo(1))
		Expect(second.Load()).To(BeZero())
		v.pools.servers = []string{refusedAddress(), well}
		Expect(do("POST", v.url("/orders"), "", "Idempotency-Key", "k2").StatusCode).To(Equal(200))
		Expect(second.Load()).To(BeEquivalentTo(1))
	})

	// Guards against a body that was read by one attempt and reaches the next one cut.
	It("sends a streamed body to one server only once a part of it was taken", func() {
		var length atomic.Int64
		well := backend(func(_ http.ResponseWriter, r *http.Request) {
			n, _ := io.Copy(io.Discard, r.Body)
			length.Store(n)
		})
		lossy := backend(aborting)
		v := newVM(GinkgoTB(), "e1", []string{refusedAddress(), well}, nil)
		v.placement.targets = []proxy.Target{{Pool: testPool, VM: "gone", Forward: refusedAddress()}, localTarget}
		body := strings.Repeat("x", 500_000)
		Expect(do("PUT", v.url("/large"), body).StatusCode).To(Equal(200))
		Expect(length.Load()).To(BeEquivalentTo(len(body)))
		Expect(v.placement.suspect).To(Equal([]string{"gone"}))
		v.pools.servers = []string{lossy, well}
		length.Store(0)
		Expect(told(do("PUT", v.url("/large"), body)).Outcome).To(Equal(problem.Unknown))
		Expect(length.Load()).To(BeZero())
	})

	// Guards against an upload that a server refused early and that is told as failed.
	It("passes an answer that comes before the request was sent whole", func() {
		address := backend(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(422)
		})
		for _, v := range pair(address) {
			By(v.name)
			Expect(do("PUT", v.url("/large"), strings.Repeat("x", 4<<20)).StatusCode).To(Equal(422))
		}
	})

	// Guards against a load report or a suspicion that is lost, so that calls go on to a VM that is slow or gone.
	It("learns the load of a pool from forwarded calls", func() {
		vms := pair(backend(answering(200)))
		vms[0].pools.p95 = time.Second
		placement := &fakePlacement{targets: []proxy.Target{{Pool: testPool, VM: "e1", Forward: vms[0].forward}}}
		entry := newVM(GinkgoTB(), "e3", nil, func(o *proxy.Options) { o.Placement = placement })
		Expect(do("GET", entry.url("/view"), "").StatusCode).To(Equal(200))
		Expect(placement.learnt).To(Equal(7 * time.Millisecond))
	})
})

var _ = Describe("silent and leaving sides", func() {
	// Guards against a call that waits on a connection that went silent for good.
	It("brings an idempotent call to a new connection, and leaves an operation to its deadline", func() {
		stalled, arrived, _ := silent()
		well := backend(answering(200))
		v := newVM(GinkgoTB(), "e1", []string{stalled, well}, nil)
		v.pools.p95 = time.Millisecond
		started := time.Now()
		Expect(do("GET", v.url("/view"), "").StatusCode).To(Equal(200))
		Expect(time.Since(started)).To(BeNumerically("<", 2*time.Second))
		Eventually(arrived).Should(Receive(HavePrefix("GET /view")))
		started = time.Now()
		p := told(do("POST", v.url("/orders"), "", "Idempotency-Key", "k", "X-Deadline-Ms", "300"))
		Expect(time.Since(started)).To(BeNumerically(">=", 290*time.Millisecond))
		Expect(p.Outcome).To(Equal(problem.Unknown))
		Expect(p.Reason).To(Equal(problem.ReasonDeadline))
	})

	// Guards against work for a caller that has left, and against an operation whose outcome is lost with its caller.
	It("cancels a call when the caller leaves, but not an operation", func() {
		address, arrived, ended := silent()
		for _, v := range pair(address) {
			leave := func(head string) {
				c, err := net.Dial("tcp", v.callers)
				Expect(err).NotTo(HaveOccurred())
				_, err = io.WriteString(c, head)
				Expect(err).NotTo(HaveOccurred())
				Eventually(arrived).Should(Receive())
				Expect(c.Close()).To(Succeed())
			}
			leave("GET /view HTTP/1.1\r\nHost: x\r\n\r\n")
			Eventually(ended).Should(Receive())
			Expect(v.placement.suspect).To(BeEmpty())
			leave("POST /orders HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nX-Deadline-Ms: 600\r\nContent-Length: 0\r\n\r\n")
			Consistently(ended, "300ms").ShouldNot(Receive())
			Eventually(ended, "2s").Should(Receive())
		}
	})

	// Guards against a late answer that reaches the next caller.
	It("never gives a late answer to another caller", func() {
		release := make(chan struct{})
		address := backend(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Query().Get("n") == "1" {
				<-release
			}
			_, _ = io.WriteString(w, r.URL.Query().Get("n"))
		})
		v := pair(address)[1]
		Expect(told(do("GET", v.url("/view?n=1"), "", "X-Deadline-Ms", "200")).Reason).To(Equal(problem.ReasonDeadline))
		close(release)
		for n := range 20 {
			Expect(text(do("GET", v.url(fmt.Sprintf("/view?n=%d", n+2)), ""))).To(Equal(fmt.Sprint(n + 2)))
		}
	})

	// Guards against a VM that started while the VM list was down and draws callers although it knows no backend server.
	It("is not ready until the backend servers are known", func() {
		v := pair("127.0.0.1:1")[0]
		v.placement.unknown = true
		Expect(do("GET", v.url("/.well-known/hornbeamway/readyz"), "").StatusCode).To(Equal(503))
		v.placement.unknown = false
		Expect(do("GET", v.url("/.well-known/hornbeamway/readyz"), "").StatusCode).To(Equal(200))
	})

	// Guards against a planned stop that cuts a call, or that waits for connections on which nothing is asked.
	It("finishes calls in flight at a planned stop and ends idle connections", func() {
		proceed := make(chan struct{})
		address := backend(func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write(make([]byte, 100_000))
			w.(http.Flusher).Flush()
			if r.URL.Path == "/large" {
				<-proceed
				_, _ = w.Write(make([]byte, 100_000))
			}
		})
		for i := range 2 {
			v := pair(address)[i]
			By(v.name)
			proceed = make(chan struct{})
			idle, err := net.Dial("tcp", v.callers)
			Expect(err).NotTo(HaveOccurred())
			kept, err := net.Dial("tcp", v.callers)
			Expect(err).NotTo(HaveOccurred())
			_, _ = io.WriteString(kept, "GET /.well-known/hornbeamway/livez HTTP/1.1\r\nHost: x\r\n\r\n")
			Expect(readAnswer(kept).Close).To(BeFalse())
			download := do("GET", v.url("/large"), "")
			v.Drain()
			Expect(do("GET", v.url("/.well-known/hornbeamway/readyz"), "").StatusCode).To(Equal(503))
			last := do("GET", v.url("/view"), "")
			Expect(last.Close).To(BeTrue())
			Expect(text(last)).To(HaveLen(100_000))
			stopped := make(chan error, 1)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			DeferCleanup(cancel)
			go func() { stopped <- v.Shutdown(ctx) }()
			for _, c := range []net.Conn{idle, kept} {
				Expect(c.SetReadDeadline(time.Now().Add(3 * time.Second))).To(Succeed())
				rest, err := io.ReadAll(c)
				Expect(err).NotTo(HaveOccurred(), "%s", rest)
				_ = c.Close()
			}
			Consistently(stopped, "100ms").ShouldNot(Receive())
			close(proceed)
			Expect(text(download)).To(HaveLen(200_000))
			Eventually(stopped, "5s").Should(Receive(BeNil()))
		}
	})
})

// recordingPacer counts the bytes of each class.
type recordingPacer struct {
	bytes [priority.NumClasses]atomic.Int64
	err   error
}

func (r *recordingPacer) Wait(_ context.Context, c priority.Class, n int) error {
	r.bytes[c].Add(int64(n))
	return r.err
}

// busyPacer never gives a share.
type busyPacer struct{}

func (busyPacer) Wait(ctx context.Context, _ priority.Class, _ int) error {
	<-ctx.Done()
	return ctx.Err()
}

var _ = Describe("the region link", func() {
	// Guards against bodies that cross the region link unpaced, or that are paced at the wrong end.
	It("paces request bodies and answers at the sending end", func() {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = w.Write(make([]byte, 300_000))
		}))
		DeferCleanup(s.Close)
		near, far := &recordingPacer{}, &recordingPacer{}
		remote := newVM(GinkgoTB(), "e1", []string{s.Listener.Addr().String()}, func(o *proxy.Options) {
			o.Region, o.Pacer = "east", far
		})
		entry := newVM(GinkgoTB(), "e2", nil, func(o *proxy.Options) {
			o.Pacer = near
			o.Placement = &fakePlacement{targets: []proxy.Target{{Pool: testPool, VM: "e1", Forward: remote.forward, OtherRegion: true}}}
		})
		Expect(text(do("PUT", entry.url("/large"), strings.Repeat("x", 200_000)))).To(HaveLen(300_000))
		Expect(near.bytes[priority.Bulk].Load()).To(BeEquivalentTo(200_000))
		Expect(far.bytes[priority.Bulk].Load()).To(BeEquivalentTo(300_000))
		Expect(text(do("PUT", entry.url("/view"), "four"))).To(HaveLen(300_000))
		Expect(near.bytes[priority.Interactive].Load()).To(BeEquivalentTo(4))
		Expect(text(do("PUT", remote.url("/large"), strings.Repeat("x", 200_000)))).To(HaveLen(300_000))
		Expect(far.bytes[priority.Bulk].Load()).To(BeEquivalentTo(300_000))

		near.err = context.DeadlineExceeded
		Expect(told(do("POST", entry.url("/orders"), "four", "Idempotency-Key", "k")).Outcome).To(Equal(problem.NotRun))
	})

	// Guards against operations that cross the region link to their owner unpaced, answers that are paced twice because
	// the owner reads them into memory first, and pacing of owners in the same region.
	DescribeTable("paces operations whose owner is in the other region", func(ownerRegion string, answer int, request, answered int64) {
		server := backend(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = w.Write(make([]byte, answer))
		})
		near, far := &recordingPacer{}, &recordingPacer{}
		owner := newVM(GinkgoTB(), "e1", []string{server}, func(o *proxy.Options) { o.Region, o.Pacer = ownerRegion, far })
		entry := newVM(GinkgoTB(), "e2", nil, func(o *proxy.Options) { o.Pacer = near })
		entry.regions["e1"] = ownerRegion
		Expect(text(do("POST", entry.url("/orders"), "paint", "Idempotency-Key", ticket(owner)))).To(HaveLen(answer))
		Expect(near.bytes[priority.Transactional].Load()).To(Equal(request))
		Expect(far.bytes[priority.Transactional].Load()).To(Equal(answered))
	},
		Entry("a small answer", "east", 100, int64(5), int64(100)),
		Entry("an answer that is kept", "east", 40_000, int64(5), int64(40_000)),
		Entry("an answer that is too large to keep", "east", 200_000, int64(5), int64(200_000)),
		Entry("the same region", "west", 100, int64(0), int64(0)),
	)

	// Guards against bytes to a backend server of the other region that this VM dispatches itself and sends unpaced.
	It("paces calls to backend servers of the other region", func() {
		near := &recordingPacer{}
		v := newVM(GinkgoTB(), "e1", []string{backend(func(w http.ResponseWriter, r *http.Request) {
			// The server of net/http drops the rest of a body once an answer has begun.
			body, _ := io.ReadAll(r.Body)
			_, _ = w.Write(body)
		})}, func(o *proxy.Options) { o.Pacer = near })
		v.placement.targets = []proxy.Target{{Pool: testPool, VM: "e1", Local: true, OtherRegion: true}}
		Expect(text(do("PUT", v.url("/view"), "four"))).To(Equal("four"))
		Expect(near.bytes[priority.Interactive].Load()).To(BeEquivalentTo(4))
		Expect(text(do("PUT", v.url("/large"), strings.Repeat("x", 200_000)))).To(HaveLen(200_000))
		Expect(near.bytes[priority.Bulk].Load()).To(BeEquivalentTo(200_000))
	})

	// Guards against a call that waits for the region link beyond its deadline.
	It("ends the wait for the link at the deadline", func() {
		v := newVM(GinkgoTB(), "e1", []string{refusedAddress()}, func(o *proxy.Options) { o.Pacer = busyPacer{} })
		v.placement.targets = []proxy.Target{{Pool: testPool, VM: "e1", Local: true, OtherRegion: true}}
		refused := told(do("PUT", v.url("/view"), "four", "X-Deadline-Ms", "50"))
		Expect(refused.Reason).To(Equal(problem.ReasonDeadline))
		Expect(refused.Outcome).To(Equal(problem.NotRun))
	})
})
