package proxy

import (
	"bytes"
	"context"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"
)

// outgoing returns a copy of the caller's request for one attempt. The caller releases it.
func (c *call) outgoing(number int) *fasthttp.Request {
	c.copying.Lock()
	defer c.copying.Unlock()
	req := fasthttp.AcquireRequest()
	in := &c.ctx.Request
	in.Header.CopyTo(&req.Header)
	if number > 0 {
		// A service deeper in the call tree does not retry a retry.
		req.Header.Set(headerAttempt, strconv.Itoa(number))
	}
	length := in.Header.ContentLength()
	switch {
	case c.stream != nil:
		req.SetBodyStream(c.stream, length)
		// Trailers arrive behind the last byte of the body.
		c.stream.OnEnd = func() { copyTrailers(&req.Header, &in.Header) }
	case length < 0 && len(in.Header.PeekTrailerKeys()) > 0:
		// Only a chunked body carries trailers.
		req.SetBodyStream(bytes.NewReader(c.body), -1)
	default:
		req.SetBodyRaw(c.body)
	}
	return req
}

func copyTrailers(to, from *fasthttp.RequestHeader) {
	for _, key := range from.PeekTrailerKeys() {
		to.SetBytesKV(key, from.PeekBytes(key))
	}
}

// paceRequest makes the body of req wait for its share of the region link. A body in memory waits here, before anything
// is written; a stream waits as it is sent.
func (p *Proxy) paceRequest(ctx context.Context, c *call, req *fasthttp.Request) error {
	pace := p.linkPace(ctx, c)
	if c.stream == nil {
		if len(c.body) == 0 {
			return nil
		}
		return pace(len(c.body))
	}
	req.SetBodyStream(pacedReader{Reader: io.Reader(c.stream), pace: pace}, c.ctx.Request.Header.ContentLength())
	return nil
}

// linkPace returns a function that waits for the right to send bytes over the region link and counts them.
func (p *Proxy) linkPace(ctx context.Context, c *call) func(bytes int) error {
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
