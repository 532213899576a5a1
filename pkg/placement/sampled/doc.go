// Package sampled places requests by probing a few upstreams for their load at the
// time of each choice.
//
// It is meant for load that changes faster than periodic reports can follow: noisy
// neighbours make the work of an upstream several times as long for a few hundred
// milliseconds at a time. A reading that is a second old says nothing about such a
// slow phase; one that is a few milliseconds old does. The nearest permitted
// upstreams are probed first, farther ones only if no near one can respond within
// the target of the route.
//
// The decisions depend only on readings, times and random numbers: see estimate and
// chooser. Policy does the probing and keeps the state between requests.
package sampled

import "time"

// Reading is the load that an upstream reported in response to a probe.
type Reading struct {
	// At is the time at which the reading was received.
	At time.Time
	// Upstream is the ID that the upstream reported for itself; empty if it reported none.
	Upstream string
	// Healthy is set while the upstream reports that it can serve requests.
	Healthy bool
	// Loaded is set if the reading contains the load figures below.
	Loaded bool
	// Running and Waiting count the requests that the upstream executes and queues; Slots is the number that it
	// can execute concurrently.
	Running, Waiting, Slots int
	// Slowdown is the current processing time as a multiple of the usual one.
	Slowdown float64
	// Cold is the remaining warm-up time of the upstream; zero if it is warm.
	Cold time.Duration
}

// Distance classifies how far an upstream is from this instance.
type Distance int

// Distances in ascending order of round-trip time and traffic cost.
const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
)
