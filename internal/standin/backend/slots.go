package backend

import (
	"slices"
	"sync"
	"time"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
)

// verdict is the outcome of asking for a slot.
type verdict int

const (
	granted verdict = iota
	queueFull
	cancelled
)

// loadChange is the load from a time on.
type loadChange struct {
	at           time.Time
	busy, queued int
}

// historyStep is the resolution of the kept load history. It bounds its size under many short requests.
const historyStep = 10 * time.Millisecond

// historyAge is the time for which the load history is kept, and so the largest lag of a report.
const historyAge = time.Minute

// slots are the slots of a server with the queue behind them, in order of arrival. It is safe for concurrent use.
type slots struct {
	mu         sync.Mutex
	limit      int
	queueLimit int
	busy       int
	queue      []chan struct{}
	// debt is slot time spent beside requests (connections, probes) and not yet worked off, as of settledAt.
	debt      time.Duration
	settledAt time.Time
	history   []loadChange
}

// settleLocked works off the debt with the slots that were idle since the last change. mu is held.
func (s *slots) settleLocked(now time.Time) {
	if elapsed := now.Sub(s.settledAt); elapsed > 0 {
		s.debt = max(0, s.debt-elapsed*time.Duration(s.limit-s.busy))
		s.settledAt = now
	}
}

// charge adds slot time spent beside requests.
func (s *slots) charge(now time.Time, cost time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settleLocked(now)
	s.debt += cost
}

// takeDebt returns the outstanding debt and clears it. The caller, which holds a slot, works it off.
func (s *slots) takeDebt(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settleLocked(now)
	debt := s.debt
	s.debt = 0
	return debt
}

// acquire waits for a slot until gone or done is closed.
func (s *slots) acquire(c clock.Clock, gone, done <-chan struct{}) verdict {
	turn, v := s.enter(c.Now())
	if turn == nil {
		return v
	}
	select {
	case <-turn:
		return granted
	case <-gone:
	case <-done:
	}
	s.abandon(c.Now(), turn)
	return cancelled
}

// enter takes a free slot or a place in the queue. turn is closed when the slot is handed over; nil: decided at once.
func (s *slots) enter(now time.Time) (turn chan struct{}, v verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settleLocked(now)
	if s.busy < s.limit {
		s.busy++
		s.recordLocked(now)
		return nil, granted
	}
	if len(s.queue) >= s.queueLimit {
		return nil, queueFull
	}
	turn = make(chan struct{})
	s.queue = append(s.queue, turn)
	s.recordLocked(now)
	return turn, granted
}

// abandon leaves the queue. A slot that was handed over meanwhile goes to the next in line.
func (s *slots) abandon(now time.Time, turn chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.queue, turn); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
		s.recordLocked(now)
		return
	}
	s.releaseLocked(now)
}

// release frees a slot or hands it to the oldest in the queue.
func (s *slots) release(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked(now)
}

func (s *slots) releaseLocked(now time.Time) {
	s.settleLocked(now)
	if len(s.queue) > 0 {
		close(s.queue[0])
		s.queue = slices.Delete(s.queue, 0, 1)
	} else {
		s.busy--
	}
	s.recordLocked(now)
}

// recordLocked keeps the load for late reports. mu is held.
func (s *slots) recordLocked(now time.Time) {
	if n := len(s.history); n > 0 && now.Sub(s.history[n-1].at) < historyStep {
		s.history[n-1].busy, s.history[n-1].queued = s.busy, len(s.queue)
		return
	}
	s.history = append(s.history, loadChange{at: now, busy: s.busy, queued: len(s.queue)})
	if len(s.history) > 2*int(historyAge/historyStep) {
		s.history = slices.Clone(s.history[len(s.history)/2:])
	}
}

// loadAt returns the load as it was at a time; zero before the first change.
func (s *slots) loadAt(at time.Time) (busy, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.history) - 1; i >= 0; i-- {
		if !s.history[i].at.After(at) {
			return s.history[i].busy, s.history[i].queued
		}
	}
	return 0, 0
}
