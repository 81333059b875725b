package preset

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"
)

// confirmation records the proposal and round that this VM has confirmed. It is guarded by Follower.mu. A VM holds at most
// one: it confirms a second proposal only after the first is decided or its round is aborted, so that at most one
// confirmation at a time can leave the VM in doubt.
type confirmation struct {
	proposal    string // empty: none
	round       int64
	confirmedAt time.Duration // boot time of the first confirming response
}

// clearIfSettled resets the confirmation if the proposal is decided or its round was aborted.
func (c *confirmation) clearIfSettled(s *State) {
	if p, ok := s.Pending[c.proposal]; !ok || p.Round != c.round {
		*c = confirmation{}
	}
}

// HandleConfirm handles a confirm request from another VM or from this one.
func (f *Follower) HandleConfirm(r ConfirmRequest) ConfirmResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	response := ConfirmResponse{Position: f.reader.state.Position}
	p, pending := f.reader.state.Pending[r.Proposal]
	response.Undecided = response.Position < r.Offset || (pending && p.Offset == r.Offset && p.Round == r.Round)
	if response.Reason = f.refusalReason(r); response.Reason != "" {
		return response
	}
	response.Confirmed = true
	// A repeated request does not update the time: only the first one proves that nothing was accepted before it.
	if !r.Probe && f.confirmation.proposal == "" {
		f.confirmation = confirmation{proposal: r.Proposal, round: r.Round, confirmedAt: f.gate.bootTime()}
		f.gate.usableUntil.Store(int64(f.usableUntil()))
	}
	return response
}

// refusalReason returns the reason why this VM does not confirm the request, or an empty string. The caller holds the lock.
func (f *Follower) refusalReason(r ConfirmRequest) string {
	p, ok := f.reader.state.Pending[r.Proposal]
	switch {
	case !ok || p.Offset != r.Offset:
		return "the proposal is not pending here"
	case p.Round != r.Round:
		return "another confirm round is current here"
	case f.confirmation.proposal != "" && f.confirmation.proposal != r.Proposal:
		return "another proposal is being confirmed here"
	case !f.initialized || f.gate.bootTime() > f.usableUntil():
		return "this VM is checking its configuration"
	}
	return ""
}

// vetoEnd returns the time at which the veto period of a pending proposal ends on this VM. The length of the period is
// taken from the preset in force.
func (f *Follower) vetoEnd(p *Proposal) time.Time {
	firstSeen, ok := f.firstSeen[p.ID]
	if !ok {
		firstSeen = f.clock.Now()
	}
	return firstSeen.Add(f.reader.state.ActiveContent().Veto())
}

// resolveDoubtByPeers asks every VM whether the proposals pending here are undecided there. If all are, no VM has read
// an acceptance and none is in force, so this VM is no longer in doubt even though the log is unavailable.
func (f *Follower) resolveDoubtByPeers(ctx context.Context) {
	voters, known := requiredVoters(f.fleet)
	sentAt := f.gate.bootTime()
	requests := f.pendingProbes()
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
	f.recordCurrentAsOf(sentAt)
	f.gate.usableUntil.Store(int64(f.usableUntil()))
}

// pendingProbes returns a non-binding confirm request for each pending proposal. It returns none if this VM cannot be in
// doubt or if its state is stale or incomplete.
func (f *Follower) pendingProbes() []ConfirmRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stale || f.reader.hasGap() || !f.mayMissAcceptance() {
		return nil
	}
	var requests []ConfirmRequest
	for _, p := range f.reader.state.Pending {
		requests = append(requests, ConfirmRequest{Proposal: p.ID, Offset: p.Offset, Round: p.Round, Probe: true})
	}
	return requests
}

// undecidedEverywhere reports whether all voters responded that the proposal of the request is undecided.
func (f *Follower) undecidedEverywhere(ctx context.Context, voters []string, r ConfirmRequest) bool {
	responses := queryVoters(ctx, f.peers, f.fleet.Self(), voters, r, f.HandleConfirm)
	return lo.EveryBy(responses, func(c ConfirmResponse) bool { return c.Undecided })
}

// queryVoters sends the request to all voters concurrently and returns their responses in the order of voters. The response is
// zero for a voter that does not respond within confirmTimeout.
func queryVoters(ctx context.Context, peers Peers, self string, voters []string, r ConfirmRequest,
	handleLocally func(ConfirmRequest) ConfirmResponse) []ConfirmResponse {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	responses := make([]ConfirmResponse, len(voters))
	var group sync.WaitGroup
	for i, vm := range voters {
		if vm == self {
			responses[i] = handleLocally(r)
			continue
		}
		group.Go(func() {
			if response, err := peers.Confirm(ctx, vm, r); err == nil {
				responses[i] = response
			}
		})
	}
	group.Wait()
	return responses
}
