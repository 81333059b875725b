package platformlog

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/traffic"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

// Defaults of the client.
const (
	// defaultTimeout is the timeout of one request to the service, excluding the wait of a long poll.
	defaultTimeout = 3 * time.Second
	// readLimit is the maximum number of records requested in one read.
	readLimit = 500
	// maxResponseBytes is the largest response in bytes. Most records are far smaller than maxResponseBytes/readLimit.
	maxResponseBytes = 64 << 20
)

// Client is an HTTP client of the log service. It implements Log.
type Client struct {
	address     string
	timeout     time.Duration
	mu          sync.Mutex
	httpClients map[string]*upstream.Client
}

// NewClient returns a client for the service at address (IP and port).
func NewClient(address string) *Client {
	return &Client{address: address, timeout: defaultTimeout, httpClients: map[string]*upstream.Client{}}
}

// httpClient returns the HTTP client for one stream and one kind of request ("append" or "read"). Each has its own
// connections, so that its bytes are counted separately, as the part log.STREAM.KIND of the control traffic.
func (c *Client) httpClient(stream, kind string) *upstream.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	part := "log." + stream + "." + kind
	if c.httpClients[part] == nil {
		transport := upstream.NewTransport(upstream.Options{Dial: traffic.MeterFor(part).Dial})
		c.httpClients[part] = upstream.NewClient(transport, maxResponseBytes)
	}
	return c.httpClients[part]
}

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
	req.SetRequestURI("http://" + c.address + "/streams/" + stream + "/records")
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	attempt := upstream.Attempt{Address: c.address, Deadline: c.deadline(ctx, 0)}
	reply, err := c.httpClient(stream, "append").Do(ctx, attempt, req, resp)
	if err != nil {
		return 0, classifyAppendError(err)
	}
	return decodeAppend(resp.StatusCode(), reply)
}

func decodeAppend(status int, body []byte) (int64, error) {
	switch status {
	case fasthttp.StatusOK:
	case fasthttp.StatusServiceUnavailable:
		return 0, errors.Wrap(ErrUnavailable, "append refused")
	default:
		return 0, errors.Wrapf(ErrUnknownAppend, "status %d", status)
	}
	var response appendResponse
	if err := json.Unmarshal(body, &response); err != nil {
		return 0, errors.Wrapf(ErrUnknownAppend, "decode response: %v", err)
	}
	return response.Offset, nil
}

// classifyAppendError returns ErrUnavailable if nothing was sent, and ErrUnknownAppend if the request may have reached the service.
func classifyAppendError(err error) error {
	var failure *upstream.Error
	if errors.As(err, &failure) && !failure.Written {
		return errors.Wrapf(ErrUnavailable, "%v", err)
	}
	return errors.Wrapf(ErrUnknownAppend, "%v", err)
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	uri := fmt.Sprintf("http://%s/streams/%s/records?from=%d&limit=%d", c.address, stream, from, readLimit)
	if wait > 0 {
		uri += "&waitMs=" + strconv.FormatInt(wait.Milliseconds(), 10)
	}
	req.SetRequestURI(uri)
	attempt := upstream.Attempt{Address: c.address, Idempotent: true, Deadline: c.deadline(ctx, wait)}
	data, err := c.httpClient(stream, "read").Do(ctx, attempt, req, resp)
	if err != nil {
		return Batch{}, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return Batch{}, errors.Wrapf(ErrUnavailable, "status %d", resp.StatusCode())
	}
	var batch Batch
	if err := json.Unmarshal(data, &batch); err != nil {
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
