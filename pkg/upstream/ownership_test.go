package upstream_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"github.com/hornbeamway/hornbeamway/internal/testsupport"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

func init() { testsupport.FixRapid("20261206", "100") }

// serverEnd is a way in which a server ends its response. It is the path of the request.
type serverEnd string

const (
	complete     serverEnd = "/complete"
	withSurplus  serverEnd = "/surplus"
	inChunks     serverEnd = "/chunks"
	withoutEnd   serverEnd = "/identity"
	broken       serverEnd = "/broken"
	brokenChunk  serverEnd = "/broken-chunk"
	resetInBody  serverEnd = "/reset"
	stalled      serverEnd = "/stalled"
	closedAtOnce serverEnd = "/closed"
	closing      serverEnd = "/closing"
)

var serverEnds = []serverEnd{complete, withSurplus, inChunks, withoutEnd, broken, brokenChunk, resetInBody, stalled, closedAtOnce, closing}

// respond writes a response with a body of size bytes and reports whether the connection stays open.
func (e serverEnd) respond(c net.Conn, size int) bool {
	const head = "HTTP/1.1 200 OK\r\n"
	body := strings.Repeat("x", size)
	known := fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, size)
	chunk := fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n", head, max(1, size))
	switch e {
	case complete:
		_, _ = io.WriteString(c, known+body)
	case withSurplus:
		_, _ = io.WriteString(c, known+body+known)
	case inChunks:
		_, _ = io.WriteString(c, chunk+body+strings.Repeat("x", max(0, 1-size))+"\r\n0\r\n\r\n")
	case withoutEnd:
		_, _ = io.WriteString(c, head+"\r\n"+body)
		return false
	case broken:
		_, _ = io.WriteString(c, known+body[:size/2])
		return false
	case brokenChunk:
		_, _ = io.WriteString(c, chunk+body[:size/2])
		return false
	case resetInBody:
		_, _ = io.WriteString(c, known+body[:size/2])
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	case stalled:
		_, _ = io.WriteString(c, known+body[:size/2])
	case closing:
		_, _ = io.WriteString(c, head+"Connection: close\r\n"+strings.TrimPrefix(known, head)+body)
		return false
	case closedAtOnce:
		return false
	}
	return true
}

// scriptedAttempt is one attempt with the ways in which its server and its caller end it.
type scriptedAttempt struct {
	end  serverEnd
	size int
	// read is the number of bytes of a streamed body that the caller reads; -1: all.
	read int64
	// cancelAfter is when the caller cancels the attempt; zero: when it has closed the body.
	cancelAfter time.Duration
	// closes is how often the caller closes the body.
	closes int
}

const (
	attemptTimeout = 40 * time.Millisecond
	maxOpen        = 6
)

var scriptedAttempts = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) scriptedAttempt {
	return scriptedAttempt{
		end:         rapid.SampledFrom(serverEnds).Draw(t, "end"),
		size:        rapid.SampledFrom([]int{0, 10, 16 << 10, 16<<10 + 1, 40_000, 300_000}).Draw(t, "size"),
		read:        rapid.SampledFrom([]int64{-1, -1, 0, 1, 20_000}).Draw(t, "read"),
		cancelAfter: time.Duration(rapid.SampledFrom([]int{0, 0, 1, 100, 1000, 5000}).Draw(t, "cancelAfterUs")) * time.Microsecond,
		closes:      rapid.IntRange(1, 3).Draw(t, "closes"),
	}
}), 1, 12)

func (s scriptedAttempt) run(t *upstream.Transport, address string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if s.cancelAfter > 0 {
		defer time.AfterFunc(s.cancelAfter, cancel).Stop()
	}
	deadline := time.Now().Add(attemptTimeout)
	resp := &fasthttp.Response{}
	path := fmt.Sprintf("%s?%d", s.end, s.size)
	if t.RoundTrip(ctx, upstream.Attempt{Address: address, Idempotent: true, Deadline: deadline}, request("GET", path), resp) != nil {
		return
	}
	body, streamed := resp.BodyStream().(*upstream.Body)
	if !streamed {
		return
	}
	body.SetDeadline(deadline)
	if s.read < 0 {
		_, _ = io.Copy(io.Discard, body)
	} else {
		_, _ = io.CopyN(io.Discard, body, s.read)
	}
	for range s.closes {
		_ = body.Close()
	}
	_ = resp.CloseBodyStream()
}

var _ = Describe("connections of a host", func() {
	// Guards against a connection that is counted down twice, or never: whoever ends an attempt, its connection is given back
	// exactly once.
	It("are given back exactly once after random ends of attempts", func() {
		s := serve(func(_ int, head string, c net.Conn) bool {
			var end serverEnd
			var size int
			target := strings.Fields(head)[1]
			path, query, _ := strings.Cut(target, "?")
			end = serverEnd(path)
			_, _ = fmt.Sscan(query, &size)
			return end.respond(c, size)
		})
		t := upstream.NewTransport(upstream.Options{MaxConns: func(string) int { return maxOpen }})
		gauge := metrics.GetOrCreateGauge("hornbeamway_upstream_open_connections", nil)
		before := testsupport.SteadyValue(gauge)
		stop := testsupport.WatchRange(100*time.Microsecond, func() int { return t.OpenConnections(s.address) })
		rapid.Check(GinkgoT(), func(rt *rapid.T) {
			var running sync.WaitGroup
			for _, a := range scriptedAttempts.Draw(rt, "attempts") {
				running.Go(func() { a.run(t, s.address) })
			}
			running.Wait()
			t.CloseIdle(s.address)
			if open := t.OpenConnections(s.address); open != 0 {
				rt.Fatalf("%d connections are still counted", open)
			}
			if open := gauge.Get(); open != before {
				rt.Fatalf("the metric is %v, before it was %v", open, before)
			}
		})
		least, most := stop()
		Expect(least).To(BeZero())
		Expect(most).To(And(BeNumerically(">", 1), BeNumerically("<=", maxOpen)))
	})
})
