// Package preset implements the configuration that operators change at run time: its content and validation, the state
// machine that applies the records of the configuration log, and the components that follow the log and propose, accept
// and watch changes.
package preset

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/pkg/priority"
	"github.com/hornbeamway/hornbeamway/pkg/strictjson"
	"github.com/hornbeamway/hornbeamway/pkg/unit"
)

// ErrInvalidContent reports preset content that cannot be used. The message names the field and the reason.
var ErrInvalidContent = errors.New("invalid preset content")

// maxContentSize is the maximum size of one document in bytes. It bounds the recursion of the decoder and the size of a
// record.
const maxContentSize = 256 << 10

// Content is one preset. A decoded Content is immutable and safe for concurrent use.
type Content struct {
	// Name identifies the preset.
	Name string `json:"name"`
	// VetoPeriod is the time during which the customer can veto a proposal, 0 to 7 days.
	VetoPeriod unit.Duration `json:"vetoPeriod"`
	// EntryVMs is the number of entry VMs for which connection limits are computed.
	EntryVMs int `json:"entryVMs"`
	// Services lists the services and the properties of their backend servers.
	Services []Service `json:"services"`
	// Routes map requests to services. The longest matching path prefix wins.
	Routes []Route `json:"routes"`
	// Shares are the minimum shares of a pool's slots by class.
	Shares Shares `json:"shares"`
	// Link describes the link between the regions.
	Link Link `json:"link"`
	// OperationMemory is the time for which the idempotency key of an operation is kept.
	OperationMemory unit.Duration `json:"operationMemory"`

	index    routeIndex
	services map[string]*Service
}

// Service describes one service and its backend servers.
type Service struct {
	Name string `json:"name"`
	// Slots is the number of requests that one backend server processes concurrently.
	Slots int `json:"slots"`
	// ConnectionLimit is the total number of connections that one backend server accepts from all VMs.
	ConnectionLimit int `json:"connectionLimit"`
	// ConnectCost and ProbeCost are the time that a backend server spends on one new connection and on one probe.
	ConnectCost unit.Duration `json:"connectCost"`
	ProbeCost   unit.Duration `json:"probeCost"`
	// Objectives holds the service-level objectives by class. A class without an entry has none.
	Objectives map[priority.Class]Objective `json:"objectives,omitempty"`
}

// Objective is a service-level objective: over Window, at least the fraction Target of calls succeeds within Latency.
type Objective struct {
	Latency unit.Duration `json:"latency"`
	Target  float64       `json:"target"`
	Window  unit.Duration `json:"window"`
}

// Route maps requests to a service.
type Route struct {
	// Path is a prefix of whole path segments: "/orders" matches "/orders" and "/orders/7", but not "/orders-old".
	Path string `json:"path"`
	// Methods lists the HTTP methods of the route; empty means all.
	Methods []string       `json:"methods,omitempty"`
	Service string         `json:"service"`
	Class   priority.Class `json:"class"`
	// Idempotent is true if a request can safely be repeated. Otherwise an Idempotency-Key is required.
	Idempotent bool `json:"idempotent"`
	// Timeout is the time limit of a request that does not specify a deadline.
	Timeout unit.Duration `json:"timeout"`
	// MaxBody is the maximum size of a request body.
	MaxBody unit.Size `json:"maxBody"`
	// Hedge allows a second attempt while the first one is in progress. It is valid for idempotent routes only.
	Hedge bool `json:"hedge,omitempty"`
}

// Shares are minimum shares by class. Their sum is at most 1.
type Shares struct {
	Interactive   float64 `json:"interactive"`
	Transactional float64 `json:"transactional"`
	Bulk          float64 `json:"bulk"`
}

// ByClass returns the shares indexed by priority class. It is assignable to priority.Shares.
func (s Shares) ByClass() [priority.NumClasses]float64 {
	return [priority.NumClasses]float64{
		priority.Interactive: s.Interactive, priority.Transactional: s.Transactional, priority.Bulk: s.Bulk,
	}
}

// Link is the link between the regions.
type Link struct {
	// Capacity is the bit rate in each direction.
	Capacity unit.BitRate `json:"capacity"`
	// Shares are the minimum shares of the capacity by class.
	Shares Shares `json:"shares"`
}

// plainContent has the fields of Content but not its methods, so that decoding it does not call Content.UnmarshalJSON.
type plainContent Content

// ParseContent decodes and validates one preset written in JSON with comments. Error: ErrInvalidContent.
func ParseContent(data []byte) (*Content, error) {
	if len(data) > maxContentSize {
		return nil, errors.Wrapf(ErrInvalidContent, "document has %d bytes, more than %d", len(data), maxContentSize)
	}
	c := &Content{}
	if err := strictjson.Decode(data, (*plainContent)(c)); err != nil {
		return nil, errors.Mark(err, ErrInvalidContent)
	}
	if err := c.compile(); err != nil {
		return nil, err
	}
	return c, nil
}

// UnmarshalJSON implements json.Unmarshaler. It validates the content like ParseContent.
func (c *Content) UnmarshalJSON(data []byte) error {
	parsed, err := ParseContent(data)
	if err != nil {
		return err
	}
	*c = *parsed
	return nil
}

// Service returns the service with the given name.
func (c *Content) Service(name string) (*Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Veto returns the veto period as a time.Duration.
func (c *Content) Veto() time.Duration { return c.VetoPeriod.Std() }

// compile validates the content and builds its lookup tables.
func (c *Content) compile() error {
	if err := c.validate(); err != nil {
		return err
	}
	c.services = make(map[string]*Service, len(c.Services))
	for i := range c.Services {
		c.services[c.Services[i].Name] = &c.Services[i]
	}
	c.index = newRouteIndex(c.Routes)
	return nil
}

// File is the set of presets that an operator provides to bootstrap a deployment.
type File struct {
	// Active is the name of the preset that is initially in force.
	Active  string     `json:"active"`
	Presets []*Content `json:"presets"`
}

// rawFile is a File whose presets are not decoded yet, so that a decoding error can name the preset.
type rawFile struct {
	Active  string            `json:"active"`
	Presets []json.RawMessage `json:"presets"`
}

// ParseFile decodes and validates a presets file (JSON with comments). Error: ErrInvalidContent.
func ParseFile(data []byte) (*File, error) {
	var raw rawFile
	if err := strictjson.Decode(data, &raw); err != nil {
		return nil, errors.Mark(err, ErrInvalidContent)
	}
	f := &File{Active: raw.Active}
	for i, text := range raw.Presets {
		c, err := ParseContent(text)
		if err != nil {
			return nil, errors.Wrapf(err, "presets[%d]", i)
		}
		f.Presets = append(f.Presets, c)
	}
	return f, f.validate()
}

func (f *File) validate() error {
	seen := map[string]bool{}
	if len(f.Presets) > maxPresets {
		return invalid("presets", "more than %d presets", maxPresets)
	}
	for i, c := range f.Presets {
		if c == nil {
			return invalid(indexed("presets", i), "must not be null")
		}
		if seen[c.Name] {
			return invalid(indexed("presets", i)+".name", "duplicate preset %q", c.Name)
		}
		seen[c.Name] = true
	}
	if !seen[f.Active] {
		return invalid("active", "no preset is named %q", f.Active)
	}
	return nil
}
