package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

var _ = Describe("Transport with a close-delimited response to an upload", func() {
	const (
		pause      = 100 * time.Millisecond
		uploadSize = 32 << 20 // more than the socket buffers hold
	)
	var (
		transport *upstream.Transport
		resp      *fasthttp.Response
	)
	BeforeEach(func() { transport, resp = upstream.NewTransport(upstream.Options{}), &fasthttp.Response{} })
	// upload sends a request whose body is a stream or in memory.
	upload := func(s *uploadServer, streamed bool) error {
		req := request("PUT", "/")
		if streamed {
			req.SetBodyStream(strings.NewReader(strings.Repeat("x", uploadSize)), uploadSize)
		} else {
			req.SetBodyRaw(make([]byte, uploadSize))
		}
		return transport.RoundTrip(context.Background(), upstream.Attempt{Address: s.address}, req, resp)
	}

	// Guards against a part of a response that is taken for the whole: the failed write has consumed the error of the reset, so that the
	// next read reports an orderly end.
	DescribeTable("reports the failed write when the connection is lost", func(head string, reset, streamed bool) {
		s := serveUploads(func(req *http.Request, c net.Conn) bool {
			_, _ = io.WriteString(c, head+"\r\npart")
			time.Sleep(pause)
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			return false
		})
		e := attemptError(upload(s, streamed))
		Expect(e.Stage).To(Equal(upstream.StageWrite))
		Expect(e.Written).To(BeTrue())
		Expect(transport.OpenConnections(s.address)).To(BeZero())
	},
		Entry("by a reset", "HTTP/1.1 200 OK\r\n", true, true),
		Entry("by a reset, HTTP/1.0", "HTTP/1.0 200 OK\r\n", true, true),
		Entry("by a close with unread bytes", "HTTP/1.1 200 OK\r\n", false, true),
		Entry("by a reset, body in memory", "HTTP/1.1 200 OK\r\n", true, false),
		Entry("by a close with unread bytes, body in memory", "HTTP/1.1 200 OK\r\n", false, false),
	)

	// Guards against a part of a response that is taken for the whole after its request was sent to its end.
	It("reports a reset that follows the upload", func() {
		s := serveUploads(func(req *http.Request, c net.Conn) bool {
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
			time.Sleep(pause)
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		})
		Expect(upload(s, true)).To(Succeed())
		_, err := io.ReadAll(resp.BodyStream())
		Expect(err).To(MatchError(syscall.ECONNRESET))
		Expect(resp.CloseBodyStream()).To(Succeed())
		Expect(transport.OpenConnections(s.address)).To(BeZero())
	})

	// Guards against a whole response that is rejected although the upload was sent to its end.
	DescribeTable("returns it when the server goes on reading", func(streamed bool) {
		s := serveUploads(func(req *http.Request, c net.Conn) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
			_ = c.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, req.Body)
			return false
		})
		Expect(upload(s, streamed)).To(Succeed())
		Expect(io.ReadAll(resp.BodyStream())).To(BeEquivalentTo("whole"))
		Expect(resp.CloseBodyStream()).To(Succeed())
		Expect(transport.OpenConnections(s.address)).To(BeZero())
	},
		Entry("a stream", true),
		Entry("a body in memory", false),
	)
})
