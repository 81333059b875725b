package link

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
	"github.com/hornbeamway/hornbeamway/pkg/membership"
	"github.com/hornbeamway/hornbeamway/pkg/peer"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

// The property tests use a fixed seed unless the command line gives another.
func init() { _ = flag.Set("rapid.seed", "20261204") }

func TestLink(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "link")
}

const (
	capacity = 30e6 / 8
	step     = 20 * time.Millisecond
)

var ordinary = priority.Shares{0.5, 0.3, 0.1}

// simulation runs accounts and coordinators without goroutines.
type simulation struct {
	now      time.Time
	settings Settings
	accounts []*account
	leads    []*coordinator
	elected  []int // coordinator that each VM sees; negative: none
	pending  [][priority.NumClasses]*request
	demand   [][priority.NumClasses]bool
	sent     []float64 // all bytes of each step
	byClass  [priority.NumClasses]float64
}

func newSimulation(vms int) *simulation {
	s := &simulation{now: time.Unix(0, 0), settings: Settings{Capacity: capacity, VMs: vms, Shares: ordinary},
		elected: make([]int, vms), pending: make([][priority.NumClasses]*request, vms), demand: make([][priority.NumClasses]bool, vms)}
	for i := range vms {
		s.accounts = append(s.accounts, newAccount(s.settings, fmt.Sprint(i), s.now))
		s.leads = append(s.leads, newCoordinator(ordinary, s.now))
	}
	return s
}

func (s *simulation) step() {
	s.now = s.now.Add(step)
	var sum float64
	for vm, a := range s.accounts {
		if lead := s.elected[vm]; lead >= 0 {
			if p, due := a.pledge(s.now); due {
				s.leads[lead].pledge(s.now, p)
			}
		}
		sum += s.send(vm, a)
	}
	for _, l := range s.leads {
		l.grant(s.now)
	}
	s.sent = append(s.sent, sum)
}

func (s *simulation) send(vm int, a *account) (sum float64) {
	for _, c := range priority.Classes() {
		if !s.demand[vm][c] {
			continue
		}
		s.collect(vm, a, c)
		n := 0
		for a.takeBlock(s.now, c, chunk) || a.takeOwn(s.now, chunk) {
			n += chunk
		}
		sum += float64(n)
		s.byClass[c] += float64(n)
		if lead := s.elected[vm]; s.pending[vm][c] == nil && lead >= 0 {
			r := &request{bytes: a.sizes[c], deadline: s.now.Add(grantWait), granted: make(chan int, 1)}
			if s.leads[lead].ask(c, r) {
				s.pending[vm][c] = r
			}
		}
	}
	return sum
}

func (s *simulation) collect(vm int, a *account, c priority.Class) {
	r := s.pending[vm][c]
	if r == nil {
		return
	}
	select {
	case n := <-r.granted:
		a.addBlock(s.now, c, n)
		s.pending[vm][c] = nil
	default:
		if s.now.After(r.deadline) {
			s.pending[vm][c] = nil
		}
	}
}

func (s *simulation) run(d time.Duration) (total float64) {
	first := len(s.sent)
	for range int(d / step) {
		s.step()
	}
	for _, n := range s.sent[first:] {
		total += n
	}
	return total
}

// Guards against more bytes than the link carries while VMs restart and see different coordinators. In any window the
// sum is at most the capacity plus what may be saved up: buckets, one block per coordinator, blocks of one lifetime.
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
				s.accounts[vm] = newAccount(s.settings, fmt.Sprint(vm), s.now)
				s.leads[vm] = newCoordinator(ordinary, s.now)
			}
			s.run(time.Duration(rapid.IntRange(1, 8).Draw(t, "seconds")) * time.Second)
		}
		saved := float64(vms)*(localBurst+MaxBlock) + capacity*(1-localPart)*blockLifetime.Seconds()
		prefix := []float64{0}
		for _, n := range s.sent {
			prefix = append(prefix, prefix[len(prefix)-1]+n)
		}
		for from := 0; from < len(prefix); from += 10 {
			for to := from; to < len(prefix); to += 10 {
				if sum, limit := prefix[to]-prefix[from], capacity*step.Seconds()*float64(to-from)+saved; sum > limit {
					t.Fatalf("%.0f bytes in steps %d to %d, limit %.0f", sum, from, to, limit)
				}
			}
		}
	})
}

var _ = Describe("the shared part", func() {
	// Guards against a flood of bulk bodies that delays urgent ones, and the reverse.
	It("keeps the classes' shares in a flood", func() {
		s := newSimulation(8)
		for vm := range s.demand {
			s.demand[vm][priority.Bulk] = true
		}
		s.demand[0][priority.Transactional] = true
		s.demand[1][priority.Interactive] = true
		s.run(12 * time.Second)
		s.byClass = [priority.NumClasses]float64{}
		total := s.run(20 * time.Second)
		for _, c := range priority.Classes() {
			GinkgoWriter.Printf("%v: %.3f of the bytes\n", c, s.byClass[c]/total)
			Expect(s.byClass[c]/total).To(BeNumerically(">=", 0.75*ordinary[c]), c.String())
		}
	})

	// Guards against capacity that is lost although only one VM sends (a static split would give it an eighth).
	It("gives one VM nearly the whole link", func() {
		s := newSimulation(8)
		s.demand[3][priority.Bulk] = true
		s.run(12 * time.Second)
		const window = 20 * time.Second
		used := s.run(window) / (capacity * window.Seconds())
		GinkgoWriter.Printf("one of 8 VMs uses %.2f of the capacity\n", used)
		Expect(used).To(BeNumerically(">", 0.78))
		Expect(used).To(BeNumerically("<=", 0.85))
	})

	// Guards against a dead coordinator that stops the link or keeps its parts for good.
	It("goes on with the own part and recovers when the coordinator dies", func() {
		s := newSimulation(8)
		for vm := range s.demand {
			s.demand[vm][priority.Bulk] = true
		}
		s.run(15 * time.Second)
		s.leads[0] = newCoordinator(ordinary, s.now)
		for vm := range s.elected {
			s.elected[vm] = -1
		}
		s.run(2 * time.Second)
		Expect(s.run(4*time.Second) / (4 * capacity)).To(BeNumerically("~", localPart, 0.02))
		for vm := range s.elected {
			s.elected[vm] = 5
		}
		s.run(pledgeTime)
		Expect(s.run(10*time.Second) / (10 * capacity)).To(BeNumerically(">", 0.9))
	})

	// Guards against bytes saved up by an idle VM that later burst onto the link.
	It("drops an unused block after its lifetime", func() {
		now := time.Unix(0, 0)
		a := newAccount(Settings{Capacity: capacity, VMs: 8, Shares: ordinary}, "a", now)
		a.addBlock(now, priority.Bulk, MinBlock)
		Expect(a.takeBlock(now.Add(blockLifetime), priority.Bulk, chunk)).To(BeTrue())
		Expect(a.takeBlock(now.Add(blockLifetime+1), priority.Bulk, chunk)).To(BeFalse())
	})
})

// onlySelf is a view with one VM. Other methods are not used.
type onlySelf struct{ membership.View }

func (onlySelf) Self() membership.Member { return membership.Member{ID: "a", Region: "east"} }
func (v onlySelf) AliveInRegion(string) []membership.Member {
	return []membership.Member{v.Self()}
}

var _ = Describe("the pacer", func() {
	newPacer := func() (*Pacer, *clock.Manual) {
		c := clock.NewManual(time.Unix(0, 0))
		o := peer.Options{ID: "a", Secret: "0123456789abcdef", Metrics: metrics.NewSet()}
		pool := peer.NewPool(o)
		p, err := NewPacer(Options{Settings: Settings{Capacity: capacity, VMs: 1, Shares: ordinary}, Clock: c, View: onlySelf{}, Sender: pool, Metrics: o.Metrics})
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { p.Run(ctx); close(done) }()
		DeferCleanup(func() { cancel(); <-done; pool.Close() })
		return p, c
	}

	// Guards against a body that is changed, cut off or not delayed by the pacer.
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
			c.Advance(step)
			select {
			case got = <-result:
			default:
			}
			return got
		}, "20s", "200us").Should(HaveLen(len(body)))
		Expect(bytes.Equal(got, body)).To(BeTrue())
		Expect(c.Now().Sub(began).Seconds()).To(BeNumerically(">=", 0.9*float64(len(body))/capacity))
	})

	// Guards against a cancelled body that keeps its place and holds up others.
	It("ends a wait with its context", func() {
		p, _ := newPacer()
		ctx, cancel := context.WithCancel(context.Background())
		result := make(chan error, 1)
		go func() { result <- p.Wait(ctx, priority.Bulk, chunk) }()
		cancel()
		Eventually(result, "5s").Should(Receive(MatchError(context.Canceled)))
		p.mu.Lock()
		defer p.mu.Unlock()
		Expect(p.waiting.Len(priority.Bulk)).To(BeZero())
	})
})
