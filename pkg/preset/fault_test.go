package preset_test

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/platformlog"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
)

// Each entry injects one fault at one step of a change. The cluster checks invariants 7 and 8 at each step of time.
var _ = DescribeTable("keeps one preset in force when a fault hits",
	func(scenario func(c *cluster, a, b, e *node)) {
		c, a, b, e := bootstrapped()
		scenario(c, a, b, e)
	},
	Entry("nothing", func(c *cluster, a, b, e *node) {
		id, err := c.propose(a, 20)
		Expect(err).NotTo(HaveOccurred())
		c.until("acceptance", c.allHave(20))
		Expect(e.follower.InForce().Content.EntryVMs).To(Equal(20))
		s, _ := b.follower.View()
		decision, _ := s.Decision(id)
		Expect(decision.Kind).To(Equal(preset.Accepted))
	}),
	Entry("propose: the answer is lost", func(c *cluster, a, _, _ *node) {
		c.log.LoseAnswers(1)
		_, err := c.propose(a, 20)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.count(preset.KindPropose)).To(Equal(1))
	}),
	Entry("propose: the log is down", func(c *cluster, a, _, _ *node) {
		c.log.SetDown(true)
		_, err := c.propose(a, 20)
		Expect(errors.Is(err, platformlog.ErrUnavailable)).To(BeTrue())
		c.pass(20 * time.Second)
		Expect(c.serving()).To(BeTrue(), "serving goes on")
		c.log.SetDown(false)
		Expect(c.count(preset.KindPropose)).To(BeZero())
	}),
	Entry("propose: the answer is lost and the log goes down", func(c *cluster, a, b, _ *node) {
		c.log.LoseAnswers(1)
		var id string
		err := c.call(func() (err error) {
			id, err = a.proposer.Propose(c.ctx, preset.Change{Object: preset.ObjectActive, Content: []byte(`"nosuch"`)})
			c.log.SetDown(true)
			return err
		})
		Expect(err).To(HaveOccurred())
		Expect(id).NotTo(BeEmpty())
		c.log.SetDown(false)
		Expect(c.count(preset.KindPropose)).To(Equal(1))
		Expect(b.follower.InForce().Content.Name).To(Equal("ordinary"))
	}),
	Entry("propose: two operators race", func(c *cluster, a, b, _ *node) {
		results := make(chan error, 2)
		for i, n := range []*node{a, b} {
			go func() {
				_, err := n.proposer.Propose(c.ctx, preset.Change{Object: "preset/ordinary", Content: contentOf("ordinary", 20+i)})
				results <- err
			}()
		}
		c.until("both ended", func() bool { return len(results) == 2 })
		var lost *preset.ConflictError
		first, second := <-results, <-results
		Expect((first == nil) != (second == nil)).To(BeTrue(), "one wins: %v, %v", first, second)
		Expect(errors.As(errors.CombineErrors(first, second), &lost)).To(BeTrue())
		Expect(lost.InForce).To(BeZero())
		s, _ := a.follower.View()
		Expect(s.Pending).To(HaveLen(1))
		winner := 0
		for _, p := range s.Pending {
			winner = p.Content.EntryVMs
		}
		c.until("acceptance", c.allHave(winner))
	}),
	Entry("propose: the base is stale", func(c *cluster, a, b, _ *node) {
		_, err := c.propose(a, 20)
		Expect(err).NotTo(HaveOccurred())
		c.until("acceptance", c.allHave(20))
		_, err = b.proposer.Propose(c.ctx, preset.Change{Object: "preset/ordinary", Base: 0, Content: contentOf("ordinary", 21)})
		Expect(err).To(MatchError(ContainSubstring("version in force")))
	}),
	Entry("veto: the answer is lost", func(c *cluster, a, b, _ *node) {
		id, err := c.propose(a, 20)
		Expect(err).NotTo(HaveOccurred())
		c.pass(5 * time.Second)
		c.log.LoseAnswers(1)
		Expect(c.call(func() error { return b.proposer.Veto(c.ctx, id, "customer") })).To(Succeed())
		Expect(c.call(func() error { return b.proposer.Veto(c.ctx, id, "customer") })).To(Succeed())
		c.pass(20 * time.Second)
		Expect(c.count(preset.KindVeto)).To(Equal(1))
		Expect(c.count(preset.KindAccept)).To(BeZero())
		Expect(c.allHave(16)()).To(BeTrue())
	}),
	Entry("veto: too late", func(c *cluster, a, b, _ *node) {
		id, err := c.propose(a, 20)
		Expect(err).NotTo(HaveOccurred())
		c.until("acceptance", c.allHave(20))
		var late *preset.DecidedError
		Expect(errors.As(b.proposer.Veto(c.ctx, id, "customer"), &late)).To(BeTrue())
		Expect(late.Kind).To(Equal(preset.Accepted))
	}),
	Entry("veto: during the confirm round", func(c *cluster, a, _, e *node) {
		id, err := c.propose(a, 20)
		Expect(err).NotTo(HaveOccurred())
		c.setHook(func(_, _ string, r preset.ConfirmRequest) {
			if !r.Probe {
				_, _ = c.log.Append(c.ctx, preset.Stream, preset.Entry{Kind: preset.KindVeto, ID: "v", Proposal: id})
			}
		})
		c.pass(30 * time.Second)
		Expect(c.allHave(16)()).To(BeTrue())
		Expect(e.follower.InForce().Content.EntryVMs).To(Equal(16))
	}),
	Entry("accept: the answer is lost", func(c *cluster, a, _, _ *node) {
		_, err := c.propose(a, 20)
		Expect(err).NotTo(HaveOccurred())
		c.log.LoseAnswers(1)
		c.until("acceptance", c.allHave(20))
		c.pass(30 * time.Second)
		Expect(c.count(preset.KindAccept)).To(Equal(1))
	}),
	Entry("accept: the log is down at the end of the veto period", func(c *cluster, a, _, _ *node) {
		_, err := c.propose(a, 20)
		Expect(err).NotTo(HaveOccurred())
		c.log.SetDown(true)
		for range 30 {
			c.pass(time.Second)
			Expect(c.serving()).To(BeTrue(), "serving goes on")
		}
		c.log.SetDown(false)
		c.until("acceptance", c.allHave(20))
	}),
	Entry("accept: the region was cut before the round", func(c *cluster, a, _, e *node) {
		id, err := c.propose(a, 20)
		Expect(err).NotTo(HaveOccurred())
		c.until("the proposal is read", func() bool { return e.follower.Status().Position >= 1 })
		c.pass(2 * time.Second)
		c.cut(e, true)
		for range 30 {
			c.pass(time.Second)
			Expect(c.serving()).To(BeTrue(), "serving goes on in both regions")
		}
		progress := <-a.watcher.Watch(c.ctx, id)
		Expect(progress.Phase).To(Equal(preset.PhaseConfirming))
		Expect(progress.WaitingFor).To(Equal([]string{"e"}))
		Expect(c.count(preset.KindAccept)).To(BeZero())
		c.cut(e, false)
		c.until("acceptance", c.allHave(20))
	}),
	Entry("accept: the region is cut during the round and the answer is lost", func(c *cluster, a, b, e *node) {
		_, err := c.propose(a, 20)
		Expect(err).NotTo(HaveOccurred())
		c.setHook(func(_, to string, r preset.ConfirmRequest) {
			if to == "e" && !r.Probe {
				c.cut(e, true)
			}
		})
		c.until("the region in doubt", func() bool { return e.follower.Reason() == preset.ReasonInDoubt })
		Expect(e.follower.InForce()).To(BeNil())
		c.pass(20 * time.Second)
		Expect(c.count(preset.KindAbort)).To(BeNumerically(">", 0))
		Expect(c.count(preset.KindAccept)).To(BeZero())
		Expect(a.follower.InForce()).NotTo(BeNil())
		Expect(b.follower.InForce()).NotTo(BeNil())
		c.setHook(nil)
		c.cut(e, false)
		c.until("acceptance", c.allHave(20))
	}),
	Entry("accept: the region is cut after the round, before it reads the acceptance", func(c *cluster, a, b, e *node) {
		_, err := c.propose(a, 20)
		Expect(err).NotTo(HaveOccurred())
		c.until("acceptance in the log", func() bool {
			if c.count(preset.KindAccept) == 0 {
				return false
			}
			c.cut(e, true)
			return true
		})
		c.until("acceptance in the log's region", func() bool {
			return a.follower.InForce().Content.EntryVMs == 20 && b.follower.InForce().Content.EntryVMs == 20
		})
		c.pass(10 * time.Second) // the invariant check refuses version 0 on e
		c.cut(e, false)
		c.until("acceptance", c.allHave(20))
	}),
	Entry("accept: a listed VM is dead", func(c *cluster, a, _, _ *node) {
		c.list("a", "b", "e", "dead")
		id, err := c.propose(a, 20)
		Expect(err).NotTo(HaveOccurred())
		c.pass(20 * time.Second)
		Expect((<-a.watcher.Watch(c.ctx, id)).WaitingFor).To(Equal([]string{"dead"}))
		c.list("a", "b", "e")
		c.until("acceptance", c.allHave(20))
	}),
	Entry("accept: the VM that would accept is paused", func(c *cluster, a, b, _ *node) {
		_, err := c.propose(b, 20)
		Expect(err).NotTo(HaveOccurred())
		c.pass(5 * time.Second)
		c.pause(a)
		c.list("b", "e")
		c.until("acceptance by another VM", c.allHave(20))
		c.pass(10 * time.Second)
		c.unpause(a)
		// The first look after the pause must not find the old preset, whatever the process has done since.
		if inForce := a.follower.InForce(); inForce != nil {
			Expect(inForce.Content.EntryVMs).To(Equal(20))
		}
		c.until("the paused VM knows", c.allHave(20))
	}),
	Entry("accept: the acceptor is paused before its append and another VM accepts", func(c *cluster, a, b, _ *node) {
		c.mu.Lock()
		c.onAppend = func(n *node, e *preset.Entry) {
			if n.id == "a" && e.Kind == preset.KindAccept {
				c.pause(n)
			}
		}
		c.mu.Unlock()
		_, err := c.propose(b, 20)
		Expect(err).NotTo(HaveOccurred())
		c.until("the pause", func() bool { return len(c.running()) == 2 })
		c.list("b", "e")
		c.until("acceptance by another VM", c.allHave(20))
		_, err = c.propose(b, 30)
		Expect(err).NotTo(HaveOccurred())
		c.until("the next acceptance", c.allHave(30))
		c.mu.Lock()
		c.onAppend = nil
		c.mu.Unlock()
		c.unpause(a)
		c.until("the late acceptance changes nothing", func() bool { return c.count(preset.KindAccept) == 3 })
		c.until("all agree", c.allHave(30))
	}),
	Entry("every step: the log is slow", func(c *cluster, a, _, e *node) {
		c.log.SetDelay(1500 * time.Millisecond)
		_, err := c.propose(a, 20)
		Expect(err).NotTo(HaveOccurred())
		c.until("acceptance", c.allHave(20))
		Expect(c.serving()).To(BeTrue(), "serving goes on")
		Expect(e.follower.InForce().Content.EntryVMs).To(Equal(20))
	}),
	Entry("resume: the records have expired and peers know", func(c *cluster, a, _, e *node) {
		c.pause(e)
		c.list("a", "b")
		_, err := c.propose(a, 20)
		Expect(err).NotTo(HaveOccurred())
		c.until("acceptance", c.allHave(20))
		c.log.Expire(preset.Stream, 3)
		c.unpause(e)
		c.until("the paused VM knows", c.allHave(20))
	}),
	Entry("resume: neither log nor peers answer", func(c *cluster, a, _, e *node) {
		c.pause(e)
		c.cut(e, true)
		c.pass(10 * time.Second)
		c.unpause(e)
		c.pass(10 * time.Second)
		Expect(e.follower.InForce()).To(BeNil())
		Expect(e.follower.Reason()).To(Equal(preset.ReasonStale))
		c.cut(e, false)
		c.until("the check", c.serving)
	}),
	Entry("start: the log is down", func(c *cluster, a, _, _ *node) {
		c.log.SetDown(true)
		n := c.start("f", "west")
		Expect(n.follower.Reason()).To(Equal(preset.ReasonNotStarted))
		c.until("start from peers", c.serving)
	}),
	Entry("start: the records have expired and there is a snapshot", func(c *cluster, a, _, _ *node) {
		c.log.SetRetention(40 * time.Second)
		c.pass(60 * time.Second)
		Expect(c.count(preset.KindBootstrap)).To(BeZero())
		n := c.start("f", "east")
		c.cut(n, false)
		c.until("start", c.serving)
		Expect(n.follower.InForce().Content.Name).To(Equal("ordinary"))
	}),
)

// Guards against a VM that starts with half of the configuration when the log has lost the rest.
var _ = It("is not ready when the records have expired and no snapshot or peer is left", func() {
	c := newCluster()
	_, err := c.log.Append(c.ctx, preset.Stream, bootstrapEntry())
	Expect(err).NotTo(HaveOccurred())
	_, err = c.log.Append(c.ctx, preset.Stream, proposeEntry("p", "preset/ordinary", 0, 0, 20))
	Expect(err).NotTo(HaveOccurred())
	c.log.Expire(preset.Stream, 1)
	n := c.start("a", "west")
	c.until("the gap is seen", func() bool { return n.follower.Reason() == preset.ReasonGap })
	c.pass(5 * time.Second)
	Expect(n.follower.InForce()).To(BeNil())
})

// Guards against a veto period that never ends because VMs are replaced more often than it is long.
var _ = It("keeps the age of a proposal when each VM lives shorter than the veto period", func() {
	c, a, _, _ := bootstrapped()
	_, err := c.propose(a, 20)
	Expect(err).NotTo(HaveOccurred())
	alive := []string{"a", "b", "e"}
	for i := range 12 {
		old, id := alive[0], fmt.Sprintf("n%02d", i)
		c.start(id, "west")
		alive = append(alive[1:], id)
		c.list(alive...)
		c.until("start", c.serving)
		c.pass(time.Second)
		c.mu.Lock()
		delete(c.nodes, old)
		c.mu.Unlock()
		c.pass(time.Second)
	}
	Expect(c.count(preset.KindAccept)).To(Equal(1))
	c.until("acceptance", c.allHave(20))
})

// Guards against a watch that misses a phase or does not end.
var _ = It("watches a proposal from the veto period to the end", func() {
	c, a, b, _ := bootstrapped()
	id, err := c.propose(a, 20)
	Expect(err).NotTo(HaveOccurred())
	phases := make(chan preset.Phase, 1000)
	c.until("the proposal is read", func() bool { return b.follower.Status().Position >= 1 })
	go func() {
		for progress := range b.watcher.Watch(c.ctx, id) {
			phases <- progress.Phase
		}
		close(phases)
	}()
	Eventually(phases).Should(Receive(Equal(preset.PhaseVetoPeriod)))
	c.until("acceptance", c.allHave(20))
	c.pass(2 * time.Second)
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

// Guards against a VM that stops admitting while the log answers: the answer to a long poll proves only what was true when
// the poll was sent. A listed VM that does not answer keeps the others from asking each other.
var _ = It("stays out of doubt during a confirm round while the log answers and a listed VM does not", func() {
	c, a, b, e := bootstrapped()
	c.list("a", "b", "e", "silent")
	id, err := c.propose(a, 20)
	Expect(err).NotTo(HaveOccurred())
	c.until("the proposal is read", func() bool { return b.follower.Status().Position >= 1 && e.follower.Status().Position >= 1 })
	for _, n := range []*node{a, b, e} {
		s, _ := n.follower.View()
		Expect(n.follower.HandleConfirm(preset.ConfirmRequest{Proposal: id, Offset: s.Pending[id].Offset}).Confirmed).To(BeTrue())
	}
	for range 200 {
		c.step()
		Expect(c.serving()).To(BeTrue())
	}
})
