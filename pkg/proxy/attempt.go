package proxy

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

// statusCallerGone goes to metrics and logs only: the caller that would read it has left.
const statusCallerGone = 499

// attemptError is a failed attempt: what failed, and the answer to the caller.
type attemptError struct {
	answer  *problem.Problem
	failure *upstream.Error
}

// Error implements error.
func (e *attemptError) Error() string { return e.answer.Error() }

// Unwrap returns the failure of the attempt.
func (e *attemptError) Unwrap() error { return e.failure }

// failedAttempt turns an error of an attempt into the answer for the caller, and notes whether it may have been run.
func (c *call) failedAttempt(err error) error {
	var failure *upstream.Error
	if !errors.As(err, &failure) {
		return asProblem(err)
	}
	if failure.Written {
		c.mayHaveRun.Store(true)
	}
	return &attemptError{answer: c.answerTo(failure), failure: failure}
}

func (c *call) answerTo(failure *upstream.Error) *problem.Problem {
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
		return problem.New(statusCallerGone, outcome, problem.ReasonCancelled, "the caller closed the connection")
	case failure.Timeout && !c.deadline.IsZero() && !time.Now().Before(c.deadline):
		return problem.New(fasthttp.StatusGatewayTimeout, outcome, problem.ReasonDeadline, "no answer before the deadline")
	case outcome == problem.NotRun:
		return problem.New(fasthttp.StatusServiceUnavailable, outcome, problem.ReasonUpstream, failure.Error()).WithRetryAfter(notReadyRetry)
	}
	return problem.New(fasthttp.StatusBadGateway, outcome, problem.ReasonUpstream, failure.Error())
}

func (c *call) resultOf(failure *upstream.Error) dispatch.ResultClass {
	switch {
	case failure.Cancelled, c.stream != nil && c.stream.Err != nil:
		return dispatch.Cancelled
	case errors.Is(failure, upstream.ErrConnectionLimit), errors.Is(failure, upstream.ErrPaced):
		return dispatch.Unsent
	case failure.Stage == upstream.StageConnect:
		return dispatch.Refused
	case failure.Timeout:
		return dispatch.TimedOut
	}
	return dispatch.Failed
}

// notRun reports whether the backend server says that it did not run the call.
func notRun(h *fasthttp.ResponseHeader) bool { return len(h.Peek(headerNotRun)) > 0 }

// answerClass tells an answer that was not run, or a failure of the server, from a success. A server that says that it is
// going away gets no new work, whatever it answered.
func answerClass(h *fasthttp.ResponseHeader, status int) dispatch.ResultClass {
	switch {
	case len(h.Peek(headerDrain)) > 0, status == fasthttp.StatusServiceUnavailable && h.ConnectionClose():
		return dispatch.Draining
	case notRun(h) && status == fasthttp.StatusGatewayTimeout:
		return dispatch.TimedOut
	case notRun(h):
		return dispatch.Shed
	case status >= fasthttp.StatusInternalServerError:
		return dispatch.Failed
	}
	return dispatch.Success
}

// refusedByServer replaces an answer that says that the call was not run by a problem. It returns nil for other answers.
func refusedByServer(resp *fasthttp.Response) error {
	if !notRun(&resp.Header) {
		return nil
	}
	refusal := problem.New(fasthttp.StatusServiceUnavailable, problem.NotRun, problem.ReasonUpstream,
		"the backend server did not run the call").WithRetryAfter(notReadyRetry)
	if resp.StatusCode() == fasthttp.StatusGatewayTimeout {
		refusal = problem.New(fasthttp.StatusGatewayTimeout, problem.NotRun, problem.ReasonDeadline,
			"the deadline passed before the backend server ran the call")
	}
	resp.Reset()
	return refusal
}
