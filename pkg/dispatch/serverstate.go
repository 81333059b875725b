package dispatch

import "time"

const (
	// ewmaWeight is the weight of a new result in the averages of a server. With exponential service times the relative
	// service time then has a standard deviation of 0.23, far below the straggler threshold of 3.
	ewmaWeight = 0.1
	// trialWeight is the weight of the result of a trial call. It is higher than ewmaWeight, so that a recovered server
	// returns to rotation after a few trials although it gets only one trial per second.
	trialWeight = 0.5
	// slowStartSuccesses is the number of successes after which the concurrency limit of a new or returned server is raised
	// by one.
	slowStartSuccesses = 10
	// ejectionErrors is the number of consecutive errors after which a server is ejected.
	ejectionErrors = 5
	// minEjection and maxEjection bound the duration of an ejection, which doubles with each repeated ejection.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// trialInterval is the time since its last call after which an idle server gets a trial call.
	trialInterval = time.Second
	// trialFallbackDelay is the time for which a due trial is reserved for bulk and hedged calls. After this delay, any call
	// is used.
	trialFallbackDelay = 500 * time.Millisecond
	// reportMaxAge is the age beyond which a load report is ignored.
	reportMaxAge = time.Second
)

// ServerState is the state of a server in its pool: running calls, statistics and health. It is owned by the pool.
type ServerState struct {
	server Server
	busy   int

	relativeServiceTime float64 // service time EWMA, in multiples of the pool's mean of the same class
	serviceTimeSamples  int
	errorRate           float64
	consecutiveErrors   int

	concurrencyLimit int // raised one by one during slow start
	successes        int
	straggler        bool

	tooSlow       bool      // candidate for ejection until the relative service time is at most the ejection threshold
	ejectedUntil  time.Time // candidate for ejection because of errors until this time; zero if not
	ejected       bool      // candidate for ejection and within the ejection limit
	backoff       time.Duration
	refusedUntil  time.Time
	refused       bool
	pausedUntil   time.Time
	paused        bool // no calls until pausedUntil, because this VM had no connection to the server
	draining      bool
	drainingSince time.Time
	listed        bool

	lastGrantedAt time.Time
	lastResponse  time.Time
	report        LoadReport
}

// LoadReport is a load report of a server. It is only a hint: responses take precedence.
type LoadReport struct {
	Slots, Busy, Queued int
	Draining            bool
	// At is the time at which the values were current, on the clock of this VM.
	At time.Time
}

func newServerState(now time.Time, s Server) *ServerState {
	return &ServerState{server: s, relativeServiceTime: 1, concurrencyLimit: 1, listed: true, lastGrantedAt: now}
}

// Server returns the description of the server.
func (s *ServerState) Server() Server { return s.server }

// Busy returns the number of calls running on the server through this pool.
func (s *ServerState) Busy() int { return s.busy }

// Limit returns the current maximum number of concurrent calls on the server.
func (s *ServerState) Limit() int {
	if s.straggler {
		return min(1, s.server.Slots)
	}
	return min(s.concurrencyLimit, s.server.Slots)
}

// RelativeServiceTime returns the service time EWMA, in multiples of the pool's mean service time of the same class.
func (s *ServerState) RelativeServiceTime() float64 { return s.relativeServiceTime }

// ErrorRate returns the error EWMA, between 0 and 1.
func (s *ServerState) ErrorRate() float64 { return s.errorRate }

// Ejected reports whether the server is out of rotation because of errors, slow responses or a refused connection.
func (s *ServerState) Ejected() bool { return s.ejected || s.refused }

// Refused reports whether the server is out of rotation because it refused a connection.
func (s *ServerState) Refused() bool { return s.refused }

// Draining reports whether the server is draining, according to its responses and load reports.
func (s *ServerState) Draining() bool { return s.draining }

// LastResponse returns the time of the last response from the server.
func (s *ServerState) LastResponse() time.Time { return s.lastResponse }

// LoadReport returns the last load report and whether it is recent enough to be used.
func (s *ServerState) LoadReport(now time.Time) (LoadReport, bool) {
	return s.report, !s.report.At.IsZero() && now.Sub(s.report.At) <= reportMaxAge
}

// eligible reports whether the server may get any calls: it is listed, neither draining nor leaving, and has slots.
func (s *ServerState) eligible() bool {
	return s.listed && !s.draining && s.server.State != StateLeaving && s.server.Slots > 0
}

// inRotation reports whether the server may get regular calls, not only trial calls.
func (s *ServerState) inRotation() bool { return s.eligible() && !s.ejected && !s.refused }

func (s *ServerState) shouldEject() bool { return s.tooSlow || !s.ejectedUntil.IsZero() }

func (s *ServerState) hasFreeSlot() bool { return s.busy < s.Limit() && !s.paused }

// trialDue reports whether the server should get a trial call now. preferred is true for bulk and hedged calls. Other calls
// are used for trials only trialFallbackDelay later, because a trial call may be slow or fail.
func (s *ServerState) trialDue(now time.Time, preferred bool) bool {
	if !s.eligible() || s.busy > 0 || s.paused {
		return false
	}
	if s.refused || !s.ejectedUntil.IsZero() {
		return false // review ends these exclusions when their time has passed
	}
	wait := trialInterval
	if !preferred {
		wait += trialFallbackDelay
	}
	return now.Sub(s.lastGrantedAt) >= wait
}

// ejectionScore returns the score by which servers are ordered for ejection, highest first.
func (s *ServerState) ejectionScore() float64 {
	return s.relativeServiceTime * (1 + errorPenalty*s.errorRate)
}

func (s *ServerState) observe(relativeServiceTime float64, failed bool) {
	weight := ewmaWeight
	if s.ejected || s.straggler {
		weight = trialWeight
	}
	s.relativeServiceTime += weight * (relativeServiceTime - s.relativeServiceTime)
	s.serviceTimeSamples++
	outcome := 0.0
	if failed {
		outcome = 1
	}
	s.errorRate += weight * (outcome - s.errorRate)
}

func (s *ServerState) recordSuccess() {
	s.consecutiveErrors = 0
	s.successes++
	if s.successes%slowStartSuccesses == 0 {
		s.backoff = 0
		if s.concurrencyLimit < s.server.Slots {
			s.concurrencyLimit++
		}
	}
}

func (s *ServerState) recordFailure(now time.Time) {
	s.consecutiveErrors++
	s.successes = 0
	if s.consecutiveErrors >= ejectionErrors && s.ejectedUntil.IsZero() {
		s.ejectedUntil = now.Add(s.nextBackoff())
	}
}

func (s *ServerState) recordRefusal(now time.Time) {
	if s.refused {
		return
	}
	s.refused = true
	s.refusedUntil = now.Add(s.nextBackoff())
}

func (s *ServerState) nextBackoff() time.Duration {
	s.backoff = min(max(2*s.backoff, minEjection), maxEjection)
	return s.backoff
}

// endExpiredExclusions ends pauses, exclusions after refused connections and ejections after errors whose time has passed.
// After an ejection because of errors, one more error ejects the server again.
func (s *ServerState) endExpiredExclusions(now time.Time) {
	if s.paused && !now.Before(s.pausedUntil) {
		s.paused = false
	}
	if s.refused && !now.Before(s.refusedUntil) {
		s.refused = false
		s.restartSlowStart()
	}
	if !s.ejectedUntil.IsZero() && !now.Before(s.ejectedUntil) {
		s.ejectedUntil = time.Time{}
		s.consecutiveErrors = ejectionErrors - 1
		if s.ejected {
			s.restartSlowStart()
		}
	}
}

func (s *ServerState) restartSlowStart() { s.concurrencyLimit, s.successes = 1, 0 }
