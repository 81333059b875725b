package problem

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// Write replaces the content of resp with the problem, encoded as application/problem+json.
func Write(resp *fasthttp.Response, p *Problem) {
	resp.Reset()
	resp.SetStatusCode(p.Status)
	resp.Header.SetContentType(ContentType)
	if p.RetryAfter > 0 {
		resp.Header.Set(fasthttp.HeaderRetryAfter, p.RetryAfterSeconds())
	}
	body, err := json.Marshal(p)
	if err != nil {
		// All fields are strings and numbers, so Marshal cannot fail.
		body = []byte(`{}`)
	}
	resp.SetBodyRaw(body)
}
