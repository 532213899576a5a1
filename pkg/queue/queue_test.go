package queue

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/turmericsail/turmericsail/pkg/table"
)

// The property tests use a fixed seed unless the command line gives one.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

var epoch = time.Unix(1000, 0)

// Guards against an expired request that is returned by Pop, a lost or duplicated
// request, a lower class that is served before a higher one, and exceeding the capacity.
func TestQueueModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int](Settings{Capacity: 6, MaxWait: map[table.Class]time.Duration{table.ClassBulk: 5 * time.Millisecond}})
		now, next := epoch, 0
		waiting := map[*Item[int]]bool{}
		markRemoved := func(items ...*Item[int]) {
			for _, it := range items {
				if !waiting[it] {
					t.Fatalf("item %d left the queue twice or was never in it", it.Value)
				}
				delete(waiting, it)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				next++
				it := &Item[int]{Value: next, Workspace: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "workspace"),
					Class: rapid.SampledFrom(classes[:]).Draw(t, "class")}
				if d := rapid.IntRange(0, 20).Draw(t, "deadline"); d > 0 {
					it.Deadline = now.Add(time.Duration(d) * time.Millisecond)
				}
				admitted, evicted, _ := q.Push(now, it, time.Millisecond)
				if evicted != nil {
					markRemoved(evicted)
				}
				if admitted {
					waiting[it] = true
				}
			},
			"pop": func(t *rapid.T) {
				it, expired := q.Pop(now)
				markRemoved(expired...)
				if it == nil {
					return
				}
				markRemoved(it)
				if !it.Deadline.IsZero() && !now.Before(it.Deadline) {
					t.Fatalf("item %d was returned by Pop after its deadline", it.Value)
				}
				for w := range waiting {
					if rank(w.Class) < rank(it.Class) {
						t.Fatalf("class %s was served while %s waited", it.Class, w.Class)
					}
				}
			},
			"expire": func(*rapid.T) { markRemoved(q.Expire(now)...) },
			"remove": func(t *rapid.T) {
				for it := range waiting {
					q.Remove(it)
					markRemoved(it)
					return
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 8).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if q.Len() != len(waiting) || q.Len() > 6 {
					t.Fatalf("the queue counts %d requests, the model %d", q.Len(), len(waiting))
				}
			},
		})
	})
}

// Guards against a workspace that starves another one of the same class by sending
// more requests.
func TestWorkspacesTakeTurns(t *testing.T) {
	is := is.New(t)
	q := New[string](Settings{Capacity: 100})
	for range 20 {
		q.Push(epoch, &Item[string]{Workspace: "loud", Value: "loud"}, 0)
	}
	q.Push(epoch, &Item[string]{Workspace: "quiet", Value: "quiet"}, 0)
	is.Equal(q.Wait(table.ClassNormal, "quiet", time.Millisecond), 4*time.Millisecond)
	q.Pop(epoch)
	it, _ := q.Pop(epoch)
	is.Equal(it.Value, "quiet")
}

// Guards against a full queue that refuses a critical request while bulk requests
// wait, and against late refusals: each class has its own bound on the wait.
func TestLowerClassesAreRefusedFirst(t *testing.T) {
	is := is.New(t)
	q := New[int](Settings{Capacity: 2, MaxWait: DefaultSettings().MaxWait})
	bulk := &Item[int]{Class: table.ClassBulk}
	q.Push(epoch, bulk, time.Millisecond)
	q.Push(epoch, &Item[int]{}, time.Millisecond)
	admitted, evicted, _ := q.Push(epoch, &Item[int]{Class: table.ClassCritical}, time.Millisecond)
	is.True(admitted)
	is.Equal(evicted, bulk)
	admitted, _, after := q.Push(epoch, &Item[int]{Class: table.ClassBulk}, 10*time.Millisecond)
	is.True(!admitted)
	is.Equal(after, 30*time.Millisecond)
}
