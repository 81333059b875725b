// Package config holds the static settings of one process: addresses, place, platform services, credentials and limits.
// Everything that operators change at run time is in package preset.
package config

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hornbeamway/hornbeamway/pkg/strictjson"
	"github.com/hornbeamway/hornbeamway/pkg/unit"
)

// ErrInvalid reports settings that cannot be used. The message names the place and the reason.
var ErrInvalid = errors.New("invalid settings")

// minSecretLength is the least length in bytes of a credential or key.
const minSecretLength = 16

// Settings are the static settings of an entry VM.
type Settings struct {
	// ID names this VM in the platform's VM list.
	ID string `json:"id"`
	// Region and DataCentre are the place of this VM.
	Region     string `json:"region"`
	DataCentre string `json:"dataCentre"`
	// Addresses are the listen addresses.
	Addresses Addresses `json:"addresses"`
	// LogService and VMList are the addresses of the platform's services.
	LogService string `json:"logService"`
	VMList     string `json:"vmList"`
	// Seeds are peer addresses used until the VM list answers.
	Seeds []string `json:"seeds,omitempty"`
	// Credentials authenticate operators, the customer and other entry VMs.
	Credentials Credentials `json:"credentials"`
	// Limits bound what one caller may use.
	Limits Limits `json:"limits"`
	// DrainNotice is the time from the stop signal to the end of accepting calls. Default 10s.
	DrainNotice unit.Duration `json:"drainNotice,omitempty"`
	// LogLevel is the klog verbosity, 0 to 4. Default 0.
	LogLevel int `json:"logLevel,omitempty"`
}

// Addresses are IP:port pairs that this process listens on. Other VMs reach it on the same addresses.
type Addresses struct {
	// Callers serves callers.
	Callers string `json:"callers"`
	// Forward serves calls forwarded by other entry VMs.
	Forward string `json:"forward"`
	// Peer serves control messages of other entry VMs.
	Peer string `json:"peer"`
	// Admin serves the administration API, health checks and metrics.
	Admin string `json:"admin"`
}

// Credentials are shared secrets of at least 16 bytes.
type Credentials struct {
	// Operator may propose changes; Customer may veto them.
	Operator string `json:"operator"`
	Customer string `json:"customer"`
	// Peer authenticates entry VMs to each other and signs operation tickets.
	Peer string `json:"peer"`
}

// Limits bound what one caller may use.
type Limits struct {
	// HeaderSize is the largest request head. Default 16KiB.
	HeaderSize unit.Size `json:"headerSize,omitempty"`
	// Connections is the largest number of open connections of all callers together. Default 20000.
	Connections int `json:"connections,omitempty"`
	// ConnectionsPerCaller is the largest number of open connections of one caller address. Default 1000.
	ConnectionsPerCaller int `json:"connectionsPerCaller,omitempty"`
	// HeaderTimeout is the time for a caller to send the request head. Default 10s.
	HeaderTimeout unit.Duration `json:"headerTimeout,omitempty"`
	// BodyIdleTimeout is the longest pause between two parts of a request body. Default 30s.
	BodyIdleTimeout unit.Duration `json:"bodyIdleTimeout,omitempty"`
}

// Defaults for settings that are left out.
const (
	defaultDrainNotice          = 10 * time.Second
	defaultHeaderSize           = 16 << 10
	defaultConnections          = 20000
	defaultConnectionsPerCaller = 1000
	defaultHeaderTimeout        = 10 * time.Second
	defaultBodyIdleTimeout      = 30 * time.Second
)

// Load reads, completes and checks the settings file at path.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrapf(ErrInvalid, "%v", err)
	}
	s, err := Parse(data)
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	return s, nil
}

// Parse decodes, completes and checks settings written in JSON with comments.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{}
	if err := strictjson.Decode(data, s); err != nil {
		return nil, errors.Mark(err, ErrInvalid)
	}
	s.setDefaults()
	if fault := s.firstFault(); fault != nil {
		return nil, errors.Mark(strictjson.At(data, fault.key, fmt.Sprintf("%s: %s", fault.key, fault.reason)), ErrInvalid)
	}
	return s, nil
}

func (s *Settings) setDefaults() {
	setDefault(&s.DrainNotice, unit.Duration(defaultDrainNotice))
	setDefault(&s.Limits.HeaderSize, defaultHeaderSize)
	setDefault(&s.Limits.Connections, defaultConnections)
	setDefault(&s.Limits.ConnectionsPerCaller, defaultConnectionsPerCaller)
	setDefault(&s.Limits.HeaderTimeout, unit.Duration(defaultHeaderTimeout))
	setDefault(&s.Limits.BodyIdleTimeout, unit.Duration(defaultBodyIdleTimeout))
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

type fault struct{ key, reason string }

func (s *Settings) firstFault() *fault {
	for _, required := range []struct{ key, value string }{
		{"id", s.ID}, {"region", s.Region}, {"dataCentre", s.DataCentre},
	} {
		if required.value == "" {
			return &fault{required.key, "must not be empty"}
		}
	}
	if f := s.addressFault(); f != nil {
		return f
	}
	if f := s.credentialFault(); f != nil {
		return f
	}
	if s.Limits.Connections < 0 || s.Limits.ConnectionsPerCaller < 0 {
		return &fault{"limits", "connection limits must not be negative"}
	}
	return nil
}

func (s *Settings) addressFault() *fault {
	seen := map[string]string{}
	for _, a := range []struct{ key, value string }{
		{"callers", s.Addresses.Callers}, {"forward", s.Addresses.Forward},
		{"peer", s.Addresses.Peer}, {"admin", s.Addresses.Admin},
		{"logService", s.LogService}, {"vmList", s.VMList},
	} {
		host, _, err := net.SplitHostPort(a.value)
		if err != nil || net.ParseIP(host) == nil {
			return &fault{a.key, fmt.Sprintf("%q is not an IP address and port", a.value)}
		}
		if other, taken := seen[a.value]; taken {
			return &fault{a.key, fmt.Sprintf("same address as %s", other)}
		}
		seen[a.value] = a.key
	}
	return nil
}

func (s *Settings) credentialFault() *fault {
	c := s.Credentials
	for _, secret := range []struct{ key, value string }{{"operator", c.Operator}, {"customer", c.Customer}, {"peer", c.Peer}} {
		if len(secret.value) < minSecretLength {
			return &fault{secret.key, fmt.Sprintf("must have at least %d bytes", minSecretLength)}
		}
	}
	if c.Operator == c.Customer {
		return &fault{"customer", "must differ from the operator's credential"}
	}
	return nil
}
