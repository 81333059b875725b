package proxy

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

// minHedgeDelay keeps hedges away from calls that are short anyway.
const minHedgeDelay = 2 * time.Millisecond

// hedgeDelay returns the time after which a second attempt starts, or 0 for none. Only the first attempt of an idempotent
// interactive call is hedged.
func (p *Proxy) hedgeDelay(c *call, pool dispatch.PoolKey, retry int) time.Duration {
	if !c.route.Hedge || !c.route.Idempotent || c.route.Class != priority.Interactive || !c.replayable() || retry > 0 || c.attempt > 0 {
		return 0
	}
	load, ok := p.Pools.Load(pool)
	if !ok || load.P95[c.route.Class] == 0 {
		return 0
	}
	return max(minHedgeDelay, load.P95[c.route.Class])
}

// errHedgeWon is the cause of a first attempt that was cancelled because the second one answered.
var errHedgeWon = errors.New("the hedged attempt answered first")

// hedge is the second attempt of a call.
type hedge struct {
	result tryResult
	won    bool
	done   chan struct{}
}

// runHedged runs an attempt, and a second one on another server when the first takes longer than delay. The first
// complete answer wins; the other attempt is cancelled.
func (p *Proxy) runHedged(ctx context.Context, first try, request dispatch.Request, delay time.Duration) tryResult {
	firstCtx, cancelFirst := context.WithCancelCause(ctx)
	hedgeCtx, cancelHedge := context.WithCancel(ctx)
	defer cancelHedge()

	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	second := &hedge{done: make(chan struct{})}
	timer := time.AfterFunc(delay, func() {
		defer close(second.done)
		p.runSecond(hedgeCtx, first, request, resp, second)
		if second.won {
			cancelFirst(errHedgeWon)
		}
	})
	result := p.run(firstCtx, first)
	if timer.Stop() {
		p.endFirst(first, result, cancelFirst)
		return result
	}
	if result.err == nil && !result.again {
		cancelHedge()
	}
	<-second.done
	if second.won {
		// The first attempt was cancelled, so that a body that it may have begun is not whole.
		cancelFirst(errHedgeWon)
		resp.CopyTo(first.resp)
		return second.result
	}
	p.endFirst(first, result, cancelFirst)
	return result
}

// endFirst releases the context of the first attempt, at the end of its body if that is streamed.
func (p *Proxy) endFirst(first try, result tryResult, cancel context.CancelCauseFunc) {
	if result.err == nil && chainOnClose(first.resp, func() { cancel(nil) }) {
		return
	}
	cancel(nil)
}

func (p *Proxy) runSecond(ctx context.Context, first try, request dispatch.Request, resp *fasthttp.Response, second *hedge) {
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
	second.result = p.run(ctx, try{call: c, pool: first.pool, slot: slot, resp: resp, number: first.number + 1})
	// A streamed answer cannot move to the caller's response; interactive answers are small.
	second.won = second.result.err == nil && !second.result.again && !resp.IsBodyStream()
}
