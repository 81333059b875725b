package priority

import "time"

// Handle identifies a queued item for Remove. The zero Handle identifies no item.
type Handle struct {
	index      int32
	generation uint32
}

// nilIndex is the node index that marks the end of a list.
const nilIndex = int32(-1)

type node[T any] struct {
	item             T
	queued, deadline time.Time
	prev, next       int32
	generation       uint32 // incremented when the node is freed, so that old handles become invalid
	class            Class
}

// list is a doubly linked list of nodes.
type list struct {
	head, tail int32
	length     int
}

// nodeStore holds the queued items of all classes in one slice, so that a steady load does not allocate.
type nodeStore[T any] struct {
	nodes     []node[T]
	freeNodes []int32
}

func (s *nodeStore[T]) pushBack(l *list, c Class, item T, queued, deadline time.Time) Handle {
	i := s.allocate()
	n := &s.nodes[i]
	n.item, n.class, n.queued, n.deadline = item, c, queued, deadline
	n.prev, n.next = l.tail, nilIndex
	if l.tail == nilIndex {
		l.head = i
	} else {
		s.nodes[l.tail].next = i
	}
	l.tail = i
	l.length++
	return Handle{index: i, generation: n.generation}
}

func (s *nodeStore[T]) allocate() int32 {
	if last := len(s.freeNodes) - 1; last >= 0 {
		i := s.freeNodes[last]
		s.freeNodes = s.freeNodes[:last]
		return i
	}
	s.nodes = append(s.nodes, node[T]{generation: 1})
	return int32(len(s.nodes) - 1)
}

func (s *nodeStore[T]) unlink(l *list, i int32) T {
	n := &s.nodes[i]
	if n.prev == nilIndex {
		l.head = n.next
	} else {
		s.nodes[n.prev].next = n.next
	}
	if n.next == nilIndex {
		l.tail = n.prev
	} else {
		s.nodes[n.next].prev = n.prev
	}
	l.length--
	item := n.item
	var zero T
	n.item = zero
	n.generation++
	s.freeNodes = append(s.freeNodes, i)
	return item
}
