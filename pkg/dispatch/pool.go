package dispatch

import (
	"time"

	"github.com/hornbeamway/hornbeamway/pkg/priority"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
)

// defaultQueueLimit is the maximum number of waiting requests of one class in one pool. It bounds memory; in most pools
// admission refuses requests earlier, because of their expected wait.
const defaultQueueLimit = 4096

// PoolOptions configures a pool.
type PoolOptions struct {
	Key    PoolKey
	Shares priority.Shares
	// QueueLimit is the maximum queue length of each class. Default 4096.
	QueueLimit int
	// Selection is the policy that selects the server of a request. Default LowestScore.
	Selection Selection
}

// Pool queues requests for the servers of one service in one data centre and grants their slots. It starts no goroutines,
// gets the time from its callers and is not safe for concurrent use.
type Pool struct {
	key        PoolKey
	shares     priority.Shares
	selection  Selection
	servers    []*ServerState
	byID       map[string]*ServerState
	queue      *priority.Scheduler[*Waiter]
	heldSlots  [priority.NumClasses]int
	latencies  [priority.NumClasses]latencyStats
	reviewedAt time.Time
	candidates []*ServerState
}

// Waiter is a request in the queue of a pool. It gets exactly one reply unless it is cancelled.
type Waiter struct {
	Request Request
	handle  priority.Handle
	queued  bool
	reply   chan reply // used by Runner
}

// Lease is a granted slot, held until Finish.
type Lease struct {
	state     *ServerState
	server    Server // its description at the time of the grant
	class     priority.Class
	grantedAt time.Time
	released  bool
}

// State returns the state of the server whose slot is held.
func (l *Lease) State() *ServerState { return l.state }

// ReplyFunc receives the reply to a waiting request: either a lease or a problem.
type ReplyFunc func(w *Waiter, l *Lease, p *problem.Problem)

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

// Key returns the key of the pool.
func (p *Pool) Key() PoolKey { return p.key }

// Servers returns the states of the listed servers.
func (p *Pool) Servers() []*ServerState { return p.servers }

// Update replaces the list of servers and the shares. A server that is no longer listed gets no new calls. Its running
// calls remain counted, also if it is listed again later.
func (p *Pool) Update(now time.Time, servers []Server, shares priority.Shares) {
	p.shares = shares
	p.queue.SetShares(shares)
	for _, s := range p.servers {
		s.listed = false
	}
	p.servers = p.servers[:0]
	for _, server := range servers {
		p.servers = append(p.servers, p.upsertServer(now, server))
	}
	for id, s := range p.byID {
		if !s.listed && s.busy == 0 {
			delete(p.byID, id)
		}
	}
	p.reviewedAt = time.Time{}
}

func (p *Pool) upsertServer(now time.Time, server Server) *ServerState {
	s := p.byID[server.ID]
	switch {
	case s == nil:
		s = newServerState(now, server)
		p.byID[server.ID] = s
	case s.server.Address != server.Address || s.server.State == StateLeaving && server.State != StateLeaving:
		// A different server process: discard the state of the old one, except for the number of running calls.
		busy := s.busy
		*s = *newServerState(now, server)
		s.busy = busy
	}
	s.server, s.listed = server, true
	return s
}

// Enqueue adds a request to the queue or refuses it with outcome not_run.
func (p *Pool) Enqueue(now time.Time, w *Waiter) *problem.Problem {
	r := &w.Request
	if !r.Deadline.IsZero() && !r.Deadline.After(now) {
		return expiredProblem()
	}
	if int(r.Class) >= priority.NumClasses {
		return refusal(problem.ReasonBadRequest, "unknown priority class", 0)
	}
	p.review(now)
	if !p.hasAvailableServer() {
		return refusal(problem.ReasonNoServer, "no server of the pool takes calls", trialInterval)
	}
	if wait := p.expectedWait(r.Class); !r.Deadline.IsZero() && wait > r.Deadline.Sub(now) {
		return refusal(problem.ReasonDeadlineTooShort, "the expected wait exceeds the time left", wait)
	}
	handle, ok := p.queue.PushWithDeadline(r.Class, w, now, r.Deadline)
	if !ok {
		return refusal(problem.ReasonQueueFull, "the queue is full", p.expectedWait(r.Class))
	}
	w.handle, w.queued = handle, true
	return nil
}

// Cancel removes a request from the queue. It returns false if the request is not queued.
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

// Dispatch grants free slots to waiting requests. It refuses an expired request when the scheduler returns it.
func (p *Pool) Dispatch(now time.Time, reply ReplyFunc) {
	p.review(now)
	for p.Queued() > 0 {
		if !p.hasAvailableServer() {
			p.refuseAll(now, reply)
			return
		}
		available := p.checkAvailability(now)
		w, c, ok := p.queue.PopAllowed(now, p.allowedClasses(available))
		if !ok {
			return
		}
		w.queued = false
		if lease, refused := p.grantSlot(now, w, c, available.useEjected); refused != nil {
			p.queue.Charge(c, 0)
			reply(w, nil, refused)
		} else {
			reply(w, lease, nil)
		}
	}
}

// Sweep refuses all expired requests. Dispatch finds them only when the scheduler returns them.
func (p *Pool) Sweep(now time.Time, reply ReplyFunc) {
	p.queue.Sweep(now, func(w *Waiter) {
		w.queued = false
		reply(w, nil, expiredProblem())
	})
}

func (p *Pool) refuseAll(now time.Time, reply ReplyFunc) {
	for {
		w, c, ok := p.queue.Pop(now)
		if !ok {
			return
		}
		w.queued = false
		p.queue.Charge(c, 0)
		reply(w, nil, refusal(problem.ReasonNoServer, "no server of the pool takes calls", trialInterval))
	}
}

// grantSlot grants a slot to w or refuses it. Class c is one of the classes for which checkAvailability found a free slot.
func (p *Pool) grantSlot(now time.Time, w *Waiter, c priority.Class, useEjected bool) (*Lease, *problem.Problem) {
	r := &w.Request
	if !r.Deadline.IsZero() && !r.Deadline.After(now) {
		return nil, expiredProblem()
	}
	if p.likelyToTimeOut(now, r, c) {
		return nil, refusal(problem.ReasonDeadlineTooShort, "the time left is too short to run the request", p.expectedWait(c))
	}
	s := p.selectServer(now, r, useEjected)
	if s == nil {
		return nil, refusal(problem.ReasonNoServer, "no other server is free", 0)
	}
	s.busy++
	s.lastGrantedAt = now
	p.heldSlots[c]++
	return &Lease{state: s, server: s.server, class: c, grantedAt: now}, nil
}

// minRunTimeFactor is the minimum time left, in multiples of the mean service time, with which a request gets a slot while
// others of its class wait. With exponential service times six of seven such requests complete in time.
const minRunTimeFactor = 2

// likelyToTimeOut reports whether r would probably reach its deadline before it completes while another request of its class
// could use the slot. During a flood the requests at the head of the queue have little time left, and each one that times out
// wastes a slot and a connection.
func (p *Pool) likelyToTimeOut(now time.Time, r *Request, c priority.Class) bool {
	if r.Deadline.IsZero() || p.queue.Len(c) == 0 {
		return false
	}
	return r.Deadline.Sub(now).Seconds() < minRunTimeFactor*p.latencies[c].mean
}

// Finish releases the slot of a lease and records the result. A second call with the same lease has no effect.
func (p *Pool) Finish(now time.Time, l *Lease, r Result) {
	if l.released {
		return
	}
	l.released = true
	s := l.state
	s.busy--
	p.heldSlots[l.class]--
	cost := max(now.Sub(l.grantedAt).Seconds(), 0)
	if r.Class == NotSent {
		cost = 0 // nothing was run; counting the short time would make the expected wait too short
	}
	p.queue.Charge(l.class, cost)
	p.recordResult(now, s, l.class, r)
	if !s.listed && s.busy == 0 && p.byID[s.server.ID] == s {
		delete(p.byID, s.server.ID)
	}
}

func expiredProblem() *problem.Problem {
	return refusal(problem.ReasonDeadline, "the deadline passed before the request was sent", 0)
}

// refusal returns a problem with outcome not_run. Retry-After is in whole seconds, so it is at least one second.
func refusal(reason problem.Reason, detail string, after time.Duration) *problem.Problem {
	const statusServiceUnavailable = 503
	return problem.New(statusServiceUnavailable, problem.NotRun, reason, detail).WithRetryAfter(max(after, time.Second))
}
