// Package queue implements a bounded queue of requests that wait for a slot. Higher
// classes are served first, and the workspaces of a class are served round-robin.
// A request that would miss its deadline or wait longer than the bound of its class
// is refused on arrival: an early refusal leaves the caller time to retry
// elsewhere, a late one does not.
//
// A Queue is not safe for concurrent use. Its methods take the current time as an
// argument.
package queue

import (
	"container/list"
	"time"

	"github.com/turmericsail/turmericsail/pkg/table"
)

// Settings are the bounds of a queue.
type Settings struct {
	// Capacity is the maximum number of waiting requests.
	Capacity int
	// MaxWait is the longest estimated wait of each class. A request that would wait
	// longer is refused. Lower classes have lower bounds, so they are refused first
	// when capacity is insufficient.
	MaxWait map[table.Class]time.Duration
}

// DefaultSettings returns bounds for service times of about 10 ms. A MaxWait of 60 ms
// for normal requests would refuse some of them while a failure domain is removed at a
// load of 70% of the slots.
func DefaultSettings() Settings {
	return Settings{Capacity: 1024, MaxWait: map[table.Class]time.Duration{
		table.ClassCritical: 400 * time.Millisecond,
		table.ClassNormal:   150 * time.Millisecond,
		table.ClassBulk:     20 * time.Millisecond,
	}}
}

// maxWaitFactor is the multiple of MaxWait after which a waiting request expires.
// It exceeds 1 because the estimate on admission does not include later arrivals of
// higher classes.
const maxWaitFactor = 2

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

// Item is a waiting request. The exported fields must be set before Push and not
// modified afterwards.
type Item[T any] struct {
	Workspace string
	Class     table.Class // empty means ClassNormal
	Deadline  time.Time   // zero means none
	Began     time.Time   // older requests of a workspace and class are served first; zero means the time of Push
	Value     T

	pushedAt time.Time
	element  *list.Element // in flow.items; nil if not in the queue
	flow     *flow[T]
}

// flow is the queue of one workspace in one class.
type flow[T any] struct {
	workspace   string
	items       list.List // of *Item[T], oldest first
	turnElement *list.Element
}

// classQueue holds the flows of one class.
type classQueue[T any] struct {
	flows map[string]*flow[T]
	turns list.List // of *flow[T] in round-robin order, next to serve first
	size  int
}

// Queue holds the waiting requests of all classes.
type Queue[T any] struct {
	settings    Settings
	classQueues [len(classes)]classQueue[T]
	size        int
}

// New returns an empty queue.
func New[T any](s Settings) *Queue[T] {
	q := &Queue[T]{settings: s}
	for i := range q.classQueues {
		q.classQueues[i].flows = map[string]*flow[T]{}
	}
	return q
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.size }

// Wait estimates how long a new request of the class and workspace would wait if
// one waiting request is served per interval.
func (q *Queue[T]) Wait(class table.Class, workspace string, interval time.Duration) time.Duration {
	c, ahead := rank(class), 0
	for i := range c {
		ahead += q.classQueues[i].size
	}
	own := 0
	if f := q.classQueues[c].flows[workspace]; f != nil {
		own = f.items.Len()
	}
	// Workspaces are served round-robin, so each other workspace is served at most as
	// many times as this one.
	for _, f := range q.classQueues[c].flows {
		ahead += min(f.items.Len(), own+1)
	}
	return time.Duration(ahead+1) * interval
}

// Push admits or refuses the request. If the queue is full, a request of a class
// lower than the item's is removed and returned as evicted: the newest request of
// the workspace with the most waiting requests in the lowest class. For a refused
// request, retryAfter is the estimated time until it could be served.
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
	l := &q.classQueues[rank(it.Class)]
	f := l.flows[it.Workspace]
	if f == nil {
		f = &flow[T]{workspace: it.Workspace}
		f.turnElement = l.turns.PushBack(f)
		l.flows[it.Workspace] = f
	}
	if it.Began.IsZero() {
		it.Began = now
	}
	it.pushedAt, it.flow = now, f
	it.element = f.insert(it)
	l.size++
	q.size++
}

// insert adds the request after all requests that began at the same time or earlier.
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
	for i := len(q.classQueues) - 1; i > c; i-- {
		var longest *flow[T]
		for e := q.classQueues[i].turns.Front(); e != nil; e = e.Next() {
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

// Remove removes a request, for example when its caller has cancelled it. It reports
// whether the request was in the queue.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	if it.element == nil {
		return false
	}
	l := &q.classQueues[rank(it.Class)]
	it.flow.items.Remove(it.element)
	if it.flow.items.Len() == 0 {
		l.turns.Remove(it.flow.turnElement)
		delete(l.flows, it.Workspace)
	}
	it.element = nil
	l.size--
	q.size--
	return true
}

// Restore puts a request that Pop returned back into the queue of its workspace and
// makes the workspace the next one to serve.
func (q *Queue[T]) Restore(it *Item[T]) {
	since := it.pushedAt
	q.insert(since, it)
	q.classQueues[rank(it.Class)].turns.MoveToFront(it.flow.turnElement)
}

// Head calls visit for the first n requests in approximately the order in which Pop
// returns them: within a class, the first request of each workspace precedes the
// second request of any workspace.
func (q *Queue[T]) Head(n int, visit func(*Item[T])) {
	for i := range q.classQueues {
		left := min(n, q.classQueues[i].size)
		n -= left
		for depth := 0; left > 0; depth++ {
			left = q.classQueues[i].visitDepth(depth, left, visit)
		}
	}
}

// visitDepth visits the request at the given depth of each workspace, at most left
// requests, and returns the number of requests still to visit.
func (l *classQueue[T]) visitDepth(depth, left int, visit func(*Item[T])) int {
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

// Last returns, without removing it, a request of the lowest class that satisfies
// ok. It examines only the newest request of each workspace, starting with the
// workspace to be served last.
func (q *Queue[T]) Last(ok func(T) bool) *Item[T] {
	for i := len(q.classQueues) - 1; i >= 0; i-- {
		for e := q.classQueues[i].turns.Back(); e != nil; e = e.Prev() {
			if it := e.Value.(*flow[T]).items.Back().Value.(*Item[T]); ok(it.Value) {
				return it
			}
		}
	}
	return nil
}

// Pop removes and returns the next request to serve: the oldest request of the next
// workspace in round-robin order in the highest class with waiting requests. Expired
// requests that it removes on the way are returned as well; see Expire.
func (q *Queue[T]) Pop(now time.Time) (next *Item[T], expired []*Item[T]) {
	for i := range q.classQueues {
		l := &q.classQueues[i]
		for l.size > 0 {
			f := l.turns.Front().Value.(*flow[T])
			l.turns.MoveToBack(f.turnElement)
			it := f.items.Front().Value.(*Item[T])
			q.Remove(it)
			if !q.expired(now, it) {
				return it, expired
			}
			expired = append(expired, it)
		}
	}
	return nil, expired
}

// Expire removes and returns the requests that are past their deadline or have
// waited longer than maxWaitFactor times the MaxWait of their class.
func (q *Queue[T]) Expire(now time.Time) (expired []*Item[T]) {
	for i := range q.classQueues {
		for e := q.classQueues[i].turns.Front(); e != nil; e = e.Next() {
			for x := e.Value.(*flow[T]).items.Front(); x != nil; x = x.Next() {
				if it := x.Value.(*Item[T]); q.expired(now, it) {
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

func (q *Queue[T]) expired(now time.Time, it *Item[T]) bool {
	if !it.Deadline.IsZero() && !now.Before(it.Deadline) {
		return true
	}
	bound, ok := q.settings.MaxWait[classes[rank(it.Class)]]
	return ok && now.Sub(it.pushedAt) > maxWaitFactor*bound
}
