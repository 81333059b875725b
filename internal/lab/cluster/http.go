package cluster

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// ErrHTTP reports a request to a stand-in or an entry VM without a good answer.
var ErrHTTP = errors.New("request failed")

const (
	// requestTimeout bounds one control request.
	requestTimeout = 5 * time.Second
	// pollInterval is the time between two looks at a state that has no event of its own.
	pollInterval = 20 * time.Millisecond
)

var client = &fasthttp.Client{MaxIdemponentCallAttempts: 1, MaxResponseBodySize: 1 << 30}

// request sends a control request and returns the body of a good answer.
func request(method, url string, body any) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + url)
	// A kept connection may belong to an earlier process on the same address.
	req.SetConnectionClose()
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Wrap(err, "encode request")
		}
		req.SetBody(data)
	}
	if err := client.DoTimeout(req, resp, requestTimeout); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "%s %s", method, url), ErrHTTP)
	}
	if status := resp.StatusCode(); status >= fasthttp.StatusMultipleChoices {
		return nil, errors.Wrapf(ErrHTTP, "%s %s: status %d: %s", method, url, status, resp.Body())
	}
	return append([]byte(nil), resp.Body()...), nil
}

// getJSON reads a JSON answer.
func getJSON[T any](url string) (T, error) {
	var v T
	body, err := request(fasthttp.MethodGet, url, nil)
	if err == nil {
		err = errors.Wrap(json.Unmarshal(body, &v), "decode answer")
	}
	return v, err
}

// Eventually calls check until it returns nil. Error: that of ctx with the last error of check.
func Eventually(ctx context.Context, check func() error) error {
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Mark(errors.Wrap(err, ctx.Err().Error()), ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}
