package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/balance"
	"github.com/hornbeamway/hornbeamway/pkg/directory"
)

// respondLeaving writes a valid response in which the server states that it is leaving.
func respondLeaving(r *receivedRequest, c net.Conn) bool {
	return writeResponse(c, r, 200, "answer to "+r.Header.Get("Id"), "Proof: p", "Leaving: 1")
}

// holdBeforeWrite is a dialect with which a server asks for no requests when the head of a request is being built.
type holdBeforeWrite struct {
	plainDialect
	f      *fixture
	server *directory.Server
}

func (d holdBeforeWrite) SetAttempt(h *fasthttp.RequestHeader, left time.Duration, serverID string) {
	d.f.balancer.RecordStatement(d.server, balance.Statement{RetryAfter: "5"}, time.Now())
	d.plainDialect.SetAttempt(h, left, serverID)
}

var _ = Describe("Gateway with a server that states that it is leaving", func() {
	const requests = 10

	// Guards against work that is cut off when a server exits, whose record in the store is late or cannot be read.
	DescribeTable("sends it nothing more, whatever its record says", func(path string) {
		first, second := startBackend(respondLeaving), startBackend(respondCorrectly)
		f := startGateway(first, second)
		Expect(f.roundTrip("GET", path, "first").StatusCode).To(Equal(200))
		Expect(first.count()).To(Equal(1))
		for i := range requests {
			Expect(f.roundTrip("GET", path, fmt.Sprint("later-", i)).StatusCode).To(Equal(200))
		}
		Expect(first.count()).To(Equal(1))
		Expect(second.count()).To(Equal(requests))
	},
		Entry("idempotent requests", "/safe/"),
		Entry("requests that may run once", "/once/"),
	)

	// Guards against a statement that is attributed to another server than the one that made it: one in a response to another
	// request, or of the server that has taken over the address.
	DescribeTable("goes on sending to a server that has not stated it", func(respond func(*receivedRequest, net.Conn) bool) {
		first, second := startBackend(respond), startBackend(respondCorrectly)
		f := startGateway(first, second)
		for i := range requests {
			Expect(f.roundTrip("GET", "/safe/", fmt.Sprint("view-", i)).StatusCode).To(Equal(200))
		}
		Expect(first.count()).To(Equal(requests))
	},
		Entry("but sends a copy of a response of another one", func(r *receivedRequest, c net.Conn) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: other\r\nServer-Id: other\r\nLeaving: 1\r\n\r\n")
			return respondCorrectly(r, c)
		}),
	)

	// Guards against a statement that is ignored because it is in a late response, although the response names the server.
	It("applies the statement of a response to another request that names the server", func() {
		first := startBackend(func(r *receivedRequest, c net.Conn) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: other\r\nServer-Id: s0\r\nLeaving: 1\r\n\r\n")
			return respondCorrectly(r, c)
		})
		second := startBackend(respondCorrectly)
		f := startGateway(first, second)
		for i := range requests {
			Expect(f.roundTrip("GET", "/safe/", fmt.Sprint("view-", i)).StatusCode).To(Equal(200))
		}
		Expect(first.count()).To(Equal(1))
	})

	// Guards against a server that is avoided for good because an earlier start of it has left, and against one that comes back
	// because an older record of the same start is read.
	It("sends to a new start of the server only", func() {
		first, second := startBackend(respondLeaving), startBackend(respondCorrectly)
		f := startGateway(first, second)
		Expect(f.roundTrip("GET", "/safe/", "first").StatusCode).To(Equal(200))
		f.applyServer(2, directory.Server{ID: "other", Address: second.address})
		f.applyServer(3, directory.Server{ID: "s0", Address: first.address})
		Expect(f.roundTrip("GET", "/safe/", "second").StatusCode).To(Equal(503))
		Expect(first.count()).To(Equal(1))
		startsAt := time.Now().Add(2500 * time.Millisecond)
		f.applyServer(4, directory.Server{ID: "s0", Address: first.address, Incarnation: startsAt.UnixMilli()})
		Eventually(func() int { return f.roundTrip("GET", "/safe/", "third").StatusCode }).WithTimeout(time.Until(startsAt)).Should(Equal(200))
	})

	// Guards against a statement that is forgotten when the record of the running server arrives after it: the VM knew an earlier
	// start of the server, or a record without a start time, under the same id and address.
	DescribeTable("sends nothing to the server after its record has caught up", func(known int64) {
		bornAt := time.Now().Add(-time.Minute).UnixMilli()
		first, second := startBackend(respondLeaving), startBackend(respondCorrectly)
		f := startGateway(first, second)
		f.applyServer(2, directory.Server{ID: "s0", Address: first.address, Incarnation: known})
		Expect(f.roundTrip("GET", "/safe/", "first").StatusCode).To(Equal(200))
		f.applyServer(3, directory.Server{ID: "s0", Address: first.address, Incarnation: bornAt})
		for i := range requests {
			f.roundTrip("GET", "/safe/", fmt.Sprint("later-", i))
		}
		Expect(first.count()).To(Equal(1))
	},
		Entry("from an earlier start", time.Now().Add(-time.Hour).UnixMilli()),
		Entry("from a record without a start time", int64(0)),
	)

	// Guards against a statement that is forgotten when a record without a start time replaces that of the running server, which
	// has been removed meanwhile.
	It("sends nothing to the server when a record without a start time names it again", func() {
		first, second := startBackend(respondLeaving), startBackend(respondCorrectly)
		f := startGateway(first, second)
		f.applyServer(2, directory.Server{ID: "s0", Address: first.address, Incarnation: time.Now().Add(-time.Minute).UnixMilli()})
		Expect(f.roundTrip("GET", "/safe/", "first").StatusCode).To(Equal(200))
		f.applyServer(3, directory.Server{ID: "other", Address: second.address})
		f.applyServer(4, directory.Server{ID: "s0", Address: first.address})
		f.roundTrip("GET", "/safe/", "later")
		Expect(first.count()).To(Equal(1))
	})

	// Guards against a statement that is forgotten when the response to an earlier request arrives after it: that request was sent when
	// an earlier start of the server was listed, and its response also states that the server is leaving.
	It("sends nothing to the server after the response to a request from before its record caught up", func() {
		release := make(chan struct{})
		first := startBackend(func(r *receivedRequest, c net.Conn) bool {
			if r.Header.Get("Id") == "early" {
				<-release
			}
			return respondLeaving(r, c)
		})
		f := startGateway(first)
		f.applyServer(2, directory.Server{ID: "s0", Address: first.address, Incarnation: time.Now().Add(-time.Hour).UnixMilli(), Revision: 2})
		early := f.dial()
		early.send("GET", "/once/", "early", nil)
		Eventually(first.count).Should(Equal(1))
		startsAt := time.Now().Add(2500 * time.Millisecond)
		f.applyServer(3, directory.Server{ID: "s0", Address: first.address, Incarnation: startsAt.UnixMilli(), Revision: 3})
		Expect(f.roundTrip("GET", "/once/", "second").StatusCode).To(Equal(200))
		close(release)
		Expect(early.receive().StatusCode).To(Equal(200))
		time.Sleep(time.Until(startsAt))
		Expect(f.roundTrip("GET", "/once/", "later").StatusCode).To(Equal(503))
		Expect(first.count()).To(Equal(2))
	})

	// Guards against a server that is chosen for a request before its body has arrived, and states meanwhile that it is leaving.
	DescribeTable("sends a request whose body arrives later to another server", func(size int) {
		const firstPart = 200_000
		first, second := startBackend(respondLeaving), startBackend(respondCorrectly)
		f := startGateway(first, second)
		upload := f.dial()
		_, err := fmt.Fprintf(upload, "POST /upload/ HTTP/1.1\r\nHost: h\r\nId: upload\r\nContent-Length: %d\r\n\r\n%s", size,
			strings.Repeat("x", firstPart))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(100 * time.Millisecond)
		Expect(f.roundTrip("GET", "/safe/", "view").StatusCode).To(Equal(200))
		_, err = io.WriteString(upload, strings.Repeat("x", size-firstPart))
		Expect(err).NotTo(HaveOccurred())
		Expect(upload.receive().StatusCode).To(Equal(200))
		Expect(first.count()).To(Equal(1))
		Expect(second.count()).To(Equal(1))
	},
		Entry("one that is buffered", 250_000),
		Entry("one that is streamed", 400_000),
	)

	// Guards against a statement that is only read from a complete, successful response.
	DescribeTable("applies the statement whatever the response is", func(method, path string, status int, body string, headers ...string) {
		first := startBackend(func(r *receivedRequest, c net.Conn) bool {
			head := fmt.Sprintf("HTTP/1.1 %d X\r\nId: %s\r\nLeaving: 1\r\n", status, r.Header.Get("Id"))
			for _, header := range headers {
				head += header + "\r\n"
			}
			_, _ = io.WriteString(c, head+"\r\n"+body)
			return false
		})
		second := startBackend(respondCorrectly)
		f := startGateway(first, second)
		c := f.dial()
		c.send(method, path, "first", nil)
		// A response that breaks off may end before its head was relayed.
		_, _ = c.reader.ReadString('\n')
		Expect(first.count()).To(Equal(1))
		for i := range requests {
			Expect(f.roundTrip("GET", path, fmt.Sprint("later-", i)).StatusCode).To(Equal(200))
		}
		Expect(first.count()).To(Equal(1))
	},
		Entry("to a HEAD request", "HEAD", "/safe/", 200, "", "Proof: p", "Content-Length: 5"),
		Entry("a large one that breaks off", "GET", "/bulk/", 200, "part", "Proof: p", "Content-Length: 5000000"),
		Entry("in chunks that break off", "GET", "/bulk/", 200, "4\r\npart", "Proof: p", "Transfer-Encoding: chunked"),
		Entry("without a length", "GET", "/safe/", 200, "all", "Proof: p", "Connection: close"),
		Entry("without a body", "GET", "/safe/", 204, "", "Proof: p"),
		Entry("without a proof", "GET", "/once/", 200, "", "Content-Length: 0"),
		Entry("a server error that is relayed", "GET", "/once/", 500, "", "Proof: p", "Content-Length: 0"),
		Entry("a server error that is not relayed", "GET", "/safe/", 500, "", "Proof: p", "Content-Length: 0"),
		Entry("a refusal", "GET", "/once/", 503, "", "Not-Run: 1", "Content-Length: 0"),
		Entry("a refusal without a promise", "GET", "/safe/", 503, "", "Content-Length: 0"),
		Entry("too many requests", "GET", "/once/", 429, "", "Not-Run: 1", "Content-Length: 0"),
	)
})

// earlySlots is the number of slots of a server that refuses early; it is large, so that the gateway holds no request back for lack of
// a slot.
const earlySlots = 50

// startStatingRefuser starts a backend that refuses each request with status 503 once it has read the head, and reads the body afterwards.
func startStatingRefuser(headers ...string) *backend {
	return startRawBackend(func(b *backend, c net.Conn) { b.refuseEarly(c, headers) })
}

func (b *backend) refuseEarly(c net.Conn, headers []string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		r := &receivedRequest{Request: req}
		b.mu.Lock()
		b.seen = append(b.seen, r)
		b.mu.Unlock()
		if !writeResponse(c, r, 503, "", headers...) {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
	}
}

var _ = Describe("Gateway with a server that wants no requests for some time", func() {
	const hold = 400 * time.Millisecond
	respondHoldingOff := func(r *receivedRequest, c net.Conn) bool {
		return writeResponse(c, r, 503, "", "Not-Run: 1", fmt.Sprint("Retry-After: ", hold.Seconds()))
	}

	// Guards against a server that is kept busy by requests which it has asked not to get.
	It("sends it nothing until that time has passed", func() {
		first, second := startBackend(respondHoldingOff), startBackend(respondCorrectly)
		f := startGateway(first, second)
		startedAt := time.Now()
		for i := 0; time.Since(startedAt) < hold; i++ {
			Expect(f.roundTrip("POST", "/once/", fmt.Sprint("order-", i)).StatusCode).To(Equal(200))
		}
		Expect(first.count()).To(Equal(1))
		Eventually(func() int {
			f.roundTrip("POST", "/once/", "later")
			return first.count()
		}, "2s").Should(Equal(2))
	})

	// Guards against uploads that are sent to a server which has refused one early, before it was in, and asked for no requests: while
	// a caller goes on sending, the response was not read.
	It("sends it nothing while the body of the refused request is still being received", func() {
		b := startStatingRefuser("Not-Run: 1", "Retry-After: 3")
		f := startGatewayWithSlots(earlySlots, b)
		beginUpload := func(id string) {
			c := f.dial()
			_, err := fmt.Fprintf(c, "POST /upload/ HTTP/1.1\r\nHost: h\r\nId: %s\r\nContent-Length: 1000000\r\n\r\n%s", id,
				strings.Repeat("x", 300_000))
			Expect(err).NotTo(HaveOccurred())
		}
		beginUpload("first")
		Eventually(b.count).Should(Equal(1))
		time.Sleep(600 * time.Millisecond)
		for i := range 4 {
			beginUpload(fmt.Sprint("upload-", i))
		}
		Consistently(b.count, "500ms").Should(BeNumerically("<=", 1+2))
	})

	// Guards against a request that is sent although its server, while the connection was opened, has asked for no requests, and against
	// one that is then refused although another server could run it: an attempt that was not written has not used up one of the servers
	// that the route allows.
	DescribeTable("sends a request that was chosen before and has not been written to another server", func(path string) {
		first, second := startBackend(respondCorrectly), startBackend(respondCorrectly)
		f := startGateway(first, second)
		f.Dialect = holdBeforeWrite{f: f, server: f.state.View().Servers["s0"]}
		Expect(f.roundTrip("POST", path, "request").StatusCode).To(Equal(200))
		Expect(first.count()).To(BeZero())
		Expect(second.count()).To(Equal(1))
	},
		Entry("on a route with two attempts", "/once/"),
		Entry("on a route with one attempt", "/bulk/"),
	)

	// Guards against callers that are told to stay away for the hold of one server, although the other is only full for a moment.
	It("does not name the hold of one server to a caller whose request another one has refused", func() {
		const longHold = 30 * time.Second
		busy := startBackend(func(r *receivedRequest, c net.Conn) bool { return writeResponse(c, r, 503, "", "Not-Run: 1") })
		held := startBackend(respondCorrectly)
		f := startGateway(busy, held)
		f.balancer.RecordStatement(f.state.View().Servers["s1"], balance.Statement{RetryAfter: fmt.Sprint(longHold.Seconds())}, time.Now())
		a := f.roundTrip("POST", "/once/", "order")
		Expect(a.StatusCode).To(Equal(503))
		seconds, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(seconds).To(BeNumerically("<=", objective.Seconds()))
	})

	// Guards against callers that are told to return long before the hold of the only server ends, because no second attempt is allowed.
	DescribeTable("names the time until the first hold ends in the refusal after the last attempt", func(path string, retries float64) {
		const longHold = 3 * time.Second
		f := startGateway(startBackend(func(r *receivedRequest, c net.Conn) bool {
			return writeResponse(c, r, 503, "", "Not-Run: 1", fmt.Sprint("Retry-After: ", longHold.Seconds()))
		}))
		f.retries.SetBurst(retries)
		a := f.roundTrip("POST", path, "order")
		Expect(a.StatusCode).To(Equal(503))
		seconds, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(seconds).To(And(BeNumerically(">", 0.9*longHold.Seconds()), BeNumerically("<=", longHold.Seconds())))
	},
		Entry("which may be repeated", "/once/", 4.0),
		Entry("of a route with one attempt", "/bulk/", 4.0),
		Entry("when the retry budget is used up", "/once/", 0.0),
	)

	// Guards against callers that send a request again before a server is available, because the refusal names a shorter time.
	It("refuses at once, with the time until the first hold ends, when all servers are held off", func() {
		f := startGateway(startBackend(respondHoldingOff))
		for _, id := range []string{"first", "second"} {
			startedAt := time.Now()
			a := f.roundTrip("POST", "/once/", id)
			Expect(time.Since(startedAt)).To(BeNumerically("<", hold/2))
			Expect(a.StatusCode).To(Equal(503))
			seconds, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
			Expect(err).NotTo(HaveOccurred())
			Expect(seconds).To(And(BeNumerically(">", hold.Seconds()/2), BeNumerically("<=", hold.Seconds())))
		}
	})
})
