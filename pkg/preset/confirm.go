package preset

import "time"

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
	if answer.Reason = f.refusal(r); answer.Reason != "" {
		return answer
	}
	answer.Confirmed = true
	if !r.Probe {
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
	case f.vetoEnd(p).After(f.clock.Now()):
		return "the veto period has not passed here"
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
