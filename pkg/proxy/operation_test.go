package proxy_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
	"github.com/hornbeamway/hornbeamway/pkg/proxy"
)

// issueTicket requests a ticket from a VM.
func issueTicket(v *vm) string {
	GinkgoHelper()
	body := readBody(doRequest("POST", v.url("/.well-known/hornbeamway/tickets?count=1"), ""))
	_, rest, ok := strings.Cut(body, `["`)
	Expect(ok).To(BeTrue(), body)
	key, _, _ := strings.Cut(rest, `"`)
	return key
}

var _ = Describe("operations", func() {
	// Guards against an operation that runs twice, or a repeat that gets a different response than the first request.
	It("runs the operation of a key once and replays its response through any VM", func() {
		var runs atomic.Int64
		address := startBackend(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Order", "7")
			w.WriteHeader(201)
			_, _ = fmt.Fprintf(w, "run %d", runs.Add(1))
		})
		owner := newVM(GinkgoTB(), "e1", []string{address}, nil)
		other := newVM(GinkgoTB(), "e2", []string{address}, nil)
		key := issueTicket(owner)
		for _, v := range []*vm{other, owner, other} {
			resp := doRequest("POST", v.url("/orders"), "paint", "Idempotency-Key", key)
			Expect(resp.StatusCode).To(Equal(201))
			Expect(resp.Header.Get("X-Order")).To(Equal("7"))
			Expect(resp.Header.Get("Operation-Ticket")).NotTo(BeEmpty())
			Expect(readBody(resp)).To(Equal("run 1"))
		}
		conflict := readProblem(doRequest("POST", other.url("/orders"), "stock", "Idempotency-Key", key))
		Expect(conflict.Status).To(Equal(422))
		Expect(conflict.Reason).To(Equal(problem.ReasonKeyConflict))
		Expect(conflict.Attempt).To(Equal(problem.NotRun))
		Expect(runs.Load()).To(BeEquivalentTo(1))
	})

	// Guards against a repeat that runs at the same time as the first attempt.
	It("refuses a repeat while the first attempt runs, and a missing key", func() {
		proceed := make(chan struct{})
		v := newVM(GinkgoTB(), "e1", []string{startBackend(func(http.ResponseWriter, *http.Request) { <-proceed })}, nil)
		first := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			first <- doRequest("POST", v.url("/orders"), "", "Idempotency-Key", "k").StatusCode
		}()
		Eventually(func() int { v.pools.mu.Lock(); defer v.pools.mu.Unlock(); return v.pools.openSlots }).Should(Equal(1))
		p := readProblem(doRequest("POST", v.url("/orders"), "", "Idempotency-Key", "k"))
		Expect(p.Status).To(Equal(409))
		Expect(p.Reason).To(Equal(problem.ReasonKeyInProgress))
		Expect(p.Outcome).To(Equal(problem.Unknown))
		Expect(p.Attempt).To(Equal(problem.NotRun))
		close(proceed)
		Eventually(first).Should(Receive(Equal(200)))

		resp := doRequest("POST", v.url("/orders"), "")
		missing := readProblem(resp)
		Expect(missing.Reason).To(Equal(problem.ReasonKeyRequired))
		Expect(missing.Outcome).To(Equal(problem.NotRun))
		offered := resp.Header.Get("Operation-Ticket")
		Expect(doRequest("POST", v.url("/orders"), "", "Idempotency-Key", offered).StatusCode).To(Equal(200))
	})

	// Guards against reporting an operation as not run although an earlier attempt may have been run.
	It("keeps the outcome open when the owner cannot be reached or nothing was looked up", func() {
		owner := newVM(GinkgoTB(), "e1", []string{refusedAddress()}, nil)
		v := newVM(GinkgoTB(), "e2", nil, nil)
		key := issueTicket(owner)
		refused := readProblem(doRequest("POST", v.url("/orders"), "", "Idempotency-Key", key))
		Expect(refused.Reason).To(Equal(problem.ReasonUpstream), "the owner reports failures of its own backend servers")
		Expect(refused.Outcome).To(Equal(problem.NotRun))
		owner.stop()
		for _, p := range []problem.Problem{
			readProblem(doRequest("POST", v.url("/orders"), "", "Idempotency-Key", key)),
			readProblem(doRequest("POST", v.url("/orders"), "", "Idempotency-Key", "k", "X-Deadline-Ms", "soon")),
			readProblem(doRequest("POST", v.url("/orders"), strings.Repeat("x", 2<<20), "Idempotency-Key", "k")),
		} {
			Expect(p.Outcome).To(Equal(problem.Unknown), "%+v", p)
			Expect(p.Attempt).To(Equal(problem.NotRun), "%+v", p)
		}
		Expect(readProblem(doRequest("POST", v.url("/orders"), "", "Idempotency-Key", key)).Reason).
			To(Equal(problem.ReasonOwnerUnreachable))
		unready := newVM(GinkgoTB(), "e3", nil, func(o *proxy.Options) { o.Configuration = fixedConfiguration{} })
		for _, key := range []string{"", "k"} {
			resp := doRequest("POST", unready.url("/orders"), "", "Idempotency-Key", key)
			Expect(resp.StatusCode).To(Equal(503))
			want := problem.NotRun
			if key != "" {
				want = problem.Unknown
			}
			Expect(readBody(resp)).To(ContainSubstring(fmt.Sprintf(`"outcome":%q,"attempt":"not_run"`, want)))
		}
	})

	// Guards against a large response that is truncated because only a part of it is buffered for repeats.
	It("forwards a large response completely and reports to a repeat that it was not stored", func() {
		address := startBackend(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 300_000)) })
		v := newVM(GinkgoTB(), "e1", []string{address}, nil)
		Expect(readBody(doRequest("POST", v.url("/orders"), "", "Idempotency-Key", "k"))).To(HaveLen(300_000))
		Expect(readProblem(doRequest("POST", v.url("/orders"), "", "Idempotency-Key", "k")).Reason).To(Equal(problem.ReasonKeyUnknown))
		Eventually(v.pools.resultsWhenIdle).Should(Equal([]dispatch.ResultClass{dispatch.Success}))
	})
})

var _ = Describe("hedging", func() {
	var (
		mu        sync.Mutex
		release   chan struct{}
		slow      string
		fast      string
		fastCalls atomic.Int64
	)
	BeforeEach(func() {
		release = make(chan struct{})
		fastCalls.Store(0)
		wait := release
		slow = startBackend(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-wait:
			case <-r.Context().Done():
			}
			_, _ = io.WriteString(w, "slow")
		})
		fast = startBackend(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			fastCalls.Add(1)
			w.Header().Set("X-Attempt", r.Header.Get("Hornbeamway-Attempt"))
			_, _ = io.WriteString(w, "fast")
		})
	})
	start := func(servers ...string) *vm {
		v := newVM(GinkgoTB(), "e1", servers, nil)
		v.pools.p95 = 20 * time.Millisecond
		return v
	}

	// Guards against a hedged attempt that does not replace the slow one, or leaves it running.
	It("returns the response of the second attempt and cancels the first", func() {
		v := start(slow, fast)
		resp := doRequest("GET", v.url("/hedged"), "")
		Expect(readBody(resp)).To(Equal("fast"))
		Expect(resp.Header.Get("X-Attempt")).To(Equal("1"))
		Eventually(v.pools.resultsWhenIdle).Should(ConsistOf(dispatch.Success, dispatch.Cancelled))
	})

	// Guards against losing the response of the first attempt because a hedged attempt was started.
	It("returns the response of the first attempt when it arrives first", func() {
		v := start(fast, slow)
		for range 5 {
			Expect(readBody(doRequest("GET", v.url("/hedged"), ""))).To(Equal("fast"))
		}
		v = start(slow, slow)
		result := make(chan string, 1)
		go func() { defer GinkgoRecover(); result <- readBody(doRequest("GET", v.url("/hedged"), "")) }()
		Eventually(func() int { v.pools.mu.Lock(); defer v.pools.mu.Unlock(); return v.pools.openSlots }).Should(Equal(2))
		close(release)
		Eventually(result).Should(Receive(Equal("slow")))
		Eventually(v.pools.resultsWhenIdle).Should(HaveLen(2))
	})

	// Guards against hedged attempts for operations or retries, and beyond the hedge budget.
	It("hedges only first attempts of routes with hedging, within the budget", func() {
		v := start(slow, fast)
		Expect(readProblem(doRequest("POST", v.url("/orders"), "", "Idempotency-Key", "k", "X-Deadline-Ms", "150")).Outcome).
			To(Equal(problem.Unknown))
		Expect(readProblem(doRequest("GET", v.url("/hedged"), "", "X-Deadline-Ms", "150", "Hornbeamway-Attempt", "1")).Reason).
			To(Equal(problem.ReasonDeadline))
		Expect(fastCalls.Load()).To(BeZero())
		// The token bucket starts with half of its burst of 20 and gains 0.05 tokens for each call.
		for range 14 {
			_ = doRequest("GET", v.url("/hedged"), "", "X-Deadline-Ms", "80")
		}
		Expect(fastCalls.Load()).To(And(BeNumerically(">=", 10), BeNumerically("<=", 11)))
	})
})
