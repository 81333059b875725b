package backend

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Faults are the injected faults; the zero value has none. They apply to work requests and, where stated, to probes. The
// paths /faults, /journal and /stats always respond.
type Faults struct {
	// Slow is a factor on service times, to simulate a straggler. 0 and 1 have no effect.
	Slow float64 `json:"slow"`
	// ColdFactor is a factor on service times, to simulate a cold start. It applies when it is set and decays linearly to 1
	// over ColdMillis.
	ColdFactor float64 `json:"coldFactor"`
	ColdMillis int64   `json:"coldMs"`
	// FailProbability is the probability that a request immediately gets the status 500 without being run.
	FailProbability float64 `json:"failProbability"`
	// Stall accepts requests but neither runs nor answers them. The connections of the held requests are closed when Stall
	// is reset.
	Stall bool `json:"stall"`
	// StallProbes does the same for GET /load.
	StallProbes bool `json:"stallProbes"`
	// DropAnswers is the number of further requests that are run, but whose connections are then closed without a response.
	DropAnswers int `json:"dropAnswers"`
	// Truncate closes the connection after TruncateBytes of a response body that is longer.
	Truncate      bool  `json:"truncate"`
	TruncateBytes int64 `json:"truncateBytes"`
	// CloseKeepAlive closes a keep-alive connection that has served a work request when the next request arrives on it.
	CloseKeepAlive bool `json:"closeKeepAlive"`
	// Shed refuses all work with 503 and Hornbeamway-Not-Run.
	Shed bool `json:"shed"`
	// Drain marks responses with Hornbeamway-Drain, and sheds new work after DrainGraceMillis.
	Drain            bool  `json:"drain"`
	DrainGraceMillis int64 `json:"drainGraceMs"`
	// LoadLagMillis is the age of load reports in milliseconds, at most 60,000.
	LoadLagMillis int64 `json:"loadLagMs"`
	// LoadFixed are false values for all load reports. If it is null, load reports contain the true values.
	LoadFixed *FixedLoad `json:"loadFixed"`
}

// FixedLoad contains the values of a false load report.
type FixedLoad struct {
	Slots    int  `json:"slots"`
	Busy     int  `json:"busy"`
	Queued   int  `json:"queued"`
	Draining bool `json:"draining"`
}

// validate checks the ranges of the values.
func (f Faults) validate() error {
	switch {
	case f.Slow < 0 || f.ColdFactor < 0:
		return errors.New("slow and coldFactor must not be negative")
	case f.FailProbability < 0 || f.FailProbability > 1:
		return errors.New("failProbability must be between 0 and 1")
	case f.ColdMillis < 0 || f.DropAnswers < 0 || f.TruncateBytes < 0 || f.DrainGraceMillis < 0:
		return errors.New("coldMs, dropAnswers, truncateBytes and drainGraceMs must not be negative")
	case f.LoadLagMillis < 0 || f.LoadLagMillis > historyAge.Milliseconds():
		return errors.Newf("loadLagMs must be between 0 and %d", historyAge.Milliseconds())
	}
	return nil
}

// faultState holds the active faults and the start times of those that depend on time. It is safe for concurrent use.
type faultState struct {
	mu             sync.Mutex
	current        Faults
	coldStartedAt  time.Time
	drainStartedAt time.Time
	// changed is closed and replaced whenever the faults are set.
	changed chan struct{}
}

// get returns the faults and a channel that is closed when they are next set.
func (s *faultState) get() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current, s.changed
}

// set replaces the faults.
func (s *faultState) set(now time.Time, f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.ColdFactor != s.current.ColdFactor || f.ColdMillis != s.current.ColdMillis {
		s.coldStartedAt = now
	}
	if f.Drain && !s.current.Drain {
		s.drainStartedAt = now
	}
	s.current = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// slowdown returns the factor on service times.
func (s *faultState) slowdown(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	factor := 1.0
	if s.current.Slow > 0 {
		factor = s.current.Slow
	}
	cold := time.Duration(s.current.ColdMillis) * time.Millisecond
	if age := now.Sub(s.coldStartedAt); s.current.ColdFactor > 0 && age < cold {
		factor *= s.current.ColdFactor + (1-s.current.ColdFactor)*float64(age)/float64(cold)
	}
	return factor
}

// shedsWork reports whether new work is shed.
func (s *faultState) shedsWork(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	grace := time.Duration(s.current.DrainGraceMillis) * time.Millisecond
	return s.current.Shed || s.current.Drain && now.Sub(s.drainStartedAt) >= grace
}

// shouldDropResponse reports whether the response to a request that has run is dropped, and counts it against DropAnswers.
func (s *faultState) shouldDropResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.DropAnswers == 0 {
		return false
	}
	s.current.DropAnswers--
	return true
}
