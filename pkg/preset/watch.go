package preset

import (
	"context"
	"time"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
)

// watchInterval is the maximum time between two queries for the progress of a proposal.
const watchInterval = time.Second

// Phase is the phase of a proposal.
type Phase string

// The phases of a proposal. PhaseAccepted, PhaseVetoed, PhaseWithdrawn and PhaseUnknown are final.
const (
	PhaseVetoPeriod Phase = "veto_period"
	PhaseConfirming Phase = "confirming"
	PhaseAccepted   Phase = "accepted"
	PhaseVetoed     Phase = "vetoed"
	PhaseWithdrawn  Phase = "withdrawn"
	// PhaseUnknown: the proposal is neither pending nor among the recent decisions.
	PhaseUnknown Phase = "unknown"
)

// Progress is the progress of a proposal at one point in time.
type Progress struct {
	Proposal string `json:"proposal"`
	Phase    Phase  `json:"phase"`
	// VetoLeft is the remaining veto period on this VM in nanoseconds.
	VetoLeft time.Duration `json:"vetoLeft,omitempty"`
	// WaitingFor lists the VMs that would not confirm at present.
	WaitingFor []string `json:"waitingFor,omitempty"`
	// Offset is the log offset of the decision.
	Offset int64 `json:"offset,omitempty"`
}

// Watcher reports the progress of proposals. It is safe for concurrent use.
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

// Watch sends the progress of the proposal, first immediately, then after each change of the state and at least every
// watchInterval, until the phase is final or ctx ends. It then closes the channel.
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
			case <-w.clock.After(watchInterval):
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
	if remaining := w.follower.vetoRemaining(p); remaining > 0 {
		return Progress{Proposal: id, Phase: PhaseVetoPeriod, VetoLeft: remaining}, false
	}
	progress = Progress{Proposal: id, Phase: PhaseConfirming}
	if voters, known := requiredVoters(w.fleet); known {
		request := ConfirmRequest{Proposal: p.ID, Offset: p.Offset, Round: p.Round, Probe: true}
		progress.WaitingFor = w.follower.unconfirmed(ctx, w.peers, w.fleet.Self(), voters, request)
	}
	return progress, false
}

func (f *Follower) vetoRemaining(p *Proposal) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vetoEnd(p).Sub(f.clock.Now())
}
