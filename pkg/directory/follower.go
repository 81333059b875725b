package directory

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
)

const (
	// readInterval is the age of what is known at which the first VM of the region reads the store again.
	readInterval = time.Second
	// standbyDelay is the further age at which the next VM in order takes the reading over, and standbyStep what each one
	// behind it adds; for those behind the first few it is farStep. All have read by readInterval + standbyDelay + standbyMax.
	standbyDelay = 300 * time.Millisecond
	standbyStep  = 100 * time.Millisecond
	farStep      = 15 * time.Millisecond
	standbyMax   = 700 * time.Millisecond
	// readTimeout bounds one call to the store. A connection that has gone silent is noticed by it.
	readTimeout = 500 * time.Millisecond
	// retryDelay is the first wait after a failed read; it doubles with each failure up to retryMax. The VMs behind the first
	// firstReaders of the region wait for farRetryDelay each time: each call is paid for, also one that the store refuses.
	retryDelay    = 200 * time.Millisecond
	retryMax      = time.Second
	farRetryDelay = 3 * time.Second
	firstReaders  = 4
	// firstWait and seedWait are how long a VM that has seeds waits for what they know before it reads the store itself: when
	// the whole system starts for the first time, and no caller waits yet, and at any other start.
	firstWait = 700 * time.Millisecond
	seedWait  = 40 * time.Millisecond
	// checkInterval is how often the age is looked at.
	checkInterval = 20 * time.Millisecond
	// spreadTime is the time within which the VMs that are behind ask one that is not, and relayWait how long a VM whose data
	// centre has others for that waits until one of them has it.
	spreadTime = 60 * time.Millisecond
	relayWait  = 250 * time.Millisecond
	// handOnTimeout bounds the transfer of a snapshot between two VMs.
	handOnTimeout = 500 * time.Millisecond
)

var (
	storeReads    = metrics.NewCounter(`hornbeamway_store_reads_total`)
	storeFailures = metrics.NewCounter(`hornbeamway_store_read_failures_total`)
	handOns       = metrics.NewCounter(`hornbeamway_directory_snapshots_taken_total`)
)

// Peers finds and asks other VMs.
type Peers interface {
	// Rank returns the number of live VMs of the region that read the store before this one.
	Rank() int
	// Relays reports whether this VM fetches what is new from other data centres.
	Relays() bool
	// Near reports whether the VM at an address is in the data centre of this one.
	Near(address string) bool
	// Hasten tells the other VMs at once what this one knows.
	Hasten()
	// Snapshot asks another VM for what it knows beyond known.
	Snapshot(ctx context.Context, address string, known Known) (Snapshot, error)
	// Alone reports whether no other VM of the region is heard.
	Alone() bool
	// Seeds returns the addresses of VMs that may know something, for a VM that cannot reach the store.
	Seeds() []string
}

// Follower keeps a State up to date.
type Follower struct {
	clock clock.Clock
	state *State
	store Store
	peers Peers
	// later receives the addresses of VMs that know something later; it is bounded, and drops what does not fit.
	later chan string
	// joined is called once with the records of VMs after the first contact with the store.
	joined func(Batch)

	// self is the address of this VM, started the time of its start.
	self      string
	started   time.Time
	startWait time.Duration
	// lastRead is the last time at which the store answered this VM.
	lastRead atomic.Int64
	failures int
	nextTry  time.Time
	// announcedAt is when this VM last listed itself in the store, and askedVMs when it last asked for the others.
	announcedAt, askedVMs time.Time
}

// laterVMs is the number of VMs with later knowledge that wait to be asked. One answer serves for all of them.
const laterVMs = 8

// NewFollower returns a follower. joined receives the addresses of the other VMs. firstStart says that the whole system
// starts for the first time.
func NewFollower(c clock.Clock, state *State, store Store, peers Peers, firstStart bool, joined func(Batch)) *Follower {
	f := &Follower{clock: c, state: state, store: store, peers: peers, joined: joined, startWait: seedWait, later: make(chan string, laterVMs)}
	if firstStart {
		f.startWait = firstWait
	}
	return f
}

// Observe takes the digest of the VM at an address.
func (f *Follower) Observe(address string, d Digest) {
	if !f.state.Observe(d) {
		return
	}
	select {
	case f.later <- address:
	default: // The VMs that wait know as much, or tell again with their next digest.
	}
}

// Run follows the store until ctx ends. self is the address at which other VMs reach this one.
func (f *Follower) Run(ctx context.Context, self string) {
	f.self, f.started = self, f.clock.Now()
	go f.takeOver(ctx)
	for ctx.Err() == nil {
		if f.due() {
			f.read(ctx)
		}
		f.announce(ctx)
		f.state.tick()
		select {
		case <-ctx.Done():
		case <-f.clock.After(checkInterval):
		}
	}
}

// due reports whether this VM must read the store now.
func (f *Follower) due() bool {
	if f.clock.Now().Before(f.nextTry) {
		return false
	}
	age, ok := f.state.Age()
	if !ok {
		passed := f.clock.Now().Sub(f.started)
		return f.seeded() || passed >= f.startWait && passed >= f.startWait+f.standby()
	}
	return age >= readInterval && age >= readInterval+f.standby()
}

// standby is how long this VM leaves the reading to those before it.
func (f *Follower) standby() time.Duration {
	rank := f.peers.Rank()
	if rank <= 0 {
		return 0
	}
	near := min(rank-1, firstReaders)
	return standbyDelay + min(standbyMax, time.Duration(near)*standbyStep+time.Duration(rank-1-near)*farStep)
}

// seeded reports whether the others wait for this VM to read the store first, or there are no others.
func (f *Follower) seeded() bool {
	seeds := f.peers.Seeds()
	return len(seeds) == 0 || slices.Contains(seeds, f.self)
}

// Reads reports whether this VM has read the store lately.
func (f *Follower) Reads() bool {
	at := f.lastRead.Load()
	return at != 0 && f.clock.Now().UnixNano()-at < int64(2*readInterval)
}

// read brings the state up to date from the store.
func (f *Follower) read(ctx context.Context) {
	started, before := f.clock.Now(), f.state.Digest()
	limit := readTimeout
	if f.failures > 0 {
		limit *= 2 // the topics are read one after the other
	}
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := f.readAll(callCtx)
	if err == nil {
		f.state.confirm(started)
		if f.failures > 0 {
			klog.InfoS("store reachable again", "failures", f.failures)
		}
		f.failures, f.nextTry = 0, time.Time{}
		f.lastRead.Store(f.clock.Now().UnixNano())
		if f.state.Digest().later(before) {
			f.peers.Hasten()
		}
		return
	}
	storeFailures.Inc()
	f.failures++
	wait := min(retryMax, retryDelay<<min(f.failures-1, 4))
	if f.peers.Rank() >= firstReaders {
		wait = farRetryDelay
	}
	f.nextTry = f.clock.Now().Add(wait)
	age, known := f.state.Age()
	klog.InfoS("store not read", "err", err, "failures", f.failures, "retryIn", wait, "known", known, "age", age)
	if !known || f.failures > 1 {
		f.askSeeds(ctx)
	}
}

// readAll reads both topics, at the same time unless the store did not answer before.
func (f *Follower) readAll(ctx context.Context) error {
	d := f.state.Digest()
	var config, servers Batch
	var wholeServers bool
	group, ctx := errgroup.WithContext(ctx)
	if f.failures > 0 {
		group.SetLimit(1)
	}
	group.Go(func() (err error) {
		config, _, err = f.readTopic(ctx, Configuration, d.ConfigNext, d.ConfigVersion != 0)
		return err
	})
	group.Go(func() (err error) {
		if err := ctx.Err(); err != nil {
			return err
		}
		servers, wholeServers, err = f.readTopic(ctx, Servers, d.ServersNext, d.AgeMillis >= 0)
		return err
	})
	if err := group.Wait(); err != nil {
		return err
	}
	f.state.beginReturn()
	f.state.applyConfiguration(config)
	f.state.applyServers(servers, wholeServers)
	return nil
}

// readTopic reads on from an offset, or everything if the records have expired or nothing is known.
func (f *Follower) readTopic(ctx context.Context, topic Topic, from int64, known bool) (b Batch, whole bool, err error) {
	if known {
		storeReads.Inc()
		b, err = f.store.Read(ctx, topic, from)
		if !errors.Is(err, ErrExpired) {
			return b, false, err
		}
		klog.InfoS("records have expired; reading the newest of each key", "topic", topic, "from", from)
	}
	storeReads.Inc()
	b, err = f.store.Newest(ctx, topic)
	return b, true, err
}

// askSeeds takes over what other VMs know, for a VM that cannot reach the store.
func (f *Follower) askSeeds(ctx context.Context) {
	for _, address := range f.peers.Seeds() {
		if f.ask(ctx, address) {
			return
		}
	}
}

// takeOver asks VMs that know something later. It waits a moment and picks one of those that have told by then, so that not
// all VMs ask the one that read the store.
func (f *Follower) takeOver(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-f.later:
			if !f.peers.Relays() {
				first = f.awaitNear(ctx, first)
			}
			if f.state.Known() {
				f.wait(ctx, time.Duration(rand.Int64N(int64(spreadTime))))
			}
			f.ask(ctx, f.pickLater(first))
		}
	}
}

func (f *Follower) wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.clock.After(d):
	}
}

// awaitNear returns the first VM of this data centre that tells, or the given one if none does in time.
func (f *Follower) awaitNear(ctx context.Context, first string) string {
	late := f.clock.After(relayWait)
	for next := first; ; {
		if f.peers.Near(next) {
			return next
		}
		select {
		case <-ctx.Done():
			return first
		case <-late:
			return first
		case next = <-f.later:
		}
	}
}

// pickLater returns first or one of the VMs that wait to be asked, one of this data centre if there are any, and drops the
// others: those that still know more after the answer tell again.
func (f *Follower) pickLater(first string) string {
	told := []string{first}
	for len(f.later) > 0 {
		told = append(told, <-f.later)
	}
	near := lo.Filter(told, func(address string, _ int) bool { return f.peers.Near(address) })
	if len(near) > 0 {
		told = near
	}
	return told[rand.IntN(len(told))]
}

func (f *Follower) ask(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, handOnTimeout)
	defer cancel()
	d := f.state.Digest()
	snap, err := f.peers.Snapshot(ctx, address, Known{ConfigVersion: d.ConfigVersion, ServersRevision: d.ServersRevision})
	if err != nil {
		klog.InfoS("no snapshot from another VM", "vm", address, "err", err)
		return false
	}
	handOns.Inc()
	f.state.Adopt(snap, address)
	if f.state.Digest().later(d) && f.peers.Relays() {
		f.peers.Hasten()
	}
	return snap.ConfigVersion > 0
}
