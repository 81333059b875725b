package priority

import (
	"math"
	"time"
)

// Shares holds the minimum share of each class, between 0 and 1. The sum of all shares is at most 1.
type Shares [NumClasses]float64

const (
	// usageWindow is the time constant of the decayed total usage that bounds the credits: an idle class accumulates at most
	// its share of the usage of one window.
	usageWindow = time.Second
	// minDecayInterval is the minimum time between two decays of the accounts. It avoids an exponential function per Pop.
	minDecayInterval = time.Millisecond
	// costWeight is the EWMA weight of a new cost in the mean cost of a class.
	costWeight = 0.1
)

// AllClasses is the set of all classes.
const AllClasses ClassSet = 1<<NumClasses - 1

// ClassSet is a set of classes.
type ClassSet uint8

// With returns the set with c added.
func (s ClassSet) With(c Class) ClassSet { return s | 1<<c }

// Has reports whether c is in the set.
func (s ClassSet) Has(c Class) bool { return s&(1<<c) != 0 }

// Scheduler schedules the queued items of all classes. Backlogged classes that have used less than their minimum share over
// the last second are served first, the most urgent of them before the others. Remaining capacity goes to the most urgent
// backlogged class. Every operation except Sweep takes constant time. A Scheduler is not safe for concurrent use.
//
// Usage is estimated at Pop from the mean cost of the class and corrected by Charge, so Charge must be called once for each
// popped item. The cost of an item that was not served is 0.
type Scheduler[T any] struct {
	shares     Shares
	queueLimit int
	store      nodeStore[T]
	queues     [NumClasses]list
	accounts   [NumClasses]classAccount
	totalUsage float64 // usage of all classes, decayed over usageWindow
	decayedAt  time.Time
}

// classAccount holds the credit and usage of one class, in the unit of Charge.
type classAccount struct {
	credit        float64
	usage         float64 // decayed over usageWindow
	estimatedCost float64 // sum of the estimates of items popped but not yet charged
	outstanding   int
	meanCost      float64
	hasCost       bool
}

// NewScheduler returns a scheduler that queues at most limit items per class.
func NewScheduler[T any](shares Shares, limit int) *Scheduler[T] {
	s := &Scheduler[T]{shares: shares, queueLimit: limit}
	for c := range s.queues {
		s.queues[c] = list{head: nilIndex, tail: nilIndex}
	}
	return s
}

// SetShares replaces the minimum shares.
func (s *Scheduler[T]) SetShares(shares Shares) { s.shares = shares }

// Push queues an item without a deadline. It returns false if the queue of the class is full.
func (s *Scheduler[T]) Push(c Class, item T) bool {
	_, ok := s.PushWithDeadline(c, item, time.Time{}, time.Time{})
	return ok
}

// PushWithDeadline queues an item that arrived at now. A zero deadline means no deadline. It returns false if the queue of
// the class is full.
func (s *Scheduler[T]) PushWithDeadline(c Class, item T, now, deadline time.Time) (Handle, bool) {
	if s.queues[c].length >= s.queueLimit {
		return Handle{}, false
	}
	return s.store.pushBack(&s.queues[c], c, item, now, deadline), true
}

// Remove removes an item from its queue. It returns false if the item is no longer queued.
func (s *Scheduler[T]) Remove(h Handle) bool {
	if h.generation == 0 || int(h.index) >= len(s.store.nodes) || s.store.nodes[h.index].generation != h.generation {
		return false
	}
	s.store.unlink(&s.queues[s.store.nodes[h.index].class], h.index)
	return true
}

// Len returns the number of queued items of a class.
func (s *Scheduler[T]) Len(c Class) int { return s.queues[c].length }

// Pop removes and returns the next item to serve. It returns false if nothing is queued.
func (s *Scheduler[T]) Pop(now time.Time) (T, Class, bool) { return s.PopAllowed(now, AllClasses) }

// PopAllowed removes and returns the next item to serve among the allowed classes. It returns false if none is queued.
func (s *Scheduler[T]) PopAllowed(now time.Time, allowed ClassSet) (T, Class, bool) {
	i, c, ok := s.selectNode(now, allowed)
	if !ok {
		var zero T
		return zero, 0, false
	}
	s.chargeEstimate(c)
	return s.store.unlink(&s.queues[c], i), c, true
}

// Peek returns the item that Pop would return at now, without removing it.
func (s *Scheduler[T]) Peek(now time.Time) (T, Class, bool) {
	i, c, ok := s.selectNode(now, AllClasses)
	if !ok {
		var zero T
		return zero, 0, false
	}
	return s.store.nodes[i].item, c, true
}

// Front returns the oldest item of a class and its handle. Removing it with Remove does not count as usage; this is meant for
// items served from capacity reserved for their class.
func (s *Scheduler[T]) Front(c Class) (T, Handle, bool) {
	i := s.queues[c].head
	if i == nilIndex {
		var zero T
		return zero, Handle{}, false
	}
	n := &s.store.nodes[i]
	return n.item, Handle{index: i, generation: n.generation}, true
}

// selectNode selects the node to serve next among the allowed classes.
func (s *Scheduler[T]) selectNode(now time.Time, allowed ClassSet) (int32, Class, bool) {
	s.decay(now)
	c, ok := s.selectClass(allowed)
	if !ok {
		return nilIndex, 0, false
	}
	if c == Interactive && s.newestFirst(now) {
		return s.queues[c].tail, c, true
	}
	return s.queues[c].head, c, true
}

// newestFirst reports whether interactive items are served newest first. They are while the oldest one has waited for more
// than half of the time until its deadline: in arrival order every item would be served just before or after its deadline.
func (s *Scheduler[T]) newestFirst(now time.Time) bool {
	n := &s.store.nodes[s.queues[Interactive].head]
	return !n.deadline.IsZero() && now.Sub(n.queued) > n.deadline.Sub(n.queued)/2
}

// Sweep removes all items whose deadline has passed and calls drop for each. It takes time linear in the queue lengths.
func (s *Scheduler[T]) Sweep(now time.Time, drop func(T)) {
	for c := range s.queues {
		l := &s.queues[c]
		for i := l.head; i != nilIndex; {
			n := &s.store.nodes[i]
			next := n.next
			if !n.deadline.IsZero() && !n.deadline.After(now) {
				drop(s.store.unlink(l, i))
			}
			i = next
		}
	}
}

// selectClass selects the class to serve next among the allowed classes.
func (s *Scheduler[T]) selectClass(allowed ClassSet) (Class, bool) {
	fallback, found := Class(0), false
	for _, c := range Classes() {
		if s.queues[c].length == 0 || !allowed.Has(c) {
			continue
		}
		if s.Credit(c) > 0 {
			return c, true
		}
		if !found {
			fallback, found = c, true
		}
	}
	return fallback, found
}

// Credit returns the unused part of the minimum share of class c, in the unit of Charge. It is at most the share of the
// usage of all classes over the last second. It is negative if the class has used more than its share.
func (s *Scheduler[T]) Credit(c Class) float64 { return s.accounts[c].credit }

// UsageRate returns the recent usage of class c per second, in the unit of Charge.
func (s *Scheduler[T]) UsageRate(c Class) float64 { return s.accounts[c].usage / usageWindow.Seconds() }

// Charge replaces the estimated cost of one popped item of class c by its actual cost.
func (s *Scheduler[T]) Charge(c Class, cost float64) {
	a := &s.accounts[c]
	estimate := 0.0
	if a.outstanding > 0 {
		estimate = a.estimatedCost / float64(a.outstanding)
		a.outstanding--
		a.estimatedCost -= estimate
	}
	if cost > 0 {
		a.updateMeanCost(cost)
	}
	s.addUsage(c, cost-estimate)
}

func (a *classAccount) updateMeanCost(cost float64) {
	if !a.hasCost {
		a.hasCost, a.meanCost = true, cost
		return
	}
	a.meanCost += costWeight * (cost - a.meanCost)
}

// addUsage records an amount of usage: it is subtracted from the credit of class c, and each class is credited with its share
// of it. A credit is at most the share of the usage of one window, so that an idle class does not accumulate more. A negative
// credit has the same bound plus the cost of one item, so that a class that used the unused shares of others is not blocked
// for long when these classes become active again.
func (s *Scheduler[T]) addUsage(c Class, amount float64) {
	s.totalUsage = max(s.totalUsage+amount, 0)
	s.accounts[c].credit -= amount
	s.accounts[c].usage = max(s.accounts[c].usage+amount, 0)
	for i := range s.accounts {
		a := &s.accounts[i]
		bound := s.shares[i] * s.totalUsage
		a.credit = max(min(a.credit+s.shares[i]*amount, bound), -bound-s.itemCost(Class(i)))
	}
}

// MeanCost returns the mean cost of an item of class c. Before the first Charge of the class with a positive cost, it returns
// the mean of the other classes, or 0 if no cost is known.
func (s *Scheduler[T]) MeanCost(c Class) float64 {
	if s.accounts[c].hasCost {
		return s.accounts[c].meanCost
	}
	sum, known := 0.0, 0.0
	for i := range s.accounts {
		if s.accounts[i].hasCost {
			sum += s.accounts[i].meanCost
			known++
		}
	}
	if known == 0 {
		return 0
	}
	return sum / known
}

// itemCost returns the expected cost of an item of class c: its MeanCost, or 1 if no cost is known.
func (s *Scheduler[T]) itemCost(c Class) float64 {
	if cost := s.MeanCost(c); cost > 0 {
		return cost
	}
	return 1
}

func (s *Scheduler[T]) chargeEstimate(c Class) {
	cost := s.itemCost(c)
	a := &s.accounts[c]
	a.outstanding++
	a.estimatedCost += cost
	s.addUsage(c, cost)
}

func (s *Scheduler[T]) decay(now time.Time) {
	elapsed := now.Sub(s.decayedAt)
	if elapsed < minDecayInterval {
		return
	}
	s.decayedAt = now
	factor := math.Exp(-elapsed.Seconds() / usageWindow.Seconds())
	s.totalUsage *= factor
	for c := range s.accounts {
		s.accounts[c].usage *= factor
	}
	s.addUsage(Interactive, 0)
}
