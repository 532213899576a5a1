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

// step changes the simulation at a time after the start of the load.
type step struct {
	at time.Duration
	do func(w *simWorld)
}

// scenario is a load on eight upstreams in two failure domains, with the changes during the run.
type scenario struct {
	name  string
	load  func(at time.Duration) float64 // as a share of the capacity of all upstreams
	steps []step
	// repeats is how often a caller retries a request that was refused or failed.
	repeats int
	// leastInFlightFails is set if least in flight misses the bound.
	leastInFlightFails bool
}

func constantLoad(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// updateServer changes one upstream.
func updateServer(at time.Duration, id string, do func(*simServer)) step {
	return step{at, func(w *simWorld) {
		s := w.servers[id]
		s.mu.Lock()
		defer s.mu.Unlock()
		do(s)
	}}
}

// updateServers applies one change to several upstreams.
func updateServers(at time.Duration, do func(*simServer), ids ...string) (steps []step) {
	for _, id := range ids {
		steps = append(steps, updateServer(at, id, do))
	}
	return steps
}

// restart stops an upstream at a time and starts it again, cold, after gap.
func restart(at, gap time.Duration, id string) []step {
	return []step{
		updateServer(at, id, func(s *simServer) {
			s.down = true
			for _, j := range slices.Concat(s.running, s.waiting) {
				j.done <- false
			}
			s.running, s.waiting = nil, nil
		}),
		updateServer(at+gap, id, func(s *simServer) { s.down, s.coldUntil = false, time.Now().Add(2*time.Second) }),
	}
}

// rollingRestart restarts the upstreams one after the other; each is taken out of service first.
func rollingRestart(from, gap time.Duration, n int) (steps []step) {
	for i := range n {
		id, at := fmt.Sprintf("u%d", i), from+time.Duration(i)*gap
		steps = append(steps, step{at, func(w *simWorld) { w.setPool(func(p *table.Pool) { p.UpstreamsOut = []string{id} }) }})
		steps = append(steps, restart(at+gap/2, gap/4, id)...)
		steps = append(steps, step{at + gap*3/4, func(w *simWorld) { w.setPool(func(p *table.Pool) { p.UpstreamsOut = nil }) }})
	}
	return steps
}

// updateDomain changes every upstream of a failure domain.
func updateDomain(at time.Duration, name string, do func(*simServer)) step {
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
	{name: "burst", leastInFlightFails: true, load: func(at time.Duration) float64 {
		if at > 5*time.Second && at < 7*time.Second {
			return 3
		}
		return 0.5
	}},
	{name: "repeats", leastInFlightFails: true, repeats: 3, load: func(at time.Duration) float64 {
		if at > 5*time.Second && at < 7*time.Second {
			return 2.5
		}
		return 0.6
	}},
	{name: "grey", load: constantLoad(0.45), steps: updateServers(3*time.Second, func(s *simServer) { s.grey = true }, "u0", "u1", "u2", "u3")},
	{name: "slow", leastInFlightFails: true, load: constantLoad(0.5), steps: slices.Concat(
		updateServers(3*time.Second, func(s *simServer) { s.hiddenSlowdown = 8 }, "u0", "u1"), updateServers(12*time.Second, func(s *simServer) { s.hiddenSlowdown = 1 }, "u0", "u1"))},
	{name: "crash", leastInFlightFails: true, load: constantLoad(0.6), steps: slices.Concat(
		restart(2*time.Second, 3*time.Second, "u0"), restart(2500*time.Millisecond, 3*time.Second, "u1"),
		restart(8*time.Second, 3*time.Second, "u2"), restart(8*time.Second, 3*time.Second, "u3"))},
	{name: "release", leastInFlightFails: true, load: constantLoad(0.6), steps: rollingRestart(2*time.Second, 1500*time.Millisecond, 8)},
	{name: "loss of a failure domain", leastInFlightFails: true, load: constantLoad(0.35), steps: []step{
		updateDomain(4*time.Second, "north-1", func(s *simServer) { s.unresponsive = true }), updateDomain(9*time.Second, "north-1", func(s *simServer) { s.unresponsive = false })}},
	{name: "evacuation", leastInFlightFails: true, load: constantLoad(0.48), steps: []step{
		{3 * time.Second, func(w *simWorld) { w.setPool(func(p *table.Pool) { p.FailureDomainsOut = []string{"north-1"} }) }},
		{12 * time.Second, func(w *simWorld) { w.setPool(func(p *table.Pool) { p.FailureDomainsOut = nil }) }}}},
}

var errNoUpstream = errors.New("no upstream can serve the request in time")

// chooseFunc chooses an upstream for one attempt.
type chooseFunc func(ctx context.Context, r Request) (id string, done func(Outcome), err error)

// sampledPolicy uses the policy of this package, a separate one for each instance.
func sampledPolicy(w *simWorld, instance int) chooseFunc {
	p := New(Location{Region: "north", FailureDomain: fmt.Sprintf("north-%d", instance%2)}, w, nil, logr.Discard())
	return func(ctx context.Context, r Request) (string, func(Outcome), error) {
		c, err := p.Choose(ctx, r)
		if err != nil {
			return "", nil, err
		}
		return c.Upstream.ID, func(e Outcome) { c.Done(e, w.size) }, nil
	}
}

// leastInFlight counts the in-flight requests of its own instance only, as most load balancers do.
func leastInFlight(*simWorld, int) chooseFunc {
	var mu sync.Mutex
	inFlight := map[string]int{}
	return func(_ context.Context, r Request) (string, func(Outcome), error) {
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
		return id, func(Outcome) {
			mu.Lock()
			defer mu.Unlock()
			inFlight[id]--
		}, nil
	}
}

// oracle has exact knowledge of the current state of all upstreams, including hidden
// faults and the requests in transit from all instances. It waits for headroom while
// the target can be met, and refuses at once afterwards.
func oracle(w *simWorld, _ int) chooseFunc {
	return func(ctx context.Context, r Request) (string, func(Outcome), error) {
		for {
			if id := w.oracleChoice(r); id != "" {
				w.addInFlight(id, 1)
				return id, func(Outcome) { w.addInFlight(id, -1) }, nil
			}
			if time.Since(r.Start) > simTarget-simWork || ctx.Err() != nil {
				return "", nil, errNoUpstream
			}
			time.Sleep(simTick)
		}
	}
}

// oracleChoice returns the upstream with headroom that has the lowest estimated response time, or "".
func (w *simWorld) oracleChoice(r Request) string {
	best, lowest := "", time.Duration(math.MaxInt64)
	for _, u := range r.Pool.Upstreams {
		s := w.servers[u.ID]
		s.mu.Lock()
		running := max(len(s.running)+len(s.waiting), s.oracleInFlight)
		reading := Reading{Healthy: true, Loaded: true, Running: running, Slots: simSlots, Slowdown: s.slowdown() * max(1, s.hiddenSlowdown)}
		usable := r.Pool.Eligible(u, r.Route, r.Tried) && !s.grey && !s.unresponsive && !s.down && time.Now().After(s.coldUntil)
		s.mu.Unlock()
		if cost := estimate(reading, SameDomain, 0, simTarget); usable && hasHeadroom(reading) && cost < lowest {
			best, lowest = u.ID, cost
		}
	}
	return best
}

// addInFlight changes the number of requests that the oracle has sent to an upstream and that have not ended.
func (w *simWorld) addInFlight(id string, n int) {
	s := w.servers[id]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oracleInFlight += n
}

// run simulates the scenario with one policy.
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
			res.sent++
			*o(&res)++
		})
	}
	running.Wait()
	stop()
	return res
}

// attempts simulates a request that a caller began at start: a failed attempt is
// retried once. again is set if the caller may retry the request.
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
		done(map[bool]Outcome{true: Succeeded, false: Failed}[ok])
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

// setPool edits the pool row; requests in flight keep the row they began with.
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

// Guards against requests that fail, are late or are refused although another upstream
// could have served them: in each scenario the share of responses within the target is
// at least 0.9 of that of the oracle. Least in flight misses the bound where
// leastInFlightFails is set; in the other scenario its one retry hides most failures.
func TestScenarios(t *testing.T) {
	const bound = 0.9 // of the oracle's share
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			is := is.New(t)
			best, got, baseline := sc.share(t, oracle), sc.share(t, sampledPolicy), sc.share(t, leastInFlight)
			t.Logf("%-26s exact %.3f, sampled %.3f, least in flight %.3f", sc.name, best, got, baseline)
			is.True(got >= bound*best)
			if sc.leastInFlightFails {
				is.True(baseline < bound*best)
			}
		})
	}
}

// share returns the mean share of requests with a response within the target.
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

// Guards against congestion collapse at any load up to four times the capacity: the
// goodput must stay within 5% of that at any lower load. The baseline policies are
// run for comparison; -goodput-plot plots all of them.
func TestGoodputAgainstLoad(t *testing.T) {
	is := is.New(t)
	loads := []float64{0.5, 0.75, 1, 1.5, 2, 3, 4}
	policies := []struct {
		name   string
		choose func(*simWorld, int) chooseFunc
	}{{"exact knowledge", oracle}, {"sampled", sampledPolicy}, {"least in flight", leastInFlight}, {"random", random}}
	curves := make([]plotter.XYs, len(policies))
	for i, p := range policies {
		for _, load := range loads {
			synctest.Test(t, func(t *testing.T) {
				res := scenario{load: constantLoad(load)}.run(p.choose, 23)
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

// random chooses any eligible upstream without load information.
func random(*simWorld, int) chooseFunc {
	return func(_ context.Context, r Request) (string, func(Outcome), error) {
		for _, i := range rand.Perm(len(r.Pool.Upstreams)) {
			if u := r.Pool.Upstreams[i]; r.Pool.Eligible(u, r.Route, r.Tried) {
				return u.ID, func(Outcome) {}, nil
			}
		}
		return "", nil, errNoUpstream
	}
}
