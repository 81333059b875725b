package operation

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxHolders is the maximum number of VMs that hold key ranges and renew leases. Every VM reads every renewal, so without
// this limit the bytes that a VM reads would grow with the number of VMs.
const MaxHolders = 8

// Candidate is an entry VM that is alive and may hold key ranges.
type Candidate struct{ VM, Region string }

// holderSelector selects the VMs that hold key ranges: the first MaxHolders of a fixed order that alternates between the
// regions. A selected VM that writes no log record for TakeoverDelay is skipped until one is read again, so that ranges are
// not assigned to VMs that are alive but cannot reach the log.
type holderSelector struct {
	// expectedSince is the time since which this VM has expected log records of a selected VM.
	expectedSince map[string]time.Time
}

// selectHolders returns the VMs that should hold ranges. lastSeen returns the time at which this VM read the last log
// record of a VM, or at which it reached the log's head if that is later. The VM self is never skipped.
func (h *holderSelector) selectHolders(now time.Time, self string, alive []Candidate,
	lastSeen func(vm string) time.Time) []string {
	var selected []string
	expectedSince := map[string]time.Time{}
	for _, vm := range holderOrder(alive) {
		if len(selected) == MaxHolders {
			break
		}
		since, known := h.expectedSince[vm]
		if !known {
			since = now
		}
		expectedSince[vm] = since
		latest := lastSeen(vm)
		if since.After(latest) {
			latest = since
		}
		if vm == self || now.Sub(latest) < TakeoverDelay {
			selected = append(selected, vm)
		}
	}
	h.expectedSince = expectedSince
	return selected
}

// holderOrder orders VMs by a hash within each region and alternates between the regions. When a VM joins or leaves, few
// others move across the limit of MaxHolders.
func holderOrder(alive []Candidate) []string {
	type ranked struct {
		Candidate
		hash uint64
		rank int
	}
	order := make([]ranked, len(alive))
	for i, c := range alive {
		order[i] = ranked{Candidate: c, hash: xxhash.Sum64String(c.VM)}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		switch {
		case a.hash < b.hash:
			return -1
		case a.hash > b.hash:
			return 1
		}
		return strings.Compare(a.VM, b.VM)
	})
	ranks := map[string]int{}
	for i := range order {
		order[i].rank = ranks[order[i].Region]
		ranks[order[i].Region]++
	}
	slices.SortStableFunc(order, func(a, b ranked) int { return a.rank - b.rank })
	ids := make([]string, 0, len(order))
	for _, r := range order {
		ids = append(ids, r.VM)
	}
	return slices.Compact(ids)
}

// updateHolders updates the VMs that should hold ranges.
func (m *RangeManager) updateHolders(readStart time.Time) {
	alive := m.Alive()
	if !m.draining && !slices.ContainsFunc(alive, func(c Candidate) bool { return c.VM == m.Self.VM }) {
		alive = append(alive, Candidate{VM: m.Self.VM})
	}
	m.selectedHolders = m.selector.selectHolders(readStart, m.Self.VM, alive, func(vm string) time.Time {
		if at := m.lastSeenVM[vm]; at.After(m.atHeadSince) {
			return at
		}
		return m.atHeadSince
	})
}

// isHolder reports whether this VM should hold ranges.
func (m *RangeManager) isHolder() bool {
	return !m.draining && slices.Contains(m.selectedHolders, m.Self.VM)
}
