package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
)

// pooled drives a pool and checks its invariants after each step.
type pooled struct {
	pool    *dispatch.Pool
	now     time.Time
	waiting map[*dispatch.Waiter]bool
	leases  []*dispatch.Lease
	running map[string]int
}

func newPooled(servers []dispatch.Server) *pooled {
	p := &pooled{pool: dispatch.NewPool(dispatch.PoolOptions{Shares: shares, QueueLimit: 20}), now: start,
		waiting: map[*dispatch.Waiter]bool{}, running: map[string]int{}}
	p.pool.Update(p.now, servers, shares)
	return p
}

func (p *pooled) decide(t rapid.TB) dispatch.Decide {
	return func(w *dispatch.Waiter, l *dispatch.Lease, refused *problem.Problem) {
		if !p.waiting[w] || (l == nil) == (refused == nil) {
			t.Fatalf("not exactly one answer: waiting %v, lease %v, problem %v", p.waiting[w], l, refused)
		}
		delete(p.waiting, w)
		if l == nil {
			return
		}
		if d := w.Request.Deadline; !d.IsZero() && !d.After(p.now) {
			t.Fatalf("expired request was granted")
		}
		p.leases = append(p.leases, l)
		id := l.Server().Server().ID
		p.running[id]++
		if p.running[id] > l.Server().Server().Slots {
			t.Fatalf("%d calls on server %s with %d slots", p.running[id], id, l.Server().Server().Slots)
		}
	}
}

func (p *pooled) offer(r dispatch.Request) (*dispatch.Waiter, *problem.Problem) {
	w := &dispatch.Waiter{Request: r}
	refused := p.pool.Enqueue(p.now, w)
	if refused == nil {
		p.waiting[w] = true
	}
	return w, refused
}

func (p *pooled) finish(i int, r dispatch.Result) {
	l := p.leases[i]
	p.leases = append(p.leases[:i], p.leases[i+1:]...)
	p.running[l.Server().Server().ID]--
	p.pool.Finish(p.now, l, r)
	p.pool.Finish(p.now, l, r) // a repeated release must change nothing
}

// Guards against more calls than slots on a server, requests with no answer or two, grants after the deadline, and more
// ejected servers than the limit, over any order of events with changing lists.
func TestPoolInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "servers")
		servers := fleet(n, rapid.IntRange(1, 3).Draw(t, "slots"))
		p := newPooled(servers)
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				r := dispatch.Request{Class: priority.Class(rapid.IntRange(0, 2).Draw(t, "class")), Hedged: rapid.Bool().Draw(t, "hedged")}
				if ms := rapid.IntRange(0, 200).Draw(t, "deadline"); ms > 0 {
					r.Deadline = p.now.Add(time.Duration(ms) * time.Millisecond)
				}
				if rapid.Bool().Draw(t, "exclude") {
					r.Exclude = []string{"s0"}
				}
				p.offer(r)
				p.pool.Dispatch(p.now, p.decide(t))
			},
			"finish": func(t *rapid.T) {
				if len(p.leases) == 0 {
					return
				}
				class := rapid.SampledFrom([]dispatch.ResultClass{dispatch.Success, dispatch.Success, dispatch.Success,
					dispatch.Failed, dispatch.Failed, dispatch.Shed, dispatch.Refused, dispatch.Draining, dispatch.TimedOut, dispatch.Unsent,
					dispatch.Cancelled}).Draw(t, "result")
				p.finish(rapid.IntRange(0, len(p.leases)-1).Draw(t, "lease"),
					dispatch.Result{Class: class, Latency: time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond})
				p.pool.Dispatch(p.now, p.decide(t))
			},
			"cancel": func(t *rapid.T) {
				for w := range p.waiting {
					if !p.pool.Cancel(w) || p.pool.Cancel(w) {
						t.Fatalf("cancel of a waiting request did not work exactly once")
					}
					delete(p.waiting, w)
					return
				}
			},
			"update": func(t *rapid.T) {
				listed := append([]dispatch.Server{}, servers[:rapid.IntRange(0, n).Draw(t, "listed")]...)
				if len(listed) > 0 && rapid.Bool().Draw(t, "leaving") {
					listed[0].State = dispatch.StateLeaving
				}
				p.pool.Update(p.now, listed, shares)
				p.pool.Dispatch(p.now, p.decide(t))
			},
			"pass": func(t *rapid.T) {
				p.now = p.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				p.pool.Sweep(p.now, p.decide(t))
				p.pool.Dispatch(p.now, p.decide(t))
			},
			"": func(t *rapid.T) { p.check(t) },
		})
	})
}

func (p *pooled) check(t rapid.TB) {
	if p.pool.Queued() != len(p.waiting) {
		t.Fatalf("%d requests queued, %d without an answer", p.pool.Queued(), len(p.waiting))
	}
	open, ejected := 0, 0
	for _, s := range p.pool.Servers() {
		if s.Busy() != p.running[s.Server().ID] {
			t.Fatalf("server %s counts %d calls, has %d", s.Server().ID, s.Busy(), p.running[s.Server().ID])
		}
		if s.Server().State != dispatch.StateLeaving && !s.Draining() {
			open++
			if s.Ejected() && !s.Refused() {
				ejected++
			}
		}
	}
	if limit := max(1, open*3/10); ejected > limit || open == 1 && ejected > 0 {
		t.Fatalf("%d of %d servers ejected", ejected, open)
	}
}

// Guards against a class that waits for ever behind the others (no starvation).
var _ = It("serves every class within its share in a flood of all classes", func() {
	p := newPooled(fleet(4, 3))
	var served [priority.NumClasses]int
	for range 4000 {
		for _, c := range priority.Classes() {
			p.offer(dispatch.Request{Class: c})
		}
		p.now = p.now.Add(2500 * time.Microsecond)
		if len(p.leases) > 0 {
			p.finish(0, dispatch.Result{Latency: 10 * time.Millisecond})
		}
		before := len(p.leases)
		p.pool.Dispatch(p.now, func(w *dispatch.Waiter, l *dispatch.Lease, refused *problem.Problem) {
			p.decide(GinkgoT())(w, l, refused)
			served[w.Request.Class]++
		})
		Expect(len(p.leases)).To(BeNumerically(">=", before))
	}
	total := float64(served[0] + served[1] + served[2])
	for c, share := range shares {
		Expect(float64(served[c])/total).To(BeNumerically(">=", share-0.02), "class %d", c)
	}
})

// settle finishes the given number of calls while ten are offered at once, so that all servers are needed. It returns
// the number of calls that each server finished.
func (p *pooled) settle(calls int, result func(id string) dispatch.Result) map[string]int {
	const offered = 10
	got := map[string]int{}
	for range calls {
		for len(p.leases)+len(p.waiting) < offered {
			p.offer(dispatch.Request{})
		}
		p.pool.Dispatch(p.now, p.decide(GinkgoT()))
		id := p.leases[0].Server().Server().ID
		got[id]++
		r := result(id)
		p.now = p.now.Add(time.Millisecond)
		p.finish(0, r)
	}
	return got
}

func ok(latency time.Duration) dispatch.Result { return dispatch.Result{Latency: latency} }

// Guards against a server that is ejected, or tried by each waiting call, because this VM has no connection for it.
var _ = It("pauses a server for which this VM has no connection and counts no error", func() {
	p := newPooled(fleet(2, 1))
	p.settle(400, func(string) dispatch.Result { return ok(10 * time.Millisecond) })
	for len(p.leases) > 0 {
		p.finish(0, ok(10*time.Millisecond))
	}
	p.now = p.now.Add(100 * time.Millisecond)
	unsent := map[string]int{}
	for range 1000 {
		for len(p.waiting) < 4 {
			p.offer(dispatch.Request{})
		}
		p.pool.Dispatch(p.now, p.decide(GinkgoT()))
		p.now = p.now.Add(time.Millisecond)
		for i := len(p.leases) - 1; i >= 0; i-- {
			if id := p.leases[i].Server().Server().ID; id == "s0" {
				unsent[id]++
				p.finish(i, dispatch.Result{Class: dispatch.Unsent})
			} else {
				p.finish(i, ok(time.Millisecond))
			}
		}
	}
	Expect(unsent["s0"]).To(And(BeNumerically(">=", 25), BeNumerically("<=", 50)), "1 s, one attempt per pause of 20 ms")
	for _, s := range p.pool.Servers() {
		Expect(s.Ejected()).To(BeFalse())
		Expect(s.ErrorRate()).To(BeZero())
	}
})

// Guards against slots that are spent in a flood on requests that are cut at their deadline.
var _ = DescribeTable("gives a slot to a request that has time to run", func(left time.Duration, others bool, granted bool) {
	p := newPooled(fleet(1, 1))
	p.settle(400, func(string) dispatch.Result { return ok(10 * time.Millisecond) })
	for w := range p.waiting {
		p.pool.Cancel(w)
		delete(p.waiting, w)
	}
	p.offer(dispatch.Request{})
	p.pool.Dispatch(p.now, p.decide(GinkgoT()))
	late, refused := p.offer(dispatch.Request{Deadline: p.now.Add(2 * left)}) // not yet last in, first out
	Expect(refused).To(BeNil())
	if others {
		p.offer(dispatch.Request{Deadline: p.now.Add(time.Second)})
	}
	p.now = p.now.Add(left)
	p.finish(0, ok(10*time.Millisecond))
	var got *dispatch.Lease
	p.pool.Dispatch(p.now, func(w *dispatch.Waiter, l *dispatch.Lease, refused *problem.Problem) {
		p.decide(GinkgoT())(w, l, refused)
		if w == late {
			got = l
		}
	})
	Expect(got != nil).To(Equal(granted))
	Expect(p.leases).To(HaveLen(1), "the slot is used")
},
	Entry("enough time", 60*time.Millisecond, true, true),
	Entry("too little time, others wait", 15*time.Millisecond, true, false),
	Entry("too little time, alone", 15*time.Millisecond, false, true),
)

// Guards against servers that get calls although they cannot serve them, and servers that never return.
var _ = DescribeTable("takes a faulty server out and back",
	func(fault dispatch.Result, allowedCalls int) {
		p := newPooled(fleet(4, 3))
		healthy := func(string) dispatch.Result { return ok(10 * time.Millisecond) }
		p.settle(400, healthy)
		faulty := p.settle(2000, func(id string) dispatch.Result {
			if id == "s0" {
				return fault
			}
			return ok(10 * time.Millisecond)
		})
		Expect(faulty["s0"]).To(BeNumerically("<=", allowedCalls))
		p.now = p.now.Add(31 * time.Second)
		p.settle(4000, healthy) // 4 s
		again := p.settle(2000, healthy)
		Expect(again["s0"]).To(BeNumerically(">=", 300))
	},
	Entry("fails fast", dispatch.Result{Class: dispatch.Failed, Latency: time.Millisecond}, 10),
	Entry("refuses connections", dispatch.Result{Class: dispatch.Refused}, 3+1), // running at the start, and one trial after 1 s
	Entry("is 20 times slower", ok(200*time.Millisecond), 10),
)

// Guards against new work for a server that is going away.
var _ = DescribeTable("gives a server that goes away nothing new",
	func(leave func(p *pooled, servers []dispatch.Server)) {
		servers := fleet(2, 3)
		p := newPooled(servers)
		leave(p, servers)
		got := p.settle(2000, func(string) dispatch.Result { return ok(10 * time.Millisecond) })
		Expect(got).NotTo(HaveKey("s0"))
	},
	Entry("listed as leaving", func(p *pooled, servers []dispatch.Server) {
		servers[0].State = dispatch.StateLeaving
		p.pool.Update(p.now, servers, shares)
	}),
	Entry("its own drain answer, against a report that says idle", func(p *pooled, _ []dispatch.Server) {
		p.settle(4, func(id string) dispatch.Result {
			if id == "s0" {
				return dispatch.Result{Class: dispatch.Draining}
			}
			return ok(10 * time.Millisecond)
		})
		p.pool.Report(p.now, "s0", dispatch.LoadReport{Slots: 3, At: p.now})
	}),
	Entry("a report of drain newer than its answers", func(p *pooled, _ []dispatch.Server) {
		p.pool.Report(p.now, "s0", dispatch.LoadReport{Draining: true, At: p.now})
	}),
)

// Guards against requests that wait for a slot that will not come in time.
var _ = It("refuses a request whose expected wait exceeds its deadline", func() {
	p := newPooled(fleet(1, 1))
	for range 5 {
		p.offer(dispatch.Request{})
	}
	for range 2 {
		p.pool.Dispatch(p.now, p.decide(GinkgoT()))
		p.now = p.now.Add(100 * time.Millisecond)
		p.finish(0, ok(100*time.Millisecond))
	}
	p.pool.Dispatch(p.now, p.decide(GinkgoT()))
	_, refused := p.offer(dispatch.Request{Deadline: p.now.Add(150 * time.Millisecond)})
	Expect(refused).To(HaveField("Reason", problem.ReasonDeadlineTooShort))
	_, refused = p.offer(dispatch.Request{Deadline: p.now.Add(250 * time.Millisecond)})
	Expect(refused).To(BeNil())
})

// Guards against a class that takes all slots, which are not preempted, before an urgent call arrives or while others wait.
var _ = DescribeTable("limits the slots that a class holds",
	func(first, then []priority.Class, want [priority.NumClasses]int) {
		p := newPooled(fleet(10, 1))
		var held [priority.NumClasses]int
		for _, classes := range [][]priority.Class{first, then} {
			for _, c := range classes {
				for range 10 {
					p.offer(dispatch.Request{Class: c})
				}
			}
			p.pool.Dispatch(p.now, func(w *dispatch.Waiter, l *dispatch.Lease, refused *problem.Problem) {
				p.decide(GinkgoT())(w, l, refused)
				held[w.Request.Class]++
			})
		}
		Expect(held).To(Equal(want))
	},
	Entry("bulk alone: half", []priority.Class{priority.Bulk}, nil, [3]int{0, 0, 5}),
	Entry("interactive alone: all", []priority.Class{priority.Interactive}, nil, [3]int{10, 0, 0}),
	Entry("interactive while bulk waits: all but the share of bulk",
		[]priority.Class{priority.Interactive, priority.Bulk}, nil, [3]int{9, 0, 1}),
	Entry("bulk first, then interactive: the rest", []priority.Class{priority.Bulk}, []priority.Class{priority.Interactive}, [3]int{5, 0, 5}),
	Entry("bulk first, then transactional: the rest", []priority.Class{priority.Bulk}, []priority.Class{priority.Transactional}, [3]int{0, 5, 5}),
)
