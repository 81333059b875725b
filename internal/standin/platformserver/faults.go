package platformserver

import "time"

// Faults are the injected faults.
type Faults struct {
	// Slowdown is a factor on the service time; 0 and 1 have no effect.
	Slowdown float64

	// The following are probabilities from 0 to 1.

	// DropResponse closes the connection after the request has run, without a response.
	DropResponse float64
	// TruncateHead closes the connection within the head of the response, TruncateResponse within its body.
	TruncateHead, TruncateResponse float64
	// MalformedHead responds with a head that is not HTTP/1.1.
	MalformedHead float64
	// DuplicateResponse responds twice, the second time up to maxResponseCopyDelay later.
	DuplicateResponse float64
	// Unsigned omits the signature.
	Unsigned float64
	// Failed responds with status 500.
	Failed float64
	// Refuse refuses requests and health checks as not run. RefuseBeforeBody refuses a request before its body has been read.
	Refuse, RefuseBeforeBody float64
	// DuplicateRefusal sends a refusal, also one with status 421, twice. The copy arrives up to maxRefusalCopyDelay later, possibly
	// while a further request on the connection runs.
	DuplicateRefusal float64

	// RefusalDelay is the longest time by which refusals are delayed.
	RefusalDelay time.Duration
	// Hang accepts requests but neither runs them nor responds.
	Hang bool
}

// SetFaults replaces the active faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// currentFaults returns the active faults.
func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// FailHealthChecks makes all further health checks fail.
func (s *Server) FailHealthChecks() { s.failHealthChecks.Store(true) }

// Leave makes all further responses state that the server is leaving. The server continues to run requests.
func (s *Server) Leave() { s.leaving.Store(true) }

// HoldOff refuses requests and health checks as not run until the given time, and states in Retry-After how long that is.
func (s *Server) HoldOff(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdOffUntil = until
}

// currentHoldOff returns the end of the active hold-off, or the zero time if none is active.
func (s *Server) currentHoldOff() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.holdOffUntil) {
		return s.holdOffUntil
	}
	return time.Time{}
}
