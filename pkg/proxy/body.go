package proxy

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/problem"
)

// bufferedBody is the largest request body in bytes that is kept in memory, so that it can be sent again.
const bufferedBody = 64 << 10

// errBodyTooLarge ends a body of unknown length at the route's limit.
var errBodyTooLarge = errors.New("request body is larger than the route allows")

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
	prefix, err := readPrefix(source, length, keep)
	switch {
	case err != nil:
		return bodyIncomplete(err, problem.NotRun)
	case len(prefix) <= keep:
		c.body = prefix
		return nil
	case len(prefix) > limit:
		return bodyTooLarge(problem.NotRun)
	}
	c.stream = &bodyStream{source: io.MultiReader(bytes.NewReader(prefix), source), length: length, limit: limit}
	return nil
}

// readPrefix reads up to keep+1 bytes. A result of at most keep bytes is the whole body.
func readPrefix(source io.Reader, length, keep int) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(io.LimitReader(source, int64(keep)+1))
	}
	prefix := make([]byte, min(length, keep+1))
	_, err := io.ReadFull(source, prefix)
	return prefix, err
}

func bodyTooLarge(outcome problem.Outcome) *problem.Problem {
	return problem.New(fasthttp.StatusRequestEntityTooLarge, outcome, problem.ReasonBodyTooLarge, errBodyTooLarge.Error())
}

func bodyIncomplete(err error, outcome problem.Outcome) *problem.Problem {
	status := fasthttp.StatusBadRequest
	if isTimeout(err) {
		status = fasthttp.StatusRequestTimeout
	}
	return problem.New(status, outcome, problem.ReasonBadRequest, "request body is incomplete")
}

// bodyStream is a request body that is relayed while the caller sends it. One attempt reads it.
type bodyStream struct {
	source io.Reader
	length int // -1: not known
	limit  int
	read   int
	// touched says that bytes were taken, so that the body cannot be sent again.
	touched bool
	// err is the error of the caller's side, nil while it is well.
	err error
	// onEnd runs when the last byte was read.
	onEnd func()
}

// Read implements io.Reader. A body that is cut short or too large ends with an error, so that it is never sent as a
// complete one.
func (s *bodyStream) Read(p []byte) (int, error) {
	s.touched = true
	n, err := s.source.Read(p)
	s.read += n
	switch {
	case s.read > s.limit:
		err = errBodyTooLarge
	case errors.Is(err, io.EOF) && s.read < s.length:
		err = io.ErrUnexpectedEOF
	}
	switch {
	case errors.Is(err, io.EOF):
		s.onEnd()
	case err != nil:
		s.err = err
	}
	return n, err
}

// problem is the answer for a body that the caller did not send whole; nil if the caller's side is well.
func (s *bodyStream) problem(outcome problem.Outcome) *problem.Problem {
	switch {
	case s == nil || s.err == nil:
		return nil
	case errors.Is(s.err, errBodyTooLarge):
		return bodyTooLarge(outcome)
	}
	return bodyIncomplete(s.err, outcome)
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
