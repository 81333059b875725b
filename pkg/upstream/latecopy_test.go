package upstream_test

import (
	"context"
	"fmt"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

// classifyByFor takes a response with the header For for one to another request.
func classifyByFor(h *fasthttp.ResponseHeader) upstream.Verdict {
	if len(h.Peek("For")) > 0 {
		return upstream.Foreign
	}
	return upstream.Accepted
}

var _ = Describe("Transport with a server that sends late copies of responses", func() {
	var (
		transport *upstream.Transport
		resp      *fasthttp.Response
		ctx       = context.Background()
	)
	BeforeEach(func() { transport, resp = upstream.NewTransport(upstream.Options{}), &fasthttp.Response{} })

	// Guards against a late response to an earlier request that is read as the response to the next one.
	It("discards responses that the attempt does not expect, and does not reuse the connection", func() {
		s := serve(func(n int, _ string, c net.Conn) bool {
			if n == 1 {
				_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nFor: other\r\n\r\nold")
			}
			return writeResponse(c, "own")
		})
		a := upstream.Attempt{Address: s.address, Idempotent: true, Classify: classifyByFor}
		Expect(transport.RoundTrip(ctx, a, request("GET", "/"), resp)).To(Succeed())
		Expect(string(resp.Body())).To(Equal("own"))
		Expect(transport.RoundTrip(ctx, a, request("GET", "/"), resp)).To(Succeed())
		Expect(s.connections.Load()).To(BeEquivalentTo(2))
	})

	// Guards against the response to a request that is lost because the copy of a response which states a length and has
	// no body is skipped together with the bytes behind it.
	It("skips the copy of a response without a body", func() {
		s := serve(func(_ int, _ string, c net.Conn) bool {
			_, _ = fmt.Fprint(c, "HTTP/1.1 304 X\r\nContent-Length: 30\r\nFor: other\r\n\r\n")
			return writeResponse(c, "own")
		})
		a := upstream.Attempt{Address: s.address, Idempotent: true, Deadline: time.Now().Add(time.Second),
			Classify: classifyByFor}
		Expect(transport.RoundTrip(ctx, a, request("GET", "/"), resp)).To(Succeed())
		Expect(string(resp.Body())).To(Equal("own"))
	})

	// Guards against the copy of a refusal that is read as the response to the same request, and against a connection that keeps
	// the ids of all requests that it has ever refused.
	It("sends a request on no connection that has refused it, and replaces a connection after many refusals", func() {
		s := serve(func(_ int, _ string, c net.Conn) bool { return writeResponse(c, "refused") })
		send := func(id string) {
			Expect(transport.RoundTrip(ctx, upstream.Attempt{Address: s.address, RequestID: id,
				Classify: func(*fasthttp.ResponseHeader) upstream.Verdict { return upstream.Refused },
			}, request("POST", "/"), resp)).To(Succeed())
		}
		send("a")
		send("b")
		Expect(s.connections.Load()).To(BeEquivalentTo(1))
		send("a")
		Expect(s.connections.Load()).To(BeEquivalentTo(2))
		for i := range 200 {
			send(fmt.Sprint("other-", i))
		}
		Expect(s.connections.Load()).To(BeNumerically(">", 2))
	})

	// Guards against the copy of a refusal that is read as the response to the next request, where responses do not name requests.
	It("does not reuse a connection after a refusal of a request without an id", func() {
		s := serve(func(_ int, _ string, c net.Conn) bool { return writeResponse(c, "refused") })
		for range 2 {
			Expect(transport.RoundTrip(ctx, upstream.Attempt{Address: s.address,
				Classify: func(*fasthttp.ResponseHeader) upstream.Verdict { return upstream.Refused },
			}, request("POST", "/"), resp)).To(Succeed())
		}
		Expect(s.connections.Load()).To(BeEquivalentTo(2))
	})
})
