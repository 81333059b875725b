package directory

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Follower", func() {
	var f *followerFixture
	BeforeEach(func() { f = newFollowerFixture() })

	// Guards against a VM that cannot reach the store at its start and serves nothing although its peers have the state.
	It("applies the snapshot of another VM when the store does not answer", func() {
		other := NewState(f.manualClock, testCodec{}, func(*View) {})
		source := NewFollower(f.manualClock, other, f.store, &fakePeers{}, true, func(Batch) {})
		source.readStore(context.Background())
		f.store.setDown(true)
		f.peers.seeds, f.peers.snapshots = []string{"dead", "vm"}, map[string]Snapshot{"vm": other.Snapshot(Versions{})}
		f.step()
		Expect(f.state.Ready()).To(BeFalse(), "the seeds may send their state first")
		f.advance(800 * time.Millisecond)
		Expect(f.state.Ready()).To(BeTrue())
		Expect(f.state.Table().Version).To(Equal(int64(3)))
		Expect(f.usableIDs()).To(Equal([]string{"a", "b"}))
	})

	// Guards against a large configuration in each snapshot for a change of a server: on a grown deployment the transfers took
	// longer than the bound for a configuration change.
	It("sends only what is newer than the state of the other VM", func() {
		f.step()
		other := NewState(f.manualClock, testCodec{}, func(*View) {})
		full := f.state.Snapshot(Versions{})
		Expect(full.Since).To(BeZero())
		other.ApplySnapshot(full, "vm")
		f.store.put(Servers, "b", nil)
		f.store.putServer(Server{ID: "c", Service: "s", Address: "3", Slots: 3, Incarnation: 1, Sequence: 1})
		f.advance(1100 * time.Millisecond)
		digest := other.Digest()
		changes := f.state.Snapshot(Versions{ConfigVersion: digest.ConfigVersion, ServersRevision: digest.ServersRevision})
		Expect(changes.ConfigRecord).To(BeEmpty())
		Expect(changes.Servers).To(HaveLen(1))
		Expect(changes.Removed).To(Equal([]string{"b"}))
		other.ApplySnapshot(changes, "vm")
		Expect(other.View().ByService["s"]).To(HaveLen(2))
		Expect(other.Digest().ServersRevision).To(Equal(f.state.Digest().ServersRevision))
		behind := NewState(f.manualClock, testCodec{}, func(*View) {})
		behind.ApplySnapshot(changes, "vm")
		Expect(behind.View().ByService["s"]).To(BeEmpty(), "changes since a revision that was not reached leave a gap")
		Expect(f.state.Snapshot(Versions{ConfigVersion: 3, ServersRevision: 1}).Since).To(BeZero(),
			"revision before the start of the history")
	})

	// Guards against a VM that uses a server again that has left, or a configuration that was replaced, because it starts from the
	// state of a VM that has been cut off from the store since.
	It("does not bring back what is gone after a restart beside a VM with an old state", func() {
		f.step()
		cutOff := NewState(f.manualClock, testCodec{}, func(*View) {})
		cutOff.ApplySnapshot(f.state.Snapshot(Versions{}), "vm")
		f.store.put(Servers, "b", nil)
		f.advance(1100 * time.Millisecond)
		present := f.state.Digest()
		Expect(f.state.View().Servers).NotTo(HaveKey("b"))

		restarted := NewState(f.manualClock, testCodec{}, func(*View) {})
		f.follower = NewFollower(f.manualClock, restarted, f.store, f.peers, false, func(Batch) {})
		f.follower.started = f.manualClock.Now()
		restarted.ApplySnapshot(cutOff.Snapshot(Versions{}), "cut off")
		Expect(restarted.View().Servers).To(HaveKey("b"))
		Expect(f.follower.readDue()).To(BeTrue(), "the state is older than the read interval")
		f.follower.readStore(context.Background())
		for range 3 {
			Expect(restarted.View().Servers).NotTo(HaveKey("b"))
			Expect(restarted.Digest().ConfigVersion).To(Equal(present.ConfigVersion))
			f.follower.ObserveDigest("cut off", cutOff.Digest())
			Expect(f.follower.newerPeers).To(BeEmpty())
			restarted.ApplySnapshot(cutOff.Snapshot(Versions{}), "cut off")
			f.manualClock.Advance(300 * time.Millisecond)
		}
	})

	// Guards against VMs that forward the age of one reading to each other repeatedly: each time the transit time of the
	// datagram was lost, and a region with slow VMs treated an old state as fresh for longer than the bound for a change.
	It("does not lower its age when it receives the same reading again", func() {
		f.step()
		f.peers.rank = 1
		first := f.state.Digest()
		other := NewState(f.manualClock, testCodec{}, func(*View) {})
		other.ApplySnapshot(f.state.Snapshot(Versions{}), "vm")
		for range 8 {
			// Each digest is 150 ms in transit.
			digest := other.Digest()
			f.manualClock.Advance(150 * time.Millisecond)
			f.follower.ObserveDigest("other", digest)
			reply := f.state.Digest()
			f.manualClock.Advance(150 * time.Millisecond)
			other.ObserveDigest(reply)
		}
		age, _ := f.state.Age()
		Expect(age).To(BeNumerically(">=", 2300*time.Millisecond), "first %+v", first)
	})

	// Guards against a VM that requests the same snapshot at each heartbeat.
	It("requests snapshots only from VMs with a newer state", func() {
		f.step()
		f.follower.ObserveDigest("same", f.state.Digest())
		f.follower.ObserveDigest("behind", Digest{ConfigVersion: 2})
		Expect(f.follower.newerPeers).To(BeEmpty())
		f.follower.ObserveDigest("ahead", Digest{ConfigVersion: 4})
		Expect(f.follower.newerPeers).To(HaveLen(1))
	})

	// Guards against all VMs of a data centre fetching the same change from the reader in another data centre.
	It("picks a VM of its data centre if others relay changes, and the reader if none of them announces the change in time", func() {
		f.peers.relayedByOthers, f.peers.sameDataCentre = true, []string{"near"}
		f.follower.newerPeers <- "reader2"
		f.follower.newerPeers <- "near"
		Expect(f.follower.awaitPeerInDataCentre(context.Background(), "reader")).To(Equal("near"))
		f.follower.newerPeers <- "reader"
		f.follower.newerPeers <- "near"
		Expect(f.follower.pickPeer("reader")).To(Equal("near"))
		done := make(chan string)
		go func() { done <- f.follower.awaitPeerInDataCentre(context.Background(), "reader") }()
		Eventually(func() bool {
			f.manualClock.Advance(relayTimeout)
			select {
			case picked := <-done:
				return picked == "reader"
			default:
				return false
			}
		}).Should(BeTrue())
	})
})
