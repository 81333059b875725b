package operation

import (
	"context"

	"github.com/cockroachdb/errors"
)

// ErrDrainIncomplete reports a drain that ended before every range was handed over. Other VMs claim the
// remaining ranges without their memory.
var ErrDrainIncomplete = errors.New("key ranges not handed over")

// Drain implements Ranges. Run must be running meanwhile. Error: ErrDrainIncomplete if ctx ends first.
func (m *RangeManager) Drain(ctx context.Context) error {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	for {
		m.requestStep()
		if m.heldCount() == 0 && m.expectedCount() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ErrDrainIncomplete, "%d ranges still held, %d ranges expected from other VMs",
				m.heldCount(), m.expectedCount())
		case <-m.Clock.After(pollInterval / 10):
		}
	}
}

func (m *RangeManager) heldCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.heldRanges)
}

// expectedCount returns the number of ranges whose memory this VM has received completely and whose owner it may still
// become.
func (m *RangeManager) expectedCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, now := 0, m.Clock.Now()
	for _, s := range m.stagedRanges {
		if s.complete && now.Sub(s.receivedAt) < releaseTimeout {
			n++
		}
	}
	return n
}
