// Package problem defines the error responses of hornbeamway: RFC 9457 problem details with a field that states whether the
// request was run.
package problem

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Outcome states whether a request was run.
type Outcome string

// Outcomes of a request without a response from a backend server.
const (
	// NotRun means that no backend server has run the request or will run it.
	NotRun Outcome = "not_run"
	// Unknown means that a backend server may have run the request.
	Unknown Outcome = "unknown"
)

// Valid reports whether o is one of the outcomes.
func (o Outcome) Valid() bool { return o == NotRun || o == Unknown }

// Reason is a stable, machine-readable cause of an error. It is used in responses, metrics and logs.
type Reason string

// Reasons for an error response.
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

// ContentType is the media type of an error response.
const ContentType = "application/problem+json"

// Problem is the body of an error response. It implements error.
type Problem struct {
	// Title is a short, human-readable summary.
	Title string `json:"title"`
	// Status is the HTTP status code.
	Status int `json:"status"`
	// Detail explains this occurrence of the error.
	Detail string `json:"detail,omitempty"`
	// Outcome states whether the operation that the request identifies was run, by this or an earlier attempt.
	Outcome Outcome `json:"outcome"`
	// Attempt states whether this attempt was run. It differs from Outcome if an earlier attempt of the operation may have been
	// run.
	Attempt Outcome `json:"attempt"`
	// Reason is the machine-readable cause.
	Reason Reason `json:"reason"`
	// RequestID identifies the request in the logs.
	RequestID string `json:"requestId,omitempty"`
	// RetryAfter is the time after which a retry may succeed. Zero: no Retry-After header.
	RetryAfter time.Duration `json:"-"`
}

// New returns a problem whose fields Attempt and Outcome are both outcome.
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

// WithRetryAfter sets RetryAfter and returns the problem.
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
