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
	// defaultTimeout bounds one request to the service, without the wait of a long poll.
	defaultTimeout = 3 * time.Second
	// readLimit is the number of records asked for in one read.
	readLimit = 500
)

// Client speaks the HTTP protocol of the log service. It implements Log.
type Client struct {
	base    string
	timeout time.Duration
	mu      sync.Mutex
	clients map[string]*fasthttp.Client
}

// NewClient returns a client of the service at address, an IP and port.
func NewClient(address string) *Client {
	return &Client{base: "http://" + address, timeout: defaultTimeout, clients: map[string]*fasthttp.Client{}}
}

// client returns the HTTP client of one use of one stream. Each has its own connections, so that its bytes are counted
// apart as the part log.STREAM.USE of the control traffic.
func (c *Client) client(stream, use string) *fasthttp.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	part := "log." + stream + "." + use
	if c.clients[part] == nil {
		c.clients[part] = &fasthttp.Client{
			Dial:                      traffic.Of(part).Dial,
			NoDefaultUserAgentHeader:  true,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                neverRetry,
			MaxIdleConnDuration:       10 * time.Second,
		}
	}
	return c.clients[part]
}

// neverRetry stops the library from sending an append twice.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

type appendAnswer struct {
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
	req.SetRequestURI(c.base + "/streams/" + stream + "/records")
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	if err := c.client(stream, "append").DoDeadline(req, resp, c.deadline(ctx, 0)); err != nil {
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
	var answer appendAnswer
	if err := json.Unmarshal(resp.Body(), &answer); err != nil {
		return 0, errors.Wrapf(ErrUnknownAppend, "decode answer: %v", err)
	}
	return answer.Offset, nil
}

// classifyAppendError tells a connection that was never made from a request that may have arrived.
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
	uri := fmt.Sprintf("%s/streams/%s/records?from=%d&limit=%d", c.base, stream, from, readLimit)
	if wait > 0 {
		uri += "&waitMs=" + strconv.FormatInt(wait.Milliseconds(), 10)
	}
	req.SetRequestURI(uri)
	if err := c.client(stream, "read").DoDeadline(req, resp, c.deadline(ctx, wait)); err != nil {
		return Batch{}, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return Batch{}, errors.Wrapf(ErrUnavailable, "status %d", resp.StatusCode())
	}
	var batch Batch
	if err := json.Unmarshal(resp.Body(), &batch); err != nil {
		return Batch{}, errors.Wrapf(ErrUnavailable, "decode answer: %v", err)
	}
	return batch, nil
}

func (c *Client) deadline(ctx context.Context, wait time.Duration) time.Time {
	own := time.Now().Add(c.timeout + wait)
	if d, ok := ctx.Deadline(); ok && d.Before(own) {
		return d
	}
	return own
}
