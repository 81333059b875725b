package gateway_test

import (
	"fmt"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Gateway of a stopping VM", func() {
	// Guards against a stopping VM that accepts a request which may still run at its exit, or that turns away one that ends in time.
	It("refuses only requests whose deadline is later than the limit", func() {
		b := startBackend(respondCorrectly)
		f := startGateway(b)
		f.RefuseDeadlinesAfter(time.Now().Add(routeTimeout / 2))
		Expect(f.roundTrip("POST", "/once/", "late").StatusCode).To(Equal(503))
		Expect(b.count()).To(BeZero())
		c := f.dial()
		c.sendWaiting(routeTimeout/6, "POST", "/once/", "in time", nil)
		Expect(c.receive().StatusCode).To(Equal(200))
	})

	// Guards against a VM that exits while a caller is still sending a request which was refused: its connection would be reset, and
	// the refusal lost.
	It("counts a refused request as in flight until its caller has read the refusal", func() {
		f := startGateway(startBackend(respondCorrectly))
		f.Refuse()
		c := f.dial()
		_, err := fmt.Fprintf(c, "POST /upload/ HTTP/1.1\r\nHost: h\r\nId: upload\r\nContent-Length: 1000000\r\n\r\n%s",
			strings.Repeat("x", 16<<10))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.receive().StatusCode).To(Equal(503))
		Consistently(f.InFlight, "200ms").Should(BeEquivalentTo(1))
		Expect(c.Close()).To(Succeed())
		Eventually(f.InFlight, "2s").Should(BeZero())
	})

	// Guards against an order that was accepted before the limit, and is sent to a second server although it may not finish before
	// the exit: cut off there, its outcome would be unknown, while the first server had not run it.
	DescribeTable("sends to another server after the limit", func(method, path string, status, sent int) {
		var f *fixture
		first := startBackend(func(r *receivedRequest, c net.Conn) bool {
			f.RefuseDeadlinesAfter(time.Now().Add(routeTimeout / 2))
			return writeResponse(c, r, 503, "", "Not-Run: 1")
		})
		second := startBackend(respondCorrectly)
		f = startGateway(first, second)
		Expect(f.roundTrip(method, path, "request").StatusCode).To(Equal(status))
		Expect(second.count()).To(Equal(sent))
	},
		Entry("no order", "POST", "/once/", 503, 0),
		Entry("an idempotent request", "GET", "/safe/", 200, 1),
	)

	// Guards against an order that was received before the limit in part only, and is sent to a server after it.
	It("refuses an order whose body arrives after the limit", func() {
		const size = 100_000
		b := startBackend(respondCorrectly)
		f := startGateway(b)
		c := f.dial()
		_, err := fmt.Fprintf(c, "POST /once/ HTTP/1.1\r\nHost: h\r\nId: order\r\nContent-Length: %d\r\n\r\n%s", size,
			strings.Repeat("x", size/2))
		Expect(err).NotTo(HaveOccurred())
		Eventually(f.InFlight).Should(BeEquivalentTo(1))
		f.RefuseDeadlinesAfter(time.Now().Add(routeTimeout / 2))
		_, err = fmt.Fprint(c, strings.Repeat("x", size/2))
		Expect(err).NotTo(HaveOccurred())
		a := c.receive()
		Expect(a.StatusCode).To(Equal(503))
		Expect(a.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(b.count()).To(BeZero())
	})

	// Guards against a request that waits for a server when the stop comes, and is sent late in it, or waits to its end.
	DescribeTable("refuses a request that waits for a server", func(stop func(*fixture)) {
		release := make(chan struct{})
		b := startBackend(func(r *receivedRequest, c net.Conn) bool { <-release; return respondCorrectly(r, c) })
		f := startGateway(b)
		urgent := make([]*client, 3)
		for i := range urgent {
			urgent[i] = f.dial()
			urgent[i].sendWaiting(transferTimeout, "POST", "/upload/", fmt.Sprint("urgent-", i), nil)
		}
		Eventually(b.count).Should(Equal(len(urgent)))
		waiting := f.dial()
		waiting.send("GET", "/bulk/", "waiting", nil)
		Consistently(b.count, "100ms").Should(Equal(len(urgent)), "it waits while no slot is free")
		Expect(f.InFlight()).To(BeEquivalentTo(len(urgent) + 1))
		stop(f)
		Expect(waiting.SetReadDeadline(time.Now().Add(routeTimeout))).To(Succeed())
		a := waiting.receive()
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(503))
		close(release)
		for _, c := range urgent {
			Expect(c.receive().StatusCode).To(Equal(200))
		}
		Expect(b.count()).To(Equal(len(urgent)))
	},
		Entry("when it may not finish before the exit", func(f *fixture) { f.RefuseDeadlinesAfter(time.Now()) }),
		Entry("when no further requests are served", func(f *fixture) { f.Refuse() }),
	)

	// Guards against a large response that is cut off by a stop although its request was accepted.
	It("completes a response that is streamed when the stop comes", func() {
		const size = 2 << 20 // is not buffered
		half := strings.Repeat("x", size/2)
		release := make(chan struct{})
		b := startBackend(func(r *receivedRequest, c net.Conn) bool {
			_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: large\r\nProof: p\r\nContent-Length: %d\r\n\r\n%s", size, half)
			<-release
			if err == nil {
				_, err = fmt.Fprint(c, half)
			}
			return err == nil
		})
		f := startGateway(b)
		c := f.dial()
		c.sendWaiting(transferTimeout, "GET", "/patient/", "large", nil)
		_, err := c.reader.Peek(1)
		Expect(err).NotTo(HaveOccurred())
		f.Drain()
		f.RefuseDeadlinesAfter(time.Now())
		f.Refuse()
		Consistently(f.InFlight, "200ms").Should(BeEquivalentTo(1))
		close(release)
		a := c.receive()
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.body).To(HaveLen(size))
		Eventually(f.InFlight).Should(BeZero())
	})

	// Guards against a planned stop that interrupts requests.
	It("serves requests while it drains, and closes each connection after its response", func() {
		release := make(chan struct{})
		b := startBackend(func(r *receivedRequest, c net.Conn) bool { <-release; return respondCorrectly(r, c) })
		f := startGateway(b)
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

	// Guards against a process that ends while a response is being sent over a slow link, because the request no longer counts
	// as in flight once fasthttp has its response.
	It("counts a request as in flight until its response is written", func() {
		large := strings.Repeat("x", 900<<10)
		b := startBackend(func(r *receivedRequest, c net.Conn) bool { return writeResponse(c, r, 200, large, "Proof: p") })
		f := startGateway(b)
		c := f.dial()
		Expect(c.Conn.(*net.TCPConn).SetReadBuffer(64 << 10)).To(Succeed())
		c.send("GET", "/safe/", "download", nil)
		Eventually(b.count).Should(Equal(1))
		time.Sleep(100 * time.Millisecond)
		Expect(f.InFlight()).To(BeEquivalentTo(1))
		Expect(len(c.receive().body)).To(Equal(len(large)))
		Eventually(f.InFlight).Should(BeZero())
	})
})
