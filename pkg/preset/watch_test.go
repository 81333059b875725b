package preset_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/preset"
)

// Guards against a watch that skips a phase or does not end.
var _ = It("watches a proposal from the veto period to the end", func() {
	runInBubble(func(ctx context.Context) {
		c, a, b, _ := newBootstrappedCluster(ctx)
		id, err := c.propose(a, 20)
		Expect(err).NotTo(HaveOccurred())
		phases := make(chan preset.Phase, 1000)
		c.advanceUntil("the proposal is read", func() bool { return b.follower.Status().Position >= 1 })
		go func() {
			for progress := range b.watcher.Watch(c.ctx, id) {
				phases <- progress.Phase
			}
			close(phases)
		}()
		Eventually(phases).Should(Receive(Equal(preset.PhaseVetoPeriod)))
		c.advanceUntil("acceptance", c.allInForce(20))
		c.advance(2 * time.Second)
		last := preset.PhaseUnknown
		Eventually(func() bool {
			for {
				select {
				case phase, open := <-phases:
					if !open {
						return true
					}
					last = phase
				default:
					return false
				}
			}
		}).Should(BeTrue())
		Expect(last).To(Equal(preset.PhaseAccepted))
		Expect((<-a.watcher.Watch(c.ctx, "nosuch")).Phase).To(Equal(preset.PhaseUnknown))
	})
})
