package dispatch

import "time"

// LeastRequests is a baseline: the fewest calls running as counted locally. Equal servers take turns.
type LeastRequests struct{ turn int }

// Select implements Selection.
func (l *LeastRequests) Select(_ time.Time, servers []*ServerState, _ *Request) *ServerState {
	l.turn++
	var best *ServerState
	for i := range servers {
		s := servers[(i+l.turn)%len(servers)]
		if best == nil || s.busy < best.busy {
			best = s
		}
	}
	return best
}
