package proxy_test

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"hash"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
	"github.com/hornbeamway/hornbeamway/pkg/proxy"
)

// startBackend starts a backend server and returns its address.
func startBackend(h http.HandlerFunc) string {
	s := httptest.NewServer(h)
	DeferCleanup(s.Close)
	return s.Listener.Addr().String()
}

// localAndForwarding returns an entry VM that dispatches the pool itself and one that forwards calls to it, so that
// each test covers both.
func localAndForwarding(servers ...string) []*vm {
	local := newVM(GinkgoTB(), "e1", servers, nil)
	entry := newVM(GinkgoTB(), "e2", nil, func(o *proxy.Options) {
		o.Placement = &fakePlacement{targets: []proxy.Target{{Pool: testPool, DispatcherID: "e1", ForwardAddress: local.forward}}}
	})
	return []*vm{local, entry}
}

func doRequest(method, url, body string, headers ...string) *http.Response {
	GinkgoHelper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Add(headers[i], headers[i+1])
	}
	transport := &http.Transport{DisableCompression: true}
	DeferCleanup(transport.CloseIdleConnections)
	resp, err := transport.RoundTrip(req)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(resp.Body.Close)
	return resp
}

func readBody(resp *http.Response) string {
	GinkgoHelper()
	body, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(body)
}

// sendRaw sends request on a new connection and returns everything that is received until the connection closes.
func sendRaw(address, request string) string {
	GinkgoHelper()
	c, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	_, err = io.WriteString(c, request)
	Expect(err).NotTo(HaveOccurred())
	Expect(c.SetReadDeadline(time.Now().Add(4 * time.Second))).To(Succeed())
	response, err := io.ReadAll(c)
	Expect(err).NotTo(HaveOccurred(), "%s", response)
	return string(response)
}

var _ = Describe("forwarding a call", func() {
	// Guards against a request or a response that is changed on its way through the VMs.
	It("forwards method, target, headers, bodies and status", func() {
		var got *http.Request
		var body []byte
		address := startBackend(func(w http.ResponseWriter, r *http.Request) {
			got = r
			body, _ = io.ReadAll(r.Body)
			w.Header().Add("Set-Cookie", "a=1; Path=/x")
			w.Header().Add("Set-Cookie", "a=2; Path=/y")
			w.Header().Add("X-List", "one")
			w.Header().Add("X-List", "two")
			w.Header().Set("Hornbeamway-Inner", "x")
			w.Header().Set("Connection", "X-Hop")
			w.Header().Set("X-Hop", "x")
			w.Header().Set("Keep-Alive", "timeout=5")
			w.WriteHeader(207)
			_, _ = io.WriteString(w, "seven")
		})
		for _, v := range localAndForwarding(address) {
			for _, method := range []string{"GET", "PUT", "DELETE", "PATCH", "OPTIONS"} {
				sent := map[string]string{"GET": ""}
				content, ok := sent[method]
				if !ok {
					content = "colour " + method
				}
				By(v.name + " " + method)
				resp := doRequest(method, v.url("/view/a%20b//c?q=1&q=%2F&x"), content, "X-Twice", "1", "X-Twice", "2", "Cookie", "c=1; d=2",
					"Connection", "X-Private", "X-Private", "p", "Te", "trailers", "Proxy-Authorization", "p", "hornbeamway-hop", "owner",
					"Hornbeamway-Peer-Key", "k", "Hornbeamway-Attempt", "2", "X-Request-Id", "id-1", "Content-Type", "text/x")
				Expect(readBody(resp)).To(Equal("seven"))
				Expect(resp.StatusCode).To(Equal(207))
				Expect(resp.Header.Values("Set-Cookie")).To(Equal([]string{"a=1; Path=/x", "a=2; Path=/y"}))
				Expect(resp.Header.Values("X-List")).To(Equal([]string{"one", "two"}))
				Expect(resp.Header).NotTo(Or(HaveKey("X-Hop"), HaveKey("Keep-Alive"), HaveKey("Hornbeamway-Inner"),
					HaveKey("Hornbeamway-Load")))
				Expect(resp.Header.Get("X-Request-Id")).To(Equal("id-1"))
				Expect(got.Method).To(Equal(method))
				Expect(got.RequestURI).To(Equal("/view/a%20b//c?q=1&q=%2F&x"))
				Expect(got.Host).To(Equal(v.callers))
				Expect(string(body)).To(Equal(content))
				Expect(got.Header.Values("X-Twice")).To(Equal([]string{"1", "2"}))
				Expect(got.Header.Values("Cookie")).To(Equal([]string{"c=1; d=2"}))
				Expect(got.Header.Get("Content-Type")).To(Equal("text/x"))
				Expect(got.Header.Get("Hornbeamway-Attempt")).To(Equal("2"))
				Expect(got.Header.Get("X-Request-Id")).To(Equal("id-1"))
				ms, err := strconv.Atoi(got.Header.Get("X-Deadline-Ms"))
				Expect(err).NotTo(HaveOccurred())
				Expect(ms).To(And(BeNumerically(">", 3000), BeNumerically("<=", 5000)))
				for _, absent := range []string{"X-Private", "Te", "Proxy-Authorization", "Hornbeamway-Hop", "Hornbeamway-Peer-Key",
					"Hornbeamway-Region", "Hornbeamway-Pool", "Connection"} {
					Expect(got.Header).NotTo(HaveKey(absent))
				}
			}
		}
	})

	// Guards against lost trailers and truncated chunked bodies, in either direction.
	DescribeTable("forwards chunked bodies and trailers in both directions", func(path string, size int) {
		var sum, trailer string
		address := startBackend(func(w http.ResponseWriter, r *http.Request) {
			h := sha256.New()
			_, _ = io.Copy(h, r.Body)
			sum, trailer = fmt.Sprintf("%x", h.Sum(nil)), r.Trailer.Get("X-Sum")
			w.Header().Set("Trailer", "X-Check")
			w.WriteHeader(200)
			_, _ = w.Write(bytes.Repeat([]byte("b"), size))
			w.Header().Set("X-Check", "ok")
		})
		for _, v := range localAndForwarding(address) {
			By(v.name)
			body := bytes.Repeat([]byte("a"), size)
			req, err := http.NewRequest("PUT", v.url(path), io.NopCloser(bytes.NewReader(body)))
			Expect(err).NotTo(HaveOccurred())
			req.Trailer = http.Header{"X-Sum": {"seven"}}
			resp, err := http.DefaultTransport.RoundTrip(req)
			Expect(err).NotTo(HaveOccurred())
			Expect(len(readBody(resp))).To(Equal(size))
			Expect(resp.Trailer.Get("X-Check")).To(Equal("ok"))
			Expect(sum).To(Equal(fmt.Sprintf("%x", sha256.Sum256(body))))
			Expect(trailer).To(Equal("seven"))
		}
	},
		Entry("in memory", "/view", 5000),
		Entry("streamed", "/large", 300_000),
	)

	// Guards against a body after a response that must not have one: the caller would parse it as the next response.
	DescribeTable("forwards responses without a body", func(method string, status int, length string) {
		address := startBackend(func(w http.ResponseWriter, _ *http.Request) {
			if length != "" {
				w.Header().Set("Content-Length", length)
			}
			w.WriteHeader(status)
		})
		for _, v := range localAndForwarding(address) {
			By(v.name)
			for range 2 {
				resp := doRequest(method, v.url("/view"), "")
				Expect(resp.StatusCode).To(Equal(status))
				Expect(readBody(resp)).To(BeEmpty())
				Expect(resp.Header.Get("Content-Length")).To(Equal(length))
			}
		}
	},
		Entry("HEAD", "HEAD", 200, "123456"),
		Entry("204", "GET", 204, ""),
		Entry("304", "GET", 304, ""),
	)

	// Guards against large bodies that are held in memory, are changed, or close the connection to the backend server.
	It("streams large bodies in both directions with bounded memory", func() {
		const size = 32 << 20
		var sums [2]hash.Hash
		var connections atomic.Int64
		s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			sums[0] = sha256.New()
			_, _ = io.Copy(sums[0], r.Body)
			w.Header().Set("Content-Length", strconv.Itoa(size))
			_, _ = io.CopyN(w, new(patternReader), size)
		}))
		s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				connections.Add(1)
			}
		}
		s.Start()
		DeferCleanup(s.Close)
		v := localAndForwarding(s.Listener.Addr().String())[1]
		var highest atomic.Uint64
		before := liveHeapBytes()
		for range 2 {
			req, err := http.NewRequest("PUT", v.url("/large"), io.LimitReader(new(patternReader), size))
			Expect(err).NotTo(HaveOccurred())
			req.ContentLength = size
			resp, err := http.DefaultTransport.RoundTrip(req)
			Expect(err).NotTo(HaveOccurred())
			sums[1] = sha256.New()
			for part := 0; part < size; part += 4 << 20 {
				_, err = io.CopyN(sums[1], resp.Body, 4<<20)
				Expect(err).NotTo(HaveOccurred())
				highest.Store(max(highest.Load(), liveHeapBytes()))
			}
			Expect(resp.Body.Close()).To(Succeed())
			Expect(sums[1].Sum(nil)).To(Equal(sums[0].Sum(nil)))
		}
		Expect(highest.Load()).To(BeNumerically("<", before+(8<<20)))
		Expect(connections.Load()).To(BeEquivalentTo(1))
	})

	// Guards against a truncated response that the caller treats as complete.
	It("breaks the transfer when a streamed answer is cut short", func() {
		address := startBackend(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "200000")
			_, _ = w.Write(make([]byte, 100_000))
			panic(http.ErrAbortHandler)
		})
		for _, v := range localAndForwarding(address) {
			By(v.name)
			resp := doRequest("GET", v.url("/large"), "")
			_, err := io.ReadAll(resp.Body)
			Expect(err).To(HaveOccurred())
		}
	})

	// Guards against a slot that is never released, or is released before the response has ended.
	It("holds the slot until a streamed answer has ended", func() {
		proceed := make(chan struct{})
		address := startBackend(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, 50_000))
			w.(http.Flusher).Flush()
			<-proceed
		})
		v := localAndForwarding(address)[0]
		resp := doRequest("GET", v.url("/large"), "")
		_, err := io.ReadFull(resp.Body, make([]byte, 50_000))
		Expect(err).NotTo(HaveOccurred())
		Expect(v.pools.resultsWhenIdle()).To(BeNil())
		Expect(v.InFlight()).To(BeEquivalentTo(1))
		close(proceed)
		Expect(readBody(resp)).To(BeEmpty())
		Eventually(v.pools.resultsWhenIdle).Should(Equal([]dispatch.ResultClass{dispatch.Success}))
		Eventually(v.InFlight).Should(BeZero())
	})

	// Guards against an absolute-form target or an HTTP/1.0 request that is not converted for the backend server.
	It("forwards absolute-form targets in origin form", func() {
		var got *http.Request
		v := localAndForwarding(startBackend(func(_ http.ResponseWriter, r *http.Request) { got = r }))[0]
		Expect(sendRaw(v.callers, "GET http://shop.example/view/7?a=b HTTP/1.1\r\nHost: other\r\nConnection: close\r\n\r\n")).
			To(HavePrefix("HTTP/1.1 200"))
		Expect(got.RequestURI).To(Equal("/view/7?a=b"))
		Expect(got.Host).To(Equal("shop.example"))
		Expect(sendRaw(v.callers, "GET /view/8 HTTP/1.0\r\n\r\n")).To(ContainSubstring(" 200 "))
		Expect(got.RequestURI).To(Equal("/view/8"))
		Expect(got.Proto).To(Equal("HTTP/1.1"))
	})
})

// patternReader is an endless stream of bytes with a period that is not a power of two. Its value is the position.
type patternReader int

func (n *patternReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(*n % 251)
		*n++
	}
	return len(p), nil
}

// liveHeapBytes returns the size in bytes of the live heap objects.
func liveHeapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// readResponse reads one response from a connection that remains open.
func readResponse(c net.Conn) *http.Response {
	GinkgoHelper()
	Expect(c.SetReadDeadline(time.Now().Add(4 * time.Second))).To(Succeed())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	Expect(err).NotTo(HaveOccurred())
	return resp
}
