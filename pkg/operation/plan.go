package operation

import "slices"

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
