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

// peer is a plain HTTP client on one connection.
type peer struct {
	net.Conn
	in *bufio.Reader
}

// answer is what a peer received; err is set when the answer was not whole.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func dial(address string) *peer {
	c, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	return &peer{Conn: c, in: bufio.NewReader(c)}
}

func (p *peer) send(method, path, body string, headers ...string) *peer {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n", method, path, len(body))
	for _, h := range headers {
		head += h + "\r\n"
	}
	_, err := io.WriteString(p, head+"\r\n"+body)
	Expect(err).NotTo(HaveOccurred())
	return p
}

func (p *peer) receive() answer {
	_ = p.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(p.in, nil)
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: body, err: err}
}

var _ = Describe("a backend server", func() {
	var (
		now              *clock.Manual
		server           *Server
		address, control string
	)

	BeforeEach(func() {
		now = clock.NewManual(time.Unix(1_000_000, 0))
		server = New(Options{
			ID: "s1", Clock: now, Seed: 1, Slots: 1, Queue: 1, ConnectionLimit: 4, Service: Distribution{Mean: serviceTime},
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

	switchFaults := func(body string) { Expect(dial(control).send("POST", "/faults", body).receive().status).To(Equal(200)) }
	running := func(n int) { Eventually(now.Waiters).Should(Equal(n)) }
	queued := func(n int) { Eventually(func() int { return server.Stats().Queued }).Should(Equal(n)) }
	// finish ends the run that is under way. The extra time covers the cost of connections.
	finish := func() { now.Advance(10 * serviceTime) }
	run := func(p *peer, method, path string, headers ...string) answer {
		p.send(method, path, "", headers...)
		running(1)
		finish()
		return p.receive()
	}

	// Guards against an answer that cannot be matched to its request, and against a journal that misses a run.
	It("echoes the request and keeps a journal", func() {
		p := dial(address)
		p.send("POST", "/orders?q=1", "hello", "Idempotency-Key: k", "X-Request-Id: r", "Standin-Nonce: n")
		running(1)
		Expect(server.Journal("k").Executions).To(ConsistOf(And(HaveField("RequestID", "r"), HaveField("Completed", false))))
		finish()
		a := p.receive()
		var e Echo
		Expect(json.Unmarshal(a.body, &e)).To(Succeed())
		Expect(e).To(Equal(Echo{
			ServerID: "s1", RequestID: "r", Method: "POST", Path: "/orders", Query: "q=1", Nonce: "n", BodyBytes: 5, BodyHash: e.BodyHash,
		}))
		Expect(a.header.Get(HeaderNonce)).To(Equal("n"))
		Expect(server.Journal("k").Executions).To(ConsistOf(HaveField("Completed", true)))
		Expect(run(p, "GET", "/x").status).To(Equal(200))
		Expect(server.Journal("").Executions).To(HaveLen(1))
	})

	// Guards against a body that is changed, and a slot that a streamed answer never frees.
	It("streams bytes and frees the slot", func() {
		p := dial(address)
		want := make([]byte, 300_000)
		Pattern(0, want)
		for range 2 {
			a := run(p, "GET", "/manuals/bytes/300000")
			Expect(a.err).NotTo(HaveOccurred())
			Expect(a.body).To(Equal(want))
		}
		Expect(server.Stats()).To(And(HaveField("Busy", 0), HaveField("Connections", int64(1))))
	})

	// Guards against work that is run although its caller was told that it was not, or has given up.
	It("sheds, expires and cancels what waits", func() {
		first, second, third := dial(address), dial(address), dial(address)
		first.send("POST", "/a", "")
		running(1)
		second.send("POST", "/b", "", "X-Deadline-Ms: 5")
		queued(1)
		a := third.send("POST", "/c", "").receive()
		Expect(a.status).To(Equal(503))
		Expect(a.header.Get(HeaderNotRun)).To(Equal("1"))
		finish()
		Expect(first.receive().status).To(Equal(200))
		a = second.receive()
		Expect(a.status).To(Equal(504))
		Expect(a.header.Get(HeaderNotRun)).To(Equal("1"))

		first.send("POST", "/d", "")
		running(1)
		second.send("POST", "/e", "")
		queued(1)
		Expect(second.Close()).To(Succeed())
		queued(0)
		Expect(first.Close()).To(Succeed())
		Eventually(func() int { return server.Stats().Busy }).Should(BeZero())
		Expect(server.Journal("").Executions).To(HaveExactElements(
			And(HaveField("Path", "/a"), HaveField("Completed", true)),
			And(HaveField("Path", "/d"), HaveField("Completed", false)),
		))
		Expect(server.Stats()).To(And(HaveField("Shed", int64(1)), HaveField("Expired", int64(1)), HaveField("Cancelled", int64(2))))
	})

	// Guards against a limit that lets connections through or whose excess is not recorded.
	It("limits connections and records the highest number", func() {
		for range 4 {
			dial(address).send("GET", "/load", "").receive()
		}
		Expect(dial(address).receive().err).To(HaveOccurred())
		Expect(server.Stats()).To(And(HaveField("ConnectionsHighest", int64(5)), HaveField("ConnectionsRefused", int64(1)),
			HaveField("Connections", int64(4)), HaveField("Probes", int64(4)), HaveField("ProbeMillis", int64(20))))
		Expect(server.Stats().ProbeBytes).To(BeNumerically(">", 4*100))
	})

	// Guards against reports that are always true and fresh, which would hide a client that trusts them.
	It("reports late or false load", func() {
		load := func() (l Load) {
			Expect(json.Unmarshal(dial(control).send("GET", "/load", "").receive().body, &l)).To(Succeed())
			return l
		}
		dial(address).send("GET", "/a", "")
		running(1)
		Expect(load()).To(Equal(Load{Slots: 1, Busy: 1, AtMillis: now.Now().UnixMilli()}))
		switchFaults(`{"loadLagMs": 3000}`)
		Expect(load()).To(Equal(Load{Slots: 1, AtMillis: now.Now().UnixMilli() - 3000}))
		switchFaults(`{"loadFixed": {"slots": 9, "busy": 2, "queued": 1, "draining": true}}`)
		Expect(load()).To(Equal(Load{Slots: 9, Busy: 2, Queued: 1, Draining: true, AtMillis: now.Now().UnixMilli()}))
		switchFaults(`{"loadFixed": null, "loadLagMs": 0}`)
		Expect(load().Slots).To(Equal(1))
	})

	// Guards against a drain that cuts off or hides its state, and one that still takes work after its grace.
	It("drains", func() {
		p := dial(address)
		switchFaults(`{"drain": true, "drainGraceMs": 1000}`)
		a := run(p, "GET", "/a")
		Expect(a.status).To(Equal(200))
		Expect(a.header.Get(HeaderDrain)).To(Equal("1"))
		now.Advance(time.Second)
		a = p.send("GET", "/a", "").receive()
		Expect(a.status).To(Equal(503))
		Expect(a.header).To(And(HaveKeyWithValue(HeaderDrain, []string{"1"}), HaveKeyWithValue(HeaderNotRun, []string{"1"})))
	})

	// Guards against a straggler or cold start that does not slow work by its factor.
	DescribeTable("slows work", func(faults string, age, want time.Duration) {
		switchFaults(faults)
		now.Advance(age)
		Expect(time.Duration(server.switches.slowness(now.Now()) * float64(serviceTime))).To(Equal(want))
	},
		Entry("straggler", `{"slow": 20}`, time.Second, 20*serviceTime),
		Entry("cold", `{"coldFactor": 5, "coldMs": 10000}`, time.Duration(0), 5*serviceTime),
		Entry("half warm", `{"coldFactor": 5, "coldMs": 10000}`, 5*time.Second, 3*serviceTime),
		Entry("warm", `{"coldFactor": 5, "coldMs": 10000}`, 10*time.Second, serviceTime),
	)

	// Guards against faults on requests that run the work, or that answer.
	It("fails fast, stalls and drops answers", func() {
		p := dial(address)
		switchFaults(`{"failProbability": 1}`)
		Expect(p.send("POST", "/a", "").receive().status).To(Equal(500))
		switchFaults(`{"failProbability": 0, "stall": true}`)
		p.send("POST", "/b", "")
		Eventually(func() int64 { return server.Stats().Stalled }).Should(BeEquivalentTo(1))
		Expect(dial(address).send("GET", "/load", "").receive().status).To(Equal(200))
		switchFaults(`{"stall": false}`)
		Expect(p.receive().err).To(HaveOccurred())
		Expect(server.Journal("").Executions).To(BeEmpty())

		switchFaults(`{"dropAnswers": 1}`)
		Expect(run(dial(address), "POST", "/c").err).To(HaveOccurred())
		Expect(server.Journal("").Executions).To(ConsistOf(HaveField("Completed", true)))
		Expect(run(dial(address), "POST", "/d").status).To(Equal(200))
	})

	// Guards against a body that looks whole although it was cut.
	It("truncates bodies", func() {
		switchFaults(`{"truncate": true, "truncateBytes": 5000}`)
		a := run(dial(address), "GET", "/bytes/20000")
		Expect(a.err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(a.body).To(HaveLen(5000))
		Expect(run(dial(address), "GET", "/bytes/5000").err).NotTo(HaveOccurred())
	})

	// Guards against a kept connection that closes too early (before a request) or that runs the request.
	It("closes kept connections when a request arrives", func() {
		p := dial(address)
		Expect(run(p, "POST", "/a").status).To(Equal(200))
		switchFaults(`{"closeKeepAlive": true}`)
		Expect(p.send("POST", "/b", "").receive().err).To(MatchError(ContainSubstring("EOF")))
		Expect(run(dial(address), "POST", "/c").status).To(Equal(200))
		Expect(server.Journal("").Executions).To(HaveLen(2))
	})

	// Guards against silent connections that still answer or run work, and new ones that do not.
	It("silences open connections only", func() {
		p := dial(address)
		Expect(run(p, "POST", "/a").status).To(Equal(200))
		switchFaults(`{"silenceConnections": true}`)
		p.send("POST", "/b", "")
		Expect(p.SetReadDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
		_, err := p.in.ReadByte()
		Expect(err).To(MatchError(ContainSubstring("timeout")))
		Expect(run(dial(address), "POST", "/c").status).To(Equal(200))
		Expect(server.Journal("").Executions).To(HaveLen(2))
	})

	// Guards against a refusal that breaks open connections or does not end.
	It("refuses connections for a time", func() {
		p := dial(address)
		Expect(run(p, "GET", "/a").status).To(Equal(200))
		switchFaults(`{"refuseForMs": 60000}`)
		_, err := net.Dial("tcp", address)
		Expect(err).To(MatchError(ContainSubstring("refused")))
		p.send("GET", "/a", "")
		running(2)
		finish()
		Expect(p.receive().status).To(Equal(200))
		now.Advance(time.Minute)
		Eventually(func() error {
			c, err := net.Dial("tcp", address)
			if err == nil {
				_ = c.Close()
			}
			return err
		}).Should(Succeed())
	})

	// Guards against a misspelt fault that is silently not switched.
	DescribeTable("refuses faulty switches", func(body string) {
		Expect(dial(control).send("POST", "/faults", body).receive().status).To(Equal(400))
		Expect(server.Faults()).To(Equal(Faults{}))
	},
		Entry("unknown field", `{"stal": true}`),
		Entry("probability above 1", `{"failProbability": 2}`),
		Entry("lag beyond the history", `{"loadLagMs": 60001}`),
		Entry("negative", `{"truncateBytes": -1}`),
	)

	// Guards against an endless body that is kept in memory instead of streamed.
	It("reads long chunked bodies", func() {
		p := dial(address)
		_, err := io.WriteString(p, "POST /up HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		part := "8000\r\n" + strings.Repeat("x", 0x8000) + "\r\n"
		for range 64 {
			_, err = io.WriteString(p, part)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err = io.WriteString(p, "0\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		running(1)
		finish()
		Expect(string(p.receive().body)).To(ContainSubstring(`"bodyBytes":2097152`))
	})
})
