package gateway_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Sizes of response bodies in bytes: streamBody is read as a stream and then buffered, largeBody and hedgedBody
// are relayed as a stream.
const (
	streamBody = 100 << 10
	largeBody  = 1<<20 + 64<<10
	hedgedBody = 3 << 20
)

// writePart writes the head of a response with a body of length bytes, and part bytes of that body.
func writePart(r *receivedRequest, c net.Conn, status, length, part int, headers ...string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Length: %d\r\nId: %s\r\n%s\r\n", status, length, r.Header.Get("Id"),
		strings.Join(append(headers, ""), "\r\n"))
	_, _ = io.WriteString(c, strings.Repeat("x", part))
}

// Ways in which a server's response to an attempt may end.
var (
	breakOff = func(r *receivedRequest, c net.Conn) bool {
		writePart(r, c, 200, streamBody, streamBody/2, "Proof: p")
		return false
	}
	breakOffChunk = func(r *receivedRequest, c net.Conn) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\nId: %s\r\nProof: p\r\n\r\n8\r\nhalf", r.Header.Get("Id"))
		return false
	}
	breakOffLarge = func(r *receivedRequest, c net.Conn) bool {
		writePart(r, c, 200, largeBody, largeBody/2, "Proof: p")
		return false
	}
	fallSilent = func(r *receivedRequest, c net.Conn) bool {
		writePart(r, c, 200, streamBody, streamBody/2, "Proof: p")
		<-r.connectionClosed
		return false
	}
	respondUnsigned = func(r *receivedRequest, c net.Conn) bool {
		writePart(r, c, 200, largeBody, largeBody)
		return true
	}
	failLarge = func(r *receivedRequest, c net.Conn) bool {
		writePart(r, c, 500, largeBody, largeBody, "Proof: p")
		return true
	}
	respondLarge = func(r *receivedRequest, c net.Conn) bool {
		writePart(r, c, 200, largeBody, largeBody, "Proof: p")
		return true
	}
	// respondLargeTogether answers both attempts of a hedged request at the same time. The second attempt starts after half of the
	// route's timeout.
	respondLargeTogether = func(r *receivedRequest, c net.Conn) bool {
		at, _ := responseTimes.LoadOrStore(r.Header.Get("Id"), time.Now().Add(routeTimeout*3/4))
		time.Sleep(time.Until(at.(time.Time)))
		writePart(r, c, 200, hedgedBody, hedgedBody, "Proof: p")
		return true
	}
	// responseTimes holds the time.Time at which a request is answered, by its id.
	responseTimes sync.Map
)

var _ = Describe("connections to a server", func() {
	// connectionsLeft closes the idle connections and returns the number of those that are still counted.
	connectionsLeft := func(f *fixture, backends ...*backend) func() int {
		return func() (left int) {
			for _, b := range backends {
				f.Servers.CloseIdle(b.address)
				left += f.Servers.OpenConnections(b.address)
			}
			return left
		}
	}

	// Guards against an attempt that ends without giving its connection back to the limit of its server: after as many such attempts
	// as the limit allows connections, the VM could send nothing to a sound server any more.
	DescribeTable("are given back", func(respond func(*receivedRequest, net.Conn) bool, path string, leaveAfter time.Duration) {
		first, second := startBackend(respond), startBackend(respond)
		f := startGateway(first, second)
		var callers sync.WaitGroup
		for i := range 8 {
			callers.Go(func() {
				defer GinkgoRecover()
				c := f.dial()
				c.send("GET", path, fmt.Sprint("request-", i), nil)
				if leaveAfter > 0 {
					time.Sleep(leaveAfter)
				} else {
					_, _ = io.Copy(io.Discard, c)
				}
				_ = c.Close()
			})
		}
		callers.Wait()
		Eventually(connectionsLeft(f, first, second), "3s", "50ms").Should(BeZero())
	},
		Entry("when a body breaks off", breakOff, "/safe/", callerWait/4),
		Entry("when a chunked body breaks off", breakOffChunk, "/safe/", callerWait/4),
		Entry("when a large body breaks off", breakOffLarge, "/safe/", callerWait/4),
		Entry("when a server falls silent within a body", fallSilent, "/safe/", callerWait),
		Entry("when a caller leaves while a body is buffered", fallSilent, "/safe/", 50*time.Millisecond),
		Entry("when a caller leaves while a body is relayed", respondLarge, "/bulk/", 20*time.Millisecond),
		Entry("when a large response has no signature", respondUnsigned, "/safe/", callerWait/4),
		Entry("when a large response is a failure", failLarge, "/safe/", callerWait/4),
		Entry("when both attempts of a hedged request return a large response", respondLargeTogether, "/safe/", callerWait/2),
	)

	// Guards against a large response without an end: a server that fell silent within it held the caller, and its own connection,
	// until the idle timeout of the transport, long after the route's timeout.
	DescribeTable("end a large response at the route's timeout if the server falls silent", func(head, part string) {
		b := startBackend(func(r *receivedRequest, c net.Conn) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nProof: p\r\n%s\r\n\r\n%s", r.Header.Get("Id"), head, part)
			<-r.connectionClosed
			return false
		})
		f := startGateway(b)
		c := f.dial()
		started := time.Now()
		c.send("GET", "/safe/", "view", nil)
		Expect(c.receive().err).To(HaveOccurred())
		Expect(time.Since(started)).To(BeNumerically("<", routeTimeout+500*time.Millisecond))
		Eventually(connectionsLeft(f, b), "1s", "50ms").Should(BeZero())
	},
		Entry("of known length", fmt.Sprintf("Content-Length: %d", 2*largeBody), strings.Repeat("x", largeBody)),
		Entry("in chunks", "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n", 2*largeBody)+strings.Repeat("x", largeBody)),
	)

	// Guards against a large response that ends at the route's timeout only, after the wait of its caller.
	It("end a large response at the end of the caller's wait if the server falls silent", func() {
		const wait = 300 * time.Millisecond
		b := startBackend(fallSilentLarge)
		f := startGateway(b)
		c := f.dial()
		started := time.Now()
		c.sendWaiting(wait, "GET", "/bulk/", "view", nil)
		Expect(c.receive().err).To(HaveOccurred())
		Expect(time.Since(started)).To(And(BeNumerically(">=", wait), BeNumerically("<", wait+500*time.Millisecond)))
		Eventually(connectionsLeft(f, b), "1s", "50ms").Should(BeZero())
	})

	// Guards against a caller who reads a large response so slowly, or not at all, that it holds the server's connection, and the part
	// that was read, for longer than the route's timeout.
	DescribeTable("are given back when a caller reads a large response too slowly", func(chunked bool, pause time.Duration) {
		const length = 16 * largeBody
		b := startBackend(func(r *receivedRequest, c net.Conn) bool {
			if !chunked {
				writePart(r, c, 200, length, length, "Proof: p")
				return false
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
				r.Header.Get("Id"), length, strings.Repeat("x", length))
			return false
		})
		f := startGateway(b)
		c := f.dial()
		Expect(c.Conn.(*net.TCPConn).SetReadBuffer(sendBuffer)).To(Succeed())
		c.send("GET", "/safe/", "view", nil)
		started, slow := time.Now(), make([]byte, sendBuffer)
		for time.Since(started) < routeTimeout+500*time.Millisecond {
			time.Sleep(pause)
			if _, err := c.Read(slow); err != nil {
				break
			}
		}
		Eventually(connectionsLeft(f, b), "1s", "50ms").Should(BeZero())
		Expect(f.InFlight()).To(BeZero())
	},
		Entry("of known length", false, 10*time.Millisecond),
		Entry("in chunks", true, 100*time.Millisecond),
		Entry("of known length, and does not read it", false, 2*routeTimeout),
		Entry("in chunks, and does not read it", true, 2*routeTimeout),
	)
})
