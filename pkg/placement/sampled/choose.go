package sampled

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericsail/turmericsail/pkg/table"
)

const (
	// sampleSize is the number of upstreams asked at once. With a quarter of the upstreams slow at any
	// moment, all of four are slow in 1 of 256 samples.
	sampleSize = 4
	// goodShare is the share of the target within which an answer is expected from an upstream that is
	// taken without asking others.
	goodShare = 0.55
	// maxPatience is the share of the target that a request waits for room while few others do. Above it,
	// waiting costs more answers within the target than it gains, in the experiment with 1x and 3x load.
	maxPatience = 0.2
	// pressureWeight is the weight of one request in the pressure: it follows the last ten or so.
	pressureWeight = 0.1
	// fitShare is the share of the target that may be used up by waiting and work together. The rest is
	// for the spread of the work around its mean.
	fitShare = 0.85
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
	usual   bool // belongs to the instance's subset of the pool
}

// rank orders candidates for asking: the nearest first, suspects last, the rest at random.
func rank(list []*candidate) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b *candidate) int {
		return cmp.Compare(a.order(), b.order())
	})
}

// order groups candidates: those of the own region before others, those of the
// instance's subset first in each, then suspects.
func (c *candidate) order() int {
	order := 0
	if !c.usual {
		order++
	}
	if c.remote() {
		order += 2
	}
	if c.suspicion > suspect {
		order = 4
	}
	return order
}

// suspect is the suspicion from which an upstream is asked last: one failure within the last two seconds.
const suspect = 0.5

func (c *candidate) remote() bool { return c.distance == OtherRegion }

// subsetSize is the number of upstreams of a pool that an instance asks first, and
// at most beside them. It answers large pools: with all of them asked in turn,
// connections go idle and are closed between two questions, and a full pool would be
// asked as a whole for each request. Three samples leave room for upstreams that
// are slow or gone.
const subsetSize = 3 * sampleSize

// selection collects a part of the upstreams of one distance: the instance's subset,
// by rendezvous hashing, and others drawn at random. Every upstream is in the
// subsets of about as many instances, and a change of the pool moves few.
type selection struct {
	subset []weighed // in rising order of weight
	others []int     // a uniform draw from all that were added
	seen   int
}

type weighed struct {
	index  int
	weight uint64
}

// add takes an upstream into account.
func (s *selection) add(index int, weight uint64) {
	s.seen++
	if len(s.others) < subsetSize {
		s.others = append(s.others, index)
	} else if n := rand.IntN(s.seen); n < subsetSize {
		s.others[n] = index
	}
	if len(s.subset) == subsetSize {
		if weight >= s.subset[subsetSize-1].weight {
			return
		}
		s.subset = s.subset[:subsetSize-1]
	}
	at, _ := slices.BinarySearchFunc(s.subset, weight, func(w weighed, weight uint64) int { return cmp.Compare(w.weight, weight) })
	s.subset = slices.Insert(s.subset, at, weighed{index, weight})
}

// each calls f for the subset and then for the others.
func (s *selection) each(f func(index int, usual bool)) {
	for _, w := range s.subset {
		f(w.index, true)
	}
	for _, index := range s.others {
		if !slices.ContainsFunc(s.subset, func(w weighed) bool { return w.index == index }) {
			f(index, false)
		}
	}
}

// subsetWeight is the weight of an upstream for an instance.
func subsetWeight(instance, upstream string) uint64 {
	return xxhash.Sum64String(instance + " " + upstream)
}

// verdict is what a chooser decides after a round of readings.
type verdict int

const (
	take   verdict = iota // send to the best candidate
	more                  // ask further candidates
	again                 // ask again after a short wait
	refuse                // no candidate can serve the request in time
)

// chooser decides on one request.
type chooser struct {
	target   time.Duration // for the whole request
	deadline time.Time
	start    time.Time
	pressure float64 // share of recent requests that found no room, at the start
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
	late := elapsed+time.Duration(workShare*float64(ch.target)) >= ch.target
	roomy := b != nil && hasRoom(b.reading)
	if roomy && late && ch.crowded() && !hasRoom(b.reading.plus(1)) {
		roomy = false // leave the last room to a request that can still meet its target
	}
	if roomy && float64(elapsed+b.cost) <= fitShare*float64(ch.target) {
		return take
	}
	if unasked {
		return more
	}
	// Nothing fits now. An upstream may become free or fast while the target can still be met.
	usual := time.Duration(workShare * float64(ch.target))
	if elapsed < ch.patience() && elapsed+usual < time.Duration(fitShare*float64(ch.target)) {
		return again
	}
	if roomy && b.cost < left {
		return take
	}
	return refuse
}

// yieldShare is the part of the pressure with which a request leaves the last room of
// an upstream alone. In the experiment with 3x and 4x load 0.6 and 0.9 gain the same.
const yieldShare = 0.8

// yields reports whether the request leaves the last room of an upstream to others.
// It answers overload: several instances see the same slot come free, and those
// that send at once fill the upstream beyond the load at which all its work slows
// down. The next request finds a slot that nobody took a few milliseconds later.
func (ch *chooser) yields(r Reading) bool {
	lastRoom := r.Loaded && hasRoom(r) && !hasRoom(r.plus(1))
	return ch.crowded() && lastRoom && rand.Float64() < yieldShare*ch.pressure
}

// pressure is the share of recent requests that found no upstream with room when
// they came. It answers overload: requests that wait for room take it from those
// that come later and could still meet their target, so the higher the pressure,
// the sooner a request is refused.
type pressure struct {
	mu    sync.Mutex
	share float64
}

// note counts a request.
func (p *pressure) note(crowded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share *= 1 - pressureWeight
	if crowded {
		p.share += pressureWeight
	}
}

// crowdedShare is the pressure from which requests that miss their target anyway
// give way to others.
const crowdedShare = 0.3

// level is the share of recent requests that found no room.
func (p *pressure) level() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.share
}

// crowded reports whether many requests find no room.
func (ch *chooser) crowded() bool { return ch.pressure > crowdedShare }

// patience is the longest wait for an upstream with room.
func (ch *chooser) patience() time.Duration {
	calm := 1 - ch.pressure
	return time.Duration(maxPatience * calm * calm * float64(ch.target))
}
