// Package vmlist is a client of the platform's list of virtual machines. Changes appear in the list with a delay.
package vmlist

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/traffic"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

// ErrUnavailable reports that the list service did not return a valid list.
var ErrUnavailable = errors.New("VM list unavailable")

// requestTimeout bounds one request to the list service.
const requestTimeout = 2 * time.Second

// Role is the kind of program that runs on a VM.
type Role string

// The roles of a VM.
const (
	RoleEntry   Role = "entry"
	RoleBackend Role = "backend"
)

// State is the life-cycle state of a VM as reported by the platform.
type State string

// The states of a VM in the list. VMs that no longer exist are not in the list.
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
	// Service is the name of a backend server's service; empty for an entry VM.
	Service string `json:"service,omitempty"`
	// Address is the IP and port at which a backend server, or an entry VM for its callers, accepts requests.
	Address string `json:"address"`
	// Forward, Peer and Admin are the other addresses of an entry VM.
	Forward string `json:"forward,omitempty"`
	Peer    string `json:"peer,omitempty"`
	Admin   string `json:"admin,omitempty"`
}

// List is a source of the platform's list.
type List interface {
	// Get returns the list and whether it changed since the previous call. It fails with ErrUnavailable.
	Get(ctx context.Context) (vms []VM, changed bool, err error)
}

// Client reads the list over HTTP. It is not safe for concurrent use.
type Client struct {
	address string
	http    *upstream.Client
	etag    string // ETag of last
	last    []VM   // last list received
}

// NewClient returns a client of the list service at address, which is an IP and port.
func NewClient(address string) *Client {
	transport := upstream.NewTransport(upstream.Options{Dial: traffic.MeterFor("vmlist").Dial})
	return &Client{address: address, http: upstream.NewClient(transport, maxListBytes)}
}

// maxListBytes is the largest list in bytes. An entry takes about 250 bytes.
const maxListBytes = 8 << 20

// listBody is the body of a response of the list service.
type listBody struct {
	VMs []VM `json:"vms"`
}

// Get implements List. It sends the ETag of the last list, so that the response for an unchanged list has no body. On an
// error it returns the last list.
func (c *Client) Get(ctx context.Context) ([]VM, bool, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.address + "/vms")
	if c.etag != "" {
		req.Header.Set(fasthttp.HeaderIfNoneMatch, c.etag)
	}
	attempt := upstream.Attempt{Address: c.address, Idempotent: true, Deadline: time.Now().Add(requestTimeout)}
	data, err := c.http.Do(ctx, attempt, req, resp)
	if err != nil {
		return c.last, false, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	switch resp.StatusCode() {
	case fasthttp.StatusNotModified:
		return c.last, false, nil
	case fasthttp.StatusOK:
	default:
		return c.last, false, errors.Wrapf(ErrUnavailable, "unexpected HTTP status %d", resp.StatusCode())
	}
	var body listBody
	if err := json.Unmarshal(data, &body); err != nil {
		return c.last, false, errors.Wrapf(ErrUnavailable, "failed to decode the response: %v", err)
	}
	c.etag, c.last = string(resp.Header.Peek(fasthttp.HeaderETag)), body.VMs
	return c.last, true, nil
}
