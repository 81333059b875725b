package load

import (
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/internal/standin/backend"
)

const (
	dialTimeout   = time.Second
	readinessPath = "/.well-known/hornbeamway/readyz"
	ticketsPath   = "/.well-known/hornbeamway/tickets"
)

// ErrNotConnected marks a failure to establish a connection: nothing of the request was sent.
var ErrNotConnected = errors.New("failed to connect to the entry VM")

// Client sends requests to the callers' address of one entry VM and never repeats one. It is safe for concurrent use.
type Client struct {
	address string
	http    *fasthttp.HostClient
}

// NewClient returns a client that opens at most maxConns connections.
func NewClient(address string, maxConns int) *Client {
	return &Client{address: address, http: &fasthttp.HostClient{
		Addr: address, MaxConns: maxConns, MaxIdemponentCallAttempts: 1, StreamResponseBody: true,
		DisablePathNormalizing: true, NoDefaultUserAgentHeader: true,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(address string) (net.Conn, error) {
			conn, err := net.DialTimeout("tcp", address, dialTimeout)
			return conn, errors.Mark(err, ErrNotConnected)
		},
	}}
}

// Request is one attempt of a request. Zero values of Deadline, Key and Body are not sent.
type Request struct {
	Method, Path string
	// ID is the request ID of the attempt. Nonce is returned by the backend server, in the header and in its echo.
	ID, Nonce string
	// Key is the idempotency key.
	Key  string
	Body []byte
	// Deadline is what the caller states as the time until which it waits, Timeout the time for which it does.
	Deadline, Timeout time.Duration
}

// Do sends a request and reads the response, whose body may be a stream. Error: ErrNotConnected or that of the exchange.
func (c *Client) Do(r Request, resp *fasthttp.Response) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(r.Method)
	req.SetRequestURI("http://" + c.address + r.Path)
	req.SetTimeout(r.Timeout)
	req.Header.Set(backend.HeaderRequestID, r.ID)
	req.Header.Set(backend.HeaderNonce, r.Nonce)
	if r.Deadline > 0 {
		req.Header.Set(backend.HeaderDeadline, strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	}
	if r.Key != "" {
		req.Header.Set(backend.HeaderIdempotencyKey, r.Key)
	}
	if len(r.Body) > 0 {
		req.SetBodyRaw(r.Body)
	}
	return c.http.Do(req, resp)
}

// IsReady reports whether the readiness endpoint of the entry VM succeeds within a time.
func (c *Client) IsReady(timeout time.Duration) bool {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	err := c.sendControl(fasthttp.MethodGet, readinessPath, timeout, resp)
	_ = resp.CloseBodyStream()
	return err == nil && resp.StatusCode() == fasthttp.StatusOK
}

// Tickets requests count tickets for operations and returns none if the entry VM issues none within a time.
func (c *Client) Tickets(count int, timeout time.Duration) []string {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := c.sendControl(fasthttp.MethodPost, ticketsPath+"?count="+strconv.Itoa(count), timeout, resp); err != nil {
		return nil
	}
	defer func() { _ = resp.CloseBodyStream() }()
	var response struct {
		Tickets []string `json:"tickets"`
	}
	body, err := ReadBody(resp)
	if err != nil || resp.StatusCode() != fasthttp.StatusOK || json.Unmarshal(body, &response) != nil {
		return nil
	}
	return response.Tickets
}

// sendControl sends a request that the entry VM answers itself.
func (c *Client) sendControl(method, path string, timeout time.Duration, resp *fasthttp.Response) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.address + path)
	req.SetTimeout(timeout)
	return c.http.Do(req, resp)
}

// CloseIdleConnections closes the connections that carry no request.
func (c *Client) CloseIdleConnections() { c.http.CloseIdleConnections() }
