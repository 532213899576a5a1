package sampled

import "time"

const (
	// busyShare is the share of slots in use above which upstreams slow down, and busyFactor by how much:
	// the sites' upstreams work 1.7 times as long from 0.8 of their slots.
	busyShare  = 0.8
	busyFactor = 1.7
	// coldFactor is how many times as long work takes on a cold upstream.
	coldFactor = 2.0
	// workShare is the usual work of a request as a share of its route's target: 0.3 to 0.42 on both sites.
	workShare = 0.38
	// sickPenalty is what an upstream that says it is unhealthy costs, in targets: more than any wait for a
	// healthy one, so that it is used only when no other is left.
	sickPenalty = 20
	// suspectPenalty is what an upstream that has just failed costs, in targets.
	suspectPenalty = 2
)

// roundTrip is the usual round trip to an upstream: 0.1 ms within a failure
// domain, about 1 ms within a region and 12 ms between regions, one way.
func roundTrip(d Distance) time.Duration {
	switch d {
	case SameDomain:
		return 200 * time.Microsecond
	case SameRegion:
		return 2 * time.Millisecond
	}
	return 24 * time.Millisecond
}

// carry is the price of an answer's bytes, as a share of the target: operators
// pay for traffic between regions by volume, and a large answer takes longer.
func carry(d Distance) float64 {
	switch d {
	case SameDomain:
		return 0
	case SameRegion:
		return 0.01
	}
	return 0.05
}

// estimate returns the expected time until the answer of a request that is sent
// now, with what speaks against the upstream added as time. suspicion is between 0 and 1.
func estimate(r Reading, d Distance, suspicion float64, target time.Duration) time.Duration {
	work := workShare * float64(target) * max(r.Slowdown, 1)
	slots := max(r.Slots, 1)
	if float64(r.Running+1) > busyShare*float64(slots) {
		work *= busyFactor
	}
	if r.Cold > 0 {
		work *= coldFactor
	}
	total := work
	if queued := r.Running + r.Waiting - slots + 1; queued > 0 {
		total += work * float64(queued) / float64(slots)
	}
	total += float64(roundTrip(d))
	penalty := carry(d) + suspicion*suspectPenalty
	if !r.Healthy {
		penalty += sickPenalty
	}
	return time.Duration(total + penalty*float64(target))
}

// plus returns the reading with n more requests.
func (r Reading) plus(n int) Reading {
	r.Running += n
	return r
}

// hasRoom reports whether the upstream can take another request without slowing
// down all that it runs. An upstream that fills its last slots works longer on
// each request than it gains by running one more: four requests at 1.7 times the
// work are fewer answers a second than three at the usual work.
func hasRoom(r Reading) bool {
	if !r.Loaded {
		return true
	}
	return r.Running+r.Waiting+1 <= max(int(busyShare*float64(r.Slots)), 1)
}
