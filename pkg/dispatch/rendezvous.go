package dispatch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the ids of the VMs in the rendezvous order of the pool: the first is the pool's dispatcher, the next its
// successor. VMs that join or leave change nothing for the pools that they are not first for.
func Rank(key PoolKey, vms []string) []string {
	type ranked struct {
		id    string
		score uint64
	}
	scores := make([]ranked, len(vms))
	var digest xxhash.Digest
	for i, id := range vms {
		digest.Reset()
		for _, part := range []string{key.Service, key.DataCentre, id} {
			_, _ = digest.WriteString(part)   // never fails
			_, _ = digest.WriteString("\x00") // keeps ("ab", "c") and ("a", "bc") apart
		}
		scores[i] = ranked{id, digest.Sum64()}
	}
	slices.SortFunc(scores, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	order := make([]string, len(vms))
	for i, s := range scores {
		order[i] = s.id
	}
	return order
}
