// Package dispatch chooses the backend server for each call. One dispatcher per pool keeps exact counts of the busy slots
// and the queue of waiting requests. Pool and the selection policies are pure: callers pass in the time, and no goroutines
// are started. PoolSelector selects the pool of a call. Runner and Registry run pools in goroutines.
package dispatch

import (
	"context"
	"time"

	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

// State is the lifecycle state of a backend server in the VM list.
type State string

// The lifecycle states of a backend server.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Server describes a backend server, combined from the VM list and the preset.
type Server struct {
	ID         string
	Address    string
	Service    string
	Region     string
	DataCentre string
	State      State
	// Slots is the maximum number of concurrent calls on the server.
	Slots int
}

// PoolKey identifies a pool: the servers of one service in one data centre.
type PoolKey struct {
	Service    string
	DataCentre string
}

// Request is a request for a slot on a server of a pool.
type Request struct {
	Service string
	// DataCentre is the data centre of the pool. Empty means the data centre of this VM.
	DataCentre string
	Class      priority.Class
	// Deadline is the time by which the call must end. Zero means no deadline.
	Deadline time.Time
	// Exclude lists the ids of servers to avoid. A request that is not hedged may still get an excluded server when no other
	// server has a free slot.
	Exclude []string
	// Hedged marks the second attempt of a call whose first attempt is still running. It never gets an excluded server.
	Hedged bool
}

// ResultClass classifies how a call on a server ended.
type ResultClass uint8

// The result classes.
const (
	// Success is a successful response from the server.
	Success ResultClass = iota
	// Failed is an error response or a broken connection.
	Failed
	// Shed is a response stating that the server did not run the call.
	Shed
	// Refused is a connection refused by the server.
	Refused
	// Draining is a response stating that the server is draining.
	Draining
	// TimedOut is a call that got no response before its timeout.
	TimedOut
	// Cancelled is a call cancelled on this VM: the caller disconnected or the other attempt of a hedged request won.
	Cancelled
	// NotSent is a call that was not sent because this VM had reached its connection limit or its limit on new connections.
	NotSent
)

// Result describes the end of a call on a server.
type Result struct {
	Class ResultClass
	// Latency is the time from sending the request to the end of the response or to the abort of the call.
	Latency time.Duration
}

// Slot is a granted slot, which permits one call on a server.
type Slot interface {
	// Server returns the selected server.
	Server() Server
	// Release returns the slot to the pool and reports the result of the call. Only the first call has an effect.
	Release(Result)
}

// Dispatcher grants slots.
type Dispatcher interface {
	// Acquire blocks until a slot is granted or the request is refused. The error is a *problem.Problem with outcome not_run.
	// When ctx ends, the request is removed from the queue.
	Acquire(ctx context.Context, r Request) (Slot, error)
}

// Selection is a policy that selects one of the given servers. Each of them has a free slot; servers is never empty.
type Selection interface {
	Select(now time.Time, servers []*ServerState, r *Request) *ServerState
}

// PoolLoad summarises the load of a pool. It is sent with responses.
type PoolLoad struct {
	// Healthy reports whether at least one server is available for calls.
	Healthy bool
	// Slots, Busy and Queued are the numbers of slots in rotation, running calls and waiting requests.
	Slots, Busy, Queued int
	// ExpectedWait is the expected queueing time of a new request, by class.
	ExpectedWait [priority.NumClasses]time.Duration
	// P95 is the 95th percentile of the service time, by class; 0 when unknown.
	P95 [priority.NumClasses]time.Duration
	// At is the time at which the summary was computed.
	At time.Time
}
