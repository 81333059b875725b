package entryvm_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/internal/lab/port"
	"github.com/hornbeamway/hornbeamway/internal/standin/logservice"
	"github.com/hornbeamway/hornbeamway/internal/standin/platformserver"
	"github.com/hornbeamway/hornbeamway/pkg/directory"
	"github.com/hornbeamway/hornbeamway/pkg/entryvm"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
	"github.com/hornbeamway/hornbeamway/platform"
)

func TestEntryVM(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "entryvm")
}

const (
	configuration = `{"version":"r1","resources":[
		{"type":"routes","metadata":{"name":"orders"},"spec":{"host":"shop.example","path_prefix":"/order/","service":"orders",
			"kind":"unsafe","timeout_ms":3000,"target_latency_ms":900,"priority":1,"max_attempts":1}},
		{"type":"services","metadata":{"name":"orders"},"spec":{"health_path":"/healthz","max_conns":100}},
		{"type":"limits","spec":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_ms":3000,"idle_timeout_ms":15000}}]}`
	shutdownTimeout = 4 * time.Second
	// readInterval is a little longer than the interval at which a VM reads the store.
	readInterval = 1200 * time.Millisecond
	// heavyOrder is the id of an order that takes heavyWork longer than others.
	heavyOrder = "heavy"
	heavyWork  = 4 * time.Second
)

// freeAddresses returns n different loopback addresses on which nothing listens.
func freeAddresses(n int) []string {
	addresses, err := port.Addresses(n)
	Expect(err).NotTo(HaveOccurred())
	return addresses
}

var _ = Describe("Run", func() {
	var (
		settings *entryvm.Settings
		store    *logservice.Service
		server   *platformserver.Server
		ran      atomic.Int64
		reloads  atomic.Int64
		stop     context.CancelFunc
		stopped  chan struct{}
		runErr   error
	)

	readiness := func() int {
		resp, err := http.Get("http://" + settings.Health + "/readyz")
		if err != nil {
			return 0
		}
		defer resp.Body.Close()
		return resp.StatusCode
	}

	writeOrder := func(conn net.Conn, id string) {
		_, err := fmt.Fprintf(conn, "POST /order/x HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: 3000\r\nContent-Length: 0\r\n\r\n",
			platformserver.HeaderRequestID, id, platformserver.HeaderDeadline)
		Expect(err).NotTo(HaveOccurred())
	}
	// sendOrder sends an order on a new connection and returns the connection and a reader of the response.
	sendOrder := func(id string) (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", settings.Callers)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		writeOrder(conn, id)
		return conn, bufio.NewReader(conn)
	}
	readResponse := func(r *bufio.Reader) (int, string, bool) {
		resp, err := http.ReadResponse(r, nil)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode, string(body), resp.Close
	}
	// publishConfiguration writes the server's record and, once the VM has read it, the configuration. Otherwise the VM may read both
	// topics between the two writes, and be ready a second before it knows the server.
	publishConfiguration := func() {
		entry, err := json.Marshal(map[string]any{"service": "orders", "address": server.Address(), "zone": "d", "version": "v1",
			"slots": 3, "state": "ready", "warmup_left_ms": 0, "seq": 1, "born": 1})
		Expect(err).NotTo(HaveOccurred())
		store.Put("keyed.servers", server.ID, entry)
		time.Sleep(readInterval)
		store.Put("keyed.op", "config", []byte(configuration))
	}

	BeforeEach(func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		store = logservice.New(logservice.Options{})
		go func() { _ = store.Serve(l) }()
		DeferCleanup(store.Close)
		server, err = platformserver.Start("i-1", "orders", "127.0.0.1:0", 400*time.Millisecond,
			func(_ *platformserver.Server, id string) {
				ran.Add(1)
				if id == heavyOrder {
					time.Sleep(heavyWork)
				}
			})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		free := freeAddresses(3)
		settings = &entryvm.Settings{VM: "vm", DataCentre: "d", Region: "r", Callers: free[0], Health: free[1],
			Peer: free[2], Store: l.Addr().String(), Regions: map[string]string{"d": "r"},
			ShutdownTimeout: shutdownTimeout, RetryBudgetRatio: 0.2, RetryBudgetSlack: 10}
		Expect(settings.Check()).To(Succeed())
		reloads.Store(0)
		ran.Store(0)
		var ctx context.Context
		ctx, stop = context.WithCancel(context.Background())
		stopped = make(chan struct{})
		go func() {
			defer close(stopped)
			runErr = entryvm.Run(ctx, settings, entryvm.Platform{
				Store: func(address string, t *upstream.Transport) directory.Store { return platform.NewStore(address, t) },
				Codec: platform.Codec{Regions: settings.Regions}, Dialect: platform.Dialect{},
				Reload: func() (*entryvm.Settings, error) { reloads.Add(1); return settings, nil },
			})
		}()
		DeferCleanup(func() {
			stop()
			Eventually(stopped, 2*shutdownTimeout).Should(BeClosed())
		})
	})

	// Guards against work that is cut off when a server exits, whose record in the store says that it is ready because the store
	// cannot be reached.
	It("sends nothing more to a server that states that it is leaving while the store is down", func() {
		publishConfiguration()
		Eventually(readiness, "5s").Should(Equal(http.StatusOK))
		Expect(store.SetFaults(logservice.Faults{Down: true})).To(Succeed())
		server.Leave()
		for i, want := range []int{http.StatusOK, http.StatusServiceUnavailable, http.StatusServiceUnavailable} {
			_, reader := sendOrder(fmt.Sprint("order-", i))
			status, _, _ := readResponse(reader)
			Expect(status).To(Equal(want))
		}
		Expect(ran.Load()).To(BeEquivalentTo(1))
	})

	// Guards against a VM that reports ready before it has a configuration and servers, so that the platform sends it
	// callers too early, and against refusals that do not state when to retry.
	It("is ready once it has read the configuration and the servers, and then serves requests", func() {
		Eventually(readiness, "2s").Should(Equal(http.StatusServiceUnavailable))
		_, early := sendOrder("early")
		code, _, _ := readResponse(early)
		Expect(code).To(Equal(http.StatusServiceUnavailable))
		publishConfiguration()
		Eventually(readiness, "5s").Should(Equal(http.StatusOK))
		_, r := sendOrder("first")
		code, body, closes := readResponse(r)
		Expect(code).To(Equal(http.StatusOK), body)
		Expect(body).To(Equal(platformserver.ResponseBody("orders", "first")))
		Expect(closes).To(BeFalse())
	})

	// Guards against a VM that ends, or stops following the list of servers, because of an odd entry of another writer: very deeply
	// nested, with a number too large, or with a port out of range.
	It("follows the list of servers past odd entries", func() {
		entry := `{"service":"orders","address":"%s","zone":"d","version":"v1","slots":%s,"state":"ready","warmup_left_ms":%s,"seq":%s,"born":%s}`
		elsewhere, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(elsewhere.Close)
		var connections atomic.Int64
		go func() {
			for {
				if _, err := elsewhere.Accept(); err != nil {
					return
				}
				connections.Add(1)
			}
		}()
		usual := elsewhere.Addr().String()
		for i, odd := range []string{
			`{"service":` + strings.Repeat("[", 100000),
			fmt.Sprintf(entry, "127.0.0.1:70000", "3", "0", "1", "1"),
			fmt.Sprintf(entry, "127.0.0.1:0", "3", "0", "1", "1"),
			fmt.Sprintf(entry, usual, "1e300", "0", "1", "1"),
			fmt.Sprintf(entry, usual, "3", "1e300", "1", "1"),
			fmt.Sprintf(entry, usual, "3", "0", "1e300", "1"),
			fmt.Sprintf(entry, usual, "3", "0", "1", "9223372036854775807"),
			fmt.Sprintf(entry, usual, "3", "0", "1", "1e999"),
		} {
			store.Put("keyed.servers", fmt.Sprint("odd-", i), []byte(odd))
		}
		publishConfiguration()
		Eventually(readiness, "5s").Should(Equal(http.StatusOK))
		for i := range 12 {
			_, r := sendOrder(fmt.Sprint("order-", i))
			code, body, _ := readResponse(r)
			Expect(code).To(Equal(http.StatusOK), body)
		}
		Expect(connections.Load()).To(BeZero(), "connections to the addresses of odd entries")
		store.Put("keyed.servers", server.ID, nil)
		Eventually(func() int {
			_, r := sendOrder("without a server")
			code, _, _ := readResponse(r)
			return code
		}, "5s", "100ms").Should(Equal(http.StatusServiceUnavailable))
	})

	// Guards against a planned stop that cuts off a request, or that refuses requests before the platform has detected the
	// failing health checks.
	It("keeps serving after the stop signal, closes connections with each response, and exits in time", func() {
		publishConfiguration()
		Eventually(readiness, "5s").Should(Equal(http.StatusOK))
		_, before := sendOrder("before")
		time.Sleep(50 * time.Millisecond)
		started := time.Now()
		stop()
		Eventually(readiness, "200ms").ShouldNot(Equal(http.StatusOK))
		_, after := sendOrder("after")
		for id, r := range map[string]*bufio.Reader{"before": before, "after": after} {
			code, body, closes := readResponse(r)
			Expect(code).To(Equal(http.StatusOK), id)
			Expect(body).To(Equal(platformserver.ResponseBody("orders", id)))
			Expect(closes).To(BeTrue(), id)
		}
		Eventually(stopped, shutdownTimeout).Should(BeClosed())
		Expect(runErr).NotTo(HaveOccurred())
		Expect(time.Since(started)).To(BeNumerically("<", shutdownTimeout))
	})

	// Guards against requests that are cut off without an answer during a planned stop under load: connections that were accepted
	// while the VM refused requests, or that waited in the queue of the listener, used to be closed at once.
	It("answers each request on a connection that it accepts while it stops", func() {
		const (
			pause    = 5 * time.Millisecond
			exitTime = 100 * time.Millisecond // a connection that is opened right before the exit may be reset
		)
		publishConfiguration()
		Eventually(readiness, "5s").Should(Equal(http.StatusOK))
		// A request whose body takes long keeps the VM from exiting once it refuses others.
		slow, err := net.Dial("tcp", settings.Callers)
		Expect(err).NotTo(HaveOccurred())
		defer slow.Close()
		_, err = fmt.Fprintf(slow, "POST /order/x HTTP/1.1\r\nHost: shop.example\r\n%s: slow\r\n%s: 3000\r\nContent-Length: 1\r\n\r\n",
			platformserver.HeaderRequestID, platformserver.HeaderDeadline)
		Expect(err).NotTo(HaveOccurred())
		time.AfterFunc(2*time.Second, func() { _, _ = slow.Write([]byte("x")) })
		var cutAt []time.Time
		answered := 0
		stop()
		for running := true; running; {
			select {
			case <-stopped:
				running = false
				continue
			case <-time.After(pause):
			}
			conn, err := net.Dial("tcp", settings.Callers)
			if err != nil {
				continue // The listener is closed; the platform tries another VM.
			}
			opened := time.Now()
			_ = conn.SetDeadline(opened.Add(5 * time.Second))
			_, _ = fmt.Fprintf(conn, "GET /unknown/x HTTP/1.1\r\nHost: shop.example\r\n%s: i\r\n\r\n", platformserver.HeaderRequestID)
			if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
				cutAt = append(cutAt, opened)
			} else {
				answered++
			}
			_ = conn.Close()
		}
		ended := time.Now()
		Expect(answered).To(BeNumerically(">", 100))
		for _, at := range cutAt {
			Expect(ended.Sub(at)).To(BeNumerically("<", exitTime))
		}
	})

	// Guards against an order that a stopping VM accepts on an open connection, passes on to a server and cuts off at its exit,
	// because its deadline is later than the exit: the caller could not know whether the order had run.
	It("refuses, as not run, an order on an open connection that may not finish before the exit", func() {
		const sentAfter = 3800 * time.Millisecond // once the platform sends no new connections, before all requests are refused
		settings.ShutdownTimeout = 7 * time.Second
		publishConfiguration()
		Eventually(readiness, "5s").Should(Equal(http.StatusOK))
		conn, r := sendOrder("usual")
		code, body, _ := readResponse(r)
		Expect(code).To(Equal(http.StatusOK), body)
		stop()
		time.Sleep(sentAfter)
		Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		writeOrder(conn, heavyOrder)
		code, body, closes := readResponse(r)
		Expect(code).To(Equal(http.StatusServiceUnavailable), body)
		Expect(closes).To(BeTrue())
		Expect(ran.Load()).To(BeEquivalentTo(1))
		Eventually(stopped, settings.ShutdownTimeout).Should(BeClosed())
	})

	// Guards against an order that ran, or that was read, and gets no answer because the VM stops: at any time of the stop, with any work,
	// body and time limit, also if its first server has refused it or the settings are reloaded. Only an order that was sent before the platform has detected
	// the failing health checks, and still runs at the exit, may be cut off.
	It("answers the orders on open connections at any time of a stop", func() {
		const (
			orders   = 240
			exit     = 8 * time.Second
			longest  = 5 * time.Second // of an order's work and wait
			detected = 3 * time.Second
			slack    = 300 * time.Millisecond
		)
		settings.ShutdownTimeout = exit
		servers := &orderServer{refusedShare: 0.3, startedAt: map[string]time.Time{}}
		for i := range 6 {
			store.Put("keyed.servers", fmt.Sprint("i-", i+2), fmt.Appendf(nil, `{"service":"orders","address":"%s","zone":"d","version":"v1",
				"slots":60,"state":"ready","warmup_left_ms":0,"seq":1,"born":1}`, servers.start()))
		}
		time.Sleep(readInterval)
		store.Put("keyed.op", "config", []byte(strings.NewReplacer(`"max_attempts":1`, `"max_attempts":2`,
			`"timeout_ms":3000`, fmt.Sprintf(`"timeout_ms":%d`, longest.Milliseconds())).Replace(configuration)))
		Eventually(readiness, "5s").Should(Equal(http.StatusOK))
		var (
			callers sync.WaitGroup
			sent    []*order
			begin   = make(chan struct{})
		)
		for i := range orders {
			conn, err := net.Dial("tcp", settings.Callers)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
			o := &order{id: fmt.Sprint("order-", i), work: rand.N(longest), wait: rand.N(longest)}
			if i%4 == 0 {
				o.bodyDelay = rand.N(time.Second)
			}
			sent = append(sent, o)
			callers.Go(func() {
				<-begin
				time.Sleep(rand.N(exit))
				o.send(conn)
			})
		}
		stoppedAt := time.Now()
		stop()
		close(begin)
		time.Sleep(exit / 2)
		Expect(syscall.Kill(syscall.Getpid(), syscall.SIGHUP)).To(Succeed())
		<-stopped
		exitedAt := time.Now()
		Expect(reloads.Load()).To(BeEquivalentTo(1))
		callers.Wait()
		answered := 0
		for _, o := range sent {
			sentAfter, endedAfter := o.sentAt.Sub(stoppedAt), o.endsAt.Sub(stoppedAt)
			description := fmt.Sprintf("%+v sent after %s, ended after %s, ran %t", *o, sentAfter, endedAfter, servers.ran(o.id))
			switch {
			case o.status != 0 && !o.endsAt.After(exitedAt): // in a process of its own, the VM could not have answered later
				answered++
				Expect(o.status != http.StatusServiceUnavailable || !servers.ran(o.id)).To(BeTrue(), description)
			case servers.ran(o.id):
				Expect(sentAfter).To(BeNumerically("<", detected), description)
				Expect(min(endedAfter, exitedAt.Sub(stoppedAt))).To(BeNumerically(">", exit*5/6), description)
			default:
				Expect(endedAfter-sentAfter-o.bodyDelay).To(BeNumerically("<", slack), description)
			}
		}
		GinkgoWriter.Printf("%d of %d orders answered, %d ran\n", answered, orders, len(servers.startedAt))
		Expect(len(servers.startedAt)).To(BeNumerically(">", orders/6))
	})

	// Guards against VMs that refuse each other's snapshots because they reach the store at different addresses: a VM that started
	// while the store was away then served nothing until its return.
	It("starts from the state of another VM while it cannot reach the store", func() {
		publishConfiguration()
		Eventually(readiness, "5s").Should(Equal(http.StatusOK))
		free := freeAddresses(4)
		second := *settings
		second.VM, second.Callers, second.Health, second.Peer = "second", free[0], free[1], free[2]
		second.Store, second.Seeds = free[3], []string{settings.Peer}
		ctx, stopSecond := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() {
			ended <- entryvm.Run(ctx, &second, entryvm.Platform{
				Store: func(address string, t *upstream.Transport) directory.Store { return platform.NewStore(address, t) },
				Codec: platform.Codec{Regions: second.Regions}, Dialect: platform.Dialect{},
				Reload: func() (*entryvm.Settings, error) { return &second, nil },
			})
		}()
		DeferCleanup(func() { stopSecond(); Eventually(ended, 2*shutdownTimeout).Should(Receive(BeNil())) })
		Eventually(func() int {
			resp, err := http.Get("http://" + second.Health + "/readyz")
			if err != nil {
				return 0
			}
			defer resp.Body.Close()
			return resp.StatusCode
		}, "5s").Should(Equal(http.StatusOK))
	})

	// Guards against a SIGHUP that terminates the process or does not reload the settings.
	It("reloads its settings on SIGHUP and keeps serving", func() {
		publishConfiguration()
		Eventually(readiness, "5s").Should(Equal(http.StatusOK))
		Expect(syscall.Kill(syscall.Getpid(), syscall.SIGHUP)).To(Succeed())
		Eventually(reloads.Load, "2s").Should(BeEquivalentTo(1))
		Expect(readiness()).To(Equal(http.StatusOK))
	})

	// Guards against a metrics endpoint without the request counters and latency histograms of the gateway.
	It("serves counters and histograms on its health address", func() {
		publishConfiguration()
		Eventually(readiness, "5s").Should(Equal(http.StatusOK))
		_, r := sendOrder("counted")
		readResponse(r)
		resp, err := http.Get("http://" + settings.Health + "/metrics")
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		for _, name := range []string{`hornbeamway_gateway_requests_total{service="orders",status="200"}`,
			"hornbeamway_gateway_duration_seconds_bucket"} {
			Expect(strings.Contains(string(text), name)).To(BeTrue(), name)
		}
	})

	// Guards against objectives that are configured but not measured, so that operators cannot see which service misses its
	// objective.
	It("reports the burn of the services against their latency objectives", func() {
		publishConfiguration()
		Eventually(readiness, "5s").Should(Equal(http.StatusOK))
		time.Sleep(1100 * time.Millisecond)
		_, r := sendOrder("measured")
		readResponse(r)
		resp, err := http.Get("http://" + settings.Health + "/burn")
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(MatchRegexp(`orders +transactional +900ms +0.95 +1 +1 +0 `))
	})
})
