package dispatch

import (
	"math/rand/v2"
	"time"
)

// Random is a baseline policy: it selects each server with the same probability.
type Random struct{ source *rand.Rand }

// NewRandom returns the policy with a fixed seed.
func NewRandom(seed uint64) *Random {
	return &Random{source: rand.New(rand.NewPCG(seed, 0))}
}

// Select implements Selection.
func (r *Random) Select(_ time.Time, servers []*ServerState, _ *Request) *ServerState {
	return servers[r.source.IntN(len(servers))]
}
