package dispatch

import "time"

// LeastRequests is a baseline policy: it selects the server with the fewest running calls, counted locally. Ties are broken
// in round-robin order.
type LeastRequests struct{ next int }

// Select implements Selection.
func (l *LeastRequests) Select(_ time.Time, servers []*ServerState, _ *Request) *ServerState {
	l.next++
	var best *ServerState
	for i := range servers {
		s := servers[(i+l.next)%len(servers)]
		if best == nil || s.busy < best.busy {
			best = s
		}
	}
	return best
}
