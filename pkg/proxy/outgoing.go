package proxy

import (
	"bytes"
	"context"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/ingress"
)

// newOutgoingRequest returns a copy of the caller's request for one attempt. It must be released with
// fasthttp.ReleaseRequest.
func (c *call) newOutgoingRequest(number int) *fasthttp.Request {
	c.headerMu.Lock()
	defer c.headerMu.Unlock()
	req := fasthttp.AcquireRequest()
	received := &c.ctx.Request
	received.Header.CopyTo(&req.Header)
	if number > 0 {
		// Services further down the call tree do not retry a retry.
		req.Header.Set(headerAttempt, strconv.Itoa(number))
	}
	length := received.Header.ContentLength()
	switch {
	case c.stream != nil:
		req.SetBodyStream(c.stream, length)
		// Trailers arrive after the last byte of the body.
		c.stream.OnEnd = func() { copyTrailers(&req.Header, &received.Header) }
	case length < 0 && len(received.Header.PeekTrailerKeys()) > 0:
		// Only a chunked body can have trailers.
		req.SetBodyStream(bytes.NewReader(c.body), -1)
	default:
		ingress.SetBufferedBody(req, c.body)
	}
	return req
}

func copyTrailers(to, from *fasthttp.RequestHeader) {
	for _, key := range from.PeekTrailerKeys() {
		to.SetBytesKV(key, from.PeekBytes(key))
	}
}

// paceRequest makes the body of req wait for its share of the region link. A body in memory waits here, before anything
// is written; a stream waits while it is sent.
func (p *Proxy) paceRequest(ctx context.Context, c *call, req *fasthttp.Request) error {
	pace := p.linkPaceFunc(ctx, c)
	if c.stream == nil {
		if len(c.body) == 0 {
			return nil
		}
		return pace(len(c.body))
	}
	req.SetBodyStream(pacedReader{Reader: io.Reader(c.stream), pace: pace}, c.ctx.Request.Header.ContentLength())
	return nil
}

// linkPaceFunc returns a function that waits until bytes may be sent over the region link and counts them.
func (p *Proxy) linkPaceFunc(ctx context.Context, c *call) func(bytes int) error {
	sent := linkBytes.get(c.route.Class)
	return func(bytes int) error {
		if p.Pacer != nil {
			if err := p.Pacer.Wait(ctx, c.route.Class, bytes); err != nil {
				return err
			}
		}
		sent.Add(bytes)
		return nil
	}
}
