// Package queue holds requests that wait for a slot. The queue is short, knows
// deadlines, serves workspaces of a class in turn and higher classes first, and
// refuses a request at once when it would wait too long: an early refusal lets
// the caller go elsewhere, a late one has used up its time.
//
// A Queue is not safe for concurrent use; its owner passes the time as an argument.
package queue

import (
	"container/list"
	"time"

	"github.com/turmericsail/turmericsail/pkg/table"
)

// Settings bound a queue.
type Settings struct {
	// Capacity is the largest number of waiting requests.
	Capacity int
	// MaxWait is the longest estimated wait of each class; a request that would
	// wait longer is refused. Lower classes have lower bounds, so they are
	// refused first when capacity is short.
	MaxWait map[table.Class]time.Duration
}

// DefaultSettings returns bounds for services of about 10 ms. With 60 ms for normal
// requests some were refused while a failure domain left at 70% of the slots.
func DefaultSettings() Settings {
	return Settings{Capacity: 1024, MaxWait: map[table.Class]time.Duration{
		table.ClassCritical: 400 * time.Millisecond,
		table.ClassNormal:   150 * time.Millisecond,
		table.ClassBulk:     20 * time.Millisecond,
	}}
}

// overstay is the multiple of MaxWait after which a waiting request is refused:
// the estimate at admission does not foresee arrivals of higher classes.
const overstay = 2

var classes = [...]table.Class{table.ClassCritical, table.ClassNormal, table.ClassBulk}

func rank(c table.Class) int {
	switch c {
	case table.ClassCritical:
		return 0
	case table.ClassBulk:
		return 2
	}
	return 1
}

// Item is a waiting request. The fields are set before Push and not changed afterwards.
type Item[T any] struct {
	Workspace string
	Class     table.Class // empty means normal
	Deadline  time.Time   // zero means none
	Began     time.Time   // older requests of a workspace and class are served first; zero means Push
	Value     T

	since   time.Time
	element *list.Element // in flow.items; nil when not waiting
	flow    *flow[T]
}

// flow holds the waiting requests of one workspace in one class.
type flow[T any] struct {
	workspace string
	items     list.List // of *Item[T], oldest first
	turn      *list.Element
}

// level holds the flows of one class.
type level[T any] struct {
	flows map[string]*flow[T]
	turns list.List // of *flow[T], next to serve first
	size  int
}

// Queue holds waiting requests of all classes.
type Queue[T any] struct {
	settings Settings
	levels   [len(classes)]level[T]
	size     int
}

// New returns an empty queue.
func New[T any](s Settings) *Queue[T] {
	q := &Queue[T]{settings: s}
	for i := range q.levels {
		q.levels[i].flows = map[string]*flow[T]{}
	}
	return q
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.size }

// Wait estimates how long a request of the class and workspace would wait if one
// waiting request were served in each interval.
func (q *Queue[T]) Wait(class table.Class, workspace string, interval time.Duration) time.Duration {
	c, ahead := rank(class), 0
	for i := range c {
		ahead += q.levels[i].size
	}
	own := 0
	if f := q.levels[c].flows[workspace]; f != nil {
		own = f.items.Len()
	}
	// Workspaces are served in turn, so each other workspace takes at most as many turns as this one.
	for _, f := range q.levels[c].flows {
		ahead += min(f.items.Len(), own+1)
	}
	return time.Duration(ahead+1) * interval
}

// Push admits the request or refuses it. When the queue is full, the newest
// request of the lowest class below the item's own makes room and is returned as evicted.
// A refusal comes with the estimated time until the request could be served.
func (q *Queue[T]) Push(now time.Time, it *Item[T], interval time.Duration) (admitted bool, evicted *Item[T], retryAfter time.Duration) {
	wait := q.Wait(it.Class, it.Workspace, interval)
	if !it.Deadline.IsZero() && now.Add(wait).After(it.Deadline) {
		return false, nil, wait
	}
	if bound, ok := q.settings.MaxWait[classes[rank(it.Class)]]; ok && wait > bound {
		return false, nil, wait
	}
	if q.size >= q.settings.Capacity {
		if evicted = q.evict(rank(it.Class)); evicted == nil {
			return false, nil, wait
		}
	}
	q.insert(now, it)
	return true, evicted, 0
}

func (q *Queue[T]) insert(now time.Time, it *Item[T]) {
	l := &q.levels[rank(it.Class)]
	f := l.flows[it.Workspace]
	if f == nil {
		f = &flow[T]{workspace: it.Workspace}
		f.turn = l.turns.PushBack(f)
		l.flows[it.Workspace] = f
	}
	if it.Began.IsZero() {
		it.Began = now
	}
	it.since, it.flow = now, f
	it.element = f.insert(it)
	l.size++
	q.size++
}

// insert puts the request behind those that began no later.
func (f *flow[T]) insert(it *Item[T]) *list.Element {
	for e := f.items.Back(); e != nil; e = e.Prev() {
		if !e.Value.(*Item[T]).Began.After(it.Began) {
			return f.items.InsertAfter(it, e)
		}
	}
	return f.items.PushFront(it)
}

// evict removes the newest request of the workspace with the most waiting requests
// in the lowest class below rank c.
func (q *Queue[T]) evict(c int) *Item[T] {
	for i := len(q.levels) - 1; i > c; i-- {
		var longest *flow[T]
		for e := q.levels[i].turns.Front(); e != nil; e = e.Next() {
			if f := e.Value.(*flow[T]); longest == nil || f.items.Len() > longest.items.Len() {
				longest = f
			}
		}
		if longest != nil {
			it := longest.items.Back().Value.(*Item[T])
			q.Remove(it)
			return it
		}
	}
	return nil
}

// Remove takes a request out, for instance when its caller has gone. It reports
// whether the request was waiting.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	if it.element == nil {
		return false
	}
	l := &q.levels[rank(it.Class)]
	it.flow.items.Remove(it.element)
	if it.flow.items.Len() == 0 {
		l.turns.Remove(it.flow.turn)
		delete(l.flows, it.Workspace)
	}
	it.element = nil
	l.size--
	q.size--
	return true
}

// Restore puts a request that Pop returned back to the head of its workspace's line.
func (q *Queue[T]) Restore(it *Item[T]) {
	since := it.since
	q.insert(since, it)
	q.levels[rank(it.Class)].turns.MoveToFront(it.flow.turn)
}

// Head calls visit for the first n requests in about the order in which Pop
// returns them; the first requests of all workspaces of a class come before the second ones.
func (q *Queue[T]) Head(n int, visit func(*Item[T])) {
	for i := range q.levels {
		left := min(n, q.levels[i].size)
		n -= left
		for depth := 0; left > 0; depth++ {
			left = q.levels[i].row(depth, left, visit)
		}
	}
}

// row visits the request at the given depth of each workspace, at most left of them.
func (l *level[T]) row(depth, left int, visit func(*Item[T])) int {
	for e := l.turns.Front(); e != nil && left > 0; e = e.Next() {
		x := e.Value.(*flow[T]).items.Front()
		for range depth {
			if x != nil {
				x = x.Next()
			}
		}
		if x != nil {
			visit(x.Value.(*Item[T]))
			left--
		}
	}
	return left
}

// Last returns the newest request of the lowest class that satisfies ok, without
// removing it. It looks at the newest request of each workspace only.
func (q *Queue[T]) Last(ok func(T) bool) *Item[T] {
	for i := len(q.levels) - 1; i >= 0; i-- {
		for e := q.levels[i].turns.Back(); e != nil; e = e.Prev() {
			if it := e.Value.(*flow[T]).items.Back().Value.(*Item[T]); ok(it.Value) {
				return it
			}
		}
	}
	return nil
}

// Pop returns the next request to serve: of the highest class that waits, of the
// workspace whose turn it is, the oldest. Requests that are past their deadline
// are returned as expired.
func (q *Queue[T]) Pop(now time.Time) (next *Item[T], expired []*Item[T]) {
	for i := range q.levels {
		l := &q.levels[i]
		for l.size > 0 {
			f := l.turns.Front().Value.(*flow[T])
			l.turns.MoveToBack(f.turn)
			it := f.items.Front().Value.(*Item[T])
			q.Remove(it)
			if !q.late(now, it) {
				return it, expired
			}
			expired = append(expired, it)
		}
	}
	return nil, expired
}

// Expire removes and returns the requests that are past their deadline or have
// waited far beyond the bound of their class.
func (q *Queue[T]) Expire(now time.Time) (expired []*Item[T]) {
	for i := range q.levels {
		for e := q.levels[i].turns.Front(); e != nil; e = e.Next() {
			for x := e.Value.(*flow[T]).items.Front(); x != nil; x = x.Next() {
				if it := x.Value.(*Item[T]); q.late(now, it) {
					expired = append(expired, it)
				}
			}
		}
	}
	for _, it := range expired {
		q.Remove(it)
	}
	return expired
}

func (q *Queue[T]) late(now time.Time, it *Item[T]) bool {
	if !it.Deadline.IsZero() && !now.Before(it.Deadline) {
		return true
	}
	bound, ok := q.settings.MaxWait[classes[rank(it.Class)]]
	return ok && now.Sub(it.since) > overstay*bound
}
