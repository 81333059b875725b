package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/problem"
)

var _ = Describe("silent servers, disconnecting callers and planned stops", func() {
	// Guards against a call that waits on a connection that has permanently gone silent.
	It("brings an idempotent call to a new connection, and leaves an operation to its deadline", func() {
		stalled, arrived, _ := startSilentServer()
		healthy := startBackend(respondWith(200))
		v := newVM(GinkgoTB(), "e1", []string{stalled, healthy}, nil)
		v.pools.p95 = time.Millisecond
		started := time.Now()
		Expect(doRequest("GET", v.url("/view"), "").StatusCode).To(Equal(200))
		Expect(time.Since(started)).To(BeNumerically("<", 2*time.Second))
		Eventually(arrived).Should(Receive(HavePrefix("GET /view")))
		started = time.Now()
		p := readProblem(doRequest("POST", v.url("/orders"), "", "Idempotency-Key", "k", "X-Deadline-Ms", "300"))
		Expect(time.Since(started)).To(BeNumerically(">=", 290*time.Millisecond))
		Expect(p.Outcome).To(Equal(problem.Unknown))
		Expect(p.Reason).To(Equal(problem.ReasonDeadline))
	})

	// Guards against work for a caller that has disconnected, and against losing the outcome of an operation when its
	// caller disconnects.
	It("cancels a call when the caller disconnects, but not an operation", func() {
		address, arrived, ended := startSilentServer()
		for _, v := range localAndForwarding(address) {
			sendAndClose := func(request string) {
				c, err := net.Dial("tcp", v.callers)
				Expect(err).NotTo(HaveOccurred())
				_, err = io.WriteString(c, request)
				Expect(err).NotTo(HaveOccurred())
				Eventually(arrived).Should(Receive())
				Expect(c.Close()).To(Succeed())
			}
			sendAndClose("GET /view HTTP/1.1\r\nHost: x\r\n\r\n")
			Eventually(ended).Should(Receive())
			Expect(v.placement.suspects).To(BeEmpty())
			sendAndClose("POST /orders HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nX-Deadline-Ms: 600\r\nContent-Length: 0\r\n\r\n")
			Consistently(ended, "300ms").ShouldNot(Receive())
			Eventually(ended, "2s").Should(Receive())
		}
	})

	// Guards against a late response that is delivered to the next caller.
	It("never gives a late answer to another caller", func() {
		release := make(chan struct{})
		address := startBackend(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Query().Get("n") == "1" {
				<-release
			}
			_, _ = io.WriteString(w, r.URL.Query().Get("n"))
		})
		v := localAndForwarding(address)[1]
		Expect(readProblem(doRequest("GET", v.url("/view?n=1"), "", "X-Deadline-Ms", "200")).Reason).To(Equal(problem.ReasonDeadline))
		close(release)
		for n := range 20 {
			Expect(readBody(doRequest("GET", v.url(fmt.Sprintf("/view?n=%d", n+2)), ""))).To(Equal(fmt.Sprint(n + 2)))
		}
	})

	// Guards against a VM that started while the VM list was down and receives calls although it knows no backend
	// servers.
	It("is not ready until the backend servers are known", func() {
		v := localAndForwarding("127.0.0.1:1")[0]
		v.placement.serversUnknown = true
		Expect(doRequest("GET", v.url("/.well-known/hornbeamway/readyz"), "").StatusCode).To(Equal(503))
		v.placement.serversUnknown = false
		Expect(doRequest("GET", v.url("/.well-known/hornbeamway/readyz"), "").StatusCode).To(Equal(200))
	})

	// Guards against a planned stop that aborts a call, or that waits for connections without a request.
	It("finishes calls in flight at a planned stop and ends idle connections", func() {
		proceed := make(chan struct{})
		address := startBackend(func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write(make([]byte, 100_000))
			w.(http.Flusher).Flush()
			if r.URL.Path == "/large" {
				<-proceed
				_, _ = w.Write(make([]byte, 100_000))
			}
		})
		for i := range 2 {
			v := localAndForwarding(address)[i]
			By(v.name)
			proceed = make(chan struct{})
			idle, err := net.Dial("tcp", v.callers)
			Expect(err).NotTo(HaveOccurred())
			keepAlive, err := net.Dial("tcp", v.callers)
			Expect(err).NotTo(HaveOccurred())
			_, _ = io.WriteString(keepAlive, "GET /.well-known/hornbeamway/livez HTTP/1.1\r\nHost: x\r\n\r\n")
			Expect(readResponse(keepAlive).Close).To(BeFalse())
			download := doRequest("GET", v.url("/large"), "")
			v.Drain()
			Expect(doRequest("GET", v.url("/.well-known/hornbeamway/readyz"), "").StatusCode).To(Equal(503))
			last := doRequest("GET", v.url("/view"), "")
			Expect(last.Close).To(BeTrue())
			Expect(readBody(last)).To(HaveLen(100_000))
			stopped := make(chan error, 1)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			DeferCleanup(cancel)
			go func() { stopped <- v.Shutdown(ctx) }()
			for _, c := range []net.Conn{idle, keepAlive} {
				Expect(c.SetReadDeadline(time.Now().Add(3 * time.Second))).To(Succeed())
				rest, err := io.ReadAll(c)
				Expect(err).NotTo(HaveOccurred(), "%s", rest)
				_ = c.Close()
			}
			Consistently(stopped, "100ms").ShouldNot(Receive())
			close(proceed)
			Expect(readBody(download)).To(HaveLen(200_000))
			Eventually(stopped, "5s").Should(Receive(BeNil()))
		}
	})
})
