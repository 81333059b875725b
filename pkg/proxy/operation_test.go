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

// ticket takes a ticket from a VM.
func ticket(v *vm) string {
	GinkgoHelper()
	body := text(do("POST", v.url("/.well-known/hornbeamway/tickets?count=1"), ""))
	_, rest, ok := strings.Cut(body, `["`)
	Expect(ok).To(BeTrue(), body)
	key, _, _ := strings.Cut(rest, `"`)
	return key
}

var _ = Describe("operations", func() {
	// Guards against an operation that runs twice, or a repeat that gets another answer than the first.
	It("runs a key once and replays its answer over any VM", func() {
		var runs atomic.Int64
		address := backend(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Order", "7")
			w.WriteHeader(201)
			_, _ = fmt.Fprintf(w, "run %d", runs.Add(1))
		})
		owner := newVM(GinkgoTB(), "e1", []string{address}, nil)
		other := newVM(GinkgoTB(), "e2", []string{address}, nil)
		key := ticket(owner)
		for _, v := range []*vm{other, owner, other} {
			resp := do("POST", v.url("/orders"), "paint", "Idempotency-Key", key)
			Expect(resp.StatusCode).To(Equal(201))
			Expect(resp.Header.Get("X-Order")).To(Equal("7"))
			Expect(resp.Header.Get("Operation-Ticket")).NotTo(BeEmpty())
			Expect(text(resp)).To(Equal("run 1"))
		}
		conflict := told(do("POST", other.url("/orders"), "stock", "Idempotency-Key", key))
		Expect(conflict.Status).To(Equal(422))
		Expect(conflict.Reason).To(Equal(problem.ReasonKeyConflict))
		Expect(conflict.Attempt).To(Equal(problem.NotRun))
		Expect(runs.Load()).To(BeEquivalentTo(1))
	})

	// Guards against a repeat that runs while the first attempt does.
	It("refuses a repeat in progress and a missing key", func() {
		proceed := make(chan struct{})
		v := newVM(GinkgoTB(), "e1", []string{backend(func(http.ResponseWriter, *http.Request) { <-proceed })}, nil)
		first := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			first <- do("POST", v.url("/orders"), "", "Idempotency-Key", "k").StatusCode
		}()
		Eventually(func() int { v.pools.mu.Lock(); defer v.pools.mu.Unlock(); return v.pools.open }).Should(Equal(1))
		p := told(do("POST", v.url("/orders"), "", "Idempotency-Key", "k"))
		Expect(p.Status).To(Equal(409))
		Expect(p.Reason).To(Equal(problem.ReasonKeyInProgress))
		Expect(p.Outcome).To(Equal(problem.Unknown))
		Expect(p.Attempt).To(Equal(problem.NotRun))
		close(proceed)
		Eventually(first).Should(Receive(Equal(200)))

		resp := do("POST", v.url("/orders"), "")
		missing := told(resp)
		Expect(missing.Reason).To(Equal(problem.ReasonKeyRequired))
		Expect(missing.Outcome).To(Equal(problem.NotRun))
		offered := resp.Header.Get("Operation-Ticket")
		Expect(do("POST", v.url("/orders"), "", "Idempotency-Key", offered).StatusCode).To(Equal(200))
	})

	// Guards against telling that an operation was not run while an earlier attempt may have been.
	It("keeps the outcome open when the owner cannot be reached or nothing was looked up", func() {
		owner := newVM(GinkgoTB(), "e1", []string{refusedAddress()}, nil)
		v := newVM(GinkgoTB(), "e2", nil, nil)
		key := ticket(owner)
		refused := told(do("POST", v.url("/orders"), "", "Idempotency-Key", key))
		Expect(refused.Reason).To(Equal(problem.ReasonUpstream), "the owner answers for its own backend servers")
		Expect(refused.Outcome).To(Equal(problem.NotRun))
		owner.stop()
		for _, p := range []problem.Problem{
			told(do("POST", v.url("/orders"), "", "Idempotency-Key", key)),
			told(do("POST", v.url("/orders"), "", "Idempotency-Key", "k", "X-Deadline-Ms", "soon")),
			told(do("POST", v.url("/orders"), strings.Repeat("x", 2<<20), "Idempotency-Key", "k")),
		} {
			Expect(p.Outcome).To(Equal(problem.Unknown), "%+v", p)
			Expect(p.Attempt).To(Equal(problem.NotRun), "%+v", p)
		}
		Expect(told(do("POST", v.url("/orders"), "", "Idempotency-Key", key)).Reason).To(Equal(problem.ReasonOwnerUnreachable))
		unready := newVM(GinkgoTB(), "e3", nil, func(o *proxy.Options) { o.Configuration = fixedConfiguration{} })
		for _, key := range []string{"", "k"} {
			resp := do("POST", unready.url("/orders"), "", "Idempotency-Key", key)
			Expect(resp.StatusCode).To(Equal(503))
			want := problem.NotRun
			if key != "" {
				want = problem.Unknown
			}
			Expect(text(resp)).To(ContainSubstring(fmt.Sprintf(`"outcome":%q,"attempt":"not_run"`, want)))
		}
	})

	// Guards against a large answer that is cut because only a part of it is kept for repeats.
	It("passes a large answer whole and tells a repeat that it was not kept", func() {
		address := backend(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 300_000)) })
		v := newVM(GinkgoTB(), "e1", []string{address}, nil)
		Expect(text(do("POST", v.url("/orders"), "", "Idempotency-Key", "k"))).To(HaveLen(300_000))
		Expect(told(do("POST", v.url("/orders"), "", "Idempotency-Key", "k")).Reason).To(Equal(problem.ReasonKeyUnknown))
		Eventually(v.pools.finished).Should(Equal([]dispatch.ResultClass{dispatch.Success}))
	})
})

var _ = Describe("hedging", func() {
	var (
		mu      sync.Mutex
		hold    chan struct{}
		slow    string
		fast    string
		fastHit atomic.Int64
	)
	BeforeEach(func() {
		hold = make(chan struct{})
		fastHit.Store(0)
		held := hold
		slow = backend(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-held:
			case <-r.Context().Done():
			}
			_, _ = io.WriteString(w, "slow")
		})
		fast = backend(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			fastHit.Add(1)
			w.Header().Set("X-Attempt", r.Header.Get("Hornbeamway-Attempt"))
			_, _ = io.WriteString(w, "fast")
		})
	})
	start := func(servers ...string) *vm {
		v := newVM(GinkgoTB(), "e1", servers, nil)
		v.pools.p95 = 20 * time.Millisecond
		return v
	}

	// Guards against a hedge that does not answer for the slow attempt, or leaves it running.
	It("takes the answer of the second attempt and cancels the first", func() {
		v := start(slow, fast)
		resp := do("GET", v.url("/hedged"), "")
		Expect(text(resp)).To(Equal("fast"))
		Expect(resp.Header.Get("X-Attempt")).To(Equal("1"))
		Eventually(v.pools.finished).Should(ConsistOf(dispatch.Success, dispatch.Cancelled))
	})

	// Guards against an answer of the first attempt that is lost to its hedge.
	It("takes the answer of the first attempt when it comes first", func() {
		v := start(fast, slow)
		for range 5 {
			Expect(text(do("GET", v.url("/hedged"), ""))).To(Equal("fast"))
		}
		v = start(slow, slow)
		result := make(chan string, 1)
		go func() { defer GinkgoRecover(); result <- text(do("GET", v.url("/hedged"), "")) }()
		Eventually(func() int { v.pools.mu.Lock(); defer v.pools.mu.Unlock(); return v.pools.open }).Should(Equal(2))
		close(hold)
		Eventually(result).Should(Receive(Equal("slow")))
		Eventually(v.pools.finished).Should(HaveLen(2))
	})

	// Guards against hedges for operations or second attempts, and beyond the budget.
	It("hedges first attempts of its routes only, within the budget", func() {
		v := start(slow, fast)
		Expect(told(do("POST", v.url("/orders"), "", "Idempotency-Key", "k", "X-Deadline-Ms", "150")).Outcome).To(Equal(problem.Unknown))
		Expect(told(do("GET", v.url("/hedged"), "", "X-Deadline-Ms", "150", "Hornbeamway-Attempt", "1")).Reason).
			To(Equal(problem.ReasonDeadline))
		Expect(fastHit.Load()).To(BeZero())
		// The bucket starts with half of its burst of 20 and gains 0.05 for each call.
		for range 14 {
			_ = do("GET", v.url("/hedged"), "", "X-Deadline-Ms", "80")
		}
		Expect(fastHit.Load()).To(And(BeNumerically(">=", 10), BeNumerically("<=", 11)))
	})
})
