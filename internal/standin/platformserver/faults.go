package platformserver

import "time"

// Faults are the injected faults.
type Faults struct {
	// Slowdown is a factor on the service time; 0 and 1 have no effect.
	Slowdown float64
	// These are probabilities from 0 to 1. DropResponse closes the connection after the request has run, without a response.
	// TruncateResponse closes it within the response. DuplicateResponse responds twice, the second time with a delay.
	// Unsigned omits the signature. Failed responds with 500. RefuseBeforeBody refuses a request before its body has been
	// read. Refuse refuses requests and health checks as not run. DuplicateRefusal sends a refusal, also with status 421, twice;
	// the copy arrives up to maxRefusalCopyDelay later, possibly while a further request on the connection runs. TruncateHead
	// closes the connection within the head of the response.
	DropResponse, TruncateResponse, DuplicateResponse, Unsigned, Failed, RefuseBeforeBody float64
	Refuse, DuplicateRefusal, TruncateHead                                                float64
	// RefusalDelay is the longest time by which refusals are delayed.
	RefusalDelay time.Duration
	// Hang accepts requests but neither runs nor answers them.
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
