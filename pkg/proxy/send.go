package proxy

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/problem"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

// send makes an attempt. If a reused connection turns out to be closed, an idempotent call is sent once more on a new
// connection, which shows whether the remote server still works.
func (p *Proxy) send(ctx context.Context, transport *upstream.Transport, c *call, a upstream.Attempt, req *fasthttp.Request,
	resp *fasthttp.Response) error {
	err := p.sendOnce(ctx, transport, c, a, req, resp)
	var failure *upstream.Error
	if err == nil || !errors.As(err, &failure) || !failure.Reused || failure.Cancelled {
		return err
	}
	if failure.Stage == upstream.StageRead || !c.route.Idempotent || !c.isReplayable() {
		return err
	}
	// Other connections that have been idle as long may be closed or silent for the same reason.
	transport.CloseIdle(a.Address)
	if failure.Timeout {
		return err
	}
	if failure.Written {
		c.mayHaveRun.Store(true)
	}
	return p.sendOnce(ctx, transport, c, a, req, resp)
}

// sendOnce makes an attempt on one connection. A body for the other region waits for the region link at most until the
// deadline of the call.
func (p *Proxy) sendOnce(ctx context.Context, transport *upstream.Transport, c *call, a upstream.Attempt, req *fasthttp.Request,
	resp *fasthttp.Response) error {
	if c.crossesRegions {
		paceCtx, cancel := ctx, func() {}
		if !c.deadline.IsZero() {
			paceCtx, cancel = context.WithDeadline(ctx, c.deadline)
		}
		defer cancel()
		if err := p.paceRequest(paceCtx, c, req); err != nil {
			return p.paceError(c, a.Address, err)
		}
	}
	return transport.RoundTrip(ctx, a, req, resp)
}

// paceError returns the failure of a call that did not get its share of the region link; nothing was written.
func (p *Proxy) paceError(c *call, address string, cause error) error {
	if !p.hasTimeLeft(c) {
		cause = problem.New(fasthttp.StatusGatewayTimeout, problem.NotRun, problem.ReasonDeadline,
			"the deadline passed before the region link was free")
	}
	return &upstream.Error{Address: address, Stage: upstream.StageWrite, Cause: cause}
}

// checkBeforeWrite runs right before the first byte is written. A call whose deadline passed while it waited, or while
// this process was paused, is not sent. Otherwise the remaining time is written into the headers.
func (p *Proxy) checkBeforeWrite(c *call, req *fasthttp.Request) error {
	now := p.Clock.Now()
	if !c.deadline.IsZero() && !now.Before(c.deadline) {
		return problem.New(fasthttp.StatusGatewayTimeout, problem.NotRun, problem.ReasonDeadline,
			"the deadline passed before the call was sent")
	}
	setDeadline(&req.Header, c.deadline, now)
	if c.beforeWrite != nil {
		return c.beforeWrite()
	}
	return nil
}
