// Package placement selects an upstream for each request, queues the request
// until a slot is free, or refuses it.
//
// An instance that accepts a request is called its entry. The policy used in
// production, "broker", asks the slot broker of the entry's own failure domain
// for a permit. A slot is the capacity of an upstream for one concurrent request.
// The broker owns the slots of the pool's upstreams in its failure domain, so
// entries do not collide on upstreams with 4 to 6 slots. The baseline policies
// "random", "round-robin", "least-in-flight" and "two-choices" use only the state
// of one entry; they exist for comparison in measurements.
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
	// Workspace is the customer that sent the request; workspaces share the queue of a class fairly.
	Workspace string
	// Class is the priority group; empty means normal.
	Class table.Class
	// Deadline is the time after which an answer is useless; zero means none.
	Deadline time.Time
	// Age is the time since the request arrived at its first entry, including the
	// network latency of a relay and the first attempt of a retry or hedge. Within a
	// class and workspace, older requests are served first.
	Age time.Duration
	// HomeRegions are the only regions whose upstreams may be chosen; empty means all.
	HomeRegions []string
	// Exclude lists the IDs of upstreams that this request was already sent to.
	Exclude []string
	// NoWait refuses the request if no slot is free immediately.
	NoWait bool
	// MaxWait is the longest acceptable estimated wait; a request that would wait
	// longer is refused. Zero means no bound. Hedges set it to HedgeMaxWait.
	MaxWait time.Duration
	// CanRelay allows a permit that names another instance to which the request is
	// relayed. Relaying costs one round trip over the link between the failure
	// domains; acquiring a remote slot and then sending the request costs two.
	CanRelay bool
	// Relayed marks a request that another instance relayed; it is not relayed again.
	Relayed bool
}

// HedgeMaxWait is the MaxWait for hedges. When requests wait longer than this for
// a slot, hedges lengthen the queue more than they shorten the tail latency.
const HedgeMaxWait = 5 * time.Millisecond

// Result classifies the end of an attempt.
type Result int

const (
	// Answered means that the upstream sent a complete answer.
	Answered Result = iota
	// Shed means that the upstream refused the request without running it.
	Shed
	// Failed means that the attempt failed; the upstream may or may not have executed it.
	Failed
	// Canceled means that the caller ended the attempt, for example the slower copy of a hedged request.
	Canceled
)

// Load is the load that an upstream reports about itself with an answer.
type Load struct {
	// InFlight is the number of requests that are running or queued at the upstream.
	InFlight int
	// Slots is the number of concurrent requests that it can run.
	Slots int
}

// Outcome reports to a policy how an attempt ended.
type Outcome struct {
	// Result classifies the end.
	Result Result
	// Latency is the time from sending the request to the start of the answer; zero means not measured.
	Latency time.Duration
	// Load is the load reported by the upstream, or nil.
	Load *Load
}

// Permit allows one request to be sent to one upstream, or to be relayed to another instance.
type Permit interface {
	// Upstream returns the chosen upstream. It is empty when Relay reports true.
	Upstream() table.Upstream
	// Relay returns the instance to which the request is relayed instead of an upstream.
	// It reports true only for requests with CanRelay.
	Relay() (peer.InstanceID, bool)
	// Done returns the permit. Only the first call has an effect.
	Done(outcome Outcome)
}

// Policy chooses upstreams.
type Policy interface {
	// Acquire returns a permit. An Exhausted fault means that the request was
	// refused before it reached any upstream; RetryAfter returns the time after
	// which a retry may succeed.
	Acquire(ctx context.Context, r Request) (Permit, error)
}

// Limits returns the number of concurrent requests that an upstream may currently
// have: the adaptive limit, the allowance of a cold upstream, or 0 for an ejected one.
type Limits interface {
	Limit(upstream string, now time.Time) int
}

// LimitsFunc adapts a function to Limits.
type LimitsFunc func(upstream string, now time.Time) int

// Limit implements Limits.
func (f LimitsFunc) Limit(upstream string, now time.Time) int { return f(upstream, now) }
