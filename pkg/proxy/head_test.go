package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/proxy"
)

var _ = Describe("request heads and connections", func() {
	var (
		v     *vm
		calls atomic.Int64
		gate  chan struct{}
	)
	BeforeEach(func() {
		calls.Store(0)
		gate = make(chan struct{})
		held := gate
		v = newVM(GinkgoTB(), "e1", []string{backend(func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			if r.URL.Query().Has("wait") {
				<-held
			}
			n, err := io.Copy(io.Discard, r.Body)
			_, _ = fmt.Fprintf(w, "%d bytes, %v", n, err)
		})}, nil)
	})

	// Guards against a head that this VM and a backend server read differently.
	DescribeTable("refuses a head", func(head string, status int) {
		answer := raw(v.callers, strings.ReplaceAll(head, "\n", "\r\n")+"\r\n")
		Expect(answer).To(HavePrefix(fmt.Sprintf("HTTP/1.1 %d ", status)))
		Expect(answer).To(ContainSubstring(`"outcome":"not_run"`))
		Expect(answer).To(ContainSubstring("Connection: close"))
		Expect(strings.Count(answer, "HTTP/1.1 ")).To(Equal(1))
		Expect(calls.Load()).To(BeZero())
	},
		Entry("length and encoding", "POST /view HTTP/1.1\nHost: x\nContent-Length: 4\nTransfer-Encoding: chunked\n\n0\n", 400),
		Entry("two lengths", "POST /view HTTP/1.1\nHost: x\nContent-Length: 4\nContent-Length: 5\n\nabcd", 400),
		Entry("two equal lengths", "POST /view HTTP/1.1\nHost: x\nContent-Length: 4\nContent-Length: 4\n\nabcd", 400),
		Entry("length list", "POST /view HTTP/1.1\nHost: x\nContent-Length: 4, 4\n\nabcd", 400),
		Entry("signed length", "POST /view HTTP/1.1\nHost: x\nContent-Length: +4\n\nabcd", 400),
		Entry("other encoding", "POST /view HTTP/1.1\nHost: x\nTransfer-Encoding: gzip, chunked\n\n0\n", 400),
		Entry("two encodings", "POST /view HTTP/1.1\nHost: x\nTransfer-Encoding: chunked\nTransfer-Encoding: chunked\n\n0\n", 400),
		Entry("space before the colon", "GET /view HTTP/1.1\nHost: x\nX-A : 1\n", 400),
		Entry("folded line", "GET /view HTTP/1.1\nHost: x\nX-A: 1\n 2\n", 400),
		Entry("line without a colon", "GET /view HTTP/1.1\nHost: x\nnonsense\n", 400),
		Entry("two hosts", "GET /view HTTP/1.1\nHost: x\nHost: y\n", 400),
		Entry("no host", "GET /view HTTP/1.1\n", 400),
		Entry("dot segments", "GET /view/../orders HTTP/1.1\nHost: x\n", 400),
		Entry("encoded dot segments", "GET /view/%2e%2E/orders HTTP/1.1\nHost: x\n", 400),
		Entry("target without a host", "GET http:///view HTTP/1.1\nHost: x\n", 400),
		Entry("user in the target", "GET http://a@b/view HTTP/1.1\nHost: x\n", 400),
		Entry("large head", "GET /view HTTP/1.1\nHost: x\nX-A: "+strings.Repeat("a", 9000)+"\n", 431),
	)

	// Guards against bare line feeds, which other servers take for nothing or for the end of a line.
	It("refuses lines that end with a bare line feed", func() {
		Expect(raw(v.callers, "GET /view HTTP/1.1\r\nHost: x\nX-A: 1\r\n\r\n")).To(HavePrefix("HTTP/1.1 400 "))
		Expect(calls.Load()).To(BeZero())
	})

	// Guards against a second request that is run although its sender cannot know what became of the first, or that was
	// smuggled behind it.
	DescribeTable("ends the connection with the first answer when another request was sent behind it", func(first string, late bool) {
		c, err := net.Dial("tcp", v.callers)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		second := "GET /view HTTP/1.1\r\nHost: x\r\n\r\n"
		if late {
			_, err = io.WriteString(c, first)
			Expect(err).NotTo(HaveOccurred())
			Eventually(calls.Load).Should(BeEquivalentTo(1))
			_, err = io.WriteString(c, second)
			Expect(err).NotTo(HaveOccurred())
			// Loopback delivers a write before it returns.
			close(gate)
		} else {
			_, err = io.WriteString(c, first+second)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(c.SetReadDeadline(time.Now().Add(4 * time.Second))).To(Succeed())
		answer, err := io.ReadAll(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Count(string(answer), "HTTP/1.1 200")).To(Equal(1), "%s", answer)
		Expect(strings.Count(string(answer), "HTTP/1.1")).To(Equal(1), "%s", answer)
		Expect(string(answer)).To(ContainSubstring("Connection: close"))
		Expect(calls.Load()).To(BeEquivalentTo(1))
	},
		Entry("no body", "GET /view HTTP/1.1\r\nHost: x\r\n\r\n", false),
		Entry("body", "PUT /view HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nabcd", false),
		Entry("long body", "PUT /large HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("a", 200_000), false),
		Entry("chunked body", "PUT /view HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", false),
		Entry("while the first runs", "GET /view?wait HTTP/1.1\r\nHost: x\r\n\r\n", true),
	)

	// Guards against a connection that ends, or answers that mix, when requests come one after the other.
	It("keeps a connection for requests in turn", func() {
		c, err := net.Dial("tcp", v.callers)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		for _, request := range []string{
			"GET /view HTTP/1.1\r\nHost: x\r\n\r\n",
			"PUT /view HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nabcd",
			"PUT /large HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("a", 100_000),
			"\r\nGET /unknown HTTP/1.1\r\nHost: x\r\n\r\n",
			"GET /view HTTP/1.1\r\nHost: x\r\n\r\n",
		} {
			_, err = io.WriteString(c, request)
			Expect(err).NotTo(HaveOccurred())
			resp := readAnswer(c)
			_ = text(resp)
			Expect(resp.Close).To(BeFalse(), "%.40s", request)
		}
	})

	// Guards against a caller that waits for the interim answer before it sends its body.
	It("answers Expect: 100-continue", func() {
		c, err := net.Dial("tcp", v.callers)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		_, _ = io.WriteString(c, "PUT /view HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
		interim := make([]byte, len("HTTP/1.1 100 Continue\r\n\r\n"))
		_, err = io.ReadFull(c, interim)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(interim)).To(HavePrefix("HTTP/1.1 100 "))
		_, _ = io.WriteString(c, "abcd")
		Expect(text(readAnswer(c))).To(Equal("4 bytes, <nil>"))
	})

	// Guards against callers that hold connections and slots by sending slowly, and against cutting an upload that is long
	// but makes progress. The head timeout and the longest pause are set to 300 ms.
	It("bounds the time of a head and the pauses of a body, not the whole upload", func() {
		v = newVM(GinkgoTB(), "e1", v.pools.servers, func(o *proxy.Options) {
			o.Limits.HeaderTimeout, o.Limits.BodyIdleTimeout = 300e6, 300e6
		})
		Expect(raw(v.callers, "GET /view HTTP/1.1\r\nHost: x\r\n")).To(Or(BeEmpty(), HavePrefix("HTTP/1.1 408 ")))
		for _, path := range []string{"/view", "/large"} {
			size := map[string]int{"/view": 100, "/large": 100_000}[path]
			head := fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", path, size)
			answer := raw(v.callers, head+strings.Repeat("a", size-10))
			Expect(answer).To(Or(HavePrefix("HTTP/1.1 408 "), HavePrefix("HTTP/1.1 400 ")), path)

			c, err := net.Dial("tcp", v.callers)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(c.Close)
			_, err = io.WriteString(c, head)
			Expect(err).NotTo(HaveOccurred())
			ticker := time.NewTicker(100 * time.Millisecond)
			DeferCleanup(ticker.Stop)
			for range 10 {
				<-ticker.C
				_, err = io.WriteString(c, strings.Repeat("a", size/10))
				Expect(err).NotTo(HaveOccurred())
			}
			Expect(text(readAnswer(c))).To(Equal(fmt.Sprintf("%d bytes, <nil>", size)))
		}
		Eventually(v.pools.finished).ShouldNot(BeNil())
	})

	// Guards against a caller that keeps a connection and a slot by sending a byte from time to time.
	It("ends a body that arrives below the least rate", func() {
		v = newVM(GinkgoTB(), "e1", v.pools.servers, func(o *proxy.Options) {
			o.Limits.BodyIdleTimeout, o.Limits.MinBodyRate = 300e6, 1000
		})
		c, err := net.Dial("tcp", v.callers)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		_, err = io.WriteString(c, "PUT /view HTTP/1.1\r\nHost: x\r\nContent-Length: 10000\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		ticker := time.NewTicker(50 * time.Millisecond)
		DeferCleanup(ticker.Stop)
		Eventually(func() error {
			<-ticker.C
			_, err := io.WriteString(c, "a")
			return err
		}, "5s").Should(HaveOccurred())
	})

	// Guards against a body that is relayed beyond the route's limit.
	It("refuses bodies above the limit of the route", func() {
		for _, length := range []string{"Content-Length: 2000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n1e8480\r\n"} {
			answer := raw(v.callers, "PUT /view HTTP/1.1\r\nHost: x\r\n"+length+strings.Repeat("a", 2_000_000))
			Expect(answer).To(HavePrefix("HTTP/1.1 413 "))
		}
	})

	// Guards against one caller that takes all connections.
	It("closes connections above the limits", func() {
		v = newVM(GinkgoTB(), "e1", v.pools.servers, func(o *proxy.Options) { o.Limits.ConnectionsPerCaller = 2 })
		open := func() net.Conn {
			c, err := net.Dial("tcp", v.callers)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(func() { _ = c.Close() })
			return c
		}
		live := "GET /.well-known/hornbeamway/livez HTTP/1.1\r\nHost: x\r\n\r\n"
		first, second := open(), open()
		for _, c := range []net.Conn{first, second} {
			_, _ = io.WriteString(c, live)
			Expect(readAnswer(c).StatusCode).To(Equal(200))
		}
		_, err := open().Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		Expect(first.Close()).To(Succeed())
		Eventually(func() bool {
			c := open()
			defer func() { _ = c.Close() }()
			_, _ = io.WriteString(c, live)
			n, _ := c.Read(make([]byte, 10))
			return n > 0
		}).Should(BeTrue())
	})

	// Guards against a forward address that serves whoever reaches it.
	It("serves forwarded calls only with the peer key", func() {
		Expect(raw(v.forward, "GET /view HTTP/1.1\r\nHost: x\r\nHornbeamway-Hop: dispatch\r\n\r\n")).To(HavePrefix("HTTP/1.1 403 "))
		Expect(calls.Load()).To(BeZero())
	})
})
