package platformlog

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/traffic"
)

// Defaults of the client.
const (
	// defaultTimeout is the timeout of one request to the service, excluding the wait of a long poll.
	defaultTimeout = 3 * time.Second
	// readLimit is the maximum number of records requested in one read.
	readLimit = 500
)

// Client is an HTTP client of the log service. It implements Log.
type Client struct {
	baseURL     string
	timeout     time.Duration
	mu          sync.Mutex
	httpClients map[string]*fasthttp.Client
}

// NewClient returns a client for the service at address (IP and port).
func NewClient(address string) *Client {
	return &Client{baseURL: "http://" + address, timeout: defaultTimeout, httpClients: map[string]*fasthttp.Client{}}
}

// httpClient returns the HTTP client for one stream and one kind of request ("append" or "read"). Each has its own
// connections, so that its bytes are counted separately, as the part log.STREAM.KIND of the control traffic.
func (c *Client) httpClient(stream, kind string) *fasthttp.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	part := "log." + stream + "." + kind
	if c.httpClients[part] == nil {
		c.httpClients[part] = &fasthttp.Client{
			Dial:                      traffic.MeterFor(part).Dial,
			NoDefaultUserAgentHeader:  true,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                neverRetry,
			MaxIdleConnDuration:       10 * time.Second,
		}
	}
	return c.httpClients[part]
}

// neverRetry prevents the HTTP library from sending an append twice.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

type appendResponse struct {
	Offset int64 `json:"offset"`
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, data any) (int64, error) {
	body, err := json.Marshal(data)
	if err != nil {
		return 0, errors.Wrap(err, "encode record")
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(c.baseURL + "/streams/" + stream + "/records")
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	if err := c.httpClient(stream, "append").DoDeadline(req, resp, c.deadline(ctx, 0)); err != nil {
		return 0, classifyAppendError(err)
	}
	return decodeAppend(resp)
}

func decodeAppend(resp *fasthttp.Response) (int64, error) {
	switch {
	case resp.StatusCode() == fasthttp.StatusServiceUnavailable:
		return 0, errors.Wrap(ErrUnavailable, "append refused")
	case resp.StatusCode() != fasthttp.StatusOK:
		return 0, errors.Wrapf(ErrUnknownAppend, "status %d", resp.StatusCode())
	}
	var response appendResponse
	if err := json.Unmarshal(resp.Body(), &response); err != nil {
		return 0, errors.Wrapf(ErrUnknownAppend, "decode response: %v", err)
	}
	return response.Offset, nil
}

// classifyAppendError returns ErrUnavailable if no connection was established, and ErrUnknownAppend if the request may have
// reached the service.
func classifyAppendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Wrapf(ErrUnavailable, "%v", err)
	}
	return errors.Wrapf(ErrUnknownAppend, "%v", err)
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	uri := fmt.Sprintf("%s/streams/%s/records?from=%d&limit=%d", c.baseURL, stream, from, readLimit)
	if wait > 0 {
		uri += "&waitMs=" + strconv.FormatInt(wait.Milliseconds(), 10)
	}
	req.SetRequestURI(uri)
	if err := c.httpClient(stream, "read").DoDeadline(req, resp, c.deadline(ctx, wait)); err != nil {
		return Batch{}, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return Batch{}, errors.Wrapf(ErrUnavailable, "status %d", resp.StatusCode())
	}
	var batch Batch
	if err := json.Unmarshal(resp.Body(), &batch); err != nil {
		return Batch{}, errors.Wrapf(ErrUnavailable, "decode response: %v", err)
	}
	return batch, nil
}

// deadline returns the earlier of the deadline of ctx and the client timeout plus wait from now.
func (c *Client) deadline(ctx context.Context, wait time.Duration) time.Time {
	timeoutDeadline := time.Now().Add(c.timeout + wait)
	if d, ok := ctx.Deadline(); ok && d.Before(timeoutDeadline) {
		return d
	}
	return timeoutDeadline
}
