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
	// sampleSize is the number of upstreams probed concurrently. If a quarter of the upstreams is slow at
	// any time, all four are slow in 1 of 256 samples.
	sampleSize = 4
	// earlyAcceptShare is the share of the target up to which the estimated response time of an upstream may
	// lie for it to be chosen without waiting for the other probes.
	earlyAcceptShare = 0.55
	// maxWaitShare is the share of the target for which a request waits for headroom while few others do.
	// Longer waits lose more responses within the target than they gain.
	maxWaitShare = 0.2
	// pressureWeight is the weight of one request in the moving average of the pressure, which thus covers
	// about the last ten requests.
	pressureWeight = 0.1
	// targetBudgetShare is the share of the target that waiting and the estimated response time may use up
	// together. The rest allows for the variance of the processing time.
	targetBudgetShare = 0.85
)

// candidate is an upstream that may take the request.
type candidate struct {
	upstream  table.Upstream
	distance  Distance
	suspicion float64
	pending   int
	// cost is the estimate from the latest reading; probed is false before the first one.
	cost      time.Duration
	reading   Reading
	probed    bool
	failed    bool // the probe failed
	timedOut  bool // the probe timed out
	mayBeCold bool // gets one request at a time
	excluded  bool // the probe failed, the request yields the last slot, or the upstream is cold and has other or recent requests
	inSubset  bool // belongs to the instance's subset of the pool
}

// rank sorts candidates into probing order: the nearest first, suspects last, ties in random order.
func rank(list []*candidate) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b *candidate) int {
		return cmp.Compare(a.order(), b.order())
	})
}

// order returns the sort key of a candidate: the local region before others, the
// instance's subset first within each, suspects last.
func (c *candidate) order() int {
	order := 0
	if !c.inSubset {
		order++
	}
	if c.remote() {
		order += 2
	}
	if c.suspicion > suspicionThreshold {
		order = 4
	}
	return order
}

// suspicionThreshold is the suspicion above which an upstream is probed last. One failure stays above it for
// two seconds.
const suspicionThreshold = 0.5

// hasReading reports whether the candidate was judged by a reading of its load.
func (c *candidate) hasReading() bool { return c.reading.Loaded || c.reading.Upstream != "" }

func (c *candidate) remote() bool { return c.distance == OtherRegion }

// subsetSize is the number of upstreams in an instance's subset of a pool, which it
// probes first, and the maximum number of others that it probes after them. The
// bound matters for large pools: if an instance probed all upstreams in turn, its
// connections would idle out between two probes, and a request to a full pool would
// probe every upstream. Three samples allow for upstreams that are slow or down.
const subsetSize = 3 * sampleSize

// selection collects a sample of the upstreams inside or outside the local region: the
// instance's subset, chosen by rendezvous hashing, and others drawn at random. Upstreams are
// spread evenly over the subsets, and a change of the pool changes few of them.
type selection struct {
	subset []weightedIndex // in ascending order of weight
	others []int           // uniform reservoir sample of all added upstreams
	seen   int
}

type weightedIndex struct {
	index  int
	weight uint64
}

// add offers an upstream to the subset and to the random sample.
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
	at, _ := slices.BinarySearchFunc(s.subset, weight, func(w weightedIndex, weight uint64) int { return cmp.Compare(w.weight, weight) })
	s.subset = slices.Insert(s.subset, at, weightedIndex{index, weight})
}

// each calls f for every upstream of the subset and then for the others that are not in it.
func (s *selection) each(f func(index int, inSubset bool)) {
	for _, w := range s.subset {
		f(w.index, true)
	}
	for _, index := range s.others {
		if !slices.ContainsFunc(s.subset, func(w weightedIndex) bool { return w.index == index }) {
			f(index, false)
		}
	}
}

// subsetWeight returns the rendezvous hash of an instance and an upstream; the lowest weights form the subset.
func subsetWeight(instance, upstream string) uint64 {
	return xxhash.Sum64String(instance + " " + upstream)
}

// verdict is the decision of a chooser after a round of probes.
type verdict int

const (
	accept     verdict = iota // send to the best candidate
	probeMore                 // probe further candidates
	probeAgain                // probe all candidates again after reprobeDelay
	refuse                    // no candidate can serve the request in time
)

// chooser holds the decision rules for one request.
type chooser struct {
	target   time.Duration // latency target of the whole request
	deadline time.Time
	start    time.Time
	pressure float64 // pressure of the pool when the choice began
	pool     *pressure
	flooding bool // the request's workspace asks for more than its share
	sawFull  bool // a probe for this request found an upstream without headroom

	unansweredRounds int       // rounds after which an answer was awaited
	waitUntil        time.Time // until when an answer is awaited; zero before the first unanswered round
}

// best returns the usable candidate with the lowest cost, or nil. Of two with the same cost, it is the one with headroom.
func best(list []*candidate) *candidate {
	var b *candidate
	for _, c := range list {
		if !c.probed || c.excluded {
			continue
		}
		if b == nil || c.cost < b.cost || c.cost == b.cost && hasHeadroom(c.reading) && !hasHeadroom(b.reading) {
			b = c
		}
	}
	return b
}

// acceptsEarly reports whether a candidate is chosen before the other probes have completed.
func (ch *chooser) acceptsEarly(c *candidate) bool {
	return !c.excluded && hasHeadroom(c.reading) && float64(c.cost) <= earlyAcceptShare*float64(ch.target)
}

// decide returns the next action once the probes have completed or timed out. b is
// the best candidate so far; unprobed is set while some candidates have not been probed.
func (ch *chooser) decide(now time.Time, b *candidate, unprobed bool) verdict {
	elapsed := now.Sub(ch.start)
	left := ch.deadline.Sub(now)
	late := elapsed+time.Duration(workShare*float64(ch.target)) >= ch.target
	headroom := b != nil && hasHeadroom(b.reading)
	if headroom && late && ch.overloaded() && !hasHeadroom(b.reading.plus(1)) {
		headroom = false // leave the last slot to a request that can still meet its target
	}
	if headroom && float64(elapsed+b.cost) <= targetBudgetShare*float64(ch.target) {
		return accept
	}
	if unprobed {
		return probeMore
	}
	// No candidate fits now, but one may get headroom or recover while the target can still be met.
	work := time.Duration(workShare * float64(ch.target))
	if elapsed < ch.maxWait() && elapsed+work < time.Duration(targetBudgetShare*float64(ch.target)) {
		return probeAgain
	}
	// The penalty for earlier failures ranks upstreams; it is not time that the request needs.
	if headroom && estimate(b.reading, b.distance, 0, ch.target) < left {
		return accept
	}
	return refuse
}

// yieldShare times the pressure is the probability that a request yields the last
// slot of an upstream.
const yieldShare = 0.8

// yields reports whether the request leaves the last slot below the headroom limit
// to other instances. Under overload several instances see the same slot become
// free, and if all of them send at once they push the upstream beyond the load at
// which all its work slows down. A slot that nobody took is found by the next
// request a few milliseconds later.
func (ch *chooser) yields(r Reading) bool {
	lastSlot := r.Loaded && hasHeadroom(r) && !hasHeadroom(r.plus(1))
	return ch.overloaded() && lastSlot && (ch.flooding || rand.Float64() < yieldShare*ch.pressure)
}

// pressure is a moving average of the share of requests that found no upstream with
// headroom on arrival. Under overload, requests that wait for headroom take it from
// later ones that could still meet their target, so the higher the pressure, the
// sooner a request is refused.
type pressure struct {
	mu        sync.Mutex
	share     float64
	fullShare float64 // of the latest readings

	silence silence
}

const (
	// readingWeight is the weight of one reading in the share of full upstreams.
	readingWeight = 0.2
	// maxBlindFullShare is the share of full upstreams above which no request is sent to one whose load is not known.
	maxBlindFullShare = 0.5
)

// observe counts a reading of an upstream of the pool.
func (p *pressure) observe(full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fullShare *= 1 - readingWeight
	if full {
		p.fullShare += readingWeight
	}
}

// mostlyFull reports whether an upstream whose load is not known is probably full.
func (p *pressure) mostlyFull() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fullShare > maxBlindFullShare
}

// record counts a request; full is set if it found no upstream with headroom.
func (p *pressure) record(full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share *= 1 - pressureWeight
	if full {
		p.share += pressureWeight
	}
}

// overloadPressure is the pressure above which a pool counts as overloaded: requests
// that will miss their target anyway then leave the last slots to others.
const overloadPressure = 0.3

// level returns the share of recent requests that found no headroom.
func (p *pressure) level() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.share
}

// overloaded reports whether the pressure of the pool is above overloadPressure.
func (ch *chooser) overloaded() bool { return ch.pressure > overloadPressure }

// avoidsUnread reports whether the request is sent to no upstream whose load is not known. When it has waited for headroom
// as long as it may, a single upstream without headroom is no reason to refuse it while the pool as a whole has room.
func (ch *chooser) avoidsUnread(now time.Time) bool {
	if ch.pool.mostlyFull() {
		return true
	}
	return ch.sawFull && (ch.overloaded() || now.Sub(ch.start) < ch.maxWait())
}

// maxWait returns the longest wait for an upstream with headroom; it falls quadratically with rising pressure.
// While the pool is overloaded, a flooding workspace does not wait, since it would take the place of others.
func (ch *chooser) maxWait() time.Duration {
	if ch.flooding && ch.overloaded() {
		return 0
	}
	slack := 1 - ch.pressure
	return time.Duration(maxWaitShare * slack * slack * float64(ch.target))
}
