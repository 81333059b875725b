package upstream_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

var _ = Describe("Transport with a server that answers other requests", func() {
	const (
		requests     = 64
		maxHeap      = 48 << 20
		foreignBytes = 4 << 20
		foreignHead  = "HTTP/1.1 200 OK\r\nId: other\r\n"
		ownResponse  = "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 3\r\n\r\nown"
	)
	BeforeEach(func() {
		// The second collection frees the buffers that earlier specs left in pools.
		runtime.GC()
		runtime.GC()
	})
	classify := func(h *fasthttp.ResponseHeader) upstream.Verdict {
		if string(h.Peek("Id")) != "own" {
			return upstream.Foreign
		}
		return upstream.Accepted
	}
	// floodingServer writes a head and then pieces of a body until the connection is closed. Without a piece it only waits.
	floodingServer := func(head, piece string) *scriptedServer {
		return serve(func(_ int, _ string, c net.Conn) bool {
			if piece == "" {
				_, _ = io.WriteString(c, head)
				return true
			}
			data := []byte(piece)
			for _, err := io.WriteString(c, head); err == nil; {
				_, err = c.Write(data)
			}
			return false
		})
	}
	get := func(t *upstream.Transport, s *scriptedServer, resp *fasthttp.Response, timeout time.Duration) error {
		return t.RoundTrip(context.Background(), upstream.Attempt{Address: s.address, Idempotent: true,
			Deadline: time.Now().Add(timeout), Classify: classify}, request("GET", "/"), resp)
	}

	// Guards against memory that grows with the number of requests to a server whose responses belong to none of them.
	DescribeTable("bounds its memory over many requests at once", func(head, piece string) {
		s := floodingServer(foreignHead+head, piece)
		transport := upstream.NewTransport(upstream.Options{})
		var running sync.WaitGroup
		for range requests {
			running.Go(func() {
				defer GinkgoRecover()
				Expect(get(transport, s, &fasthttp.Response{}, time.Second)).NotTo(Succeed())
			})
		}
		done := make(chan struct{})
		go func() { running.Wait(); close(done) }()
		Expect(peakHeap(done)).To(BeNumerically("<", maxHeap))
	},
		Entry("a body of a large length that never ends to arrive", fmt.Sprintf("Content-Length: %d\r\n\r\n", foreignBytes), ""),
		Entry("a body of a larger length", fmt.Sprintf("Content-Length: %d\r\n\r\n", 1<<40), strings.Repeat("x", 32<<10)),
		Entry("chunks without end", "Transfer-Encoding: chunked\r\n\r\n", "8000\r\n"+strings.Repeat("x", 32<<10)+"\r\n"),
		Entry("a body without a length", "\r\n", strings.Repeat("x", 32<<10)),
	)

	// Guards against a request that fails although its own response follows the foreign one that is skipped.
	DescribeTable("returns the own response after a foreign one", func(foreign string) {
		s := serve(func(_ int, _ string, c net.Conn) bool {
			_, err := io.WriteString(c, foreignHead+foreign+ownResponse)
			return err == nil
		})
		resp := &fasthttp.Response{}
		Expect(get(upstream.NewTransport(upstream.Options{}), s, resp, time.Second)).To(Succeed())
		Expect(string(resp.Body())).To(Equal("own"))
	},
		Entry("with a length", "Content-Length: 5\r\n\r\nother"),
		Entry("with a large body", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 1<<20, strings.Repeat("x", 1<<20))),
		Entry("in chunks", "Transfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n"),
		Entry("in chunks with a trailer", "Transfer-Encoding: chunked\r\nTrailer: More\r\n\r\n5\r\nother\r\n0\r\nMore: y\r\n\r\n"),
	)
})

// peakHeap returns the largest size of the heap in bytes that it sees until done is closed.
func peakHeap(done <-chan struct{}) uint64 {
	const interval = 10 * time.Millisecond
	var stats runtime.MemStats
	for peak := uint64(0); ; {
		runtime.ReadMemStats(&stats)
		peak = max(peak, stats.HeapAlloc)
		select {
		case <-done:
			return peak
		case <-time.After(interval):
		}
	}
}
