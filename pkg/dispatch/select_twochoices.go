package dispatch

import (
	"math/rand/v2"
	"time"
)

// TwoChoices is a baseline policy: it selects the better of two random servers, compared by the last load report, however
// old, or by the product of the locally measured relative service time and the locally counted calls plus one.
type TwoChoices struct {
	source *rand.Rand
	// ByReport compares the reported numbers of running and waiting calls instead of the local values.
	ByReport bool
}

// NewTwoChoices returns the policy with a fixed seed.
func NewTwoChoices(seed uint64, byReport bool) *TwoChoices {
	return &TwoChoices{source: rand.New(rand.NewPCG(seed, 0)), ByReport: byReport}
}

// Select implements Selection.
func (t *TwoChoices) Select(_ time.Time, servers []*ServerState, _ *Request) *ServerState {
	a := servers[t.source.IntN(len(servers))]
	b := servers[t.source.IntN(len(servers))]
	if t.cost(b) < t.cost(a) {
		return b
	}
	return a
}

func (t *TwoChoices) cost(s *ServerState) float64 {
	if t.ByReport {
		return float64(s.report.Busy + s.report.Queued)
	}
	return s.relativeServiceTime * float64(s.busy+1)
}
