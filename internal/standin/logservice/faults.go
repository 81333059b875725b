package logservice

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Faults are the injected faults. The zero value has none.
type Faults struct {
	// Topic limits Down, Unreachable and DelayMillis to the calls for one topic. Empty: all calls.
	Topic string `json:"topic"`
	// Down refuses every read and append with 503. Refused appends have no effect.
	Down bool `json:"down"`
	// Unreachable accepts requests but does not answer them. The connections of the held requests are closed when it is
	// reset.
	Unreachable bool `json:"unreachable"`
	// DelayMillis is the delay in milliseconds before a read or an append is handled.
	DelayMillis int64 `json:"delayMs"`
	// LostAnswers is the number of further appends that take effect, but whose connections are then closed without a
	// response.
	LostAnswers int `json:"lostAnswers"`
	// LostAnswerProbability is the probability, from 0 to 1, that the same happens to any other append.
	LostAnswerProbability float64 `json:"lostAnswerProbability"`
}

// validate checks the ranges of the values.
func (f Faults) validate() error {
	if f.DelayMillis < 0 || f.LostAnswers < 0 || f.LostAnswerProbability < 0 || f.LostAnswerProbability > 1 {
		return errors.New("delayMs and lostAnswers must not be negative; lostAnswerProbability must be between 0 and 1")
	}
	return nil
}

func (f Faults) delay() time.Duration { return time.Duration(f.DelayMillis) * time.Millisecond }

// faultState holds the active faults and the random source. It is safe for concurrent use.
type faultState struct {
	mu      sync.Mutex
	current Faults
	random  *rand.Rand
	// changed is closed and replaced whenever the faults are set.
	changed chan struct{}
}

// get returns the faults and a channel that is closed when they are next set.
func (f *faultState) get() (Faults, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.changed
}

func (f *faultState) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = faults
	close(f.changed)
	f.changed = make(chan struct{})
}

// shouldLoseResponse reports whether the response to an append is lost, and counts it against LostAnswers.
func (f *faultState) shouldLoseResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.LostAnswers > 0 {
		f.current.LostAnswers--
		return true
	}
	p := f.current.LostAnswerProbability
	return p > 0 && f.random.Float64() < p
}
