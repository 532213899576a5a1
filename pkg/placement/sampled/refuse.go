package sampled

import "time"

const (
	// soonMin and soonMax are the shares of the target after which a refused request comes back while it
	// can still meet its target: long enough for a running request to end, spread so that those refused
	// together do not return together.
	soonMin = 0.1
	soonMax = 0.3
	// laterShare is the share of the time left that callers wait at most before they come back.
	laterShare = 1.0 / 3
)

// Refused is the error of a request that was not placed. After is when the caller
// may come back.
type Refused struct {
	error
	After time.Duration
}

// Unwrap returns the classified error.
func (r *Refused) Unwrap() error { return r.error }

// RetryAfter is when the caller may come back.
func (r *Refused) RetryAfter() time.Duration { return r.After }

// comeBack returns when the caller may come back. A request that can still meet
// its target comes back soon; one that cannot is spread over the time that its
// caller would wait, where it may find the valley of a wave. point is uniform in [0, 1).
func (ch *chooser) comeBack(now time.Time, point float64) time.Duration {
	target := float64(ch.target)
	soon := time.Duration((soonMin + point*(soonMax-soonMin)) * target)
	if now.Add(soon).Sub(ch.start)+time.Duration(workShare*target) < ch.target {
		return soon
	}
	later := time.Duration(laterShare * float64(ch.deadline.Sub(now)))
	return max(time.Duration((0.4+0.6*point)*float64(later)), soon)
}
