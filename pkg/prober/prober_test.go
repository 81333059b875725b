package prober_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/internal/testsupport/fixedtable"
	"github.com/hornbeamway/hornbeamway/pkg/balance"
	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/directory"
	"github.com/hornbeamway/hornbeamway/pkg/loadshare"
	"github.com/hornbeamway/hornbeamway/pkg/prober"
	"github.com/hornbeamway/hornbeamway/pkg/routing"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

func TestProber(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "prober")
}

// plainHeaders implements prober.ResponseReader with short header names.
type plainHeaders struct{}

func (plainHeaders) ReadProbe(h *fasthttp.ResponseHeader) prober.ResponseHead {
	head := prober.ResponseHead{RequestID: string(h.Peek("Id")), ServerID: string(h.Peek("Server-Id"))}
	if slowdown, err := strconv.ParseFloat(string(h.Peek("Slowness")), 64); err == nil {
		head.LoadReport = &balance.LoadReport{Slowdown: slowdown}
	}
	head.Statement.Leaving = len(h.Peek("Leaving")) > 0
	if h.StatusCode() == fasthttp.StatusServiceUnavailable {
		head.Statement.RetryAfter = string(h.Peek(fasthttp.HeaderRetryAfter))
	}
	return head
}

var _ = Describe("Prober", func() {
	var (
		probes atomic.Int64
		// connections counts the connections of the prober to the server, and open those that are open.
		connections, open atomic.Int64
		// writeBody writes the body of a response; nil: it is empty.
		writeBody func(w http.ResponseWriter)
		balancer  *balance.Balancer
		state     *directory.State
		server    *directory.Server
		shared    chan loadshare.Event
		leaving   bool
		// copiedRefusal is written to the connection before the response to each probe.
		copiedRefusal string
	)
	BeforeEach(func() { writeBody, leaving, copiedRefusal = nil, false, "" })
	urgentRequest := balance.Request{Service: "s", Work: 300 * time.Millisecond, Objective: 800 * time.Millisecond}

	startProber := func(id string, assigned bool) {
		probes.Store(0)
		connections.Store(0)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		body, isLeaving, refusal := writeBody, leaving, copiedRefusal
		httpServer := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			Expect(r.URL.Path).To(Equal("/health"))
			probes.Add(1)
			w.Header().Set("Server-Id", id)
			w.Header().Set("Slowness", "5")
			if isLeaving {
				w.Header().Set("Leaving", "1")
			}
			if refusal != "" {
				c, _, err := http.NewResponseController(w).Hijack()
				Expect(err).NotTo(HaveOccurred())
				_, _ = io.WriteString(c, refusal+
					"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nServer-Id: "+id+"\r\nSlowness: 5\r\n\r\n")
			}
			if body != nil {
				body(w)
			}
		}), ConnState: func(_ net.Conn, s http.ConnState) {
			switch s {
			case http.StateNew:
				connections.Add(1)
				open.Add(1)
			case http.StateClosed:
				open.Add(-1)
			}
		}}
		go func() { _ = httpServer.Serve(l) }()
		DeferCleanup(httpServer.Close)
		balancer = balance.New(balance.Location{DataCentre: "d", Region: "r"}, 1)
		table, err := routing.NewTable(1, nil, []routing.Service{{Name: "s", HealthPath: "/health"}}, routing.Limits{})
		Expect(err).NotTo(HaveOccurred())
		state = directory.NewState(clock.System{}, fixedtable.Codec{Table: table}, balancer.SetServers)
		server = &directory.Server{ID: "a", Service: "s", Address: l.Addr().String(), DataCentre: "d", Region: "r", Slots: 3}
		state.ApplySnapshot(fixedtable.Snapshot(*server), "test")
		// A probe may still end during the next spec, which must not share its variables.
		events := make(chan loadshare.Event, 64)
		shared = events
		p := prober.New(prober.Options{Clock: clock.System{}, Responses: plainHeaders{}, State: state, Balancer: balancer,
			Transport:  upstream.NewTransport(upstream.Options{}),
			Assignment: func() func(*directory.Server) bool { return func(*directory.Server) bool { return assigned } },
			Publish:    func(e loadshare.Event) { events <- e }})
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go p.Run(ctx)
	}

	// Guards against choosing servers by load reports whose load has already changed.
	It("probes a server of a service with urgent requests, and shares its load report", func() {
		startProber("a", true)
		Consistently(probes.Load, "100ms").Should(BeZero(), "no request needs the load report")
		balancer.Pick(urgentRequest, time.Now())
		Eventually(shared).Should(Receive(HaveField("LoadReport.Slowdown", 5.0)))
		Expect(balancer.Slowdown(balance.ServerKeyOf(server), time.Now())).To(BeNumerically(">", 4))
	})

	// Guards against probes that cost more than their load reports are worth: health checks are billed.
	It("probes no more often than load reports become stale, and not while responses carry them", func() {
		startProber("a", true)
		balancer.Pick(urgentRequest, time.Now())
		time.Sleep(time.Second)
		Expect(probes.Load()).To(BeNumerically("<=", 14))
		before := probes.Load()
		for range 20 {
			balancer.RecordLoadReport(balance.ServerKeyOf(server), balance.LoadReport{Slowdown: 1}, time.Now())
			time.Sleep(20 * time.Millisecond)
		}
		Expect(probes.Load() - before).To(BeNumerically("<=", 1))
	})

	// Guards against connections and memory that each probe of a faulty server would hold.
	It("closes the connection of a response without end", func() {
		writeBody = func(w http.ResponseWriter) {
			for piece := make([]byte, 32<<10); ; {
				if _, err := w.Write(piece); err != nil {
					return
				}
			}
		}
		startProber("a", true)
		balancer.Pick(urgentRequest, time.Now())
		Eventually(connections.Load, "2s").Should(BeNumerically(">", 2))
		Eventually(open.Load, "300ms", "1ms").Should(BeZero())
	})

	// Guards against a new connection for each probe of a server that states no length.
	It("uses its connection again after a short response in chunks", func() {
		writeBody = func(w http.ResponseWriter) {
			_, _ = w.Write([]byte("healthy"))
			w.(http.Flusher).Flush()
		}
		startProber("a", true)
		balancer.Pick(urgentRequest, time.Now())
		Eventually(probes.Load, "2s").Should(BeNumerically(">", 3))
		Expect(connections.Load()).To(BeEquivalentTo(1))
	})

	// Guards against applying the load report of another server that has taken over the address.
	It("ignores the load report of another server, and probes again only after a pause", func() {
		startProber("b", true)
		balancer.Pick(urgentRequest, time.Now())
		Eventually(probes.Load).Should(BeNumerically(">=", 1))
		Consistently(shared, "300ms").ShouldNot(Receive())
		Expect(probes.Load()).To(BeEquivalentTo(1))
	})

	// Guards against requests to a server that has stated to a probe only that it is leaving, and against further probes of it.
	It("records that a server is leaving, tells the other VMs, and probes it no more", func() {
		leaving = true
		startProber("a", true)
		balancer.Pick(urgentRequest, time.Now())
		Eventually(shared).Should(Receive(HaveField("Leaving", true)))
		Expect(balancer.Availability(server, time.Now())).To(Equal(balance.Leaving))
		balancer.Pick(urgentRequest, time.Now())
		Consistently(probes.Load, "300ms").Should(BeEquivalentTo(1))
	})

	// Guards against probes of a server that has asked, in the response to a probe, for no requests for some time.
	It("does not probe a server before the time that it has asked for has passed", func() {
		const hold = 800 * time.Millisecond
		writeBody = func(w http.ResponseWriter) {
			w.Header().Set("Retry-After", strconv.FormatFloat(hold.Seconds(), 'f', -1, 64))
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		startProber("a", true)
		balancer.Pick(urgentRequest, time.Now())
		Eventually(func() balance.Availability { return balancer.Availability(server, time.Now()) }).Should(Equal(balance.HeldOff))
		probed := func() int64 {
			balancer.Pick(urgentRequest, time.Now())
			return probes.Load()
		}
		Consistently(probed, hold/2).Should(BeEquivalentTo(1))
		Eventually(probed, 2*hold).Should(BeNumerically(">", 1))
	})

	// Guards against a server that is held off a second time by the copy of its refusal of a request, which arrives where the response
	// to a probe is due.
	It("does not take the response to a request for that to a probe", func() {
		copiedRefusal = "HTTP/1.1 503 X\r\nContent-Length: 0\r\nId: order\r\nNot-Run: 1\r\nRetry-After: 30\r\n\r\n"
		startProber("a", true)
		balancer.Pick(urgentRequest, time.Now())
		Eventually(probes.Load).Should(BeNumerically(">=", 1))
		Consistently(func() balance.Availability {
			return balancer.Availability(server, time.Now())
		}, "300ms").Should(Equal(balance.Available))
	})

	// Guards against load reports and statements in a response that is not HTTP.
	It("believes nothing of a malformed response", func() {
		copiedRefusal = "HTTP/1.1 000 X\r\nContent-Length: 0\r\nServer-Id: a\r\nSlowness: 5\r\nLeaving: 1\r\n\r\n"
		startProber("a", true)
		balancer.Pick(urgentRequest, time.Now())
		Eventually(probes.Load).Should(BeNumerically(">=", 1))
		Consistently(shared, "300ms").ShouldNot(Receive())
		Expect(balancer.Availability(server, time.Now())).To(Equal(balance.Available))
	})

	// Guards against probing for requests that meet their objective even on a slow server.
	It("does not probe the servers of a service whose objectives are long for its work", func() {
		startProber("a", true)
		balancer.Pick(balance.Request{Service: "s", Work: 20 * time.Millisecond, Objective: 400 * time.Millisecond}, time.Now())
		Consistently(probes.Load, "200ms").Should(BeZero())
	})

	// Guards against VMs that probe servers assigned to other VMs, so that each server is probed several times.
	It("probes only the servers assigned to this VM", func() {
		startProber("a", false)
		balancer.Pick(urgentRequest, time.Now())
		Consistently(probes.Load, "200ms").Should(BeZero())
	})
})
