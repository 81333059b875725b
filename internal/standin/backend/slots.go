package backend

import (
	"slices"
	"sync"
	"time"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
)

// acquireResult is the result of acquiring a slot.
type acquireResult int

const (
	granted acquireResult = iota
	queueFull
	cancelled
)

// loadSample is the load since a time.
type loadSample struct {
	at           time.Time
	busy, queued int
}

// historyResolution is the time resolution of the load history. It bounds the size of the history under many short
// requests.
const historyResolution = 10 * time.Millisecond

// historyAge is the period that the load history covers, and therefore the maximum lag of a load report.
const historyAge = time.Minute

// slots manages the slots of a server and the FIFO queue for them. It is safe for concurrent use.
type slots struct {
	mu         sync.Mutex
	limit      int
	queueLimit int
	busy       int
	queue      []chan struct{}
	// debt is the slot time of connections and probes that idle slots or requests have not yet absorbed, as of
	// debtUpdatedAt.
	debt          time.Duration
	debtUpdatedAt time.Time
	history       []loadSample
}

// reduceDebtLocked reduces the debt by the idle slot time since the last update. The caller must hold mu.
func (s *slots) reduceDebtLocked(now time.Time) {
	if elapsed := now.Sub(s.debtUpdatedAt); elapsed > 0 {
		s.debt = max(0, s.debt-elapsed*time.Duration(s.limit-s.busy))
		s.debtUpdatedAt = now
	}
}

// charge adds the slot time of a connection or a probe to the debt.
func (s *slots) charge(now time.Time, cost time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reduceDebtLocked(now)
	s.debt += cost
}

// takeDebt returns the debt and clears it. The caller holds a slot and must keep it for that additional time.
func (s *slots) takeDebt(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reduceDebtLocked(now)
	debt := s.debt
	s.debt = 0
	return debt
}

// acquire waits for a slot until disconnected or done is closed.
func (s *slots) acquire(c clock.Clock, disconnected, done <-chan struct{}) acquireResult {
	waiter, result := s.acquireOrEnqueue(c.Now())
	if waiter == nil {
		return result
	}
	select {
	case <-waiter:
		return granted
	case <-disconnected:
	case <-done:
	}
	s.cancelWait(c.Now(), waiter)
	return cancelled
}

// acquireOrEnqueue acquires a free slot or joins the queue. In the queue, waiter is closed when a slot is granted;
// otherwise waiter is nil and result is final.
func (s *slots) acquireOrEnqueue(now time.Time) (waiter chan struct{}, result acquireResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reduceDebtLocked(now)
	if s.busy < s.limit {
		s.busy++
		s.recordLocked(now)
		return nil, granted
	}
	if len(s.queue) >= s.queueLimit {
		return nil, queueFull
	}
	waiter = make(chan struct{})
	s.queue = append(s.queue, waiter)
	s.recordLocked(now)
	return waiter, granted
}

// cancelWait removes waiter from the queue. If it has been granted a slot in the meantime, the slot is released.
func (s *slots) cancelWait(now time.Time, waiter chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.queue, waiter); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
		s.recordLocked(now)
		return
	}
	s.releaseLocked(now)
}

// release passes a slot to the oldest waiter in the queue, or frees it if the queue is empty.
func (s *slots) release(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked(now)
}

// releaseLocked implements release. The caller must hold mu.
func (s *slots) releaseLocked(now time.Time) {
	s.reduceDebtLocked(now)
	if len(s.queue) > 0 {
		close(s.queue[0])
		s.queue = slices.Delete(s.queue, 0, 1)
	} else {
		s.busy--
	}
	s.recordLocked(now)
}

// recordLocked adds the current load to the history, from which load reports with a lag are taken. The caller must hold mu.
func (s *slots) recordLocked(now time.Time) {
	if n := len(s.history); n > 0 && now.Sub(s.history[n-1].at) < historyResolution {
		s.history[n-1].busy, s.history[n-1].queued = s.busy, len(s.queue)
		return
	}
	s.history = append(s.history, loadSample{at: now, busy: s.busy, queued: len(s.queue)})
	if len(s.history) > 2*int(historyAge/historyResolution) {
		s.history = slices.Clone(s.history[len(s.history)/2:])
	}
}

// loadAt returns the load at a time, which is zero before the first recorded change.
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
