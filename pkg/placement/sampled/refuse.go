package sampled

import (
	"math/rand/v2"
	"time"
)

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
	soon := ch.retrySoon(point)
	if ch.meetsTarget(now.Add(soon)) {
		return soon
	}
	later := time.Duration(retryLaterShare * float64(ch.deadline.Sub(now)))
	return max(time.Duration((0.4+0.6*point)*float64(later)), soon)
}

// retrySoon returns the delay before the retry of a request that can still meet its target.
func (ch *chooser) retrySoon(point float64) time.Duration {
	return time.Duration((retrySoonMin + point*(retrySoonMax-retrySoonMin)) * float64(ch.target))
}

// meetsTarget reports whether a request that returns at the given time can still meet its target.
func (ch *chooser) meetsTarget(returns time.Time) bool {
	return returns.Sub(ch.start)+time.Duration(workShare*float64(ch.target)) < ch.target
}

// retryAfterShed returns the delay after which a caller may retry whose request was refused by the upstreams that it was
// sent to, or false if nothing speaks for another delay than the usual one. The load that it answers: upstreams that
// refuse a part of their requests although they have free slots. A request that returns soon then still meets its
// target. While the pool is crowded, the refusals are due to load, which an early return adds to.
func (ch *chooser) retryAfterShed(now time.Time, point float64) (time.Duration, bool) {
	if ch.overloaded() || ch.pool.mostlyFull() {
		return 0, false
	}
	after := ch.retrySoon(point)
	return after, ch.meetsTarget(now.Add(after))
}

// RetryAfterShed returns the delay after which a caller may retry whose request was refused by upstreams, or false if the
// usual one applies.
func (p *Policy) RetryAfterShed(r Request, deadline time.Time) (time.Duration, bool) {
	recent := p.poolPressure(r.Pool.Name)
	ch := &chooser{target: r.Route.Target.Std(), deadline: deadline, start: r.Start, pressure: recent.level(), pool: recent}
	return ch.retryAfterShed(time.Now(), rand.Float64())
}

// Crowded reports whether a pool is overloaded or mostly full, so that extra copies of requests would take slots from
// requests that have none.
func (p *Policy) Crowded(pool string) bool {
	recent := p.poolPressure(pool)
	return recent.level() > overloadPressure || recent.mostlyFull()
}

// maxSpread bounds the time over which callers return that were refused until the same moment.
const maxSpread = time.Second

// spread returns a delay after wait, so that callers that wait for the same upstream do not return together. point
// is uniform in [0, 1).
func spread(wait time.Duration, point float64) time.Duration {
	return wait + time.Duration(point*float64(min(wait, maxSpread)))
}
