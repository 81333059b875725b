package dispatch

import "time"

// errorPenalty is the factor of the error rate in the score: a server that fails one call in ten counts as twice as slow.
const errorPenalty = 10

// LowestScore is the pool's own policy: the lowest product of service time, calls running and error penalty. Equal
// servers take turns.
type LowestScore struct{ turn int }

// Select implements Selection.
func (l *LowestScore) Select(_ time.Time, servers []*ServerState, _ *Request) *ServerState {
	l.turn++
	var best *ServerState
	bestScore := 0.0
	for i := range servers {
		s := servers[(i+l.turn)%len(servers)]
		score := s.slowness * float64(s.busy+1) * (1 + errorPenalty*s.errorRate)
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}
