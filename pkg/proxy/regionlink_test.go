package proxy_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/priority"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
	"github.com/hornbeamway/hornbeamway/pkg/proxy"
)

// recordingPacer counts the bytes of each priority class.
type recordingPacer struct {
	bytes [priority.NumClasses]atomic.Int64
	err   error
}

func (r *recordingPacer) Wait(_ context.Context, c priority.Class, n int) error {
	r.bytes[c].Add(int64(n))
	return r.err
}

// blockingPacer never grants a share: it waits until the context ends.
type blockingPacer struct{}

func (blockingPacer) Wait(ctx context.Context, _ priority.Class, _ int) error {
	<-ctx.Done()
	return ctx.Err()
}

var _ = Describe("the region link", func() {
	// Guards against bodies that cross the region link unpaced, or that are paced by the receiving VM.
	It("paces request bodies and answers at the sending end", func() {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = w.Write(make([]byte, 300_000))
		}))
		DeferCleanup(s.Close)
		entryPacer, remotePacer := &recordingPacer{}, &recordingPacer{}
		remote := newVM(GinkgoTB(), "e1", []string{s.Listener.Addr().String()}, func(o *proxy.Options) {
			o.Region, o.Pacer = "east", remotePacer
		})
		entry := newVM(GinkgoTB(), "e2", nil, func(o *proxy.Options) {
			o.Pacer = entryPacer
			o.Placement = &fakePlacement{targets: []proxy.Target{{Pool: testPool, DispatcherID: "e1",
				ForwardAddress: remote.forward, OtherRegion: true}}}
		})
		Expect(readBody(doRequest("PUT", entry.url("/large"), strings.Repeat("x", 200_000)))).To(HaveLen(300_000))
		Expect(entryPacer.bytes[priority.Bulk].Load()).To(BeEquivalentTo(200_000))
		Expect(remotePacer.bytes[priority.Bulk].Load()).To(BeEquivalentTo(300_000))
		Expect(readBody(doRequest("PUT", entry.url("/view"), "four"))).To(HaveLen(300_000))
		Expect(entryPacer.bytes[priority.Interactive].Load()).To(BeEquivalentTo(4))
		Expect(readBody(doRequest("PUT", remote.url("/large"), strings.Repeat("x", 200_000)))).To(HaveLen(300_000))
		Expect(remotePacer.bytes[priority.Bulk].Load()).To(BeEquivalentTo(300_000))

		entryPacer.err = context.DeadlineExceeded
		Expect(readProblem(doRequest("POST", entry.url("/orders"), "four", "Idempotency-Key", "k")).Outcome).To(Equal(problem.NotRun))
	})

	// Guards against operations that cross the region link to their owner unpaced, responses that are paced twice
	// because the owner reads them into memory first, and pacing towards owners in the same region.
	DescribeTable("paces operations whose owner is in the other region",
		func(ownerRegion string, responseSize int, pacedRequest, pacedResponse int64) {
			server := startBackend(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = w.Write(make([]byte, responseSize))
			})
			entryPacer, remotePacer := &recordingPacer{}, &recordingPacer{}
			owner := newVM(GinkgoTB(), "e1", []string{server}, func(o *proxy.Options) { o.Region, o.Pacer = ownerRegion, remotePacer })
			entry := newVM(GinkgoTB(), "e2", nil, func(o *proxy.Options) { o.Pacer = entryPacer })
			entry.ownerRegions["e1"] = ownerRegion
			Expect(readBody(doRequest("POST", entry.url("/orders"), "paint", "Idempotency-Key", issueTicket(owner)))).
				To(HaveLen(responseSize))
			Expect(entryPacer.bytes[priority.Transactional].Load()).To(Equal(pacedRequest))
			Expect(remotePacer.bytes[priority.Transactional].Load()).To(Equal(pacedResponse))
		},
		Entry("a small response", "east", 100, int64(5), int64(100)),
		Entry("a response that is stored", "east", 40_000, int64(5), int64(40_000)),
		Entry("a response that is too large to be stored", "east", 200_000, int64(5), int64(200_000)),
		Entry("the same region", "west", 100, int64(0), int64(0)),
	)

	// Guards against unpaced bytes to a backend server of the other region whose pool this VM dispatches itself.
	It("paces calls to backend servers of the other region", func() {
		entryPacer := &recordingPacer{}
		v := newVM(GinkgoTB(), "e1", []string{startBackend(func(w http.ResponseWriter, r *http.Request) {
			// The net/http server discards the rest of a request body once the response has begun.
			body, _ := io.ReadAll(r.Body)
			_, _ = w.Write(body)
		})}, func(o *proxy.Options) { o.Pacer = entryPacer })
		v.placement.targets = []proxy.Target{{Pool: testPool, DispatcherID: "e1", Local: true, OtherRegion: true}}
		Expect(readBody(doRequest("PUT", v.url("/view"), "four"))).To(Equal("four"))
		Expect(entryPacer.bytes[priority.Interactive].Load()).To(BeEquivalentTo(4))
		Expect(readBody(doRequest("PUT", v.url("/large"), strings.Repeat("x", 200_000)))).To(HaveLen(200_000))
		Expect(entryPacer.bytes[priority.Bulk].Load()).To(BeEquivalentTo(200_000))
	})

	// Guards against a call that waits for the region link beyond its deadline.
	It("stops waiting for the link at the deadline", func() {
		v := newVM(GinkgoTB(), "e1", []string{refusedAddress()}, func(o *proxy.Options) { o.Pacer = blockingPacer{} })
		v.placement.targets = []proxy.Target{{Pool: testPool, DispatcherID: "e1", Local: true, OtherRegion: true}}
		refused := readProblem(doRequest("PUT", v.url("/view"), "four", "X-Deadline-Ms", "50"))
		Expect(refused.Reason).To(Equal(problem.ReasonDeadline))
		Expect(refused.Outcome).To(Equal(problem.NotRun))
	})
})
