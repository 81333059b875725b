package entryvm_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/internal/standin/platformserver"
)

// workHeader is the time in milliseconds that an order takes at its server.
const workHeader = "Work-Ms"

// orderServer runs orders for the time that they state and refuses some as not run.
type orderServer struct {
	refusedShare float64

	mu sync.Mutex
	// startedAt is when each order began to run.
	startedAt map[string]time.Time
}

// start starts the server on a loopback address and returns it.
func (s *orderServer) start() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	httpServer := &http.Server{Handler: s}
	go func() { _ = httpServer.Serve(l) }()
	DeferCleanup(httpServer.Close)
	return l.Addr().String()
}

// ServeHTTP implements http.Handler.
func (s *orderServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platformserver.HeaderRequestID)
	w.Header().Set(platformserver.HeaderRequestID, id)
	_, err := io.Copy(io.Discard, r.Body)
	if err != nil || rand.Float64() < s.refusedShare {
		w.Header().Set(platformserver.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	s.startedAt[id] = time.Now()
	s.mu.Unlock()
	work, _ := strconv.Atoi(r.Header.Get(workHeader))
	time.Sleep(time.Duration(work) * time.Millisecond)
	w.Header().Set(platformserver.HeaderSignature, "s")
	_, _ = io.WriteString(w, "done")
}

// ran reports whether an order has begun to run.
func (s *orderServer) ran(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ran := s.startedAt[id]
	return ran
}

// order is one order of a caller and how it ended.
type order struct {
	id         string
	work, wait time.Duration
	// bodyDelay is the time after which the last byte of the body is sent.
	bodyDelay      time.Duration
	sentAt, endsAt time.Time
	// status is 0 if the connection ended without a response.
	status int
}

// send sends the order and reads the response.
func (o *order) send(c net.Conn) {
	o.sentAt = time.Now()
	_ = c.SetDeadline(o.sentAt.Add(o.wait + 2*time.Second))
	_, _ = fmt.Fprintf(c, "POST /order/x HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: %d\r\n%s: %d\r\nContent-Length: 1\r\n\r\n",
		platformserver.HeaderRequestID, o.id, platformserver.HeaderDeadline, o.wait.Milliseconds(), workHeader, o.work.Milliseconds())
	time.Sleep(o.bodyDelay)
	_, _ = io.WriteString(c, "x")
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
		if _, err := io.ReadAll(resp.Body); err == nil {
			o.status = resp.StatusCode
		}
	}
	o.endsAt = time.Now()
}

var _ = Describe("Run after the stop signal", func() {
	BeforeEach(startVM)

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

	// Guards against a planned stop under load that closes connections without a response: those accepted while the VM refuses
	// requests, or those that wait in the queue of the listener.
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

	// Guards against an order that ran, or that was read, and gets no response because the VM stops: at any time of the stop, with
	// any work, body and time limit, also if its first server has refused it or the settings are reloaded. Only an order that was
	// sent before the platform has detected the failing health checks, and still runs at the exit, may be cut off.
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
			case o.sentAt.After(exitedAt): // in a process of its own, the connection would have ended with the VM
			default:
				Expect(endedAfter-sentAfter-o.bodyDelay).To(BeNumerically("<", slack), description)
			}
		}
		GinkgoWriter.Printf("%d of %d orders answered, %d ran\n", answered, orders, len(servers.startedAt))
		Expect(len(servers.startedAt)).To(BeNumerically(">", orders/6))
	})
})
