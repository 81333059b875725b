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

// Times of the acceptor.
const (
	// confirmTimeout bounds one confirm request, so that a round takes about one second.
	confirmTimeout = time.Second
	// roundLimit is the longest time from the first confirm request to the append of the acceptance. After it the set
	// of VMs may have changed.
	roundLimit = 3 * time.Second
	// maxLogAge is the age of the last log contact above which no round starts. With long polls that all succeed the
	// age reaches 2 * pollWait.
	maxLogAge = 2*pollWait + time.Second
	// rankWait is the additional wait of each VM after the one with the next lower id; rankWaitMax bounds it.
	rankWait    = 2 * time.Second
	rankWaitMax = 10 * time.Second
	// roundRetryMin and roundRetryMax bound the doubling wait after a round in which a VM did not confirm.
	roundRetryMin = 2 * time.Second
	roundRetryMax = 30 * time.Second
)

// Acceptor accepts proposals whose veto period has passed. Each entry VM runs one.
type Acceptor struct {
	log      platformlog.Log
	clock    clock.Clock
	follower *Follower
	peers    Peers
	fleet    Fleet
	rand     *rand.Rand // used by Run only
	retry    time.Duration
}

// NewAcceptor returns an acceptor with the log, clock, peers, fleet and jitter of o. o.Peers and o.Fleet must be set.
func NewAcceptor(o Options, f *Follower) *Acceptor {
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Acceptor{log: o.Log, clock: o.Clock, follower: f, peers: o.Peers, fleet: o.Fleet, rand: o.Rand,
		retry: roundRetryMin}
}

// Run accepts proposals until ctx ends.
func (a *Acceptor) Run(ctx context.Context) {
	for ctx.Err() == nil {
		p, wait, changed := a.follower.due()
		if p == nil {
			a.sleep(ctx, wait, changed)
			continue
		}
		a.sleep(ctx, a.orderWait(), nil)
		if ctx.Err() != nil || !a.follower.holds(p) {
			continue
		}
		if a.round(ctx, p) {
			a.retry = roundRetryMin
			continue
		}
		a.sleep(ctx, a.retry+time.Duration(a.rand.Int64N(int64(a.retry))), nil)
		a.retry = min(2*a.retry, roundRetryMax)
	}
}

func (a *Acceptor) sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	select {
	case <-a.clock.After(d):
	case <-wake:
	case <-ctx.Done():
	}
}

// orderWait is zero for the lowest alive id, and longer with jitter for the others.
func (a *Acceptor) orderWait() time.Duration {
	self, rank := a.fleet.Self(), 0
	for _, id := range a.fleet.Alive() {
		if id < self {
			rank++
		}
	}
	if rank == 0 {
		return 0
	}
	return min(time.Duration(rank)*rankWait, rankWaitMax) + time.Duration(a.rand.Int64N(int64(rankWait)))
}

// round asks every VM that must confirm, and appends the acceptance when all have confirmed. It reports whether the
// proposal is decided.
func (a *Acceptor) round(ctx context.Context, p *Proposal) bool {
	voters, known := mustConfirm(a.fleet)
	// While the log does not answer, a round would only bind VMs to an acceptance that cannot be appended.
	if age := a.follower.Status().LogAge; !known || a.follower.InForce() == nil || age < 0 || age > maxLogAge {
		return false
	}
	request := ConfirmRequest{Proposal: p.ID, Offset: p.Offset, Round: p.Round, Probe: true}
	// Asking first without obligation keeps VMs out of doubt while another one cannot be reached.
	if missing := a.follower.unconfirmed(ctx, a.peers, a.fleet.Self(), voters, request); len(missing) > 0 {
		klog.V(1).InfoS("change waits for confirmation", "proposal", p.ID, "waitingFor", missing)
		return false
	}
	request.Probe = false
	start := a.follower.gate.boot()
	missing := a.follower.unconfirmed(ctx, a.peers, a.fleet.Self(), voters, request)
	now, known := mustConfirm(a.fleet)
	missing = append(missing, lo.Without(now, voters...)...)
	if len(missing) > 0 || !known || a.follower.gate.boot()-start > roundLimit || !a.follower.holds(p) {
		klog.InfoS("confirm round failed", "proposal", p.ID, "round", p.Round, "missing", missing)
		a.append(ctx, &Entry{Kind: KindAbort, ID: uuid.NewString(), Author: a.fleet.Self(), Proposal: p.ID, Round: p.Round}, p)
		return false
	}
	return a.append(ctx, &Entry{Kind: KindAccept, ID: uuid.NewString(), Author: a.fleet.Self(), Proposal: p.ID, Round: p.Round}, p)
}

// append writes a record about p once and waits until the fold shows p decided or its round ended. It reports whether
// that was seen.
func (a *Acceptor) append(ctx context.Context, e *Entry, p *Proposal) bool {
	if _, err := a.log.Append(ctx, Stream, e); err != nil {
		klog.InfoS("append to the configuration log failed", "kind", e.Kind, "proposal", p.ID, "err", err)
		if !errors.Is(err, platformlog.ErrUnknownAppend) {
			return false
		}
	}
	timeout := a.clock.After(outcomeTimeout)
	for a.follower.holds(p) {
		_, changed := a.follower.View()
		if !a.follower.holds(p) {
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

// mustConfirm returns the VMs that must confirm a change: those on the list and those alive. known is false while the
// list has not been read.
func mustConfirm(f Fleet) (ids []string, known bool) {
	listed, known := f.Listed()
	ids = lo.Uniq(slices.Concat(listed, f.Alive(), []string{f.Self()}))
	slices.Sort(ids)
	return ids, known
}

// unconfirmed sends the request to all voters at once and returns those that did not confirm.
func (f *Follower) unconfirmed(ctx context.Context, peers Peers, self string, voters []string, r ConfirmRequest) []string {
	answers := askVoters(ctx, peers, self, voters, r, f.HandleConfirm)
	return lo.Filter(voters, func(_ string, i int) bool { return !answers[i].Confirmed })
}

// due returns the oldest pending proposal whose veto period has passed, or the time until there may be one.
func (f *Follower) due() (p *Proposal, wait time.Duration, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, wait := f.clock.Now(), time.Hour
	for _, candidate := range f.reader.state.Pending {
		if left := f.vetoEnd(candidate).Sub(now); left > 0 {
			wait = min(wait, left)
		} else if p == nil || candidate.Offset < p.Offset {
			p = candidate
		}
	}
	return p, wait, f.changed
}

// holds reports whether p is pending here in the same round.
func (f *Follower) holds(p *Proposal) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, ok := f.reader.state.Pending[p.ID]
	return ok && now.Round == p.Round
}
