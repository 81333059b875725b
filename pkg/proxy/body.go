package proxy

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/ingress"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
)

// bufferedBody is the largest request body in bytes that is kept in memory, so that it can be sent again.
const bufferedBody = 64 << 10

// readBody takes small bodies into memory, so that they can be sent again and compared. Larger ones stay a stream, which
// only idempotent routes allow. The stream of fasthttp's request is never replaced: that would give it back to the
// library's pool while it is still read.
func (c *call) readBody() *problem.Problem {
	limit, length := int(c.route.MaxBody), c.ctx.Request.Header.ContentLength()
	if length > limit {
		return bodyTooLarge(problem.NotRun)
	}
	if !c.ctx.Request.IsBodyStream() {
		c.body = c.ctx.Request.Body()
		return nil
	}
	keep := min(limit, bufferedBody)
	if !c.route.Idempotent {
		keep = limit
	}
	source := c.ctx.RequestBodyStream()
	prefix, err := ingress.ReadPrefix(source, length, keep)
	switch {
	case err != nil:
		return bodyIncomplete(err, problem.NotRun)
	case len(prefix) <= keep:
		c.body = prefix
		return nil
	case len(prefix) > limit:
		return bodyTooLarge(problem.NotRun)
	}
	c.stream = &ingress.BodyStream{Source: io.MultiReader(bytes.NewReader(prefix), source), Length: length, Limit: limit}
	return nil
}

func bodyTooLarge(outcome problem.Outcome) *problem.Problem {
	return problem.New(fasthttp.StatusRequestEntityTooLarge, outcome, problem.ReasonBodyTooLarge, ingress.ErrBodyTooLarge.Error())
}

func bodyIncomplete(err error, outcome problem.Outcome) *problem.Problem {
	status := fasthttp.StatusBadRequest
	if ingress.IsTimeout(err) {
		status = fasthttp.StatusRequestTimeout
	}
	return problem.New(status, outcome, problem.ReasonBadRequest, "request body is incomplete")
}

// streamProblem is the answer for a body that the caller did not send whole; nil if the caller's side is well.
func streamProblem(s *ingress.BodyStream, outcome problem.Outcome) *problem.Problem {
	switch {
	case s == nil || s.Err == nil:
		return nil
	case errors.Is(s.Err, ingress.ErrBodyTooLarge):
		return bodyTooLarge(outcome)
	}
	return bodyIncomplete(s.Err, outcome)
}

// pacedReader waits for the right to send bytes before it hands them on.
type pacedReader struct {
	io.Reader
	pace func(bytes int) error
}

// Read implements io.Reader.
func (r pacedReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		if waitErr := r.pace(n); waitErr != nil {
			return 0, waitErr
		}
	}
	return n, err
}
