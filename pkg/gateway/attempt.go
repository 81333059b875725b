package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/balance"
	"github.com/hornbeamway/hornbeamway/pkg/bodybuffer"
	"github.com/hornbeamway/hornbeamway/pkg/ingress"
	"github.com/hornbeamway/hornbeamway/pkg/loadshare"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
	"github.com/hornbeamway/hornbeamway/pkg/routing"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

// attempt is one attempt to send a request to a server. It runs concurrently with its call and, if the request is hedged, with
// another attempt. It shares no mutable state with them, apart from the gateway and the body stream, which is nil for a buffered
// body. A request with a body stream has only one attempt at a time, and the call reads the state of the stream only while no
// attempt runs.
type attempt struct {
	gateway  *Gateway
	route    *routing.Route
	id       string
	choice   balance.Choice
	deadline time.Time
	stream   *ingress.BodyStream
	req      *fasthttp.Request
	// body is the buffer to which the body of req refers. The attempt is one of its holders and releases it when it ends.
	body *bodybuffer.Buffer
	resp *fasthttp.Response
	// final is true if no further attempt is allowed.
	final bool
}

// result is the result of one attempt.
type result struct {
	choice balance.Choice
	// resp is the response; it is valid only if delivered is true.
	resp    *fasthttp.Response
	outcome balance.Outcome
	// delivered is true if the response is to be sent to the caller.
	delivered bool
	// notRun is true if the server certainly did not run the request. mayHaveArrived is true if the server may have received
	// it.
	notRun, mayHaveArrived bool
	// err is the problem sent to the caller if no further attempt follows.
	err *problem.Problem
	// report is the load report in the response; nil if there is none.
	report *balance.LoadReport
	// detail describes the result in the log.
	detail string
}

// run sends the request and reads the response. It records the outcome and the load report in the balancer and publishes both to
// the peer VMs.
func (a *attempt) run(ctx, superseded context.Context) result {
	defer a.body.Release()
	defer fasthttp.ReleaseRequest(a.req)
	g, key, started := a.gateway, a.choice.Key, a.gateway.Clock.Now()
	g.Publish(loadshare.Event{Key: key, Count: g.Balancer.Begin(key)})
	sendCtx, detach, cancel := a.sendContext(ctx, superseded)
	err := g.Servers.RoundTrip(sendCtx, upstream.Attempt{
		Address: a.choice.Server.Address, Idempotent: a.route.Idempotent, Deadline: a.deadline,
		BeforeWrite: func() error { return a.checkBeforeWrite(ctx) },
		RequestID:   a.id, Classify: a.classify,
	}, a.req, a.resp)
	var head ResponseHead
	if err == nil {
		head = g.Dialect.Response(&a.resp.Header)
		err = bufferResponse(g.responseBodies, a.resp, a.deadline)
	}
	now := g.Clock.Now()
	var r result
	if err != nil {
		r = a.classifyTransportError(err)
	} else {
		r = a.classifyResponse(head)
	}
	r.choice, r.resp, r.report = a.choice, a.resp, head.LoadReport
	switch stream, streamed := a.resp.BodyStream().(*upstream.Body); {
	case !r.delivered:
		a.releaseResponse()
		cancel()
	case streamed:
		detach()
		stream.OnClose(cancel)
	default:
		cancel()
	}
	if r.delivered {
		g.estimates.record(a.route, a.choice, now.Sub(started), a.responseBodySize())
	}
	event := loadshare.Event{Key: key, Outcome: &r.outcome, LoadReport: head.LoadReport, ReportedAt: now}
	if head.LoadReport != nil {
		g.Balancer.RecordLoadReport(key, *head.LoadReport, now)
	}
	event.Count = g.Balancer.End(key, r.outcome, now)
	g.Publish(event)
	return r
}

// classify returns how a response relates to this request, which it has to name. A response that names none may be the second copy
// of an earlier one, for example of the refusal of a health check, whose "not run" would otherwise be taken for that of a request
// which the server runs.
func (a *attempt) classify(h *fasthttp.ResponseHeader) upstream.Verdict {
	head := a.gateway.Dialect.Response(h)
	a.recordStatement(head)
	switch {
	case a.namedBy(head) && (head.NotRun || head.Misdirected):
		return upstream.Refused
	case a.namedBy(head):
		return upstream.Accepted
	}
	countForeignResponse(head.RequestID)
	klog.InfoS("a response does not name the request", "id", a.id, "server", a.choice.Server.ID, "named", head.RequestID,
		"status", h.StatusCode(), "notRun", head.NotRun)
	return upstream.Foreign
}

// namedBy reports whether a response names the request. No response names a request without an id.
func (a *attempt) namedBy(head ResponseHead) bool { return a.id != "" && head.RequestID == a.id }

// errUnavailable reports that a server has stated meanwhile that it is leaving or wants no requests.
var errUnavailable = errors.New("the server states that it is not available")

// checkBeforeWrite returns an error if the request must no longer be sent: errUnavailable, or that of ctx. While a connection is
// opened, the response to another request may state that the server is not available.
func (a *attempt) checkBeforeWrite(ctx context.Context) error {
	if a.gateway.Balancer.Availability(a.choice.Server, a.gateway.Clock.Now()) != balance.Available {
		return errUnavailable
	}
	return ctx.Err()
}

// recordStatement applies what a response says about the availability of the server. A response to another request, or from another
// server at the address, counts only if it names the server.
func (a *attempt) recordStatement(head ResponseHead) {
	s := head.Statement
	named := head.ServerID == a.choice.Server.ID
	switch {
	case a.namedBy(head) && (!head.Misdirected || named):
		// The response is that of this server to this request, so that all of the statement counts.
	case named:
		s.RetryAfter = "" // It is not known when the server sent the response.
	default:
		return
	}
	a.gateway.availability.Record(a.choice.Server, s, "request "+a.id)
}

// releaseResponse gives back the memory, or the connection, of a response that is not relayed.
func (a *attempt) releaseResponse() {
	if err := a.resp.CloseBodyStream(); err != nil {
		klog.InfoS("failed to close the body of a response", "id", a.id, "server", a.choice.Server.ID, "err", err)
	}
}

// responseBodySize returns the size of the response body in bytes, or 0 if it is not known yet. It does not read the body.
func (a *attempt) responseBodySize() int {
	if a.resp.IsBodyStream() {
		return max(0, a.resp.Header.ContentLength())
	}
	return len(a.resp.Body())
}

// sendContext returns a context that ends when the caller disconnects or superseded ends, that is, when another attempt has
// answered. A non-idempotent request is not cancelled by either, because its outcome would remain unknown. detach removes the
// dependency on superseded.
func (a *attempt) sendContext(ctx, superseded context.Context) (sendCtx context.Context, detach, cancel func()) {
	if !a.route.Idempotent {
		sendCtx, cancel = context.WithCancel(context.WithoutCancel(ctx))
		return sendCtx, func() {}, cancel
	}
	sendCtx, cancelSend := context.WithCancel(ctx)
	stop := context.AfterFunc(superseded, cancelSend)
	return sendCtx, func() { stop() }, func() { stop(); cancelSend() }
}

// classifyResponse returns the result for a response to this request. A response is relayed only if the server has signed it, but for
// server errors: callers take any other for a refusal of this VM, and do not send the request again.
func (a *attempt) classifyResponse(head ResponseHead) result {
	status := a.resp.StatusCode()
	switch {
	case head.Misdirected:
		return result{outcome: balance.Misdirected, notRun: true, mayHaveArrived: true, detail: "answered by another server",
			err: notRun(problem.ReasonUpstream, "the backend server was replaced", refusalRetryAfter(a.route))}
	case head.NotRun:
		return result{outcome: balance.Full, notRun: true, mayHaveArrived: true, detail: "refused by the server as not run",
			err: notRun(problem.ReasonQueueFull, "the backend server did not run the request", refusalRetryAfter(a.route))}
	case status == fasthttp.StatusServiceUnavailable, status == fasthttp.StatusTooManyRequests,
		status == fasthttp.StatusRequestTimeout, status == fasthttp.StatusMisdirectedRequest:
		// These statuses guarantee to the caller that the request was not run. The server has not stated that.
		return invalidResponseResult("a refusal that does not say that the request was not run")
	case !head.Signed && status < fasthttp.StatusInternalServerError:
		return invalidResponseResult(fmt.Sprintf("a response with status %d without the server's proof", status))
	case status >= fasthttp.StatusInternalServerError:
		return a.serverErrorResult(status)
	}
	a.gateway.Dialect.CleanResponse(&a.resp.Header)
	return result{outcome: balance.Success, delivered: true, mayHaveArrived: true, detail: "answered"}
}

// serverErrorResult returns the result for a server error. The error is relayed to the caller unless the request can be sent to
// another server.
func (a *attempt) serverErrorResult(status int) result {
	r := result{outcome: balance.Failed, mayHaveArrived: true, detail: "server error"}
	if a.route.Idempotent && !a.final {
		r.err = problem.New(status, problem.Unknown, problem.ReasonUpstream, "the backend server failed")
		return r
	}
	a.gateway.Dialect.CleanResponse(&a.resp.Header)
	r.delivered = true
	return r
}

// invalidResponseResult returns the result for a response that must not be relayed. The request may have been run.
func invalidResponseResult(detail string) result {
	return result{outcome: balance.Failed, mayHaveArrived: true, detail: detail,
		err: problem.New(fasthttp.StatusBadGateway, problem.Unknown, problem.ReasonUpstream, detail)}
}

// classifyTransportError returns the result for an error of the transport.
func (a *attempt) classifyTransportError(err error) result {
	var failure *upstream.Error
	if !errors.As(err, &failure) {
		return invalidResponseResult(err.Error())
	}
	r := result{outcome: balance.Failed, notRun: !failure.Written, mayHaveArrived: failure.Written, detail: failure.Error()}
	switch {
	case a.stream != nil && a.stream.Err != nil:
		r.outcome, r.err = balance.Cancelled, bodyProblem(a.stream.Err)
		if !r.notRun {
			r.err = problem.New(fasthttp.StatusBadGateway, problem.Unknown, problem.ReasonBadRequest, "the request body broke off")
		}
	case failure.Cancelled:
		r.outcome = balance.Cancelled
		r.err = problem.New(fasthttp.StatusBadGateway, problem.Unknown, problem.ReasonCancelled, "the caller closed the connection")
	case errors.Is(failure.Cause, errUnavailable):
		r.outcome = balance.Cancelled
		r.err = notRun(problem.ReasonUpstream, errUnavailable.Error(), refusalRetryAfter(a.route))
	case r.notRun:
		r.outcome = balance.Unreachable
		if errors.Is(failure.Cause, upstream.ErrConnectionLimit) || errors.Is(failure.Cause, upstream.ErrConnectionRateLimit) {
			r.outcome = balance.Full
		}
		r.err = notRun(problem.ReasonUpstream, failure.Error(), refusalRetryAfter(a.route))
	case failure.Timeout:
		r.err = problem.New(fasthttp.StatusGatewayTimeout, problem.Unknown, problem.ReasonDeadline, "no answer in time")
	default:
		r.err = problem.New(fasthttp.StatusBadGateway, problem.Unknown, problem.ReasonUpstream, failure.Error())
	}
	return r
}
