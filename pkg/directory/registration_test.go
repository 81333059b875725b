package directory

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Follower", func() {
	var f *followerFixture
	BeforeEach(func() { f = newFollowerFixture() })

	// Guards against several calls to the store by each VM when all VMs start at once.
	It("reads immediately as a seed, and registers in the store only at one of the first ranks of the region", func() {
		f.peers.seeds = []string{"self", "other"}
		f.step()
		Expect(f.state.Ready()).To(BeTrue())
		f.advance(1600 * time.Millisecond)
		f.peers.rank = 3
		f.follower.registerAndDiscover(context.Background())
		Expect(f.store.records[VMs]).To(BeEmpty())
		f.peers.rank = 2
		for range 2 {
			f.manualClock.Advance(registrationCheckInterval)
			f.follower.registerAndDiscover(context.Background())
		}
		Expect(f.store.records[VMs]).To(HaveLen(1))
		Expect(f.discovered).To(BeEmpty())
	})

	// Guards against a VM that finds no peer, because its seeds are gone, and balances on its own counts forever.
	It("reads the other VMs from the store while no peer is live", func() {
		f.store.put(VMs, "10.0.0.9:1", []byte("{}"))
		f.step()
		f.advance(1600 * time.Millisecond)
		f.follower.registerAndDiscover(context.Background())
		Expect(f.discovered).To(HaveLen(1))
		Expect(f.discovered[0].Records).To(ContainElement(HaveField("Key", "10.0.0.9:1")))
		f.follower.registerAndDiscover(context.Background())
		Expect(f.discovered).To(HaveLen(1))
	})

	// Guards against VM records that accumulate with each replaced VM and direct new VMs to dead addresses.
	It("rewrites its record after the interval, and removes stale records", func() {
		f.store.put(VMs, "gone", []byte(`{"writtenAt":1}`))
		f.store.put(VMs, "unreadable", []byte("{"))
		f.step()
		registeredVMs := func() (keys []string) {
			batch, err := f.store.Newest(context.Background(), VMs)
			Expect(err).NotTo(HaveOccurred())
			for _, r := range batch.Records {
				keys = append(keys, r.Key)
			}
			return keys
		}
		f.advance(1600 * time.Millisecond)
		f.follower.registerAndDiscover(context.Background())
		f.store.put(VMs, "young", fmt.Appendf(nil, `{"writtenAt":%d}`, f.manualClock.Now().Unix()))
		Expect(registeredVMs()).To(ConsistOf("gone", "unreadable", "self", "young"))
		f.advance(registrationInterval)
		f.follower.registerAndDiscover(context.Background())
		Expect(registeredVMs()).To(ConsistOf("self", "young"))
		written := len(f.store.records[VMs])
		f.follower.registerAndDiscover(context.Background())
		Expect(f.store.records[VMs]).To(HaveLen(written))
	})
})
