package preset

import (
	"context"
	"slices"
	"time"

	"github.com/samber/lo"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/unit"
)

// NotePeer handles what a heartbeat says about a peer. A state with a higher version is fetched.
func (f *Follower) NotePeer(n PeerNote) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.reader.state
	if n.Version > s.Version || ((f.reader.gap() || f.bound()) && n.Position > s.Position) {
		f.requestFetch(n.VM)
	}
}

// requestFetch asks the fetching goroutine for a round. It never waits.
func (f *Follower) requestFetch(vm string) {
	if vm != "" {
		f.fetchFrom = vm
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// fetchStates is the goroutine that fetches states from peers.
func (f *Follower) fetchStates(ctx context.Context) {
	for {
		select {
		case <-f.wake:
		case <-ctx.Done():
			return
		}
		for _, vm := range f.fetchTargets() {
			f.fetch(ctx, vm)
		}
		f.askAll(ctx)
	}
}

// fetchTargets returns the peer that is known to be ahead, and others when this VM needs a check or a start.
func (f *Follower) fetchTargets() []string {
	alive, self := f.fleet.Alive(), f.fleet.Self()
	listed, _ := f.fleet.Listed()
	f.mu.Lock()
	defer f.mu.Unlock()
	var targets []string
	if f.fetchFrom != "" {
		targets, f.fetchFrom = []string{f.fetchFrom}, ""
	}
	inDoubt := f.nearDoubt()
	if f.atEnd && !f.paused && !f.reader.gap() && !inDoubt && !f.settle.active {
		return targets
	}
	others := lo.Without(lo.Uniq(slices.Concat(alive, listed)), self)
	f.rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return lo.Uniq(append(targets, others[:min(fetchPeers, len(others))]...))
}

func (f *Follower) fetch(ctx context.Context, vm string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	sent := f.gate.boot()
	snapshot, err := f.peers.Fetch(ctx, vm)
	if err != nil {
		klog.V(1).InfoS("cannot fetch the configuration from a peer", "vm", vm, "err", err)
		return
	}
	if err := f.Take(snapshot, sent); err != nil {
		klog.ErrorS(err, "unusable configuration from a peer", "vm", vm)
	}
}

// Take adopts the state of a peer when it is later than this VM's. sent is the boot time at which it was asked for.
// Error: ErrInvalidState.
func (f *Follower) Take(snapshot Snapshot, sent time.Duration) error {
	s, err := UnmarshalState(snapshot.State)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	taken := f.reader.take(s)
	if taken {
		f.notePending()
		f.news(sent)
	}
	f.noteAges(snapshot)
	if snapshot.Sound && s.Position >= f.reader.state.Position && s.Version != NoVersion {
		f.started()
		if snapshot.LogAge != nil {
			f.news(sent - snapshot.LogAge.Std())
		}
		if sent >= f.resumed {
			f.paused = false
		}
	}
	f.publish()
	return nil
}

// Snapshot returns the state for a peer that fetches it.
func (f *Follower) Snapshot() (Snapshot, error) {
	sound := f.InForce() != nil
	f.mu.Lock()
	defer f.mu.Unlock()
	data, err := f.reader.state.Marshal()
	ages := make(map[string]unit.Duration, len(f.read))
	for id, read := range f.read {
		ages[id] = unit.Duration(f.clock.Now().Sub(read))
	}
	snapshot := Snapshot{State: data, Sound: sound, Ages: ages}
	if f.contact > 0 {
		age := unit.Duration(f.gate.boot() - f.contact)
		snapshot.LogAge = &age
	}
	return snapshot, err
}

// noteAges moves the start of veto periods back to what a peer has seen, so that a period longer than the life of most
// VMs ends. The peer's age is a lower bound: the answer took time to arrive.
func (f *Follower) noteAges(snapshot Snapshot) {
	now := f.clock.Now()
	for id, age := range snapshot.Ages {
		if read, ok := f.read[id]; ok && now.Add(-age.Std()).Before(read) {
			f.read[id] = now.Add(-age.Std())
		}
	}
}
