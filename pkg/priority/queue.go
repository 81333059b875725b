package priority

import "time"

// Handle names one queued item for Remove. The zero Handle names none.
type Handle struct {
	index int32
	seq   uint32
}

// none marks the end of a list.
const none = int32(-1)

type node[T any] struct {
	item             T
	queued, deadline time.Time
	prev, next       int32
	seq              uint32 // changes when the node is freed, so that old handles name nothing
	class            Class
}

type list struct {
	head, tail int32
	length     int
}

// store keeps the queued items of all classes in one slice, so that a steady load does not allocate.
type store[T any] struct {
	nodes []node[T]
	free  []int32
}

func (s *store[T]) pushBack(l *list, c Class, item T, queued, deadline time.Time) Handle {
	i := s.allocate()
	n := &s.nodes[i]
	n.item, n.class, n.queued, n.deadline = item, c, queued, deadline
	n.prev, n.next = l.tail, none
	if l.tail == none {
		l.head = i
	} else {
		s.nodes[l.tail].next = i
	}
	l.tail = i
	l.length++
	return Handle{index: i, seq: n.seq}
}

func (s *store[T]) allocate() int32 {
	if last := len(s.free) - 1; last >= 0 {
		i := s.free[last]
		s.free = s.free[:last]
		return i
	}
	s.nodes = append(s.nodes, node[T]{seq: 1})
	return int32(len(s.nodes) - 1)
}

func (s *store[T]) unlink(l *list, i int32) T {
	n := &s.nodes[i]
	if n.prev == none {
		l.head = n.next
	} else {
		s.nodes[n.prev].next = n.next
	}
	if n.next == none {
		l.tail = n.prev
	} else {
		s.nodes[n.next].prev = n.prev
	}
	l.length--
	item := n.item
	var zero T
	n.item = zero
	n.seq++
	s.free = append(s.free, i)
	return item
}
