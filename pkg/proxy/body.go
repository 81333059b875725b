package proxy

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/ingress"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
)

// maxBufferedBody is the size in bytes of the largest request body that an idempotent route keeps in memory, so that it
// can be sent again.
const maxBufferedBody = 64 << 10

// readBody reads small bodies into memory, so that they can be sent again and compared. Larger bodies remain a stream,
// which only idempotent routes allow. The body stream of fasthttp's request is never replaced: fasthttp would return it
// to its pool while it is still being read.
func (c *call) readBody() *problem.Problem {
	limit, length := int(c.route.MaxBody), c.ctx.Request.Header.ContentLength()
	if length > limit {
		return bodyTooLarge(problem.NotRun)
	}
	if !c.ctx.Request.IsBodyStream() {
		c.body = c.ctx.Request.Body()
		return nil
	}
	bufferLimit := min(limit, maxBufferedBody)
	if !c.route.Idempotent {
		bufferLimit = limit
	}
	source := c.ctx.RequestBodyStream()
	prefix, err := ingress.ReadPrefix(source, length, bufferLimit)
	switch {
	case err != nil:
		return incompleteBody(err, problem.NotRun)
	case len(prefix) <= bufferLimit:
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

func incompleteBody(err error, outcome problem.Outcome) *problem.Problem {
	status := fasthttp.StatusBadRequest
	if ingress.IsTimeout(err) {
		status = fasthttp.StatusRequestTimeout
	}
	return problem.New(status, outcome, problem.ReasonBadRequest, "request body is incomplete")
}

// streamProblem returns the problem for a body that the caller did not send completely, or nil if reading from the
// caller has not failed.
func streamProblem(s *ingress.BodyStream, outcome problem.Outcome) *problem.Problem {
	switch {
	case s == nil || s.Err == nil:
		return nil
	case errors.Is(s.Err, ingress.ErrBodyTooLarge):
		return bodyTooLarge(outcome)
	}
	return incompleteBody(s.Err, outcome)
}

// pacedReader waits for permission to send the bytes that it has read before it returns them.
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
