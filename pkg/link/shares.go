package link

import (
	"time"

	"github.com/hornbeamway/hornbeamway/pkg/priority"
)

// queue orders waiting items by class; priority.Scheduler has the same methods.
type queue[T any] interface {
	Push(c priority.Class, item T) bool
	Pop(now time.Time) (T, priority.Class, bool)
	Charge(c priority.Class, cost float64)
	Len(c priority.Class) int
	SetShares(Shares)
}

// shareQueue serves first a waiting class that has used less than its minimum share, in order of urgency, then the most
// urgent waiting class.
type shareQueue[T any] struct {
	shares Shares
	limit  int
	window float64 // bound of a credit
	credit [priority.NumClasses]float64
	items  [priority.NumClasses][]T
}

// newShareQueue returns a queue with at most limit items of each class and credits of at most window.
func newShareQueue[T any](shares Shares, limit int, window float64) *shareQueue[T] {
	return &shareQueue[T]{shares: shares, limit: limit, window: window}
}

// SetShares replaces the minimum shares.
func (q *shareQueue[T]) SetShares(shares Shares) { q.shares = shares }

// Push adds an item; false means that the class's queue is full.
func (q *shareQueue[T]) Push(c priority.Class, item T) bool {
	if len(q.items[c]) >= q.limit {
		return false
	}
	q.items[c] = append(q.items[c], item)
	return true
}

// Pop removes the next item.
func (q *shareQueue[T]) Pop(time.Time) (item T, c priority.Class, ok bool) {
	c, ok = q.next()
	if !ok {
		return item, c, false
	}
	item = q.items[c][0]
	q.items[c] = q.items[c][1:]
	return item, c, true
}

func (q *shareQueue[T]) next() (priority.Class, bool) {
	for _, c := range priority.Classes() {
		if len(q.items[c]) > 0 && q.credit[c] > 0 {
			return c, true
		}
	}
	for _, c := range priority.Classes() {
		if len(q.items[c]) > 0 {
			return c, true
		}
	}
	return 0, false
}

// Charge accounts for cost used by a class. Every class earns its share of it; a class that does not wait keeps no more
// than the window, so that unused share is lent and not owed.
func (q *shareQueue[T]) Charge(c priority.Class, cost float64) {
	q.credit[c] -= cost
	for i := range q.credit {
		q.credit[i] = min(q.window, max(-q.window, q.credit[i]+q.shares[i]*cost))
	}
}

// Len returns the number of waiting items of a class.
func (q *shareQueue[T]) Len(c priority.Class) int { return len(q.items[c]) }
