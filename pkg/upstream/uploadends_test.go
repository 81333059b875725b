package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

// uploadEnd is a way in which a server treats an upload. It is the path of the request.
type uploadEnd string

const (
	afterBody    uploadEnd = "/after-body"
	early        uploadEnd = "/early"
	earlyTwice   uploadEnd = "/early-twice"
	earlyClose   uploadEnd = "/early-close"
	earlyLarge   uploadEnd = "/early-large"
	earlyPart    uploadEnd = "/early-part"
	earlyReset   uploadEnd = "/early-reset"
	silent       uploadEnd = "/silent"
	closedAtHead uploadEnd = "/closed"
)

var uploadEnds = []uploadEnd{afterBody, early, earlyTwice, earlyClose, earlyLarge, earlyPart, earlyReset, silent, closedAtHead}

// respondToUpload treats an upload as its path says and reports whether the connection stays open.
func respondToUpload(req *http.Request, c net.Conn) bool {
	const largeBody = 100_000
	end := uploadEnd(req.URL.Path)
	switch end {
	case early, earlyClose, earlyReset:
		writeResponse(c, "early")
	case earlyTwice:
		writeResponse(c, "early")
		writeResponse(c, "again")
	case earlyLarge:
		writeResponse(c, strings.Repeat("x", largeBody))
	case earlyPart:
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-")
	}
	switch end {
	case earlyReset:
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	case earlyClose, closedAtHead:
		return false
	}
	_, err := io.Copy(io.Discard, req.Body)
	return err == nil && (end != afterBody || writeResponse(c, "ok"))
}

// scriptedBody is a request body that pauses between its parts and breaks off after some of them.
type scriptedBody struct {
	parts, breakAfter int
	pause             time.Duration
}

const bodyPart = 20_000

// Read implements io.Reader.
func (b *scriptedBody) Read(p []byte) (int, error) {
	if b.breakAfter == 0 {
		return 0, io.ErrUnexpectedEOF
	}
	if b.parts == 0 {
		return 0, io.EOF
	}
	b.parts--
	b.breakAfter--
	time.Sleep(b.pause)
	return copy(p, strings.Repeat("x", bodyPart)), nil
}

// scriptedUpload is one upload with the ways in which its server and its caller end it.
type scriptedUpload struct {
	end         uploadEnd
	body        scriptedBody
	cancelAfter time.Duration // zero: not cancelled
}

var scriptedUploads = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) scriptedUpload {
	return scriptedUpload{
		end: rapid.SampledFrom(uploadEnds).Draw(t, "end"),
		body: scriptedBody{
			parts:      rapid.IntRange(1, 20).Draw(t, "parts"),
			breakAfter: rapid.SampledFrom([]int{-1, -1, -1, 0, 1, 3}).Draw(t, "breakAfter"),
			pause:      time.Duration(rapid.SampledFrom([]int{0, 0, 100, 1000}).Draw(t, "pauseUs")) * time.Microsecond,
		},
		cancelAfter: time.Duration(rapid.SampledFrom([]int{0, 0, 1, 100, 1000, 5000}).Draw(t, "cancelAfterUs")) * time.Microsecond,
	}
}), 1, 12)

// run makes the attempt and reports whether it was answered.
func (s scriptedUpload) run(t *upstream.Transport, address string) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if s.cancelAfter > 0 {
		defer time.AfterFunc(s.cancelAfter, cancel).Stop()
	}
	req, resp := request("POST", string(s.end)), &fasthttp.Response{}
	req.SetBodyStream(&s.body, -1)
	a := upstream.Attempt{Address: address, Idempotent: true, Deadline: time.Now().Add(attemptTimeout)}
	err := t.RoundTrip(ctx, a, req, resp)
	// The response belongs to the caller again, whatever the result is.
	resp.Header.Set("Seen", "yes")
	_ = resp.CloseBodyStream()
	return err == nil
}

var _ = Describe("connections with request bodies that are streamed", func() {
	// Guards against a goroutine that outlives its attempt, and against a connection that is counted down twice, or never, or that is
	// still being read when another attempt uses it.
	It("are given back exactly once, and read by nobody, after random ends of uploads", func() {
		s := serveUploads(respondToUpload)
		t := upstream.NewTransport(upstream.Options{})
		var answered, failed atomic.Int64
		rapid.Check(GinkgoT(), func(rt *rapid.T) {
			var running sync.WaitGroup
			for _, u := range scriptedUploads.Draw(rt, "uploads") {
				running.Go(func() {
					if u.run(t, s.address) {
						answered.Add(1)
					} else {
						failed.Add(1)
					}
				})
			}
			running.Wait()
			if readers := headReaders(); readers != 0 {
				rt.Fatalf("%d goroutines still read", readers)
			}
			t.CloseIdle(s.address)
			if open := t.OpenConnections(s.address); open != 0 {
				rt.Fatalf("%d connections are still counted", open)
			}
		})
		Expect(answered.Load()).To(BeNumerically(">", 10))
		Expect(failed.Load()).To(BeNumerically(">", 10))
	})
})
