// Package dispatch chooses the backend server of each call. One dispatcher per pool keeps exact counts of the busy
// slots and the queue of waiting requests. Pool, Chooser and the selection policies are pure: the time is passed in and
// they start no goroutines. Runner and Registry wrap pools in goroutines.
package dispatch

import (
	"context"
	"time"

	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

// State is the life-cycle state of a backend server in the VM list.
type State string

// The states of a server.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Server is a backend server as the VM list and the preset describe it.
type Server struct {
	ID         string
	Address    string
	Service    string
	Region     string
	DataCentre string
	State      State
	// Slots is the number of calls that the server runs at once.
	Slots int
}

// PoolKey names a pool: the servers of one service in one data centre.
type PoolKey struct {
	Service    string
	DataCentre string
}

// Request asks for a slot of a server.
type Request struct {
	Service string
	// DataCentre names the pool's data centre. Empty: the data centre of this VM.
	DataCentre string
	Class      priority.Class
	// Deadline is the end of the call. Zero: none.
	Deadline time.Time
	// Exclude lists servers to avoid, by id. A request that is not a hedge gets an excluded server when no other one is free.
	Exclude []string
	// Hedged marks a second attempt of a call whose first attempt is still running. It gets no excluded server.
	Hedged bool
}

// ResultClass says how a call on a server ended.
type ResultClass uint8

// The result classes.
const (
	// Success is an answer of the server.
	Success ResultClass = iota
	// Failed is an error answer or a broken connection.
	Failed
	// Shed is an answer that says that the server did not run the call.
	Shed
	// Refused is a refused connection.
	Refused
	// Draining is an answer that says that the server is going away.
	Draining
	// TimedOut is a call without an answer in time.
	TimedOut
	// Cancelled is a call ended by this side: the caller left or a hedge won.
	Cancelled
	// Unsent is a call for which this VM had no connection: its connection cap or its rate of new connections was reached.
	Unsent
)

// Result is the end of a call on a server.
type Result struct {
	Class ResultClass
	// Latency is the time from sending the request to the end of the answer, or to giving up.
	Latency time.Duration
}

// Slot is the right to run one call on a server.
type Slot interface {
	// Server returns the chosen server.
	Server() Server
	// Release gives the slot back. Calls after the first do nothing.
	Release(Result)
}

// Dispatcher hands out slots.
type Dispatcher interface {
	// Acquire waits for a slot. The error is a *problem.Problem with outcome not_run. When ctx ends, the request leaves
	// the queue.
	Acquire(ctx context.Context, r Request) (Slot, error)
}

// Selection is a policy that picks one of the servers, each of which has a free slot. servers is never empty.
type Selection interface {
	Select(now time.Time, servers []*ServerState, r *Request) *ServerState
}

// Load is what a pool tells about itself on answers.
type Load struct {
	// Healthy tells whether any server can take calls.
	Healthy bool
	// Slots, Busy and Queued count the slots in rotation, the calls running and the requests waiting.
	Slots, Busy, Queued int
	// ExpectedWait is the expected wait of a new request of each class.
	ExpectedWait [priority.NumClasses]time.Duration
	// P95 is the 95th percentile of the service time of each class; 0 when not known.
	P95 [priority.NumClasses]time.Duration
	// At is the time of the statement.
	At time.Time
}
