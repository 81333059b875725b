package preset_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/preset"
)

// Guards against a veto period that never ends because each VM is replaced before the period has elapsed on it.
var _ = It("keeps the age of a proposal when each VM lives shorter than the veto period", func() {
	runInBubble(func(ctx context.Context) {
		c, a, _, _ := newBootstrappedCluster(ctx)
		_, err := c.propose(a, 20)
		Expect(err).NotTo(HaveOccurred())
		alive := []string{"a", "b", "e"}
		for i := range 12 {
			old, id := alive[0], fmt.Sprintf("n%02d", i)
			c.start(id, "west")
			alive = append(alive[1:], id)
			c.setListed(alive...)
			c.advanceUntil("start", c.allServing)
			c.advance(time.Second)
			c.mu.Lock()
			delete(c.vms, old)
			c.mu.Unlock()
			c.advance(time.Second)
		}
		Expect(c.countRecords(preset.KindAccept)).To(Equal(1))
		c.advanceUntil("acceptance", c.allInForce(20))
	})
})

// Guards against a VM that stops admitting while the log is available: the response to a long poll only proves that the
// state was current when the poll was sent. A listed VM that does not answer prevents the others from resolving the doubt
// by queries to peers.
var _ = It("stays out of doubt during a confirm round while the log answers and a listed VM does not", func() {
	runInBubble(func(ctx context.Context) {
		c, a, b, e := newBootstrappedCluster(ctx)
		c.setListed("a", "b", "e", "silent")
		id, err := c.propose(a, 20)
		Expect(err).NotTo(HaveOccurred())
		c.advanceUntil("the proposal is read", func() bool {
			return b.follower.Status().Position >= 1 && e.follower.Status().Position >= 1
		})
		for _, vm := range []*testVM{a, b, e} {
			s, _ := vm.follower.View()
			Expect(vm.follower.HandleConfirm(preset.ConfirmRequest{Proposal: id, Offset: s.Pending[id].Offset}).Confirmed).To(BeTrue())
		}
		for range 200 {
			c.step()
			Expect(c.allServing()).To(BeTrue())
		}
	})
})
