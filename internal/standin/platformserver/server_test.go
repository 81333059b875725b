package platformserver_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/internal/standin/platformserver"
)

func TestPlatformServer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platformserver")
}

// recorder keeps what it is told.
type recorder struct {
	mu        sync.Mutex
	arrived   []platformserver.Exchange
	responses []platformserver.Response
}

func (r *recorder) RequestArrived(_ *platformserver.Server, e platformserver.Exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrived = append(r.arrived, e)
}

func (r *recorder) RequestRan(*platformserver.Server, string) {}

func (r *recorder) ResponseSent(_ *platformserver.Server, _ platformserver.Exchange, resp platformserver.Response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.responses = append(r.responses, resp)
}

var _ = Describe("a simulated server", func() {
	var (
		server *platformserver.Server
		record *recorder
		conn   net.Conn
		reader *bufio.Reader
	)
	BeforeEach(func() {
		var err error
		record = &recorder{}
		server, err = platformserver.StartObserved("i-1", "orders", "127.0.0.1:0", time.Millisecond, record)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		conn, err = net.Dial("tcp", server.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		reader = bufio.NewReader(conn)
	})

	send := func(path, id, expectedID string) {
		GinkgoHelper()
		_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\n%s: %s\r\n%s: 1000\r\nHornbeamway-Expect-Instance: %s\r\n\r\n",
			path, platformserver.HeaderRequestID, id, platformserver.HeaderDeadline, expectedID)
		Expect(err).NotTo(HaveOccurred())
	}
	receive := func() *http.Response {
		GinkgoHelper()
		resp, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = reader.Discard(int(resp.ContentLength))
		Expect(err).NotTo(HaveOccurred())
		return resp
	}

	// Guards against a soak whose leaving servers do not say so in some kind of response, so that it tests less than it reports.
	DescribeTable("states in all responses that it leaves", func(path, expectedID string, f platformserver.Faults, status int) {
		server.SetFaults(f)
		server.Leave()
		send(path, "a", expectedID)
		resp := receive()
		Expect(resp.StatusCode).To(Equal(status))
		Expect(resp.Header.Get(platformserver.HeaderLeaving)).To(Equal("1"))
		Expect(record.responses).To(ConsistOf(platformserver.Response{Status: status, Leaving: true}))
	},
		Entry("success", "/x", "i-1", platformserver.Faults{}, 200),
		Entry("failure", "/x", "i-1", platformserver.Faults{Failed: 1}, 500),
		Entry("refusal", "/x", "i-1", platformserver.Faults{Refuse: 1}, 503),
		Entry("misdirected request", "/x", "i-2", platformserver.Faults{}, 421),
		Entry("health check", platformserver.HealthPath, "", platformserver.Faults{}, 200),
	)

	// Guards against a hold-off that does not end, or that does not state the time that the checker assumes.
	It("refuses requests and health checks during a hold-off and states its rest", func() {
		until := time.Now().Add(300 * time.Millisecond)
		server.HoldOff(until)
		for _, path := range []string{"/x", platformserver.HealthPath} {
			left := time.Until(until).Seconds()
			send(path, "a", "i-1")
			resp := receive()
			Expect(resp.StatusCode).To(Equal(503))
			Expect(resp.Header).To(HaveKey(platformserver.HeaderNotRun))
			Expect(strconv.ParseFloat(resp.Header.Get(platformserver.HeaderRetryAfter), 64)).To(
				And(BeNumerically(">", 0), BeNumerically("<=", left+0.001)))
		}
		Expect(record.responses).To(HaveEach(HaveField("RetryAt", Equal(until))))
		time.Sleep(time.Until(until))
		send("/x", "b", "i-1")
		Expect(receive().StatusCode).To(Equal(200))
	})

	// Guards against a copy of a refusal that holds up the connection, so that it never arrives while a further request runs.
	DescribeTable("sends the copy of a refusal after it has read further requests", func(expectedID string, status int) {
		server.SetFaults(platformserver.Faults{Refuse: 1, DuplicateRefusal: 1})
		overtaken := func() bool {
			send("/x", "a", expectedID)
			Expect(receive().StatusCode).To(Equal(status))
			server.SetFaults(platformserver.Faults{})
			send("/x", "b", "i-1")
			first, second := receive(), receive()
			server.SetFaults(platformserver.Faults{Refuse: 1, DuplicateRefusal: 1})
			responses := map[string]int{first.Header.Get(platformserver.HeaderRequestID): first.StatusCode,
				second.Header.Get(platformserver.HeaderRequestID): second.StatusCode}
			Expect(responses).To(Equal(map[string]int{"a": status, "b": 200}))
			return first.StatusCode == 200
		}
		Eventually(overtaken).Should(BeTrue())
	},
		Entry("status 503", "i-1", 503),
		Entry("status 421", "i-2", 421),
	)

	// Guards against health checks that are attributed to no caller, or to the wrong one.
	It("names the latest request on the connection of a health check", func() {
		send(platformserver.HealthPath, "", "")
		receive()
		send("/x", "a", "i-1")
		receive()
		send(platformserver.HealthPath, "", "")
		receive()
		Expect(record.arrived).To(Equal([]platformserver.Exchange{{HealthCheck: true}, {RequestID: "a", ConnRequestID: "a"},
			{HealthCheck: true, ConnRequestID: "a"}}))
	})
})
