// Package problem defines the error answers of hornbeamway: RFC 9457 problem details with a field that says whether
// the request was run.
package problem

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Outcome says what is known about the execution of a request.
type Outcome string

// The outcomes of a request that got no answer from a backend server.
const (
	// NotRun means that no backend server has run the request or will run it.
	NotRun Outcome = "not_run"
	// Unknown means that a backend server may have run the request.
	Unknown Outcome = "unknown"
)

// Reason is a stable machine-readable cause, used in answers, metrics and logs.
type Reason string

// The reasons for an error answer.
const (
	ReasonNoRoute          Reason = "no_route"
	ReasonNoServer         Reason = "no_server"
	ReasonQueueFull        Reason = "queue_full"
	ReasonDeadline         Reason = "deadline_exceeded"
	ReasonDeadlineTooShort Reason = "deadline_too_short"
	ReasonUpstream         Reason = "upstream_failed"
	ReasonNotReady         Reason = "not_ready"
	ReasonDraining         Reason = "draining"
	ReasonBadRequest       Reason = "bad_request"
	ReasonBodyTooLarge     Reason = "body_too_large"
	ReasonTooManyConns     Reason = "too_many_connections"
	ReasonKeyRequired      Reason = "idempotency_key_required"
	ReasonKeyConflict      Reason = "idempotency_key_conflict"
	ReasonKeyInProgress    Reason = "idempotency_key_in_progress"
	ReasonKeyUnknown       Reason = "idempotency_key_unknown"
	ReasonKeyMemoryFull    Reason = "idempotency_memory_full"
	ReasonOwnerUnreachable Reason = "operation_owner_unreachable"
	ReasonCancelled        Reason = "caller_cancelled"
)

// ContentType is the media type of a problem answer.
const ContentType = "application/problem+json"

// Problem is an error answer. It implements error.
type Problem struct {
	// Title is a short summary for people.
	Title string `json:"title"`
	// Status is the HTTP status code.
	Status int `json:"status"`
	// Detail explains this occurrence.
	Detail string `json:"detail,omitempty"`
	// Outcome says whether the operation that the request names was run, by this or an earlier attempt.
	Outcome Outcome `json:"outcome"`
	// Attempt says whether this attempt was run. It differs from Outcome when an earlier attempt of an operation may have run.
	Attempt Outcome `json:"attempt"`
	// Reason is the machine-readable cause.
	Reason Reason `json:"reason"`
	// RequestID identifies the request in the logs.
	RequestID string `json:"requestId,omitempty"`
	// RetryAfter is the time after which a retry can help. Zero: no Retry-After header.
	RetryAfter time.Duration `json:"-"`
}

// New returns a problem whose attempt and outcome are both outcome.
func New(status int, outcome Outcome, reason Reason, detail string) *Problem {
	return &Problem{
		Title:   fasthttp.StatusMessage(status),
		Status:  status,
		Detail:  detail,
		Outcome: outcome,
		Attempt: outcome,
		Reason:  reason,
	}
}

// WithRetryAfter sets the time after which a retry can help and returns the problem.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	p.RetryAfter = d
	return p
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s (status %d, outcome %s): %s", p.Reason, p.Status, p.Outcome, p.Detail)
}

// RetryAfterSeconds returns the value of the Retry-After header: whole seconds, rounded up.
func (p *Problem) RetryAfterSeconds() string {
	return strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds())))
}
