package priority_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hornbeamway/hornbeamway/internal/testsupport"
	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

func init() { testsupport.FixRapid("20261204", "") }

func TestPriority(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "priority")
}

var (
	start  = time.Unix(1_000_000, 0)
	shares = priority.Shares{0.5, 0.3, 0.1}
)

// runSlot serves the given backlogged classes with a single slot for the total time and returns the share of the time that
// each class used.
func runSlot(s *priority.Scheduler[int], from time.Time, total time.Duration, cost [priority.NumClasses]time.Duration,
	backlogged priority.ClassSet) (share [priority.NumClasses]float64) {
	now := from
	for now.Before(from.Add(total)) {
		for _, c := range priority.Classes() {
			if backlogged.Has(c) && s.Len(c) == 0 {
				s.Push(c, 0)
			}
		}
		_, c, ok := s.Pop(now)
		Expect(ok).To(BeTrue())
		now = now.Add(cost[c])
		s.Charge(c, cost[c].Seconds())
		share[c] += cost[c].Seconds() / total.Seconds()
	}
	return share
}

func sameCost(d time.Duration) [priority.NumClasses]time.Duration {
	return [priority.NumClasses]time.Duration{d, d, d}
}

var classSet = func(classes ...priority.Class) (s priority.ClassSet) {
	for _, c := range classes {
		s = s.With(c)
	}
	return s
}

// Guards against a class that is starved in a flood and against unused shares that do not go to the most urgent class.
var _ = DescribeTable("gives each backlogged class its minimum share and the rest to the most urgent class",
	func(backlogged priority.ClassSet, cost [priority.NumClasses]time.Duration, want [priority.NumClasses]float64) {
		share := runSlot(priority.NewScheduler[int](shares, 8), start, 20*time.Second, cost, backlogged)
		for c := range want {
			Expect(share[c]).To(BeNumerically("~", want[c], 0.03), "class %d", c)
		}
	},
	Entry("all", priority.AllClasses, sameCost(10*time.Millisecond), [3]float64{0.6, 0.3, 0.1}),
	Entry("without interactive", classSet(priority.Transactional, priority.Bulk),
		sameCost(10*time.Millisecond), [3]float64{0, 0.9, 0.1}),
	Entry("bulk alone", classSet(priority.Bulk), sameCost(10*time.Millisecond), [3]float64{0, 0, 1}),
	Entry("bulk items with twenty times the cost", priority.AllClasses,
		[3]time.Duration{10 * time.Millisecond, 10 * time.Millisecond, 200 * time.Millisecond}, [3]float64{0.6, 0.3, 0.1}),
)

// Guards against a class that accumulates credit while idle and then blocks the others.
var _ = It("bounds the credit that an idle class accumulates", func() {
	s := priority.NewScheduler[int](shares, 8)
	runSlot(s, start, time.Minute, sameCost(10*time.Millisecond), classSet(priority.Interactive))
	Expect(s.Credit(priority.Bulk)).To(BeNumerically("<=", 0.11))
	share := runSlot(s, start.Add(time.Minute), time.Second, sameCost(10*time.Millisecond),
		classSet(priority.Interactive, priority.Bulk))
	Expect(share[priority.Bulk]).To(BeNumerically("<=", 0.21))
})

// Guards against a collapse of goodput in a flood, in which every item is served just after its deadline.
var _ = It("serves the newest interactive item first once the oldest has waited for more than half of its deadline", func() {
	s := priority.NewScheduler[int](shares, 8)
	for i := range 3 {
		s.PushWithDeadline(priority.Interactive, i, start, start.Add(100*time.Millisecond))
	}
	first, _, _ := s.Pop(start.Add(50 * time.Millisecond))
	second, _, _ := s.Pop(start.Add(51 * time.Millisecond))
	Expect([]int{first, second}).To(Equal([]int{0, 2}))
})

// Guards against lost, duplicated or reordered items, queues longer than the limit, old handles that remove another item, and
// a Peek or Front that returns an item other than the next one.
func TestQueuesKeepEveryItem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 5
		s := priority.NewScheduler[int](shares, limit)
		var model [priority.NumClasses][]int
		handles := map[int]priority.Handle{}
		classOf := map[int]priority.Class{}
		next, now := 0, start
		class := rapid.SampledFrom([]priority.Class{priority.Interactive, priority.Transactional, priority.Bulk})
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				c := class.Draw(t, "class")
				h, ok := s.PushWithDeadline(c, next, now, time.Time{})
				if ok != (len(model[c]) < limit) {
					t.Fatalf("push returned %v with %d queued", ok, len(model[c]))
				}
				if ok {
					model[c], handles[next], classOf[next] = append(model[c], next), h, c
				}
				next++
			},
			"pop": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
				peeked, peekedClass, peekedOK := s.Peek(now)
				item, c, ok := s.Pop(now)
				if peeked != item || peekedClass != c || peekedOK != ok {
					t.Fatalf("peeked %d of %v (%v), popped %d of %v (%v)", peeked, peekedClass, peekedOK, item, c, ok)
				}
				if !ok {
					return
				}
				if model[c][0] != item {
					t.Fatalf("popped %d, want %d", item, model[c][0])
				}
				model[c] = model[c][1:]
				s.Charge(c, rapid.Float64Range(0, 1).Draw(t, "cost"))
			},
			"remove": func(t *rapid.T) {
				if next == 0 {
					return
				}
				item := rapid.IntRange(0, next-1).Draw(t, "item")
				c, found := classOf[item], false
				for i, queued := range model[c] {
					if _, pushed := handles[item]; pushed && queued == item {
						model[c], found = append(append([]int{}, model[c][:i]...), model[c][i+1:]...), true
						break
					}
				}
				if s.Remove(handles[item]) != found {
					t.Fatalf("remove of %d: want %v", item, found)
				}
			},
			"remove front": func(t *rapid.T) {
				c := class.Draw(t, "class")
				item, h, ok := s.Front(c)
				if ok != (len(model[c]) > 0) || s.Remove(h) != ok {
					t.Fatalf("front of %v with %d queued: %v", c, len(model[c]), ok)
				}
				if ok {
					if item != model[c][0] {
						t.Fatalf("front %d, want %d", item, model[c][0])
					}
					model[c] = model[c][1:]
				}
			},
			"": func(t *rapid.T) {
				for _, c := range priority.Classes() {
					if s.Len(c) != len(model[c]) {
						t.Fatalf("%v: length %d, want %d", c, s.Len(c), len(model[c]))
					}
				}
			},
		})
	})
}
