package dispatch

import "time"

// RoundRobin is a baseline: the servers take turns.
type RoundRobin struct{ turn int }

// Select implements Selection.
func (r *RoundRobin) Select(_ time.Time, servers []*ServerState, _ *Request) *ServerState {
	r.turn++
	return servers[r.turn%len(servers)]
}
