package gateway

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/balance"
	"github.com/hornbeamway/hornbeamway/pkg/loadshare"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

const (
	// notReadyRetry and noServerRetry are the Retry-After of a VM that cannot serve yet and of a service without servers.
	notReadyRetry = 200 * time.Millisecond
	noServerRetry = 150 * time.Millisecond
	// leastLeft is the time left below which a request is not sent any more.
	leastLeft = 5 * time.Millisecond
	// keptAnswer is the largest answer in bytes that is read whole before it is relayed, so that a broken one can be
	// replaced by the answer of another server.
	keptAnswer = 1 << 20
	// firstShare is the share of the time left that an attempt may take while another one is possible.
	firstShare = 0.6
	// overloadFactor is the expected time in objectives above which a request is refused, because it would be late anyway
	// and make others late.
	overloadFactor = 2.0
	// overloadRetryShare is the Retry-After of an overloaded service, as a share of the objective.
	overloadRetryShare = 0.25
)

// result is the end of one attempt.
type result struct {
	outcome balance.Outcome
	// delivered says that the answer is in the response.
	delivered bool
	// notRun says that the server certainly did not run the request, and arrived that it may have received it.
	notRun, arrived bool
	// err is the answer to the caller if no other attempt follows.
	err *problem.Problem
	// detail is for the log.
	detail string
}

// serve brings a request to a server. The error is a *problem.Problem.
func (g *Gateway) serve(c *call) error {
	if err := g.admit(c); err != nil {
		return err
	}
	g.Retries.Earn(c.service)
	ctx, stop := g.watch(c)
	err := g.attempts(ctx, c)
	if body, streamed := c.ctx.Response.BodyStream().(*upstream.Body); streamed && err == nil {
		body.OnClose(stop)
	} else {
		stop()
	}
	return err
}

// attempts sends the request until a server has answered it or no further attempt is allowed.
func (g *Gateway) attempts(ctx context.Context, c *call) error {
	var last *problem.Problem
	for number := 1; ; number++ {
		choice, refusal := g.choose(c)
		if refusal != nil {
			if last != nil {
				return last
			}
			return refusal
		}
		r := g.attempt(ctx, c, choice, number)
		c.note(choice, r)
		if r.delivered {
			return nil
		}
		if !r.notRun {
			c.mayHaveRun = true
		}
		last = r.err
		if !g.mayRepeat(ctx, c, r, number) {
			return last
		}
	}
}

// choose picks a server, or says why none is used.
func (g *Gateway) choose(c *call) (balance.Choice, *problem.Problem) {
	now := g.Clock.Now()
	left := c.deadline.Sub(now)
	if left < leastLeft {
		return balance.Choice{}, notRun(problem.ReasonDeadline, "no time left to send the request", 0)
	}
	choice, ok := g.Balancer.Pick(balance.Request{
		Service: c.service, Work: g.work.work(c.route), Objective: c.route.Objective,
		Bytes: c.size() + g.work.answerBytes(c.route), Exclude: c.sent,
	}, now)
	if !ok {
		return choice, notRun(problem.ReasonNoServer, "no backend server of "+c.service, min(noServerRetry, left/4))
	}
	if choice.Expected > time.Duration(overloadFactor*float64(c.route.Objective)) && len(c.sent) == 0 {
		return choice, notRun(problem.ReasonQueueFull, "backend servers of "+c.service+" are full",
			min(time.Duration(overloadRetryShare*float64(c.route.Objective)), left/4))
	}
	return choice, nil
}

// mayRepeat decides whether another attempt may follow, and pays for it.
func (g *Gateway) mayRepeat(ctx context.Context, c *call, r result, number int) bool {
	switch {
	case number >= c.route.MaxAttempts, ctx.Err() != nil, c.stream != nil && c.stream.Touched:
		return false
	case !r.notRun && !c.route.Idempotent:
		return false
	case c.deadline.Sub(g.Clock.Now()) < leastLeft:
		return false
	}
	if r.arrived && !g.Retries.Spend(c.service) {
		c.trace.WriteString(" repeat=over_budget")
		return false
	}
	return true
}

// attempt sends the request to one server.
func (g *Gateway) attempt(ctx context.Context, c *call, choice balance.Choice, number int) result {
	c.sent = append(c.sent, choice.Key)
	req := g.outgoing(c, choice.Server.ID)
	defer fasthttp.ReleaseRequest(req)
	started := g.Clock.Now()
	g.Tell(loadshare.Event{Key: choice.Key, Count: g.Balancer.Begin(choice.Key)})
	attemptCtx, cancel := g.attemptContext(ctx, c)
	defer cancel()
	resp := &c.ctx.Response
	err := g.Servers.RoundTrip(attemptCtx, upstream.Attempt{
		Address: choice.Server.Address, Idempotent: c.route.Idempotent, Deadline: g.attemptDeadline(c, started, number),
		BeforeWrite: func() error { return ctx.Err() },
		Expects: func(h *fasthttp.ResponseHeader) bool {
			id := g.Dialect.Answer(h).RequestID
			return id == "" || id == c.head.ID
		},
	}, req, resp)
	var answer Answer
	if err == nil {
		answer = g.Dialect.Answer(&resp.Header)
		err = keepAnswer(resp)
	}
	now := g.Clock.Now()
	var r result
	if err != nil {
		r = g.failed(c, err)
	} else {
		r = g.judge(c, answer, resp)
	}
	event := loadshare.Event{Key: choice.Key, Outcome: &r.outcome, Figure: answer.Figure}
	if answer.Figure != nil {
		g.Balancer.Learn(choice.Key, *answer.Figure, now)
	}
	event.Count = g.Balancer.End(choice.Key, r.outcome, now)
	g.Tell(event)
	if r.delivered {
		g.work.learn(c.route, now.Sub(started), choice.Slowness, len(resp.Body()))
	}
	if !r.delivered {
		resp.Reset()
	}
	return r
}

// attemptContext ends when the caller leaves. A request that may run only once is not broken off, because its outcome would
// stay unknown.
func (g *Gateway) attemptContext(ctx context.Context, c *call) (context.Context, context.CancelFunc) {
	if c.route.Idempotent {
		return context.WithCancel(ctx)
	}
	return context.WithCancel(context.WithoutCancel(ctx))
}

// attemptDeadline leaves time for another attempt where one is allowed.
func (g *Gateway) attemptDeadline(c *call, now time.Time, number int) time.Time {
	if !c.route.Idempotent || number >= c.route.MaxAttempts || c.stream != nil {
		return c.deadline
	}
	return now.Add(time.Duration(firstShare * float64(c.deadline.Sub(now))))
}

// keepAnswer reads an answer of moderate size whole. A larger one stays a stream.
func keepAnswer(resp *fasthttp.Response) error {
	stream, ok := resp.BodyStream().(*upstream.Body)
	if !ok {
		return nil
	}
	if resp.Header.ContentLength() > keptAnswer {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(stream, keptAnswer+1))
	switch {
	case err != nil:
		return &upstream.Error{Stage: upstream.StageRead, Written: true, Timeout: isTimeout(err), Cause: err}
	case len(body) > keptAnswer:
		stream.Unread(body)
		return nil
	}
	// Closing the stream gives the connection back.
	if err := resp.CloseBodyStream(); err != nil {
		return &upstream.Error{Stage: upstream.StageRead, Written: true, Cause: err}
	}
	resp.SetBodyRaw(body)
	return nil
}

// judge reads a whole answer.
func (g *Gateway) judge(c *call, a Answer, resp *fasthttp.Response) result {
	status := resp.StatusCode()
	switch {
	case a.Misdirected:
		return result{outcome: balance.Misdirected, notRun: true, arrived: true, detail: "another server at the address",
			err: notRun(problem.ReasonUpstream, "the backend server was replaced", noServerRetry)}
	case a.NotRun:
		return result{outcome: balance.Full, notRun: true, arrived: true, detail: "not run by the server",
			err: notRun(problem.ReasonQueueFull, "the backend server did not run the request", noServerRetry)}
	case a.RequestID != c.head.ID:
		return broken("the answer names no request")
	case !a.Signed && status < fasthttp.StatusMultipleChoices:
		return broken("a success without the server's proof")
	case status == fasthttp.StatusServiceUnavailable, status == fasthttp.StatusTooManyRequests,
		status == fasthttp.StatusRequestTimeout, status == fasthttp.StatusMisdirectedRequest:
		// These promise the caller that the request was not run, which this server did not say.
		return broken("a refusal that does not say that the request was not run")
	case status >= fasthttp.StatusInternalServerError:
		return g.serverError(c, status)
	}
	g.Dialect.CleanAnswer(&resp.Header)
	return result{outcome: balance.Answered, delivered: true, arrived: true, detail: "answered"}
}

// serverError relays a failure of the server, unless the request can be sent to another one.
func (g *Gateway) serverError(c *call, status int) result {
	r := result{outcome: balance.Failed, arrived: true, detail: "server error"}
	if c.route.Idempotent && len(c.sent) < c.route.MaxAttempts {
		r.err = problem.New(status, problem.Unknown, problem.ReasonUpstream, "the backend server failed")
		return r
	}
	g.Dialect.CleanAnswer(&c.ctx.Response.Header)
	r.delivered = true
	return r
}

func broken(detail string) result {
	return result{outcome: balance.Failed, arrived: true, detail: detail,
		err: problem.New(fasthttp.StatusBadGateway, problem.Unknown, problem.ReasonUpstream, detail)}
}

// failed reads an error of the transport.
func (g *Gateway) failed(c *call, err error) result {
	var failure *upstream.Error
	if !errors.As(err, &failure) {
		return broken(err.Error())
	}
	r := result{outcome: balance.Failed, notRun: !failure.Written, arrived: failure.Written, detail: failure.Error()}
	switch {
	case c.stream != nil && c.stream.Err != nil:
		r.outcome, r.err = balance.Abandoned, bodyProblem(c.stream.Err)
		if !r.notRun {
			r.err = problem.New(fasthttp.StatusBadGateway, problem.Unknown, problem.ReasonBadRequest, "the request body broke off")
		}
	case failure.Cancelled:
		r.outcome = balance.Abandoned
		r.err = problem.New(fasthttp.StatusBadGateway, problem.Unknown, problem.ReasonCancelled, "the caller closed the connection")
	case r.notRun:
		r.outcome = balance.Unreachable
		if errors.Is(failure.Cause, upstream.ErrConnectionLimit) || errors.Is(failure.Cause, upstream.ErrPaced) {
			r.outcome = balance.Full
		}
		r.err = notRun(problem.ReasonUpstream, failure.Error(), noServerRetry)
	case failure.Timeout:
		r.err = problem.New(fasthttp.StatusGatewayTimeout, problem.Unknown, problem.ReasonDeadline, "no answer in time")
	default:
		r.err = problem.New(fasthttp.StatusBadGateway, problem.Unknown, problem.ReasonUpstream, failure.Error())
	}
	return r
}
