package proxy

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

// statusCallerClosedConnection is the status of a call whose caller closed the connection. It appears only in metrics
// and logs, because no caller is left to read the response.
const statusCallerClosedConnection = 499

// attemptError describes a failed attempt: the failure of the request and the problem that is returned to the caller.
type attemptError struct {
	problem *problem.Problem
	failure *upstream.Error
}

// Error implements error.
func (e *attemptError) Error() string { return e.problem.Error() }

// Unwrap returns the failure of the request.
func (e *attemptError) Unwrap() error { return e.failure }

// newAttemptError converts the error of an attempt into the error for the caller, and records whether the attempt may
// have been run.
func (c *call) newAttemptError(err error) error {
	var failure *upstream.Error
	if !errors.As(err, &failure) {
		return asProblem(err)
	}
	if failure.Written {
		c.mayHaveRun.Store(true)
	}
	return &attemptError{problem: c.problemFor(failure), failure: failure}
}

func (c *call) problemFor(failure *upstream.Error) *problem.Problem {
	outcome := problem.Unknown
	if !failure.Written {
		outcome = problem.NotRun
	}
	if incomplete := streamProblem(c.stream, outcome); incomplete != nil {
		return incomplete
	}
	var refused *problem.Problem
	if errors.As(failure.Cause, &refused) {
		return asProblem(refused)
	}
	switch {
	case failure.Cancelled:
		return problem.New(statusCallerClosedConnection, outcome, problem.ReasonCancelled, "the caller closed the connection")
	case failure.Timeout && !c.deadline.IsZero() && !time.Now().Before(c.deadline):
		return problem.New(fasthttp.StatusGatewayTimeout, outcome, problem.ReasonDeadline, "no answer before the deadline")
	case outcome == problem.NotRun:
		return problem.New(fasthttp.StatusServiceUnavailable, outcome, problem.ReasonUpstream, failure.Error()).
			WithRetryAfter(defaultRetryAfter)
	}
	return problem.New(fasthttp.StatusBadGateway, outcome, problem.ReasonUpstream, failure.Error())
}

func (c *call) resultClass(failure *upstream.Error) dispatch.ResultClass {
	switch {
	case failure.Cancelled, c.stream != nil && c.stream.Err != nil:
		return dispatch.Cancelled
	case errors.Is(failure, upstream.ErrConnectionLimit), errors.Is(failure, upstream.ErrConnectionRateLimit):
		return dispatch.NotSent
	case failure.Stage == upstream.StageConnect:
		return dispatch.Refused
	case failure.Timeout:
		return dispatch.TimedOut
	}
	return dispatch.Failed
}

// reportsNotRun reports whether the backend server states that it did not run the call.
func reportsNotRun(h *fasthttp.ResponseHeader) bool { return len(h.Peek(headerNotRun)) > 0 }

// refusalVerdict classifies a response for the transport. It never reports a response to another call, because the responses of backend
// servers do not state the id of their call.
func refusalVerdict(h *fasthttp.ResponseHeader) upstream.Verdict {
	if reportsNotRun(h) {
		return upstream.Refused
	}
	return upstream.Accepted
}

// classifyResponse distinguishes a response to a call that was not run, a failure of the server and a success. A server
// that reports that it is draining gets no new work, whatever its response is.
func classifyResponse(h *fasthttp.ResponseHeader, status int) dispatch.ResultClass {
	switch {
	case len(h.Peek(headerDrain)) > 0, status == fasthttp.StatusServiceUnavailable && h.ConnectionClose():
		return dispatch.Draining
	case reportsNotRun(h) && status == fasthttp.StatusGatewayTimeout:
		return dispatch.TimedOut
	case reportsNotRun(h):
		return dispatch.Shed
	case status >= fasthttp.StatusInternalServerError:
		return dispatch.Failed
	}
	return dispatch.Success
}

// serverRefusal replaces a response that states that the call was not run by a problem. It returns nil for other
// responses.
func serverRefusal(resp *fasthttp.Response) error {
	if !reportsNotRun(&resp.Header) {
		return nil
	}
	refusal := problem.New(fasthttp.StatusServiceUnavailable, problem.NotRun, problem.ReasonUpstream,
		"the backend server did not run the call").WithRetryAfter(defaultRetryAfter)
	if resp.StatusCode() == fasthttp.StatusGatewayTimeout {
		refusal = problem.New(fasthttp.StatusGatewayTimeout, problem.NotRun, problem.ReasonDeadline,
			"the deadline passed before the backend server ran the call")
	}
	resp.Reset()
	return refusal
}
