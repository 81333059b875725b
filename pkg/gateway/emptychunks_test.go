package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// startEarlyRefuser starts a server that refuses its first request before it reads the body of that request, and then reads on. It
// runs each further request.
func startEarlyRefuser() *backend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	b := &backend{address: l.Addr().String()}
	serve := func(c net.Conn) {
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
			if first {
				writeResponse(c, r, 503, "", "Not-Run: 1")
			}
			if r.body, err = io.ReadAll(req.Body); err != nil {
				return
			}
			if !first {
				respondCorrectly(r, c)
			}
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return b
}

var _ = Describe("a request without a body that is sent in chunks", func() {
	send := func(f *fixture, method string) *http.Response {
		c := f.dial()
		_, err := fmt.Fprintf(c, "%s /once/ HTTP/1.1\r\nHost: h\r\nId: view\r\nWait: 300\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", method)
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		Expect(err).NotTo(HaveOccurred())
		return resp
	}

	// Guards against a request whose head announces chunks of which none is sent: its server waits for them until the deadline.
	DescribeTable("is sent to its end", func(method string) {
		f := startGateway(startBackend(respondCorrectly))
		Expect(send(f, method).StatusCode).To(Equal(200))
	}, Entry(nil, "GET"), Entry(nil, "HEAD"), Entry(nil, "POST"))

	// Guards against the next request on a connection that the server reads as the body of the one before.
	It("leaves nothing due on its connection if its server refuses it early", func() {
		b := startEarlyRefuser()
		f := startGateway(b)
		Expect(send(f, "GET").StatusCode).To(Equal(503))
		Expect(f.roundTrip("POST", "/once/", "order").StatusCode).To(Equal(200))
		Expect(b.count()).To(Equal(2))
		Expect(b.last().Header.Get("Id")).To(Equal("order"))
	})
})
