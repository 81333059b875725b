package gateway_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/balance"
)

// closeWithoutResponse closes the connection without a response.
func closeWithoutResponse(*receivedRequest, net.Conn) bool { return false }

// neverRespond sends no response and waits until the gateway closes the connection.
func neverRespond(r *receivedRequest, _ net.Conn) bool { <-r.connectionClosed; return false }

var _ = Describe("Gateway", func() {
	// Guards against a request that reaches the server without its query, the server's id or the time left.
	It("forwards a request and relays the response", func() {
		b := startBackend(respondCorrectly)
		f := startGateway(b)
		a := f.roundTrip("GET", "/safe/x?q=1", "one")
		Expect(a.StatusCode).To(Equal(200))
		Expect(a.body).To(Equal("answer to one"))
		Expect(a.Header.Get("Proof")).To(Equal("p"))
		seen := b.last()
		Expect(seen.RequestURI).To(Equal("/safe/x?q=1"))
		Expect(seen.Header.Get("Expect-Server")).To(Equal("s0"))
		wait := 0
		_, err := fmt.Sscan(seen.Header.Get("Wait"), &wait)
		Expect(err).NotTo(HaveOccurred())
		Expect(wait).To(BeNumerically("~", routeTimeout.Milliseconds(), 100), "the route's timeout is less than the caller's wait")
	})

	// Guards against a second response to an earlier request that is read as the response to the next request on the connection.
	It("skips a late response to an earlier request", func() {
		b := startBackend(func(r *receivedRequest, c net.Conn) bool {
			if r.Header.Get("Id") == "second" {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nId: first\r\nProof: p\r\n\r\nfirst")
			}
			return respondCorrectly(r, c)
		})
		f := startGateway(b)
		c := f.dial()
		c.send("GET", "/safe/", "first", nil)
		Expect(c.receive().body).To(Equal("answer to first"))
		c.send("GET", "/safe/", "second", nil)
		Expect(c.receive().body).To(Equal("answer to second"))
		Expect(b.count()).To(Equal(2))
	})

	// Guards against a second copy of an earlier refusal, such as that of a health check, which names no request: taken for the
	// refusal of the order that the server runs, it had the order sent to a second server, or refused as not run.
	DescribeTable("does not believe a refusal that does not name the request", func(refusal string) {
		first := startBackend(func(r *receivedRequest, c net.Conn) bool {
			_, _ = io.WriteString(c, refusal)
			return respondCorrectly(r, c)
		})
		second := startBackend(respondCorrectly)
		a := startGateway(first, second).roundTrip("POST", "/once/", "order")
		Expect(a.StatusCode).To(Equal(200))
		Expect(a.body).To(Equal("answer to order"))
		Expect(second.count()).To(BeZero())
	},
		Entry("of a health check", "HTTP/1.1 503 X\r\nContent-Length: 0\r\nNot-Run: 1\r\n\r\n"),
		Entry("of another server", "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n"),
		Entry("of another order", "HTTP/1.1 503 X\r\nContent-Length: 0\r\nNot-Run: 1\r\nId: earlier\r\n\r\n"),
	)

	// Guards against the promise "not run" for an order whose server sends such a refusal and then closes the connection.
	It("reports an unknown outcome if only a refusal arrives that does not name the request", func() {
		first := startBackend(func(_ *receivedRequest, c net.Conn) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 503 X\r\nContent-Length: 0\r\nNot-Run: 1\r\n\r\n")
			return false
		})
		second := startBackend(respondCorrectly)
		Expect(startGateway(first, second).roundTrip("POST", "/once/", "order").StatusCode).To(Equal(502))
		Expect(second.count()).To(BeZero())
	})

	// Guards against a head that breaks off and is read as that of a complete response: the caller got a 200 with an empty or short
	// body, framed as whole.
	It("never relays a response whose head or body breaks off", func() {
		const response = "HTTP/1.1 200 OK\r\nId: order\r\nProof: p\r\nContent-Length: 4\r\n\r\nbody"
		const chunked = "HTTP/1.1 200 OK\r\nId: order\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
		var whole string
		var cut atomic.Int64
		f := startGateway(startBackend(func(_ *receivedRequest, c net.Conn) bool {
			_, _ = io.WriteString(c, whole[:cut.Load()])
			return false
		}))
		for _, whole = range []string{response, chunked} {
			for n := range len(whole) {
				cut.Store(int64(n))
				c := f.dial()
				c.sendWaiting(transferTimeout, "POST", "/upload/", "order", nil)
				a := c.receive()
				Expect(a.err).NotTo(HaveOccurred())
				Expect(a.StatusCode).To(Equal(502), "%q", whole[:n])
			}
		}
	})

	// Guards against an order that is placed twice because its first server closed the connection.
	It("sends a non-idempotent request to one server only, and reports an unknown outcome", func() {
		first, second := startBackend(closeWithoutResponse), startBackend(respondCorrectly)
		a := startGateway(first, second).roundTrip("POST", "/once/", "order")
		Expect(a.StatusCode).To(Equal(502))
		Expect(a.Header.Get("Id")).To(Equal("order"))
		Expect(first.count()).To(Equal(1))
		Expect(second.count()).To(BeZero())
	})

	// Guards against an order that fails although it is safe to send it again.
	It("retries a non-idempotent request on another server if the first one states that it did not run it", func() {
		first := startBackend(func(r *receivedRequest, c net.Conn) bool { return writeResponse(c, r, 503, "", "Not-Run: 1") })
		second := startBackend(respondCorrectly)
		a := startGateway(first, second).roundTrip("POST", "/once/", "order")
		Expect(a.StatusCode).To(Equal(200))
		Expect(second.count()).To(Equal(1))
	})

	// Guards against a refusal with the meaning "not run" for a request that a server may have run: the server's 503 does not
	// state that it was not run.
	It("does not relay a refusal that does not state that the request was not run", func() {
		b := startBackend(func(r *receivedRequest, c net.Conn) bool { return writeResponse(c, r, 503, "busy", "Proof: p") })
		a := startGateway(b).roundTrip("POST", "/once/", "order")
		Expect(a.StatusCode).To(Equal(502))
	})

	// Guards against an order that no server has run and that the caller cannot safely send again, or not soon enough.
	It("refuses a request as not run, with a Retry-After, when all servers refuse it", func() {
		b := startBackend(func(r *receivedRequest, c net.Conn) bool { return writeResponse(c, r, 503, "", "Not-Run: 1") })
		a := startGateway(b).roundTrip("POST", "/once/", "order")
		Expect(a.StatusCode).To(Equal(503))
		Expect(a.Header.Get("Retry-After")).To(MatchRegexp(`^0\.\d+$`))
	})

	// Guards against a success that does not come from the server, and against a truncated response that looks complete.
	DescribeTable("replaces an invalid response by that of another server", func(
		respondInvalidly func(r *receivedRequest, c net.Conn) bool,
	) {
		first, second := startBackend(respondInvalidly), startBackend(respondCorrectly)
		a := startGateway(first, second).roundTrip("GET", "/safe/", "view")
		Expect(a.StatusCode).To(Equal(200))
		Expect(a.body).To(Equal("answer to view"))
		Expect(first.count()).To(Equal(1))
	},
		Entry("without signature", func(r *receivedRequest, c net.Conn) bool { return writeResponse(c, r, 200, "x") }),
		Entry("truncated body", func(r *receivedRequest, c net.Conn) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 50\r\nId: view\r\nProof: p\r\n\r\nhalf")
			return false
		}),
		Entry("truncated chunk", func(r *receivedRequest, c net.Conn) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: view\r\nProof: p\r\n\r\n5\r\nha")
			return false
		}),
		Entry("not HTTP", func(r *receivedRequest, c net.Conn) bool {
			_, _ = io.WriteString(c, "\x00\x01garbage\r\n\r\n")
			return false
		}),
		Entry("no response", closeWithoutResponse),
		Entry("server error", func(r *receivedRequest, c net.Conn) bool { return writeResponse(c, r, 500, "", "Proof: p") }),
		Entry("response of another server", func(r *receivedRequest, c net.Conn) bool { return writeResponse(c, r, 421, "") }),
	)

	// Guards against callers that wait longer than the timeout of the route.
	It("answers at the route's timeout", func() {
		b := startBackend(neverRespond)
		f := startGateway(b)
		for _, path := range []string{"/safe/", "/once/"} {
			startedAt := time.Now()
			Expect(f.roundTrip("GET", path, "slow").StatusCode).To(Equal(504))
			Expect(time.Since(startedAt)).To(BeNumerically("~", routeTimeout, 300*time.Millisecond))
		}
	})

	// Guards against a response that is late because of one slow server while another server is free.
	It("sends a hedged request when the first server is slow, and relays the first valid response", func() {
		first, second := startBackend(neverRespond), startBackend(respondCorrectly)
		f := startGateway(first, second)
		startedAt := time.Now()
		Expect(f.roundTrip("GET", "/safe/", "view").body).To(Equal("answer to view"))
		Expect(time.Since(startedAt)).To(BeNumerically("<", routeTimeout))
		Eventually(first.last().connectionClosed).Should(BeClosed(), "the first attempt is cancelled")
	})

	// Guards against retries that multiply the load of a failing service.
	It("keeps retries within the budget", func() {
		b, c := startBackend(closeWithoutResponse), startBackend(closeWithoutResponse)
		f := startGateway(b, c)
		for i := range 50 {
			Expect(f.roundTrip("GET", "/safe/", fmt.Sprint(i)).StatusCode).To(Equal(502))
		}
		Expect(b.count()+c.count()).To(BeNumerically("<=", 50+10+4), "a share of 0.2 and a burst of 4")
	})

	// Guards against work for callers that have disconnected, and against non-idempotent requests whose outcome remains unknown.
	It("cancels an idempotent request when its caller disconnects, and lets a non-idempotent one finish", func() {
		b := startBackend(neverRespond)
		f := startGateway(b)
		c := f.dial()
		c.send("GET", "/safe/", "view", nil)
		Eventually(b.count).Should(Equal(1))
		_ = c.Close()
		Eventually(b.last().connectionClosed, "500ms").Should(BeClosed())
		c = f.dial()
		c.send("POST", "/once/", "order", nil)
		Eventually(b.count).Should(Equal(2))
		_ = c.Close()
		Consistently(b.last().connectionClosed, "300ms").ShouldNot(BeClosed())
	})

	// Guards against a Retry-After of a VM that has just started which is so long that the retry misses its objective.
	It("answers 404 without a route, and 503 with a short Retry-After without a configuration", func() {
		f := startGateway(startBackend(respondCorrectly))
		Expect(f.roundTrip("GET", "/other/", "x").StatusCode).To(Equal(404))
		f = startGateway()
		a := f.roundTrip("GET", "/safe/", "early")
		Expect(a.StatusCode).To(Equal(503))
		Expect(strconv.ParseFloat(a.Header.Get("Retry-After"), 64)).To(BeNumerically("<=", 0.2))
		time.Sleep(200 * time.Millisecond)
		Expect(strconv.ParseFloat(f.roundTrip("GET", "/safe/", "later").Header.Get("Retry-After"), 64)).To(BeNumerically("<=", 0.05))
	})

	// Guards against request heads and bodies that exceed the configured limits.
	It("refuses heads and bodies that are too large", func() {
		b := startBackend(respondCorrectly)
		f := startGateway(b)
		c := f.dial()
		_, err := fmt.Fprintf(c, "GET /safe/ HTTP/1.1\r\nHost: h\r\nId: big\r\nX: %s\r\n\r\n", strings.Repeat("x", headerLimit))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.receive().StatusCode).To(Equal(431))
		c = f.dial()
		_, err = fmt.Fprintf(c, "POST /once/ HTTP/1.1\r\nHost: h\r\nId: big\r\nContent-Length: %d\r\n\r\n%s",
			9<<20, strings.Repeat("x", 1<<17))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.receive().StatusCode).To(Equal(413))
		Expect(b.count()).To(BeZero())
	})

	// Guards against downloads that take all slots of a service, so that its orders wait or are refused: with their long
	// objectives downloads were admitted while orders were not.
	It("gives downloads free slots only where there are urgent requests", func() {
		release := make(chan struct{})
		b := startBackend(func(r *receivedRequest, c net.Conn) bool { <-release; return respondCorrectly(r, c) })
		f := startGateway(b)
		for i := range 4 {
			f.dial().send("GET", "/bulk/", fmt.Sprint("alone", i), nil)
			Eventually(b.count).Should(Equal(i+1), "nothing else needs the slots")
		}
		b = startBackend(func(r *receivedRequest, c net.Conn) bool { <-release; return respondCorrectly(r, c) })
		f = startGateway(b)
		for i, path := range []string{"/once/", "/bulk/", "/bulk/"} {
			f.dial().send("POST", path, fmt.Sprint("both", i), nil)
			Eventually(b.count).Should(Equal(i + 1))
		}
		last := f.dial()
		last.send("GET", "/bulk/", "last", nil)
		Consistently(b.count, "150ms").Should(Equal(3), "it waits while no slot is free")
		close(release)
		Expect(last.receive().StatusCode).To(Equal(200))
	})

	// Guards against callers that retry too late to meet the objective after servers have refused their request.
	It("sets a Retry-After with which the objective can still be met", func() {
		full := func(r *receivedRequest, c net.Conn) bool { return writeResponse(c, r, 503, "", "Not-Run: 1") }
		a := startGateway(startBackend(full), startBackend(full)).roundTrip("POST", "/once/", "order")
		Expect(a.StatusCode).To(Equal(503))
		wait, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(wait).To(And(BeNumerically(">", 0), BeNumerically("<=", objective.Seconds()/5)))
	})

	// Guards against refusals while servers are free: servers that lose responses at times cost more than one that is far too
	// slow, and the request was refused because of the slow one.
	It("chooses a server that fails at times rather than refuse a request because of a slow one", func() {
		failing, slow := startBackend(respondCorrectly), startBackend(respondCorrectly)
		f := startGateway(failing, slow)
		servers := f.state.View().Servers
		for range 2 {
			f.balancer.RecordPeerOutcome(balance.ServerKeyOf(servers["s0"]), balance.Failed, time.Now())
		}
		f.balancer.RecordLoadReport(balance.ServerKeyOf(servers["s1"]), balance.LoadReport{Slowdown: 5}, time.Now())
		Expect(f.roundTrip("POST", "/once/", "order").StatusCode).To(Equal(503), "an order that fails cannot be sent again")
		Expect(failing.count()).To(BeZero())
		Expect(f.roundTrip("GET", "/safe/", "view").StatusCode).To(Equal(200))
		Expect(failing.count()).To(Equal(1))
	})

	// Guards against retries after an outage that are late already and delay first tries.
	It("refuses a request that is already late before one that can still meet its objective", func() {
		release := make(chan struct{})
		defer close(release)
		b := startBackend(func(r *receivedRequest, c net.Conn) bool { <-release; return respondCorrectly(r, c) })
		f := startGateway(b)
		for i := range 3 {
			f.dial().send("POST", "/once/", fmt.Sprint("order", i), nil)
			Eventually(b.count).Should(Equal(i + 1))
		}
		// On a fast server a first try may wait for a slot.
		f.balancer.RecordLoadReport(balance.ServerKeyOf(f.state.View().Servers["s0"]), balance.LoadReport{Slowdown: 0.5}, time.Now())
		late := f.dial()
		late.sendWaiting(callerWait/2, "POST", "/once/", "late", nil)
		a := late.receive()
		Expect(a.StatusCode).To(Equal(503))
		Expect(strconv.ParseFloat(a.Header.Get("Retry-After"), 64)).To(BeNumerically(">", 0.1))
		f.dial().send("POST", "/once/", "fresh", nil)
		Eventually(b.count).Should(Equal(4))
	})

	// Guards against bytes that are lost or changed in bodies too large to be buffered.
	It("streams large bodies in both directions byte for byte", func() {
		large := strings.Repeat("0123456789abcdef", 3<<16)
		b := startBackend(func(r *receivedRequest, c net.Conn) bool { return writeResponse(c, r, 200, large, "Proof: p") })
		f := startGateway(b)
		c := f.dial()
		c.sendWaiting(transferTimeout, "POST", "/upload/", "upload", []byte(large))
		a := c.receive()
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.body == large).To(BeTrue())
		Expect(bytes.Equal(b.last().body, []byte(large))).To(BeTrue())
		Eventually(f.InFlight).Should(BeZero())
	})

	// Guards against a large response that is truncated and looks complete to the caller.
	It("closes the connection when a streamed response is truncated", func() {
		b := startBackend(func(r *receivedRequest, c net.Conn) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\nId: view\r\nProof: p\r\n\r\n%s",
				strings.Repeat("x", 2_000_000))
			return false
		})
		c := startGateway(b).dial()
		c.send("GET", "/safe/", "view", nil)
		a := c.receive()
		Expect(a.err).To(HaveOccurred(), "%d bytes arrived", len(a.body))
	})
})
