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

// poolHarness drives a pool and checks its invariants after each step.
type poolHarness struct {
	pool    *dispatch.Pool
	now     time.Time
	waiting map[*dispatch.Waiter]bool
	leases  []*dispatch.Lease
	running map[string]int
}

func newPoolHarness(servers []dispatch.Server) *poolHarness {
	p := &poolHarness{pool: dispatch.NewPool(dispatch.PoolOptions{Shares: shares, QueueLimit: 20}), now: start,
		waiting: map[*dispatch.Waiter]bool{}, running: map[string]int{}}
	p.pool.Update(p.now, servers, shares)
	return p
}

func (p *poolHarness) answer(t rapid.TB) dispatch.ReplyFunc {
	return func(w *dispatch.Waiter, l *dispatch.Lease, refused *problem.Problem) {
		if !p.waiting[w] || (l == nil) == (refused == nil) {
			t.Fatalf("want exactly one answer to a waiting request: waiting %v, lease %v, problem %v", p.waiting[w], l, refused)
		}
		delete(p.waiting, w)
		if l == nil {
			return
		}
		if d := w.Request.Deadline; !d.IsZero() && !d.After(p.now) {
			t.Fatalf("expired request was granted")
		}
		p.leases = append(p.leases, l)
		id := l.State().Server().ID
		p.running[id]++
		if p.running[id] > l.State().Server().Slots {
			t.Fatalf("%d calls on server %s with %d slots", p.running[id], id, l.State().Server().Slots)
		}
	}
}

func (p *poolHarness) enqueue(r dispatch.Request) (*dispatch.Waiter, *problem.Problem) {
	w := &dispatch.Waiter{Request: r}
	refused := p.pool.Enqueue(p.now, w)
	if refused == nil {
		p.waiting[w] = true
	}
	return w, refused
}

func (p *poolHarness) finish(i int, r dispatch.Result) {
	l := p.leases[i]
	p.leases = append(p.leases[:i], p.leases[i+1:]...)
	p.running[l.State().Server().ID]--
	p.pool.Finish(p.now, l, r)
	p.pool.Finish(p.now, l, r) // a repeated release must have no effect
}

// Guards against more calls than slots on a server, requests with no answer or two answers, grants after the deadline, and
// more ejected servers than the limit, for any order of events and changes of the server list.
func TestPoolInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "servers")
		servers := fleet(n, rapid.IntRange(1, 3).Draw(t, "slots"))
		p := newPoolHarness(servers)
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				r := dispatch.Request{Class: priority.Class(rapid.IntRange(0, 2).Draw(t, "class")), Hedged: rapid.Bool().Draw(t, "hedged")}
				if ms := rapid.IntRange(0, 200).Draw(t, "deadline"); ms > 0 {
					r.Deadline = p.now.Add(time.Duration(ms) * time.Millisecond)
				}
				if rapid.Bool().Draw(t, "exclude") {
					r.Exclude = []string{"s0"}
				}
				p.enqueue(r)
				p.pool.Dispatch(p.now, p.answer(t))
			},
			"finish": func(t *rapid.T) {
				if len(p.leases) == 0 {
					return
				}
				class := rapid.SampledFrom([]dispatch.ResultClass{dispatch.Success, dispatch.Success, dispatch.Success,
					dispatch.Failed, dispatch.Failed, dispatch.Shed, dispatch.Refused, dispatch.Draining, dispatch.TimedOut, dispatch.NotSent,
					dispatch.Cancelled}).Draw(t, "result")
				p.finish(rapid.IntRange(0, len(p.leases)-1).Draw(t, "lease"),
					dispatch.Result{Class: class, Latency: time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond})
				p.pool.Dispatch(p.now, p.answer(t))
			},
			"cancel": func(t *rapid.T) {
				for w := range p.waiting {
					if !p.pool.Cancel(w) || p.pool.Cancel(w) {
						t.Fatalf("Cancel of a waiting request did not succeed exactly once")
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
				p.pool.Dispatch(p.now, p.answer(t))
			},
			"pass": func(t *rapid.T) {
				p.now = p.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				p.pool.Sweep(p.now, p.answer(t))
				p.pool.Dispatch(p.now, p.answer(t))
			},
			"": func(t *rapid.T) { p.check(t) },
		})
	})
}

func (p *poolHarness) check(t rapid.TB) {
	if p.pool.Queued() != len(p.waiting) {
		t.Fatalf("%d requests queued, %d requests without an answer", p.pool.Queued(), len(p.waiting))
	}
	eligible, ejected := 0, 0
	for _, s := range p.pool.Servers() {
		if s.Busy() != p.running[s.Server().ID] {
			t.Fatalf("server %s: %d busy slots counted, %d calls running", s.Server().ID, s.Busy(), p.running[s.Server().ID])
		}
		if s.Server().State != dispatch.StateLeaving && !s.Draining() {
			eligible++
			if s.Ejected() && !s.Refused() {
				ejected++
			}
		}
	}
	if limit := max(1, eligible*3/10); ejected > limit || eligible == 1 && ejected > 0 {
		t.Fatalf("%d of %d eligible servers ejected", ejected, eligible)
	}
}

// Guards against starvation of a class by the others.
var _ = It("serves every class within its share in a flood of all classes", func() {
	p := newPoolHarness(fleet(4, 3))
	var served [priority.NumClasses]int
	for range 4000 {
		for _, c := range priority.Classes() {
			p.enqueue(dispatch.Request{Class: c})
		}
		p.now = p.now.Add(2500 * time.Microsecond)
		if len(p.leases) > 0 {
			p.finish(0, dispatch.Result{Latency: 10 * time.Millisecond})
		}
		before := len(p.leases)
		p.pool.Dispatch(p.now, func(w *dispatch.Waiter, l *dispatch.Lease, refused *problem.Problem) {
			p.answer(GinkgoT())(w, l, refused)
			served[w.Request.Class]++
		})
		Expect(len(p.leases)).To(BeNumerically(">=", before))
	}
	total := float64(served[0] + served[1] + served[2])
	for c, share := range shares {
		Expect(float64(served[c])/total).To(BeNumerically(">=", share-0.02), "class %d", c)
	}
})

// runCalls finishes the given number of calls while ten are running or waiting, so that all servers are needed. It returns
// the number of finished calls by server.
func (p *poolHarness) runCalls(calls int, result func(id string) dispatch.Result) map[string]int {
	const concurrent = 10
	got := map[string]int{}
	for range calls {
		for len(p.leases)+len(p.waiting) < concurrent {
			p.enqueue(dispatch.Request{})
		}
		p.pool.Dispatch(p.now, p.answer(GinkgoT()))
		id := p.leases[0].State().Server().ID
		got[id]++
		r := result(id)
		p.now = p.now.Add(time.Millisecond)
		p.finish(0, r)
	}
	return got
}

func success(latency time.Duration) dispatch.Result { return dispatch.Result{Latency: latency} }

// Guards against a server that is ejected or that every waiting call is sent to, because this VM has no connection to it.
var _ = It("pauses a server to which this VM has no connection without counting an error", func() {
	p := newPoolHarness(fleet(2, 1))
	p.runCalls(400, func(string) dispatch.Result { return success(10 * time.Millisecond) })
	for len(p.leases) > 0 {
		p.finish(0, success(10*time.Millisecond))
	}
	p.now = p.now.Add(100 * time.Millisecond)
	notSent := map[string]int{}
	for range 1000 {
		for len(p.waiting) < 4 {
			p.enqueue(dispatch.Request{})
		}
		p.pool.Dispatch(p.now, p.answer(GinkgoT()))
		p.now = p.now.Add(time.Millisecond)
		for i := len(p.leases) - 1; i >= 0; i-- {
			if id := p.leases[i].State().Server().ID; id == "s0" {
				notSent[id]++
				p.finish(i, dispatch.Result{Class: dispatch.NotSent})
			} else {
				p.finish(i, success(time.Millisecond))
			}
		}
	}
	Expect(notSent["s0"]).To(And(BeNumerically(">=", 25), BeNumerically("<=", 50)), "1 s, one attempt per pause of 20 ms")
	for _, s := range p.pool.Servers() {
		Expect(s.Ejected()).To(BeFalse())
		Expect(s.ErrorRate()).To(BeZero())
	}
})

// Guards against slots that are wasted during a flood on requests that time out at their deadline.
var _ = DescribeTable("grants a slot to a request with enough time to run", func(left time.Duration, others bool, granted bool) {
	p := newPoolHarness(fleet(1, 1))
	p.runCalls(400, func(string) dispatch.Result { return success(10 * time.Millisecond) })
	for w := range p.waiting {
		p.pool.Cancel(w)
		delete(p.waiting, w)
	}
	p.enqueue(dispatch.Request{})
	p.pool.Dispatch(p.now, p.answer(GinkgoT()))
	// The wait does not exceed half of the deadline, so the queue is still served first in, first out.
	lateWaiter, refused := p.enqueue(dispatch.Request{Deadline: p.now.Add(2 * left)})
	Expect(refused).To(BeNil())
	if others {
		p.enqueue(dispatch.Request{Deadline: p.now.Add(time.Second)})
	}
	p.now = p.now.Add(left)
	p.finish(0, success(10*time.Millisecond))
	var got *dispatch.Lease
	p.pool.Dispatch(p.now, func(w *dispatch.Waiter, l *dispatch.Lease, refused *problem.Problem) {
		p.answer(GinkgoT())(w, l, refused)
		if w == lateWaiter {
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

// Guards against faulty servers that still get calls, and recovered servers that never return to rotation.
var _ = DescribeTable("takes a faulty server out and back",
	func(fault dispatch.Result, allowedCalls int) {
		p := newPoolHarness(fleet(4, 3))
		healthy := func(string) dispatch.Result { return success(10 * time.Millisecond) }
		p.runCalls(400, healthy)
		duringFault := p.runCalls(2000, func(id string) dispatch.Result {
			if id == "s0" {
				return fault
			}
			return success(10 * time.Millisecond)
		})
		Expect(duringFault["s0"]).To(BeNumerically("<=", allowedCalls))
		p.now = p.now.Add(31 * time.Second)
		p.runCalls(4000, healthy) // 4 s
		afterRecovery := p.runCalls(2000, healthy)
		Expect(afterRecovery["s0"]).To(BeNumerically(">=", 300))
	},
	Entry("fails fast", dispatch.Result{Class: dispatch.Failed, Latency: time.Millisecond}, 10),
	Entry("refuses connections", dispatch.Result{Class: dispatch.Refused}, 3+1), // calls running at first, one trial after 1 s
	Entry("is 20 times slower", success(200*time.Millisecond), 10),
)

// Guards against new calls to a server that is draining or leaving.
var _ = DescribeTable("gives a server that goes away nothing new",
	func(startLeaving func(p *poolHarness, servers []dispatch.Server)) {
		servers := fleet(2, 3)
		p := newPoolHarness(servers)
		startLeaving(p, servers)
		got := p.runCalls(2000, func(string) dispatch.Result { return success(10 * time.Millisecond) })
		Expect(got).NotTo(HaveKey("s0"))
	},
	Entry("listed as leaving", func(p *poolHarness, servers []dispatch.Server) {
		servers[0].State = dispatch.StateLeaving
		p.pool.Update(p.now, servers, shares)
	}),
	Entry("draining according to its response, idle according to its load report", func(p *poolHarness, _ []dispatch.Server) {
		p.runCalls(4, func(id string) dispatch.Result {
			if id == "s0" {
				return dispatch.Result{Class: dispatch.Draining}
			}
			return success(10 * time.Millisecond)
		})
		p.pool.Report(p.now, "s0", dispatch.LoadReport{Slots: 3, At: p.now})
	}),
	Entry("draining according to a load report newer than its responses", func(p *poolHarness, _ []dispatch.Server) {
		p.pool.Report(p.now, "s0", dispatch.LoadReport{Draining: true, At: p.now})
	}),
)

// Guards against requests that wait although no slot becomes free before their deadline.
var _ = It("refuses a request whose expected wait exceeds its deadline", func() {
	p := newPoolHarness(fleet(1, 1))
	for range 5 {
		p.enqueue(dispatch.Request{})
	}
	for range 2 {
		p.pool.Dispatch(p.now, p.answer(GinkgoT()))
		p.now = p.now.Add(100 * time.Millisecond)
		p.finish(0, success(100*time.Millisecond))
	}
	p.pool.Dispatch(p.now, p.answer(GinkgoT()))
	_, refused := p.enqueue(dispatch.Request{Deadline: p.now.Add(150 * time.Millisecond)})
	Expect(refused).To(HaveField("Reason", problem.ReasonDeadlineTooShort))
	_, refused = p.enqueue(dispatch.Request{Deadline: p.now.Add(250 * time.Millisecond)})
	Expect(refused).To(BeNil())
})

// Guards against a class that holds all slots, which are not preempted, when a more urgent call arrives or others wait.
var _ = DescribeTable("limits the slots that a class holds",
	func(first, then []priority.Class, want [priority.NumClasses]int) {
		p := newPoolHarness(fleet(10, 1))
		var held [priority.NumClasses]int
		for _, classes := range [][]priority.Class{first, then} {
			for _, c := range classes {
				for range 10 {
					p.enqueue(dispatch.Request{Class: c})
				}
			}
			p.pool.Dispatch(p.now, func(w *dispatch.Waiter, l *dispatch.Lease, refused *problem.Problem) {
				p.answer(GinkgoT())(w, l, refused)
				held[w.Request.Class]++
			})
		}
		Expect(held).To(Equal(want))
	},
	Entry("bulk alone: half", []priority.Class{priority.Bulk}, nil, [3]int{0, 0, 5}),
	Entry("interactive alone: all", []priority.Class{priority.Interactive}, nil, [3]int{10, 0, 0}),
	Entry("interactive while bulk waits: all but the share of bulk",
		[]priority.Class{priority.Interactive, priority.Bulk}, nil, [3]int{9, 0, 1}),
	Entry("bulk first, then interactive: the rest",
		[]priority.Class{priority.Bulk}, []priority.Class{priority.Interactive}, [3]int{5, 0, 5}),
	Entry("bulk first, then transactional: the rest",
		[]priority.Class{priority.Bulk}, []priority.Class{priority.Transactional}, [3]int{0, 5, 5}),
)
