package membership

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/peer"
	"github.com/hornbeamway/hornbeamway/pkg/vmlist"
)

// stubSender responds to checks with the values of a channel and drops heartbeats. A check fails if the channel is empty.
type stubSender struct{ answers chan checkResponse }

func (s *stubSender) Notify(context.Context, string, string, any) error { return nil }

func (s *stubSender) Call(_ context.Context, _, method string, _, result any) error {
	select {
	case a := <-s.answers:
		if answer, ok := result.(*checkResponse); ok && method == methodCheck {
			*answer = a
			return nil
		}
	default:
	}
	return peer.ErrUnreachable
}

// listFunc implements vmlist.List; every read counts as a change.
type listFunc func() []vmlist.VM

func (f listFunc) Get(context.Context) ([]vmlist.VM, bool, error) { return f(), true, nil }

var _ = Describe("a service", func() {
	var (
		s        *Service
		manual   *clock.Manual
		elapsed  atomic.Int64
		sender   *stubSender
		statuses chan HeartbeatStatus
	)
	// start runs the service with clocks that the test advances.
	start := func(list vmlist.List) {
		manual, sender, statuses = clock.NewManual(time.Unix(5000, 0)), &stubSender{make(chan checkResponse, 1)},
			make(chan HeartbeatStatus, 4)
		elapsed.Store(0)
		s = NewService(Options{Self: Member{ID: "a", Region: "east", DataCentre: "e1", Incarnation: 7}, Sender: sender,
			Clock: manual, List: list, Seed: 1, Elapsed: func() time.Duration { return time.Duration(elapsed.Load()) },
			OnHeartbeat: func(_ Member, status HeartbeatStatus) { statuses <- status }})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { s.Run(ctx); close(done) }()
		DeferCleanup(func() { cancel(); <-done })
	}
	// tick advances both clocks by one interval and waits until the loop has processed the tick.
	tick := func() {
		Eventually(manual.PendingTimers, "5s").Should(BeNumerically(">=", 1))
		now := elapsed.Add(int64(Interval))
		manual.Advance(Interval)
		Eventually(s.lastTick.Load, "5s").Should(Equal(now))
	}
	// deliver adds the member b by a heartbeat.
	deliver := func() {
		b := MemberEntry{ID: "b", Incarnation: 9, StartMs: 1, Sequence: 1, Region: "east", DataCentre: "e1", Peer: "b"}
		Expect(s.Deliver(Heartbeat{ID: "b", Incarnation: 9, Sequence: 1, LogOffset: 42, LogAgeMs: 5,
			Changes: []MemberEntry{b}})).To(Succeed())
		Eventually(statuses, "5s").Should(Receive(Equal(HeartbeatStatus{LogOffset: 42, LogAge: 5 * time.Millisecond})))
		Eventually(func() int { return len(s.Alive("e1")) }, "5s").Should(Equal(2))
	}

	// Guards against a process that resumes after a pause and serves with stale state before a peer has confirmed it.
	It("is not fresh after a pause until a peer has confirmed it", func() {
		start(nil)
		changes := s.Subscribe()
		deliver()
		Eventually(changes, "5s").Should(Receive())
		tick()
		Expect(s.Fresh()).To(BeTrue())
		elapsed.Add(int64(10 * time.Second))
		Expect(s.Fresh()).To(BeFalse(), "before the first tick after the pause")
		tick()
		tick()
		Expect(s.Fresh()).To(BeFalse(), "no peer has answered")
		sender.answers <- checkResponse{Known: true, Current: true}
		tick()
		Eventually(s.Fresh, "5s").Should(BeTrue())
	})

	// Guards against a process that resumes after a pause and serves although a new process has taken over its VM id.
	It("is superseded when a peer knows a later incarnation", func() {
		start(nil)
		deliver()
		tick()
		elapsed.Add(int64(10 * time.Second))
		sender.answers <- checkResponse{Known: true}
		tick()
		Eventually(s.Superseded, "5s").Should(BeTrue())
		Expect(s.Fresh()).To(BeFalse())
	})

	// Guards against a server that appears twice, or that is still sent requests when the VM list has it both as live and as
	// leaving.
	It("returns the listed backend servers without duplicates", func() {
		// The list blocks until the test has subscribed, so that the test does not miss its only change.
		subscribed := make(chan struct{})
		start(listFunc(func() []vmlist.VM {
			<-subscribed
			return []vmlist.VM{{ID: "s1", Role: vmlist.RoleBackend, State: vmlist.StateLive, Address: "x"},
				{ID: "a", Role: vmlist.RoleEntry}, {ID: "s2", Role: vmlist.RoleBackend},
				{ID: "s1", Role: vmlist.RoleBackend, State: vmlist.StateLeaving, Address: "x"}}
		}))
		changes := s.SubscribeServers()
		close(subscribed)
		Eventually(changes, "5s").Should(Receive())
		Expect(s.Servers()).To(Equal([]vmlist.VM{
			{ID: "s1", Role: vmlist.RoleBackend, State: vmlist.StateLeaving, Address: "x"},
			{ID: "s2", Role: vmlist.RoleBackend}}))
		Expect(s.ListedEntryVMs()).To(HaveLen(1))
	})

	// Guards against a leaving VM that counts as alive, so that other VMs still choose it.
	It("announces that it is leaving", func() {
		start(nil)
		s.Leave()
		s.Leave()
		Eventually(func() State { return s.Self().State }, "5s").Should(Equal(Leaving))
		Expect(s.Alive("e1")).To(BeEmpty())
	})
})
