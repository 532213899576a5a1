package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/entry"
	"github.com/turmericsail/turmericsail/pkg/table"
	"github.com/turmericsail/turmericsail/platform"
)

// Guards against a reserve of further attempts that each instance spends for itself: over all instances, any
// ten seconds must have at most a fifth of the requests and the reserve, whatever the number of instances, also
// when a calm hour ends in an outage and when all instances restart in it.
func TestRetryBudgetHoldsOverAllInstances(t *testing.T) {
	const (
		tick    = 100 * time.Millisecond
		window  = int(10 * time.Second / tick)
		reserve = 630
	)
	for _, instances := range []int{18, 101, 471, 2000} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			is := is.New(t)
			bounds := platform.Bounds{RetryPercent: 20, RetryReserve: reserve}
			pool, route := &table.Pool{Name: "p"}, &table.Route{Retry: table.Retry{MaxAttempts: 3}}
			fleet := make([]*retryBudgets, instances)
			start := func() {
				for i := range fleet {
					fleet[i] = newRetryBudgets(bounds, func() int { return instances })
				}
			}
			start()
			var requests, extra []int
			for step := range 4 * window {
				shedding := step >= 2*window
				if step == 2*window+window/2 {
					start()
				}
				sent, again := 0, 0
				for i, b := range fleet {
					if (step+i)%2 > 0 { // five requests a second
						continue
					}
					b.Request(pool, route)
					sent++
					for shedding {
						if _, ok := b.Retry(entry.RetryRequest{Pool: pool, Route: route}); !ok {
							break
						}
						again++
					}
				}
				requests, extra = append(requests, sent), append(extra, again)
				allowed, used := float64(reserve), 0
				for n := max(0, step-window+1); n <= step; n++ {
					allowed += 0.2 * float64(requests[n])
					used += extra[n]
				}
				is.True(float64(used) <= allowed)
			}
		})
	}
}

// Guards against instances whose part of the reserve is below one attempt and that therefore never retry.
func TestSmallShareOfReserveIsUsed(t *testing.T) {
	is := is.New(t)
	b := newRetryBudgets(platform.Bounds{RetryPercent: 20, RetryReserve: 100}, func() int { return 400 })
	pool, route := &table.Pool{Name: "p"}, &table.Route{Retry: table.Retry{MaxAttempts: 3}}
	used := 0
	const requests = 2000
	for range requests {
		b.Request(pool, route)
		if _, ok := b.Retry(entry.RetryRequest{Pool: pool, Route: route}); ok {
			used++
		}
	}
	is.True(used >= requests/10) // 16% are allowed
	is.True(used <= requests/5)
}
