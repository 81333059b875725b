package logservice

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Faults are the switched faults. The zero value has none.
type Faults struct {
	// Down answers every read and append with 503; an append does not take effect.
	Down bool `json:"down"`
	// Unreachable accepts requests and never answers. Requests held are closed when it is switched off.
	Unreachable bool `json:"unreachable"`
	// DelayMillis delays every read and append before it is handled.
	DelayMillis int64 `json:"delayMs"`
	// LostAnswers is the number of further appends that take effect and whose connection is then closed.
	LostAnswers int `json:"lostAnswers"`
	// LostAnswerProbability is the probability of the same for every other append, 0 to 1.
	LostAnswerProbability float64 `json:"lostAnswerProbability"`
}

func (f Faults) validate() error {
	if f.DelayMillis < 0 || f.LostAnswers < 0 || f.LostAnswerProbability < 0 || f.LostAnswerProbability > 1 {
		return errors.New("delayMs and lostAnswers must not be negative; lostAnswerProbability must be between 0 and 1")
	}
	return nil
}

func (f Faults) delay() time.Duration { return time.Duration(f.DelayMillis) * time.Millisecond }

// faultState holds the faults and the random source. It is safe for concurrent use.
type faultState struct {
	mu      sync.Mutex
	current Faults
	random  *rand.Rand
	// changed is closed and replaced when the faults are set.
	changed chan struct{}
}

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

// loseAnswer decides for one append whether its answer is lost.
func (f *faultState) loseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.LostAnswers > 0 {
		f.current.LostAnswers--
		return true
	}
	p := f.current.LostAnswerProbability
	return p > 0 && f.random.Float64() < p
}
