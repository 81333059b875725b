// Package entryvm assembles an entry VM for a platform that an adapter connects to it, and runs its life cycle.
package entryvm

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
)

// ErrInvalid reports invalid settings.
var ErrInvalid = errors.New("invalid settings")

// Settings are the static settings of an entry VM on a platform.
type Settings struct {
	// VM is the name of this VM. DataCentre and Region are its location.
	VM, DataCentre, Region string
	// Callers, Health and Peer are listen addresses (IP and port): for callers, for health checks and metrics, and for
	// peer VMs over TCP and UDP.
	Callers, Health, Peer string
	// Store is the address (IP and port) of the platform's store.
	Store string
	// Seeds are the peer addresses of some entry VMs. They may be out of date.
	Seeds []string
	// FirstStart is set when the whole system starts for the first time.
	FirstStart bool
	// Regions maps data centres to regions.
	Regions map[string]string
	// Capacity is the relative amount of work that this VM can handle compared with other VMs. Zero: unknown.
	Capacity int
	// MemoryLimit is the memory in bytes above which the process is killed. Zero: unknown.
	MemoryLimit int64
	// ShutdownTimeout is the longest time from the stop signal to the end of the process. Default 6s.
	ShutdownTimeout time.Duration
	// RetryBudgetRatio and RetryBudgetSlack limit the retries of all entry VMs together to a service: to a share of its
	// requests, plus a fixed number. Zero: none.
	RetryBudgetRatio, RetryBudgetSlack float64
}

const defaultShutdownTimeout = 6 * time.Second

// Check sets defaults and validates the settings. Error: ErrInvalid.
func (s *Settings) Check() error {
	if s.ShutdownTimeout == 0 {
		s.ShutdownTimeout = defaultShutdownTimeout
	}
	if s.VM == "" || s.DataCentre == "" || s.Region == "" {
		return errors.Wrapf(ErrInvalid, "VM name %q, data centre %q and region %q must not be empty", s.VM, s.DataCentre, s.Region)
	}
	if s.ShutdownTimeout < 0 || s.RetryBudgetRatio < 0 || s.RetryBudgetSlack < 0 || s.MemoryLimit < 0 {
		return errors.Wrapf(ErrInvalid, "shutdown timeout %v, retry budget ratio %v and slack %v, and memory limit %d must not be negative",
			s.ShutdownTimeout, s.RetryBudgetRatio, s.RetryBudgetSlack, s.MemoryLimit)
	}
	for name, address := range map[string]string{"callers": s.Callers, "health": s.Health, "peer": s.Peer, "store": s.Store} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return errors.Wrapf(ErrInvalid, "%s address %q is not an IP address and port", name, address)
		}
	}
	return nil
}

// deploymentKey returns a key that the VMs of one deployment share, so that processes of another one are refused. VMs may reach the
// store at different addresses, but know the same data centres.
func (s *Settings) deploymentKey() string {
	places := lo.MapToSlice(s.Regions, func(dataCentre, region string) string { return region + "/" + dataCentre })
	slices.Sort(places)
	return strings.Join(places, ",")
}
