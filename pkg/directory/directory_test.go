package directory

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDirectory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "directory")
}

var _ = Describe("Follower", func() {
	var f *followerFixture
	BeforeEach(func() { f = newFollowerFixture() })

	// Guards against a VM that is not ready after its first read, and against changes that are applied later than readInterval.
	It("has the configuration and the servers after the first read, and applies changes within the read interval", func() {
		f.step()
		Expect(f.state.Ready()).To(BeTrue())
		Expect(f.usableIDs()).To(Equal([]string{"a", "b"}))
		f.store.put(Configuration, "config", []byte("5"))
		leaving := serverB
		leaving.Leaving, leaving.Sequence = true, 2
		f.store.putServer(leaving)
		f.advance(500 * time.Millisecond)
		Expect(f.state.Table().Version).To(Equal(int64(3)))
		f.advance(600 * time.Millisecond)
		Expect(f.state.Table().Version).To(Equal(int64(5)))
		Expect(f.usableIDs()).To(Equal([]string{"a"}))
	})

	// Guards against an earlier configuration, from the store or from another VM, that replaces a later one.
	It("never reverts to an earlier configuration", func() {
		f.store.put(Configuration, "config", []byte("5"))
		f.step()
		f.store.put(Configuration, "config", []byte("4"))
		f.advance(1100 * time.Millisecond)
		Expect(f.state.Table().Version).To(Equal(int64(5)))
		f.state.ApplySnapshot(Snapshot{Digest: Digest{ConfigVersion: 4}, ConfigKey: "config", ConfigRecord: compress([]byte("4"))}, "vm")
		Expect(f.state.Table().Version).To(Equal(int64(5)))
	})

	// Guards against a server that is used by an earlier record than the newest one in the store, and against a record that cannot
	// be decoded.
	It("follows the newest record of a server that can be decoded, whichever start it is from", func() {
		restarted := serverA
		restarted.Incarnation, restarted.Sequence, restarted.Address = 9, 1, "7"
		f.store.putServer(restarted)
		f.step()
		Expect(f.state.View().Servers["a"].Address).To(Equal("7"))
		old := serverA
		old.Sequence = 50
		f.store.putServer(old)
		f.store.put(Servers, "b", []byte("{"))
		f.advance(1100 * time.Millisecond)
		Expect(f.state.View().Servers["a"].Address).To(Equal("1"), "the newest record in the store")
		Expect(f.usableIDs()).To(Equal([]string{"a", "b"}), "a record that cannot be decoded changes nothing")
		restarted.Sequence = 2
		f.store.putServer(restarted)
		f.advance(1100 * time.Millisecond)
		Expect(f.state.View().Servers["a"].Address).To(Equal("7"), "until the server writes again")
	})

	// Guards against the loss of servers whose records lapsed during an outage of the store.
	It("keeps servers whose records lapsed in an outage for the grace period, and removes those that do not register again", func() {
		f.step()
		f.store.setDown(true)
		for range 8 {
			f.advance(500 * time.Millisecond)
		}
		Expect(f.usableIDs()).To(Equal([]string{"a", "b"}), "an outage changes nothing")
		f.store.put(Servers, "a", nil)
		f.store.put(Servers, "b", nil)
		f.store.setDown(false)
		f.advance(time.Second)
		Expect(f.usableIDs()).To(Equal([]string{"a", "b"}))
		restored := serverA
		restored.Sequence = 9
		f.store.putServer(restored)
		f.advance(1100 * time.Millisecond)
		Expect(f.usableIDs()).To(Equal([]string{"a", "b"}))
		f.advance(1300 * time.Millisecond)
		Expect(f.usableIDs()).To(Equal([]string{"a"}))
	})

	// Guards against requests to a server whose record was removed while the store was reachable all the time.
	It("removes a server whose record is removed while the store is reachable", func() {
		f.step()
		f.store.put(Servers, "b", nil)
		f.advance(1100 * time.Millisecond)
		Expect(f.usableIDs()).To(Equal([]string{"a"}))
	})

	// Guards against a reader that misses changes when the store has dropped the records after its offset.
	It("reads everything again when records have expired", func() {
		f.step()
		f.store.put(Servers, "b", nil)
		f.store.firstOffset = 3
		f.advance(1100 * time.Millisecond)
		Expect(f.usableIDs()).To(Equal([]string{"a"}))
	})

	// Guards against a VM that can never read the store again once it is so far behind that the changes do not fit into its memory.
	It("reads the newest records when there are too many changes", func() {
		f.step()
		f.store.maxRecords = 1
		for range 3 {
			f.store.put(Servers, "b", nil)
		}
		f.advance(1100 * time.Millisecond)
		Expect(f.usableIDs()).To(Equal([]string{"a"}))
	})

	// Guards against all VMs reading the store: its calls are billed and their rate is limited.
	It("reads only when the VMs ranked before it have not", func() {
		f.step()
		reads := f.store.readCalls
		f.peers.rank = 2
		for i := range 20 {
			f.advance(200 * time.Millisecond)
			f.follower.ObserveDigest("reader", Digest{ConfigVersion: 3, ServersRevision: 2, ConfigNext: 1, ServersNext: 2, AgeMillis: 50,
				Reader: 7, Reading: int64(i + 1)})
		}
		Expect(f.store.readCalls).To(Equal(reads))
		for range 7 {
			f.advance(200 * time.Millisecond)
		}
		Expect(f.store.readCalls).To(BeNumerically(">", reads), "the reader no longer sends digests")
	})

	// Guards against an outage during which each VM makes one or two billed calls a second.
	It("calls an unreachable store once per attempt, and less often at the end of the ranking", func() {
		f.step()
		f.store.setDown(true)
		readsAtRank := func(rank int) int {
			f.peers.rank = rank
			before := f.store.readCalls
			for range 100 {
				f.advance(100 * time.Millisecond)
			}
			return f.store.readCalls - before
		}
		Expect(readsAtRank(0)).To(And(BeNumerically(">=", 9), BeNumerically("<=", 13)))
		Expect(readsAtRank(9)).To(BeNumerically("<=", 4))
	})

	// Guards against a VM that tries again rarely, with doubled timeouts, because of failures in an earlier outage.
	It("counts its failed reads anew when another VM has confirmed the state since", func() {
		f.step()
		f.store.setDown(true)
		for f.follower.failures < 4 {
			f.advance(100 * time.Millisecond)
		}
		reading := Digest{ConfigVersion: 3, ServersRevision: 2, ConfigNext: 1, ServersNext: 2, Reader: 7, Reading: 1}
		f.advance(100 * time.Millisecond)
		f.follower.ObserveDigest("reader", reading)
		f.manualClock.Advance(readInterval)
		Expect(f.follower.readDue()).To(BeTrue())
		f.step()
		Expect(f.follower.failures).To(Equal(1), "the reader was silent after one reading")
		Expect(f.follower.retryAt.Sub(f.manualClock.Now())).To(Equal(retryDelay))
		f.advance(retryDelay)
		Expect(f.follower.failures).To(Equal(2), "in the same outage")
		reading.Reading, reading.AgeMillis = 2, 10_000
		f.follower.ObserveDigest("reader", reading)
		f.advance(retryMax)
		Expect(f.follower.failures).To(Equal(3), "a confirmation from before the failure")
	})

	// Guards against refused callers after a power loss of all VMs, when each VM waits for the state of the others.
	It("waits for the state of the seeds for a shorter time when callers are already waiting", func() {
		f.follower = NewFollower(f.manualClock, f.state, f.store, f.peers, false, func(Batch) {})
		f.follower.self, f.follower.started = "self", f.manualClock.Now()
		f.peers.seeds = []string{"other"}
		f.step()
		Expect(f.state.Ready()).To(BeFalse())
		f.advance(50 * time.Millisecond)
		Expect(f.state.Ready()).To(BeTrue())
	})

	// Guards against every VM of a large region reading the whole store over the link between regions after a power loss.
	It("leaves the first read after a start to the VMs ranked before it", func() {
		f.follower = NewFollower(f.manualClock, f.state, f.store, f.peers, false, func(Batch) {})
		f.follower.self, f.follower.started = "self", f.manualClock.Now()
		f.peers.seeds, f.peers.rank = []string{"other"}, 3
		f.step()
		f.advance(300 * time.Millisecond)
		Expect(f.state.Ready()).To(BeFalse())
		f.advance(500 * time.Millisecond)
		Expect(f.state.Ready()).To(BeTrue(), "the VMs ranked before it send nothing")
	})

	// Guards against changes that are delayed until the next regular heartbeat of the VM that has read them.
	It("triggers a heartbeat after a read with changes, and none after a read without", func() {
		f.step()
		Expect(f.peers.sendDigestNowCalls).To(Equal(1))
		f.advance(1100 * time.Millisecond)
		Expect(f.peers.sendDigestNowCalls).To(Equal(1))
		f.store.put(Configuration, "config", []byte("5"))
		f.advance(1100 * time.Millisecond)
		Expect(f.peers.sendDigestNowCalls).To(Equal(2))
	})
})
