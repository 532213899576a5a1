package sampled

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/table"
)

// The simulated load: requests of 160 ms with a target of 400 ms, four slots;
// processing takes four times as long for a quarter of the time, and 1.7 times as
// long above 0.8 of the slots.
const (
	simWork     = 160 * time.Millisecond
	simTarget   = 400 * time.Millisecond
	simDeadline = 1500 * time.Millisecond
	simSlots    = 4
	simQueue    = 8
	simTick     = 5 * time.Millisecond
)

// job is one request at a simulated upstream.
type job struct {
	left time.Duration
	done chan bool // receives true on completion
}

// simServer is a simulated upstream.
type simServer struct {
	mu             sync.Mutex
	rng            *rand.Rand
	running        []*job
	waiting        []*job
	arrivals       []time.Time
	slow           bool
	slowShare      float64   // share of the time in which processing takes four times as long
	nextSwitch     time.Time // between slow and normal
	grey           bool      // grey failure: requests fail at random while probes succeed
	unresponsive   bool      // accepts connections but never responds
	down           bool      // refuses connections
	hiddenSlowdown float64   // extra slowdown that readings do not show, if above 1
	oracleInFlight int       // in-flight requests of the oracle
	coldUntil      time.Time
}

// slowdown returns the current processing time as a multiple of the usual one.
func (s *simServer) slowdown() float64 {
	if s.slow {
		return 4
	}
	return 1
}

// tick advances the running requests by simTick and starts queued ones in free slots.
func (s *simServer) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slowShare > 0 && now.After(s.nextSwitch) {
		s.slow = !s.slow
		mean := 300 * time.Millisecond
		if !s.slow {
			mean = time.Duration(float64(mean) * (1 - s.slowShare) / s.slowShare)
		}
		s.nextSwitch = now.Add(time.Duration(float64(mean) * s.rng.ExpFloat64()))
	}
	speed := 1 / (s.slowdown() * max(1, s.hiddenSlowdown))
	if float64(len(s.running)) > 0.8*simSlots {
		speed /= 1.7
	}
	if now.Before(s.coldUntil) {
		speed /= 2
	}
	keep := s.running[:0]
	for _, j := range s.running {
		if j.left -= time.Duration(speed * float64(simTick)); j.left <= 0 {
			j.done <- true
		} else {
			keep = append(keep, j)
		}
	}
	s.running = keep
	for len(s.running) < simSlots && len(s.waiting) > 0 {
		s.running = append(s.running, s.waiting[0])
		s.waiting = s.waiting[1:]
	}
}

// run processes a request and reports whether it succeeded.
func (s *simServer) run(ctx context.Context, now time.Time, work time.Duration) bool {
	j := &job{left: work, done: make(chan bool, 1)}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, now)
	failed := s.down || s.grey && s.rng.Float64() < 0.45
	switch {
	case s.unresponsive:
		j.done = make(chan bool) // never signalled
	case failed:
	case len(s.running) < simSlots:
		s.running = append(s.running, j)
	case len(s.waiting) < simQueue:
		s.waiting = append(s.waiting, j)
	default:
		failed = true // full: the connection is reset
	}
	s.mu.Unlock()
	if failed {
		return false
	}
	select {
	case ok := <-j.done:
		return ok
	case <-ctx.Done():
		return false
	}
}

// simWorld simulates a pool with upstreams in two failure domains.
type simWorld struct {
	pool    table.Pool
	route   table.Route
	size    int64                      // of each response, in bytes
	probes  sync.Map                   // number of probes by region, as *atomic.Int64
	edited  atomic.Pointer[table.Pool] // overrides pool after an edit
	servers map[string]*simServer
}

func newSimWorld(n int, slowShare float64) *simWorld {
	w := &simWorld{
		pool:    table.Pool{Name: "p", Slots: simSlots},
		route:   table.Route{Name: "r", Pool: "p", Deadline: table.Duration(simDeadline), Target: table.Duration(simTarget)},
		servers: map[string]*simServer{},
	}
	for i := range n {
		id := fmt.Sprintf("u%d", i)
		w.pool.Upstreams = append(w.pool.Upstreams, table.Upstream{ID: id, Address: "10.0.0.1:80", Region: "north", FailureDomain: fmt.Sprintf("north-%d", i%2)})
		w.servers[id] = &simServer{rng: rand.New(rand.NewPCG(uint64(i), 7)), slowShare: slowShare}
	}
	return w
}

// Probe returns the reading of a simulated upstream, which is half a round trip old on arrival.
func (w *simWorld) Probe(ctx context.Context, _ *table.Pool, u table.Upstream) (Reading, error) {
	s := w.servers[u.ID]
	w.probeCount(u.Region).Add(1)
	s.mu.Lock()
	unresponsive, down := s.unresponsive, s.down
	s.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return Reading{}, ctx.Err()
	}
	if down {
		return Reading{}, syscall.ECONNREFUSED
	}
	time.Sleep(time.Millisecond)
	if ctx.Err() != nil {
		return Reading{}, errors.New("too late")
	}
	s.mu.Lock()
	r := Reading{Upstream: u.ID, Healthy: true, Loaded: true, Running: len(s.running), Waiting: len(s.waiting), Slots: simSlots, Slowdown: s.slowdown(), Cold: max(time.Until(s.coldUntil), 0)}
	s.mu.Unlock()
	time.Sleep(time.Millisecond)
	return r, nil
}

// probeCount returns the counter of probes to the upstreams of a region.
func (w *simWorld) probeCount(region string) *atomic.Int64 {
	n, _ := w.probes.LoadOrStore(region, new(atomic.Int64))
	return n.(*atomic.Int64)
}

// result counts the outcomes of the requests.
type result struct {
	sent, inTarget, late, failed, refused int
}

func (r result) share() float64 { return float64(r.inTarget) / float64(max(r.sent, 1)) }

// capacity returns the throughput, in responses per second, of all upstreams kept
// below the load at which they slow down.
func (w *simWorld) capacity() float64 {
	total := 0.0
	for _, s := range w.servers {
		total += 3 / (simWork.Seconds() * (1 + 3*s.slowShare))
	}
	return total
}

// run sends rate requests per second through instances that share no state.
func (w *simWorld) run(instances int, rate float64, length time.Duration, seed uint64) result {
	unlimited := func() *ProbeBudget { return nil }
	return w.runWithin(unlimited, instances, rate, length, seed)
}

// runWithin is run with a probe budget for each instance.
func (w *simWorld) runWithin(budget func() *ProbeBudget, instances int, rate float64, length time.Duration, seed uint64) result {
	var policies []*Policy
	for i := range instances {
		place := Location{Region: "north", FailureDomain: fmt.Sprintf("north-%d", i%2)}
		policies = append(policies, New(place, w, budget(), logr.Discard()))
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	stop := w.start(nil)
	var mu sync.Mutex
	var res result
	var running sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		p := policies[rng.IntN(instances)]
		work := drawWork(rng)
		running.Go(func() {
			o := w.request(p, work)
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

// start runs the upstreams and applies the steps at their times until stop is called.
func (w *simWorld) start(steps []step) (stop func()) {
	end := make(chan struct{})
	var ticking sync.WaitGroup
	steps = slices.Clone(steps)
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	ticking.Go(func() {
		for begin := time.Now(); ; {
			select {
			case <-end:
				return
			default:
			}
			time.Sleep(simTick)
			for len(steps) > 0 && time.Since(begin) >= steps[0].at {
				steps[0].do(w)
				steps = steps[1:]
			}
			for _, s := range w.servers {
				s.tick(time.Now())
			}
		}
	})
	return func() { close(end); ticking.Wait() }
}

// drawWork draws the processing time of one request from a log-normal distribution.
func drawWork(rng *rand.Rand) time.Duration {
	return time.Duration(float64(simWork) * math.Exp(0.3*rng.NormFloat64()-0.045))
}

// request simulates one request and returns a function that selects the counter of its outcome.
func (w *simWorld) request(p *Policy, work time.Duration) func(*result) *int {
	return w.requestOf("", 0, p, work)
}

// requestOf is request for a workspace with the given limit.
func (w *simWorld) requestOf(workspace string, rate float64, p *Policy, work time.Duration) func(*result) *int {
	start := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(simDeadline))
	defer cancel()
	c, err := p.Choose(ctx, Request{Pool: &w.pool, Route: &w.route, Start: start, Workspace: workspace, Rate: rate})
	if err != nil {
		return func(r *result) *int { return &r.refused }
	}
	time.Sleep(time.Millisecond)
	ok := w.servers[c.Upstream.ID].run(ctx, time.Now(), work)
	c.Done(map[bool]Outcome{true: Succeeded, false: Failed}[ok], w.size)
	switch {
	case !ok:
		return func(r *result) *int { return &r.failed }
	case time.Since(start) <= simTarget:
		return func(r *result) *int { return &r.inTarget }
	}
	return func(r *result) *int { return &r.late }
}

// Guards against congestion collapse under overload: requests that fill the last
// slots and the queues of the upstreams make all requests late. The goodput at three
// times the capacity must be within 5% of that at the capacity.
func TestOverloadDoesNotCollapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var good []float64
		for _, load := range []float64{1, 3} {
			w := newSimWorld(8, 0.25)
			res := w.run(12, load*w.capacity(), 20*time.Second, 3)
			t.Logf("load %.0f: %+v", load, res)
			good = append(good, float64(res.inTarget))
		}
		is.True(good[1] >= 0.95*good[0])
	})
}

// Guards against placement on upstreams that are currently slow: at half of the
// capacity, choices without load information miss the target at least during the
// quarter of the time in which an upstream is slow.
func TestSlowUpstreamsAreAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSimWorld(8, 0.25)
		res := w.run(12, 0.5*w.capacity(), 20*time.Second, 5)
		t.Logf("%+v", res)
		is.True(res.share() >= 0.85)
	})
}

// Guards against grey failures: an upstream that fails requests while it looks idle
// and healthy attracts more of them than working ones.
func TestGreyUpstreamIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSimWorld(8, 0)
		w.servers["u0"].grey = true
		res := w.run(4, 0.5*w.capacity(), 20*time.Second, 7)
		t.Logf("%+v", res)
		fair := float64(res.sent) / 8
		is.True(float64(len(w.servers["u0"].arrivals)) < fair)
		is.True(float64(res.failed) < 0.45*fair) // the number that a random choice would lose
	})
}

// Guards against requests that wait for one unresponsive group after the other: when
// all upstreams of the local region stop responding, the time-outs of one group must
// suffice for other regions to be probed first.
func TestUnresponsiveFailureDomainIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSimWorld(48, 0)
		for i := range w.pool.Upstreams {
			u := &w.pool.Upstreams[i]
			w.servers[u.ID].unresponsive = i%2 == 0
			if i%2 == 1 {
				u.Region, u.FailureDomain = "south", "south-1"
			}
		}
		res := w.run(4, 40, 10*time.Second, 11)
		t.Logf("%+v", res)
		is.True(res.share() >= 0.95)
	})
}

// Guards against large responses that cross regions, for which operators pay by volume,
// while the local region has headroom; and against requests that fail when it has none.
func TestLargeResponsesStayInTheRegion(t *testing.T) {
	for _, unresponsive := range []bool{false, true} {
		t.Run(fmt.Sprint(unresponsive), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newSimWorld(8, 0.25)
				w.size = 90_000
				for i := range w.pool.Upstreams {
					if u := &w.pool.Upstreams[i]; i%4 != 0 {
						u.Region, u.FailureDomain = "south", "south-1"
					} else {
						w.servers[u.ID].unresponsive = unresponsive
					}
				}
				res := w.run(4, 5, 90*time.Second, 13)
				remote := 0
				for _, u := range w.pool.Upstreams {
					if u.Region == "south" {
						remote += len(w.servers[u.ID].arrivals)
					}
				}
				t.Logf("%+v, %d to the other region", res, remote)
				if unresponsive {
					is.True(res.inTarget+res.late >= res.sent*95/100)
					return
				}
				is.True(remote <= res.sent/100+10) // ten at the start, while the response size is unknown
			})
		})
	}
}

// Guards against probes to every upstream of other regions, traffic that operators pay
// for by volume, for each request that finds no headroom while all regions are full;
// and against other regions that stay unused once they have headroom again.
func TestFullRegionsAreNotProbedEachTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSimWorld(12, 0)
		stuck := &job{left: time.Hour, done: make(chan bool, 1)}
		for i := range w.pool.Upstreams {
			if u := &w.pool.Upstreams[i]; i >= 4 {
				u.Region, u.FailureDomain = "south", "south-1"
				w.servers[u.ID].running = []*job{stuck, stuck, stuck, stuck}
			}
		}
		load := 2 * w.capacity() / 3 // twice the capacity of the four upstreams of the region
		res := w.run(4, load, 10*time.Second, 19)
		t.Logf("%+v, %d probes to the other region", res, w.probeCount("south").Load())
		is.True(int(w.probeCount("south").Load()) <= 3*res.sent) // without fullUpstreams eight for each refused request
		for _, s := range w.servers {
			s.running = nil
		}
		res = w.run(4, load, 10*time.Second, 19)
		t.Logf("%+v", res)
		is.True(res.share() >= 0.95)
	})
}

// Guards against a memory leak: an entry for every upstream that was ever probed.
func TestReadingsAreBounded(t *testing.T) {
	is := is.New(t)
	l, now := newLastReadings(), time.Unix(1000, 0)
	full := Reading{Loaded: true, Running: simSlots, Slots: simSlots}
	for i := range 3 * maxReadings {
		now = now.Add(time.Millisecond)
		full.At = now
		l.record(fmt.Sprint(i), full, 0)
		is.True(len(l.list) <= maxReadings)
	}
}

// Guards against a reading that is used for too long, and against one that omits what this instance has sent
// and finished since.
func TestReadingsAge(t *testing.T) {
	is := is.New(t)
	l, now := newLastReadings(), time.Unix(1000, 0)
	l.record("u", Reading{At: now, Loaded: true, Running: 2, Slots: simSlots}, 1)
	is.True(!l.isFull("u", 1, now))
	is.True(l.isFull("u", 2, now))
	is.True(!l.isFull("u", 2, now.Add(remoteFullTTL+1)))
	r, known := l.at("u", 0, maxReadingAge, now.Add(maxReadingAge))
	is.True(known)
	is.Equal(r.Running, 1)
	_, known = l.at("u", 0, maxReadingAge, now.Add(maxReadingAge+1))
	is.True(!known)
}

// Guards against the crash of a cold upstream: in any second it may get at most 1.5
// times the 7 requests that it can handle plus 5, over all instances, even while most
// upstreams of the pool are cold.
func TestColdUpstreamsGetLimitedLoad(t *testing.T) {
	const bound = 7*1.5 + 5
	for _, cold := range []int{1, 6} {
		t.Run(fmt.Sprint(cold), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newSimWorld(8, 0.25)
				for i := range cold {
					w.servers[fmt.Sprintf("u%d", i)].coldUntil = time.Now().Add(time.Minute)
				}
				res := w.run(24, 0.8*w.capacity(), 15*time.Second, 9)
				t.Logf("%+v", res)
				for i := range cold {
					is.True(busiestSecond(w.servers[fmt.Sprintf("u%d", i)].arrivals) <= bound)
				}
			})
		})
	}
}

// busiestSecond returns the largest number of arrivals within any second.
func busiestSecond(at []time.Time) float64 {
	most, from := 0, 0
	for i := range at {
		for at[i].Sub(at[from]) >= time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return float64(most)
}

// Guards against instances that probe the whole of a large pool for a request that
// finds no headroom, against upstreams that are in no subset, and against pools in
// which a few upstreams get all requests.
func TestLargePoolsAreProbedInPart(t *testing.T) {
	is := is.New(t)
	w := newSimWorld(1000, 0)
	all := map[string]int{}
	for n := range 300 {
		p := New(Location{Instance: fmt.Sprintf("e%d", n), Region: "north", FailureDomain: "north-0"}, w, nil, logr.Discard())
		list := p.candidates(Request{Pool: &w.pool, Route: &w.route}, false)
		is.True(len(list) <= 2*subsetSize)
		for _, c := range list {
			if c.inSubset {
				all[c.upstream.ID]++
			}
		}
	}
	most := 0
	for _, n := range all {
		most = max(most, n)
	}
	is.True(len(all) >= 950) // 300 subsets of 12 over 1000 upstreams miss 27 on average
	is.True(most <= 15)      // 3.6 on average
}
