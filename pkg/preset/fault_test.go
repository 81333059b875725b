package preset_test

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/platformlog"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
)

// Guards against two presets in force, a refused change in force and a VM that stops admitting without need. Each entry
// injects one fault at one step of a change. The cluster checks invariants 7 and 8 of docs/design.md after each
// clock step.
var _ = DescribeTable("keeps one preset in force when a fault occurs",
	func(scenario func(c *cluster, a, b, e *testVM)) {
		runInBubble(func(ctx context.Context) {
			c, a, b, e := newBootstrappedCluster(ctx)
			scenario(c, a, b, e)
		})
	},
	Entry("nothing", func(c *cluster, a, b, e *testVM) {
		id, err := c.propose(a, 20)
		Expect(err).NotTo(HaveOccurred())
		c.advanceUntil("acceptance", c.allInForce(20))
		Expect(e.follower.InForce().Content.EntryVMs).To(Equal(20))
		s, _ := b.follower.View()
		decision, _ := s.Decision(id)
		Expect(decision.Kind).To(Equal(preset.Accepted))
	}),
	Entry("propose: the answer is lost", func(c *cluster, a, _, _ *testVM) {
		c.log.LoseResponses(1)
		_, err := c.propose(a, 20)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.countRecords(preset.KindPropose)).To(Equal(1))
	}),
	Entry("propose: the log is down", func(c *cluster, a, _, _ *testVM) {
		c.log.SetDown(true)
		_, err := c.propose(a, 20)
		Expect(errors.Is(err, platformlog.ErrUnavailable)).To(BeTrue())
		c.advance(20 * time.Second)
		Expect(c.allServing()).To(BeTrue(), "all VMs keep serving")
		c.log.SetDown(false)
		Expect(c.countRecords(preset.KindPropose)).To(BeZero())
	}),
	Entry("propose: the answer is lost and the log goes down", func(c *cluster, a, b, _ *testVM) {
		c.log.LoseResponses(1)
		var id string
		err := c.runWhileAdvancing(func() (err error) {
			id, err = a.proposer.Propose(c.ctx, preset.Change{Object: preset.ObjectActive, Content: []byte(`"nosuch"`)})
			c.log.SetDown(true)
			return err
		})
		Expect(err).To(HaveOccurred())
		Expect(id).NotTo(BeEmpty())
		c.log.SetDown(false)
		Expect(c.countRecords(preset.KindPropose)).To(Equal(1))
		Expect(b.follower.InForce().Content.Name).To(Equal("ordinary"))
	}),
	Entry("propose: two operators race", func(c *cluster, a, b, _ *testVM) {
		results := make(chan error, 2)
		for i, vm := range []*testVM{a, b} {
			go func() {
				_, err := vm.proposer.Propose(c.ctx, preset.Change{Object: "preset/ordinary", Content: contentOf("ordinary", 20+i)})
				results <- err
			}()
		}
		c.advanceUntil("end of both proposals", func() bool { return len(results) == 2 })
		var lost *preset.ConflictError
		first, second := <-results, <-results
		Expect((first == nil) != (second == nil)).To(BeTrue(), "exactly one must succeed: %v, %v", first, second)
		Expect(errors.As(errors.CombineErrors(first, second), &lost)).To(BeTrue())
		Expect(lost.InForce).To(BeZero())
		s, _ := a.follower.View()
		Expect(s.Pending).To(HaveLen(1))
		winner := 0
		for _, p := range s.Pending {
			winner = p.Content.EntryVMs
		}
		c.advanceUntil("acceptance", c.allInForce(winner))
	}),
	Entry("propose: the base is stale", func(c *cluster, a, b, _ *testVM) {
		_, err := c.propose(a, 20)
		Expect(err).NotTo(HaveOccurred())
		c.advanceUntil("acceptance", c.allInForce(20))
		_, err = b.proposer.Propose(c.ctx, preset.Change{Object: "preset/ordinary", Base: 0, Content: contentOf("ordinary", 21)})
		Expect(err).To(MatchError(ContainSubstring("version in force")))
	}),
	Entry("veto: the answer is lost", func(c *cluster, a, b, _ *testVM) {
		id, err := c.propose(a, 20)
		Expect(err).NotTo(HaveOccurred())
		c.advance(5 * time.Second)
		c.log.LoseResponses(1)
		Expect(c.runWhileAdvancing(func() error { return b.proposer.Veto(c.ctx, id, "customer") })).To(Succeed())
		Expect(c.runWhileAdvancing(func() error { return b.proposer.Veto(c.ctx, id, "customer") })).To(Succeed())
		c.advance(20 * time.Second)
		Expect(c.countRecords(preset.KindVeto)).To(Equal(1))
		Expect(c.countRecords(preset.KindAccept)).To(BeZero())
		Expect(c.allInForce(16)()).To(BeTrue())
	}),
	Entry("veto: too late", func(c *cluster, a, b, _ *testVM) {
		id, err := c.propose(a, 20)
		Expect(err).NotTo(HaveOccurred())
		c.advanceUntil("acceptance", c.allInForce(20))
		var late *preset.AlreadyDecidedError
		Expect(errors.As(b.proposer.Veto(c.ctx, id, "customer"), &late)).To(BeTrue())
		Expect(late.Kind).To(Equal(preset.Accepted))
	}),
	Entry("veto: during the confirm round", func(c *cluster, a, _, e *testVM) {
		id, err := c.propose(a, 20)
		Expect(err).NotTo(HaveOccurred())
		c.setHook(func(_, _ string, r preset.ConfirmRequest) {
			if !r.Probe {
				_, _ = c.log.Append(c.ctx, preset.Stream, preset.Entry{Kind: preset.KindVeto, ID: "v", Proposal: id})
			}
		})
		c.advance(30 * time.Second)
		Expect(c.allInForce(16)()).To(BeTrue())
		Expect(e.follower.InForce().Content.EntryVMs).To(Equal(16))
	}),
	Entry("accept: the answer is lost", func(c *cluster, a, _, _ *testVM) {
		_, err := c.propose(a, 20)
		Expect(err).NotTo(HaveOccurred())
		c.log.LoseResponses(1)
		c.advanceUntil("acceptance", c.allInForce(20))
		c.advance(30 * time.Second)
		Expect(c.countRecords(preset.KindAccept)).To(Equal(1))
	}),
	Entry("accept: the log is down at the end of the veto period", func(c *cluster, a, _, _ *testVM) {
		_, err := c.propose(a, 20)
		Expect(err).NotTo(HaveOccurred())
		c.log.SetDown(true)
		for range 30 {
			c.advance(time.Second)
			Expect(c.allServing()).To(BeTrue(), "all VMs keep serving")
		}
		c.log.SetDown(false)
		c.advanceUntil("acceptance", c.allInForce(20))
	}),
	Entry("accept: a round remains open while the log is available", func(c *cluster, a, _, e *testVM) {
		id, err := c.propose(a, 20)
		Expect(err).NotTo(HaveOccurred())
		c.setListed("a", "b", "e", "dead")
		c.advanceUntil("the proposal is read", func() bool { return e.follower.Status().Position >= 1 })
		request := preset.ConfirmRequest{Proposal: id, Offset: 1}
		Expect(e.follower.HandleConfirm(request).Confirmed).To(BeTrue())
		for range 300 {
			c.step()
			Expect(c.allServing()).To(BeTrue(), "a VM that can read the log is not in doubt")
		}
	}),
	Entry("accept: the log goes down during the confirm round", func(c *cluster, a, _, _ *testVM) {
		_, err := c.propose(a, 20)
		Expect(err).NotTo(HaveOccurred())
		var once sync.Once
		c.setHook(func(_, _ string, r preset.ConfirmRequest) {
			if !r.Probe {
				once.Do(func() { c.log.SetDown(true) })
			}
		})
		c.advance(15 * time.Second)
		c.setHook(nil)
		for range 15 {
			c.advance(time.Second)
			// The clocks do not advance while the responses of the peers arrive.
			Eventually(c.allServing).Should(BeTrue(), "VMs are not in doubt when no peer has read an acceptance")
		}
		c.log.SetDown(false)
		c.advanceUntil("acceptance", c.allInForce(20))
	}),
	Entry("accept: the region was cut before the round", func(c *cluster, a, _, e *testVM) {
		id, err := c.propose(a, 20)
		Expect(err).NotTo(HaveOccurred())
		c.advanceUntil("the proposal is read", func() bool { return e.follower.Status().Position >= 1 })
		c.advance(2 * time.Second)
		c.setPartitioned(e, true)
		for range 30 {
			c.advance(time.Second)
			Expect(c.allServing()).To(BeTrue(), "VMs in both regions keep serving")
		}
		progress := <-a.watcher.Watch(c.ctx, id)
		Expect(progress.Phase).To(Equal(preset.PhaseConfirming))
		Expect(progress.WaitingFor).To(Equal([]string{"e"}))
		Expect(c.countRecords(preset.KindAccept)).To(BeZero())
		c.setPartitioned(e, false)
		c.advanceUntil("acceptance", c.allInForce(20))
	}),
	Entry("accept: the region is cut during the round and the answer is lost", func(c *cluster, a, b, e *testVM) {
		_, err := c.propose(a, 20)
		Expect(err).NotTo(HaveOccurred())
		c.setHook(func(_, to string, r preset.ConfirmRequest) {
			if to == "e" && !r.Probe {
				c.setPartitioned(e, true)
			}
		})
		c.advanceUntil("the region in doubt", func() bool { return e.follower.Reason() == preset.ReasonInDoubt })
		Expect(e.follower.InForce()).To(BeNil())
		c.advance(20 * time.Second)
		Expect(c.countRecords(preset.KindAbort)).To(BeNumerically(">", 0))
		Expect(c.countRecords(preset.KindAccept)).To(BeZero())
		Expect(a.follower.InForce()).NotTo(BeNil())
		Expect(b.follower.InForce()).NotTo(BeNil())
		c.setHook(nil)
		c.setPartitioned(e, false)
		c.advanceUntil("acceptance", c.allInForce(20))
	}),
	Entry("accept: the region is cut after the round, before it reads the acceptance", func(c *cluster, a, b, e *testVM) {
		_, err := c.propose(a, 20)
		Expect(err).NotTo(HaveOccurred())
		c.advanceUntil("acceptance in the log", func() bool {
			if c.countRecords(preset.KindAccept) == 0 {
				return false
			}
			c.setPartitioned(e, true)
			return true
		})
		c.advanceUntil("acceptance in the log's region", func() bool {
			return a.follower.InForce().Content.EntryVMs == 20 && b.follower.InForce().Content.EntryVMs == 20
		})
		c.advance(10 * time.Second) // checkInvariants fails if version 0 is in force on e
		c.setPartitioned(e, false)
		c.advanceUntil("acceptance", c.allInForce(20))
	}),
	Entry("accept: a listed VM is dead", func(c *cluster, a, _, _ *testVM) {
		c.setListed("a", "b", "e", "dead")
		id, err := c.propose(a, 20)
		Expect(err).NotTo(HaveOccurred())
		c.advance(20 * time.Second)
		Expect((<-a.watcher.Watch(c.ctx, id)).WaitingFor).To(Equal([]string{"dead"}))
		c.setListed("a", "b", "e")
		c.advanceUntil("acceptance", c.allInForce(20))
	}),
	Entry("accept: the VM that would accept is paused", func(c *cluster, a, b, _ *testVM) {
		_, err := c.propose(b, 20)
		Expect(err).NotTo(HaveOccurred())
		c.advance(5 * time.Second)
		c.pause(a)
		c.setListed("b", "e")
		c.advanceUntil("acceptance by another VM", c.allInForce(20))
		c.advance(10 * time.Second)
		c.unpause(a)
		// The first call of InForce after the pause must not return the old preset, regardless of what ran since.
		if inForce := a.follower.InForce(); inForce != nil {
			Expect(inForce.Content.EntryVMs).To(Equal(20))
		}
		c.advanceUntil("acceptance on the paused VM", c.allInForce(20))
	}),
	Entry("accept: the acceptor is paused before its append and another VM accepts", func(c *cluster, a, b, _ *testVM) {
		c.mu.Lock()
		c.onAppend = func(vm *testVM, e *preset.Entry) {
			if vm.id == "a" && e.Kind == preset.KindAccept {
				c.pause(vm)
			}
		}
		c.mu.Unlock()
		_, err := c.propose(b, 20)
		Expect(err).NotTo(HaveOccurred())
		c.advanceUntil("the pause", func() bool { return len(c.running()) == 2 })
		c.setListed("b", "e")
		c.advanceUntil("acceptance by another VM", c.allInForce(20))
		_, err = c.propose(b, 30)
		Expect(err).NotTo(HaveOccurred())
		c.advanceUntil("the next acceptance", c.allInForce(30))
		c.mu.Lock()
		c.onAppend = nil
		c.mu.Unlock()
		c.unpause(a)
		c.advanceUntil("the late acceptance in the log", func() bool { return c.countRecords(preset.KindAccept) == 3 })
		c.advanceUntil("the latest preset on all VMs", c.allInForce(30))
	}),
	Entry("every step: the log is slow", func(c *cluster, a, _, e *testVM) {
		c.log.SetDelay(1500 * time.Millisecond)
		_, err := c.propose(a, 20)
		Expect(err).NotTo(HaveOccurred())
		c.advanceUntil("acceptance", c.allInForce(20))
		Expect(c.allServing()).To(BeTrue(), "all VMs keep serving")
		Expect(e.follower.InForce().Content.EntryVMs).To(Equal(20))
	}),
	Entry("resume: the records have expired and peers know", func(c *cluster, a, _, e *testVM) {
		c.pause(e)
		c.setListed("a", "b")
		_, err := c.propose(a, 20)
		Expect(err).NotTo(HaveOccurred())
		c.advanceUntil("acceptance", c.allInForce(20))
		c.log.Expire(preset.Stream, 3)
		c.unpause(e)
		c.advanceUntil("acceptance on the paused VM", c.allInForce(20))
	}),
	Entry("resume: neither log nor peers answer", func(c *cluster, a, _, e *testVM) {
		c.pause(e)
		c.setPartitioned(e, true)
		c.advance(10 * time.Second)
		c.unpause(e)
		c.advance(10 * time.Second)
		Expect(e.follower.InForce()).To(BeNil())
		Expect(e.follower.Reason()).To(Equal(preset.ReasonStale))
		c.setPartitioned(e, false)
		c.advanceUntil("verification of the state", c.allServing)
	}),
	Entry("start: the log is down", func(c *cluster, a, _, _ *testVM) {
		c.log.SetDown(true)
		vm := c.start("f", "west")
		idle := preset.NewFollower(preset.Options{Log: vm, Clock: vm.clock}) // Run is never called
		Expect(idle.Reason()).To(Equal(preset.ReasonNotStarted))
		Expect(idle.InForce()).To(BeNil())
		c.advanceUntil("start from peers", c.allServing)
	}),
	Entry("start: the records have expired and there is a snapshot", func(c *cluster, a, _, _ *testVM) {
		c.log.SetRetention(40 * time.Second)
		c.advance(60 * time.Second)
		Expect(c.countRecords(preset.KindBootstrap)).To(BeZero())
		vm := c.start("f", "east")
		c.setPartitioned(vm, false)
		c.advanceUntil("start", c.allServing)
		Expect(vm.follower.InForce().Content.Name).To(Equal("ordinary"))
	}),
)

// Guards against a VM that starts with a partial configuration because the other records of the log have expired.
var _ = It("is not ready when the records have expired and no snapshot or peer is left", func() {
	runInBubble(func(ctx context.Context) {
		c := newCluster(ctx)
		_, err := c.log.Append(c.ctx, preset.Stream, bootstrapEntry())
		Expect(err).NotTo(HaveOccurred())
		_, err = c.log.Append(c.ctx, preset.Stream, proposeEntry("p", "preset/ordinary", 0, 0, 20))
		Expect(err).NotTo(HaveOccurred())
		c.log.Expire(preset.Stream, 1)
		vm := c.start("a", "west")
		c.advanceUntil("detection of the gap", func() bool { return vm.follower.Reason() == preset.ReasonGap })
		c.advance(5 * time.Second)
		Expect(vm.follower.InForce()).To(BeNil())
	})
})
