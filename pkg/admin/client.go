package admin

import (
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/preset"
)

// ErrUnreachable reports an entry VM whose administration API did not answer.
var ErrUnreachable = errors.New("administration API did not answer")

// clientTimeout bounds one request. It is longer than changeTimeout, so that the server's answer arrives.
const clientTimeout = changeTimeout + 5*time.Second

// StatusError is an error answer of the API.
type StatusError struct {
	Status int
	Answer Error
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Answer.Error)
}

// Client calls the administration API of one entry VM.
type Client struct {
	base       string
	credential string
	http       fasthttp.Client
}

// NewClient returns a client of the API at address (IP and port).
func NewClient(address, credential string) *Client {
	return &Client{base: "http://" + address, credential: credential, http: fasthttp.Client{MaxIdemponentCallAttempts: 1}}
}

// Status returns the configuration in force.
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

// Progress tells where a proposal stands.
func (c *Client) Progress(id string) (preset.Progress, error) {
	return get[preset.Progress](c, "/v1/proposals/"+url.PathEscape(id))
}

// VMs returns the entry VMs.
func (c *Client) VMs() ([]VM, error) { return get[[]VM](c, "/v1/vms") }

// Servers returns the backend servers.
func (c *Client) Servers() ([]BackendServer, error) { return get[[]BackendServer](c, "/v1/servers") }

// Bootstrap sends the first presets, as JSON with comments.
func (c *Client) Bootstrap(file []byte) error {
	return c.change("/v1/bootstrap", file)
}

// Propose sends a change. A stale base gives a *StatusError with the version in force.
func (c *Client) Propose(r ProposeRequest) (ProposeAnswer, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return ProposeAnswer{}, errors.Wrap(err, "encode proposal")
	}
	return call[ProposeAnswer](c, fasthttp.MethodPost, "/v1/proposals", body)
}

// Veto refuses a proposal for the customer. Error: preset.ErrUndecided when it is not known whether the veto holds.
func (c *Client) Veto(id string) error {
	return c.change("/v1/proposals/"+url.PathEscape(id)+"/veto", nil)
}

// Withdraw takes a proposal back for the operator. Errors as for Veto.
func (c *Client) Withdraw(id string) error {
	return c.change("/v1/proposals/"+url.PathEscape(id)+"/withdraw", nil)
}

// change sends a change that has no answer of its own. A status below 400 with an error says that the effect is not known.
func (c *Client) change(path string, body []byte) error {
	answer, err := call[Error](c, fasthttp.MethodPost, path, body)
	if err == nil && answer.Error != "" {
		return errors.Wrap(preset.ErrUndecided, answer.Error)
	}
	return err
}

func get[T any](c *Client, path string) (T, error) { return call[T](c, fasthttp.MethodGet, path, nil) }

func call[T any](c *Client, method, path string, body []byte) (T, error) {
	var answer T
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(c.base + path)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.credential)
	req.SetBody(body)
	if err := c.http.DoTimeout(req, resp, clientTimeout); err != nil {
		return answer, errors.Mark(err, ErrUnreachable)
	}
	if status := resp.StatusCode(); status >= fasthttp.StatusBadRequest {
		failure := &StatusError{Status: status}
		if json.Unmarshal(resp.Body(), &failure.Answer) != nil {
			failure.Answer.Error = string(resp.Body())
		}
		return answer, failure
	}
	if len(resp.Body()) == 0 {
		return answer, nil
	}
	return answer, errors.Wrap(json.Unmarshal(resp.Body(), &answer), "decode answer")
}
