package upstream

import (
	"fmt"
)

// Stage is the phase in which an attempt failed.
type Stage uint8

// The stages of an attempt, in order.
const (
	// StageConnect: no connection could be obtained.
	StageConnect Stage = iota
	// StageWrite: the request was being written.
	StageWrite
	// StageAwaitResponse: the request was written and no byte of the response has arrived.
	StageAwaitResponse
	// StageRead: the response was being read.
	StageRead
)

var stageNames = [...]string{"connect", "write", "await", "read"}

// String returns the name used in logs and metrics.
func (s Stage) String() string { return stageNames[s] }

// Error describes a failed attempt.
type Error struct {
	// Address is the IP and port of the remote side.
	Address string
	// Stage is the phase in which the attempt failed.
	Stage Stage
	// Written is false if no byte of the request left this VM on any connection, which proves that the request was not run.
	Written bool
	// Reused is true if the connection had carried an earlier request.
	Reused bool
	// Timeout is true if a deadline or timeout ended the attempt.
	Timeout bool
	// Cancelled is true if the caller's context ended the attempt.
	Cancelled bool
	// Cause is the underlying error.
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("attempt at %s failed (stage %s, written %t, reused %t): %v",
		e.Address, e.Stage, e.Written, e.Reused, e.Cause)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Cause }
