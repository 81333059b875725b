package proxy

import (
	"io"
	"strconv"

	"github.com/valyala/fasthttp"
)

// outgoing returns a copy of the caller's request for one attempt. The caller releases it.
func (p *Proxy) outgoing(c *call, number int) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	in := &c.ctx.Request
	in.Header.CopyTo(&req.Header)
	removeHopByHop(&req.Header)
	removeInternal(&req.Header)
	req.Header.Set(HeaderRequestID, c.id)
	setAttempt(&req.Header, number)
	// Expect ends here: this VM has already read or admitted the body.
	req.Header.Del(fasthttp.HeaderExpect)
	if in.IsBodyStream() {
		// The stream is shared between attempts; it is sent again only if no attempt has read from it.
		req.SetBodyStream(unclosed{in.BodyStream()}, in.Header.ContentLength())
		return req
	}
	req.SetBodyRaw(in.Body())
	return req
}

// setAttempt passes the number of the attempt on, so that a service deeper in the call tree does not retry a retry.
func setAttempt(h *fasthttp.RequestHeader, number int) {
	if number > 0 {
		h.Set(headerAttempt, strconv.Itoa(number))
	}
}

// unclosed keeps the stream of the caller's body open when a request that sent it is released.
type unclosed struct{ io.Reader }
