package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
)

const (
	// eventQueueSize is the capacity of a pool's event queue. A new request is refused while the queue is full.
	eventQueueSize = 4096
	// maxEventBatch is the number of further events handled before slots are granted again. It bounds the delay of grants.
	maxEventBatch = 64
	// sweepInterval is the interval at which expired requests are removed while requests wait.
	sweepInterval = 20 * time.Millisecond
	// loadInterval is the minimum interval between two updates of the published load summary.
	loadInterval = 5 * time.Millisecond
)

type eventKind uint8

const (
	eventAcquire eventKind = iota
	eventCancel
	eventRelease
	eventUpdate
	eventReport
	eventServerStates
)

type event struct {
	kind   eventKind
	waiter *Waiter
	lease  *Lease
	result Result
	apply  func(*Pool, time.Time)
}

// reply is the result of one Acquire call: a lease or a problem.
type reply struct {
	lease   *Lease
	problem *problem.Problem
}

// Runner runs one pool in its own goroutine. It implements Dispatcher and is safe for concurrent use.
type Runner struct {
	clock    clock.Clock
	pool     *Pool
	events   chan event
	stop     chan struct{}
	stopped  chan struct{}
	stopOnce sync.Once
	load     atomic.Pointer[PoolLoad]
	waiters  sync.Pool
}

// NewRunner starts the goroutine of a pool. The caller must not use the pool afterwards.
func NewRunner(c clock.Clock, pool *Pool) *Runner {
	r := &Runner{
		clock:   c,
		pool:    pool,
		events:  make(chan event, eventQueueSize),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	r.waiters.New = func() any { return &Waiter{reply: make(chan reply, 1)} }
	load := pool.Load(c.Now())
	r.load.Store(&load)
	go r.run()
	return r
}

// Acquire implements Dispatcher.
func (r *Runner) Acquire(ctx context.Context, request Request) (Slot, error) {
	w := r.waiters.Get().(*Waiter)
	w.Request, w.queued = request, false
	select {
	case r.events <- event{kind: eventAcquire, waiter: w}:
	default:
		return nil, refusal(problem.ReasonQueueFull, "the dispatcher is behind", 0)
	}
	select {
	case received := <-w.reply:
		w.Request = Request{}
		r.waiters.Put(w)
		return r.slotFrom(received)
	case <-ctx.Done():
		return r.cancel(w)
	case <-r.stopped:
		return r.replyAfterStop(w)
	}
}

// cancel removes a request from the queue. The waiter is not reused, because the cancel event still refers to it.
func (r *Runner) cancel(w *Waiter) (Slot, error) {
	if !r.send(event{kind: eventCancel, waiter: w}) {
		return r.replyAfterStop(w)
	}
	select {
	case received := <-w.reply:
		if received.lease != nil {
			r.release(received.lease, Result{Class: Cancelled})
		}
	case <-r.stopped:
	}
	return nil, refusal(problem.ReasonCancelled, "the caller left the queue", 0)
}

// replyAfterStop returns the reply that was sent before the runner stopped, if any.
func (r *Runner) replyAfterStop(w *Waiter) (Slot, error) {
	select {
	case received := <-w.reply:
		return r.slotFrom(received)
	default:
		return nil, stoppedProblem()
	}
}

func (r *Runner) slotFrom(received reply) (Slot, error) {
	if received.problem != nil {
		return nil, received.problem
	}
	return &slot{runner: r, lease: received.lease}, nil
}

// send passes an event to the goroutine. It blocks only briefly, because the goroutine blocks on nothing but its events and
// timer. It returns false after the runner has stopped.
func (r *Runner) send(e event) bool {
	// A select with one case and a default is much cheaper than one with two cases.
	select {
	case r.events <- e:
		return true
	default:
	}
	select {
	case r.events <- e:
		return true
	case <-r.stopped:
		return false
	}
}

func (r *Runner) release(l *Lease, result Result) {
	r.send(event{kind: eventRelease, lease: l, result: result})
}

// Update replaces the servers and shares of the pool.
func (r *Runner) Update(servers []Server, shares priority.Shares) {
	r.send(event{kind: eventUpdate, apply: func(p *Pool, now time.Time) { p.Update(now, servers, shares) }})
}

// Report applies a load report of a server.
func (r *Runner) Report(id string, report LoadReport) {
	r.send(event{kind: eventReport, apply: func(p *Pool, now time.Time) { p.Report(now, id, report) }})
}

// ServerStates returns copies of the server states, or nil after the runner has stopped.
func (r *Runner) ServerStates() []ServerState {
	result := make(chan []ServerState, 1)
	r.send(event{kind: eventServerStates, apply: func(p *Pool, _ time.Time) {
		states := make([]ServerState, 0, len(p.servers))
		for _, s := range p.servers {
			states = append(states, *s)
		}
		result <- states
	}})
	select {
	case states := <-result:
		return states
	case <-r.stopped:
		return nil
	}
}

// Load returns the latest load summary of the pool.
func (r *Runner) Load() PoolLoad { return *r.load.Load() }

// Stop ends the goroutine and waits for it. Waiting requests are refused with outcome not_run; running calls are not
// affected.
func (r *Runner) Stop() {
	r.stopOnce.Do(func() { close(r.stop) })
	<-r.stopped
}

func (r *Runner) run() {
	defer close(r.stopped)
	var sweep <-chan time.Time
	for {
		select {
		case e := <-r.events:
			r.handleBatch(e)
		case <-sweep:
			sweep = nil
			now := r.clock.Now()
			r.pool.Sweep(now, sendReply)
			r.pool.Dispatch(now, sendReply)
			r.publish(now)
		case <-r.stop:
			r.refuseWaiting()
			return
		}
		if sweep == nil && r.pool.Queued() > 0 {
			sweep = r.clock.After(sweepInterval)
		}
	}
}

func (r *Runner) handleBatch(e event) {
	now := r.clock.Now()
	r.handle(now, e)
	for range maxEventBatch {
		select {
		case next := <-r.events:
			r.handle(now, next)
			continue
		default:
		}
		break
	}
	r.pool.Dispatch(now, sendReply)
	r.publish(now)
}

func (r *Runner) handle(now time.Time, e event) {
	switch e.kind {
	case eventAcquire:
		if refused := r.pool.Enqueue(now, e.waiter); refused != nil {
			sendReply(e.waiter, nil, refused)
		}
	case eventCancel:
		if r.pool.Cancel(e.waiter) {
			sendReply(e.waiter, nil, refusal(problem.ReasonCancelled, "the caller left the queue", 0))
		}
	case eventRelease:
		r.pool.Finish(now, e.lease, e.result)
	default:
		e.apply(r.pool, now)
	}
}

func (r *Runner) publish(now time.Time) {
	if now.Sub(r.load.Load().At) < loadInterval {
		return
	}
	load := r.pool.Load(now)
	r.load.Store(&load)
}

func (r *Runner) refuseWaiting() {
	r.pool.refuseAll(r.clock.Now(), func(w *Waiter, _ *Lease, _ *problem.Problem) { sendReply(w, nil, stoppedProblem()) })
}

// sendReply replies to the waiting Acquire call. It never blocks, because the channel has capacity for the only reply.
func sendReply(w *Waiter, l *Lease, p *problem.Problem) { w.reply <- reply{lease: l, problem: p} }

func stoppedProblem() *problem.Problem {
	return refusal(problem.ReasonDraining, "the dispatcher of the pool has stopped", 0)
}

// slot implements Slot.
type slot struct {
	runner   *Runner
	lease    *Lease
	released atomic.Bool
}

// Server implements Slot.
func (s *slot) Server() Server { return s.lease.server }

// Release implements Slot.
func (s *slot) Release(result Result) {
	if s.released.CompareAndSwap(false, true) {
		s.runner.release(s.lease, result)
	}
}
