package entryvm_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

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

var _ = Describe("Run", func() {
	BeforeEach(startVM)

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
		refusal, err := http.ReadResponse(early, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(refusal.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(strconv.ParseFloat(refusal.Header.Get("Retry-After"), 64)).To(BeNumerically(">", 0))
		Expect(refusal.Body.Close()).To(Succeed())
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
