package entryvm_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
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
	// status is 0 if the connection ended without an answer.
	status int
}

// send sends the order and reads the answer.
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
