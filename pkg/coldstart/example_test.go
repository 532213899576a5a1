package coldstart_test

import (
	"fmt"
	"time"

	"github.com/turmericsail/turmericsail/pkg/coldstart"
)

// The limit of a new upstream rises with good answers and is reset by a new start.
func Example() {
	now := time.Unix(1000, 0)
	t := coldstart.NewTracker(coldstart.DefaultSettings(), coldstart.Ramp{Allowance: 1, Answers: 8, Slots: 4}, now)
	start := "s1"
	for i := range uint64(5) {
		if i == 4 {
			start = "s2"
		}
		s := t.State()
		t.Observe(now, "a/1", coldstart.Batch{Sequence: i + 1, StartID: start, Generation: s.Generation, Level: s.Limit, Good: 8})
		fmt.Println(t.State().Limit, t.State().Warm)
	}
	// Output:
	// 2 false
	// 4 false
	// 4 true
	// 4 true
	// 1 false
}
