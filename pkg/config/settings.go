// Package config reads the static settings of one process: addresses, location, platform services, credentials and limits.
// Package preset holds everything that operators can change at run time.
package config

import (
	"cmp"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/pkg/strictjson"
	"github.com/hornbeamway/hornbeamway/pkg/unit"
)

// ErrInvalid reports invalid settings. The message contains the position in the file and the reason.
var ErrInvalid = errors.New("invalid settings")

// Settings are the static settings of an entry VM.
type Settings struct {
	// ID identifies this VM in the platform's VM list: letters, digits, dots, hyphens and underscores.
	ID string `json:"id"`
	// Region and DataCentre are the location of this VM: lower-case letters, digits and hyphens.
	Region     string `json:"region"`
	DataCentre string `json:"dataCentre"`
	// Addresses are the listen addresses.
	Addresses Addresses `json:"addresses"`
	// LogService and VMList are the addresses (IP and port) of the platform's services.
	LogService string `json:"logService"`
	VMList     string `json:"vmList"`
	// Seeds are peer addresses (IP and port) of other entry VMs, used until the VM list is available.
	Seeds []string `json:"seeds,omitempty"`
	// Credentials authenticate operators, the customer and other entry VMs.
	Credentials Credentials `json:"credentials"`
	// Limits bound the resources that callers may use.
	Limits Limits `json:"limits"`
	// DrainNotice is the time from the stop signal until calls are no longer accepted, 100ms to 10m. Default 10s.
	DrainNotice unit.Duration `json:"drainNotice,omitempty"`
	// LogLevel is the klog verbosity, 0 to 4. Default 0.
	LogLevel int `json:"logLevel,omitempty"`
}

// Addresses are the addresses (IP and port) that this process listens on. Other VMs connect to the same addresses.
type Addresses struct {
	// Callers serves the requests of callers.
	Callers string `json:"callers"`
	// Forward serves calls forwarded by other entry VMs.
	Forward string `json:"forward"`
	// Peer serves control messages of other entry VMs.
	Peer string `json:"peer"`
	// Admin serves the administration API, health checks and metrics.
	Admin string `json:"admin"`
}

// Credentials are shared secrets, all different, of 16 to 256 visible ASCII characters.
type Credentials struct {
	// Operator may propose changes; Customer may veto them.
	Operator string `json:"operator"`
	Customer string `json:"customer"`
	// Peer authenticates entry VMs to each other and signs operation tickets.
	Peer string `json:"peer"`
}

// Limits bound the resources that callers may use. Zero selects the default.
type Limits struct {
	// HeaderSize is the largest size of the request line and headers, 1KiB to 1MiB. Default 16KiB.
	HeaderSize unit.Size `json:"headerSize,omitempty"`
	// Connections is the largest number of open connections from all callers together, 1 to 1000000. Default 20000.
	Connections int `json:"connections,omitempty"`
	// ConnectionsPerCaller is the largest number of open connections from one caller address, 1 to
	// Connections. Default 1000, or Connections if that is less.
	ConnectionsPerCaller int `json:"connectionsPerCaller,omitempty"`
	// HeaderTimeout bounds the time in which a caller sends the request line and headers, 100ms to 5m. Default 10s.
	HeaderTimeout unit.Duration `json:"headerTimeout,omitempty"`
	// BodyIdleTimeout is the longest pause between two reads of a request body, 100ms to 10m. Default 30s.
	BodyIdleTimeout unit.Duration `json:"bodyIdleTimeout,omitempty"`
	// MinBodyRate is the minimum average rate per second of a request body, enforced once the total time spent waiting for the
	// caller exceeds BodyIdleTimeout; 0B to 1MiB. Default 1KiB; "0B" disables the check.
	MinBodyRate unit.Size `json:"minBodyRate,omitempty"`
}

// Default values of the settings.
const (
	defaultDrainNotice          = 10 * time.Second
	defaultHeaderSize           = 16 << 10
	defaultConnections          = 20000
	defaultConnectionsPerCaller = 1000
	defaultHeaderTimeout        = 10 * time.Second
	defaultBodyIdleTimeout      = 30 * time.Second
	defaultMinBodyRate          = 1 << 10
)

// Load reads the settings file at path, sets defaults and validates the result. Error: ErrInvalid.
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

// Parse decodes settings in JSON with comments, sets defaults and validates the result. Error: ErrInvalid.
func Parse(data []byte) (*Settings, error) {
	// Zero is a valid value of MinBodyRate, so its default is set before decoding.
	s := &Settings{Limits: Limits{MinBodyRate: defaultMinBodyRate}}
	if err := strictjson.Decode(data, s); err != nil {
		return nil, errors.Mark(err, ErrInvalid)
	}
	s.setDefaults()
	if v := s.validate(); v != nil {
		reason := strings.Join(v.path, ".") + ": " + v.reason
		return nil, errors.Mark(strictjson.ErrorAtPath(data, reason, v.path...), ErrInvalid)
	}
	return s, nil
}

func (s *Settings) setDefaults() {
	s.DrainNotice = cmp.Or(s.DrainNotice, unit.Duration(defaultDrainNotice))
	s.Limits.HeaderSize = cmp.Or(s.Limits.HeaderSize, defaultHeaderSize)
	s.Limits.Connections = cmp.Or(s.Limits.Connections, defaultConnections)
	s.Limits.ConnectionsPerCaller = cmp.Or(s.Limits.ConnectionsPerCaller, min(defaultConnectionsPerCaller, s.Limits.Connections))
	s.Limits.HeaderTimeout = cmp.Or(s.Limits.HeaderTimeout, unit.Duration(defaultHeaderTimeout))
	s.Limits.BodyIdleTimeout = cmp.Or(s.Limits.BodyIdleTimeout, unit.Duration(defaultBodyIdleTimeout))
}
