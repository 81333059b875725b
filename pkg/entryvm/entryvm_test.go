package entryvm_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
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

const (
	configuration = `{"version":"r1","resources":[
		{"type":"routes","metadata":{"name":"orders"},"spec":{"host":"shop.example","path_prefix":"/order/","service":"orders",
			"kind":"unsafe","timeout_ms":3000,"target_latency_ms":900,"priority":1,"max_attempts":1}},
		{"type":"services","metadata":{"name":"orders"},"spec":{"health_path":"/healthz","max_conns":100}},
		{"type":"limits","spec":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_ms":3000,"idle_timeout_ms":15000}}]}`
	stopTime = 4 * time.Second
)

// freePort returns an address on loopback that was free a moment ago.
func freePort() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}

var _ = Describe("Settings", func() {
	valid := func() *entryvm.Settings {
		return &entryvm.Settings{VM: "v", DataCentre: "d", Region: "r", Callers: "127.0.0.1:1", Health: "127.0.0.1:2",
			Peer: "127.0.0.1:3", Store: "127.0.0.1:4"}
	}

	It("are completed", func() {
		s := valid()
		Expect(s.Check()).To(Succeed())
		Expect(s.StopTime).To(Equal(6 * time.Second))
	})

	// Guards against a VM that starts on settings with which it cannot serve.
	DescribeTable("are refused", func(spoil func(*entryvm.Settings)) {
		s := valid()
		spoil(s)
		Expect(s.Check()).To(MatchError(entryvm.ErrInvalid))
	},
		Entry("without a name", func(s *entryvm.Settings) { s.VM = "" }),
		Entry("without a place", func(s *entryvm.Settings) { s.Region = "" }),
		Entry("with an address that is none", func(s *entryvm.Settings) { s.Callers = "shop.example:80" }),
		Entry("with a negative stop time", func(s *entryvm.Settings) { s.StopTime = -1 }),
		Entry("with a negative bound", func(s *entryvm.Settings) { s.RetrySlack = -1 }),
	)
})

var _ = Describe("Run", func() {
	var (
		settings *entryvm.Settings
		store    *logservice.Service
		server   *platformserver.Server
		reloads  atomic.Int64
		stop     context.CancelFunc
		ended    chan struct{}
		failure  error
	)

	status := func() int {
		resp, err := http.Get("http://" + settings.Health + "/readyz")
		if err != nil {
			return 0
		}
		defer resp.Body.Close()
		return resp.StatusCode
	}

	// order sends an order on a connection of its own and returns its reader.
	order := func(id string) (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", settings.Callers)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		_, err = fmt.Fprintf(conn, "POST /order/x HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: 3000\r\nContent-Length: 0\r\n\r\n",
			platformserver.HeaderRequestID, id, platformserver.HeaderDeadline)
		Expect(err).NotTo(HaveOccurred())
		return conn, bufio.NewReader(conn)
	}
	answer := func(r *bufio.Reader) (int, string, bool) {
		resp, err := http.ReadResponse(r, nil)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode, string(body), resp.Close
	}
	publish := func() {
		store.Put("keyed.op", "config", []byte(configuration))
		entry, err := json.Marshal(map[string]any{"service": "orders", "address": server.Address(), "zone": "d", "version": "v1",
			"slots": 3, "state": "ready", "warmup_left_ms": 0, "seq": 1, "born": 1})
		Expect(err).NotTo(HaveOccurred())
		store.Put("keyed.servers", server.ID, entry)
	}

	BeforeEach(func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		store = logservice.New(logservice.Options{})
		go func() { _ = store.Serve(l) }()
		DeferCleanup(store.Close)
		server, err = platformserver.Start("i-1", "orders", "127.0.0.1:0", 400*time.Millisecond, func(*platformserver.Server, string) {})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		settings = &entryvm.Settings{VM: "vm", DataCentre: "d", Region: "r", Callers: freePort(), Health: freePort(), Peer: freePort(),
			Store: l.Addr().String(), Regions: map[string]string{"d": "r"}, StopTime: stopTime, RetryShare: 0.2, RetrySlack: 10}
		Expect(settings.Check()).To(Succeed())
		reloads.Store(0)
		var ctx context.Context
		ctx, stop = context.WithCancel(context.Background())
		ended = make(chan struct{})
		go func() {
			defer close(ended)
			failure = entryvm.Run(ctx, settings, entryvm.Platform{
				Store: func(address string, t *upstream.Transport) directory.Store { return platform.NewStore(address, t) },
				Codec: platform.Codec{Regions: settings.Regions}, Dialect: platform.Dialect{},
				Reload: func() (*entryvm.Settings, error) { reloads.Add(1); return settings, nil },
			})
		}()
		DeferCleanup(func() {
			stop()
			Eventually(ended, 2*stopTime).Should(BeClosed())
		})
	})

	// Guards against a VM that gets callers before it knows anything, and against one that refuses without a time to return.
	It("is ready once configuration and servers are known, and serves then", func() {
		Eventually(status, "2s").Should(Equal(http.StatusServiceUnavailable))
		_, early := order("early")
		code, _, _ := answer(early)
		Expect(code).To(Equal(http.StatusServiceUnavailable))
		publish()
		Eventually(status, "5s").Should(Equal(http.StatusOK))
		_, r := order("first")
		code, body, closes := answer(r)
		Expect(code).To(Equal(http.StatusOK), body)
		Expect(body).To(Equal(platformserver.Body("orders", "first")))
		Expect(closes).To(BeFalse())
	})

	// Guards against a planned stop that cuts a request, or that refuses the requests of callers who cannot know of it yet.
	It("serves on after the stop signal, closes with each answer, and ends in time", func() {
		publish()
		Eventually(status, "5s").Should(Equal(http.StatusOK))
		_, before := order("before")
		time.Sleep(50 * time.Millisecond)
		began := time.Now()
		stop()
		Eventually(status, "200ms").ShouldNot(Equal(http.StatusOK))
		_, after := order("after")
		for id, r := range map[string]*bufio.Reader{"before": before, "after": after} {
			code, body, closes := answer(r)
			Expect(code).To(Equal(http.StatusOK), id)
			Expect(body).To(Equal(platformserver.Body("orders", id)))
			Expect(closes).To(BeTrue(), id)
		}
		Eventually(ended, stopTime).Should(BeClosed())
		Expect(failure).NotTo(HaveOccurred())
		Expect(time.Since(began)).To(BeNumerically("<", stopTime))
	})

	// Guards against a signal for changed settings that ends the process or is not followed.
	It("reads its settings again on the signal for it, and goes on serving", func() {
		publish()
		Eventually(status, "5s").Should(Equal(http.StatusOK))
		Expect(syscall.Kill(syscall.Getpid(), syscall.SIGHUP)).To(Succeed())
		Eventually(reloads.Load, "2s").Should(BeEquivalentTo(1))
		Expect(status()).To(Equal(http.StatusOK))
	})

	// Guards against a metrics address that misses what operators look for.
	It("serves counters and histograms at its health address", func() {
		publish()
		Eventually(status, "5s").Should(Equal(http.StatusOK))
		_, r := order("counted")
		answer(r)
		resp, err := http.Get("http://" + settings.Health + "/metrics")
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		for _, name := range []string{`hornbeamway_gateway_requests_total{service="orders",status="200"}`, "hornbeamway_gateway_duration_seconds_bucket"} {
			Expect(strings.Contains(string(text), name)).To(BeTrue(), name)
		}
	})

	// Guards against objectives that nobody measures: operators see there which service misses its own.
	It("reports how fast services use up what their objectives allow", func() {
		publish()
		Eventually(status, "5s").Should(Equal(http.StatusOK))
		time.Sleep(1100 * time.Millisecond)
		_, r := order("measured")
		answer(r)
		resp, err := http.Get("http://" + settings.Health + "/burn")
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(MatchRegexp(`orders +transactional +900ms +0.95 +1 +1 +0 `))
	})
})

var _ = Describe("listening", func() {
	// Guards against a VM that runs on without one of its sockets, or that keeps the others.
	It("fails on an address that is taken, and frees the others", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		s := &entryvm.Settings{VM: "vm", DataCentre: "d", Region: "r", Callers: freePort(), Health: freePort(), Peer: l.Addr().String(), Store: freePort()}
		Expect(errors.Is(entryvm.Run(context.Background(), s, entryvm.Platform{}), entryvm.ErrListen)).To(BeTrue())
		free, err := net.Listen("tcp", s.Callers)
		Expect(err).NotTo(HaveOccurred())
		Expect(free.Close()).To(Succeed())
	})
})
