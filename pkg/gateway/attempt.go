package gateway

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/balance"
	"github.com/hornbeamway/hornbeamway/pkg/ingress"
	"github.com/hornbeamway/hornbeamway/pkg/loadshare"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
	"github.com/hornbeamway/hornbeamway/pkg/routing"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

// keptAnswer is the largest answer in bytes that is read whole before it is relayed, so that a broken one can be replaced
// by the answer of another server.
const keptAnswer = 1 << 20

// attempt is one send of a request to a server. It shares nothing with the call that changes.
type attempt struct {
	gateway  *Gateway
	route    *routing.Route
	id       string
	choice   balance.Choice
	deadline time.Time
	stream   *ingress.BodyStream
	req      *fasthttp.Request
	resp     *fasthttp.Response
	// lastOne says that no other attempt can follow.
	lastOne bool
}

// result is the end of one attempt.
type result struct {
	choice balance.Choice
	// resp is the answer if delivered.
	resp    *fasthttp.Response
	outcome balance.Outcome
	// delivered says that the answer is for the caller.
	delivered bool
	// notRun says that the server certainly did not run the request, and arrived that it may have received it.
	notRun, arrived bool
	// err is the answer to the caller if no other attempt follows.
	err *problem.Problem
	// figure is what the server told of itself; nil: nothing.
	figure *balance.Figure
	// detail is for the log.
	detail string
}

// run sends the request and reads the answer.
func (a *attempt) run(ctx, losers context.Context) result {
	defer fasthttp.ReleaseRequest(a.req)
	g, key, started := a.gateway, a.choice.Key, a.gateway.Clock.Now()
	g.Tell(loadshare.Event{Key: key, Count: g.Balancer.Begin(key)})
	sendCtx, keep, cancel := a.context(ctx, losers)
	err := g.Servers.RoundTrip(sendCtx, upstream.Attempt{
		Address: a.choice.Server.Address, Idempotent: a.route.Idempotent, Deadline: a.deadline,
		BeforeWrite: func() error { return ctx.Err() },
		Expects: func(h *fasthttp.ResponseHeader) bool {
			id := g.Dialect.Answer(h).RequestID
			return id == "" || id == a.id
		},
	}, a.req, a.resp)
	var answer Answer
	if err == nil {
		answer = g.Dialect.Answer(&a.resp.Header)
		err = keepAnswer(a.resp)
	}
	now := g.Clock.Now()
	var r result
	if err != nil {
		r = a.failed(err)
	} else {
		r = a.judge(answer)
	}
	r.choice, r.resp, r.figure = a.choice, a.resp, answer.Figure
	if stream, ok := a.resp.BodyStream().(*upstream.Body); ok && r.delivered {
		keep()
		stream.OnClose(cancel)
	} else {
		cancel()
	}
	if r.delivered {
		g.work.learn(a.route, now.Sub(started), a.choice.Slowness, a.answerSize())
	}
	event := loadshare.Event{Key: key, Outcome: &r.outcome, Figure: answer.Figure, FigureAt: now}
	if answer.Figure != nil {
		g.Balancer.Learn(key, *answer.Figure, now)
	}
	event.Count = g.Balancer.End(key, r.outcome, now)
	g.Tell(event)
	return r
}

// answerSize is the number of bytes of the answer. A stream must not be read for it.
func (a *attempt) answerSize() int {
	if a.resp.IsBodyStream() {
		return max(0, a.resp.Header.ContentLength())
	}
	return len(a.resp.Body())
}

// context ends when the caller leaves or another attempt has answered. A request that may run only once is not broken off,
// because its outcome would stay unknown. keep lets the attempt outlast losers.
func (a *attempt) context(ctx, losers context.Context) (both context.Context, keep, cancel func()) {
	if !a.route.Idempotent {
		both, cancel = context.WithCancel(context.WithoutCancel(ctx))
		return both, func() {}, cancel
	}
	both, end := context.WithCancel(ctx)
	stop := context.AfterFunc(losers, end)
	return both, func() { stop() }, func() { stop(); end() }
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
		return &upstream.Error{Stage: upstream.StageRead, Written: true, Timeout: ingress.IsTimeout(err), Cause: err}
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
func (a *attempt) judge(answer Answer) result {
	status := a.resp.StatusCode()
	switch {
	case answer.Misdirected:
		return result{outcome: balance.Misdirected, notRun: true, arrived: true, detail: "another server at the address",
			err: notRun(problem.ReasonUpstream, "the backend server was replaced", refusalRetry(a.route))}
	case answer.NotRun:
		return result{outcome: balance.Full, notRun: true, arrived: true, detail: "not run by the server",
			err: notRun(problem.ReasonQueueFull, "the backend server did not run the request", refusalRetry(a.route))}
	case answer.RequestID != a.id:
		return broken("the answer names no request")
	case !answer.Signed && status < fasthttp.StatusMultipleChoices:
		return broken("a success without the server's proof")
	case status == fasthttp.StatusServiceUnavailable, status == fasthttp.StatusTooManyRequests,
		status == fasthttp.StatusRequestTimeout, status == fasthttp.StatusMisdirectedRequest:
		// These promise the caller that the request was not run, which this server did not say.
		return broken("a refusal that does not say that the request was not run")
	case status >= fasthttp.StatusInternalServerError:
		return a.serverError(status)
	}
	a.gateway.Dialect.CleanAnswer(&a.resp.Header)
	return result{outcome: balance.Answered, delivered: true, arrived: true, detail: "answered"}
}

// serverError relays a failure of the server, unless the request can be sent to another one.
func (a *attempt) serverError(status int) result {
	r := result{outcome: balance.Failed, arrived: true, detail: "server error"}
	if a.route.Idempotent && !a.lastOne {
		r.err = problem.New(status, problem.Unknown, problem.ReasonUpstream, "the backend server failed")
		return r
	}
	a.gateway.Dialect.CleanAnswer(&a.resp.Header)
	r.delivered = true
	return r
}

func broken(detail string) result {
	return result{outcome: balance.Failed, arrived: true, detail: detail,
		err: problem.New(fasthttp.StatusBadGateway, problem.Unknown, problem.ReasonUpstream, detail)}
}

// failed reads an error of the transport.
func (a *attempt) failed(err error) result {
	var failure *upstream.Error
	if !errors.As(err, &failure) {
		return broken(err.Error())
	}
	r := result{outcome: balance.Failed, notRun: !failure.Written, arrived: failure.Written, detail: failure.Error()}
	switch {
	case a.stream != nil && a.stream.Err != nil:
		r.outcome, r.err = balance.Abandoned, bodyProblem(a.stream.Err)
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
		r.err = notRun(problem.ReasonUpstream, failure.Error(), refusalRetry(a.route))
	case failure.Timeout:
		r.err = problem.New(fasthttp.StatusGatewayTimeout, problem.Unknown, problem.ReasonDeadline, "no answer in time")
	default:
		r.err = problem.New(fasthttp.StatusBadGateway, problem.Unknown, problem.ReasonUpstream, failure.Error())
	}
	return r
}
