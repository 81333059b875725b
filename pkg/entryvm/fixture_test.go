package entryvm_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
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

// The VM under test and the stand-ins around it, which startVM starts for each spec.
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

// readiness returns the status of the health check, 0 if there is no response.
func readiness() int {
	resp, err := http.Get("http://" + settings.Health + "/readyz")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

func writeOrder(conn net.Conn, id string) {
	_, err := fmt.Fprintf(conn, "POST /order/x HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: 3000\r\nContent-Length: 0\r\n\r\n",
		platformserver.HeaderRequestID, id, platformserver.HeaderDeadline)
	Expect(err).NotTo(HaveOccurred())
}

// sendOrder sends an order on a new connection and returns the connection and a reader of the response.
func sendOrder(id string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", settings.Callers)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	writeOrder(conn, id)
	return conn, bufio.NewReader(conn)
}

// readResponse returns the status and the body of a response, and whether the connection is closed after it.
func readResponse(r *bufio.Reader) (int, string, bool) {
	resp, err := http.ReadResponse(r, nil)
	Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp.StatusCode, string(body), resp.Close
}

// publishConfiguration writes the server's record and, once the VM has read it, the configuration. Otherwise the VM may read both
// topics between the two writes, and be ready a second before it knows the server.
func publishConfiguration() {
	entry, err := json.Marshal(map[string]any{"service": "orders", "address": server.Address(), "zone": "d", "version": "v1",
		"slots": 3, "state": "ready", "warmup_left_ms": 0, "seq": 1, "born": 1})
	Expect(err).NotTo(HaveOccurred())
	store.Put("keyed.servers", server.ID, entry)
	time.Sleep(readInterval)
	store.Put("keyed.op", "config", []byte(configuration))
}

// startVM starts the stand-ins and a VM, and stops them after the spec.
func startVM() {
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
}
