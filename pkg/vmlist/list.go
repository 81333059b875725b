// Package vmlist is the client of the platform's list of virtual machines. The list lags behind reality.
package vmlist

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/traffic"
)

// ErrUnavailable reports that the list service did not answer.
var ErrUnavailable = errors.New("VM list unavailable")

// requestTimeout bounds one request to the list service.
const requestTimeout = 2 * time.Second

// Role says what runs on a VM.
type Role string

// The roles of a VM.
const (
	RoleEntry   Role = "entry"
	RoleBackend Role = "backend"
)

// State is the life-cycle state that the platform reports.
type State string

// The states of a VM in the list. A VM that is gone is not in the list.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is one entry of the list.
type VM struct {
	ID         string `json:"id"`
	Role       Role   `json:"role"`
	Region     string `json:"region"`
	DataCentre string `json:"dataCentre"`
	State      State  `json:"state"`
	// Service is the service of a backend server; empty for an entry VM.
	Service string `json:"service,omitempty"`
	// Address is the IP and port of a backend server, or of an entry VM's callers' interface.
	Address string `json:"address"`
	// Forward, Peer and Admin are the other addresses of an entry VM.
	Forward string `json:"forward,omitempty"`
	Peer    string `json:"peer,omitempty"`
	Admin   string `json:"admin,omitempty"`
}

// List returns the platform's list.
type List interface {
	// Get returns the list and whether it changed since the previous call. Error: ErrUnavailable.
	Get(ctx context.Context) (vms []VM, changed bool, err error)
}

// Client polls the list over HTTP. It is not safe for concurrent use.
type Client struct {
	url  string
	http *fasthttp.Client
	etag string
	last []VM
}

// NewClient returns a client of the list service at address, an IP and port.
func NewClient(address string) *Client {
	return &Client{url: "http://" + address + "/vms", http: &fasthttp.Client{Dial: traffic.Of("vmlist").Dial, NoDefaultUserAgentHeader: true}}
}

type answer struct {
	VMs []VM `json:"vms"`
}

// Get implements List. An unchanged list costs one answer without a body (ETag).
func (c *Client) Get(context.Context) ([]VM, bool, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.url)
	if c.etag != "" {
		req.Header.Set(fasthttp.HeaderIfNoneMatch, c.etag)
	}
	if err := c.http.DoTimeout(req, resp, requestTimeout); err != nil {
		return c.last, false, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	switch resp.StatusCode() {
	case fasthttp.StatusNotModified:
		return c.last, false, nil
	case fasthttp.StatusOK:
	default:
		return c.last, false, errors.Wrapf(ErrUnavailable, "status %d", resp.StatusCode())
	}
	var a answer
	if err := json.Unmarshal(resp.Body(), &a); err != nil {
		return c.last, false, errors.Wrapf(ErrUnavailable, "decode answer: %v", err)
	}
	c.etag, c.last = string(resp.Header.Peek(fasthttp.HeaderETag)), a.VMs
	return c.last, true, nil
}
