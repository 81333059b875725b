package directory

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
)

func TestDirectory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "directory")
}

var _ = Describe("Follower", func() {
	var (
		manualClock *clock.Manual
		store       *fakeStore
		peers       *fakePeers
		state       *State
		follower    *Follower
		discovered  []Batch
	)
	a, b := Server{ID: "a", Service: "s", Address: "1", Slots: 3, Incarnation: 1, Sequence: 1},
		Server{ID: "b", Service: "s", Address: "2", Slots: 3, Incarnation: 1, Sequence: 1}
	BeforeEach(func() {
		manualClock = clock.NewManual(time.Unix(1_800_000_000, 0))
		store, peers = newFakeStore(), &fakePeers{}
		state = NewState(manualClock, testCodec{}, func(*View) {})
		discovered = nil
		follower = NewFollower(manualClock, state, store, peers, true, func(b Batch) { discovered = append(discovered, b) })
		follower.self, follower.started = "self", manualClock.Now()
		store.put(Configuration, "config", []byte("3"))
		store.putServer(a)
		store.putServer(b)
	})
	step := func() {
		if follower.readDue() {
			follower.readStore(context.Background())
		}
		state.removeLapsed()
	}
	usableIDs := func() []string {
		var ids []string
		for _, s := range state.View().ByService["s"] {
			ids = append(ids, s.ID)
		}
		return ids
	}
	advance := func(d time.Duration) { manualClock.Advance(d); step() }

	// Guards against a VM that is not ready after its first read, and against changes that are applied later than readInterval.
	It("has the configuration and the servers after the first read, and applies changes within the read interval", func() {
		step()
		Expect(state.Ready()).To(BeTrue())
		Expect(usableIDs()).To(Equal([]string{"a", "b"}))
		store.put(Configuration, "config", []byte("5"))
		leaving := b
		leaving.Leaving, leaving.Sequence = true, 2
		store.putServer(leaving)
		advance(500 * time.Millisecond)
		Expect(state.Table().Version).To(Equal(int64(3)))
		advance(600 * time.Millisecond)
		Expect(state.Table().Version).To(Equal(int64(5)))
		Expect(usableIDs()).To(Equal([]string{"a"}))
	})

	// Guards against an earlier configuration, from the store or from another VM, that replaces a later one.
	It("never reverts to an earlier configuration", func() {
		store.put(Configuration, "config", []byte("5"))
		step()
		store.put(Configuration, "config", []byte("4"))
		advance(1100 * time.Millisecond)
		Expect(state.Table().Version).To(Equal(int64(5)))
		state.ApplySnapshot(Snapshot{Digest: Digest{ConfigVersion: 4}, ConfigKey: "config", ConfigRecord: compress([]byte("4"))}, "vm")
		Expect(state.Table().Version).To(Equal(int64(5)))
	})

	// Guards against a server that is used by an earlier record than the newest one in the store, and against a record that cannot
	// be decoded.
	It("follows the newest record of a server that can be decoded, whichever start it is from", func() {
		restarted := a
		restarted.Incarnation, restarted.Sequence, restarted.Address = 9, 1, "7"
		store.putServer(restarted)
		step()
		Expect(state.View().Servers["a"].Address).To(Equal("7"))
		old := a
		old.Sequence = 50
		store.putServer(old)
		store.put(Servers, "b", []byte("{"))
		advance(1100 * time.Millisecond)
		Expect(state.View().Servers["a"].Address).To(Equal("1"), "the newest record in the store")
		Expect(usableIDs()).To(Equal([]string{"a", "b"}), "a record that cannot be decoded changes nothing")
		restarted.Sequence = 2
		store.putServer(restarted)
		advance(1100 * time.Millisecond)
		Expect(state.View().Servers["a"].Address).To(Equal("7"), "until the server writes again")
	})

	// Guards against the loss of servers whose records lapsed during an outage of the store.
	It("keeps servers whose records lapsed in an outage for the grace period, and removes those that do not register again", func() {
		step()
		store.setDown(true)
		for range 8 {
			advance(500 * time.Millisecond)
		}
		Expect(usableIDs()).To(Equal([]string{"a", "b"}), "an outage changes nothing")
		store.put(Servers, "a", nil)
		store.put(Servers, "b", nil)
		store.setDown(false)
		advance(time.Second)
		Expect(usableIDs()).To(Equal([]string{"a", "b"}))
		restored := a
		restored.Sequence = 9
		store.putServer(restored)
		advance(1100 * time.Millisecond)
		Expect(usableIDs()).To(Equal([]string{"a", "b"}))
		advance(1300 * time.Millisecond)
		Expect(usableIDs()).To(Equal([]string{"a"}))
	})

	// Guards against requests to a server whose record was removed while the store was reachable all the time.
	It("removes a server whose record is removed while the store is reachable", func() {
		step()
		store.put(Servers, "b", nil)
		advance(1100 * time.Millisecond)
		Expect(usableIDs()).To(Equal([]string{"a"}))
	})

	// Guards against a reader that misses changes when the store has dropped the records after its offset.
	It("reads everything again when records have expired", func() {
		step()
		store.put(Servers, "b", nil)
		store.firstOffset = 3
		advance(1100 * time.Millisecond)
		Expect(usableIDs()).To(Equal([]string{"a"}))
	})

	// Guards against all VMs reading the store: its calls are billed and their rate is limited.
	It("reads only when the VMs ranked before it have not", func() {
		step()
		reads := store.readCalls
		peers.rank = 2
		for i := range 20 {
			advance(200 * time.Millisecond)
			follower.ObserveDigest("reader", Digest{ConfigVersion: 3, ServersRevision: 2, ConfigNext: 1, ServersNext: 2, AgeMillis: 50,
				Reader: 7, Reading: int64(i + 1)})
		}
		Expect(store.readCalls).To(Equal(reads))
		for range 7 {
			advance(200 * time.Millisecond)
		}
		Expect(store.readCalls).To(BeNumerically(">", reads), "the reader no longer sends digests")
	})

	// Guards against an outage during which each VM makes one or two billed calls a second.
	It("calls an unreachable store once per attempt, and less often at the end of the ranking", func() {
		step()
		store.setDown(true)
		readsAtRank := func(rank int) int {
			peers.rank = rank
			before := store.readCalls
			for range 100 {
				advance(100 * time.Millisecond)
			}
			return store.readCalls - before
		}
		Expect(readsAtRank(0)).To(And(BeNumerically(">=", 9), BeNumerically("<=", 13)))
		Expect(readsAtRank(9)).To(BeNumerically("<=", 4))
	})

	// Guards against a VM that tries again rarely, with doubled timeouts, because of failures in an earlier outage.
	It("counts its failed reads anew when another VM has confirmed the state since", func() {
		step()
		store.setDown(true)
		for follower.failures < 4 {
			advance(100 * time.Millisecond)
		}
		reading := Digest{ConfigVersion: 3, ServersRevision: 2, ConfigNext: 1, ServersNext: 2, Reader: 7, Reading: 1}
		advance(100 * time.Millisecond)
		follower.ObserveDigest("reader", reading)
		manualClock.Advance(readInterval)
		Expect(follower.readDue()).To(BeTrue())
		step()
		Expect(follower.failures).To(Equal(1), "the reader was silent after one reading")
		Expect(follower.retryAt.Sub(manualClock.Now())).To(Equal(retryDelay))
		advance(retryDelay)
		Expect(follower.failures).To(Equal(2), "in the same outage")
		reading.Reading, reading.AgeMillis = 2, 10_000
		follower.ObserveDigest("reader", reading)
		advance(retryMax)
		Expect(follower.failures).To(Equal(3), "a confirmation from before the failure")
	})

	// Guards against a VM that cannot reach the store at its start and serves nothing although its peers have the state.
	It("applies the snapshot of another VM when the store does not answer", func() {
		other := NewState(manualClock, testCodec{}, func(*View) {})
		source := NewFollower(manualClock, other, store, &fakePeers{}, true, func(Batch) {})
		source.readStore(context.Background())
		store.setDown(true)
		peers.seeds, peers.snapshots = []string{"dead", "vm"}, map[string]Snapshot{"vm": other.Snapshot(Versions{})}
		step()
		Expect(state.Ready()).To(BeFalse(), "the seeds may send their state first")
		advance(800 * time.Millisecond)
		Expect(state.Ready()).To(BeTrue())
		Expect(state.Table().Version).To(Equal(int64(3)))
		Expect(usableIDs()).To(Equal([]string{"a", "b"}))
	})

	// Guards against several calls to the store by each VM when all VMs start at once.
	It("reads immediately as a seed, and registers in the store only at one of the first ranks of the region", func() {
		peers.seeds = []string{"self", "other"}
		step()
		Expect(state.Ready()).To(BeTrue())
		advance(1600 * time.Millisecond)
		peers.rank = 3
		follower.registerAndDiscover(context.Background())
		Expect(store.records[VMs]).To(BeEmpty())
		peers.rank = 2
		for range 2 {
			manualClock.Advance(registrationCheckInterval)
			follower.registerAndDiscover(context.Background())
		}
		Expect(store.records[VMs]).To(HaveLen(1))
		Expect(discovered).To(BeEmpty())
	})

	// Guards against a VM that finds no peer, because its seeds are gone, and balances on its own counts forever.
	It("reads the other VMs from the store while no peer is live", func() {
		store.put(VMs, "10.0.0.9:1", []byte("{}"))
		step()
		advance(1600 * time.Millisecond)
		follower.registerAndDiscover(context.Background())
		Expect(discovered).To(HaveLen(1))
		Expect(discovered[0].Records).To(ContainElement(HaveField("Key", "10.0.0.9:1")))
		follower.registerAndDiscover(context.Background())
		Expect(discovered).To(HaveLen(1))
	})

	// Guards against VM records that accumulate with each replaced VM and direct new VMs to dead addresses.
	It("rewrites its record after the interval, and removes stale records", func() {
		store.put(VMs, "gone", []byte(`{"writtenAt":1}`))
		store.put(VMs, "unreadable", []byte("{"))
		step()
		registeredVMs := func() (keys []string) {
			batch, err := store.Newest(context.Background(), VMs)
			Expect(err).NotTo(HaveOccurred())
			for _, r := range batch.Records {
				keys = append(keys, r.Key)
			}
			return keys
		}
		advance(1600 * time.Millisecond)
		follower.registerAndDiscover(context.Background())
		store.put(VMs, "young", fmt.Appendf(nil, `{"writtenAt":%d}`, manualClock.Now().Unix()))
		Expect(registeredVMs()).To(ConsistOf("gone", "unreadable", "self", "young"))
		advance(registrationInterval)
		follower.registerAndDiscover(context.Background())
		Expect(registeredVMs()).To(ConsistOf("self", "young"))
		written := len(store.records[VMs])
		follower.registerAndDiscover(context.Background())
		Expect(store.records[VMs]).To(HaveLen(written))
	})

	// Guards against refused callers after a power loss of all VMs, when each VM waits for the state of the others.
	It("waits for the state of the seeds for a shorter time when callers are already waiting", func() {
		follower = NewFollower(manualClock, state, store, peers, false, func(Batch) {})
		follower.self, follower.started = "self", manualClock.Now()
		peers.seeds = []string{"other"}
		step()
		Expect(state.Ready()).To(BeFalse())
		advance(50 * time.Millisecond)
		Expect(state.Ready()).To(BeTrue())
	})

	// Guards against a large configuration in each snapshot for a change of a server: on a grown deployment the transfers took
	// longer than the bound for a configuration change.
	It("sends only what is newer than the state of the other VM", func() {
		step()
		other := NewState(manualClock, testCodec{}, func(*View) {})
		full := state.Snapshot(Versions{})
		Expect(full.Since).To(BeZero())
		other.ApplySnapshot(full, "vm")
		store.put(Servers, "b", nil)
		store.putServer(Server{ID: "c", Service: "s", Address: "3", Slots: 3, Incarnation: 1, Sequence: 1})
		advance(1100 * time.Millisecond)
		digest := other.Digest()
		changes := state.Snapshot(Versions{ConfigVersion: digest.ConfigVersion, ServersRevision: digest.ServersRevision})
		Expect(changes.ConfigRecord).To(BeEmpty())
		Expect(changes.Servers).To(HaveLen(1))
		Expect(changes.Removed).To(Equal([]string{"b"}))
		other.ApplySnapshot(changes, "vm")
		Expect(other.View().ByService["s"]).To(HaveLen(2))
		Expect(other.Digest().ServersRevision).To(Equal(state.Digest().ServersRevision))
		behind := NewState(manualClock, testCodec{}, func(*View) {})
		behind.ApplySnapshot(changes, "vm")
		Expect(behind.View().ByService["s"]).To(BeEmpty(), "changes since a revision that was not reached leave a gap")
		Expect(state.Snapshot(Versions{ConfigVersion: 3, ServersRevision: 1}).Since).To(BeZero(),
			"revision before the start of the history")
	})

	// Guards against a VM that uses a server again that has left, or a configuration that was replaced, because it starts from the
	// state of a VM that has been cut off from the store since.
	It("does not bring back what is gone after a restart beside a VM with an old state", func() {
		step()
		cutOff := NewState(manualClock, testCodec{}, func(*View) {})
		cutOff.ApplySnapshot(state.Snapshot(Versions{}), "vm")
		store.put(Servers, "b", nil)
		advance(1100 * time.Millisecond)
		present := state.Digest()
		Expect(state.View().Servers).NotTo(HaveKey("b"))

		restarted := NewState(manualClock, testCodec{}, func(*View) {})
		follower = NewFollower(manualClock, restarted, store, peers, false, func(Batch) {})
		follower.started = manualClock.Now()
		restarted.ApplySnapshot(cutOff.Snapshot(Versions{}), "cut off")
		Expect(restarted.View().Servers).To(HaveKey("b"))
		Expect(follower.readDue()).To(BeTrue(), "the state is older than the read interval")
		follower.readStore(context.Background())
		for range 3 {
			Expect(restarted.View().Servers).NotTo(HaveKey("b"))
			Expect(restarted.Digest().ConfigVersion).To(Equal(present.ConfigVersion))
			follower.ObserveDigest("cut off", cutOff.Digest())
			Expect(follower.newerPeers).To(BeEmpty())
			restarted.ApplySnapshot(cutOff.Snapshot(Versions{}), "cut off")
			manualClock.Advance(300 * time.Millisecond)
		}
	})

	// Guards against VMs that forward the age of one reading to each other repeatedly: each time the transit time of the
	// datagram was lost, and a region with slow VMs treated an old state as fresh for longer than the bound for a change.
	It("does not lower its age when it receives the same reading again", func() {
		step()
		peers.rank = 1
		first := state.Digest()
		other := NewState(manualClock, testCodec{}, func(*View) {})
		other.ApplySnapshot(state.Snapshot(Versions{}), "vm")
		for range 8 {
			// Each digest is 150 ms in transit.
			digest := other.Digest()
			manualClock.Advance(150 * time.Millisecond)
			follower.ObserveDigest("other", digest)
			reply := state.Digest()
			manualClock.Advance(150 * time.Millisecond)
			other.ObserveDigest(reply)
		}
		age, _ := state.Age()
		Expect(age).To(BeNumerically(">=", 2300*time.Millisecond), "first %+v", first)
	})

	// Guards against a VM that requests the same snapshot at each heartbeat.
	It("requests snapshots only from VMs with a newer state", func() {
		step()
		follower.ObserveDigest("same", state.Digest())
		follower.ObserveDigest("behind", Digest{ConfigVersion: 2})
		Expect(follower.newerPeers).To(BeEmpty())
		follower.ObserveDigest("ahead", Digest{ConfigVersion: 4})
		Expect(follower.newerPeers).To(HaveLen(1))
	})

	// Guards against every VM of a large region reading the whole store over the link between regions after a power loss.
	It("leaves the first read after a start to the VMs ranked before it", func() {
		follower = NewFollower(manualClock, state, store, peers, false, func(Batch) {})
		follower.self, follower.started = "self", manualClock.Now()
		peers.seeds, peers.rank = []string{"other"}, 3
		step()
		advance(300 * time.Millisecond)
		Expect(state.Ready()).To(BeFalse())
		advance(500 * time.Millisecond)
		Expect(state.Ready()).To(BeTrue(), "the VMs ranked before it send nothing")
	})

	// Guards against changes that are delayed until the next regular heartbeat of the VM that has read them.
	It("triggers a heartbeat after a read with changes, and none after a read without", func() {
		step()
		Expect(peers.sendDigestNowCalls).To(Equal(1))
		advance(1100 * time.Millisecond)
		Expect(peers.sendDigestNowCalls).To(Equal(1))
		store.put(Configuration, "config", []byte("5"))
		advance(1100 * time.Millisecond)
		Expect(peers.sendDigestNowCalls).To(Equal(2))
	})

	// Guards against all VMs of a data centre fetching the same change from the reader in another data centre.
	It("picks a VM of its data centre if others relay changes, and the reader if none of them announces the change in time", func() {
		peers.relayedByOthers, peers.sameDataCentre = true, []string{"near"}
		follower.newerPeers <- "reader2"
		follower.newerPeers <- "near"
		Expect(follower.awaitPeerInDataCentre(context.Background(), "reader")).To(Equal("near"))
		follower.newerPeers <- "reader"
		follower.newerPeers <- "near"
		Expect(follower.pickPeer("reader")).To(Equal("near"))
		done := make(chan string)
		go func() { done <- follower.awaitPeerInDataCentre(context.Background(), "reader") }()
		Eventually(func() bool {
			manualClock.Advance(relayTimeout)
			select {
			case picked := <-done:
				return picked == "reader"
			default:
				return false
			}
		}).Should(BeTrue())
	})
})
