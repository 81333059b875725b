package operation

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxHolders bounds the VMs that hold key ranges and renew. Every VM reads every renewal, so the bytes that a VM reads
// would otherwise grow with the number of VMs.
const MaxHolders = 8

// Candidate is an entry VM that is alive and may hold key ranges.
type Candidate struct{ VM, Region string }

// holders chooses the VMs that hold key ranges: the first of a fixed order that alternates between the regions. A VM that
// was chosen and stays silent in the log is passed over until it is heard, so that VMs which are alive but cut off from
// the log do not keep the ranges from those that reach it.
type holders struct {
	// since is the time since which this VM has expected to hear a chosen VM.
	since map[string]time.Time
}

// choose returns the holders. Heard returns the time at which a VM was last read of in the log, or at which this VM
// reached the log's head if that is later. Self is never passed over.
func (h *holders) choose(now time.Time, self string, alive []Candidate, heard func(vm string) time.Time) []string {
	var chosen []string
	expected := map[string]time.Time{}
	for _, vm := range holderOrder(alive) {
		if len(chosen) == MaxHolders {
			break
		}
		since, known := h.since[vm]
		if !known {
			since = now
		}
		expected[vm] = since
		latest := heard(vm)
		if since.After(latest) {
			latest = since
		}
		if vm == self || now.Sub(latest) < TakeoverDelay {
			chosen = append(chosen, vm)
		}
	}
	h.since = expected
	return chosen
}

// holderOrder orders VMs by a hash within each region and alternates between the regions. A VM that comes or goes moves
// few others across the bound.
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
