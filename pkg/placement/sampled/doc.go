// Package sampled places requests by asking a few upstreams for their load at the
// moment of the choice.
//
// It answers a load that shifts faster than any report travels: the neighbours of
// an upstream make its work several times as long in spells of a few hundred
// milliseconds. A reading that is a second old says nothing about such a spell, one
// that is a few milliseconds old does. The nearest permitted upstreams are asked
// first; farther ones only when no near one can answer within the target of the route.
//
// The decisions are pure functions of readings and times: see estimate and chooser.
// Policy is the shell that asks the upstreams.
package sampled

import "time"

// Reading is what an upstream said about its load.
type Reading struct {
	// At is the time at which the reading came in.
	At time.Time
	// Upstream is the ID under which the upstream answered.
	Upstream string
	// Healthy is set while the upstream considers itself able to serve.
	Healthy bool
	// Loaded is set when the reading has the figures below.
	Loaded bool
	// Running and Waiting count the requests that the upstream runs and queues, and Slots those that it can run at once.
	Running, Waiting, Slots int
	// Slowdown is how many times as long as usual work takes at this moment.
	Slowdown float64
	// Cold is how much longer the upstream stays cold.
	Cold time.Duration
}

// Distance tells how far an upstream is.
type Distance int

// Distances in rising order of round-trip time and cost of bytes.
const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
)
