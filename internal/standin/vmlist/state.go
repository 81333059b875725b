package vmlist

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/pkg/vmlist"
)

// Faults are the injected faults. The zero value has none.
type Faults struct {
	// Down refuses GET /vms with 503.
	Down bool `json:"down"`
	// Frozen keeps the visible list as it was when Frozen was set.
	Frozen bool `json:"frozen"`
	// LagMillis is the delay in milliseconds until a change becomes visible. It applies to changes made after it is set.
	LagMillis int64 `json:"lagMs"`
	// Wrong are false entries. Each one replaces the entry with the same ID or is added.
	Wrong []vmlist.VM `json:"wrong"`
	// Hidden are the IDs of entries that are omitted.
	Hidden []string `json:"hidden"`
}

// validate checks the lag and the false entries.
func (f Faults) validate() error {
	if f.LagMillis < 0 {
		return errors.New("lagMs must not be negative")
	}
	return validate(f.Wrong)
}

// listVersion is a version of the true list and the time from which it is visible.
type listVersion struct {
	visibleAt time.Time
	vms       []vmlist.VM
}

// state holds the versions of the true list, of which the last one is current, and the active faults. It is safe for
// concurrent use.
type state struct {
	mu        sync.Mutex
	versions  []listVersion
	frozenVMs []vmlist.VM
	faults    Faults
}

// change applies update to a copy of the current true list. The result becomes visible after the lag.
func (s *state) change(now time.Time, update func([]vmlist.VM) []vmlist.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	updated := update(slices.Clone(s.versions[len(s.versions)-1].vms))
	slices.SortFunc(updated, func(a, b vmlist.VM) int { return strings.Compare(a.ID, b.ID) })
	lag := time.Duration(s.faults.LagMillis) * time.Millisecond
	s.versions = append(s.versions, listVersion{visibleAt: now.Add(lag), vms: updated})
	s.visibleLocked(now)
}

// visibleLocked returns the list that is visible without faults and drops older versions. The caller must hold mu.
func (s *state) visibleLocked(now time.Time) []vmlist.VM {
	for i := len(s.versions) - 1; i > 0; i-- {
		if !s.versions[i].visibleAt.After(now) {
			s.versions = slices.Delete(s.versions, 0, i)
			break
		}
	}
	return s.versions[0].vms
}

// visibleWithFaults returns the visible list with all faults applied, and whether the service is down.
func (s *state) visibleWithFaults(now time.Time) (vms []vmlist.VM, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	visible := s.visibleLocked(now)
	if s.faults.Frozen {
		visible = s.frozenVMs
	}
	wrong := s.faults.Wrong
	result := make([]vmlist.VM, 0, len(visible)+len(wrong))
	for _, vm := range visible {
		sameID := func(other vmlist.VM) bool { return other.ID == vm.ID }
		if !slices.ContainsFunc(wrong, sameID) && !slices.Contains(s.faults.Hidden, vm.ID) {
			result = append(result, vm)
		}
	}
	result = append(result, wrong...)
	slices.SortFunc(result, func(a, b vmlist.VM) int { return strings.Compare(a.ID, b.ID) })
	return result, s.faults.Down
}

// setFaults replaces the active faults.
func (s *state) setFaults(now time.Time, f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Frozen && !s.faults.Frozen {
		s.frozenVMs = s.visibleLocked(now)
	}
	s.faults = f
}

// getFaults returns a copy of the active faults.
func (s *state) getFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	f.Wrong, f.Hidden = slices.Clone(f.Wrong), slices.Clone(f.Hidden)
	return f
}

// validate checks that the IDs are not empty and unique, and that the roles and states are known.
func validate(vms []vmlist.VM) error {
	seen := map[string]bool{}
	for _, vm := range vms {
		switch {
		case vm.ID == "":
			return errors.New("VM has no ID")
		case seen[vm.ID]:
			return errors.Newf("VM %q is listed twice", vm.ID)
		case vm.Role != vmlist.RoleEntry && vm.Role != vmlist.RoleBackend:
			return errors.Newf("VM %q: unknown role %q", vm.ID, vm.Role)
		case vm.State != vmlist.StateLive && vm.State != vmlist.StateLeaving:
			return errors.Newf("VM %q: unknown state %q", vm.ID, vm.State)
		}
		seen[vm.ID] = true
	}
	return nil
}
