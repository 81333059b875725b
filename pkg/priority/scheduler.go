package priority

import (
	"math"
	"time"
)

// Shares holds the minimum share of each class, between 0 and 1. The sum is at most 1.
type Shares [NumClasses]float64

const (
	// accountWindow is the time constant of the total use that bounds the credits: an idle class saves up at most its
	// share of what was used in one window.
	accountWindow = time.Second
	// decayStep is the least time between two decays of the accounts; it saves an exponential per Pop.
	decayStep = time.Millisecond
	// costWeight is the weight of a new cost in the mean cost of a class.
	costWeight = 0.1
)

// AllClasses allows every class in PopAllowed.
const AllClasses ClassSet = 1<<NumClasses - 1

// ClassSet is a set of classes.
type ClassSet uint8

// With returns the set with c added.
func (s ClassSet) With(c Class) ClassSet { return s | 1<<c }

// Has tells whether c is in the set.
func (s ClassSet) Has(c Class) bool { return s&(1<<c) != 0 }

// Scheduler orders queued items: a backlogged class that has used less than its minimum share over the last second is
// served first, the most urgent such class before the others; what is left goes to the most urgent backlogged class.
// Each operation takes constant time, except Sweep. It is not safe for concurrent use.
//
// Use is counted at Pop with the mean cost of the class and corrected by Charge, so each popped item needs one Charge;
// the cost of an item that was not served is 0.
type Scheduler[T any] struct {
	shares   Shares
	limit    int
	store    store[T]
	queues   [NumClasses]list
	accounts [NumClasses]account
	total    float64 // use of all classes, decayed over accountWindow
	decayed  time.Time
}

// account is the credit of one class, in the unit of Charge.
type account struct {
	credit      float64
	used        float64 // decayed over accountWindow
	estimated   float64 // sum of the estimates of items that were popped and not charged yet
	outstanding int
	meanCost    float64
	known       bool
}

// NewScheduler returns a scheduler whose queues hold at most limit items per class.
func NewScheduler[T any](shares Shares, limit int) *Scheduler[T] {
	s := &Scheduler[T]{shares: shares, limit: limit}
	for c := range s.queues {
		s.queues[c] = list{head: none, tail: none}
	}
	return s
}

// SetShares replaces the minimum shares.
func (s *Scheduler[T]) SetShares(shares Shares) { s.shares = shares }

// Push queues an item without a deadline. It returns false when the queue of the class is full.
func (s *Scheduler[T]) Push(c Class, item T) bool {
	_, ok := s.PushUntil(c, item, time.Time{}, time.Time{})
	return ok
}

// PushUntil queues an item at the time now. A zero deadline means none. It returns false when the queue of the class is
// full.
func (s *Scheduler[T]) PushUntil(c Class, item T, now, deadline time.Time) (Handle, bool) {
	if s.queues[c].length >= s.limit {
		return Handle{}, false
	}
	return s.store.pushBack(&s.queues[c], c, item, now, deadline), true
}

// Remove takes a queued item out. It returns false when the item is no longer queued.
func (s *Scheduler[T]) Remove(h Handle) bool {
	if h.seq == 0 || int(h.index) >= len(s.store.nodes) || s.store.nodes[h.index].seq != h.seq {
		return false
	}
	s.store.unlink(&s.queues[s.store.nodes[h.index].class], h.index)
	return true
}

// Len returns the number of queued items of a class.
func (s *Scheduler[T]) Len(c Class) int { return s.queues[c].length }

// Pop returns the next item to serve, or false when nothing is queued.
func (s *Scheduler[T]) Pop(now time.Time) (T, Class, bool) { return s.PopAllowed(now, AllClasses) }

// PopAllowed returns the next item to serve among the allowed classes.
func (s *Scheduler[T]) PopAllowed(now time.Time, allowed ClassSet) (T, Class, bool) {
	i, c, ok := s.choose(now, allowed)
	if !ok {
		var zero T
		return zero, 0, false
	}
	s.estimate(c)
	return s.store.unlink(&s.queues[c], i), c, true
}

// Peek returns the item that Pop would return at now and leaves it queued.
func (s *Scheduler[T]) Peek(now time.Time) (T, Class, bool) {
	i, c, ok := s.choose(now, AllClasses)
	if !ok {
		var zero T
		return zero, 0, false
	}
	return s.store.nodes[i].item, c, true
}

// Front returns the oldest item of a class and its handle. Remove takes it out without counting it as use, for an item
// that is served from capacity that belongs to its class alone.
func (s *Scheduler[T]) Front(c Class) (T, Handle, bool) {
	i := s.queues[c].head
	if i == none {
		var zero T
		return zero, Handle{}, false
	}
	n := &s.store.nodes[i]
	return n.item, Handle{index: i, seq: n.seq}, true
}

// choose picks the node to serve next among the allowed classes.
func (s *Scheduler[T]) choose(now time.Time, allowed ClassSet) (int32, Class, bool) {
	s.decay(now)
	c, ok := s.next(allowed)
	if !ok {
		return none, 0, false
	}
	if c == Interactive && s.flooded(now) {
		return s.queues[c].tail, c, true
	}
	return s.queues[c].head, c, true
}

// flooded tells whether the oldest interactive item has waited more than half of its deadline. From then on the newest
// is served first: in arrival order every item would be served just before or after its deadline.
func (s *Scheduler[T]) flooded(now time.Time) bool {
	n := &s.store.nodes[s.queues[Interactive].head]
	return !n.deadline.IsZero() && now.Sub(n.queued) > n.deadline.Sub(n.queued)/2
}

// Sweep takes out all items whose deadline has passed and calls drop with each. It takes time linear in the queues.
func (s *Scheduler[T]) Sweep(now time.Time, drop func(T)) {
	for c := range s.queues {
		l := &s.queues[c]
		for i := l.head; i != none; {
			n := &s.store.nodes[i]
			next := n.next
			if !n.deadline.IsZero() && !n.deadline.After(now) {
				drop(s.store.unlink(l, i))
			}
			i = next
		}
	}
}

// next picks the class to serve.
func (s *Scheduler[T]) next(allowed ClassSet) (Class, bool) {
	leftOver, found := Class(0), false
	for _, c := range Classes() {
		if s.queues[c].length == 0 || !allowed.Has(c) {
			continue
		}
		if s.Credit(c) > 0 {
			return c, true
		}
		if !found {
			leftOver, found = c, true
		}
	}
	return leftOver, found
}

// Credit returns what the class may still use of its minimum share, in the unit of Charge. It is at most the share of
// what all classes used in the last second.
func (s *Scheduler[T]) Credit(c Class) float64 { return s.accounts[c].credit }

// Rate returns the recent use of class c per second, in the unit of Charge.
func (s *Scheduler[T]) Rate(c Class) float64 { return s.accounts[c].used / accountWindow.Seconds() }

// Charge corrects the use of class c by the real cost of one popped item.
func (s *Scheduler[T]) Charge(c Class, cost float64) {
	a := &s.accounts[c]
	estimate := 0.0
	if a.outstanding > 0 {
		estimate = a.estimated / float64(a.outstanding)
		a.outstanding--
		a.estimated -= estimate
	}
	if cost > 0 {
		a.learn(cost)
	}
	s.use(c, cost-estimate)
}

func (a *account) learn(cost float64) {
	if !a.known {
		a.known, a.meanCost = true, cost
		return
	}
	a.meanCost += costWeight * (cost - a.meanCost)
}

// use books an amount: the class pays it, and each class is credited its share of it. Credit ends at the share of one
// window, so that an idle class does not save up; debt ends there too, plus one item, so that a class that was lent
// unused share is not shut out for long when the others return.
func (s *Scheduler[T]) use(c Class, amount float64) {
	s.total = max(s.total+amount, 0)
	s.accounts[c].credit -= amount
	s.accounts[c].used = max(s.accounts[c].used+amount, 0)
	for i := range s.accounts {
		a := &s.accounts[i]
		bound := s.shares[i] * s.total
		a.credit = max(min(a.credit+s.shares[i]*amount, bound), -bound-s.itemCost(Class(i)))
	}
}

// MeanCost returns the mean cost of an item of class c; before the first Charge of the class, the mean of the other
// classes, or 0 when no cost is known.
func (s *Scheduler[T]) MeanCost(c Class) float64 {
	if s.accounts[c].known {
		return s.accounts[c].meanCost
	}
	sum, known := 0.0, 0.0
	for i := range s.accounts {
		if s.accounts[i].known {
			sum += s.accounts[i].meanCost
			known++
		}
	}
	if known == 0 {
		return 0
	}
	return sum / known
}

// itemCost returns the cost to expect of an item of class c.
func (s *Scheduler[T]) itemCost(c Class) float64 {
	if cost := s.MeanCost(c); cost > 0 {
		return cost
	}
	return 1
}

func (s *Scheduler[T]) estimate(c Class) {
	cost := s.itemCost(c)
	a := &s.accounts[c]
	a.outstanding++
	a.estimated += cost
	s.use(c, cost)
}

func (s *Scheduler[T]) decay(now time.Time) {
	elapsed := now.Sub(s.decayed)
	if elapsed < decayStep {
		return
	}
	s.decayed = now
	factor := math.Exp(-elapsed.Seconds() / accountWindow.Seconds())
	s.total *= factor
	for c := range s.accounts {
		s.accounts[c].used *= factor
	}
	s.use(Interactive, 0)
}
