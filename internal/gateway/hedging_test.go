package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/entry"
	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/pkg/kernel"
	"github.com/turmericsail/turmericsail/pkg/table"
	"github.com/turmericsail/turmericsail/platform"
)

var (
	hedgedPool = &table.Pool{Name: "p", Upstreams: []table.Upstream{
		{ID: "u1", FailureDomain: "n1"}, {ID: "u2", FailureDomain: "n1"}, {ID: "u3", FailureDomain: "n2"},
	}}
	hedgedRoute = &table.Route{Name: "r", Target: table.Duration(time.Second), Retry: table.Retry{MaxAttempts: 3}}
)

func newTestHedging(cfg settings.Hedging, crowded bool) *hedging {
	one := func() int { return 1 }
	return newHedging(cfg, newRetryBudgets(platform.Bounds{RetryPercent: 20, RetryReserve: 100}, one), one, func(string) bool { return crowded })
}

// Guards against second copies that are not paid from the pool's one retry budget, and against more of them and retries
// together than the retry ratio allows.
func TestSecondCopiesAndRetriesShareTheRetryBudget(t *testing.T) {
	is := is.New(t)
	h := newTestHedging(settings.Hedging{Percent: 100, Reserve: 1000}, false)
	const requests = 1000
	copies, retries := 0, 0
	for n := range requests {
		h.Request(hedgedPool, hedgedRoute)
		now := time.Now()
		plan := h.Plan(entry.HedgeRequest{Pool: hedgedPool, Route: hedgedRoute, Upstream: hedgedPool.Upstreams[0], Placed: now.Add(-time.Second), Deadline: now.Add(time.Minute)})
		if plan.Send {
			copies++
			is.Equal(plan.Avoid, []string{"u1", "u2"})
		}
		if n%20 > 0 || n == 0 { // 5% of the requests fail
			continue
		}
		if _, ok := h.Retry(entry.RetryRequest{Pool: hedgedPool, Route: hedgedRoute}); ok {
			retries++
		}
	}
	is.True(copies > 50)
	is.Equal(retries, requests/20-1) // second copies leave one attempt for each
	is.True(copies+retries <= requests*16/100)
}

// Guards against more second copies and retries over all instances, in any ten seconds, than the retry ratio and its reserve
// allow, and against more second copies than their own limit: all requests are slow and all fail, after a calm time.
func TestBothLimitsHoldOverAllInstances(t *testing.T) {
	const (
		tick    = 100 * time.Millisecond
		window  = int(10 * time.Second / tick)
		slack   = 630
		reserve = 50
		percent = 5
	)
	for _, instances := range []int{2, 18, 101, 471} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			is := is.New(t)
			count := func() int { return instances }
			fleet := make([]*hedging, instances)
			for i := range fleet {
				budgets := newRetryBudgets(platform.Bounds{RetryPercent: 20, RetryReserve: slack}, count)
				fleet[i] = newHedging(settings.Hedging{Percent: percent, Reserve: reserve}, budgets, count, func(string) bool { return false })
			}
			var requests, copies, again []int
			total := 0
			for step := range 4 * window {
				sent, second, retries := 0, 0, 0
				for i, h := range fleet {
					if (step+i)%2 > 0 { // five requests a second
						continue
					}
					h.Request(hedgedPool, hedgedRoute)
					sent++
					if step < window {
						continue
					}
					now := time.Now()
					if h.Plan(entry.HedgeRequest{Pool: hedgedPool, Route: hedgedRoute, Placed: now.Add(-time.Second), Deadline: now.Add(time.Minute)}).Send {
						second++
					}
					if step%20 > 3 { // failures come in groups
						continue
					}
					if _, ok := h.Retry(entry.RetryRequest{Pool: hedgedPool, Route: hedgedRoute}); ok {
						retries++
					}
				}
				requests, copies, again = append(requests, sent), append(copies, second), append(again, second+retries)
				total += second
				all, extra, both := 0, 0, 0
				for n := max(0, step-window+1); n <= step; n++ {
					all, extra, both = all+requests[n], extra+copies[n], both+again[n]
				}
				is.True(float64(extra) <= percent/100.0*float64(all)+float64(max(reserve, instances)))
				is.True(float64(both) <= 0.2*float64(all)+slack)
			}
			is.True(total > 0)
		})
	}
}

// Guards against second copies to a crowded pool, and against any with the limit 0.
func TestNoSecondCopies(t *testing.T) {
	for _, c := range []struct {
		name    string
		percent float64
		crowded bool
		after   bool
	}{{"limit 0", 0, false, false}, {"crowded", 100, true, true}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newTestHedging(settings.Hedging{Percent: c.percent, Reserve: 50}, c.crowded)
			_, ok := h.After(hedgedPool, hedgedRoute)
			is.Equal(ok, c.after)
			for range 100 {
				h.Request(hedgedPool, hedgedRoute)
				now := time.Now()
				is.Equal(h.Plan(entry.HedgeRequest{Pool: hedgedPool, Route: hedgedRoute, Placed: now.Add(-time.Second), Deadline: now.Add(time.Minute)}), entry.HedgePlan{})
			}
		})
	}
}

// Guards against response times that second copies, failures and callers who left falsify.
func TestOnlyFirstCopiesAreMeasured(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name    string
		o       entry.Observation
		counted bool
	}{
		{"answer", entry.Observation{Result: entry.Result{Status: 200, FirstByte: 100 * ms}}, true},
		{"superseded", entry.Observation{Superseded: true, Result: entry.Result{Ending: entry.EndCancelled, Total: 100 * ms}}, true},
		{"end of an answer", entry.Observation{Result: entry.Result{Ending: entry.EndAnswered, Status: 200, FirstByte: 100 * ms, Total: 200 * ms}}, false},
		{"superseded after its header", entry.Observation{Superseded: true, Result: entry.Result{Ending: entry.EndCancelled, Status: 200, FirstByte: 100 * ms, Total: 200 * ms}}, false},
		{"caller left", entry.Observation{Result: entry.Result{Ending: entry.EndCancelled, Total: 100 * ms}}, false},
		{"error", entry.Observation{Result: entry.Result{Status: http.StatusServiceUnavailable, FirstByte: 100 * ms}}, false},
		{"second copy", entry.Observation{Hedge: true, Result: entry.Result{Status: 200, FirstByte: 100 * ms}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := newTestHedging(settings.Hedging{Percent: 5, Reserve: 50}, false)
				c.o.Pool, c.o.Route = hedgedPool, hedgedRoute
				for range 100 {
					h.Observe(&c.o)
				}
				after, ok := h.After(hedgedPool, hedgedRoute)
				is.True(ok)
				is.Equal(after < 120*ms, c.counted) // otherwise 0.55 of the target
			})
		})
	}
}

// Guards against deployments without the setting that are served in another way than before.
func TestHedgingNeedsTheSetting(t *testing.T) {
	for _, set := range []bool{false, true} {
		is := is.New(t)
		cfg := settings.Settings{Instance: "e1", Region: "north", FailureDomain: "n1", Platform: &settings.Platform{Store: "127.0.0.1:1", Domains: map[string]string{"n1": "north"}}}
		if set {
			cfg.Hedging = &settings.Hedging{Percent: 2, Reserve: 50}
		}
		k, err := New(cfg, logr.Discard())
		is.NoErr(err)
		c, err := kernel.Lookup[*entryService](k, EntryHTTP)
		is.NoErr(err)
		one := func() int { return 1 }
		c.budgets = newRetryBudgets(platform.Bounds{}, one)
		retries, hedger, observers := c.extraAttempts(one, func(string) bool { return false })
		_, plans := hedger.(entry.HedgePlanner)
		is.Equal(plans, set)
		is.Equal(len(observers) > 0, set)
		if !set {
			is.Equal(retries, entry.RetryBudget(c.budgets))
			after, ok := hedger.After(hedgedPool, hedgedRoute)
			is.True(ok && after == 550*time.Millisecond)
		}
	}
}

// Guards against a planner that does not ask for a token of the workspace's rate.
func TestSecondCopyNeedsATokenOfTheRate(t *testing.T) {
	is := is.New(t)
	for _, token := range []bool{false, true} {
		h := newTestHedging(settings.Hedging{Percent: 100, Reserve: 1000}, false)
		for range 1000 { // fills the budgets
			h.Request(hedgedPool, hedgedRoute)
		}
		now := time.Now()
		plan := h.Plan(entry.HedgeRequest{
			Pool: hedgedPool, Route: hedgedRoute, Upstream: hedgedPool.Upstreams[0], Placed: now.Add(-time.Second), Deadline: now.Add(time.Minute),
			TakeRate: func() bool { return token },
		})
		is.Equal(plan.Send, token)
	}
}
