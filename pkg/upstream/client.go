package upstream

import (
	"bytes"
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Client sends requests whose responses are needed whole, such as calls of an API. It is safe for concurrent use.
type Client struct {
	transport *Transport
	// maxBody is the largest body of a response in bytes.
	maxBody int
}

// NewClient returns a client that accepts responses with up to maxBody bytes.
func NewClient(t *Transport, maxBody int) *Client { return &Client{transport: t, maxBody: maxBody} }

// Do sends req once. It returns the body of the response and leaves the head in resp. Every error is an *Error.
func (c *Client) Do(ctx context.Context, a Attempt, req *fasthttp.Request, resp *fasthttp.Response) ([]byte, error) {
	c.transport.CloseExpired()
	if err := c.transport.RoundTrip(ctx, a, req, resp); err != nil {
		return nil, err
	}
	body, err := c.readBody(a, resp)
	if err != nil {
		return nil, &Error{Address: a.Address, Stage: StageRead, Written: true, Timeout: isTimeout(err) && ctx.Err() == nil,
			Cancelled: ctx.Err() != nil, Cause: err}
	}
	return body, nil
}

func (c *Client) readBody(a Attempt, resp *fasthttp.Response) ([]byte, error) {
	stream, streamed := resp.BodyStream().(*Body)
	if !streamed {
		return bytes.Clone(resp.Body()), nil
	}
	stream.SetDeadline(a.Deadline)
	body, err := io.ReadAll(io.LimitReader(stream, int64(c.maxBody)+1))
	if err == nil && len(body) > c.maxBody {
		err = errors.Wrapf(fasthttp.ErrBodyTooLarge, "limit %d bytes", c.maxBody)
	}
	return body, errors.CombineErrors(err, resp.CloseBodyStream())
}
