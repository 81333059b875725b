package operation

import "slices"

// planOwners returns the VM that should own each range: even shares, as few moves as possible, the same on every VM that
// has the same input. The owner of a range that is free is empty. Alive must not be empty.
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

// quotas gives each VM an equal share. The remainder goes to the VMs that hold most, so that it moves nothing.
func quotas(owners [RangeCount]string, alive []string) map[string]int {
	held := map[string]int{}
	for _, vm := range owners {
		held[vm]++
	}
	order := slices.Clone(alive)
	slices.SortStableFunc(order, func(a, b string) int { return held[b] - held[a] })
	quota := make(map[string]int, len(alive))
	for i, vm := range order {
		quota[vm] = RangeCount / len(alive)
		if i < RangeCount%len(alive) {
			quota[vm]++
		}
	}
	return quota
}
