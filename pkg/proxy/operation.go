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

// keptAnswer is the largest body in bytes that is read into memory to be kept for a repeated key.
const keptAnswer = 64 << 10

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

// offerTicket adds a ticket for the caller's next operation to the answer.
func (p *Proxy) offerTicket(c *call) {
	if len(c.ctx.Response.Header.Peek(HeaderOperationTicket)) > 0 {
		return
	}
	if ticket, err := p.Operations.Issue(); err == nil {
		c.ctx.Response.Header.Set(HeaderOperationTicket, ticket)
	}
}

// runOwned runs a call whose key this VM owns, or answers from the operation memory.
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
	// The call goes on when the caller leaves: once it is written only its answer tells the outcome.
	err := p.dispatch(context.Background(), c)
	if err != nil {
		return p.endFailed(entry, asProblem(err))
	}
	return p.endAnswered(c, entry)
}

// endFailed ends an entry whose call got no answer.
func (p *Proxy) endFailed(entry *operation.Entry, failure *problem.Problem) error {
	if failure.Attempt == problem.NotRun {
		failure.Outcome = p.Operations.NotRun(entry)
		return failure
	}
	p.Operations.Unknown(entry)
	return failure
}

// endAnswered ends an entry whose call got an answer, and keeps the answer for a repeat.
func (p *Proxy) endAnswered(c *call, entry *operation.Entry) error {
	resp := &c.ctx.Response
	removeFromAnswer(&resp.Header)
	body, complete, err := takeBody(resp)
	if err != nil {
		p.Operations.Unknown(entry)
		return problem.New(fasthttp.StatusBadGateway, problem.Unknown, problem.ReasonUpstream, "the answer was cut short")
	}
	answer := operation.Answer{Status: resp.StatusCode(), Body: body, Truncated: !complete}
	for name, value := range resp.Header.All() {
		answer.Headers = append(answer.Headers, operation.Header{Name: string(name), Value: string(value)})
	}
	for _, name := range resp.Header.PeekTrailerKeys() {
		answer.Trailers = append(answer.Trailers, operation.Header{Name: string(name), Value: string(resp.Header.PeekBytes(name))})
	}
	p.Operations.Finish(entry, answer)
	return nil
}

// errUnexpectedStream reports an answer whose stream does not come from package upstream.
var errUnexpectedStream = errors.New("unexpected type of answer stream")

// takeBody copies a body of up to keptAnswer bytes and leaves the answer whole. complete is false for a longer body.
func takeBody(resp *fasthttp.Response) (body []byte, complete bool, err error) {
	if !resp.IsBodyStream() {
		return bytes.Clone(resp.Body()), true, nil
	}
	stream := resp.BodyStream()
	body, err = io.ReadAll(io.LimitReader(stream, keptAnswer+1))
	if err != nil {
		_ = resp.CloseBodyStream()
		return nil, false, err
	}
	if len(body) <= keptAnswer {
		length := resp.Header.ContentLength()
		// Replacing the stream closes it, which gives the connection back.
		resp.SetBody(body)
		resp.Header.SetContentLength(max(length, -1))
		return body, true, nil
	}
	if rest, ok := stream.(*upstream.Body); ok {
		rest.Unread(body)
		return nil, false, nil
	}
	return nil, false, errUnexpectedStream
}

// replay writes the first answer of a key.
func replay(resp *fasthttp.Response, entry *operation.Entry) error {
	answer := entry.Answer()
	if answer == nil {
		return operation.AnswerNotKept.Problem()
	}
	resp.SetStatusCode(answer.Status)
	for _, h := range answer.Headers {
		if h.Name == fasthttp.HeaderContentLength {
			continue
		}
		resp.Header.Add(h.Name, h.Value)
	}
	resp.SetBody(answer.Body)
	for _, t := range answer.Trailers {
		if err := resp.Header.AddTrailer(t.Name); err != nil {
			return errors.Wrapf(err, "trailer %q", t.Name)
		}
		resp.Header.Set(t.Name, t.Value)
	}
	return nil
}

// forwardToOwner sends the call to the VM that owns its key. Only that VM may run it, so there is no second way. When it
// cannot be reached, what became of earlier attempts is not known.
func (p *Proxy) forwardToOwner(c *call, owner operation.Owner) error {
	c.crossing = owner.Region != "" && owner.Region != p.Region
	err := p.forwardCall(context.Background(), c, hop{kind: hopOwner, vm: owner.VM, address: owner.Forward})
	var failed *attemptError
	if !errors.As(err, &failed) || failed.answer.Attempt != problem.NotRun {
		return err
	}
	failed.answer.Outcome = problem.Unknown
	if failed.answer.Reason == problem.ReasonUpstream {
		failed.answer.Reason = problem.ReasonOwnerUnreachable
		failed.answer.Detail = "the VM that owns the key cannot be reached; this attempt was not run, earlier ones may have been"
	}
	return err
}
