package backend

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Faults are the switched faults. The zero value has none. They concern work and, where stated, probes; the
// addresses /faults, /journal and /stats always answer.
type Faults struct {
	// Slow multiplies service times (straggler). 0 and 1: none.
	Slow float64 `json:"slow"`
	// ColdFactor multiplies service times from the moment it is set, and decays linearly to 1 over ColdMillis.
	ColdFactor float64 `json:"coldFactor"`
	ColdMillis int64   `json:"coldMs"`
	// FailProbability is the probability that a request is answered 500 at once, without being run.
	FailProbability float64 `json:"failProbability"`
	// Stall accepts requests and never answers or runs them. Requests held are closed when it is switched off.
	Stall bool `json:"stall"`
	// StallProbes does the same to GET /load.
	StallProbes bool `json:"stallProbes"`
	// DropAnswers is the number of further requests that are run and whose connection is then closed unanswered.
	DropAnswers int `json:"dropAnswers"`
	// Truncate cuts bodies longer than TruncateBytes short by closing the connection.
	Truncate      bool  `json:"truncate"`
	TruncateBytes int64 `json:"truncateBytes"`
	// CloseKeepAlive closes a connection that has answered work when the next request arrives on it.
	CloseKeepAlive bool `json:"closeKeepAlive"`
	// Shed answers all work with 503 and Hornbeamway-Not-Run.
	Shed bool `json:"shed"`
	// Drain marks answers with Hornbeamway-Drain, and sheds new work once DrainGraceMillis have passed.
	Drain            bool  `json:"drain"`
	DrainGraceMillis int64 `json:"drainGraceMs"`
	// LoadLagMillis is the age of load reports, at most 60,000.
	LoadLagMillis int64 `json:"loadLagMs"`
	// LoadFixed are false values that every load report shows. Null: the true ones.
	LoadFixed *FixedLoad `json:"loadFixed"`
}

// FixedLoad are the values of a false load report.
type FixedLoad struct {
	Slots    int  `json:"slots"`
	Busy     int  `json:"busy"`
	Queued   int  `json:"queued"`
	Draining bool `json:"draining"`
}

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

// switches holds the faults and when some of them began. It is safe for concurrent use.
type switches struct {
	mu        sync.Mutex
	current   Faults
	coldSince time.Time
	drainFrom time.Time
	// changed is closed and replaced when the faults are set.
	changed chan struct{}
}

func (s *switches) get() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current, s.changed
}

func (s *switches) set(now time.Time, f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.ColdFactor != s.current.ColdFactor || f.ColdMillis != s.current.ColdMillis {
		s.coldSince = now
	}
	if f.Drain && !s.current.Drain {
		s.drainFrom = now
	}
	s.current = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// slowness returns the factor on service times.
func (s *switches) slowness(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	factor := 1.0
	if s.current.Slow > 0 {
		factor = s.current.Slow
	}
	cold := time.Duration(s.current.ColdMillis) * time.Millisecond
	if age := now.Sub(s.coldSince); s.current.ColdFactor > 0 && age < cold {
		factor *= s.current.ColdFactor + (1-s.current.ColdFactor)*float64(age)/float64(cold)
	}
	return factor
}

// sheds reports whether new work is shed.
func (s *switches) sheds(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	grace := time.Duration(s.current.DrainGraceMillis) * time.Millisecond
	return s.current.Shed || s.current.Drain && now.Sub(s.drainFrom) >= grace
}

// dropAnswer decides for one run request whether its answer is dropped.
func (s *switches) dropAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.DropAnswers == 0 {
		return false
	}
	s.current.DropAnswers--
	return true
}
