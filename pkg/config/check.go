package config

import (
	"cmp"
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"time"

	"github.com/hornbeamway/hornbeamway/pkg/unit"
)

// Bounds of values.
const (
	minSecretLength = 16
	maxSecretLength = 256
	maxSeeds        = 64
	maxLogLevel     = 4
	minTime         = unit.Duration(100 * time.Millisecond)
	maxDrainNotice  = unit.Duration(10 * time.Minute)
	minHeaderSize   = unit.Size(1 << 10)
	maxHeaderSize   = unit.Size(1 << 20)
	maxConnections  = 1_000_000
	// A caller that sends slower than these holds a connection that others could use.
	maxHeaderTimeout   = unit.Duration(5 * time.Minute)
	maxBodyIdleTimeout = unit.Duration(10 * time.Minute)
	maxMinBodyRate     = unit.Size(1 << 20)
)

var (
	idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	// placePattern is that of the names in presets.
	placePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	// secretPattern has what can stand in a header of HTTP.
	secretPattern = regexp.MustCompile(`^[!-~]*$`)
)

// fault is a value that cannot be used. path leads to it from the top of the document.
type fault struct {
	path   []string
	reason string
}

func newFault(reason string, path ...string) *fault { return &fault{path, reason} }

// firstFault checks all values and returns the first fault, or nil.
func (s *Settings) firstFault() *fault {
	for _, check := range []func() *fault{s.nameFault, s.addressFault, s.seedFault, s.credentialFault, s.limitFault} {
		if f := check(); f != nil {
			return f
		}
	}
	return nil
}

func (s *Settings) nameFault() *fault {
	for _, name := range []struct {
		key, value string
		pattern    *regexp.Regexp
	}{{"id", s.ID, idPattern}, {"region", s.Region, placePattern}, {"dataCentre", s.DataCentre, placePattern}} {
		if !name.pattern.MatchString(name.value) {
			return newFault(fmt.Sprintf("%q does not match %s", name.value, name.pattern), name.key)
		}
	}
	return nil
}

func (s *Settings) addressFault() *fault {
	seen := map[netip.AddrPort]string{}
	for _, a := range []struct {
		value string
		path  []string
	}{
		{s.Addresses.Callers, []string{"addresses", "callers"}},
		{s.Addresses.Forward, []string{"addresses", "forward"}},
		{s.Addresses.Peer, []string{"addresses", "peer"}},
		{s.Addresses.Admin, []string{"addresses", "admin"}},
		{s.LogService, []string{"logService"}},
		{s.VMList, []string{"vmList"}},
	} {
		address, reason := parseAddress(a.value)
		if reason != "" {
			return newFault(reason, a.path...)
		}
		if other, taken := seen[address]; taken {
			return newFault("same address as "+other, a.path...)
		}
		seen[address] = a.path[len(a.path)-1]
	}
	return nil
}

// parseAddress returns the reason if text cannot be an address of this or another VM.
func parseAddress(text string) (address netip.AddrPort, reason string) {
	address, err := netip.ParseAddrPort(text)
	switch {
	case err != nil || address.Port() == 0:
		return address, fmt.Sprintf("%q is not an IP address and port", text)
	case address.Addr().IsUnspecified() || address.Addr().IsMulticast():
		return address, fmt.Sprintf("%q is not the address of one VM; other VMs use the same address", text)
	}
	return address, ""
}

func (s *Settings) seedFault() *fault {
	if len(s.Seeds) > maxSeeds {
		return newFault(fmt.Sprintf("more than %d addresses", maxSeeds), "seeds")
	}
	for i, seed := range s.Seeds {
		if _, reason := parseAddress(seed); reason != "" {
			return newFault(reason, "seeds", strconv.Itoa(i))
		}
	}
	return nil
}

func (s *Settings) credentialFault() *fault {
	seen := map[string]string{}
	for _, secret := range []struct{ key, value string }{
		{"operator", s.Credentials.Operator}, {"customer", s.Credentials.Customer}, {"peer", s.Credentials.Peer},
	} {
		path := []string{"credentials", secret.key}
		if len(secret.value) < minSecretLength || len(secret.value) > maxSecretLength {
			return newFault(fmt.Sprintf("must have %d to %d characters", minSecretLength, maxSecretLength), path...)
		}
		if !secretPattern.MatchString(secret.value) {
			return newFault("must consist of visible ASCII characters", path...)
		}
		if other, taken := seen[secret.value]; taken {
			return newFault("must differ from the credential "+other, path...)
		}
		seen[secret.value] = secret.key
	}
	return nil
}

func (s *Settings) limitFault() *fault {
	l := s.Limits
	for _, reason := range []*fault{
		outside(s.DrainNotice, minTime, maxDrainNotice, "drainNotice"),
		outside(s.LogLevel, 0, maxLogLevel, "logLevel"),
		outside(l.HeaderSize, minHeaderSize, maxHeaderSize, "limits", "headerSize"),
		outside(l.Connections, 1, maxConnections, "limits", "connections"),
		outside(l.ConnectionsPerCaller, 1, l.Connections, "limits", "connectionsPerCaller"),
		outside(l.HeaderTimeout, minTime, maxHeaderTimeout, "limits", "headerTimeout"),
		outside(l.BodyIdleTimeout, minTime, maxBodyIdleTimeout, "limits", "bodyIdleTimeout"),
		outside(l.MinBodyRate, 0, maxMinBodyRate, "limits", "minBodyRate"),
	} {
		if reason != nil {
			return reason
		}
	}
	return nil
}

// outside returns a fault unless low <= value <= high.
func outside[T cmp.Ordered](value, low, high T, path ...string) *fault {
	if value >= low && value <= high {
		return nil
	}
	return newFault(fmt.Sprintf("must be %s to %s", inUnits(low), inUnits(high)), path...)
}

func inUnits(value any) string {
	switch v := value.(type) {
	case unit.Duration:
		return v.Std().String()
	case unit.Size:
		return fmt.Sprintf("%dKiB", v>>10)
	}
	return fmt.Sprint(value)
}
