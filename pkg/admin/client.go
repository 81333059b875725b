package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/burn"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

// ErrUnreachable reports an entry VM whose administration API did not respond.
var ErrUnreachable = errors.New("administration API did not respond")

// clientTimeout is the default timeout of one request. It exceeds changeTimeout, so that the server responds first.
const clientTimeout = changeTimeout + 5*time.Second

// StatusError is an error response of the API.
type StatusError struct {
	Status   int
	Response Error
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Response.Error)
}

// Client calls the administration API of one entry VM.
type Client struct {
	address    string
	credential string
	timeout    time.Duration
	http       *upstream.Client
}

// NewClient returns a client for the API at address (IP and port).
func NewClient(address, credential string) *Client {
	return &Client{
		address: address, credential: credential, timeout: clientTimeout,
		http: upstream.NewClient(upstream.NewTransport(upstream.Options{}), maxResponseBytes),
	}
}

// maxResponseBytes is the largest response in bytes.
const maxResponseBytes = 64 << 20

// WithTimeout sets the timeout of one request and returns the client. The default exceeds the server's timeout of a change.
func (c *Client) WithTimeout(d time.Duration) *Client {
	c.timeout = d
	return c
}

// Status returns the status of the configuration in force.
func (c *Client) Status() (Status, error) { return get[Status](c, "/v1/status") }

// Presets returns all presets without content.
func (c *Client) Presets() ([]Preset, error) { return get[[]Preset](c, "/v1/presets") }

// Preset returns one preset.
func (c *Client) Preset(name string) (Preset, error) {
	return get[Preset](c, "/v1/presets/"+url.PathEscape(name))
}

// Proposals returns the pending proposals.
func (c *Client) Proposals() ([]preset.Proposal, error) {
	return get[[]preset.Proposal](c, "/v1/proposals")
}

// Progress returns the progress of a proposal.
func (c *Client) Progress(id string) (preset.Progress, error) {
	return get[preset.Progress](c, "/v1/proposals/"+url.PathEscape(id))
}

// VMs returns the entry VMs.
func (c *Client) VMs() ([]VM, error) { return get[[]VM](c, "/v1/vms") }

// Servers returns the backend servers.
func (c *Client) Servers() ([]BackendServer, error) { return get[[]BackendServer](c, "/v1/servers") }

// Burn returns the burn rates of this VM only. FleetBurn covers all entry VMs.
func (c *Client) Burn() (burn.Report, error) { return get[burn.Report](c, "/v1/burn") }

// Bootstrap sends the initial presets as JSON with comments.
func (c *Client) Bootstrap(file []byte) error {
	_, err := call[struct{}](c, fasthttp.MethodPost, "/v1/bootstrap", file)
	return err
}

// Propose sends a proposal. For a stale base it returns a *StatusError with the version in force.
func (c *Client) Propose(r ProposeRequest) (ProposeResponse, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return ProposeResponse{}, errors.Wrap(err, "encode proposal")
	}
	return call[ProposeResponse](c, fasthttp.MethodPost, "/v1/proposals", body)
}

// Veto vetoes a proposal on behalf of the customer. A nil error means that the veto has taken effect.
func (c *Client) Veto(id string) error {
	_, err := call[struct{}](c, fasthttp.MethodPost, "/v1/proposals/"+url.PathEscape(id)+"/veto", nil)
	return err
}

// Withdraw withdraws a proposal on behalf of the operator.
func (c *Client) Withdraw(id string) error {
	_, err := call[struct{}](c, fasthttp.MethodPost, "/v1/proposals/"+url.PathEscape(id)+"/withdraw", nil)
	return err
}

func get[T any](c *Client, path string) (T, error) { return call[T](c, fasthttp.MethodGet, path, nil) }

func call[T any](c *Client, method, path string, body []byte) (T, error) {
	var response T
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.address + path)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.credential)
	req.SetBody(body)
	attempt := upstream.Attempt{Address: c.address, Idempotent: method == fasthttp.MethodGet, Deadline: time.Now().Add(c.timeout)}
	data, err := c.http.Do(context.Background(), attempt, req, resp)
	if err != nil {
		return response, errors.Mark(err, ErrUnreachable)
	}
	if status := resp.StatusCode(); status >= fasthttp.StatusBadRequest {
		statusErr := &StatusError{Status: status}
		if json.Unmarshal(data, &statusErr.Response) != nil {
			statusErr.Response.Error = string(data)
		}
		return response, statusErr
	}
	if len(data) == 0 {
		return response, nil
	}
	return response, errors.Wrap(json.Unmarshal(data, &response), "decode response")
}
