package operation

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

// keepTimeout bounds one round of questions. A second round still fits in half a lease.
const keepTimeout = time.Second

// ErrKeepRefused reports a VM that does not promise to leave the ranges of another one unclaimed.
var ErrKeepRefused = errors.New("lease extension refused")

// KeepRequest asks a VM not to claim ranges of the asking process for TakeoverDelay.
type KeepRequest struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"inc"`
	// Ranges names each range with its epoch in Base.
	Ranges []RangeRef `json:"ranges"`
	// EndedMillis is the time since the latest lease of the ranges ended; 0 while one is in force.
	EndedMillis int64 `json:"endedMs,omitempty"`
}

// Promise answers a KeepRequest. A promise counts like a renewal that is heard now. Error: ErrKeepRefused.
func (m *RangeManager) Promise(r KeepRequest) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.reachedHead || !m.table.Ready {
		return errors.Wrap(ErrKeepRefused, "the log's head was not reached since the start")
	}
	asker := process{r.VM, r.Incarnation}
	for p := range m.heard {
		if p.vm == asker.vm && p != asker {
			return errors.Wrapf(ErrKeepRefused, "another process of %s was heard", r.VM)
		}
	}
	var refused error
	for _, ref := range r.Ranges {
		if err := m.refuseKeep(asker, ref); err != nil {
			m.restartWindow(ref, time.Duration(r.EndedMillis)*time.Millisecond)
			refused = err
		}
	}
	if refused != nil {
		return refused
	}
	// Memory that another VM handed over belongs to a release that this VM has not read. Its window may be older than
	// the promise, so a later claim has to start a new one.
	for _, ref := range r.Ranges {
		delete(m.stages, ref.Range)
	}
	m.heard[asker] = m.Clock.Now()
	return nil
}

// refuseKeep returns why the asker may not keep a range.
func (m *RangeManager) refuseKeep(asker process, ref RangeRef) error {
	if ref.Range < 0 || ref.Range >= RangeCount {
		return errors.Wrapf(ErrKeepRefused, "range %d", ref.Range)
	}
	s := m.table.Ranges[ref.Range]
	if !s.ownedBy(asker.vm, asker.incarnation) || s.Epoch != ref.Base {
		return errors.Wrapf(ErrKeepRefused, "range %d is owned by %q, released to %q", ref.Range, s.VM, s.Successor)
	}
	if base, claimed := m.claimed[ref.Range]; claimed && base == s.Epoch {
		return errors.Wrapf(ErrKeepRefused, "range %d: own claim under way", ref.Range)
	}
	return nil
}

// restartWindow makes this VM wait a full window after the lease of an earlier owner of its range. Without it an owner
// that did not know of this VM, and therefore did not ask it before, could have run a key within the memory window.
func (m *RangeManager) restartWindow(ref RangeRef, ended time.Duration) {
	h := m.holds[ref.Range]
	if h == nil || h.epoch == ref.Base {
		return
	}
	if from := m.Clock.Now().Add(UncleanWindow - ended); from.After(h.cleanFrom) {
		h.cleanFrom = from
		m.publish()
	}
}

// keepRun calls Keep until ctx ends. It is apart from the steps, because a log that hangs holds those up.
func (m *RangeManager) keepRun(ctx context.Context) {
	for ctx.Err() == nil {
		m.Keep(ctx)
		select {
		case <-ctx.Done():
		case <-m.Clock.After(pollInterval):
		}
	}
}

// Keep extends the leases with the promises of all other VMs if the log fails and less than half of a lease is left.
func (m *RangeManager) Keep(ctx context.Context) {
	if m.Voters == nil {
		return
	}
	sent := m.Clock.Now()
	request, due := m.keepRequest(sent)
	if !due {
		return
	}
	// The voters are read after sent: whoever is missing has then not claimed before, or neither source shows it.
	voters, known := m.Voters()
	if !known {
		return
	}
	if err := m.askAll(ctx, voters, request); err != nil {
		klog.V(1).InfoS("leases not extended", "ranges", len(request.Ranges), "err", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, ref := range request.Ranges {
		if h := m.holds[ref.Range]; h != nil && h.epoch == ref.Base {
			h.extend(sent.Add(LeaseDuration))
		}
	}
	m.publish()
}

// keepRequest returns the question that is due. A range under transfer is left out: its release may be in the log already.
func (m *RangeManager) keepRequest(now time.Time) (r KeepRequest, due bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.table.Ready || !m.logFails(now) {
		return r, false
	}
	r = KeepRequest{VM: m.Self.VM, Incarnation: m.Self.Incarnation}
	var first, last time.Time
	for keyRange := range RangeCount {
		h := m.holds[keyRange]
		if h == nil || m.transfers[keyRange] != nil {
			continue
		}
		r.Ranges = append(r.Ranges, RangeRef{Range: keyRange, Base: h.epoch})
		if first.IsZero() || h.leaseEnd.Before(first) {
			first = h.leaseEnd
		}
		if h.leaseEnd.After(last) {
			last = h.leaseEnd
		}
	}
	ended := now.Sub(last)
	if len(r.Ranges) == 0 || first.Sub(now) >= LeaseDuration/2 || ended >= 0 && now.Sub(m.lastKeep) < RenewInterval {
		return r, false
	}
	m.lastKeep = now
	r.EndedMillis = max(0, min(ended, UncleanWindow)).Milliseconds()
	return r, true
}

// logFails reports that the last call to the log failed, or that one hangs.
func (m *RangeManager) logFails(now time.Time) bool {
	return m.logFailed || !m.logCall.IsZero() && now.Sub(m.logCall) >= pollInterval
}

// askAll returns nil if every other VM promised.
func (m *RangeManager) askAll(ctx context.Context, voters []string, r KeepRequest) error {
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	var group sync.WaitGroup
	var failed atomic.Pointer[error]
	slices.Sort(voters)
	for _, vm := range slices.Compact(voters) {
		if vm == m.Self.VM {
			continue
		}
		group.Go(func() {
			if err := m.Peers.Keep(ctx, vm, r); err != nil {
				err = errors.Wrapf(err, "VM %s", vm)
				failed.Store(&err)
			}
		})
	}
	group.Wait()
	if err := failed.Load(); err != nil {
		return *err
	}
	return nil
}
