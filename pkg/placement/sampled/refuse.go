package sampled

import "time"

const (
	// retrySoonMin and retrySoonMax bound the retry delay, as shares of the target, of a request that can
	// still meet its target: long enough for a running request to end, and spread so that requests refused
	// together do not retry together.
	retrySoonMin = 0.1
	retrySoonMax = 0.3
	// retryLaterShare bounds the retry delay of all other requests, as a share of the time until the deadline.
	retryLaterShare = 1.0 / 3
)

// RefusedError is returned for a request that was not placed. After is the delay after
// which the caller may retry.
type RefusedError struct {
	error
	After time.Duration
}

// Unwrap returns the underlying error, which carries the fault kind.
func (r *RefusedError) Unwrap() error { return r.error }

// RetryAfter returns the delay after which the caller may retry.
func (r *RefusedError) RetryAfter() time.Duration { return r.After }

// retryAfter returns the delay after which the caller may retry. A request that can
// still meet its target retries soon; for others the delay is spread over the time
// that the caller would wait, so that a retry may hit a dip in a load that rises and
// falls. point is uniform in [0, 1).
func (ch *chooser) retryAfter(now time.Time, point float64) time.Duration {
	target := float64(ch.target)
	soon := time.Duration((retrySoonMin + point*(retrySoonMax-retrySoonMin)) * target)
	if now.Add(soon).Sub(ch.start)+time.Duration(workShare*target) < ch.target {
		return soon
	}
	later := time.Duration(retryLaterShare * float64(ch.deadline.Sub(now)))
	return max(time.Duration((0.4+0.6*point)*float64(later)), soon)
}
