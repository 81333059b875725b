package gateway_test

import (
	"fmt"
	"io"
	"math"
	"net"
	"runtime"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Gateway with a server that sends without end", func() {
	const (
		dripInterval   = 20 * time.Millisecond
		answeredHead   = "HTTP/1.1 200 OK\r\nId: view\r\nProof: p\r\n"
		unansweredHead = "HTTP/1.1 200 OK\r\n"
	)
	answeredHeadOf := func(id string) string { return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nProof: p\r\n" }
	// drip sends a prefix, and then one piece after the other until the connection is closed.
	drip := func(prefix, piece string, interval time.Duration) func(*receivedRequest, net.Conn) bool {
		bytes := []byte(piece) // shared, so that the server allocates nothing
		return func(_ *receivedRequest, c net.Conn) bool {
			for _, err := io.WriteString(c, prefix); err == nil; _, err = c.Write(bytes) {
				time.Sleep(interval)
			}
			return false
		}
	}
	flood := strings.Repeat("x", 32<<10)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(flood), flood)

	// Guards against a caller that waits for as long as a server sends something: each piece used to extend the time to read the
	// body, whatever the timeout of the route.
	DescribeTable("answers at the route's timeout at the latest, and closes the connection", func(prefix, piece string) {
		for _, path := range []string{"/safe/", "/once/"} {
			closed := make(chan struct{}, 8)
			b := startBackend(func(r *receivedRequest, c net.Conn) bool {
				defer func() { closed <- struct{}{} }()
				return drip(prefix, piece, dripInterval)(r, c)
			})
			f := startGateway(b)
			startedAt := time.Now()
			Expect(f.roundTrip("GET", path, "view").StatusCode).To(BeElementOf(502, 504), path)
			Expect(time.Since(startedAt)).To(BeNumerically("<", routeTimeout+300*time.Millisecond), path)
			Eventually(closed, "2s").Should(Receive())
		}
	},
		Entry("in the status line", "HTTP/1.1 200 ", "O"),
		Entry("in the head", unansweredHead, "X-More: y\r\n"),
		Entry("in a header line", unansweredHead+"X-More: ", "y"),
		Entry("in empty lines", "", "\r\n"),
		Entry("as interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"),
		Entry("in a body without a length", answeredHead+"\r\n", "z"),
		Entry("in a chunk", answeredHead+"Transfer-Encoding: chunked\r\n\r\nfffff\r\n", "z"),
		Entry("in small chunks", answeredHead+"Transfer-Encoding: chunked\r\n\r\n", "1\r\nz\r\n"),
		Entry("in the length of a chunk", answeredHead+"Transfer-Encoding: chunked\r\n\r\n", "0"),
		Entry("in the trailers", answeredHead+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: y\r\n"),
		Entry("in a body of a large length", answeredHead+"Content-Length: 900000\r\n\r\n", "z"),
		Entry("in answers to other requests", "", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nz"),
	)

	// Guards against memory that grows with what a server sends in place of an answer.
	DescribeTable("bounds its memory", func(prefix, piece string) {
		b := startBackend(drip(prefix, piece, 0))
		f := startGateway(b)
		// Memory that earlier specs have used and no longer hold is not counted. The second collection frees the buffers that they left in
		// pools.
		runtime.GC()
		runtime.GC()
		done := make(chan struct{})
		go func() {
			defer close(done)
			defer GinkgoRecover()
			Expect(f.roundTrip("GET", "/once/", "view").StatusCode).To(BeElementOf(502, 504))
		}()
		const maxHeap = 64 << 20
		var stats runtime.MemStats
		for finished := false; !finished; {
			select {
			case <-done:
				finished = true
			case <-time.After(dripInterval):
			}
			runtime.ReadMemStats(&stats)
			Expect(stats.HeapAlloc).To(BeNumerically("<", maxHeap))
		}
	},
		Entry("in a header line", unansweredHead+"X-More: ", flood),
		Entry("in the head", unansweredHead, strings.Repeat("X-More: yyyyyyyyyyyyyyyyyyyyyyyy\r\n", 1000)),
		Entry("in an unsigned body without a length", unansweredHead+"Id: view\r\n\r\n", flood),
		Entry("in unsigned chunks", unansweredHead+"Id: view\r\nTransfer-Encoding: chunked\r\n\r\n", chunk),
		Entry("in a line of a chunk", answeredHead+"Transfer-Encoding: chunked\r\n\r\n1;", flood),
		Entry("in the trailers", answeredHead+"Transfer-Encoding: chunked\r\n\r\n0\r\nX-More: ", flood),
		Entry("in an answer to another request", "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", chunk),
	)

	// Guards against memory that grows with the number of responses that servers send and callers do not read.
	DescribeTable("bounds its memory over many requests at once", func(head string, pieces int) {
		const (
			requests = 160
			maxHeap  = 80 << 20
			watched  = 1500 * time.Millisecond
		)
		piece := []byte(chunk) // shared, so that the servers allocate nothing
		var f *fixture
		ended := make(chan struct{})
		// The requests must not outlast the spec: another one counts the connections of the process.
		DeferCleanup(func() {
			close(ended)
			Eventually(f.InFlight, "5s").Should(BeZero())
		})
		f = startGatewayWithSlots(requests, startBackend(func(r *receivedRequest, c net.Conn) bool {
			_, err := io.WriteString(c, answeredHeadOf(r.Header.Get("Id"))+head)
			for i := 0; i < pieces && err == nil; i++ {
				_, err = c.Write(piece)
			}
			<-ended
			return false
		}))
		runtime.GC()
		for i := range requests {
			f.dial().sendWaiting(transferTimeout, "GET", "/patient/", fmt.Sprint(i), nil)
		}
		peak := uint64(0)
		var stats runtime.MemStats
		// The requests take a while to arrive on a busy machine.
		end := time.Now().Add(transferTimeout)
		for arrived := false; time.Now().Before(end); time.Sleep(dripInterval) {
			runtime.ReadMemStats(&stats)
			peak = max(peak, stats.HeapAlloc)
			if !arrived && f.InFlight() == requests {
				arrived, end = true, time.Now().Add(watched)
			}
		}
		Expect(f.InFlight()).To(BeEquivalentTo(requests))
		Expect(peak).To(BeNumerically("<", maxHeap))
	},
		Entry("with complete bodies", fmt.Sprintf("Content-Length: %d\r\n\r\n", 30*len(chunk)), 30),
		Entry("with lengths whose bodies do not arrive", "Content-Length: 1000000\r\n\r\n", 0),
		Entry("with chunks without end", "Transfer-Encoding: chunked\r\n\r\n", math.MaxInt),
	)

	// Guards against buffers that are never freed: once they used up the budget, a response that breaks off would reach the caller.
	It("buffers responses after many were read, or left by their callers", func() {
		const (
			bodySize = 900_000
			calls    = 24
		)
		body := strings.Repeat("b", bodySize)
		first := startBackend(func(r *receivedRequest, c net.Conn) bool {
			if r.Header.Get("Id") != "broken" {
				return writeResponse(c, r, 200, body, "Proof: p")
			}
			_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", answeredHeadOf("broken"), bodySize, body[:bodySize/2])
			return false
		})
		f := startGateway(first, startBackend(respondCorrectly))
		for i := range calls {
			Expect(f.roundTrip("GET", "/bulk/", fmt.Sprint("read-", i)).body).To(HaveLen(bodySize))
			left := f.dial()
			left.send("GET", "/bulk/", fmt.Sprint("left-", i), nil)
			_, err := left.reader.ReadByte()
			Expect(err).NotTo(HaveOccurred())
			Expect(left.Close()).To(Succeed())
		}
		Eventually(f.InFlight).Should(BeZero())
		sent := first.count()
		Expect(f.roundTrip("GET", "/safe/", "broken").body).To(Equal("answer to broken"))
		Expect(first.count()).To(Equal(sent + 1))
	})

	// Guards against an answer that is served although the request goes to a second server in time: a server that drips counts as
	// one that has not answered.
	It("serves an idempotent request from another server", func() {
		first, second := startBackend(drip(answeredHead+"\r\n", "z", dripInterval)), startBackend(respondCorrectly)
		a := startGateway(first, second).roundTrip("GET", "/safe/", "view")
		Expect(a.StatusCode).To(Equal(200))
		Expect(a.body).To(Equal("answer to view"))
	})
})
