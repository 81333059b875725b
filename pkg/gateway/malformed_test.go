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

	"github.com/hornbeamway/hornbeamway/pkg/balance"
)

// respondRaw returns a server that runs each request, sends a head, in which %s stands for the id of the request, and a body, and closes the
// connection.
func respondRaw(head, body string) func(*receivedRequest, net.Conn) bool {
	return func(r *receivedRequest, c net.Conn) bool {
		_, _ = io.WriteString(c, strings.ReplaceAll(head, "%s", r.Header.Get("Id"))+body)
		return false
	}
}

// malformedHeads returns table entries with the heads of responses that are not HTTP/1.1.
func malformedHeads() []TableEntry {
	const signed = "Id: %s\r\nProof: p\r\n"
	return []TableEntry{
		Entry("with status 000", "HTTP/1.1 000 X\r\n"+signed+"Content-Length: 2\r\n\r\n"),
		Entry("with status 000 that states a refusal", "HTTP/1.1 000 X\r\n"+signed+"Not-Run: 1\r\nContent-Length: 2\r\n\r\n"),
		Entry("with status 000 that states that its server leaves", "HTTP/1.1 000 X\r\n"+signed+"Leaving: 1\r\nContent-Length: 2\r\n\r\n"),
		Entry("with a status below 100", "HTTP/1.1 099 X\r\n"+signed+"\r\nHTTP/1.1 200 OK\r\n"+signed+"Content-Length: 2\r\n\r\n"),
		Entry("with a status above 599", "HTTP/1.1 600 X\r\n"+signed+"Content-Length: 2\r\n\r\n"),
		Entry("with another version", "HTTP/2.0 200 OK\r\n"+signed+"Content-Length: 2\r\n\r\n"),
		Entry("with a control byte in the reason", "HTTP/1.1 200 O\x00K\r\n"+signed+"Content-Length: 2\r\n\r\n"),
		Entry("with a blank in a name", "HTTP/1.1 200 OK\r\n"+signed+"X A: 1\r\nContent-Length: 2\r\n\r\n"),
		Entry("with a blank in the name of the length", "HTTP/1.1 200 OK\r\n"+signed+"Content Length: 2\r\n\r\n"),
		Entry("with a blank in the name of the encoding", "HTTP/1.1 200 OK\r\n"+signed+"Transfer Encoding: chunked\r\n\r\n"),
		Entry("with a blank before the colon", "HTTP/1.1 200 OK\r\n"+signed+"X-A : 1\r\nContent-Length: 2\r\n\r\n"),
		Entry("with a blank before the name of the length", "HTTP/1.1 200 OK\r\n"+signed+"X-A: 1\r\n Content-Length: 2\r\n\r\n"),
		Entry("with a control byte in a name", "HTTP/1.1 200 OK\r\n"+signed+"X\x01A: 1\r\nContent-Length: 2\r\n\r\n"),
		Entry("with a length and an encoding", "HTTP/1.1 200 OK\r\n"+signed+"Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
		Entry("with an encoding of an earlier version", "HTTP/1.0 200 OK\r\n"+signed+"Transfer-Encoding: chunked\r\n\r\n"),
		Entry("with a refusal and a blank in a name", "HTTP/1.1 503 X\r\n"+signed+"Not-Run: 1\r\nX A: 1\r\nContent-Length: 2\r\n\r\n"),
	}
}

var _ = Describe("Gateway with a server whose response has a malformed head", func() {
	const body = "no"
	// expectFailed checks that a response is the gateway's own and states that the outcome is unknown.
	expectFailed := func(a response) {
		GinkgoHelper()
		Expect(a.StatusCode).To(Equal(502))
		Expect(a.Header.Get("Proof")).To(BeEmpty())
		Expect(a.body).To(ContainSubstring(`"outcome":"unknown"`))
	}

	// Guards against a malformed response that reaches the caller, and against an order that runs twice, or is reported as not run,
	// because a malformed response states that it was refused.
	DescribeTable("reports an unknown outcome and believes nothing of it", func(head string) {
		for _, path := range []string{"/once/", "/bulk/", "/patient/"} {
			first, second := startBackend(respondRaw(head, body)), startBackend(respondCorrectly)
			f := startGateway(first, second)
			expectFailed(f.roundTrip("GET", path, "order"))
			Expect(first.count()).To(Equal(1), path)
			Expect(second.count()).To(BeZero(), path)
			server := f.state.View().ByService["s"][0]
			Expect(f.balancer.Availability(server, time.Now())).To(Equal(balance.Available), path)
		}
	}, malformedHeads())

	// Guards against a malformed response that reaches the caller in place of that of another server.
	DescribeTable("sends an idempotent request to another server", func(head string) {
		first, second := startBackend(respondRaw(head, body)), startBackend(respondCorrectly)
		a := startGateway(first, second).roundTrip("GET", "/safe/", "view")
		Expect(a.StatusCode).To(Equal(200))
		Expect(a.body).To(Equal("answer to view"))
	}, malformedHeads())

	// Guards against a malformed response to a hedged attempt that wins over the response to the first one.
	DescribeTable("relays the response to the first attempt if that to the hedged one is malformed", func(head string) {
		hedged := make(chan struct{})
		first := startBackend(func(r *receivedRequest, c net.Conn) bool {
			<-hedged
			time.Sleep(50 * time.Millisecond)
			return respondCorrectly(r, c)
		})
		second := startBackend(func(r *receivedRequest, c net.Conn) bool {
			defer close(hedged)
			return respondRaw(head, body)(r, c)
		})
		a := startGateway(first, second).roundTrip("GET", "/safe/", "view")
		Expect(a.StatusCode).To(Equal(200))
		Expect(a.body).To(Equal("answer to view"))
		Expect(second.count()).To(Equal(1))
	}, malformedHeads())

	// Guards against a malformed response that reaches the caller of an upload, whose head is read while the body is being sent.
	DescribeTable("reports an unknown outcome of an upload", func(head string) {
		const uploadSize = 4 << 20
		for _, readAll := range []bool{false, true} {
			b := startRawBackend(func(_ *backend, c net.Conn) {
				defer c.Close()
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, strings.ReplaceAll(head, "%s", req.Header.Get("Id"))+body)
				if readAll {
					_, _ = io.Copy(io.Discard, req.Body)
				}
			})
			c := startGateway(b).dial()
			c.send("POST", "/upload/", "upload", make([]byte, uploadSize))
			expectFailed(c.receive())
		}
	}, malformedHeads())

	// Guards against a malformed response with a body that is relayed as a stream.
	DescribeTable("reports an unknown outcome of a large response", func(head string) {
		const bodySize = 2 << 20
		head = strings.ReplaceAll(head, "Content-Length: 2\r\n", fmt.Sprintf("Content-Length: %d\r\n", bodySize))
		f := startGateway(startBackend(respondRaw(head, strings.Repeat("x", bodySize))))
		expectFailed(f.roundTrip("GET", "/patient/", "download"))
	}, malformedHeads())
})

var _ = Describe("Gateway with a server of HTTP/1.0", func() {
	// Guards against a response with the server's version and the gateway's chunks, which HTTP/1.0 does not have: callers read the sizes of
	// the chunks as a part of the body.
	DescribeTable("relays its responses as HTTP/1.1", func(bodySize int) {
		body := strings.Repeat("x", bodySize)
		f := startGateway(startBackend(respondRaw("HTTP/1.0 200 OK\r\nId: %s\r\nProof: p\r\n\r\n", body)))
		a := f.roundTrip("GET", "/patient/", "view")
		Expect(a.StatusCode).To(Equal(200))
		Expect(a.Proto).To(Equal("HTTP/1.1"))
		Expect(a.body == body).To(BeTrue(), "%d bytes", len(a.body))
	},
		Entry("from memory", 1000),
		Entry("as a stream", 2<<20),
	)
})
