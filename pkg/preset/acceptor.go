package preset

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/samber/lo"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/platformlog"
)

// Timing of the acceptor.
const (
	// confirmTimeout limits one confirm request, so that a round takes about one second.
	confirmTimeout = time.Second
	// maxRoundDuration limits the time from the first binding confirm request to the append of the acceptance. After a
	// longer time the set of VMs may have changed.
	maxRoundDuration = 3 * time.Second
	// maxLogAge is the highest age of the last log contact at which a round may start. The age reaches 2 * pollWait
	// even if every long poll succeeds.
	maxLogAge = 2*pollWait + time.Second
	// rankDelayStep is added to the delay of each VM relative to the VM with the next lower id. maxRankDelay limits the
	// sum without jitter.
	rankDelayStep = 2 * time.Second
	maxRankDelay  = 10 * time.Second
	// roundRetryMin and roundRetryMax are the bounds of the exponential backoff after a round in which a VM did not
	// confirm.
	roundRetryMin = 2 * time.Second
	roundRetryMax = 30 * time.Second
)

// Acceptor accepts proposals whose veto period has ended. Each entry VM runs one.
type Acceptor struct {
	log        platformlog.Log
	clock      clock.Clock
	follower   *Follower
	peers      Peers
	fleet      Fleet
	rand       *rand.Rand    // used by Run only
	retryDelay time.Duration // current backoff, without jitter
}

// NewAcceptor returns an acceptor with the log, clock, peers, fleet and random source of o. o.Peers and
// o.Fleet must be set.
func NewAcceptor(o Options, f *Follower) *Acceptor {
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Acceptor{log: o.Log, clock: o.Clock, follower: f, peers: o.Peers, fleet: o.Fleet, rand: o.Rand,
		retryDelay: roundRetryMin}
}

// Run accepts proposals until ctx ends.
func (a *Acceptor) Run(ctx context.Context) {
	for ctx.Err() == nil {
		p, wait, changed := a.follower.dueProposal()
		if p == nil {
			a.wait(ctx, wait, changed)
			continue
		}
		a.wait(ctx, a.rankDelay(), nil)
		if ctx.Err() != nil || !a.follower.isCurrent(p) {
			continue
		}
		if a.runConfirmRound(ctx, p) {
			a.retryDelay = roundRetryMin
			continue
		}
		a.wait(ctx, a.retryDelay+time.Duration(a.rand.Int64N(int64(a.retryDelay))), nil)
		a.retryDelay = min(2*a.retryDelay, roundRetryMax)
	}
}

func (a *Acceptor) wait(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	select {
	case <-a.clock.After(d):
	case <-wake:
	case <-ctx.Done():
	}
}

// rankDelay returns the time by which this VM delays a confirm round: zero for the lowest id among the VMs that are alive,
// and a time that grows with the rank of the id, plus jitter, for the others.
func (a *Acceptor) rankDelay() time.Duration {
	self, rank := a.fleet.Self(), 0
	for _, id := range a.fleet.Alive() {
		if id < self {
			rank++
		}
	}
	if rank == 0 {
		return 0
	}
	return min(time.Duration(rank)*rankDelayStep, maxRankDelay) + time.Duration(a.rand.Int64N(int64(rankDelayStep)))
}

// runConfirmRound sends a confirm request to every required voter and appends the acceptance if all confirm. It reports
// whether the proposal is decided.
func (a *Acceptor) runConfirmRound(ctx context.Context, p *Proposal) bool {
	voters, known := requiredVoters(a.fleet)
	// While the log is unavailable, a round would only bind VMs to an acceptance that cannot be appended.
	if age := a.follower.Status().LogAge; !known || a.follower.InForce() == nil || age < 0 || age > maxLogAge {
		return false
	}
	request := ConfirmRequest{Proposal: p.ID, Offset: p.Offset, Round: p.Round, Probe: true}
	// A first request that does not bind the VMs ensures that they are not left in doubt while another VM is unreachable.
	if missing := a.follower.unconfirmed(ctx, a.peers, a.fleet.Self(), voters, request); len(missing) > 0 {
		klog.V(1).InfoS("proposal is waiting for confirmations", "proposal", p.ID, "waitingFor", missing)
		return false
	}
	request.Probe = false
	start := a.follower.gate.bootTime()
	missing := a.follower.unconfirmed(ctx, a.peers, a.fleet.Self(), voters, request)
	currentVoters, known := requiredVoters(a.fleet)
	missing = append(missing, lo.Without(currentVoters, voters...)...)
	if len(missing) > 0 || !known || a.follower.gate.bootTime()-start > maxRoundDuration || !a.follower.isCurrent(p) {
		klog.InfoS("confirm round failed", "proposal", p.ID, "round", p.Round, "missing", missing)
		a.append(ctx, &Entry{Kind: KindAbort, ID: uuid.NewString(), Author: a.fleet.Self(), Proposal: p.ID,
			Round: p.Round}, p)
		return false
	}
	return a.append(ctx, &Entry{Kind: KindAccept, ID: uuid.NewString(), Author: a.fleet.Self(), Proposal: p.ID,
		Round: p.Round}, p)
}

// append appends a record about p once and waits until the applied records decide p or end its round. It reports
// whether that happened within outcomeTimeout.
func (a *Acceptor) append(ctx context.Context, e *Entry, p *Proposal) bool {
	if _, err := a.log.Append(ctx, Stream, e); err != nil {
		klog.InfoS("failed to append to the configuration log", "kind", e.Kind, "proposal", p.ID, "err", err)
		if !errors.Is(err, platformlog.ErrUnknownAppend) {
			return false
		}
	}
	timeout := a.clock.After(outcomeTimeout)
	for a.follower.isCurrent(p) {
		_, changed := a.follower.View()
		if !a.follower.isCurrent(p) {
			break
		}
		select {
		case <-changed:
		case <-timeout:
			return false
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// requiredVoters returns the sorted ids of the VMs that must confirm a change: those in the VM list and those alive. known
// is false until the list has been read.
func requiredVoters(f Fleet) (ids []string, known bool) {
	listed, known := f.Listed()
	ids = lo.Uniq(slices.Concat(listed, f.Alive(), []string{f.Self()}))
	slices.Sort(ids)
	return ids, known
}

// unconfirmed sends the request to all voters concurrently and returns the voters that did not confirm.
func (f *Follower) unconfirmed(ctx context.Context, peers Peers, self string, voters []string, r ConfirmRequest) []string {
	responses := queryVoters(ctx, peers, self, voters, r, f.HandleConfirm)
	return lo.Filter(voters, func(_ string, i int) bool { return !responses[i].Confirmed })
}

// dueProposal returns the oldest pending proposal whose veto period has ended. Without one, wait is the time until the next
// veto period ends, at most one hour, and changed is closed at the next change of the state.
func (f *Follower) dueProposal() (p *Proposal, wait time.Duration, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, wait := f.clock.Now(), time.Hour
	for _, candidate := range f.reader.state.Pending {
		if remaining := f.vetoEnd(candidate).Sub(now); remaining > 0 {
			wait = min(wait, remaining)
		} else if p == nil || candidate.Offset < p.Offset {
			p = candidate
		}
	}
	return p, wait, f.changed
}

// isCurrent reports whether p is pending on this VM in the same confirm round.
func (f *Follower) isCurrent(p *Proposal) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	current, ok := f.reader.state.Pending[p.ID]
	return ok && current.Round == p.Round
}
