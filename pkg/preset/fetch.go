package preset

import (
	"context"
	"slices"
	"time"

	"github.com/samber/lo"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/unit"
)

// HandlePeerStatus handles the configuration version and log position in a heartbeat of a peer. It requests a fetch if the
// peer has a higher version, or a later position while this VM has a gap or may have missed an acceptance.
func (f *Follower) HandlePeerStatus(status PeerStatus) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.reader.state
	if status.Version > s.Version || ((f.reader.hasGap() || f.mayMissAcceptance()) && status.Position > s.Position) {
		f.requestFetch(status.VM)
	}
}

// requestFetch triggers a round of fetches, starting with vm unless it is empty. It does not block. The caller holds the
// lock unless vm is empty.
func (f *Follower) requestFetch(vm string) {
	if vm != "" {
		f.fetchFrom = vm
	}
	select {
	case f.fetchRequests <- struct{}{}:
	default:
	}
}

// fetchStates fetches states from peers on request until ctx ends.
func (f *Follower) fetchStates(ctx context.Context) {
	for {
		select {
		case <-f.fetchRequests:
		case <-ctx.Done():
			return
		}
		for _, vm := range f.fetchTargets() {
			f.fetch(ctx, vm)
		}
		f.resolveDoubtByPeers(ctx)
	}
}

// fetchTargets returns the peer that is known to have a later state. If this VM has to verify or initialize its state, or
// may soon be in doubt, it adds up to fetchFanout random peers.
func (f *Follower) fetchTargets() []string {
	alive, self := f.fleet.Alive(), f.fleet.Self()
	listed, _ := f.fleet.Listed()
	f.mu.Lock()
	defer f.mu.Unlock()
	var targets []string
	if f.fetchFrom != "" {
		targets, f.fetchFrom = []string{f.fetchFrom}, ""
	}
	doubtImminent := f.doubtImminent()
	if f.initialized && !f.stale && !f.reader.hasGap() && !doubtImminent && !f.settling.active {
		return targets
	}
	others := lo.Without(lo.Uniq(slices.Concat(alive, listed)), self)
	f.rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return lo.Uniq(append(targets, others[:min(fetchFanout, len(others))]...))
}

func (f *Follower) fetch(ctx context.Context, vm string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	sentAt := f.gate.bootTime()
	snapshot, err := f.peers.Fetch(ctx, vm)
	if err != nil {
		klog.V(1).InfoS("failed to fetch the configuration from a peer", "vm", vm, "err", err)
		return
	}
	if err := f.Adopt(snapshot, sentAt); err != nil {
		klog.ErrorS(err, "received an invalid configuration from a peer", "vm", vm)
	}
}

// Adopt replaces the state by that of a peer if the peer's is later. sentAt is the boot time at which the request was sent.
// Error: ErrInvalidState.
func (f *Follower) Adopt(snapshot Snapshot, sentAt time.Duration) error {
	s, err := UnmarshalState(snapshot.State)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	adopted := f.reader.adopt(s)
	if adopted {
		f.updatePending()
		f.recordCurrentAsOf(sentAt)
	}
	f.mergeAges(snapshot)
	if snapshot.Usable && s.Position >= f.reader.state.Position && s.Version != NoVersion {
		f.markInitialized()
		if snapshot.LogAge != nil {
			f.recordCurrentAsOf(sentAt - snapshot.LogAge.Std())
		}
		if sentAt >= f.pauseDetectedAt {
			f.stale = false
		}
	}
	f.publish()
	return nil
}

// Snapshot returns the state for a peer that requests it.
func (f *Follower) Snapshot() (Snapshot, error) {
	usable := f.InForce() != nil
	f.mu.Lock()
	defer f.mu.Unlock()
	data, err := f.reader.state.Marshal()
	ages := make(map[string]unit.Duration, len(f.firstSeen))
	for id, firstSeen := range f.firstSeen {
		ages[id] = unit.Duration(f.clock.Now().Sub(firstSeen))
	}
	snapshot := Snapshot{State: data, Usable: usable, PendingAges: ages}
	if f.logContactAt > 0 {
		age := unit.Duration(f.gate.bootTime() - f.logContactAt)
		snapshot.LogAge = &age
	}
	return snapshot, err
}

// mergeAges moves the start of veto periods back to the time at which a peer first saw the proposal, so that a period ends
// even if it is longer than the lifetime of most VMs. The peer's age is a lower bound because the response took time to
// arrive.
func (f *Follower) mergeAges(snapshot Snapshot) {
	now := f.clock.Now()
	for id, age := range snapshot.PendingAges {
		if firstSeen, ok := f.firstSeen[id]; ok && now.Add(-age.Std()).Before(firstSeen) {
			f.firstSeen[id] = now.Add(-age.Std())
		}
	}
}
