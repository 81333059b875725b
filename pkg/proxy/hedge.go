package proxy

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

// minHedgeDelay is the lower bound of the hedge delay, so that short calls are not hedged.
const minHedgeDelay = 2 * time.Millisecond

// hedgeDelay returns the time after which a hedged attempt starts, or 0 for none. Only the first attempt of an
// idempotent interactive call is hedged.
func (p *Proxy) hedgeDelay(c *call, pool dispatch.PoolKey, retry int) time.Duration {
	if !c.route.Hedge || !c.route.Idempotent || c.route.Class != priority.Interactive || !c.isReplayable() ||
		retry > 0 || c.priorAttempts > 0 {
		return 0
	}
	load, ok := p.Pools.Load(pool)
	if !ok || load.P95[c.route.Class] == 0 {
		return 0
	}
	return max(minHedgeDelay, load.P95[c.route.Class])
}

// errHedgeWon is the cause with which a first attempt is cancelled after the hedged attempt got its response first.
var errHedgeWon = errors.New("the hedged attempt answered first")

// hedgedAttempt is the second attempt of a hedged call.
type hedgedAttempt struct {
	result attemptResult
	won    bool
	done   chan struct{}
}

// runWithHedge runs an attempt, and a second one on another server if the first takes longer than delay. The first
// complete response wins; the other attempt is cancelled.
func (p *Proxy) runWithHedge(ctx context.Context, first slotAttempt,
	request dispatch.Request, delay time.Duration) attemptResult {
	firstCtx, cancelFirst := context.WithCancelCause(ctx)
	hedgeCtx, cancelHedge := context.WithCancel(ctx)
	defer cancelHedge()

	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	second := &hedgedAttempt{done: make(chan struct{})}
	timer := time.AfterFunc(delay, func() {
		defer close(second.done)
		p.runHedge(hedgeCtx, first, request, resp, second)
		if second.won {
			cancelFirst(errHedgeWon)
		}
	})
	result := p.runAttempt(firstCtx, first)
	if timer.Stop() {
		p.releaseFirstContext(first, result, cancelFirst)
		return result
	}
	if result.err == nil && !result.retryable {
		cancelHedge()
	}
	<-second.done
	if second.won {
		// The first attempt was cancelled, so a response body that it has begun may be incomplete.
		cancelFirst(errHedgeWon)
		resp.CopyTo(first.resp)
		return second.result
	}
	p.releaseFirstContext(first, result, cancelFirst)
	return result
}

// releaseFirstContext releases the context of the first attempt, at the end of its response body if that is streamed.
func (p *Proxy) releaseFirstContext(first slotAttempt, result attemptResult, cancel context.CancelCauseFunc) {
	if result.err == nil && chainOnClose(first.resp, func() { cancel(nil) }) {
		return
	}
	cancel(nil)
}

func (p *Proxy) runHedge(ctx context.Context, first slotAttempt, request dispatch.Request,
	resp *fasthttp.Response, second *hedgedAttempt) {
	c := first.call
	if ctx.Err() != nil || !p.hedges.Spend(c.route.Service) {
		return
	}
	request.Hedged = true
	request.Exclude = append(request.Exclude[:len(request.Exclude):len(request.Exclude)], first.slot.Server().ID)
	slot, err := p.Pools.Acquire(ctx, request)
	if err != nil {
		return
	}
	hedges.get(c.route.Service).Inc()
	second.result = p.runAttempt(ctx, slotAttempt{call: c, pool: first.pool, slot: slot, resp: resp, number: first.number + 1})
	// A streamed response cannot be copied to the caller's response; interactive responses are small.
	second.won = second.result.err == nil && !second.result.retryable && !resp.IsBodyStream()
}
