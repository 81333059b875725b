package link

import (
	"context"
	"io"
	"time"

	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

// acceptPledge adds a pledge to the local coordinator. Its rate and duration are limited by this VM's settings, so that a VM
// with different settings cannot raise the total.
func (p *Pacer) acceptPledge(pledge Pledge) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pledge.Rate = min(pledge.Rate, p.options.Settings.pledgedRate())
	pledge.ForMs = min(pledge.ForMs, pledgeDuration.Milliseconds())
	if pledge.Rate > 0 && pledge.ForMs > 0 {
		p.coordinator.addPledge(p.options.Clock.Now(), pledge)
	}
}

// handleGrant handles link.grant on the coordinator. It waits up to grantWait for a block.
func (p *Pacer) handleGrant(ctx context.Context, r grantRequest) (grantResponse, error) {
	now := p.options.Clock.Now()
	request := &blockRequest{bytes: r.Bytes, deadline: now.Add(grantWait), granted: make(chan int, 1)}
	p.mu.Lock()
	ok := int(r.Class) < priority.NumClasses && p.coordinator.enqueue(r.Class, request)
	p.mu.Unlock()
	if !ok {
		return grantResponse{}, ErrQueueFull
	}
	signal(p.grantSignal)
	select {
	case n := <-request.granted:
		return grantResponse{n}, nil
	case <-p.options.Clock.After(grantWait):
	case <-ctx.Done():
	}
	select { // the block may have been granted at the same moment
	case n := <-request.granted:
		return grantResponse{n}, nil
	default:
		return grantResponse{}, ErrNoGrant
	}
}

// grantLoop grants blocks while requests are queued, until ctx ends.
func (p *Pacer) grantLoop(ctx context.Context) {
	defer p.running.Done()
	for {
		p.mu.Lock()
		p.coordinator.grant(p.options.Clock.Now())
		idle := true
		for _, c := range priority.Classes() {
			idle = idle && p.coordinator.requests.Len(c) == 0
		}
		p.mu.Unlock()
		var timer <-chan time.Time
		if !idle {
			timer = p.options.Clock.After(grantInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-p.grantSignal:
		case <-timer:
		}
	}
}

// pledgeLoop pledges this VM's share to the coordinator elected from its membership view, until ctx ends.
func (p *Pacer) pledgeLoop(ctx context.Context) {
	defer p.running.Done()
	for {
		p.sendPledge(ctx)
		select {
		case <-ctx.Done():
			return
		case <-p.options.Clock.After(pledgeCheckInterval):
		}
	}
}

func (p *Pacer) sendPledge(ctx context.Context) {
	self := p.options.View.Self()
	elected, ok := Elect(self.Region, p.options.View.AliveInRegion(self.Region))
	if !ok {
		return
	}
	p.mu.Lock()
	pledge, due := p.budget.nextPledge(p.options.Clock.Now())
	p.mu.Unlock()
	if !due {
		return
	}
	if elected.ID == self.ID {
		p.acceptPledge(pledge)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	// A failed pledge is not sent again: it may have arrived, and pledging the share twice would exceed the capacity.
	if err := p.options.Sender.Notify(ctx, elected.Peer, methodPledge, pledge); err != nil {
		klog.V(2).InfoS("failed to pledge the share of the region link", "coordinator", elected.ID, "err", err)
	}
}

// Reader limits the rate of the bytes read from another reader.
type Reader struct {
	ctx    context.Context
	pacer  *Pacer
	class  priority.Class
	source io.Reader
}

// NewReader returns a reader that delays the bytes of source until they may be sent. The end of ctx ends a wait.
func (p *Pacer) NewReader(ctx context.Context, c priority.Class, source io.Reader) *Reader {
	return &Reader{ctx: ctx, pacer: p, class: c, source: source}
}

// Read implements io.Reader. Errors: those of the underlying reader and of Pacer.Wait.
func (r *Reader) Read(b []byte) (int, error) {
	n, err := r.source.Read(b[:min(len(b), maxChunk)])
	if n > 0 {
		if waitErr := r.pacer.Wait(r.ctx, r.class, n); waitErr != nil {
			return 0, waitErr
		}
	}
	return n, err
}
