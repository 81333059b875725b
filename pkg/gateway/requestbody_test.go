package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// startSilentBackend starts a server that reads and drops what it receives, and never responds.
func startSilentBackend() *backend {
	return startRawBackend(func(_ *backend, c net.Conn) { _, _ = io.Copy(io.Discard, c) })
}

// liveHeap returns the bytes of the heap that are in use, without the pools of package sync, which the second collection clears.
func liveHeap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

var _ = Describe("Gateway with callers that send bodies", func() {
	const (
		// bodySize is a little less than what the gateway buffers of one body.
		bodySize = 250_000
		margin   = 500 * time.Millisecond
	)
	whole := strings.Repeat("x", bodySize)
	half := whole[:bodySize/2]
	lengthHead := func(size int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", size) }
	chunkedBody := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", bodySize, whole)
	// begin sends a request head without its last lines, and then the rest, on a new connection.
	begin := func(f *fixture, wait time.Duration, method, path, rest string) *client {
		c := f.dial()
		_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\nId: body\r\nWait: %d\r\n%s", method, path, wait.Milliseconds(), rest)
		Expect(err).NotTo(HaveOccurred())
		return c
	}

	// Guards against memory that grows with the number of callers that send bodies at once, or slowly.
	DescribeTable("bounds its memory over many bodies at once", func(rest string) {
		const (
			requests  = 400
			maxGrowth = 64 << 20
			watched   = 1500 * time.Millisecond
		)
		var f *fixture
		DeferCleanup(func() { Eventually(f.InFlight, "5s").Should(BeZero()) }) // The bodies do not count for the next spec.
		before := liveHeap()
		f = startGatewayWithSlots(requests, startSilentBackend())
		for range requests {
			begin(f, transferTimeout, "POST", "/patient/", rest)
		}
		Eventually(f.InFlight).Should(BeEquivalentTo(requests))
		for started := time.Now(); time.Since(started) < watched; time.Sleep(watched / 10) {
			Expect(liveHeap()).To(BeNumerically("<", before+maxGrowth))
		}
		Expect(f.InFlight()).To(BeEquivalentTo(requests))
	},
		Entry("that are complete, while a server runs them", lengthHead(bodySize)+whole),
		Entry("whose rest does not arrive", lengthHead(bodySize)+whole[:16<<10]),
		Entry("in chunks without an end", chunkedBody),
	)

	// Guards against a caller that holds the memory of its body, or a slot of a server, after the deadline of its request: only the
	// pauses within a body were limited.
	DescribeTable("ends a body that does not arrive by the deadline", func(rest string, status int) {
		f := startGateway(startSilentBackend())
		started := time.Now()
		c := begin(f, callerWait, "POST", "/once/", rest)
		a := c.receive()
		Expect(a.err).NotTo(HaveOccurred())
		Expect(time.Since(started)).To(BeNumerically("<", routeTimeout+margin))
		Expect(a.StatusCode).To(Equal(status))
		Expect(a.Close).To(BeTrue())
	},
		Entry("as not run if nothing was sent to a server", lengthHead(bodySize)+half, http.StatusRequestTimeout),
		Entry("as not run if nothing was sent to a server, in chunks", chunkedBody, http.StatusRequestTimeout),
		Entry("with an unknown outcome if a server received a part", lengthHead(8*bodySize)+whole+whole, http.StatusBadGateway),
	)

	// Guards against a budget that refuses callers although their bodies need no memory.
	It("relays a body while it arrives when slow callers have used up the memory", func() {
		const slowCallers = 100
		served := startBackend(respondCorrectly)
		f := startGatewayWithSlots(slowCallers, served)
		for range slowCallers {
			begin(f, transferTimeout, "POST", "/patient/", chunkedBody)
		}
		Eventually(f.InFlight).Should(BeEquivalentTo(slowCallers))
		c := begin(f, transferTimeout, "POST", "/patient/", lengthHead(bodySize)+whole)
		Expect(c.receive().StatusCode).To(Equal(http.StatusOK))
		Expect(served.last().body).To(HaveLen(bodySize))
	})

	// Guards against memory of bodies that is not given back at every end of a request: once it used up the budget, no request with a
	// body could be sent to a second server.
	It("buffers bodies after many were served, refused, cut off or left by their callers", func() {
		const (
			calls      = 70 // of each kind; their bodies are larger than the budget
			brokenBody = "broken"
		)
		var left, broken atomic.Int64
		respond := func(r *receivedRequest, c net.Conn) bool {
			switch r.Header.Get("Kind") {
			case "refused":
				return writeResponse(c, r, http.StatusServiceUnavailable, "", "Not-Run: 1")
			case "left":
				left.Add(1)
				<-r.connectionClosed
				return false
			case brokenBody:
				if broken.Add(1) == 1 {
					return false
				}
			}
			return writeResponse(c, r, http.StatusOK, strconv.Itoa(len(r.body)), "Proof: p")
		}
		f := startGatewayWithSlots(2*calls, startBackend(respond), startBackend(respond))
		kind := func(kind string) string { return "Kind: " + kind + "\r\n" + lengthHead(bodySize) + whole }
		for i := range calls {
			Expect(begin(f, callerWait, "POST", "/patient/", kind("served")).receive().StatusCode).To(Equal(http.StatusOK))
			Expect(begin(f, callerWait, "POST", "/patient/", kind("refused")).receive().StatusCode).
				To(Equal(http.StatusServiceUnavailable))
			Expect(begin(f, callerWait, "POST", "/unknown/", kind("served")).receive().StatusCode).To(Equal(http.StatusNotFound))
			leaver := begin(f, callerWait, "POST", "/bulk/", kind("left"))
			Eventually(left.Load).Should(BeEquivalentTo(i + 1))
			Expect(leaver.Close()).To(Succeed())
			Expect(begin(f, callerWait, "POST", "/patient/", lengthHead(bodySize)+half).Close()).To(Succeed())
		}
		Eventually(f.InFlight).Should(BeZero())
		Expect(begin(f, callerWait, "POST", "/safe/", kind(brokenBody)).receive().body).To(Equal(strconv.Itoa(bodySize)))
		Expect(broken.Load()).To(BeEquivalentTo(2))
	})
})
