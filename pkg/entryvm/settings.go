// Package entryvm wires the platform form of an entry VM together and runs its life cycle.
package entryvm

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrInvalid reports settings that cannot be used.
var ErrInvalid = errors.New("invalid settings")

// Settings are the static settings of an entry VM on a platform.
type Settings struct {
	// VM names this VM. DataCentre and Region are its place.
	VM, DataCentre, Region string
	// Callers, Health and Peer are listen addresses (IP and port): for callers, for health checks and metrics, and for other
	// entry VMs over TCP and UDP.
	Callers, Health, Peer string
	// Store is the address (IP and port) of the platform's store.
	Store string
	// Seeds are peer addresses of some entry VMs; they may be stale.
	Seeds []string
	// FirstStart says that the whole system starts for the first time.
	FirstStart bool
	// Regions maps data centres to regions.
	Regions map[string]string
	// Capacity is how much work this VM can take in comparison to others. Zero: not told.
	Capacity int
	// StopTime is the time from the stop signal to the end of the process. Default 6s.
	StopTime time.Duration
	// RetryShare and RetrySlack bound the second sends of all entry VMs to a service: a share of its requests, and a number
	// on top. Zero: none.
	RetryShare, RetrySlack float64
}

const defaultStopTime = 6 * time.Second

// Check completes and validates the settings. Error: ErrInvalid.
func (s *Settings) Check() error {
	if s.StopTime == 0 {
		s.StopTime = defaultStopTime
	}
	if s.VM == "" || s.DataCentre == "" || s.Region == "" {
		return errors.Wrap(ErrInvalid, "the VM has no name or place")
	}
	if s.StopTime < 0 || s.RetryShare < 0 || s.RetrySlack < 0 {
		return errors.Wrap(ErrInvalid, "a bound is negative")
	}
	for name, address := range map[string]string{"callers": s.Callers, "health": s.Health, "peer": s.Peer, "store": s.Store} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return errors.Wrapf(ErrInvalid, "%s address %q", name, address)
		}
	}
	return nil
}
