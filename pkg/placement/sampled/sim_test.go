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

// The load of the sites: work of 160 ms with a target of 400 ms, four slots, a
// quarter of the time work takes four times as long, 1.7 times above 0.8 of the slots.
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
	done chan bool // true when it ran to its end
}

// simServer is a simulated upstream.
type simServer struct {
	mu       sync.Mutex
	rng      *rand.Rand
	running  []*job
	waiting  []*job
	arrivals []time.Time
	noisy    bool
	noise    float64 // share of the time in which work takes four times as long
	until    time.Time
	grey     bool
	dark     bool    // answers nothing
	gone     bool    // refuses connections
	hidden   float64 // times as long as the readings say, if above 1
	promised int     // requests of a policy with exact knowledge
	coldTill time.Time
}

// slowdown is how many times as long as usual work takes now.
func (s *simServer) slowdown() float64 {
	if s.noisy {
		return 4
	}
	return 1
}

func (s *simServer) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.noise > 0 && now.After(s.until) {
		s.noisy = !s.noisy
		mean := 300 * time.Millisecond
		if !s.noisy {
			mean = time.Duration(float64(mean) * (1 - s.noise) / s.noise)
		}
		s.until = now.Add(time.Duration(float64(mean) * s.rng.ExpFloat64()))
	}
	speed := 1 / (s.slowdown() * max(1, s.hidden))
	if float64(len(s.running)) > 0.8*simSlots {
		speed /= 1.7
	}
	if now.Before(s.coldTill) {
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

// run runs a request and reports whether it was answered well.
func (s *simServer) run(ctx context.Context, now time.Time, work time.Duration) bool {
	j := &job{left: work, done: make(chan bool, 1)}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, now)
	grey := s.gone || s.grey && s.rng.Float64() < 0.45
	switch {
	case s.dark:
		j.done = make(chan bool) // nothing comes
	case grey:
	case len(s.running) < simSlots:
		s.running = append(s.running, j)
	case len(s.waiting) < simQueue:
		s.waiting = append(s.waiting, j)
	default:
		grey = true // full: the connection is reset
	}
	s.mu.Unlock()
	if grey {
		return false
	}
	select {
	case ok := <-j.done:
		return ok
	case <-ctx.Done():
		return false
	}
}

// simWorld is a pool with simulated upstreams in two failure domains.
type simWorld struct {
	pool    table.Pool
	route   table.Route
	size    int64                      // of each answer
	asks    sync.Map                   // region to the number of questions, as *atomic.Int64
	edited  atomic.Pointer[table.Pool] // replaces pool
	servers map[string]*simServer
}

func newSimWorld(n int, noise float64) *simWorld {
	w := &simWorld{
		pool:    table.Pool{Name: "p", Slots: simSlots},
		route:   table.Route{Name: "r", Pool: "p", Deadline: table.Duration(simDeadline), Target: table.Duration(simTarget)},
		servers: map[string]*simServer{},
	}
	for i := range n {
		id := fmt.Sprintf("u%d", i)
		w.pool.Upstreams = append(w.pool.Upstreams, table.Upstream{ID: id, Address: "10.0.0.1:80", Region: "north", FailureDomain: fmt.Sprintf("north-%d", i%2)})
		w.servers[id] = &simServer{rng: rand.New(rand.NewPCG(uint64(i), 7)), noise: noise}
	}
	return w
}

// Ask implements Asker: the reading is as old as half a round trip.
func (w *simWorld) Ask(ctx context.Context, _ *table.Pool, u table.Upstream) (Reading, error) {
	s := w.servers[u.ID]
	w.asked(u.Region).Add(1)
	s.mu.Lock()
	dark, gone := s.dark, s.gone
	s.mu.Unlock()
	if dark {
		<-ctx.Done()
		return Reading{}, ctx.Err()
	}
	if gone {
		return Reading{}, syscall.ECONNREFUSED
	}
	time.Sleep(time.Millisecond)
	if ctx.Err() != nil {
		return Reading{}, errors.New("too late")
	}
	s.mu.Lock()
	r := Reading{Upstream: u.ID, Healthy: true, Loaded: true, Running: len(s.running), Waiting: len(s.waiting), Slots: simSlots, Slowdown: s.slowdown(), Cold: max(time.Until(s.coldTill), 0)}
	s.mu.Unlock()
	time.Sleep(time.Millisecond)
	return r, nil
}

// asked counts the questions to the upstreams of a region.
func (w *simWorld) asked(region string) *atomic.Int64 {
	n, _ := w.asks.LoadOrStore(region, new(atomic.Int64))
	return n.(*atomic.Int64)
}

// result is what callers got.
type result struct {
	asked, inTarget, late, failed, refused int
}

func (r result) share() float64 { return float64(r.inTarget) / float64(max(r.asked, 1)) }

// capacity is the rate of answers of n upstreams that are kept below the load at
// which they slow down, in answers a second.
func (w *simWorld) capacity() float64 {
	total := 0.0
	for _, s := range w.servers {
		total += 3 / (simWork.Seconds() * (1 + 3*s.noise))
	}
	return total
}

// play sends requests at rate a second through instances that share nothing.
func (w *simWorld) play(instances int, rate float64, length time.Duration, seed uint64) result {
	var policies []*Policy
	for i := range instances {
		place := Place{Region: "north", FailureDomain: fmt.Sprintf("north-%d", i%2)}
		policies = append(policies, New(place, w, logr.Discard()))
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
			res.asked++
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

// drawWork returns the work of one request.
func drawWork(rng *rand.Rand) time.Duration {
	return time.Duration(float64(simWork) * math.Exp(0.3*rng.NormFloat64()-0.045))
}

// request plays one request and returns the counter of its outcome.
func (w *simWorld) request(p *Policy, work time.Duration) func(*result) *int {
	start := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(simDeadline))
	defer cancel()
	c, err := p.Choose(ctx, Request{Pool: &w.pool, Route: &w.route, Start: start})
	if err != nil {
		return func(r *result) *int { return &r.refused }
	}
	time.Sleep(time.Millisecond)
	ok := w.servers[c.Upstream.ID].run(ctx, time.Now(), work)
	c.Done(map[bool]Ending{true: Answered, false: Failed}[ok], w.size)
	switch {
	case !ok:
		return func(r *result) *int { return &r.failed }
	case time.Since(start) <= simTarget:
		return func(r *result) *int { return &r.inTarget }
	}
	return func(r *result) *int { return &r.late }
}

// Guards against a collapse under overload: requests that fill the upstreams'
// last slots and queues make all of them late. The answers within the target at
// three times the capacity must be within 5% of those at the capacity.
func TestOverloadDoesNotCollapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var good []float64
		for _, load := range []float64{1, 3} {
			w := newSimWorld(8, 0.25)
			res := w.play(12, load*w.capacity(), 20*time.Second, 3)
			t.Logf("load %.0f: %+v", load, res)
			good = append(good, float64(res.inTarget))
		}
		is.True(good[1] >= 0.95*good[0])
	})
}

// Guards against placement on upstreams that are slow at this moment: at half of
// the capacity, blind choices miss the target in at least the quarter of the time
// in which an upstream is slow.
func TestSlowSpellsAreAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSimWorld(8, 0.25)
		res := w.play(12, 0.5*w.capacity(), 20*time.Second, 5)
		t.Logf("%+v", res)
		is.True(res.share() >= 0.85)
	})
}

// Guards against upstreams that fail requests while they look idle and healthy,
// and so attract more of them than sound ones.
func TestGreyUpstreamIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSimWorld(8, 0)
		w.servers["u0"].grey = true
		res := w.play(4, 0.5*w.capacity(), 20*time.Second, 7)
		t.Logf("%+v", res)
		fair := float64(res.asked) / 8
		is.True(float64(len(w.servers["u0"].arrivals)) < fair)
		is.True(float64(res.failed) < 0.45*fair) // a blind choice would fail so many
	})
}

// Guards against requests that wait for one silent group after the other: when all
// upstreams of the own region go dark, one group must be enough to ask other regions first.
func TestDarkFailureDomainIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSimWorld(48, 0)
		for i := range w.pool.Upstreams {
			u := &w.pool.Upstreams[i]
			w.servers[u.ID].dark = i%2 == 0
			if i%2 == 1 {
				u.Region, u.FailureDomain = "south", "south-1"
			}
		}
		res := w.play(4, 40, 10*time.Second, 11)
		t.Logf("%+v", res)
		is.True(res.share() >= 0.95)
	})
}

// Guards against large answers that cross regions, which operators pay by volume,
// while the own region has room; and against requests that fail when it has none.
func TestLargeAnswersStayInTheRegion(t *testing.T) {
	for _, dark := range []bool{false, true} {
		t.Run(fmt.Sprint(dark), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newSimWorld(8, 0.25)
				w.size = 90_000
				for i := range w.pool.Upstreams {
					if u := &w.pool.Upstreams[i]; i%4 != 0 {
						u.Region, u.FailureDomain = "south", "south-1"
					} else {
						w.servers[u.ID].dark = dark
					}
				}
				res := w.play(4, 5, 90*time.Second, 13)
				far := 0
				for _, u := range w.pool.Upstreams {
					if u.Region == "south" {
						far += len(w.servers[u.ID].arrivals)
					}
				}
				t.Logf("%+v, %d far", res, far)
				if dark {
					is.True(res.inTarget+res.late >= res.asked*95/100)
					return
				}
				is.True(far <= res.asked/100+10) // ten at the start, while the size is not known
			})
		})
	}
}

// Guards against questions to every upstream of other regions, which operators pay
// by volume, for each request that finds no room while all regions are full; and
// against other regions that are left out when they have room again.
func TestFullRegionsAreNotAskedEachTime(t *testing.T) {
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
		load := 2 * w.capacity() / 3 // twice what the four upstreams of the region bear
		res := w.play(4, load, 10*time.Second, 19)
		t.Logf("%+v, %d questions to the other region", res, w.asked("south").Load())
		is.True(int(w.asked("south").Load()) <= 3*res.asked) // eight for each refused request without memory
		for _, s := range w.servers {
			s.running = nil
		}
		res = w.play(4, load, 10*time.Second, 19)
		t.Logf("%+v", res)
		is.True(res.share() >= 0.95)
	})
}

// Guards against memory that grows with every upstream that was ever full.
func TestFullUpstreamsAreBounded(t *testing.T) {
	is := is.New(t)
	f, now := newFullUpstreams(), time.Unix(1000, 0)
	for i := range 3 * maxFull {
		now = now.Add(time.Millisecond)
		f.note(fmt.Sprint(i), true, now)
		is.True(len(f.until) <= maxFull)
		is.True(f.has(fmt.Sprint(i), now))
	}
	f.note("0", false, now)
	is.True(!f.has("0", now))
}

// Guards against the crash of a cold upstream: in no second may it get more than
// 1.5 times the 7 requests that it bears and 5 more, over all instances, also
// while most upstreams of the pool are cold.
func TestColdUpstreamsGetLittle(t *testing.T) {
	const bound = 7*1.5 + 5
	for _, cold := range []int{1, 6} {
		t.Run(fmt.Sprint(cold), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newSimWorld(8, 0.25)
				for i := range cold {
					w.servers[fmt.Sprintf("u%d", i)].coldTill = time.Now().Add(time.Minute)
				}
				res := w.play(24, 0.8*w.capacity(), 15*time.Second, 9)
				t.Logf("%+v", res)
				for i := range cold {
					is.True(busiestSecond(w.servers[fmt.Sprintf("u%d", i)].arrivals) <= bound)
				}
			})
		})
	}
}

// busiestSecond returns the most arrivals in any second.
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

// Guards against instances that ask a whole large pool for a request that finds no
// room, against subsets that leave out some upstreams, and against pools in which a few get all requests.
func TestLargePoolsAreAskedInPart(t *testing.T) {
	is := is.New(t)
	w := newSimWorld(1000, 0)
	all := map[string]int{}
	for n := range 300 {
		p := New(Place{Instance: fmt.Sprintf("e%d", n), Region: "north", FailureDomain: "north-0"}, w, logr.Discard())
		list := p.candidates(Request{Pool: &w.pool, Route: &w.route}, false)
		is.True(len(list) <= 2*subsetSize)
		for _, c := range list {
			if c.usual {
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
