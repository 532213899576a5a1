package sampled

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/turmericsail/turmericsail/pkg/table"
)

const (
	// sampleSize is the number of upstreams asked at once. With a quarter of the upstreams slow at any
	// moment, all of four are slow in 1 of 256 samples.
	sampleSize = 4
	// goodShare is the share of the target within which an answer is expected from an upstream that is
	// taken without asking others.
	goodShare = 0.55
	// fitShare is the share of the target that may be used up by waiting and work together. The rest is
	// for the spread of the work around its mean.
	fitShare = 0.85
	// lastShare is the share of the time for the request after which one that has met no upstream with
	// room is refused.
	lastShare = 0.35
)

// candidate is an upstream that may take the request.
type candidate struct {
	upstream  table.Upstream
	distance  Distance
	suspicion float64
	pending   int
	// cost is the estimate from the latest reading; asked is unset before there is one.
	cost    time.Duration
	reading Reading
	asked   bool
	barred  bool // failed to answer, or cold and busy
}

// rank orders candidates for asking: the nearest first, suspects last, the rest at random.
func rank(list []*candidate) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b *candidate) int {
		return cmp.Compare(a.order(), b.order())
	})
}

// order groups candidates: own region, other regions, then suspects.
func (c *candidate) order() int {
	switch {
	case c.suspicion > 0.5:
		return 2
	case c.distance == OtherRegion:
		return 1
	}
	return 0
}

// verdict is what a chooser decides after a round of readings.
type verdict int

const (
	take   verdict = iota // send to the best candidate
	more                  // ask further candidates
	pause                 // ask again after a short wait
	refuse                // no candidate can serve the request in time
)

// chooser decides on one request.
type chooser struct {
	target   time.Duration // for the whole request
	deadline time.Time
	start    time.Time
}

// best returns the candidate with the least cost, or nil.
func best(list []*candidate) *candidate {
	var b *candidate
	for _, c := range list {
		if c.asked && !c.barred && (b == nil || c.cost < b.cost) {
			b = c
		}
	}
	return b
}

// good reports whether a candidate is taken before the others have answered.
func (ch *chooser) good(c *candidate) bool {
	return !c.barred && hasRoom(c.reading) && float64(c.cost) <= goodShare*float64(ch.target)
}

// decide tells what follows when the asked candidates have answered or timed out.
func (ch *chooser) decide(now time.Time, b *candidate, unasked bool) verdict {
	elapsed := now.Sub(ch.start)
	left := ch.deadline.Sub(now)
	roomy := b != nil && hasRoom(b.reading)
	if roomy && float64(elapsed+b.cost) <= fitShare*float64(ch.target) {
		return take
	}
	if unasked {
		return more
	}
	// Nothing fits now. An upstream may become free or fast while the target can still be met.
	usual := time.Duration(workShare * float64(ch.target))
	if elapsed+usual < time.Duration(fitShare*float64(ch.target)) {
		return pause
	}
	if roomy && b.cost < left {
		return take
	}
	if elapsed < time.Duration(lastShare*float64(ch.deadline.Sub(ch.start))) {
		return pause
	}
	return refuse
}
