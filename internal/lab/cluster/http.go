package cluster

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// ErrHTTP reports a control request to a stand-in or an entry VM that failed or returned an error status.
var ErrHTTP = errors.New("control request failed")

const (
	// requestTimeout bounds one control request.
	requestTimeout = 5 * time.Second
	// pollInterval is the interval between two checks of Poll.
	pollInterval = 20 * time.Millisecond
)

var client = &fasthttp.Client{MaxIdemponentCallAttempts: 1, MaxResponseBodySize: 1 << 30}

// sendRequest sends a control request with an optional JSON body and returns the body of the response. Error: ErrHTTP for a
// failed request or a status of 300 or above.
func sendRequest(method, url string, body any) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + url)
	// A reused connection may belong to an earlier process on the same address.
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

// getJSON sends a GET request and decodes the JSON response.
func getJSON[T any](url string) (T, error) {
	var v T
	body, err := sendRequest(fasthttp.MethodGet, url, nil)
	if err == nil {
		err = errors.Wrap(json.Unmarshal(body, &v), "decode response")
	}
	return v, err
}

// Poll calls check repeatedly until it returns nil. If ctx ends first, it returns the last error of check, marked with the
// error of ctx.
func Poll(ctx context.Context, check func() error) error {
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
