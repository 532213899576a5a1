package sampled

import "time"

const (
	// busyShare is the share of slots in use above which an upstream slows down.
	busyShare = 0.8
	// busyFactor is the factor on the processing time of an upstream above busyShare.
	busyFactor = 1.7
	// coldFactor is the factor on the processing time of a cold upstream.
	coldFactor = 2.0
	// workShare is the usual processing time of a request as a share of its route's target. It is
	// 0.3 to 0.42 in the deployments for which this package is meant.
	workShare = 0.38
	// unhealthyPenalty is added to the cost of an upstream that reports itself unhealthy, in multiples of the
	// target. It exceeds any wait for a healthy one, so that an unhealthy one is used only if no other is left.
	unhealthyPenalty = 20
	// suspectPenalty is added to the cost of an upstream that has just failed, in multiples of the target.
	suspectPenalty = 2
)

// roundTrip returns the usual round-trip time to an upstream. One-way latencies are
// 0.1 ms within a failure domain, about 1 ms within a region and 12 ms between regions.
func roundTrip(d Distance) time.Duration {
	switch d {
	case SameDomain:
		return 200 * time.Microsecond
	case SameRegion:
		return 2 * time.Millisecond
	}
	return 24 * time.Millisecond
}

// transferCost returns the cost of transferring a response, as a share of the target:
// operators pay for traffic between regions by volume, and a large response takes longer.
func transferCost(d Distance) float64 {
	switch d {
	case SameDomain:
		return 0
	case SameRegion:
		return 0.01
	}
	return 0.05
}

// estimate returns the expected response time of a request that is sent now, plus
// penalties for transfer cost, suspicion and ill health expressed as time. suspicion
// is between 0 and 1.
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
	penalty := transferCost(d) + suspicion*suspectPenalty
	if !r.Healthy {
		penalty += unhealthyPenalty
	}
	return time.Duration(total + penalty*float64(target))
}

// plus returns the reading as if the upstream executed n more requests.
func (r Reading) plus(n int) Reading {
	r.Running += n
	return r
}

// hasHeadroom reports whether the upstream can take another request without slowing
// down all that it executes. Filling the last slots lowers the throughput: four
// requests at 1.7 times the processing time are fewer responses per second than
// three at the usual one.
func hasHeadroom(r Reading) bool {
	if !r.Loaded {
		return true
	}
	return r.Running+r.Waiting+1 <= max(int(busyShare*float64(r.Slots)), 1)
}
