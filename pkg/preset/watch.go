package preset

import (
	"context"
	"time"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
)

// watchEvery is the time between two looks at what a proposal waits for.
const watchEvery = time.Second

// Phase is where a proposal stands.
type Phase string

// The phases of a proposal. Accepted, Vetoed, Withdrawn and Unknown are final.
const (
	PhaseVetoPeriod Phase = "veto_period"
	PhaseConfirming Phase = "confirming"
	PhaseAccepted   Phase = "accepted"
	PhaseVetoed     Phase = "vetoed"
	PhaseWithdrawn  Phase = "withdrawn"
	// PhaseUnknown: the id is neither pending nor decided lately.
	PhaseUnknown Phase = "unknown"
)

// Progress is where a proposal stands at one moment.
type Progress struct {
	Proposal string `json:"proposal"`
	Phase    Phase  `json:"phase"`
	// VetoLeft is the rest of the veto period on this VM.
	VetoLeft time.Duration `json:"vetoLeft,omitempty"`
	// WaitingFor are the VMs that would not confirm now.
	WaitingFor []string `json:"waitingFor,omitempty"`
	// Offset is the offset of the decision.
	Offset int64 `json:"offset,omitempty"`
}

// Watcher tells where proposals stand. It is safe for concurrent use.
type Watcher struct {
	clock    clock.Clock
	follower *Follower
	peers    Peers
	fleet    Fleet
}

// NewWatcher returns a watcher with the clock, peers and fleet of o.
func NewWatcher(o Options, f *Follower) *Watcher {
	return &Watcher{clock: o.Clock, follower: f, peers: o.Peers, fleet: o.Fleet}
}

// Watch sends where the proposal stands, first at once, then when something may have changed, until the proposal is
// decided or ctx ends. It closes the channel at the end.
func (w *Watcher) Watch(ctx context.Context, id string) <-chan Progress {
	out := make(chan Progress)
	go func() {
		defer close(out)
		for {
			_, changed := w.follower.View()
			progress, final := w.progress(ctx, id)
			select {
			case out <- progress:
			case <-ctx.Done():
				return
			}
			if final {
				return
			}
			select {
			case <-changed:
			case <-w.clock.After(watchEvery):
			case <-ctx.Done():
				return
			}
		}
	}()
	return out
}

func (w *Watcher) progress(ctx context.Context, id string) (progress Progress, final bool) {
	s, _ := w.follower.View()
	if d, ok := s.Decision(id); ok {
		return Progress{Proposal: id, Phase: Phase(d.Kind), Offset: d.Offset}, true
	}
	p, ok := s.Pending[id]
	if !ok {
		return Progress{Proposal: id, Phase: PhaseUnknown}, true
	}
	if left := w.follower.vetoLeft(p); left > 0 {
		return Progress{Proposal: id, Phase: PhaseVetoPeriod, VetoLeft: left}, false
	}
	progress = Progress{Proposal: id, Phase: PhaseConfirming}
	if voters, known := mustConfirm(w.fleet); known {
		request := ConfirmRequest{Proposal: p.ID, Offset: p.Offset, Round: p.Round, Probe: true}
		progress.WaitingFor = w.follower.unconfirmed(ctx, w.peers, w.fleet.Self(), voters, request)
	}
	return progress, false
}

func (f *Follower) vetoLeft(p *Proposal) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vetoEnd(p).Sub(f.clock.Now())
}
