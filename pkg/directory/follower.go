package directory

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
)

const (
	// readInterval is the age of the state at which the first VM of the region reads the store again.
	readInterval = time.Second
	// standbyDelay is the additional age at which the VM of the next rank reads the store in place of the first. Each further
	// rank adds standbyStep, and those after the first primaryReaders add lowRankStandbyStep. All VMs have read by
	// readInterval + standbyDelay + standbyMax.
	standbyDelay       = 300 * time.Millisecond
	standbyStep        = 100 * time.Millisecond
	lowRankStandbyStep = 15 * time.Millisecond
	standbyMax         = 700 * time.Millisecond
	// readTimeout bounds one call to the store. It also detects a connection that no longer delivers data.
	readTimeout = 500 * time.Millisecond
	// retryDelay is the delay after the first failed read. It doubles with each failure up to retryMax. The VMs after the
	// first primaryReaders of the region always wait for lowRankRetryDelay, because each call is billed, even one that the
	// store refuses.
	retryDelay        = 200 * time.Millisecond
	retryMax          = time.Second
	lowRankRetryDelay = 3 * time.Second
	primaryReaders    = 4
	// firstStartSeedTimeout and restartSeedTimeout are how long a VM with seeds waits for their state before it reads the
	// store itself. The first applies when the whole system starts for the first time, while no caller waits yet, the second
	// at any other start.
	firstStartSeedTimeout = 700 * time.Millisecond
	restartSeedTimeout    = 40 * time.Millisecond
	// ageCheckInterval is how often the follower checks the age of the state once the store may have to be read, and
	// maxAgeCheckInterval how often at other times, when it wakes for lapsed servers only.
	ageCheckInterval    = 20 * time.Millisecond
	maxAgeCheckInterval = 100 * time.Millisecond
)

var (
	storeReads    = metrics.NewCounter(`hornbeamway_store_reads_total`)
	storeFailures = metrics.NewCounter(`hornbeamway_store_read_failures_total`)
)

// Peers provides the rank of this VM and access to the other entry VMs.
type Peers interface {
	// ReadRank returns the number of live VMs of the region that read the store before this one.
	ReadRank() int
	// IsRelay reports whether this VM fetches changes from other data centres.
	IsRelay() bool
	// InSameDataCentre reports whether the VM at an address is in the data centre of this one.
	InSameDataCentre(address string) bool
	// SendDigestNow sends the digest of this VM to its peers immediately.
	SendDigestNow()
	// Snapshot requests from another VM what is newer than the given versions.
	Snapshot(ctx context.Context, address string, versions Versions) (Snapshot, error)
	// Isolated reports whether no other VM of the region is live.
	Isolated() bool
	// Seeds returns the addresses of VMs that may have a snapshot, for a VM that cannot reach the store.
	Seeds() []string
}

// Follower keeps a State up to date from the store and from other VMs.
type Follower struct {
	clock clock.Clock
	state *State
	store Store
	peers Peers
	// newerPeers receives the addresses of VMs with a newer state. It is bounded; addresses that do not fit are dropped.
	newerPeers chan string
	// addPeers is called with the VM records each time they are read because no peer of the region is live.
	addPeers func(Batch)

	// self is the address of this VM, started its start time, and seedTimeout how long it waits for the state of its seeds.
	self        string
	started     time.Time
	seedTimeout time.Duration
	// lastRead is the time of the last successful read of the store in Unix nanoseconds, 0 if there was none.
	lastRead atomic.Int64
	// failures is the number of failed reads since the store last confirmed the state, to this VM or another one. failedAt is the
	// time of the last of them.
	failures          int
	failedAt, retryAt time.Time
	// serversFirst is the order of the topics after a failure: the topic that could be read comes first.
	serversFirst bool
	// statedEra is the latest era that the last reading has stated. If it is later than the known one, all records have to be read.
	statedEra int64
	// registeredAt is when this VM last registered in the store, lastDiscovery when it last read the VM records because no
	// peer was live.
	registeredAt, lastDiscovery time.Time
	// registeredEra is the era of the store in which this VM has last checked its registration.
	registeredEra int64
	// nextRegistrationCheck is the earliest time of the next check whether to register or to discover other VMs.
	nextRegistrationCheck time.Time
}

// NewFollower returns a follower. addPeers receives the records of entry VMs that were read from the store. firstStart means
// that the whole system starts for the first time.
func NewFollower(c clock.Clock, state *State, store Store, peers Peers, firstStart bool, addPeers func(Batch)) *Follower {
	f := &Follower{clock: c, state: state, store: store, peers: peers, addPeers: addPeers,
		seedTimeout: restartSeedTimeout, newerPeers: make(chan string, newerPeersCapacity)}
	if firstStart {
		f.seedTimeout = firstStartSeedTimeout
	}
	return f
}

// Run keeps the state up to date until ctx ends. self is the address at which other VMs reach this one.
func (f *Follower) Run(ctx context.Context, self string) {
	f.self, f.started = self, f.clock.Now()
	go f.fetchSnapshots(ctx)
	go f.noteRunning(ctx)
	for ctx.Err() == nil {
		if f.readDue() {
			f.readStore(ctx)
		}
		f.registerAndDiscover(ctx)
		f.state.endTemporaryStates()
		select {
		case <-ctx.Done():
		case <-f.clock.After(f.untilNextCheck()):
		}
	}
}

// noteRunning notes regularly that this VM runs, until ctx ends. Run itself may wait for the store for seconds.
func (f *Follower) noteRunning(ctx context.Context) {
	for ctx.Err() == nil {
		f.state.noteRunning()
		f.sleep(ctx, runningInterval)
	}
}

// untilNextCheck returns the time until the age of the state is checked again.
func (f *Follower) untilNextCheck() time.Duration {
	age, ok := f.state.Age()
	if !ok {
		return ageCheckInterval
	}
	return max(ageCheckInterval, min(maxAgeCheckInterval, readInterval-age))
}

// readDue reports whether this VM must read the store now.
func (f *Follower) readDue() bool {
	if f.clock.Now().Before(f.retryAt) {
		return false
	}
	age, ok := f.state.Age()
	if !ok {
		elapsed := f.clock.Now().Sub(f.started)
		return f.readsFirst() || elapsed >= f.seedTimeout && elapsed >= f.seedTimeout+f.standbyTime()
	}
	return age >= readInterval && age >= readInterval+f.standbyTime()
}

// standbyTime returns how long this VM waits for the VMs ranked before it to read the store.
func (f *Follower) standbyTime() time.Duration {
	rank := f.peers.ReadRank()
	if rank <= 0 {
		return 0
	}
	primaries := min(rank-1, primaryReaders)
	return standbyDelay + min(standbyMax, time.Duration(primaries)*standbyStep+time.Duration(rank-1-primaries)*lowRankStandbyStep)
}

// readsFirst reports whether this VM reads the store at its start without waiting: it is a seed, for which the other VMs
// wait, or there are no seeds.
func (f *Follower) readsFirst() bool {
	seeds := f.peers.Seeds()
	return len(seeds) == 0 || slices.Contains(seeds, f.self)
}

// ReadRecently reports whether this VM has read the store within the last two read intervals.
func (f *Follower) ReadRecently() bool {
	at := f.lastRead.Load()
	return at != 0 && f.clock.Now().UnixNano()-at < int64(2*readInterval)
}

// readStore updates the state from the store. After a failure it schedules a retry, and fetches a snapshot from a seed if
// the store has never confirmed the state or an earlier read failed too.
func (f *Follower) readStore(ctx context.Context) {
	f.resetFailures()
	started, previous := f.clock.Now(), f.state.Digest()
	timeout := readTimeout
	if f.failures > 0 {
		timeout *= 2 // after a failure the topics are read one after the other
	}
	era, err := f.readAll(ctx, timeout)
	if f.state.Digest().newerThan(previous) {
		f.peers.SendDigestNow()
	}
	if err == nil {
		f.state.confirmRead(started, era)
		if f.failures > 0 {
			klog.InfoS("store is reachable again", "failures", f.failures)
		}
		f.failures, f.retryAt = 0, time.Time{}
		f.lastRead.Store(f.clock.Now().UnixNano())
		return
	}
	f.recordFailure(err)
	if _, confirmed := f.state.Age(); !confirmed || f.failures > 1 {
		f.fetchFromSeeds(ctx)
	}
}

// resetFailures resets the count of failed reads if another VM has read the store since the last one: the outage has ended.
func (f *Follower) resetFailures() {
	age, confirmed := f.state.Age()
	if f.failures == 0 || !confirmed || age >= f.clock.Now().Sub(f.failedAt) {
		return
	}
	klog.InfoS("store has been reachable from another VM", "failures", f.failures, "age", age)
	f.failures = 0
}

// recordFailure counts a failed read and schedules the next one.
func (f *Follower) recordFailure(err error) {
	storeFailures.Inc()
	f.failures++
	f.failedAt = f.clock.Now()
	delay := min(retryMax, retryDelay<<min(f.failures-1, 4))
	if f.peers.ReadRank() >= primaryReaders {
		delay = lowRankRetryDelay
	}
	f.retryAt = f.failedAt.Add(delay)
	age, confirmed := f.state.Age()
	klog.InfoS("failed to read the store; retrying", "err", err, "failures", f.failures, "retryIn", delay, "known", confirmed,
		"age", age)
}
