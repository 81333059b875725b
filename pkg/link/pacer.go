package link

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/membership"
	"github.com/hornbeamway/hornbeamway/pkg/peer"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

// Errors of the pacer.
var (
	// ErrQueueFull reports that too many bodies or block requests of a class are waiting for the link.
	ErrQueueFull = errors.New("too many bodies wait for the region link")
	// ErrNoGrant reports that there is no coordinator or that it granted no block in time.
	ErrNoGrant = errors.New("no block of the region link granted")
)

const (
	methodGrant  = "link.grant"
	methodPledge = "link.pledge"
	// waiterLimit is the maximum number of waiting bodies per class on one VM.
	waiterLimit = 4096
	// grantWait is the maximum time for which a coordinator queues a request for a block.
	grantWait = time.Second
	// grantTimeout is the timeout of a call to the coordinator. A later answer is discarded.
	grantTimeout = 1500 * time.Millisecond
	// retryDelay is the delay after a failed request for a block.
	retryDelay = 200 * time.Millisecond
	// pledgeCheckInterval is the interval at which a VM checks whether its next pledge is due.
	pledgeCheckInterval = 500 * time.Millisecond
	// grantInterval is the interval at which a coordinator with queued requests checks for accrued bytes.
	grantInterval = 20 * time.Millisecond
)

// Options configures a Pacer. All fields except Metrics are required.
type Options struct {
	Settings Settings
	Clock    clock.Clock
	View     membership.View
	Sender   membership.Sender
	// Metrics receives the metrics. Default: the package's default set.
	Metrics *metrics.Set
}

// waiter is a queued wait for bytes. ready is closed once they may be sent.
type waiter struct {
	bytes int
	ready chan struct{}
}

// Pacer delays bytes to the other region until the VM's budget allows them.
type Pacer struct {
	options     Options
	serveSignal chan struct{}
	grantSignal chan struct{}

	mu          sync.Mutex
	budget      *budget
	waiters     *priority.Scheduler[*waiter] // charged for the bytes of the local rate only, not for those of blocks
	requesting  [priority.NumClasses]bool
	coordinator *coordinator
	pacedBytes  [priority.NumClasses]*metrics.Counter
	running     sync.WaitGroup
}

// NewPacer returns a pacer that is not running. Register it with the peer server and call Run. Error: ErrSettings.
func NewPacer(o Options) (*Pacer, error) {
	if err := o.Settings.validate(); err != nil {
		return nil, err
	}
	if o.Metrics == nil {
		o.Metrics = metrics.GetDefaultSet()
	}
	now := o.Clock.Now()
	p := &Pacer{options: o, serveSignal: make(chan struct{}, 1), grantSignal: make(chan struct{}, 1),
		budget:      newBudget(o.Settings, o.View.Self().ID, now),
		waiters:     priority.NewScheduler[*waiter](o.Settings.Shares, waiterLimit),
		coordinator: newCoordinator(o.Settings.Shares, now)}
	for _, c := range priority.Classes() {
		p.pacedBytes[c] = o.Metrics.GetOrCreateCounter(`hornbeamway_link_paced_bytes_total{class="` + c.String() + `"}`)
	}
	return p, nil
}

// Wait returns once n bytes of the class may be sent to the other region. Errors: ErrQueueFull, or the context's.
func (p *Pacer) Wait(ctx context.Context, c priority.Class, n int) error {
	for n > 0 {
		size := min(n, maxChunk)
		if err := p.waitChunk(ctx, c, size); err != nil {
			return err
		}
		p.pacedBytes[c].Add(size)
		n -= size
	}
	return nil
}

func (p *Pacer) waitChunk(ctx context.Context, c priority.Class, n int) error {
	p.mu.Lock()
	now := p.options.Clock.Now()
	if p.waiters.Len(c) == 0 && p.budget.consumeBlock(now, c, n) {
		p.mu.Unlock()
		return nil
	}
	w := &waiter{bytes: n, ready: make(chan struct{})}
	handle, ok := p.waiters.PushWithDeadline(c, w, now, time.Time{})
	p.mu.Unlock()
	if !ok {
		return ErrQueueFull
	}
	signal(p.serveSignal)
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		p.removeWaiter(handle)
		return errors.Wrap(ctx.Err(), "wait for the region link")
	}
}

// removeWaiter removes the waiter of a cancelled call from the queue.
func (p *Pacer) removeWaiter(h priority.Handle) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiters.Remove(h)
}

// signal sends to ch without blocking. ch has a buffer of one, so that signals before the next receive are merged.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// Run releases waiting bodies, pledges this VM's share, and requests and grants blocks until ctx ends.
func (p *Pacer) Run(ctx context.Context) {
	defer p.running.Wait()
	p.running.Add(2)
	go p.pledgeLoop(ctx)
	go p.grantLoop(ctx)
	for {
		delay := p.serve(ctx)
		var timer <-chan time.Time
		if delay > 0 {
			timer = p.options.Clock.After(delay)
		}
		select {
		case <-ctx.Done():
			return
		case <-p.serveSignal:
		case <-timer:
		}
	}
}

// serve releases waiters as far as the budget allows. It returns the delay until the next call, or 0 if no waiter remains.
func (p *Pacer) serve(ctx context.Context) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	for _, c := range priority.Classes() {
		p.serveFromBlock(now, c)
	}
	for {
		w, _, ok := p.waiters.Peek(now)
		if !ok {
			return 0
		}
		if !p.budget.consumeLocal(now, w.bytes) {
			p.requestBlocks(ctx)
			return p.budget.localDelay(now, w.bytes)
		}
		w, c, _ := p.waiters.Pop(now)
		p.waiters.Charge(c, float64(w.bytes))
		close(w.ready)
	}
}

// serveFromBlock releases the waiters of a class, in order, as far as the block of the class allows.
func (p *Pacer) serveFromBlock(now time.Time, c priority.Class) {
	for {
		w, handle, ok := p.waiters.Front(c)
		if !ok || !p.budget.consumeBlock(now, c, w.bytes) {
			return
		}
		p.waiters.Remove(handle)
		close(w.ready)
	}
}

// requestBlocks starts a block request for each class that has waiters and no request in flight.
func (p *Pacer) requestBlocks(ctx context.Context) {
	for _, c := range priority.Classes() {
		if p.waiters.Len(c) == 0 || p.requesting[c] {
			continue
		}
		p.requesting[c] = true
		p.running.Add(1)
		go p.requestBlock(ctx, c, p.budget.nextSizes[c])
	}
}

// grantRequest is the parameter of link.grant.
type grantRequest struct {
	Class priority.Class `json:"class"`
	Bytes int            `json:"bytes"`
}

// grantResponse is the result of link.grant. The block expires after blockLifetime.
type grantResponse struct {
	Bytes int `json:"bytes"`
}

// requestBlock requests one block and adds it to the budget. After an error it waits for retryDelay.
func (p *Pacer) requestBlock(ctx context.Context, c priority.Class, size int) {
	defer p.running.Done()
	answer, err := p.callGrant(ctx, grantRequest{c, size})
	if err != nil {
		select {
		case <-p.options.Clock.After(retryDelay):
		case <-ctx.Done():
		}
	}
	p.mu.Lock()
	p.requesting[c] = false
	if err == nil {
		p.budget.addBlock(p.options.Clock.Now(), c, answer.Bytes)
	}
	p.mu.Unlock()
	signal(p.serveSignal)
}

// callGrant calls link.grant on the elected coordinator, locally if that is this VM.
func (p *Pacer) callGrant(ctx context.Context, r grantRequest) (grantResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	self := p.options.View.Self()
	elected, ok := Elect(self.Region, p.options.View.AliveInRegion(self.Region))
	switch {
	case !ok:
		return grantResponse{}, ErrNoGrant
	case elected.ID == self.ID:
		return p.handleGrant(ctx, r)
	}
	var answer grantResponse
	err := p.options.Sender.Call(ctx, elected.Peer, methodGrant, r, &answer)
	return answer, err
}

// Register adds the coordinator's handlers to a peer server.
func (p *Pacer) Register(server *peer.Server) {
	peer.Handle(server, methodGrant, p.handleGrant)
	peer.Handle(server, methodPledge, func(_ context.Context, pledge Pledge) (struct{}, error) {
		p.acceptPledge(pledge)
		return struct{}{}, nil
	})
}
