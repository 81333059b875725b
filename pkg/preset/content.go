// Package preset holds the configuration that operators change at run time: its content and validation, the fold of
// the configuration log, and the parts that follow, propose and accept changes.
package preset

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/pkg/priority"
	"github.com/hornbeamway/hornbeamway/pkg/strictjson"
	"github.com/hornbeamway/hornbeamway/pkg/unit"
)

// ErrInvalidContent reports preset content that cannot be used. The message names the place and the reason.
var ErrInvalidContent = errors.New("invalid preset content")

// maxContentSize bounds the text of one document in bytes, so that a decoder's recursion and a record stay small.
const maxContentSize = 256 << 10

// Content is one preset. A decoded Content is immutable and safe for concurrent use.
type Content struct {
	// Name identifies the preset.
	Name string `json:"name"`
	// VetoPeriod is the time in which the customer can veto a proposal, 0 to 7 days.
	VetoPeriod unit.Duration `json:"vetoPeriod"`
	// EntryVMs is the number of entry VMs that connection caps are computed for.
	EntryVMs int `json:"entryVMs"`
	// Services are the services and the properties of their backend servers.
	Services []Service `json:"services"`
	// Routes map requests to services. The longest matching path prefix wins.
	Routes []Route `json:"routes"`
	// Shares are the minimum shares of a pool's slots by class.
	Shares Shares `json:"shares"`
	// Link describes the link between the regions.
	Link Link `json:"link"`
	// OperationMemory is the time for which the key of an operation is remembered.
	OperationMemory unit.Duration `json:"operationMemory"`

	index    routeIndex
	services map[string]*Service
}

// Service describes one service and its backend servers.
type Service struct {
	Name string `json:"name"`
	// Slots is the number of requests that one backend server runs at a time.
	Slots int `json:"slots"`
	// ConnectionLimit is the number of connections that one backend server accepts from all VMs together.
	ConnectionLimit int `json:"connectionLimit"`
	// ConnectCost and ProbeCost are the backend time that one new connection and one probe take.
	ConnectCost unit.Duration `json:"connectCost"`
	ProbeCost   unit.Duration `json:"probeCost"`
	// Objectives are the service-level objectives by class. A class without an entry has none.
	Objectives map[priority.Class]Objective `json:"objectives,omitempty"`
}

// Objective is a service-level objective: the Target share of calls succeeds within Latency, over Window.
type Objective struct {
	Latency unit.Duration `json:"latency"`
	Target  float64       `json:"target"`
	Window  unit.Duration `json:"window"`
}

// Route maps requests to a service.
type Route struct {
	// Path is a prefix of whole path segments: "/orders" matches "/orders" and "/orders/7", not "/orders-old".
	Path string `json:"path"`
	// Methods are the HTTP methods of the route; empty means all.
	Methods []string       `json:"methods,omitempty"`
	Service string         `json:"service"`
	Class   priority.Class `json:"class"`
	// Idempotent says that a request can be run again. Otherwise an Idempotency-Key is required.
	Idempotent bool `json:"idempotent"`
	// Timeout is the deadline of a request that names none.
	Timeout unit.Duration `json:"timeout"`
	// MaxBody is the largest request body.
	MaxBody unit.Size `json:"maxBody"`
	// Hedge allows a second attempt while the first one runs. Only idempotent routes may have it.
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
	// Capacity is the rate in each direction.
	Capacity unit.BitRate `json:"capacity"`
	// Shares are the minimum shares of the capacity by class.
	Shares Shares `json:"shares"`
}

// plainContent has the fields of Content without its methods.
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

// UnmarshalJSON implements json.Unmarshaler with the checks of ParseContent.
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

// Veto is the veto period as a time.Duration.
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

// File is a set of presets as an operator writes it, for the bootstrap of a deployment.
type File struct {
	// Active names the preset that is in force first.
	Active  string     `json:"active"`
	Presets []*Content `json:"presets"`
}

type rawFile struct {
	Active  string            `json:"active"`
	Presets []json.RawMessage `json:"presets"`
}

// ParseFile decodes and validates a presets.json. Error: ErrInvalidContent.
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
			return invalid(at("presets", i), "must not be null")
		}
		if seen[c.Name] {
			return invalid(at("presets", i)+".name", "duplicate preset %q", c.Name)
		}
		seen[c.Name] = true
	}
	if !seen[f.Active] {
		return invalid("active", "no preset is named %q", f.Active)
	}
	return nil
}
