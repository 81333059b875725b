package vmlist

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/pkg/vmlist"
)

// Faults are the switched faults. The zero value has none.
type Faults struct {
	// Down answers GET /vms with 503.
	Down bool `json:"down"`
	// Frozen keeps the list as it was visible when this was switched on.
	Frozen bool `json:"frozen"`
	// LagMillis is the time after which a change becomes visible. It applies to changes made from now on.
	LagMillis int64 `json:"lagMs"`
	// Wrong are false entries: they replace the entry of the same id or are added.
	Wrong []vmlist.VM `json:"wrong"`
	// Hidden are ids of entries that are left out.
	Hidden []string `json:"hidden"`
}

func (f Faults) validate() error {
	if f.LagMillis < 0 {
		return errors.New("lagMs must not be negative")
	}
	return validate(f.Wrong)
}

// version is one true list and the time from which it is visible.
type version struct {
	visibleAt time.Time
	vms       []vmlist.VM
}

// state holds the versions of the list. The last one is the truth. It is safe for concurrent use.
type state struct {
	mu       sync.Mutex
	versions []version
	frozen   []vmlist.VM
	faults   Faults
}

// change derives a new true list from the current one, with lag until it is visible.
func (s *state) change(now time.Time, derive func([]vmlist.VM) []vmlist.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	truth := derive(slices.Clone(s.versions[len(s.versions)-1].vms))
	slices.SortFunc(truth, func(a, b vmlist.VM) int { return strings.Compare(a.ID, b.ID) })
	lag := time.Duration(s.faults.LagMillis) * time.Millisecond
	s.versions = append(s.versions, version{visibleAt: now.Add(lag), vms: truth})
	s.visibleLocked(now)
}

// visibleLocked returns the list as it is visible without faults and forgets what can no longer be seen. mu is held.
func (s *state) visibleLocked(now time.Time) []vmlist.VM {
	for i := len(s.versions) - 1; i > 0; i-- {
		if !s.versions[i].visibleAt.After(now) {
			s.versions = slices.Delete(s.versions, 0, i)
			break
		}
	}
	return s.versions[0].vms
}

// view returns the list with all faults applied, and whether the service is down.
func (s *state) view(now time.Time) (vms []vmlist.VM, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	shown := s.visibleLocked(now)
	if s.faults.Frozen {
		shown = s.frozen
	}
	wrong := s.faults.Wrong
	result := make([]vmlist.VM, 0, len(shown)+len(wrong))
	for _, vm := range shown {
		sameID := func(other vmlist.VM) bool { return other.ID == vm.ID }
		if !slices.ContainsFunc(wrong, sameID) && !slices.Contains(s.faults.Hidden, vm.ID) {
			result = append(result, vm)
		}
	}
	result = append(result, wrong...)
	slices.SortFunc(result, func(a, b vmlist.VM) int { return strings.Compare(a.ID, b.ID) })
	return result, s.faults.Down
}

func (s *state) setFaults(now time.Time, f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Frozen && !s.faults.Frozen {
		s.frozen = s.visibleLocked(now)
	}
	s.faults = f
}

func (s *state) getFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	f.Wrong, f.Hidden = slices.Clone(f.Wrong), slices.Clone(f.Hidden)
	return f
}

// validate checks ids, roles and states.
func validate(vms []vmlist.VM) error {
	seen := map[string]bool{}
	for _, vm := range vms {
		switch {
		case vm.ID == "":
			return errors.New("VM without id")
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
