package dispatch

import "time"

// RoundRobin is a baseline policy: it selects the servers in turn.
type RoundRobin struct{ next int }

// Select implements Selection.
func (r *RoundRobin) Select(_ time.Time, servers []*ServerState, _ *Request) *ServerState {
	r.next++
	return servers[r.next%len(servers)]
}
