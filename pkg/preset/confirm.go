package preset

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"
)

// confirmation is what this VM has promised in a confirm round. The follower's lock guards it. A VM keeps at most
// one: it confirms a second proposal only when the first is settled, so that one doubt is to be resolved at a time.
type confirmation struct {
	proposal string // empty: none
	round    int64
	at       time.Duration // boot time of the latest answer
}

// settle forgets the confirmation when the proposal is decided or its round was aborted.
func (c *confirmation) settle(s *State) {
	if p, ok := s.Pending[c.proposal]; !ok || p.Round != c.round {
		*c = confirmation{}
	}
}

// HandleConfirm answers a confirm request of another VM or of this one.
func (f *Follower) HandleConfirm(r ConfirmRequest) ConfirmAnswer {
	f.mu.Lock()
	defer f.mu.Unlock()
	answer := ConfirmAnswer{Position: f.reader.state.Position}
	p, pending := f.reader.state.Pending[r.Proposal]
	answer.Undecided = answer.Position < r.Offset || (pending && p.Offset == r.Offset && p.Round == r.Round)
	if answer.Reason = f.refusal(r); answer.Reason != "" {
		return answer
	}
	answer.Confirmed = true
	// A repeated request does not move the time: only the first one proves that nothing was accepted before it.
	if !r.Probe && f.confirm.proposal == "" {
		f.confirm = confirmation{proposal: r.Proposal, round: r.Round, at: f.gate.boot()}
		f.gate.until.Store(int64(f.usableUntil()))
	}
	return answer
}

func (f *Follower) refusal(r ConfirmRequest) string {
	p, ok := f.reader.state.Pending[r.Proposal]
	switch {
	case !ok || p.Offset != r.Offset:
		return "the proposal is not pending here"
	case p.Round != r.Round:
		return "another confirm round is current here"
	case f.confirm.proposal != "" && f.confirm.proposal != r.Proposal:
		return "another proposal is being confirmed here"
	case !f.atEnd || f.gate.boot() > f.usableUntil():
		return "this VM is checking its configuration"
	}
	return ""
}

// vetoEnd is when the veto period of a pending proposal ends on this VM. The period is that of the preset in force.
func (f *Follower) vetoEnd(p *Proposal) time.Time {
	read, ok := f.read[p.ID]
	if !ok {
		read = f.clock.Now()
	}
	return read.Add(f.reader.state.ActiveContent().Veto())
}

// askAll asks every VM whether what is pending here is undecided there. When all say so, no VM has read an acceptance,
// and none is in force: the doubt of an outage of the log ends without the log.
func (f *Follower) askAll(ctx context.Context) {
	voters, known := mustConfirm(f.fleet)
	sent := f.gate.boot()
	requests := f.pendingRequests()
	if !known || len(requests) == 0 {
		return
	}
	for _, r := range requests {
		if !f.undecidedEverywhere(ctx, voters, r) {
			return
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.news(sent)
	f.gate.until.Store(int64(f.usableUntil()))
}

func (f *Follower) pendingRequests() []ConfirmRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.paused || f.reader.gap() || !f.bound() {
		return nil
	}
	var requests []ConfirmRequest
	for _, p := range f.reader.state.Pending {
		requests = append(requests, ConfirmRequest{Proposal: p.ID, Offset: p.Offset, Round: p.Round, Probe: true})
	}
	return requests
}

func (f *Follower) undecidedEverywhere(ctx context.Context, voters []string, r ConfirmRequest) bool {
	answers := askVoters(ctx, f.peers, f.fleet.Self(), voters, r, f.HandleConfirm)
	return lo.EveryBy(answers, func(a ConfirmAnswer) bool { return a.Undecided })
}

// askVoters sends the request to all voters at once. The answer of a voter that does not answer is zero.
func askVoters(ctx context.Context, peers Peers, self string, voters []string, r ConfirmRequest,
	own func(ConfirmRequest) ConfirmAnswer) []ConfirmAnswer {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	answers := make([]ConfirmAnswer, len(voters))
	var group sync.WaitGroup
	for i, vm := range voters {
		if vm == self {
			answers[i] = own(r)
			continue
		}
		group.Go(func() {
			if answer, err := peers.Confirm(ctx, vm, r); err == nil {
				answers[i] = answer
			}
		})
	}
	group.Wait()
	return answers
}
