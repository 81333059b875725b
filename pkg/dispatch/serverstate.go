package dispatch

import "time"

const (
	// ewmaWeight is the weight of a new answer in a server's averages. With exponential service times the slowness then
	// has a standard deviation of 0.23, far from the straggler limit of 3.
	ewmaWeight = 0.1
	// trialWeight is the weight of the answer to a trial call, so that a server that has recovered returns after a few
	// trials although it gets one trial a second only.
	trialWeight = 0.5
	// slowStartSuccesses is the number of successes after which a new or returned server gains a slot.
	slowStartSuccesses = 10
	// ejectErrors is the number of errors in a row that ejects a server.
	ejectErrors = 5
	// firstEjection and longestEjection bound the time of an ejection; it doubles with each repeat.
	firstEjection   = time.Second
	longestEjection = 30 * time.Second
	// trialInterval is the time after which a server without calls is tried again.
	trialInterval = time.Second
	// trialPatience is how long a due trial waits for a bulk or hedged call before it takes any call.
	trialPatience = 500 * time.Millisecond
	// reportMaxAge is the age from which a load report is ignored.
	reportMaxAge = time.Second
)

// ServerState is a server with what is known about it. It belongs to its pool.
type ServerState struct {
	server Server
	busy   int

	slowness    float64 // service time EWMA in multiples of the pool's mean of the same class
	samples     int
	errorRate   float64
	consecutive int

	concurrency int // slow start
	successes   int
	straggler   bool

	tooSlow      bool      // ejection wanted until the slowness is below the limit
	ejectedUntil time.Time // ejection wanted because of errors until then; zero: not wanted
	ejected      bool      // ejection wanted and within the ejection limit
	backoff      time.Duration
	refusedUntil time.Time
	refused      bool
	pausedUntil  time.Time
	paused       bool // this VM has no connection to the server until then
	draining     bool
	drainedAt    time.Time
	listed       bool

	lastTried  time.Time
	lastAnswer time.Time
	report     LoadReport
}

// LoadReport is a load report of a server. It is a hint: answers count more.
type LoadReport struct {
	Slots, Busy, Queued int
	Draining            bool
	// At is the time at which the report was true, on the clock of this VM.
	At time.Time
}

func newServerState(now time.Time, s Server) *ServerState {
	return &ServerState{server: s, slowness: 1, concurrency: 1, listed: true, lastTried: now}
}

// Server returns the server's description.
func (s *ServerState) Server() Server { return s.server }

// Busy returns the number of calls running on the server through this pool.
func (s *ServerState) Busy() int { return s.busy }

// Limit returns the number of calls that the server may run now.
func (s *ServerState) Limit() int {
	if s.straggler {
		return min(1, s.server.Slots)
	}
	return min(s.concurrency, s.server.Slots)
}

// Slowness returns the service time EWMA in multiples of the pool's mean service time of the same class.
func (s *ServerState) Slowness() float64 { return s.slowness }

// ErrorRate returns the error EWMA, between 0 and 1.
func (s *ServerState) ErrorRate() float64 { return s.errorRate }

// Ejected tells whether the server is out of rotation because of errors, slowness or refused connections.
func (s *ServerState) Ejected() bool { return s.ejected || s.refused }

// Refused tells whether the server is out of rotation because it refused a connection.
func (s *ServerState) Refused() bool { return s.refused }

// Draining tells whether the server said that it is going away.
func (s *ServerState) Draining() bool { return s.draining }

// LastAnswer returns the time of the last answer.
func (s *ServerState) LastAnswer() time.Time { return s.lastAnswer }

// LoadReport returns the last load report and whether it is recent enough for use.
func (s *ServerState) LoadReport(now time.Time) (LoadReport, bool) {
	return s.report, !s.report.At.IsZero() && now.Sub(s.report.At) <= reportMaxAge
}

// open tells whether the server may get calls at all.
func (s *ServerState) open() bool {
	return s.listed && !s.draining && s.server.State != StateLeaving && s.server.Slots > 0
}

// inRotation tells whether the server may get ordinary calls.
func (s *ServerState) inRotation() bool { return s.open() && !s.ejected && !s.refused }

func (s *ServerState) wantEject() bool { return s.tooSlow || !s.ejectedUntil.IsZero() }

func (s *ServerState) free() bool { return s.busy < s.Limit() && !s.paused }

// trialDue tells whether the server should get a trial call now. Ordinary calls wait trialPatience longer than bulk and
// hedged calls, because the call may be slow or fail.
func (s *ServerState) trialDue(now time.Time, preferred bool) bool {
	if !s.open() || s.busy > 0 || s.paused {
		return false
	}
	if s.refused || !s.ejectedUntil.IsZero() {
		return false // these return by time, in review
	}
	wait := trialInterval
	if !preferred {
		wait += trialPatience
	}
	return now.Sub(s.lastTried) >= wait
}

// badness orders servers for ejection.
func (s *ServerState) badness() float64 { return s.slowness * (1 + errorPenalty*s.errorRate) }

func (s *ServerState) observe(slowness float64, failed bool) {
	weight := ewmaWeight
	if s.ejected || s.straggler {
		weight = trialWeight
	}
	s.slowness += weight * (slowness - s.slowness)
	s.samples++
	outcome := 0.0
	if failed {
		outcome = 1
	}
	s.errorRate += weight * (outcome - s.errorRate)
}

func (s *ServerState) succeeded() {
	s.consecutive = 0
	s.successes++
	if s.successes%slowStartSuccesses == 0 {
		s.backoff = 0
		if s.concurrency < s.server.Slots {
			s.concurrency++
		}
	}
}

func (s *ServerState) failed(now time.Time) {
	s.consecutive++
	s.successes = 0
	if s.consecutive >= ejectErrors && s.ejectedUntil.IsZero() {
		s.ejectedUntil = now.Add(s.nextBackoff())
	}
}

func (s *ServerState) refuse(now time.Time) {
	if s.refused {
		return
	}
	s.refused = true
	s.refusedUntil = now.Add(s.nextBackoff())
}

func (s *ServerState) nextBackoff() time.Duration {
	s.backoff = min(max(2*s.backoff, firstEjection), longestEjection)
	return s.backoff
}

// returnByTime ends ejections whose time is over. One more error ejects the server again.
func (s *ServerState) returnByTime(now time.Time) {
	if s.paused && !now.Before(s.pausedUntil) {
		s.paused = false
	}
	if s.refused && !now.Before(s.refusedUntil) {
		s.refused = false
		s.restart()
	}
	if !s.ejectedUntil.IsZero() && !now.Before(s.ejectedUntil) {
		s.ejectedUntil = time.Time{}
		s.consecutive = ejectErrors - 1
		if s.ejected {
			s.restart()
		}
	}
}

func (s *ServerState) restart() { s.concurrency, s.successes = 1, 0 }
