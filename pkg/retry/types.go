// Package retry decides whether a failed request is retried and whether a slow one
// is hedged with a second copy. Budgets are ratios of the requests seen, so the extra
// load stays bounded in a full outage, and the sum over all instances keeps the ratio
// without coordination.
package retry

import "time"

// Request describes a request whose attempts may fail.
type Request struct {
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// Deadline is the time after which a response is no longer useful; zero means none.
	Deadline time.Time
	// MaxAttempts is the maximum number of attempts, including the first one.
	MaxAttempts int
	// Depth is the depth of the call in a chain of calls; 1 is the outermost level.
	Depth int
	// CallerBudget is the number of retries that the caller of a nested call allows.
	CallerBudget int
}

// Attempt is a failed attempt.
type Attempt struct {
	// NotRun is set if it is certain that the upstream did not run the attempt.
	NotRun bool
	// RetryAfter is the minimum delay that the upstream requested.
	RetryAfter time.Duration
}

// Decision is the decision about a retry after a failed attempt.
type Decision struct {
	// Retry is set if another attempt is allowed.
	Retry bool
	// Delay is the delay before the next attempt.
	Delay time.Duration
	// Reason states the rule that forbids a retry.
	Reason string
}
