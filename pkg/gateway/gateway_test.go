package gateway_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/balance"
)

// closes ends the connection without an answer.
func closes(*received, net.Conn) bool { return false }

// silent never answers.
func silent(r *received, _ net.Conn) bool { <-r.gone; return false }

var _ = Describe("Gateway", func() {
	It("passes the request on and the answer back", func() {
		b := startBackend(good)
		f := start(b)
		a := f.ask("GET", "/safe/x?q=1", "one")
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

	// Guards against a second answer to an earlier request that was read as the answer to the next one on the connection.
	It("skips a late answer to an earlier request", func() {
		late := startBackend(func(r *received, c net.Conn) bool {
			if r.Header.Get("Id") == "second" {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nId: first\r\nProof: p\r\n\r\nfirst")
			}
			return good(r, c)
		})
		f := start(late)
		c := f.dial()
		c.send("GET", "/safe/", "first", nil)
		Expect(c.receive().body).To(Equal("answer to first"))
		c.send("GET", "/safe/", "second", nil)
		Expect(c.receive().body).To(Equal("answer to second"))
		Expect(late.count()).To(Equal(2))
	})

	// Guards against an order that is placed twice because its first server closed the connection.
	It("sends a request that may run once to one server only, and says that its outcome is unknown", func() {
		first, second := startBackend(closes), startBackend(good)
		a := start(first, second).ask("POST", "/once/", "order")
		Expect(a.StatusCode).To(Equal(502))
		Expect(a.Header.Get("Id")).To(Equal("order"))
		Expect(first.count()).To(Equal(1))
		Expect(second.count()).To(BeZero())
	})

	It("sends it to another server if the first one says that it did not run it", func() {
		first := startBackend(func(r *received, c net.Conn) bool { return write(c, r, 503, "", "Not-Run: 1") })
		second := startBackend(good)
		a := start(first, second).ask("POST", "/once/", "order")
		Expect(a.StatusCode).To(Equal(200))
		Expect(second.count()).To(Equal(1))
	})

	// Guards against a refusal that promises "not run" for a request that a server may have run.
	It("does not pass on a refusal that lacks the server's word", func() {
		b := startBackend(func(r *received, c net.Conn) bool { return write(c, r, 503, "busy", "Proof: p") })
		a := start(b).ask("POST", "/once/", "order")
		Expect(a.StatusCode).To(Equal(502))
	})

	It("refuses as not run, with a time to come back, when all servers refuse", func() {
		b := startBackend(func(r *received, c net.Conn) bool { return write(c, r, 503, "", "Not-Run: 1") })
		a := start(b).ask("POST", "/once/", "order")
		Expect(a.StatusCode).To(Equal(503))
		Expect(a.Header.Get("Retry-After")).To(MatchRegexp(`^0\.\d+$`))
	})

	// Guards against a success that the server did not make, and against half an answer that looks whole.
	DescribeTable("replaces a broken answer by another server's", func(broken func(r *received, c net.Conn) bool) {
		first, second := startBackend(broken), startBackend(good)
		a := start(first, second).ask("GET", "/safe/", "view")
		Expect(a.StatusCode).To(Equal(200))
		Expect(a.body).To(Equal("answer to view"))
		Expect(first.count()).To(Equal(1))
	},
		Entry("without proof", func(r *received, c net.Conn) bool { return write(c, r, 200, "x") }),
		Entry("cut short", func(r *received, c net.Conn) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 50\r\nId: view\r\nProof: p\r\n\r\nhalf")
			return false
		}),
		Entry("cut within a chunk", func(r *received, c net.Conn) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: view\r\nProof: p\r\n\r\n5\r\nha")
			return false
		}),
		Entry("no answer in the protocol", func(r *received, c net.Conn) bool {
			_, _ = io.WriteString(c, "\x00\x01garbage\r\n\r\n")
			return false
		}),
		Entry("no answer", closes),
		Entry("server error", func(r *received, c net.Conn) bool { return write(c, r, 500, "", "Proof: p") }),
		Entry("another server at the address", func(r *received, c net.Conn) bool { return write(c, r, 421, "") }),
	)

	// Guards against callers that are kept waiting longer than the route allows.
	It("answers at the route's timeout", func() {
		b := startBackend(silent)
		f := start(b)
		for _, path := range []string{"/safe/", "/once/"} {
			began := time.Now()
			Expect(f.ask("GET", path, "slow").StatusCode).To(Equal(504))
			Expect(time.Since(began)).To(BeNumerically("~", routeTimeout, 300*time.Millisecond))
		}
	})

	// Guards against a slow server that makes a view late although another one is free.
	It("asks a second server when the first one takes long, and takes the first good answer", func() {
		first, second := startBackend(silent), startBackend(good)
		f := start(first, second)
		began := time.Now()
		Expect(f.ask("GET", "/safe/", "view").body).To(Equal("answer to view"))
		Expect(time.Since(began)).To(BeNumerically("<", routeTimeout))
		Eventually(first.last().gone).Should(BeClosed(), "the first server is told")
	})

	// Guards against second sends that multiply the load of a failing service.
	It("keeps second sends within the budget", func() {
		b, c := startBackend(closes), startBackend(closes)
		f := start(b, c)
		for i := range 50 {
			Expect(f.ask("GET", "/safe/", fmt.Sprint(i)).StatusCode).To(Equal(502))
		}
		Expect(b.count()+c.count()).To(BeNumerically("<=", 50+10+4), "a share of 0.2 and a burst of 4")
	})

	// Guards against work for callers that have left.
	It("breaks off a request that may be repeated when its caller leaves, and lets others end", func() {
		b := startBackend(silent)
		f := start(b)
		c := f.dial()
		c.send("GET", "/safe/", "view", nil)
		Eventually(b.count).Should(Equal(1))
		_ = c.Close()
		Eventually(b.last().gone, "500ms").Should(BeClosed())
		c = f.dial()
		c.send("POST", "/once/", "order", nil)
		Eventually(b.count).Should(Equal(2))
		_ = c.Close()
		Consistently(b.last().gone, "300ms").ShouldNot(BeClosed())
	})

	// Guards against callers who come back to a VM that has just started so late that their objective is missed.
	It("answers 404 without a route, and 503 with a short time to come back without a configuration", func() {
		f := start(startBackend(good))
		Expect(f.ask("GET", "/other/", "x").StatusCode).To(Equal(404))
		f = start()
		a := f.ask("GET", "/safe/", "early")
		Expect(a.StatusCode).To(Equal(503))
		Expect(strconv.ParseFloat(a.Header.Get("Retry-After"), 64)).To(BeNumerically("<=", 0.2))
		time.Sleep(200 * time.Millisecond)
		Expect(strconv.ParseFloat(f.ask("GET", "/safe/", "later").Header.Get("Retry-After"), 64)).To(BeNumerically("<=", 0.05))
	})

	// Guards against heads and bodies beyond the limits of the configuration.
	It("refuses heads and bodies that are too large", func() {
		b := startBackend(good)
		f := start(b)
		c := f.dial()
		_, err := fmt.Fprintf(c, "GET /safe/ HTTP/1.1\r\nHost: h\r\nId: big\r\nX: %s\r\n\r\n", strings.Repeat("x", headerLimit))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.receive().StatusCode).To(Equal(431))
		c = f.dial()
		_, err = fmt.Fprintf(c, "POST /once/ HTTP/1.1\r\nHost: h\r\nId: big\r\nContent-Length: %d\r\n\r\n%s", 9<<20, strings.Repeat("x", 1<<17))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.receive().StatusCode).To(Equal(413))
		Expect(b.count()).To(BeZero())
	})

	// Guards against a stop that cuts off requests.
	It("serves on while it drains and ends each connection with its answer", func() {
		release := make(chan struct{})
		b := startBackend(func(r *received, c net.Conn) bool { <-release; return good(r, c) })
		f := start(b)
		c := f.dial()
		c.send("POST", "/once/", "order", nil)
		Eventually(b.count).Should(Equal(1))
		f.Drain()
		ready, _ := f.Ready()
		Expect(ready).To(BeFalse())
		f.Refuse()
		close(release)
		a := c.receive()
		Expect(a.StatusCode).To(Equal(200))
		Expect(a.Close).To(BeTrue())
		Eventually(f.InFlight).Should(BeZero())
		Eventually(f.Connections).Should(BeZero())
	})

	// Guards against a flood of downloads at a service whose orders must then wait or are refused: with their long objectives
	// downloads were taken while orders were not.
	It("gives downloads free slots only where there are urgent requests", func() {
		release := make(chan struct{})
		defer close(release)
		b := startBackend(func(r *received, c net.Conn) bool { <-release; return good(r, c) })
		f := start(b)
		for i := range 4 {
			f.dial().send("GET", "/bulk/", fmt.Sprint("alone", i), nil)
			Eventually(b.count).Should(Equal(i+1), "nothing else needs the slots")
		}
		b = startBackend(func(r *received, c net.Conn) bool { <-release; return good(r, c) })
		f = start(b)
		for i, path := range []string{"/once/", "/bulk/", "/bulk/"} {
			f.dial().send("POST", path, fmt.Sprint("both", i), nil)
			Eventually(b.count).Should(Equal(i + 1))
		}
		refused := f.dial()
		refused.send("GET", "/bulk/", "refused", nil)
		Expect(refused.receive().StatusCode).To(Equal(503))
	})

	// Guards against callers that come back too late to meet the objective after servers have refused their request.
	It("says when to come back so that the objective can still be met", func() {
		full := func(r *received, c net.Conn) bool { return write(c, r, 503, "", "Not-Run: 1") }
		a := start(startBackend(full), startBackend(full)).ask("POST", "/once/", "order")
		Expect(a.StatusCode).To(Equal(503))
		wait, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(wait).To(And(BeNumerically(">", 0), BeNumerically("<=", objective.Seconds()/5)))
	})

	// Guards against refusals while servers are free: those that lose answers at times looked worse than one that is far too
	// slow, and the request was refused because of that one.
	It("takes a server that fails at times before it refuses a request because of a slow one", func() {
		failing, slow := startBackend(good), startBackend(good)
		f := start(failing, slow)
		servers := f.state.View().Servers
		for range 2 {
			f.balancer.LearnOutcome(balance.KeyOf(servers["s0"]), balance.Failed, time.Now())
		}
		f.balancer.Learn(balance.KeyOf(servers["s1"]), balance.Figure{Slowness: 5}, time.Now())
		Expect(f.ask("POST", "/once/", "order").StatusCode).To(Equal(503), "an order that fails cannot be sent again")
		Expect(failing.count()).To(BeZero())
		Expect(f.ask("GET", "/safe/", "view").StatusCode).To(Equal(200))
		Expect(failing.count()).To(Equal(1))
	})

	// Guards against callers that try again after an outage and, late as they are, make those late that come for the first time.
	It("refuses a request that is late already before one that can still meet its objective", func() {
		release := make(chan struct{})
		defer close(release)
		b := startBackend(func(r *received, c net.Conn) bool { <-release; return good(r, c) })
		f := start(b)
		for i := range 3 {
			f.dial().send("POST", "/once/", fmt.Sprint("order", i), nil)
			Eventually(b.count).Should(Equal(i + 1))
		}
		late := f.dial()
		late.sendWaiting(callerWait/2, "POST", "/once/", "late", nil)
		a := late.receive()
		Expect(a.StatusCode).To(Equal(503))
		Expect(strconv.ParseFloat(a.Header.Get("Retry-After"), 64)).To(BeNumerically(">", 0.1))
		f.dial().send("POST", "/once/", "fresh", nil)
		Eventually(b.count).Should(Equal(4))
	})

	// Guards against a process that ends while an answer is on its way over a narrow link: the request no longer counted as in
	// flight once its answer had been handed to the HTTP library.
	It("counts a request as in flight until its answer is written", func() {
		large := strings.Repeat("x", 900<<10)
		b := startBackend(func(r *received, c net.Conn) bool { return write(c, r, 200, large, "Proof: p") })
		f := start(b)
		c := f.dial()
		Expect(c.Conn.(*net.TCPConn).SetReadBuffer(64 << 10)).To(Succeed())
		c.send("GET", "/safe/", "download", nil)
		Eventually(b.count).Should(Equal(1))
		time.Sleep(100 * time.Millisecond)
		Expect(f.InFlight()).To(BeEquivalentTo(1))
		Expect(len(c.receive().body)).To(Equal(len(large)))
		Eventually(f.InFlight).Should(BeZero())
	})

	It("streams large bodies in both directions byte for byte", func() {
		large := strings.Repeat("0123456789abcdef", 3<<16)
		b := startBackend(func(r *received, c net.Conn) bool { return write(c, r, 200, large, "Proof: p") })
		f := start(b)
		c := f.dial()
		c.send("POST", "/once/", "upload", []byte(large))
		a := c.receive()
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.body == large).To(BeTrue())
		Expect(bytes.Equal(b.last().body, []byte(large))).To(BeTrue())
		Eventually(f.InFlight).Should(BeZero())
	})

	// Guards against a large answer that is cut on the way and looks whole to the caller.
	It("breaks the connection when a streamed answer is cut", func() {
		b := startBackend(func(r *received, c net.Conn) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\nId: view\r\nProof: p\r\n\r\n%s", strings.Repeat("x", 2_000_000))
			return false
		})
		c := start(b).dial()
		c.send("GET", "/safe/", "view", nil)
		a := c.receive()
		Expect(a.err).To(HaveOccurred(), "%d bytes arrived", len(a.body))
	})
})
