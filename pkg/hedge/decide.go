package hedge

import "time"

// Reason states whether a second copy is sent, and if not, why. It is the value of a metric label.
type Reason string

// Reasons.
const (
	Sent        Reason = "sent"
	Waiting     Reason = "waiting"      // the first copy has not been at its upstream for the delay yet
	Late        Reason = "late"         // too little time is left for one usual run
	Suspect     Reason = "suspect"      // upstreams may have been lost under the request
	Crowded     Reason = "crowded"      // the pool is overloaded or mostly full
	Limit       Reason = "limit"        // the operator's limit is used up
	RetryBudget Reason = "retry-budget" // the retry budget of the pool is used up
	Rate        Reason = "rate"         // the workspace's rate has no token at this instance
)

// Reasons lists the final reasons.
func Reasons() []Reason { return []Reason{Sent, Late, Suspect, Crowded, Limit, RetryBudget, Rate} }

// State is what is known about a request without an answer.
type State struct {
	// Placed is the time at which the first copy got its upstream; zero if it has none yet.
	Placed time.Time
	// Deadline is the time at which an answer must start.
	Deadline time.Time
	// Target is the response time that is aimed at.
	Target time.Duration
	// Suspect is set if upstreams may have been lost under the request.
	Suspect bool
	// Crowded is set while the pool is overloaded or mostly full.
	Crowded bool
	// TakeRate takes a token of the workspace's rate, if there is one at once. It is nil if the request needs none.
	TakeRate func() bool
}

// judge decides everything but the budgets. With Waiting, it returns the time to wait before the next decision.
func judge(s State, d Delay, now time.Time) (Reason, time.Duration) {
	placed := s.Placed
	if placed.IsZero() {
		placed = now // a second copy would compete with the first one for the same free slot
	}
	if wait := d.After - now.Sub(placed); wait > 0 {
		if now.Add(wait + d.Run).After(s.Deadline) {
			return Late, 0
		}
		return Waiting, wait
	}
	switch {
	case now.Add(d.Run).After(s.Deadline):
		return Late, 0
	case s.Suspect:
		return Suspect, 0
	case s.Crowded:
		return Crowded, 0
	}
	return Sent, 0
}
