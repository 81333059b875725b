package link

import (
	"context"
	"io"
	"time"

	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

// take accepts a pledge. A pledge is bounded by the own settings, so that a VM with other settings cannot raise the sum.
func (p *Pacer) take(pl Pledge) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl.Rate = min(pl.Rate, p.options.Settings.pledgedRate())
	pl.ForMs = min(pl.ForMs, pledgeTime.Milliseconds())
	if pl.Rate > 0 && pl.ForMs > 0 {
		p.lead.pledge(p.options.Clock.Now(), pl)
	}
}

// grant is the coordinator's side of link.grant: it waits for a block.
func (p *Pacer) grant(ctx context.Context, r grantRequest) (grantAnswer, error) {
	now := p.options.Clock.Now()
	q := &request{bytes: r.Bytes, deadline: now.Add(grantWait), granted: make(chan int, 1)}
	p.mu.Lock()
	ok := int(r.Class) < priority.NumClasses && p.lead.ask(r.Class, q)
	p.mu.Unlock()
	if !ok {
		return grantAnswer{}, ErrQueueFull
	}
	signal(p.ask)
	select {
	case n := <-q.granted:
		return grantAnswer{n}, nil
	case <-p.options.Clock.After(grantWait):
	case <-ctx.Done():
	}
	select { // granted at the last moment
	case n := <-q.granted:
		return grantAnswer{n}, nil
	default:
		return grantAnswer{}, ErrNoGrant
	}
}

// grantLoop hands out blocks while requests wait.
func (p *Pacer) grantLoop(ctx context.Context) {
	defer p.running.Done()
	for {
		p.mu.Lock()
		p.lead.grant(p.options.Clock.Now())
		idle := true
		for _, c := range priority.Classes() {
			idle = idle && p.lead.waiting.Len(c) == 0
		}
		p.mu.Unlock()
		var timer <-chan time.Time
		if !idle {
			timer = p.options.Clock.After(grantTick)
		}
		select {
		case <-ctx.Done():
			return
		case <-p.ask:
		case <-timer:
		}
	}
}

// pledgeLoop pledges this VM's part to the coordinator that it sees.
func (p *Pacer) pledgeLoop(ctx context.Context) {
	defer p.running.Done()
	for {
		p.pledge(ctx)
		select {
		case <-ctx.Done():
			return
		case <-p.options.Clock.After(pledgeCheck):
		}
	}
}

func (p *Pacer) pledge(ctx context.Context) {
	self := p.options.View.Self()
	lead, ok := Elect(self.Region, p.options.View.AliveInRegion(self.Region))
	if !ok {
		return
	}
	p.mu.Lock()
	pl, due := p.account.pledge(p.options.Clock.Now())
	p.mu.Unlock()
	if !due {
		return
	}
	if lead.ID == self.ID {
		p.take(pl)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	// A lost pledge is not repeated: whether it arrived is unknown, and twice would exceed the capacity.
	if err := p.options.Sender.Notify(ctx, lead.Peer, methodPledge, pl); err != nil {
		klog.V(2).InfoS("region link part not pledged", "coordinator", lead.ID, "err", err)
	}
}

// Reader paces the bytes read from another reader.
type Reader struct {
	ctx   context.Context
	pacer *Pacer
	class priority.Class
	from  io.Reader
}

// NewReader returns a reader that delays bytes of from until they may be sent. The context bounds the waits.
func (p *Pacer) NewReader(ctx context.Context, c priority.Class, from io.Reader) *Reader {
	return &Reader{ctx: ctx, pacer: p, class: c, from: from}
}

// Read implements io.Reader. Errors: those of the reader below and of Pacer.Wait.
func (r *Reader) Read(b []byte) (int, error) {
	n, err := r.from.Read(b[:min(len(b), chunk)])
	if n > 0 {
		if waitErr := r.pacer.Wait(r.ctx, r.class, n); waitErr != nil {
			return 0, waitErr
		}
	}
	return n, err
}
