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

// Errors of pacing.
var (
	// ErrQueueFull reports that too many bodies of a class wait for the link.
	ErrQueueFull = errors.New("too many bodies wait for the region link")
	// ErrNoGrant reports that the coordinator handed out nothing in time.
	ErrNoGrant = errors.New("no block of the region link granted")
)

const (
	methodGrant  = "link.grant"
	methodPledge = "link.pledge"
	// waiterLimit bounds the waiting bodies of a class on one VM.
	waiterLimit = 4096
	// grantWait is how long a coordinator holds a request for a block.
	grantWait = time.Second
	// grantTimeout bounds the call; a later answer is dropped.
	grantTimeout = 1500 * time.Millisecond
	// retryWait is the wait after a failed request for a block.
	retryWait = 200 * time.Millisecond
	// pledgeCheck is how often it is checked whether a new pledge is due.
	pledgeCheck = 500 * time.Millisecond
	// grantTick is how often a coordinator with waiting requests looks for earned bytes.
	grantTick = 20 * time.Millisecond
)

// Options configure a pacer. All fields but Metrics are required.
type Options struct {
	Settings Settings
	Clock    clock.Clock
	View     membership.View
	Sender   membership.Sender
	// Metrics receives the metrics. Default: the package's default set.
	Metrics *metrics.Set
}

type waiter struct {
	n     int
	ready chan struct{}
}

// Pacer delays bytes for the other region until the budget allows them.
type Pacer struct {
	options Options
	wake    chan struct{}
	ask     chan struct{}

	mu      sync.Mutex
	account *account
	waiting *priority.Scheduler[*waiter] // its accounts cover the VM's own part only
	asking  [priority.NumClasses]bool
	lead    *coordinator
	sent    [priority.NumClasses]*metrics.Counter
	running sync.WaitGroup
}

// NewPacer returns a pacer that is not running. Register it with the peer server and call Run. Error: ErrSettings.
func NewPacer(o Options) (*Pacer, error) {
	if err := o.Settings.check(); err != nil {
		return nil, err
	}
	if o.Metrics == nil {
		o.Metrics = metrics.GetDefaultSet()
	}
	now := o.Clock.Now()
	p := &Pacer{options: o, wake: make(chan struct{}, 1), ask: make(chan struct{}, 1),
		account: newAccount(o.Settings, o.View.Self().ID, now),
		waiting: priority.NewScheduler[*waiter](o.Settings.Shares, waiterLimit),
		lead:    newCoordinator(o.Settings.Shares, now)}
	for _, c := range priority.Classes() {
		p.sent[c] = o.Metrics.GetOrCreateCounter(`hornbeamway_link_paced_bytes_total{class="` + c.String() + `"}`)
	}
	return p, nil
}

// Wait returns once n bytes of the class may be sent to the other region. Errors: ErrQueueFull, or the context's.
func (p *Pacer) Wait(ctx context.Context, c priority.Class, n int) error {
	for n > 0 {
		part := min(n, chunk)
		if err := p.wait(ctx, c, part); err != nil {
			return err
		}
		p.sent[c].Add(part)
		n -= part
	}
	return nil
}

func (p *Pacer) wait(ctx context.Context, c priority.Class, n int) error {
	p.mu.Lock()
	now := p.options.Clock.Now()
	if p.waiting.Len(c) == 0 && p.account.takeBlock(now, c, n) {
		p.mu.Unlock()
		return nil
	}
	w := &waiter{n: n, ready: make(chan struct{})}
	handle, ok := p.waiting.PushUntil(c, w, now, time.Time{})
	p.mu.Unlock()
	if !ok {
		return ErrQueueFull
	}
	signal(p.wake)
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		p.abandon(handle)
		return errors.Wrap(ctx.Err(), "wait for the region link")
	}
}

// abandon removes a waiter that was cancelled.
func (p *Pacer) abandon(h priority.Handle) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting.Remove(h)
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// Run serves waiting bodies, pledges this VM's part and asks for blocks until ctx ends.
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
		case <-p.wake:
		case <-timer:
		}
	}
}

// serve releases waiters as far as the budget allows. It returns when to look again; 0: nobody waits.
func (p *Pacer) serve(ctx context.Context) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	for _, c := range priority.Classes() {
		p.serveFromBlock(now, c)
	}
	for {
		w, _, ok := p.waiting.Peek(now)
		if !ok {
			return 0
		}
		if !p.account.takeOwn(now, w.n) {
			p.askForBlocks(ctx)
			return p.account.ownDelay(now, w.n)
		}
		w, c, _ := p.waiting.Pop(now)
		p.waiting.Charge(c, float64(w.n))
		close(w.ready)
	}
}

// serveFromBlock releases waiters of a class from its block, in order.
func (p *Pacer) serveFromBlock(now time.Time, c priority.Class) {
	for {
		w, handle, ok := p.waiting.Front(c)
		if !ok || !p.account.takeBlock(now, c, w.n) {
			return
		}
		p.waiting.Remove(handle)
		close(w.ready)
	}
}

// askForBlocks starts one request for each class that waits.
func (p *Pacer) askForBlocks(ctx context.Context) {
	for _, c := range priority.Classes() {
		if p.waiting.Len(c) == 0 || p.asking[c] {
			continue
		}
		p.asking[c] = true
		p.running.Add(1)
		go p.askForBlock(ctx, c, p.account.sizes[c])
	}
}

// grantRequest is the parameter of link.grant.
type grantRequest struct {
	Class priority.Class `json:"class"`
	Bytes int            `json:"bytes"`
}

// grantAnswer is the result of link.grant. A block is used within blockLifetime.
type grantAnswer struct {
	Bytes int `json:"bytes"`
}

func (p *Pacer) askForBlock(ctx context.Context, c priority.Class, size int) {
	defer p.running.Done()
	answer, err := p.request(ctx, grantRequest{c, size})
	if err != nil {
		select {
		case <-p.options.Clock.After(retryWait):
		case <-ctx.Done():
		}
	}
	p.mu.Lock()
	p.asking[c] = false
	if err == nil {
		p.account.addBlock(p.options.Clock.Now(), c, answer.Bytes)
	}
	p.mu.Unlock()
	signal(p.wake)
}

func (p *Pacer) request(ctx context.Context, r grantRequest) (grantAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	self := p.options.View.Self()
	lead, ok := Elect(self.Region, p.options.View.AliveInRegion(self.Region))
	switch {
	case !ok:
		return grantAnswer{}, ErrNoGrant
	case lead.ID == self.ID:
		return p.grant(ctx, r)
	}
	var a grantAnswer
	err := p.options.Sender.Call(ctx, lead.Peer, methodGrant, r, &a)
	return a, err
}

// Register adds the coordinator's handlers to a peer server.
func (p *Pacer) Register(server *peer.Server) {
	peer.Handle(server, methodGrant, p.grant)
	peer.Handle(server, methodPledge, func(_ context.Context, pl Pledge) (struct{}, error) {
		p.take(pl)
		return struct{}{}, nil
	})
}
