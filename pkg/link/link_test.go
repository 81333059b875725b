package link

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hornbeamway/hornbeamway/internal/testsupport"
	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/membership"
	"github.com/hornbeamway/hornbeamway/pkg/peer"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

func init() { testsupport.FixRapid("20261204", "") }

func TestLink(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "link")
}

const (
	capacity       = 30e6 / 8
	simulationStep = 20 * time.Millisecond
)

var defaultShares = priority.Shares{0.5, 0.3, 0.1}

// simulation runs the budgets and coordinators of several VMs without goroutines.
type simulation struct {
	now             time.Time
	settings        Settings
	budgets         []*budget
	coordinators    []*coordinator
	elected         []int // index of the coordinator that each VM considers elected; negative: none
	pendingRequests [][priority.NumClasses]*blockRequest
	demand          [][priority.NumClasses]bool
	bytesPerStep    []float64 // bytes sent by all VMs in each step
	bytesByClass    [priority.NumClasses]float64
}

func newSimulation(vms int) *simulation {
	s := &simulation{now: time.Unix(0, 0), settings: Settings{Capacity: capacity, VMs: vms, Shares: defaultShares},
		elected: make([]int, vms), pendingRequests: make([][priority.NumClasses]*blockRequest, vms),
		demand: make([][priority.NumClasses]bool, vms)}
	for i := range vms {
		s.budgets = append(s.budgets, newBudget(s.settings, fmt.Sprint(i), s.now))
		s.coordinators = append(s.coordinators, newCoordinator(defaultShares, s.now))
	}
	return s
}

func (s *simulation) step() {
	s.now = s.now.Add(simulationStep)
	var sum float64
	for vm, b := range s.budgets {
		if elected := s.elected[vm]; elected >= 0 {
			if p, due := b.nextPledge(s.now); due {
				s.coordinators[elected].addPledge(s.now, p)
			}
		}
		sum += s.send(vm, b)
	}
	for _, c := range s.coordinators {
		c.grant(s.now)
	}
	s.bytesPerStep = append(s.bytesPerStep, sum)
}

func (s *simulation) send(vm int, b *budget) (sum float64) {
	for _, c := range priority.Classes() {
		if !s.demand[vm][c] {
			continue
		}
		s.receiveGrant(vm, b, c)
		n := 0
		for b.consumeBlock(s.now, c, maxChunk) || b.consumeLocal(s.now, maxChunk) {
			n += maxChunk
		}
		sum += float64(n)
		s.bytesByClass[c] += float64(n)
		if elected := s.elected[vm]; s.pendingRequests[vm][c] == nil && elected >= 0 {
			r := &blockRequest{bytes: b.nextSizes[c], deadline: s.now.Add(grantWait), granted: make(chan int, 1)}
			if s.coordinators[elected].enqueue(c, r) {
				s.pendingRequests[vm][c] = r
			}
		}
	}
	return sum
}

func (s *simulation) receiveGrant(vm int, b *budget, c priority.Class) {
	r := s.pendingRequests[vm][c]
	if r == nil {
		return
	}
	select {
	case n := <-r.granted:
		b.addBlock(s.now, c, n)
		s.pendingRequests[vm][c] = nil
	default:
		if s.now.After(r.deadline) {
			s.pendingRequests[vm][c] = nil
		}
	}
}

func (s *simulation) run(d time.Duration) (total float64) {
	first := len(s.bytesPerStep)
	for range int(d / simulationStep) {
		s.step()
	}
	for _, n := range s.bytesPerStep[first:] {
		total += n
	}
	return total
}

// TestSumNeverExceedsCapacity guards against sending more bytes than the capacity of the link while VMs restart and elect
// different coordinators. In any window the sum is at most the capacity plus the possible burst: token buckets, one block per
// coordinator, and the blocks granted within one lifetime.
func TestSumNeverExceedsCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 8).Draw(t, "vms")
		s := newSimulation(vms)
		for vm := range vms {
			s.demand[vm] = [priority.NumClasses]bool{rapid.Bool().Draw(t, "i"), rapid.Bool().Draw(t, "t"), true}
		}
		for range rapid.IntRange(1, 8).Draw(t, "events") {
			vm := rapid.IntRange(0, vms-1).Draw(t, "vm")
			s.elected[vm] = rapid.IntRange(-1, vms-1).Draw(t, "coordinator")
			if rapid.Bool().Draw(t, "restart") {
				s.budgets[vm] = newBudget(s.settings, fmt.Sprint(vm), s.now)
				s.coordinators[vm] = newCoordinator(defaultShares, s.now)
			}
			s.run(time.Duration(rapid.IntRange(1, 8).Draw(t, "seconds")) * time.Second)
		}
		burstAllowance := float64(vms)*(localBurst+MaxBlock) + capacity*(1-localFraction)*blockLifetime.Seconds()
		prefix := []float64{0}
		for _, n := range s.bytesPerStep {
			prefix = append(prefix, prefix[len(prefix)-1]+n)
		}
		for from := 0; from < len(prefix); from += 10 {
			for to := from; to < len(prefix); to += 10 {
				if sum, limit := prefix[to]-prefix[from], capacity*simulationStep.Seconds()*float64(to-from)+burstAllowance; sum > limit {
					t.Fatalf("%.0f bytes in steps %d to %d, limit %.0f", sum, from, to, limit)
				}
			}
		}
	})
}

var _ = Describe("the pledged capacity", func() {
	// Guards against a flood of bulk bodies that starves the other classes, and the reverse.
	It("keeps the minimum shares of the classes in a flood", func() {
		s := newSimulation(8)
		for vm := range s.demand {
			s.demand[vm][priority.Bulk] = true
		}
		s.demand[0][priority.Transactional] = true
		s.demand[1][priority.Interactive] = true
		s.run(12 * time.Second)
		s.bytesByClass = [priority.NumClasses]float64{}
		total := s.run(20 * time.Second)
		for _, c := range priority.Classes() {
			GinkgoWriter.Printf("%v: %.3f of the bytes\n", c, s.bytesByClass[c]/total)
			Expect(s.bytesByClass[c]/total).To(BeNumerically(">=", 0.75*defaultShares[c]), c.String())
		}
	})

	// Guards against unused capacity while only one VM sends (a static split would limit it to an eighth).
	It("gives a single sending VM most of the capacity", func() {
		s := newSimulation(8)
		s.demand[3][priority.Bulk] = true
		s.run(12 * time.Second)
		const window = 20 * time.Second
		used := s.run(window) / (capacity * window.Seconds())
		GinkgoWriter.Printf("one of 8 VMs uses %.2f of the capacity\n", used)
		Expect(used).To(BeNumerically(">", 0.78))
		Expect(used).To(BeNumerically("<=", 0.85))
	})

	// Guards against a dead coordinator that stops all sending or permanently holds the shares pledged to it.
	It("falls back to the local rate when the coordinator dies and then recovers", func() {
		s := newSimulation(8)
		for vm := range s.demand {
			s.demand[vm][priority.Bulk] = true
		}
		s.run(15 * time.Second)
		s.coordinators[0] = newCoordinator(defaultShares, s.now)
		for vm := range s.elected {
			s.elected[vm] = -1
		}
		s.run(2 * time.Second)
		Expect(s.run(4*time.Second) / (4 * capacity)).To(BeNumerically("~", localFraction, 0.02))
		for vm := range s.elected {
			s.elected[vm] = 5
		}
		s.run(pledgeDuration)
		Expect(s.run(10*time.Second) / (10 * capacity)).To(BeNumerically(">", 0.9))
	})

	// Guards against an idle VM that accumulates bytes and later sends them in a burst.
	It("discards an unused block after its lifetime", func() {
		now := time.Unix(0, 0)
		b := newBudget(Settings{Capacity: capacity, VMs: 8, Shares: defaultShares}, "a", now)
		b.addBlock(now, priority.Bulk, MinBlock)
		Expect(b.consumeBlock(now.Add(blockLifetime), priority.Bulk, maxChunk)).To(BeTrue())
		Expect(b.consumeBlock(now.Add(blockLifetime+1), priority.Bulk, maxChunk)).To(BeFalse())
	})
})

// singleVMView is a membership view with one VM. Only Self and AliveInRegion are implemented.
type singleVMView struct{ membership.View }

func (singleVMView) Self() membership.Member { return membership.Member{ID: "a", Region: "east"} }
func (v singleVMView) AliveInRegion(string) []membership.Member {
	return []membership.Member{v.Self()}
}

var _ = Describe("the pacer", func() {
	newPacer := func() (*Pacer, *clock.Manual) {
		c := clock.NewManual(time.Unix(0, 0))
		o := peer.Options{ID: "a", Secret: "0123456789abcdef", Metrics: metrics.NewSet()}
		pool := peer.NewPool(o)
		p, err := NewPacer(Options{
			Settings: Settings{Capacity: capacity, VMs: 1, Shares: defaultShares}, Clock: c, View: singleVMView{},
			Sender: pool, Metrics: o.Metrics,
		})
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { p.Run(ctx); close(done) }()
		DeferCleanup(func() { cancel(); <-done; pool.Close() })
		return p, c
	}

	// Guards against a pacer that changes, truncates or does not delay a body.
	It("paces a reader and keeps its content", func() {
		p, c := newPacer()
		body := bytes.Repeat([]byte("archive "), 1<<18) // 2 MiB
		result := make(chan []byte, 1)
		go func() {
			data, _ := io.ReadAll(p.NewReader(context.Background(), priority.Bulk, bytes.NewReader(body)))
			result <- data
		}()
		began := c.Now()
		var got []byte
		Eventually(func() []byte {
			c.Advance(simulationStep)
			select {
			case got = <-result:
			default:
			}
			return got
		}, "20s", "200us").Should(HaveLen(len(body)))
		Expect(bytes.Equal(got, body)).To(BeTrue())
		Expect(c.Now().Sub(began).Seconds()).To(BeNumerically(">=", 0.9*float64(len(body))/capacity))
	})

	// Guards against a cancelled wait that remains queued and blocks later ones.
	It("ends a wait when its context is cancelled", func() {
		p, _ := newPacer()
		ctx, cancel := context.WithCancel(context.Background())
		result := make(chan error, 1)
		go func() { result <- p.Wait(ctx, priority.Bulk, maxChunk) }()
		cancel()
		Eventually(result, "5s").Should(Receive(MatchError(context.Canceled)))
		p.mu.Lock()
		defer p.mu.Unlock()
		Expect(p.waiters.Len(priority.Bulk)).To(BeZero())
	})
})
