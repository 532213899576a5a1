package callers

// queue is a list of connections, oldest first. Its nodes belong to the connections, so that a request on a kept
// connection, which leaves and enters queues, allocates nothing.
type queue[T any] struct {
	first, last *node[T]
	length      int
}

// node is the place of one connection in at most one queue.
type node[T any] struct {
	owner          T
	in             *queue[T] // nil outside of queues
	previous, next *node[T]
}

// push adds a node that is in no queue.
func (q *queue[T]) push(n *node[T]) {
	n.in, n.previous, n.next = q, q.last, nil
	if q.last == nil {
		q.first = n
	} else {
		q.last.next = n
	}
	q.last = n
	q.length++
}

// leave takes the node out of its queue, if it is in one.
func (n *node[T]) leave() {
	q := n.in
	if q == nil {
		return
	}
	if n.previous == nil {
		q.first = n.next
	} else {
		n.previous.next = n.next
	}
	if n.next == nil {
		q.last = n.previous
	} else {
		n.next.previous = n.previous
	}
	n.in, n.previous, n.next = nil, nil, nil
	q.length--
}
