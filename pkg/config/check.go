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

// Limits of the settings.
const (
	minSecretLength = 16
	maxSecretLength = 256
	maxSeeds        = 64
	maxLogLevel     = 4
	minTimeout      = unit.Duration(100 * time.Millisecond)
	maxDrainNotice  = unit.Duration(10 * time.Minute)
	minHeaderSize   = unit.Size(1 << 10)
	maxHeaderSize   = unit.Size(1 << 20)
	maxConnections  = 1_000_000
	// These limits keep slow callers from occupying connections that others could use.
	maxHeaderTimeout   = unit.Duration(5 * time.Minute)
	maxBodyIdleTimeout = unit.Duration(10 * time.Minute)
	maxMinBodyRate     = unit.Size(1 << 20)
)

var (
	idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	// namePattern is the pattern of regions and data centres. It is the same as that of the names in presets.
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	// secretPattern allows only characters that can be sent in an HTTP header.
	secretPattern = regexp.MustCompile(`^[!-~]*$`)
)

// violation is an invalid value. path holds the keys that lead to it from the top of the document.
type violation struct {
	path   []string
	reason string
}

func newViolation(reason string, path ...string) *violation { return &violation{path, reason} }

// validate checks all values and returns the first violation, or nil.
func (s *Settings) validate() *violation {
	for _, check := range []func() *violation{s.checkNames, s.checkAddresses, s.checkSeeds, s.checkCredentials, s.checkLimits} {
		if v := check(); v != nil {
			return v
		}
	}
	return nil
}

func (s *Settings) checkNames() *violation {
	for _, name := range []struct {
		key, value string
		pattern    *regexp.Regexp
	}{{"id", s.ID, idPattern}, {"region", s.Region, namePattern}, {"dataCentre", s.DataCentre, namePattern}} {
		if !name.pattern.MatchString(name.value) {
			return newViolation(fmt.Sprintf("%q does not match %s", name.value, name.pattern), name.key)
		}
	}
	return nil
}

func (s *Settings) checkAddresses() *violation {
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
			return newViolation(reason, a.path...)
		}
		if other, duplicate := seen[address]; duplicate {
			return newViolation("same address as "+other, a.path...)
		}
		seen[address] = a.path[len(a.path)-1]
	}
	return nil
}

// parseAddress parses an IP address and port. reason is not empty if text is not an address on which one VM is reachable.
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

func (s *Settings) checkSeeds() *violation {
	if len(s.Seeds) > maxSeeds {
		return newViolation(fmt.Sprintf("more than %d addresses", maxSeeds), "seeds")
	}
	for i, seed := range s.Seeds {
		if _, reason := parseAddress(seed); reason != "" {
			return newViolation(reason, "seeds", strconv.Itoa(i))
		}
	}
	return nil
}

func (s *Settings) checkCredentials() *violation {
	seen := map[string]string{}
	for _, secret := range []struct{ key, value string }{
		{"operator", s.Credentials.Operator}, {"customer", s.Credentials.Customer}, {"peer", s.Credentials.Peer},
	} {
		path := []string{"credentials", secret.key}
		if len(secret.value) < minSecretLength || len(secret.value) > maxSecretLength {
			return newViolation(fmt.Sprintf("must have %d to %d characters", minSecretLength, maxSecretLength), path...)
		}
		if !secretPattern.MatchString(secret.value) {
			return newViolation("must consist of visible ASCII characters", path...)
		}
		if other, duplicate := seen[secret.value]; duplicate {
			return newViolation("must differ from the credential "+other, path...)
		}
		seen[secret.value] = secret.key
	}
	return nil
}

func (s *Settings) checkLimits() *violation {
	l := s.Limits
	for _, v := range []*violation{
		checkRange(s.DrainNotice, minTimeout, maxDrainNotice, "drainNotice"),
		checkRange(s.LogLevel, 0, maxLogLevel, "logLevel"),
		checkRange(l.HeaderSize, minHeaderSize, maxHeaderSize, "limits", "headerSize"),
		checkRange(l.Connections, 1, maxConnections, "limits", "connections"),
		checkRange(l.ConnectionsPerCaller, 1, l.Connections, "limits", "connectionsPerCaller"),
		checkRange(l.HeaderTimeout, minTimeout, maxHeaderTimeout, "limits", "headerTimeout"),
		checkRange(l.BodyIdleTimeout, minTimeout, maxBodyIdleTimeout, "limits", "bodyIdleTimeout"),
		checkRange(l.MinBodyRate, 0, maxMinBodyRate, "limits", "minBodyRate"),
	} {
		if v != nil {
			return v
		}
	}
	return nil
}

// checkRange returns a violation unless low <= value <= high.
func checkRange[T cmp.Ordered](value, low, high T, path ...string) *violation {
	if value >= low && value <= high {
		return nil
	}
	return newViolation(fmt.Sprintf("must be %s to %s", formatBound(low), formatBound(high)), path...)
}

func formatBound(value any) string {
	switch v := value.(type) {
	case unit.Duration:
		return v.Std().String()
	case unit.Size:
		return fmt.Sprintf("%dKiB", v>>10)
	}
	return fmt.Sprint(value)
}
