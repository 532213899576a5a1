package hedge

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/retry"
)

var epoch = time.Unix(1000, 0)

func fixed(n int) func() int { return func() int { return n } }

// ample returns a retry budget that no test uses up.
func ample() *retry.Budget {
	b := retry.NewBudget(100, 1000)
	for range 1000 {
		b.Request()
	}
	return b
}

// Guards against the loss of any rule that forbids a second copy, and against one that is sent before its delay.
func TestRules(t *testing.T) {
	const ms = time.Millisecond
	d := Delay{After: 100 * ms, Run: 40 * ms}
	base := State{Placed: epoch, Deadline: epoch.Add(time.Second)}
	for name, c := range map[string]struct {
		edit func(*State)
		at   time.Duration
		want Reason
		wait time.Duration
	}{
		"sent":                 {func(*State) {}, 100 * ms, Sent, 0},
		"too early":            {func(*State) {}, 70 * ms, Waiting, 30 * ms},
		"not placed":           {func(s *State) { s.Placed = time.Time{} }, 500 * ms, Waiting, 100 * ms},
		"not placed, late":     {func(s *State) { s.Placed = time.Time{} }, 870 * ms, Late, 0},
		"last run":             {func(*State) {}, 960 * ms, Sent, 0},
		"too late":             {func(*State) {}, 961 * ms, Late, 0},
		"suspect":              {func(s *State) { s.Suspect = true }, 100 * ms, Suspect, 0},
		"crowded":              {func(s *State) { s.Crowded = true }, 100 * ms, Crowded, 0},
		"crowded and too late": {func(s *State) { s.Crowded = true }, 990 * ms, Late, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := base
			c.edit(&s)
			reason, wait := judge(s, d, epoch.Add(c.at))
			is.Equal(reason, c.want)
			is.Equal(wait, c.wait)
		})
	}
}

// Guards against a limit of a route or pool that does not apply, and against a limit of 0 that hedges.
func TestMostSpecificLimitApplies(t *testing.T) {
	h := New(Limits{Percent: 2, Pools: map[string]float64{"p": 5, "off": 0}, Routes: map[string]float64{"r": 10, "none": 0}, Reserve: 1000}, fixed(1))
	for _, c := range []struct {
		pool, route string
		percent     int
	}{{"x", "y", 2}, {"p", "y", 5}, {"p", "r", 10}, {"x", "r", 10}, {"off", "y", 0}, {"p", "none", 0}} {
		t.Run(c.pool+" "+c.route, func(t *testing.T) {
			is := is.New(t)
			_, ok := h.Delay(c.pool, c.route, time.Second, epoch)
			is.Equal(ok, c.percent > 0)
			sent, retries := 0, ample()
			for range 1000 {
				h.Request(c.pool, c.route)
				if reason, _ := h.Decide(c.pool, c.route, State{Placed: epoch, Target: time.Second, Deadline: epoch.Add(time.Hour)}, retries, epoch.Add(time.Minute)); reason == Sent {
					sent++
				}
			}
			is.Equal(sent, c.percent*10)
		})
	}
}

// Guards against second copies that are paid from one budget only: without a spare retry none is sent, and a refused one
// is returned to the limit.
func TestBothBudgetsPay(t *testing.T) {
	is := is.New(t)
	h := New(Limits{Percent: 100, Reserve: 1}, fixed(1))
	s, now := State{Placed: epoch, Target: time.Second, Deadline: epoch.Add(time.Hour)}, epoch.Add(time.Minute)
	retries := retry.NewBudget(100, 3)
	h.Request("p", "r")
	reason, _ := h.Decide("p", "r", s, retries, now)
	is.Equal(reason, RetryBudget)
	retries.Request()
	retries.Request()
	reason, _ = h.Decide("p", "r", s, retries, now)
	is.Equal(reason, Sent)
	reason, _ = h.Decide("p", "r", s, retries, now)
	is.Equal(reason, Limit)
	is.True(retries.Take())
	is.True(!retries.Take()) // the second copy took one of two
}

// Guards against second copies without a token of their workspace's rate, against tokens that are taken for copies which
// another reason forbids, and against budgets that pay for a copy without a token.
func TestRateDecidesLast(t *testing.T) {
	is := is.New(t)
	h := New(Limits{Percent: 100, Reserve: 1}, fixed(1))
	s, now := State{Placed: epoch, Target: time.Second, Deadline: epoch.Add(time.Hour)}, epoch.Add(time.Minute)
	retries := retry.NewBudget(100, 3)
	asked, token := 0, false
	s.TakeRate = func() bool { asked++; return token }
	h.Request("p", "r")
	reason, _ := h.Decide("p", "r", s, retries, now)
	is.Equal(reason, RetryBudget)
	is.Equal(asked, 0)
	retries.Request()
	retries.Request()
	reason, _ = h.Decide("p", "r", s, retries, now)
	is.Equal(reason, Rate)
	is.Equal(retries.Left(), 2.0)
	token = true
	reason, _ = h.Decide("p", "r", s, retries, now)
	is.Equal(reason, Sent) // the limit was returned, too
	is.Equal(asked, 2)
}

// Guards against second copies in the moments of lasting overload in which the pool does not look crowded, and against a pool
// that stays crowded, or one that makes others crowded.
func TestPoolStaysCrowdedForAWhile(t *testing.T) {
	h := New(Limits{Percent: 100, Reserve: 10}, fixed(1))
	for _, c := range []struct {
		pool    string
		at      time.Duration
		crowded bool
		want    Reason
	}{
		{"p", 0, false, Sent}, {"p", 1 * time.Second, true, Crowded}, {"p", 1999 * time.Millisecond, false, Crowded},
		{"q", 1999 * time.Millisecond, false, Sent}, {"p", 2 * time.Second, false, Sent},
	} {
		t.Run(fmt.Sprint(c.pool, c.at, c.crowded), func(t *testing.T) {
			h.Request(c.pool, "r")
			s := State{Placed: epoch.Add(-time.Minute), Target: time.Second, Deadline: epoch.Add(time.Hour), Crowded: c.crowded}
			reason, _ := h.Decide(c.pool, "r", s, ample(), epoch.Add(c.at))
			is.New(t).Equal(reason, c.want)
		})
	}
}

// Guards against a delay that does not follow the response times of its own pool and route, that is derived from old or few
// ones, or that is too late for the target.
func TestDelayFollowsResponseTimes(t *testing.T) {
	is := is.New(t)
	h := New(Limits{Percent: 5}, fixed(1))
	const ms, target = time.Millisecond, time.Second
	delay := func(now time.Time) Delay { d, _ := h.Delay("p", "r", target, now); return d }
	near := func(got, want time.Duration) bool { return got >= want && got < want*112/100 }
	is.Equal(delay(epoch), Delay{After: 550 * ms, Run: 380 * ms})
	observe := func(from time.Time, slow time.Duration) {
		for n := range 100 {
			took := 100 * ms
			if n%10 == 0 {
				took = slow
			}
			h.Observe("p", "r", took, from.Add(time.Duration(n)*10*ms))
		}
	}
	observe(epoch, 300*ms)
	d := delay(epoch.Add(time.Second))
	is.True(d.Measured && near(d.After, 300*ms) && near(d.Run, 100*ms))
	other, _ := h.Delay("p", "other", target, epoch)
	is.True(!other.Measured)
	is.True(!delay(epoch.Add(70 * time.Second)).Measured) // older than both windows
	observe(epoch.Add(100*time.Second), 2*time.Second)
	d = delay(epoch.Add(101 * time.Second))
	is.True(d.Measured && d.After < 900*ms && d.After > 880*ms) // leaves one run within the target
}

// Guards against an estimate that second copies falsify: with samples cut off where the second copy won, the quantile
// must stay where it is without any second copy.
func TestCancelledCopiesDoNotLowerTheDelay(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(1, 0))
	plain, cut := New(Limits{Percent: 5}, fixed(1)), New(Limits{Percent: 5}, fixed(1))
	now := epoch
	for range 5000 {
		now = now.Add(10 * time.Millisecond)
		took := time.Duration((0.5 + rnd.ExpFloat64()) * float64(50*time.Millisecond))
		plain.Observe("p", "r", took, now)
		if d, _ := cut.Delay("p", "r", time.Second, now); d.Measured {
			took = min(took, d.After+d.Run) // the second copy wins then
		}
		cut.Observe("p", "r", took, now)
	}
	a, _ := plain.Delay("p", "r", time.Second, now)
	b, _ := cut.Delay("p", "r", time.Second, now)
	is.Equal(a, b)
}

// Guards against second copies in excess of the limit in any window, whatever the number of instances, also when a calm
// time ends in a slow one in which all requests ask for one, and when instances join and die.
func TestLimitHoldsInEveryWindow(t *testing.T) {
	const (
		tick    = 100 * time.Millisecond
		window  = 50 // 5 s
		percent = 2
		reserve = 50
	)
	for _, instances := range []int{2, 16, 104, 471} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			is := is.New(t)
			rnd := rand.New(rand.NewPCG(uint64(instances), 0))
			limits := Limits{Percent: percent, Reserve: reserve}
			fleet := make([]*Hedger, instances)
			retries := ample()
			for i := range fleet {
				fleet[i] = New(limits, fixed(instances))
			}
			var requests, copies []int
			for step := range 8 * window {
				slow := step/window%2 == 1
				fleet[rnd.IntN(instances)] = New(limits, fixed(instances)) // one dies, another one joins
				sent, extra := 0, 0
				for _, h := range fleet {
					if rnd.IntN(2) > 0 { // five requests a second
						continue
					}
					h.Request("p", "r")
					sent++
					retries.Request()
					now := epoch.Add(time.Duration(step) * tick)
					s := State{Placed: now.Add(-time.Minute), Target: time.Second, Deadline: now.Add(time.Hour)}
					if slow {
						if reason, _ := h.Decide("p", "r", s, retries, now); reason == Sent {
							extra++
						}
					}
				}
				requests, copies = append(requests, sent), append(copies, extra)
				for _, length := range []int{1, window / 5, window, 2 * window} {
					allowed, used := float64(max(reserve, instances)), 0
					for n := max(0, step-length+1); n <= step; n++ {
						allowed += percent / 100.0 * float64(requests[n])
						used += copies[n]
					}
					is.True(float64(used) <= allowed)
				}
			}
		})
	}
}
