package dispatch

import "time"

// errorPenalty is the weight of the error rate in the score: a server that fails one call in ten counts as twice as slow.
const errorPenalty = 10

// LowestScore is the default policy of a pool: it selects the server with the lowest product of relative service
// time, running calls plus one, and error penalty. Ties are broken in round-robin order.
type LowestScore struct{ next int }

// Select implements Selection.
func (l *LowestScore) Select(_ time.Time, servers []*ServerState, _ *Request) *ServerState {
	l.next++
	var best *ServerState
	bestScore := 0.0
	for i := range servers {
		s := servers[(i+l.next)%len(servers)]
		score := s.relativeServiceTime * float64(s.busy+1) * (1 + errorPenalty*s.errorRate)
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}
