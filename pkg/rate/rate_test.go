package rate

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"
)

var histories = flag.Int("histories", 4, "number of random histories of each size")

// sizes are numbers of instances.
var sizes = []int{2, 16, 104, 471}

var testRegions = []string{"north", "central", "south"}

// tally sums what happened to the requests of some workspaces.
type tally struct {
	asked, sent, over, unreached int
	waits                        []time.Duration
}

func (t *tally) add(w *space) {
	t.asked += w.asked
	t.sent += len(w.sent)
	t.over += w.refused[OverLimit]
	t.unreached += w.refused[Unreached]
	t.waits = append(t.waits, w.waits...)
}

// forget starts the figures anew.
func (w *space) forget() { w.asked, w.sent, w.waits = 0, nil, nil; clear(w.refused) }

func (t *tally) log(tb testing.TB, what string) {
	slices.Sort(t.waits)
	at := func(q float64) time.Duration { return t.waits[int(q*float64(len(t.waits)-1))] }
	tb.Logf("%s: %d requests, refused over the limit %d, unreached %d; waited: half up to %v, 99 %% up to %v", what, t.asked, t.over, t.unreached, at(0.5), at(0.99))
}

// Guards against refusals of requests below the limit under a steady load, and during a flood of another workspace.
// The load is measured once the buckets of the lenders, which start empty after 5 s, have filled.
func TestOrdinaryRequestsAreAdmitted(t *testing.T) {
	for _, instances := range sizes {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			t.Parallel()
			testOrdinaryRequests(t, instances)
		})
	}
}

func testOrdinaryRequests(t *testing.T, instances int) {
	spaces := population(75, 840)
	s := newSite(uint64(instances), instances, testRegions[:min(instances, 3)], spaces)
	const begin, steady, flood = 15 * time.Second, 27 * time.Second, 37 * time.Second
	flooding := spaces[3]
	for _, w := range spaces {
		s.load(w, func() float64 {
			if w == flooding && s.now > steady {
				return 7.5 * w.perSecond
			}
			return w.perSecond
		}, s.anyNode, flood)
	}
	s.run(begin)
	var start, calm, others, own tally
	for _, w := range spaces {
		start.add(w)
		w.forget()
	}
	start.log(t, "start")
	messages := s.messages
	s.run(steady)
	t.Logf("%d instances: %.1f messages per instance and second", instances, float64(s.messages-messages)/float64(instances)/(steady-begin).Seconds())
	for _, w := range spaces {
		calm.add(w)
		if share, at := w.excess(); share > 1 {
			t.Errorf("%s exceeds its limit %.2f times at %v", w.limit.Name, share, at)
		}
		w.forget()
	}
	calm.log(t, "steady load")
	s.run(flood)
	for _, w := range spaces {
		if share, at := w.excess(); share > 1 {
			t.Errorf("%s exceeds its limit %.2f times at %v", w.limit.Name, share, at)
		}
		if w == flooding {
			own.add(w)
		} else {
			others.add(w)
		}
	}
	others.log(t, "others during a flood")
	own.log(t, "the flooding workspace")
	served := float64(own.sent) / (flooding.limit.Rate * (flood - steady).Seconds())
	t.Logf("the flooding workspace got %.2f of its rate", served)
	for name, got := range map[string]tally{"steady load": calm, "others during a flood": others} {
		if got.over+got.unreached > 0 {
			t.Errorf("%d instances, %s: %d of %d requests were refused", instances, name, got.over+got.unreached, got.asked)
		}
	}
	if served < 0.9 {
		t.Errorf("%d instances: the flooding workspace got only %.2f of its rate", instances, served)
	}
}

// disturb does one random thing to the instances, the network, the store or, with limits, a limit.
func (s *site) disturb(limits bool) {
	i := s.random.IntN(len(s.nodes))
	n := s.nodes[i]
	if s.random.IntN(2) == 0 { // prefer instances that lend
		if holder := s.byID[s.keys[s.regions[s.random.IntN(len(s.regions))]].holder]; holder != nil && !holder.dead {
			n = holder
			i = slices.Index(s.nodes, n)
		}
	}
	switch s.random.IntN(11) {
	case 0: // dies and starts again
		n.dead = true
		started := s.join(i, fmt.Sprint("r", s.count))
		started.tick()
	case 1, 2:
		n.freeze(s.random.IntN(2) == 0)
		s.at(s.now+s.span(9*time.Second), n.resume)
	case 3:
		n.cutOff = !n.cutOff
	case 4: // a region is parted from the others
		region := s.regions[s.random.IntN(len(s.regions))]
		s.parted = func(a, b *simNode) bool { return (a.region == region) != (b.region == region) }
	case 5: // some instances are parted from the others, in one direction or both
		part := map[*simNode]bool{}
		for _, m := range s.nodes {
			part[m] = s.random.IntN(3) == 0
		}
		oneWay := s.random.IntN(2) == 0
		s.parted = func(a, b *simNode) bool { return part[a] && !part[b] || !oneWay && part[b] && !part[a] }
	case 6, 7:
		s.parted = func(_, _ *simNode) bool { return false }
	case 8: // the store takes a key away, and its holder does not learn of it
		key := s.keys[n.region]
		key.ends = s.now
		if holder := s.byID[key.holder]; holder != nil {
			holder.cutOff = true
		}
	case 9: // an instance joins, which the recorded number covers
		if len(s.nodes) < s.recorded {
			s.join(len(s.nodes), "a")
		}
	case 10:
		if w := s.spaces[s.random.IntN(len(s.spaces))]; limits {
			rate := []float64{0.5, 3, 12, 60, 300}[s.random.IntN(5)]
			s.change(w, Limit{w.limit.Name, rate, rate * s.random.Float64() * 2})
		}
	}
}

// playHistory plays a random history and returns the largest share of the permitted number that a workspace sent in a
// window.
func playHistory(seed uint64, instances int) (worst float64, what string, sent int) {
	var spaces []*space
	for i, rate := range []float64{0.5, 4, 20, 100, 400} {
		spaces = append(spaces, &space{limit: Limit{Name: fmt.Sprintf("w%d-%d", i, seed), Rate: rate, Burst: rate}})
	}
	s := newSite(seed, instances, testRegions[:min(instances, 3)], spaces)
	s.loss, s.doubled, s.late = 0.05*s.random.Float64(), 0.05*s.random.Float64(), 0.05*s.random.Float64()
	const length = 60 * time.Second
	for _, w := range spaces {
		busiest, factor := s.anyNode(), 1.0
		s.every(4*time.Second, func() {
			busiest, factor = s.anyNode(), []float64{0.1, 0.9, 1.5, 3, 6}[s.random.IntN(5)]
		})
		s.load(w, func() float64 { return factor * w.limit.Rate }, func() *simNode {
			if s.random.IntN(3) == 0 && !busiest.dead {
				return busiest
			}
			return s.anyNode()
		}, length)
	}
	var next func()
	next = func() {
		s.disturb(seed%2 == 1)
		s.at(s.now+s.span(4*time.Second), next)
	}
	s.at(s.span(15*time.Second), next)
	s.run(length)
	for _, w := range spaces {
		sent += len(w.sent)
		if share, at := w.excess(); share > worst {
			worst, what = share, fmt.Sprintf("%s (rate %g) at %v", w.limit.Name, w.limit.Rate, at)
		}
	}
	return worst, what, sent
}

// Guards against more requests in a window than the limit permits, through deaths, restarts, partitions in one and both
// directions, freezes with and without the monotonic clock, lost, late and doubled messages, lost keys, joins and changed
// limits.
func TestLimitHoldsThroughRandomHistories(t *testing.T) {
	for _, instances := range sizes {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			t.Parallel()
			testRandomHistories(t, instances)
		})
	}
}

func testRandomHistories(t *testing.T, instances int) {
	worst, where, total := 0.0, "", 0
	for seed := range max(*histories*2/max(instances/16, 2), 1) {
		share, what, sent := playHistory(uint64(seed), instances)
		total += sent
		if share > worst {
			worst, where = share, fmt.Sprintf("seed %d, %s", seed, what)
		}
		if share > 1 {
			t.Errorf("%d instances, seed %d, %s: %.2f times what is permitted", instances, seed, what, share)
		}
	}
	t.Logf("%d instances: %d requests sent; most: %.2f of what is permitted (%s)", instances, total, worst, where)
	if total == 0 {
		t.Error("no request was sent")
	}
}
