package queue_test

import (
	"fmt"
	"time"

	"github.com/turmericsail/turmericsail/pkg/queue"
	"github.com/turmericsail/turmericsail/pkg/table"
)

func Example() {
	now := time.Unix(0, 0)
	q := queue.New[string](queue.DefaultSettings())
	interval := 2 * time.Millisecond // one slot becomes free per interval
	q.Push(now, &queue.Item[string]{Class: table.ClassBulk, Value: "report"}, interval)
	q.Push(now, &queue.Item[string]{Class: table.ClassCritical, Value: "dispatch"}, interval)
	admitted, _, after := q.Push(now, &queue.Item[string]{Deadline: now.Add(time.Millisecond), Value: "hint"}, interval)
	fmt.Println(admitted, after)
	next, _ := q.Pop(now)
	fmt.Println(next.Value)
	// Output:
	// false 4ms
	// dispatch
}
