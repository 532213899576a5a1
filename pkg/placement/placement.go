// Package placement decides which upstream a request goes to, whether it waits
// and whether it is refused.
//
// The product's policy, "broker", asks the slot broker of the entry's own
// failure domain for a permit. The broker owns the slots of the pool's upstreams
// in that failure domain, so entries do not collide on upstreams with 4 to 6
// slots. The baselines "random", "round-robin", "least-in-flight" and
// "two-choices" choose from what one entry knows and exist to be measured
// against.
//
// Broker and Client are deterministic state machines that take the time and
// messages as arguments; Service runs them over peer.Transport.
package placement

import (
	"context"
	"time"

	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// Request describes a request that needs an upstream.
type Request struct {
	// Pool names the pool that serves the request.
	Pool string
	// Workspace is the customer whose request it is; waiting requests are served fairly between workspaces.
	Workspace string
	// Class is the priority group; empty means normal.
	Class table.Class
	// Deadline is the time at which an answer is useless; zero means none.
	Deadline time.Time
	// Age is the time since the request arrived at its first entry: it includes the
	// way of a relayed request and the first attempt of a retry or hedge. Within a
	// class and workspace, older requests are served first.
	Age time.Duration
	// HomeRegions are the only regions whose upstreams may be chosen; empty means all.
	HomeRegions []string
	// Exclude lists the IDs of upstreams that this request was already sent to.
	Exclude []string
	// NoWait refuses the request unless a slot is free at once.
	NoWait bool
	// MaxWait refuses the request when its estimated wait is longer; zero means no
	// bound. Hedges set it to HedgeMaxWait.
	MaxWait time.Duration
	// CanRelay allows a permit that names another instance to pass the request to.
	// Passing a request on costs one crossing of the link each way, acquiring a
	// slot over the link and then sending the request costs two.
	CanRelay bool
	// Relayed marks a request that another instance passed on; it is not passed on again.
	Relayed bool
}

// HedgeMaxWait is the MaxWait for hedges: when requests wait longer for a slot,
// second copies lengthen the queue more than they shorten the tail.
const HedgeMaxWait = 5 * time.Millisecond

// Result classifies the end of an attempt.
type Result int

const (
	// Answered means that the upstream gave a whole answer.
	Answered Result = iota
	// Shed means that the upstream refused the request without running it.
	Shed
	// Failed means that the attempt failed, with or without an effect.
	Failed
	// Canceled means that this side ended the attempt, as for the loser of a hedge.
	Canceled
)

// Load is what an upstream reports about itself with an answer.
type Load struct {
	// InFlight is the number of requests that run or wait at the upstream.
	InFlight int
	// Slots is the number of concurrent requests that it can run.
	Slots int
}

// Outcome tells a policy how an attempt ended.
type Outcome struct {
	// Result classifies the end.
	Result Result
	// Latency is the time from sending the request to the start of the answer; zero means not measured.
	Latency time.Duration
	// Load is the upstream's own report, or nil.
	Load *Load
}

// Permit is the right to send one request to one upstream.
type Permit interface {
	// Upstream returns the chosen upstream. It is empty when Relay reports true.
	Upstream() table.Upstream
	// Relay returns the instance to pass the request to instead of an upstream.
	// It reports true only for requests with CanRelay.
	Relay() (peer.InstanceID, bool)
	// Done gives the permit back. Only the first call counts.
	Done(outcome Outcome)
}

// Policy chooses upstreams.
type Policy interface {
	// Acquire returns a permit. An Exhausted fault means that the request was
	// refused before it reached any upstream; RetryAfter gives the time after
	// which a repeat may succeed.
	Acquire(ctx context.Context, r Request) (Permit, error)
}

// Limits gives the number of concurrent requests that an upstream may have now:
// the adaptive limit, the allowance of a cold upstream, or 0 for an ejected one.
type Limits interface {
	Limit(upstream string, now time.Time) int
}

// LimitsFunc is a function that implements Limits.
type LimitsFunc func(upstream string, now time.Time) int

// Limit implements Limits.
func (f LimitsFunc) Limit(upstream string, now time.Time) int { return f(upstream, now) }
