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

// extensionTimeout limits one round of extension requests. A second round still fits in half a lease.
const extensionTimeout = time.Second

// ErrExtensionRefused reports a VM that does not promise to leave the ranges of the requesting VM unclaimed.
var ErrExtensionRefused = errors.New("lease extension refused")

// ExtensionRequest requests a promise not to claim ranges of the requesting process for TakeoverDelay.
type ExtensionRequest struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"inc"`
	// Ranges lists the ranges; Base is the epoch of each.
	Ranges []RangeRef `json:"ranges"`
	// EndedMillis is the time in milliseconds since the latest lease of the ranges ended; 0 while one is valid.
	EndedMillis int64 `json:"endedMs,omitempty"`
}

// GrantExtension handles an ExtensionRequest. A granted extension has the effect of a renewal that this VM reads now. Error:
// ErrExtensionRefused.
func (m *RangeManager) GrantExtension(r ExtensionRequest) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.reachedHead || !m.table.Ready {
		return errors.Wrap(ErrExtensionRefused, "this VM has not read the log up to its head since its start")
	}
	requester := process{r.VM, r.Incarnation}
	for p := range m.lastSeen {
		if p.vm == requester.vm && p != requester {
			return errors.Wrapf(ErrExtensionRefused, "the log has a record of another process of VM %s", r.VM)
		}
	}
	var refusedErr error
	for _, ref := range r.Ranges {
		if err := m.checkExtension(requester, ref); err != nil {
			m.restartMemoryWindow(ref, time.Duration(r.EndedMillis)*time.Millisecond)
			refusedErr = err
		}
	}
	if refusedErr != nil {
		return refusedErr
	}
	// Staged memory belongs to a release that this VM has not read. Its window may have started before the grant, so a
	// later claim has to start a new window.
	for _, ref := range r.Ranges {
		delete(m.stagedRanges, ref.Range)
	}
	m.lastSeen[requester] = m.Clock.Now()
	return nil
}

// checkExtension returns an error if the requester's lease of a range must not be extended.
func (m *RangeManager) checkExtension(requester process, ref RangeRef) error {
	if ref.Range < 0 || ref.Range >= RangeCount {
		return errors.Wrapf(ErrExtensionRefused, "range %d is out of bounds", ref.Range)
	}
	s := m.table.Ranges[ref.Range]
	if !s.ownedBy(requester.vm, requester.incarnation) || s.Epoch != ref.Base {
		return errors.Wrapf(ErrExtensionRefused, "range %d is owned by %q, released to %q", ref.Range, s.VM, s.Successor)
	}
	if base, claimed := m.claimBase[ref.Range]; claimed && base == s.Epoch {
		return errors.Wrapf(ErrExtensionRefused, "range %d: this VM's own claim is pending", ref.Range)
	}
	return nil
}

// restartMemoryWindow delays new keys of a range that this VM owns until a full window has passed since the end of the lease
// of the earlier owner, which now requests an extension. That owner may not have known of this VM, and therefore have sent it
// no earlier request; without the delay, it could have run a key within the memory window.
func (m *RangeManager) restartMemoryWindow(ref RangeRef, sinceEnd time.Duration) {
	h := m.heldRanges[ref.Range]
	if h == nil || h.epoch == ref.Base {
		return
	}
	if from := m.Clock.Now().Add(UncleanWindow - sinceEnd); from.After(h.admitFrom) {
		h.admitFrom = from
		m.publish()
	}
}

// runLeaseExtension calls ExtendLeases until ctx ends. It is separate from Step, because Step blocks while a call to the log
// hangs.
func (m *RangeManager) runLeaseExtension(ctx context.Context) {
	for ctx.Err() == nil {
		m.ExtendLeases(ctx)
		select {
		case <-ctx.Done():
		case <-m.Clock.After(pollInterval):
		}
	}
}

// ExtendLeases requests grants from all other VMs if the log is unavailable and less than half of a lease is left, and extends
// the leases if all of them grant.
func (m *RangeManager) ExtendLeases(ctx context.Context) {
	if m.Voters == nil {
		return
	}
	requestedAt := m.Clock.Now()
	request, due := m.extensionRequest(requestedAt)
	if !due {
		return
	}
	// The voters are read after requestedAt. A VM that is missing from them has therefore made no claim before that time,
	// unless neither the VM list nor the membership contains it.
	voters, known := m.Voters()
	if !known {
		return
	}
	if err := m.requestGrants(ctx, voters, request); err != nil {
		klog.V(1).InfoS("failed to extend leases without the log", "ranges", len(request.Ranges), "err", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, ref := range request.Ranges {
		if h := m.heldRanges[ref.Range]; h != nil && h.epoch == ref.Base {
			h.extendLease(requestedAt.Add(LeaseDuration))
		}
	}
	m.publish()
}

// extensionRequest returns the extension request and whether it is due. A range under transfer is omitted, because its
// release may already be in the log.
func (m *RangeManager) extensionRequest(now time.Time) (r ExtensionRequest, due bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.table.Ready || !m.logUnavailable(now) {
		return r, false
	}
	r = ExtensionRequest{VM: m.Self.VM, Incarnation: m.Self.Incarnation}
	var earliestEnd, latestEnd time.Time
	for keyRange := range RangeCount {
		h := m.heldRanges[keyRange]
		if h == nil || m.transfers[keyRange] != nil {
			continue
		}
		r.Ranges = append(r.Ranges, RangeRef{Range: keyRange, Base: h.epoch})
		if earliestEnd.IsZero() || h.leaseEnd.Before(earliestEnd) {
			earliestEnd = h.leaseEnd
		}
		if h.leaseEnd.After(latestEnd) {
			latestEnd = h.leaseEnd
		}
	}
	sinceEnd := now.Sub(latestEnd)
	if len(r.Ranges) == 0 || earliestEnd.Sub(now) >= LeaseDuration/2 ||
		sinceEnd >= 0 && now.Sub(m.lastExtensionRequest) < RenewInterval {
		return r, false
	}
	m.lastExtensionRequest = now
	r.EndedMillis = max(0, min(sinceEnd, UncleanWindow)).Milliseconds()
	return r, true
}

// logUnavailable reports whether a call to the log has failed since the last renewal was read back, or has been in progress
// for pollInterval.
func (m *RangeManager) logUnavailable(now time.Time) bool {
	return m.logFailed || !m.logCallStart.IsZero() && now.Sub(m.logCallStart) >= pollInterval
}

// requestGrants sends the request to every other voter and returns nil if all of them granted it.
func (m *RangeManager) requestGrants(ctx context.Context, voters []string, r ExtensionRequest) error {
	ctx, cancel := context.WithTimeout(ctx, extensionTimeout)
	defer cancel()
	var group sync.WaitGroup
	var refusalErr atomic.Pointer[error]
	slices.Sort(voters)
	for _, vm := range slices.Compact(voters) {
		if vm == m.Self.VM {
			continue
		}
		group.Go(func() {
			if err := m.Peers.RequestExtension(ctx, vm, r); err != nil {
				err = errors.Wrapf(err, "VM %s", vm)
				refusalErr.Store(&err)
			}
		})
	}
	group.Wait()
	if err := refusalErr.Load(); err != nil {
		return *err
	}
	return nil
}
