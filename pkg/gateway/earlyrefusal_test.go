package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// startEarlyRefuser starts a server that writes the given number of refusals of its first request before it reads the body of that
// request, and then reads on. It runs each further request.
func startEarlyRefuser(refusals int) *backend {
	return startRawBackend(func(b *backend, c net.Conn) {
		defer c.Close()
		for reader := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			r := &receivedRequest{Request: req}
			b.mu.Lock()
			b.seen = append(b.seen, r)
			first := len(b.seen) == 1
			b.mu.Unlock()
			for i := 0; first && i < refusals; i++ {
				writeResponse(c, r, 503, "", "Not-Run: 1")
			}
			if r.body, err = io.ReadAll(req.Body); err != nil {
				return
			}
			if !first {
				respondCorrectly(r, c)
			}
		}
	})
}

var _ = Describe("Gateway with a server that answers before it has read the request", func() {
	send := func(f *fixture, method, path, framing string) *http.Response {
		c := f.dial()
		_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\nId: view\r\nWait: 2000\r\n%s", method, path, framing)
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		Expect(err).NotTo(HaveOccurred())
		return resp
	}
	const emptyChunks = "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	const largeRequest = 2 << 20
	large := func(format string) string {
		return fmt.Sprintf(format, largeRequest, strings.Repeat("x", largeRequest))
	}
	const length = "Content-Length: %d\r\n\r\n%s"
	const chunks = "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"

	// Guards against a request whose head announces chunks of which none is sent: its server waits for them until the deadline.
	DescribeTable("sends a request without a body to its end", func(method string) {
		f := startGateway(startBackend(respondCorrectly))
		Expect(send(f, method, "/once/", emptyChunks).StatusCode).To(Equal(200))
	}, Entry(nil, "GET"), Entry(nil, "HEAD"), Entry(nil, "POST"))

	// Guards against the next request on a connection that the server reads as the body of the one before, and against the copy of a
	// refusal that is taken for its response.
	DescribeTable("sends the next request to where the server expects one", func(refusals int, method string, framing func() string) {
		b := startEarlyRefuser(refusals)
		f := startGateway(b)
		Expect(send(f, method, "/upload/", framing()).StatusCode).To(Equal(503))
		Expect(f.roundTrip("POST", "/once/", "order").StatusCode).To(Equal(200))
		Expect(b.count()).To(Equal(2))
		Expect(b.last().Header.Get("Id")).To(Equal("order"))
	},
		Entry("after no chunks", 1, "GET", func() string { return emptyChunks }),
		Entry("after a large body", 1, "POST", func() string { return large(length) }),
		Entry("after a large body and two refusals", 2, "POST", func() string { return large(length) }),
		Entry("after large chunks", 1, "POST", func() string { return large(chunks) }),
		Entry("after large chunks and two refusals", 2, "POST", func() string { return large(chunks) }),
	)

	// Guards against a part of a response that reaches the caller as a whole one: its body ends with the connection, which is lost while
	// the request is being sent.
	DescribeTable("does not relay a response without a length whose connection is lost", func(path string, partSize int) {
		reset := make(chan struct{})
		b := startRawBackend(func(_ *backend, c net.Conn) {
			defer close(reset)
			defer c.Close()
			req, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			// The gateway does not read the body yet, which may be larger than the socket buffers.
			_ = c.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nProof: p\r\n\r\n%s", req.Header.Get("Id"), strings.Repeat("p", partSize))
			time.Sleep(100 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		})
		c := startGateway(b).dial()
		body := strings.Repeat("x", largeRequest)
		_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nId: view\r\nWait: 2000\r\n"+length, path, len(body), body[:len(body)/2])
		Expect(err).NotTo(HaveOccurred())
		Eventually(reset).Should(BeClosed())
		// The gateway may close the connection before it has read the rest.
		_, _ = io.WriteString(c, body[len(body)/2:])
		a := c.receive()
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(502))
		Expect(a.body).To(ContainSubstring(`"outcome":"unknown"`))
	},
		Entry("of an order", "/upload/", 4),
		Entry("of an idempotent request", "/patient/", 4),
		Entry("that is larger than what is buffered", "/upload/", 2<<20),
	)
})
