package gateway

import (
	"time"

	"github.com/hornbeamway/hornbeamway/pkg/routing"
)

const (
	// overloadFactor is the expected response time, as a multiple of the objective, above which a request is refused although a slot
	// is free: it would probably miss its objective and take the slot from one that can meet it. queueFactor is the same limit for a
	// request that has to wait for a slot. It is lower, because a server may become slow while requests wait.
	overloadFactor = 0.9
	queueFactor    = 0.8
	// lateWorkFactor is the limit, as a multiple of the usual work, for a request whose caller has been retrying for so long that
	// its objective is missed. Such a request gets a free slot, but does not delay requests that can still meet their objective.
	lateWorkFactor = 2
	// refusalRetryAfterShare is the Retry-After for a request that servers refused or for which they were full, as a share of
	// the objective, so that a retry can still meet the objective.
	refusalRetryAfterShare = 0.1
)

// admission holds the limits under which a request is sent.
type admission struct {
	// free and queued are the expected response times above which the request is refused, on a server with a free slot and on one
	// where it has to wait. freeSlots is the number of free slots that the server must have.
	free, queued time.Duration
	freeSlots    int
	retryAfter   time.Duration
}

// newAdmission returns the limits for a request with the usual work and the objective of its route, whose caller has been
// retrying for priorWait and waits for the time left.
func newAdmission(work, objective, priorWait, left time.Duration) admission {
	a := admission{free: time.Duration(overloadFactor * float64(objective)),
		queued:     time.Duration(queueFactor * float64(objective)),
		retryAfter: time.Duration(refusalRetryAfterShare * float64(objective))}
	if priorWait+work > objective {
		// The objective is missed in any case, so the caller retries late, when there may be capacity again.
		a.free, a.freeSlots, a.retryAfter = min(a.free, lateWorkFactor*work), 1, left
	}
	return a
}

// refusalRetryAfter returns the Retry-After for a request that was refused because the servers are full.
func refusalRetryAfter(r *routing.Route) time.Duration {
	return time.Duration(refusalRetryAfterShare * float64(r.Objective))
}
