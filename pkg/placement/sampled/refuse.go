package sampled

import "time"

const (
	// retrySoonMin is the shortest retry delay, as a share of the target, of a request that can still meet its
	// target. It gives a running request time to end.
	retrySoonMin = 0.1
	// retrySoonMax is the longest such delay. Delays are spread so that requests refused together do not
	// retry together.
	retrySoonMax = 0.3
	// retryLaterShare is the longest retry delay of all other requests, as a share of the time until the
	// deadline. It does not shorten the delay below that from retrySoonMin and retrySoonMax.
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
// still meet its target retries soon; for others the delay is spread over up to
// retryLaterShare of the time until the deadline, so that a retry may meet a lower
// load. point is uniform in [0, 1).
func (ch *chooser) retryAfter(now time.Time, point float64) time.Duration {
	target := float64(ch.target)
	soon := time.Duration((retrySoonMin + point*(retrySoonMax-retrySoonMin)) * target)
	if now.Add(soon).Sub(ch.start)+time.Duration(workShare*target) < ch.target {
		return soon
	}
	later := time.Duration(retryLaterShare * float64(ch.deadline.Sub(now)))
	return max(time.Duration((0.4+0.6*point)*float64(later)), soon)
}

// maxSpread bounds the time over which callers return that were refused until the same moment.
const maxSpread = time.Second

// spread returns a delay after wait, so that callers that wait for the same upstream do not return together. point
// is uniform in [0, 1).
func spread(wait time.Duration, point float64) time.Duration {
	return wait + time.Duration(point*float64(min(wait, maxSpread)))
}
