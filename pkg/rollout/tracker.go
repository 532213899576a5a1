package rollout

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// slowShare is the multiple of a route's target above which an answer is slow. The usual time is 0.38 of the target, and
	// eight times that with a slow version.
	slowShare = 1.25
	// noisySlowShare replaces slowShare for upstreams that report themselves slowed down: a noisy neighbour makes them four
	// times slower.
	noisySlowShare = 2.0
	// overtakenShare is the multiple of the target after which an attempt that was given up is slow. Second copies are sent
	// at 0.55 of the target and answered at about 0.93.
	overtakenShare = 0.8
	// noisySlowdown is the reported slowdown from which an upstream has a noisy neighbour.
	noisySlowdown = 2.0
	// maxRoutes bounds the routes that are counted one by one; the rest is counted together.
	maxRoutes = 64
	// maxReported bounds the upstreams in a report.
	maxReported = 24
)

// Outcome is how an attempt ended, as far as it concerns the version.
type Outcome int

// Outcomes of an attempt.
const (
	// NoEvidence is that of an attempt that did not run, or whose caller left early.
	NoEvidence Outcome = iota
	Succeeded
	Failed
	// TimedOut is that of an attempt without an answer in time.
	TimedOut
	// Overtaken is that of an attempt that was given up because another copy was answered first, or whose caller left.
	Overtaken
)

// Tracker counts the attempts of one instance during one roll-out. It is safe for concurrent use.
type Tracker struct {
	mu        sync.Mutex
	routes    map[string]Pair
	upstreams map[string]Counts
	running   map[*Attempt]struct{}
	old       int // attempts that are running or may start at an old upstream
}

// NewTracker returns a tracker without attempts.
func NewTracker() *Tracker {
	return &Tracker{routes: map[string]Pair{}, upstreams: map[string]Counts{}, running: map[*Attempt]struct{}{}}
}

// Attempt is an attempt at an upstream of one of the versions.
type Attempt struct {
	tracker  *Tracker
	route    string
	target   time.Duration
	toTarget bool
	upstream string
	start    time.Time
	cold     bool
	slowdown float64
	placed   bool
	timed    bool // its time was counted while it ran
	ended    bool
}

// Begin counts an attempt from the moment at which its version is chosen.
func (t *Tracker) Begin(route string, target time.Duration, toTarget bool) *Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !toTarget {
		t.old++
	}
	return &Attempt{tracker: t, route: route, target: target, toTarget: toTarget}
}

// Placed records the upstream of the attempt. cold is set if the upstream is, and slowdown is what it reports of its
// neighbours.
func (a *Attempt) Placed(upstream string, cold bool, slowdown float64, now time.Time) {
	t := a.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	a.upstream, a.cold, a.slowdown, a.start, a.placed = upstream, cold, slowdown, now, true
	t.running[a] = struct{}{}
}

// End records the end of the attempt; later calls have no effect. wait is the time to the start of the answer, or to the end
// of an attempt without one.
func (a *Attempt) End(o Outcome, wait time.Duration) {
	t := a.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	delete(t.running, a)
	if !a.toTarget {
		t.old--
	}
	if !a.placed || o == NoEvidence {
		return
	}
	c := Counts{}
	if o != Overtaken {
		c.Answers = 1
	}
	if o == Failed {
		c.Failures = 1
	}
	slow, informative := a.slow(o, wait)
	if informative && !a.timed {
		c.Timed = 1
		if slow {
			c.Slow = 1
		}
	}
	t.count(a, c)
}

// slow reports whether the attempt was slow, and whether its time says something about the version.
func (a *Attempt) slow(o Outcome, wait time.Duration) (slow, informative bool) {
	limit := slowShare
	if a.slowdown >= noisySlowdown {
		limit = noisySlowShare
	}
	share := float64(wait) / float64(a.target)
	switch {
	case a.cold || o == Failed:
		return false, false
	case (o == Overtaken || o == TimedOut) && share <= limit:
		return true, share >= overtakenShare && a.slowdown < noisySlowdown
	}
	return share > limit, true
}

func (t *Tracker) count(a *Attempt, c Counts) {
	route := a.route
	if _, known := t.routes[route]; !known && len(t.routes) >= maxRoutes {
		route = ""
	}
	p := t.routes[route]
	if !a.toTarget {
		p.Old = p.Old.plus(c)
		t.routes[route] = p
		return
	}
	p.Target = p.Target.plus(c)
	t.routes[route] = p
	t.upstreams[a.upstream] = t.upstreams[a.upstream].plus(c)
}

// Report returns what was counted. Attempts that run for so long that their answers will be slow are counted as such, so that
// a slow version shows before its answers arrive.
func (t *Tracker) Report(now time.Time, stage Stage) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	for a := range t.running {
		if slow, informative := a.slow(Succeeded, now.Sub(a.start)); slow && informative && !a.timed {
			a.timed = true
			t.count(a, Counts{Timed: 1, Slow: 1})
		}
	}
	e := Evidence{Routes: maps.Clone(t.routes), Upstreams: map[string]Counts{}}
	ids := slices.Collect(maps.Keys(t.upstreams))
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(t.upstreams[b].Bad()-t.upstreams[a].Bad(), cmp.Compare(a, b))
	})
	for _, id := range ids[:min(len(ids), maxReported)] {
		e.Upstreams[id] = t.upstreams[id]
	}
	return Report{Stage: stage, Drained: t.old == 0, Evidence: e}
}
