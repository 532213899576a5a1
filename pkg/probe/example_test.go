package probe_test

import (
	"fmt"
	"time"

	"github.com/turmericsail/turmericsail/pkg/probe"
)

// An upstream that fails fast is ejected, so that it does not attract load by looking idle.
func Example() {
	now := time.Unix(1000, 0)
	stats := probe.NewStats(probe.DefaultSettings())
	for range 10 {
		stats.Record(now, probe.Failure, time.Millisecond)
	}
	summary := stats.Evaluate(now, 0)
	fmt.Println(summary.Condition)

	ejector := probe.NewEjector(probe.DefaultSettings())
	advice := ejector.Step(now, map[string]probe.Summary{"u1": summary, "u2": {Condition: probe.Healthy}})
	fmt.Println(advice["u1"].Usable, advice["u2"].Usable)

	load, _ := probe.ParseLoad("in_flight=3, slots=4, state=ok, start=k3x9", now)
	fmt.Println(load.InFlight, load.Slots, load.State)
	// Output:
	// failing-fast
	// false true
	// 3 4 ok
}
