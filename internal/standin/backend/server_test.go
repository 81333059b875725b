package backend

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
)

const serviceTime = 10 * time.Millisecond

// testClient is an HTTP/1.1 client on a single connection.
type testClient struct {
	net.Conn
	in *bufio.Reader
}

// testResponse is a response received by a testClient; err is set if the response was incomplete.
type testResponse struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func dial(address string) *testClient {
	c, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	return &testClient{Conn: c, in: bufio.NewReader(c)}
}

func (c *testClient) send(method, path, body string, headers ...string) *testClient {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n", method, path, len(body))
	for _, h := range headers {
		head += h + "\r\n"
	}
	_, err := io.WriteString(c, head+"\r\n"+body)
	Expect(err).NotTo(HaveOccurred())
	return c
}

func (c *testClient) receive() testResponse {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return testResponse{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return testResponse{status: response.StatusCode, header: response.Header, body: body, err: err}
}

var _ = Describe("a backend server", func() {
	var (
		manualClock      *clock.Manual
		server           *Server
		address, control string
	)

	BeforeEach(func() {
		manualClock = clock.NewManual(time.Unix(1_000_000, 0))
		server = New(Options{
			ID: "s1", Clock: manualClock, Seed: 1, Slots: 1, Queue: 1, ConnectionLimit: 4, ServiceTime: Distribution{Mean: serviceTime},
		})
		listen := func(serve func(net.Listener) error) string {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			go func() { _ = serve(ln) }()
			return ln.Addr().String()
		}
		address, control = listen(server.Serve), listen(server.ServeControl)
		DeferCleanup(server.Close)
	})

	setFaults := func(body string) { Expect(dial(control).send("POST", "/faults", body).receive().status).To(Equal(200)) }
	waitRunning := func(n int) { Eventually(manualClock.PendingTimers).Should(Equal(n)) }
	waitQueued := func(n int) { Eventually(func() int { return server.Stats().Queued }).Should(Equal(n)) }
	// finishRunning ends the running request. The extra time covers the slot time of connections.
	finishRunning := func() { manualClock.Advance(10 * serviceTime) }
	runRequest := func(c *testClient, method, path string, headers ...string) testResponse {
		c.send(method, path, "", headers...)
		waitRunning(1)
		finishRunning()
		return c.receive()
	}

	// Guards against a response that cannot be matched to its request, and against an execution missing from the journal.
	It("echoes the request and records the execution in the journal", func() {
		c := dial(address)
		c.send("POST", "/orders?q=1", "hello", "Idempotency-Key: k", "X-Request-Id: r", "Standin-Nonce: n")
		waitRunning(1)
		Expect(server.Journal("k").Executions).To(ConsistOf(And(HaveField("RequestID", "r"), HaveField("Completed", false))))
		finishRunning()
		got := c.receive()
		var echo Echo
		Expect(json.Unmarshal(got.body, &echo)).To(Succeed())
		Expect(echo).To(Equal(Echo{
			ServerID: "s1", RequestID: "r", Method: "POST", Path: "/orders", Query: "q=1", Nonce: "n", BodyBytes: 5,
			BodyHash: echo.BodyHash,
		}))
		Expect(got.header.Get(HeaderNonce)).To(Equal("n"))
		Expect(server.Journal("k").Executions).To(ConsistOf(HaveField("Completed", true)))
		Expect(runRequest(c, "GET", "/x").status).To(Equal(200))
		Expect(server.Journal("").Executions).To(HaveLen(1))
	})

	// Guards against a corrupted body, and against a slot that is not released after a streamed response.
	It("streams bytes and releases the slot", func() {
		c := dial(address)
		want := make([]byte, 300_000)
		FillPattern(0, want)
		for range 2 {
			got := runRequest(c, "GET", "/manuals/bytes/300000")
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.body).To(Equal(want))
		}
		Expect(server.Stats()).To(And(HaveField("Busy", 0), HaveField("Connections", int64(1))))
	})

	// Guards against requests that are run although the response marked them as not run, or although the client has
	// disconnected.
	It("sheds, expires and cancels waiting requests", func() {
		first, second, third := dial(address), dial(address), dial(address)
		first.send("POST", "/a", "")
		waitRunning(1)
		second.send("POST", "/b", "", "X-Deadline-Ms: 5")
		waitQueued(1)
		got := third.send("POST", "/c", "").receive()
		Expect(got.status).To(Equal(503))
		Expect(got.header.Get(HeaderNotRun)).To(Equal("1"))
		finishRunning()
		Expect(first.receive().status).To(Equal(200))
		got = second.receive()
		Expect(got.status).To(Equal(504))
		Expect(got.header.Get(HeaderNotRun)).To(Equal("1"))

		first.send("POST", "/d", "")
		waitRunning(1)
		second.send("POST", "/e", "")
		waitQueued(1)
		Expect(second.Close()).To(Succeed())
		waitQueued(0)
		Expect(first.Close()).To(Succeed())
		Eventually(func() int { return server.Stats().Busy }).Should(BeZero())
		Expect(server.Journal("").Executions).To(HaveExactElements(
			And(HaveField("Path", "/a"), HaveField("Completed", true)),
			And(HaveField("Path", "/d"), HaveField("Completed", false)),
		))
		Expect(server.Stats()).To(And(HaveField("Shed", int64(1)), HaveField("Expired", int64(1)), HaveField("Cancelled", int64(2))))
	})

	// Guards against a connection limit that is not enforced, and against refused connections that are not counted.
	It("limits connections and records their highest number", func() {
		for range 4 {
			dial(address).send("GET", "/load", "").receive()
		}
		Expect(dial(address).receive().err).To(HaveOccurred())
		Expect(server.Stats()).To(And(HaveField("ConnectionsHighest", int64(5)), HaveField("ConnectionsRefused", int64(1)),
			HaveField("Connections", int64(4)), HaveField("Probes", int64(4)), HaveField("ProbeMillis", int64(20))))
		Expect(server.Stats().ProbeBytes).To(BeNumerically(">", 4*100))
	})

	// Guards against load reports that are always true and current, which would hide the faults of a client that relies on
	// them.
	It("reports outdated or false load", func() {
		load := func() (l LoadReport) {
			Expect(json.Unmarshal(dial(control).send("GET", "/load", "").receive().body, &l)).To(Succeed())
			return l
		}
		dial(address).send("GET", "/a", "")
		waitRunning(1)
		Expect(load()).To(Equal(LoadReport{Slots: 1, Busy: 1, AtMillis: manualClock.Now().UnixMilli()}))
		setFaults(`{"loadLagMs": 3000}`)
		Expect(load()).To(Equal(LoadReport{Slots: 1, AtMillis: manualClock.Now().UnixMilli() - 3000}))
		setFaults(`{"loadFixed": {"slots": 9, "busy": 2, "queued": 1, "draining": true}}`)
		Expect(load()).To(Equal(LoadReport{Slots: 9, Busy: 2, Queued: 1, Draining: true, AtMillis: manualClock.Now().UnixMilli()}))
		setFaults(`{"loadFixed": null, "loadLagMs": 0}`)
		Expect(load().Slots).To(Equal(1))
	})

	// Guards against a drain that refuses work at once or is not shown in responses, and against work that is accepted after
	// the grace period.
	It("drains", func() {
		c := dial(address)
		setFaults(`{"drain": true, "drainGraceMs": 1000}`)
		got := runRequest(c, "GET", "/a")
		Expect(got.status).To(Equal(200))
		Expect(got.header.Get(HeaderDrain)).To(Equal("1"))
		manualClock.Advance(time.Second)
		got = c.send("GET", "/a", "").receive()
		Expect(got.status).To(Equal(503))
		Expect(got.header).To(And(HaveKeyWithValue(HeaderDrain, []string{"1"}), HaveKeyWithValue(HeaderNotRun, []string{"1"})))
	})

	// Guards against a straggler or a cold start that does not slow work down by the configured factor.
	DescribeTable("slows work down", func(faults string, age, want time.Duration) {
		setFaults(faults)
		manualClock.Advance(age)
		Expect(time.Duration(server.faults.slowdown(manualClock.Now()) * float64(serviceTime))).To(Equal(want))
	},
		Entry("straggler", `{"slow": 20}`, time.Second, 20*serviceTime),
		Entry("cold", `{"coldFactor": 5, "coldMs": 10000}`, time.Duration(0), 5*serviceTime),
		Entry("halfway through the warm-up", `{"coldFactor": 5, "coldMs": 10000}`, 5*time.Second, 3*serviceTime),
		Entry("warm", `{"coldFactor": 5, "coldMs": 10000}`, 10*time.Second, serviceTime),
	)

	// Guards against requests that are run although they failed or stalled, and against a dropped response that is sent or
	// whose request is not run.
	It("fails fast, stalls and drops responses", func() {
		c := dial(address)
		setFaults(`{"failProbability": 1}`)
		Expect(c.send("POST", "/a", "").receive().status).To(Equal(500))
		setFaults(`{"failProbability": 0, "stall": true}`)
		c.send("POST", "/b", "")
		Eventually(func() int64 { return server.Stats().Stalled }).Should(BeEquivalentTo(1))
		Expect(dial(address).send("GET", "/load", "").receive().status).To(Equal(200))
		setFaults(`{"stall": false}`)
		Expect(c.receive().err).To(HaveOccurred())
		Expect(server.Journal("").Executions).To(BeEmpty())

		setFaults(`{"dropAnswers": 1}`)
		Expect(runRequest(dial(address), "POST", "/c").err).To(HaveOccurred())
		Expect(server.Journal("").Executions).To(ConsistOf(HaveField("Completed", true)))
		Expect(runRequest(dial(address), "POST", "/d").status).To(Equal(200))
	})

	// Guards against a truncated body that appears complete to the client.
	It("truncates bodies", func() {
		setFaults(`{"truncate": true, "truncateBytes": 5000}`)
		got := runRequest(dial(address), "GET", "/bytes/20000")
		Expect(got.err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(got.body).To(HaveLen(5000))
		Expect(runRequest(dial(address), "GET", "/bytes/5000").err).NotTo(HaveOccurred())
	})

	// Guards against a keep-alive connection that is closed before the next request arrives, or on which that request is run.
	It("closes keep-alive connections when a request arrives", func() {
		c := dial(address)
		Expect(runRequest(c, "POST", "/a").status).To(Equal(200))
		setFaults(`{"closeKeepAlive": true}`)
		Expect(c.send("POST", "/b", "").receive().err).To(MatchError(ContainSubstring("EOF")))
		Expect(runRequest(dial(address), "POST", "/c").status).To(Equal(200))
		Expect(server.Journal("").Executions).To(HaveLen(2))
	})

	// Guards against silenced connections that still run or answer requests, and against new connections that do not.
	It("silences open connections only", func() {
		c := dial(address)
		Expect(runRequest(c, "POST", "/a").status).To(Equal(200))
		setFaults(`{"silenceConnections": true}`)
		c.send("POST", "/b", "")
		Expect(c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
		_, err := c.in.ReadByte()
		Expect(err).To(MatchError(ContainSubstring("timeout")))
		Expect(runRequest(dial(address), "POST", "/c").status).To(Equal(200))
		Expect(server.Journal("").Executions).To(HaveLen(2))
	})

	// Guards against a refusal that affects open connections or does not end.
	It("refuses new connections for a limited time", func() {
		c := dial(address)
		Expect(runRequest(c, "GET", "/a").status).To(Equal(200))
		setFaults(`{"refuseForMs": 60000}`)
		_, err := net.Dial("tcp", address)
		Expect(err).To(MatchError(ContainSubstring("refused")))
		c.send("GET", "/a", "")
		waitRunning(2)
		finishRunning()
		Expect(c.receive().status).To(Equal(200))
		manualClock.Advance(time.Minute)
		Eventually(func() error {
			c, err := net.Dial("tcp", address)
			if err == nil {
				_ = c.Close()
			}
			return err
		}).Should(Succeed())
	})

	// Guards against a misspelt or invalid fault that is silently ignored.
	DescribeTable("rejects invalid faults", func(body string) {
		Expect(dial(control).send("POST", "/faults", body).receive().status).To(Equal(400))
		Expect(server.Faults()).To(Equal(Faults{}))
	},
		Entry("unknown field", `{"stal": true}`),
		Entry("probability above 1", `{"failProbability": 2}`),
		Entry("lag beyond the history", `{"loadLagMs": 60001}`),
		Entry("negative", `{"truncateBytes": -1}`),
	)

	// Guards against a large body that is buffered in memory instead of being streamed.
	It("streams long chunked request bodies", func() {
		c := dial(address)
		_, err := io.WriteString(c, "POST /up HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		part := "8000\r\n" + strings.Repeat("x", 0x8000) + "\r\n"
		for range 64 {
			_, err = io.WriteString(c, part)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err = io.WriteString(c, "0\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		waitRunning(1)
		finishRunning()
		Expect(string(c.receive().body)).To(ContainSubstring(`"bodyBytes":2097152`))
	})
})
