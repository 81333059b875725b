package dispatch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the VM ids in the rendezvous hashing order of a pool: the first is the dispatcher of the pool, the second its
// successor. A VM that joins or leaves changes the dispatcher only of the pools for which it ranks first.
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
			_, _ = digest.WriteString("\x00") // distinguishes ("ab", "c") from ("a", "bc")
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
