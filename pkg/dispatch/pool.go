package dispatch

import (
	"time"

	"github.com/hornbeamway/hornbeamway/pkg/priority"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
)

// defaultQueueLimit bounds the waiting requests of one class in one pool. The time limit of the admission is reached
// earlier in most pools; this bound limits memory.
const defaultQueueLimit = 4096

// PoolOptions configures a pool.
type PoolOptions struct {
	Key    PoolKey
	Shares priority.Shares
	// QueueLimit is the longest queue of one class. Default 4096.
	QueueLimit int
	// Selection is the policy. Default LowestScore.
	Selection Selection
}

// Pool decides for the servers of one service in one data centre. It is pure and not safe for concurrent use.
type Pool struct {
	key        PoolKey
	shares     priority.Shares
	selection  Selection
	servers    []*ServerState
	byID       map[string]*ServerState
	queue      *priority.Scheduler[*Waiter]
	held       [priority.NumClasses]int
	latency    [priority.NumClasses]latencies
	reviewedAt time.Time
	candidates []*ServerState
}

// Waiter is a request in the queue of a pool. It gets exactly one decision, or is cancelled.
type Waiter struct {
	Request Request
	handle  priority.Handle
	queued  bool
	reply   chan reply // used by Runner
}

// Lease is a slot that is held.
type Lease struct {
	state   *ServerState
	server  Server // as described when the slot was granted
	class   priority.Class
	granted time.Time
	done    bool
}

// Server returns the state of the server that the slot belongs to.
func (l *Lease) Server() *ServerState { return l.state }

// Decide receives the answer to a waiting request: a lease or a problem, never both.
type Decide func(w *Waiter, l *Lease, p *problem.Problem)

// NewPool returns a pool without servers.
func NewPool(o PoolOptions) *Pool {
	if o.QueueLimit == 0 {
		o.QueueLimit = defaultQueueLimit
	}
	if o.Selection == nil {
		o.Selection = &LowestScore{}
	}
	return &Pool{
		key:       o.Key,
		shares:    o.Shares,
		selection: o.Selection,
		byID:      map[string]*ServerState{},
		queue:     priority.NewScheduler[*Waiter](o.Shares, o.QueueLimit),
	}
}

// Key returns the pool's name.
func (p *Pool) Key() PoolKey { return p.key }

// Servers returns the states of the listed servers.
func (p *Pool) Servers() []*ServerState { return p.servers }

// Update replaces the list of servers and the shares. A server that is no longer listed gets nothing new; its running
// calls stay counted, also when it is listed again.
func (p *Pool) Update(now time.Time, servers []Server, shares priority.Shares) {
	p.shares = shares
	p.queue.SetShares(shares)
	for _, s := range p.servers {
		s.listed = false
	}
	p.servers = p.servers[:0]
	for _, described := range servers {
		p.servers = append(p.servers, p.list(now, described))
	}
	for id, s := range p.byID {
		if !s.listed && s.busy == 0 {
			delete(p.byID, id)
		}
	}
	p.reviewedAt = time.Time{}
}

func (p *Pool) list(now time.Time, described Server) *ServerState {
	s := p.byID[described.ID]
	switch {
	case s == nil:
		s = newServerState(now, described)
		p.byID[described.ID] = s
	case s.server.Address != described.Address || s.server.State == StateLeaving && described.State != StateLeaving:
		// Another process than before: nothing that was learnt holds, except the calls still running.
		busy := s.busy
		*s = *newServerState(now, described)
		s.busy = busy
	}
	s.server, s.listed = described, true
	return s
}

// Enqueue admits a request to the queue, or refuses it as not run.
func (p *Pool) Enqueue(now time.Time, w *Waiter) *problem.Problem {
	r := &w.Request
	if !r.Deadline.IsZero() && !r.Deadline.After(now) {
		return expired()
	}
	if int(r.Class) >= priority.NumClasses {
		return refusal(problem.ReasonBadRequest, "unknown priority class", 0)
	}
	p.review(now)
	if !p.usable() {
		return refusal(problem.ReasonNoServer, "no server of the pool takes calls", trialInterval)
	}
	if wait := p.expectedWait(r.Class); !r.Deadline.IsZero() && wait > r.Deadline.Sub(now) {
		return refusal(problem.ReasonDeadlineTooShort, "the expected wait exceeds the time left", wait)
	}
	handle, ok := p.queue.PushUntil(r.Class, w, now, r.Deadline)
	if !ok {
		return refusal(problem.ReasonQueueFull, "the queue is full", p.expectedWait(r.Class))
	}
	w.handle, w.queued = handle, true
	return nil
}

// Cancel takes a request out of the queue. It returns false when the request is not queued.
func (p *Pool) Cancel(w *Waiter) bool {
	if !w.queued || !p.queue.Remove(w.handle) {
		return false
	}
	w.queued = false
	return true
}

// Queued returns the number of waiting requests.
func (p *Pool) Queued() int {
	n := 0
	for _, c := range priority.Classes() {
		n += p.queue.Len(c)
	}
	return n
}

// Dispatch hands free slots to waiting requests and drops expired requests as they come up.
func (p *Pool) Dispatch(now time.Time, decide Decide) {
	p.review(now)
	for p.Queued() > 0 {
		if !p.usable() {
			p.refuseAll(now, decide)
			return
		}
		found := p.survey(now)
		w, c, ok := p.queue.PopAllowed(now, p.allowed(found))
		if !ok {
			return
		}
		w.queued = false
		if lease, refused := p.serve(now, w, c, found.lastResort); refused != nil {
			p.queue.Charge(c, 0)
			decide(w, nil, refused)
		} else {
			decide(w, lease, nil)
		}
	}
}

// Sweep drops all expired requests. Dispatch finds them only as they come up.
func (p *Pool) Sweep(now time.Time, decide Decide) {
	p.queue.Sweep(now, func(w *Waiter) {
		w.queued = false
		decide(w, nil, expired())
	})
}

func (p *Pool) refuseAll(now time.Time, decide Decide) {
	for {
		w, c, ok := p.queue.Pop(now)
		if !ok {
			return
		}
		w.queued = false
		p.queue.Charge(c, 0)
		decide(w, nil, refusal(problem.ReasonNoServer, "no server of the pool takes calls", trialInterval))
	}
}

// serve grants a slot to w. PopAllowed was called with the classes for which a server is free.
func (p *Pool) serve(now time.Time, w *Waiter, c priority.Class, lastResort bool) (*Lease, *problem.Problem) {
	r := &w.Request
	if !r.Deadline.IsZero() && !r.Deadline.After(now) {
		return nil, expired()
	}
	if p.tooLate(now, r, c) {
		return nil, refusal(problem.ReasonDeadlineTooShort, "the time left is too short to run the request", p.expectedWait(c))
	}
	s := p.choose(now, r, lastResort)
	if s == nil {
		return nil, refusal(problem.ReasonNoServer, "no other server is free", 0)
	}
	s.busy++
	s.lastTried = now
	p.held[c]++
	return &Lease{state: s, server: s.server, class: c, granted: now}, nil
}

// runTime is the time in multiples of the mean that a request needs to have left while others of its class wait. With
// exponential service times six of seven such requests end in time.
const runTime = 2

// tooLate tells whether r would probably be cut at its deadline while another request of its class could use the slot. In a
// flood the requests at the head of the queue have little time left; each cut one costs a slot and a connection for nothing.
func (p *Pool) tooLate(now time.Time, r *Request, c priority.Class) bool {
	if r.Deadline.IsZero() || p.queue.Len(c) == 0 {
		return false
	}
	return r.Deadline.Sub(now).Seconds() < runTime*p.latency[c].mean
}

// Finish takes a slot back and learns from the result. A second call with the same lease does nothing.
func (p *Pool) Finish(now time.Time, l *Lease, r Result) {
	if l.done {
		return
	}
	l.done = true
	s := l.state
	s.busy--
	p.held[l.class]--
	cost := max(now.Sub(l.granted).Seconds(), 0)
	if r.Class == Unsent {
		cost = 0 // nothing was run; as a cost it would make the expected wait too short
	}
	p.queue.Charge(l.class, cost)
	p.learn(now, s, l.class, r)
	if !s.listed && s.busy == 0 && p.byID[s.server.ID] == s {
		delete(p.byID, s.server.ID)
	}
}

func expired() *problem.Problem {
	return refusal(problem.ReasonDeadline, "the deadline passed before the request was sent", 0)
}

// refusal returns the answer to a request that was not run. Retry-After has whole seconds, so it is at least one.
func refusal(reason problem.Reason, detail string, after time.Duration) *problem.Problem {
	const statusServiceUnavailable = 503
	return problem.New(statusServiceUnavailable, problem.NotRun, reason, detail).WithRetryAfter(max(after, time.Second))
}
