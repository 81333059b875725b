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
	// eventQueue bounds the events that wait for a pool's goroutine. A new request that finds it full is refused.
	eventQueue = 4096
	// eventBatch is the number of events handled between two rounds of granting, so that grants are not delayed long.
	eventBatch = 64
	// sweepInterval is the time between two searches for expired requests while requests wait.
	sweepInterval = 20 * time.Millisecond
	// loadInterval is the least time between two published statements about the load.
	loadInterval = 5 * time.Millisecond
)

type eventKind uint8

const (
	eventAcquire eventKind = iota
	eventCancel
	eventRelease
	eventUpdate
	eventReport
	eventInspect
)

type event struct {
	kind   eventKind
	waiter *Waiter
	lease  *Lease
	result Result
	update func(*Pool, time.Time)
}

// reply is the answer to one Acquire.
type reply struct {
	lease   *Lease
	problem *problem.Problem
}

// Runner runs one pool in a goroutine of its own. It implements Dispatcher and is safe for concurrent use.
type Runner struct {
	clock   clock.Clock
	pool    *Pool
	events  chan event
	stop    chan struct{}
	stopped chan struct{}
	once    sync.Once
	load    atomic.Pointer[Load]
	waiters sync.Pool
}

// NewRunner starts the goroutine of a pool. The pool belongs to the runner from then on.
func NewRunner(c clock.Clock, pool *Pool) *Runner {
	r := &Runner{
		clock:   c,
		pool:    pool,
		events:  make(chan event, eventQueue),
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
	case answer := <-w.reply:
		w.Request = Request{}
		r.waiters.Put(w)
		return r.slot(answer)
	case <-ctx.Done():
		return r.cancel(w)
	case <-r.stopped:
		return r.afterStop(w)
	}
}

// cancel leaves the queue. The waiter is not reused, because the event still names it.
func (r *Runner) cancel(w *Waiter) (Slot, error) {
	if !r.send(event{kind: eventCancel, waiter: w}) {
		return r.afterStop(w)
	}
	select {
	case answer := <-w.reply:
		if answer.lease != nil {
			r.release(answer.lease, Result{Class: Cancelled})
		}
	case <-r.stopped:
	}
	return nil, refusal(problem.ReasonCancelled, "the caller left the queue", 0)
}

// afterStop returns the answer that was given before the stop, if any.
func (r *Runner) afterStop(w *Waiter) (Slot, error) {
	select {
	case answer := <-w.reply:
		return r.slot(answer)
	default:
		return nil, stoppedProblem()
	}
}

func (r *Runner) slot(answer reply) (Slot, error) {
	if answer.problem != nil {
		return nil, answer.problem
	}
	return &slot{runner: r, lease: answer.lease}, nil
}

// send hands an event to the goroutine. The wait is short: the goroutine waits for nothing else. False after the stop.
func (r *Runner) send(e event) bool {
	// A select with one case and a default costs much less than one with two cases.
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

// Update replaces the servers and shares.
func (r *Runner) Update(servers []Server, shares priority.Shares) {
	r.send(event{kind: eventUpdate, update: func(p *Pool, now time.Time) { p.Update(now, servers, shares) }})
}

// Report takes a load report of a server.
func (r *Runner) Report(id string, report LoadReport) {
	r.send(event{kind: eventReport, update: func(p *Pool, now time.Time) { p.Report(now, id, report) }})
}

// Inspect returns copies of the states of the servers; none after the stop.
func (r *Runner) Inspect() []ServerState {
	answer := make(chan []ServerState, 1)
	r.send(event{kind: eventInspect, update: func(p *Pool, _ time.Time) {
		states := make([]ServerState, 0, len(p.servers))
		for _, s := range p.servers {
			states = append(states, *s)
		}
		answer <- states
	}})
	select {
	case states := <-answer:
		return states
	case <-r.stopped:
		return nil
	}
}

// Load returns the latest statement about the pool.
func (r *Runner) Load() Load { return *r.load.Load() }

// Stop ends the goroutine. Waiting requests are refused as not run; running calls are not affected.
func (r *Runner) Stop() {
	r.once.Do(func() { close(r.stop) })
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
			r.pool.Sweep(now, decide)
			r.pool.Dispatch(now, decide)
			r.publish(now)
		case <-r.stop:
			r.refuseRest()
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
	for range eventBatch {
		select {
		case next := <-r.events:
			r.handle(now, next)
			continue
		default:
		}
		break
	}
	r.pool.Dispatch(now, decide)
	r.publish(now)
}

func (r *Runner) handle(now time.Time, e event) {
	switch e.kind {
	case eventAcquire:
		if refused := r.pool.Enqueue(now, e.waiter); refused != nil {
			decide(e.waiter, nil, refused)
		}
	case eventCancel:
		if r.pool.Cancel(e.waiter) {
			decide(e.waiter, nil, refusal(problem.ReasonCancelled, "the caller left the queue", 0))
		}
	case eventRelease:
		r.pool.Finish(now, e.lease, e.result)
	default:
		e.update(r.pool, now)
	}
}

func (r *Runner) publish(now time.Time) {
	if now.Sub(r.load.Load().At) < loadInterval {
		return
	}
	load := r.pool.Load(now)
	r.load.Store(&load)
}

func (r *Runner) refuseRest() {
	r.pool.refuseAll(r.clock.Now(), func(w *Waiter, _ *Lease, _ *problem.Problem) { decide(w, nil, stoppedProblem()) })
}

// decide answers the waiting Acquire; the channel has room for the one answer.
func decide(w *Waiter, l *Lease, p *problem.Problem) { w.reply <- reply{lease: l, problem: p} }

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
