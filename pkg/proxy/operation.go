package proxy

import (
	"bytes"
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/operation"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

// maxStoredBody is the size in bytes of the largest response body that is read into memory and stored for repeats of
// the key.
const maxStoredBody = 64 << 10

// serveOperation runs a non-idempotent call on the VM that owns its key.
func (p *Proxy) serveOperation(c *call) error {
	key := string(c.ctx.Request.Header.Peek(HeaderIdempotencyKey))
	if key == "" {
		p.offerTicket(c)
		return problem.New(fasthttp.StatusBadRequest, problem.NotRun, problem.ReasonKeyRequired,
			"this route needs an "+HeaderIdempotencyKey+"; use the ticket in "+HeaderOperationTicket)
	}
	owner, err := p.Operations.Locate(key)
	if err == nil && owner.Local {
		err = p.runOwned(c, key)
	} else if err == nil {
		err = p.forwardToOwner(c, owner)
	}
	p.offerTicket(c)
	return err
}

// offerTicket adds a ticket for the caller's next operation to the response.
func (p *Proxy) offerTicket(c *call) {
	if len(c.ctx.Response.Header.Peek(HeaderOperationTicket)) > 0 {
		return
	}
	if ticket, err := p.Operations.Issue(); err == nil {
		c.ctx.Response.Header.Set(HeaderOperationTicket, ticket)
	}
}

// runOwned runs a call whose key this VM owns, or responds from the operation memory.
func (p *Proxy) runOwned(c *call, key string) error {
	fingerprint := operation.Fingerprint(c.ctx.Method(), c.ctx.Request.Header.RequestURI(), c.body)
	entry, verdict := p.Operations.Begin(c.arrived, key, fingerprint, c.deadline)
	switch verdict {
	case operation.Run:
	case operation.Replay:
		return replay(&c.ctx.Response, entry)
	default:
		return verdict.Problem()
	}
	c.deadline = entry.Deadline()
	c.beforeWrite = func() error { return p.Operations.CheckBeforeWrite(entry) }
	// The call continues when the caller disconnects: once it is written, only its response shows the outcome.
	err := p.dispatch(context.Background(), c)
	if err != nil {
		return p.finishFailedOperation(entry, asProblem(err))
	}
	return p.finishCompletedOperation(c, entry)
}

// finishFailedOperation finishes the entry of an operation that got no response.
func (p *Proxy) finishFailedOperation(entry *operation.Entry, failure *problem.Problem) error {
	if failure.Attempt == problem.NotRun {
		failure.Outcome = p.Operations.MarkNotRun(entry)
		return failure
	}
	p.Operations.MarkUnknown(entry)
	return failure
}

// finishCompletedOperation finishes the entry of an operation that got a response, and stores the response for repeats
// of the key.
func (p *Proxy) finishCompletedOperation(c *call, entry *operation.Entry) error {
	resp := &c.ctx.Response
	removeFromResponse(&resp.Header)
	body, complete, err := bufferBody(resp)
	if err != nil {
		p.Operations.MarkUnknown(entry)
		return problem.New(fasthttp.StatusBadGateway, problem.Unknown, problem.ReasonUpstream,
			"the response of the backend server was cut short")
	}
	stored := operation.Response{Status: resp.StatusCode(), Body: body, Truncated: !complete}
	for name, value := range resp.Header.All() {
		stored.Headers = append(stored.Headers, operation.Header{Name: string(name), Value: string(value)})
	}
	for _, name := range resp.Header.PeekTrailerKeys() {
		stored.Trailers = append(stored.Trailers, operation.Header{Name: string(name), Value: string(resp.Header.PeekBytes(name))})
	}
	p.Operations.Finish(entry, stored)
	return nil
}

// errUnexpectedStreamType reports a response whose stream was not created by package upstream.
var errUnexpectedStreamType = errors.New("unexpected type of response stream")

// bufferBody returns a copy of a body of up to maxStoredBody bytes. The response itself remains complete. complete is
// false for a longer body.
func bufferBody(resp *fasthttp.Response) (body []byte, complete bool, err error) {
	if !resp.IsBodyStream() {
		return bytes.Clone(resp.Body()), true, nil
	}
	stream := resp.BodyStream()
	body, err = io.ReadAll(io.LimitReader(stream, maxStoredBody+1))
	if err != nil {
		_ = resp.CloseBodyStream()
		return nil, false, err
	}
	if len(body) <= maxStoredBody {
		length := resp.Header.ContentLength()
		// Replacing the stream closes it, which releases the connection.
		resp.SetBody(body)
		resp.Header.SetContentLength(max(length, -1))
		return body, true, nil
	}
	if upstreamBody, ok := stream.(*upstream.Body); ok {
		upstreamBody.Unread(body)
		return nil, false, nil
	}
	return nil, false, errUnexpectedStreamType
}

// replay writes the stored response of a key.
func replay(resp *fasthttp.Response, entry *operation.Entry) error {
	stored := entry.Response()
	if stored == nil {
		return operation.ResponseNotStored.Problem()
	}
	resp.SetStatusCode(stored.Status)
	for _, h := range stored.Headers {
		if h.Name == fasthttp.HeaderContentLength {
			continue
		}
		resp.Header.Add(h.Name, h.Value)
	}
	resp.SetBody(stored.Body)
	for _, t := range stored.Trailers {
		if err := resp.Header.AddTrailer(t.Name); err != nil {
			return errors.Wrapf(err, "trailer %q", t.Name)
		}
		resp.Header.Set(t.Name, t.Value)
	}
	return nil
}

// forwardToOwner sends the call to the VM that owns its key. Only that VM may run it, so there is no other target. If
// the VM cannot be reached, the outcome of earlier attempts is unknown.
func (p *Proxy) forwardToOwner(c *call, owner operation.Owner) error {
	c.crossesRegions = owner.Region != "" && owner.Region != p.Region
	err := p.forwardCall(context.Background(), c, hop{kind: hopOwner, vm: owner.VM, address: owner.Forward})
	var failed *attemptError
	if !errors.As(err, &failed) || failed.problem.Attempt != problem.NotRun {
		return err
	}
	failed.problem.Outcome = problem.Unknown
	if failed.problem.Reason == problem.ReasonUpstream {
		failed.problem.Reason = problem.ReasonOwnerUnreachable
		failed.problem.Detail = "the VM that owns the key cannot be reached; this attempt was not run, earlier ones may have been"
	}
	return err
}
