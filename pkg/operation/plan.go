package operation

import (
	"slices"
	"time"
)

// planOwners returns the VM that should own each range. The shares are even, as few ranges as possible move, and every VM
// computes the same plan from the same input. In owners, a free range has an empty owner. alive must not be empty.
func planOwners(owners [RangeCount]string, alive []string) [RangeCount]string {
	alive = slices.Clone(alive)
	slices.Sort(alive)
	alive = slices.Compact(alive)
	quota := quotas(owners, alive)
	var plan [RangeCount]string
	for r, vm := range owners {
		if quota[vm] > 0 {
			plan[r] = vm
			quota[vm]--
		}
	}
	next := 0
	for r := range plan {
		if plan[r] != "" {
			continue
		}
		for quota[alive[next]] == 0 {
			next++
		}
		plan[r] = alive[next]
		quota[alive[next]]--
	}
	return plan
}

// quotas returns an equal share of the ranges for each VM. The remainder is assigned to the VMs that own the most ranges, so
// that it causes no moves.
func quotas(owners [RangeCount]string, alive []string) map[string]int {
	ownedCount := map[string]int{}
	for _, vm := range owners {
		ownedCount[vm]++
	}
	order := slices.Clone(alive)
	slices.SortStableFunc(order, func(a, b string) int { return ownedCount[b] - ownedCount[a] })
	quota := make(map[string]int, len(alive))
	for i, vm := range order {
		quota[vm] = RangeCount / len(alive)
		if i < RangeCount%len(alive) {
			quota[vm]++
		}
	}
	return quota
}

// planOwnership returns the VM that should own each range. VMs without recent log records are assigned no ranges. The result
// is false if no VM can own ranges.
func (m *RangeManager) planOwnership(readStart time.Time) ([RangeCount]string, bool) {
	var owners [RangeCount]string
	for r, s := range m.table.Ranges {
		// At most one of the two is set.
		owner := s.VM + s.Successor
		switch {
		case s.VM == m.Self.VM && s.Incarnation != m.Self.Incarnation:
		case owner != "" && owner != m.Self.VM && m.ownerStale(r, readStart):
			// The owner is stale, so the range is free for the other VMs.
		default:
			owners[r] = owner
		}
	}
	var alive []string
	for _, vm := range m.selectedHolders {
		if vm != m.Self.VM && m.seenRecently(vm, readStart) {
			alive = append(alive, vm)
		}
	}
	if m.isHolder() {
		alive = append(alive, m.Self.VM)
	}
	if len(alive) == 0 {
		return owners, false
	}
	return planOwners(owners, alive), true
}

// seenRecently reports whether a record of a VM was read within TakeoverDelay. A VM that is alive but cannot reach the log is
// assigned no ranges.
func (m *RangeManager) seenRecently(vm string, readStart time.Time) bool {
	at, ok := m.lastSeenVM[vm]
	if m.atHeadSince.After(at) {
		at = m.atHeadSince
	}
	return ok && readStart.Sub(at) < TakeoverDelay
}
