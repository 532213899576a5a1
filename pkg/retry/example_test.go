package retry_test

import (
	"fmt"
	"time"

	"github.com/turmericsail/turmericsail/pkg/retry"
)

func Example() {
	budget := retry.NewBudget(10, 10) // 10% of requests, at most 10 accumulated
	policy := retry.NewPolicy(retry.DefaultSettings(), budget, func() float64 { return 0.5 })
	request := retry.Request{Idempotent: true, MaxAttempts: 2, Depth: 1}
	for range 9 {
		policy.Start(request)
	}
	now := time.Unix(0, 0)
	fmt.Println(policy.Start(request).Failed(now, retry.Attempt{}).Delay)
	fmt.Println(policy.Start(request).Failed(now, retry.Attempt{}).Reason)
	// Output:
	// 5ms
	// the retry budget is used up
}
