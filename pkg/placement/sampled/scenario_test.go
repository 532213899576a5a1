package sampled

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // the SVG back end

	"github.com/turmericsail/turmericsail/pkg/table"
)

// step changes the world at a time after the start of the load.
type step struct {
	at time.Duration
	do func(w *simWorld)
}

// scenario is a load on eight upstreams in two failure domains, and what happens meanwhile.
type scenario struct {
	name  string
	load  func(at time.Duration) float64 // in shares of the capacity of all upstreams
	steps []step
	// repeats is how often a caller repeats a request that was refused or failed.
	repeats int
	// blindFails tells that least-in-flight does not reach the bound.
	blindFails bool
}

func steady(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// change changes one upstream.
func change(at time.Duration, id string, do func(*simServer)) step {
	return step{at, func(w *simWorld) {
		s := w.servers[id]
		s.mu.Lock()
		defer s.mu.Unlock()
		do(s)
	}}
}

// changes changes several upstreams alike.
func changes(at time.Duration, do func(*simServer), ids ...string) (steps []step) {
	for _, id := range ids {
		steps = append(steps, change(at, id, do))
	}
	return steps
}

// restart ends an upstream at a time and starts it again, cold, after gap.
func restart(at, gap time.Duration, id string) []step {
	return []step{
		change(at, id, func(s *simServer) {
			s.gone = true
			for _, j := range slices.Concat(s.running, s.waiting) {
				j.done <- false
			}
			s.running, s.waiting = nil, nil
		}),
		change(at+gap, id, func(s *simServer) { s.gone, s.coldTill = false, time.Now().Add(2*time.Second) }),
	}
}

// release restarts the upstreams one after the other; each is taken out of service first.
func release(from, gap time.Duration, n int) (steps []step) {
	for i := range n {
		id, at := fmt.Sprintf("u%d", i), from+time.Duration(i)*gap
		steps = append(steps, step{at, func(w *simWorld) { w.setPool(func(p *table.Pool) { p.UpstreamsOut = []string{id} }) }})
		steps = append(steps, restart(at+gap/2, gap/4, id)...)
		steps = append(steps, step{at + gap*3/4, func(w *simWorld) { w.setPool(func(p *table.Pool) { p.UpstreamsOut = nil }) }})
	}
	return steps
}

// domain changes every upstream of a failure domain.
func domain(at time.Duration, name string, do func(*simServer)) step {
	return step{at, func(w *simWorld) {
		for _, u := range w.currentPool().Upstreams {
			if u.FailureDomain == name {
				s := w.servers[u.ID]
				s.mu.Lock()
				do(s)
				s.mu.Unlock()
			}
		}
	}}
}

const (
	scenarioLength    = 15 * time.Second
	scenarioInstances = 12
)

var scenarios = []scenario{
	{name: "burst", blindFails: true, load: func(at time.Duration) float64 {
		if at > 5*time.Second && at < 7*time.Second {
			return 3
		}
		return 0.5
	}},
	{name: "repeats", blindFails: true, repeats: 3, load: func(at time.Duration) float64 {
		if at > 5*time.Second && at < 7*time.Second {
			return 2.5
		}
		return 0.6
	}},
	{name: "grey", load: steady(0.45), steps: changes(3*time.Second, func(s *simServer) { s.grey = true }, "u0", "u1", "u2", "u3")},
	{name: "slow", blindFails: true, load: steady(0.5), steps: slices.Concat(
		changes(3*time.Second, func(s *simServer) { s.hidden = 8 }, "u0", "u1"), changes(12*time.Second, func(s *simServer) { s.hidden = 1 }, "u0", "u1"))},
	{name: "crash", blindFails: true, load: steady(0.6), steps: slices.Concat(
		restart(2*time.Second, 3*time.Second, "u0"), restart(2500*time.Millisecond, 3*time.Second, "u1"),
		restart(8*time.Second, 3*time.Second, "u2"), restart(8*time.Second, 3*time.Second, "u3"))},
	{name: "release", blindFails: true, load: steady(0.6), steps: release(2*time.Second, 1500*time.Millisecond, 8)},
	{name: "loss of a failure domain", blindFails: true, load: steady(0.35), steps: []step{
		domain(4*time.Second, "north-1", func(s *simServer) { s.dark = true }), domain(9*time.Second, "north-1", func(s *simServer) { s.dark = false })}},
	{name: "evacuation", blindFails: true, load: steady(0.48), steps: []step{
		{3 * time.Second, func(w *simWorld) { w.setPool(func(p *table.Pool) { p.FailureDomainsOut = []string{"north-1"} }) }},
		{12 * time.Second, func(w *simWorld) { w.setPool(func(p *table.Pool) { p.FailureDomainsOut = nil }) }}}},
}

var errNoUpstream = errors.New("no upstream can serve the request in time")

// chooseFunc chooses an upstream for one attempt.
type chooseFunc func(ctx context.Context, r Request) (id string, done func(Ending), err error)

// ours is the policy of this package, one for each instance.
func ours(w *simWorld, instance int) chooseFunc {
	p := New(Place{Region: "north", FailureDomain: fmt.Sprintf("north-%d", instance%2)}, w, logr.Discard())
	return func(ctx context.Context, r Request) (string, func(Ending), error) {
		c, err := p.Choose(ctx, r)
		if err != nil {
			return "", nil, err
		}
		return c.Upstream.ID, func(e Ending) { c.Done(e, w.size) }, nil
	}
}

// leastInFlight knows what its own instance has sent, as most balancers do.
func leastInFlight(*simWorld, int) chooseFunc {
	var mu sync.Mutex
	inFlight := map[string]int{}
	return func(_ context.Context, r Request) (string, func(Ending), error) {
		mu.Lock()
		defer mu.Unlock()
		var open []string
		for _, u := range r.Pool.Upstreams {
			if r.Pool.Eligible(u, r.Route, r.Tried) {
				open = append(open, u.ID)
			}
		}
		if len(open) == 0 {
			return "", nil, errNoUpstream
		}
		rand.Shuffle(len(open), func(i, j int) { open[i], open[j] = open[j], open[i] })
		id := slices.MinFunc(open, func(a, b string) int { return inFlight[a] - inFlight[b] })
		inFlight[id]++
		return id, func(Ending) {
			mu.Lock()
			defer mu.Unlock()
			inFlight[id]--
		}, nil
	}
}

// exact knows the state of all upstreams at this moment, hidden faults and the
// requests on their way from all instances included. It waits for room as long as
// the target can be met, and refuses at once afterwards.
func exact(w *simWorld, _ int) chooseFunc {
	return func(ctx context.Context, r Request) (string, func(Ending), error) {
		for {
			if id := w.bestKnown(r); id != "" {
				w.onWay(id, 1)
				return id, func(Ending) { w.onWay(id, -1) }, nil
			}
			if time.Since(r.Start) > simTarget-simWork || ctx.Err() != nil {
				return "", nil, errNoUpstream
			}
			time.Sleep(simTick)
		}
	}
}

// bestKnown returns the upstream with room that answers first, or "".
func (w *simWorld) bestKnown(r Request) string {
	best, lowest := "", time.Duration(math.MaxInt64)
	for _, u := range r.Pool.Upstreams {
		s := w.servers[u.ID]
		s.mu.Lock()
		running := max(len(s.running)+len(s.waiting), s.promised)
		reading := Reading{Healthy: true, Loaded: true, Running: running, Slots: simSlots, Slowdown: s.slowdown() * max(1, s.hidden)}
		usable := r.Pool.Eligible(u, r.Route, r.Tried) && !s.grey && !s.dark && !s.gone && time.Now().After(s.coldTill)
		s.mu.Unlock()
		if cost := estimate(reading, SameDomain, 0, simTarget); usable && hasRoom(reading) && cost < lowest {
			best, lowest = u.ID, cost
		}
	}
	return best
}

// onWay counts requests that were promised to an upstream until their end.
func (w *simWorld) onWay(id string, n int) {
	s := w.servers[id]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.promised += n
}

// run plays the scenario with one policy.
func (sc scenario) run(policy func(*simWorld, int) chooseFunc, seed uint64) result {
	w := newSimWorld(8, 0.25)
	full := w.capacity()
	var choose []chooseFunc
	for i := range scenarioInstances {
		choose = append(choose, policy(w, i))
	}
	rng := rand.New(rand.NewPCG(seed, 2))
	stop := w.start(sc.steps)
	var mu sync.Mutex
	var res result
	var running sync.WaitGroup
	begin := time.Now()
	for at := time.Duration(0); at < scenarioLength; at = time.Since(begin) {
		time.Sleep(time.Duration(rng.ExpFloat64() / (full * sc.load(at)) * float64(time.Second)))
		work := drawWork(rng)
		first, pauses := rng.IntN(scenarioInstances), 50+rng.IntN(100)
		running.Go(func() {
			var o func(*result) *int
			start := time.Now()
			for n := range sc.repeats + 1 {
				if n > 0 {
					time.Sleep(time.Duration(pauses) * time.Millisecond)
				}
				var again bool
				if o, again = w.attempts(choose[(first+n)%scenarioInstances], start, work); !again {
					break
				}
			}
			mu.Lock()
			defer mu.Unlock()
			res.asked++
			*o(&res)++
		})
	}
	running.Wait()
	stop()
	return res
}

// attempts plays a request of a caller that began at start: a failed attempt is
// sent once more. again tells that the caller may repeat it.
func (w *simWorld) attempts(choose chooseFunc, start time.Time, work time.Duration) (o func(*result) *int, again bool) {
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(simDeadline))
	defer cancel()
	var tried []string
	for range 2 {
		pool := w.currentPool()
		id, done, err := choose(ctx, Request{Pool: &pool, Route: &w.route, Start: time.Now(), Tried: tried})
		if err != nil {
			return func(r *result) *int { return &r.refused }, true
		}
		time.Sleep(time.Millisecond)
		ok := w.servers[id].run(ctx, time.Now(), work)
		done(map[bool]Ending{true: Answered, false: Failed}[ok])
		switch {
		case ok && time.Since(start) <= simTarget:
			return func(r *result) *int { return &r.inTarget }, false
		case ok:
			return func(r *result) *int { return &r.late }, false
		case ctx.Err() != nil:
			return func(r *result) *int { return &r.failed }, false
		}
		tried = append(tried, id)
	}
	return func(r *result) *int { return &r.failed }, true
}

// setPool edits the pool row; requests on their way keep the one they began with.
func (w *simWorld) setPool(edit func(*table.Pool)) {
	p := w.currentPool()
	edit(&p)
	w.edited.Store(&p)
}

func (w *simWorld) currentPool() table.Pool {
	if p := w.edited.Load(); p != nil {
		return *p
	}
	return w.pool
}

// Guards against requests that are lost, late or refused although another upstream
// could have served them: in each of these situations callers get within their
// target at least 0.9 of what exact knowledge of every upstream would give them.
// Least in flight fails the same check where blindFails says so; in the other
// situation its one retry hides most of the failures.
func TestScenarios(t *testing.T) {
	const bound = 0.9 // of exact knowledge; the aim of the placement work
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			is := is.New(t)
			best, got, blind := sc.share(t, exact), sc.share(t, ours), sc.share(t, leastInFlight)
			t.Logf("%-26s exact %.3f, sampled %.3f, least in flight %.3f", sc.name, best, got, blind)
			is.True(got >= bound*best)
			if sc.blindFails {
				is.True(blind < bound*best)
			}
		})
	}
}

// share is the mean share of the requests that were answered within the target.
func (sc scenario) share(t *testing.T, policy func(*simWorld, int) chooseFunc) (share float64) {
	const seeds = 3
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			res := sc.run(policy, 17+seed)
			t.Logf("%+v", res)
			share += res.share() / seeds
		})
	}
	return share
}

var goodputPlot = flag.String("goodput-plot", "", "file for the plot of TestGoodputAgainstLoad, .svg")

// Guards against a collapse at any load up to four times the capacity: the answers
// within the target never fall by more than 5% below those at any lower load. The
// baselines are played beside the policy; -goodput-plot draws all of them.
func TestGoodputAgainstLoad(t *testing.T) {
	is := is.New(t)
	loads := []float64{0.5, 0.75, 1, 1.5, 2, 3, 4}
	policies := []struct {
		name   string
		choose func(*simWorld, int) chooseFunc
	}{{"exact knowledge", exact}, {"sampled", ours}, {"least in flight", leastInFlight}, {"random", random}}
	curves := make([]plotter.XYs, len(policies))
	for i, p := range policies {
		for _, load := range loads {
			synctest.Test(t, func(t *testing.T) {
				res := scenario{load: steady(load)}.run(p.choose, 23)
				good := float64(res.inTarget) / scenarioLength.Seconds()
				t.Logf("%-16s load %.2f: %6.1f answers a second within the target, %+v", p.name, load, good, res)
				curves[i] = append(curves[i], plotter.XY{X: load, Y: good})
			})
		}
	}
	highest := 0.0
	for _, point := range curves[1] {
		is.True(point.Y >= 0.95*highest)
		highest = max(highest, point.Y)
	}
	if *goodputPlot == "" {
		return
	}
	p := plot.New()
	p.Title.Text = "Answers within the target, eight upstreams, 12 instances"
	p.X.Label.Text, p.Y.Label.Text = "offered load / capacity", "answers a second within the target"
	p.Legend.Left, p.Legend.Top = true, true
	p.Y.Min = 0
	var lines []any
	for i := range policies {
		lines = append(lines, policies[i].name, curves[i])
	}
	is.NoErr(plotutil.AddLinePoints(p, lines...))
	p.Y.Max *= 1.4 // room for the legend
	is.NoErr(p.Save(16*vg.Centimeter, 10*vg.Centimeter, *goodputPlot))
}

// random knows nothing.
func random(*simWorld, int) chooseFunc {
	return func(_ context.Context, r Request) (string, func(Ending), error) {
		for _, i := range rand.Perm(len(r.Pool.Upstreams)) {
			if u := r.Pool.Upstreams[i]; r.Pool.Eligible(u, r.Route, r.Tried) {
				return u.ID, func(Ending) {}, nil
			}
		}
		return "", nil, errNoUpstream
	}
}
