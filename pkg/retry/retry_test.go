package retry

import (
	"context"
	"errors"
	"flag"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// The property tests use a fixed seed unless the command line gives one.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

var epoch = time.Unix(1000, 0)

// Guards against budgets that are exceeded at any time, whatever the order of
// requests, extra attempts and refunds.
func TestBudgetModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent := rapid.SampledFrom([]float64{5, 10}).Draw(t, "percent")
		b := NewBudget(percent, 10)
		var requests, extra float64
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				for range rapid.IntRange(1, 30).Draw(t, "n") {
					b.Request()
					requests++
				}
			},
			"take": func(*rapid.T) {
				if b.Take() {
					extra++
				}
			},
			"return": func(*rapid.T) {
				if extra > 0 {
					b.Return()
					extra--
				}
			},
			"": func(t *rapid.T) {
				if extra > requests*percent/100 {
					t.Fatalf("%v extra attempts for %v requests", extra, requests)
				}
			},
		})
	})
}

// Guards against retries that multiply across call levels: in a full outage, 20 levels
// deep, the innermost service gets at most 110% of the outermost requests.
func TestRetriesDoNotMultiplyByLevel(t *testing.T) {
	is := is.New(t)
	const levels, requests = 20, 1000
	calls := 0
	policies := make([]*Policy, levels+1)
	for i := range policies {
		policies[i] = NewPolicy(DefaultSettings(), NewBudget(10, 10), rand.New(rand.NewPCG(1, 0)).Float64)
	}
	var call func(h http.Header, level int)
	call = func(h http.Header, level int) {
		if level == levels {
			calls++
			return
		}
		depth := Depth(h)
		s := policies[level].Start(Request{Idempotent: true, MaxAttempts: 3, Depth: depth, CallerBudget: CallerBudget(h)})
		for retry := true; retry; retry = s.Failed(epoch, Attempt{}).Retry {
			out := http.Header{}
			SetHeaders(out, depth, 0)
			call(out, level+1)
		}
	}
	for range requests {
		call(http.Header{}, 0)
	}
	is.True(calls > requests)
	is.True(calls <= requests*110/100)
}

// Guards against the loss of any rule of Failed.
func TestRetryRules(t *testing.T) {
	base := Request{Idempotent: true, MaxAttempts: 3, Depth: 1, Deadline: epoch.Add(time.Second)}
	for name, c := range map[string]struct {
		edit    func(*Request)
		attempt Attempt
		want    bool
	}{
		"idempotent":          {func(*Request) {}, Attempt{}, true},
		"non-idempotent":      {func(r *Request) { r.Idempotent = false }, Attempt{}, false},
		"not run":             {func(r *Request) { r.Idempotent = false }, Attempt{NotRun: true}, true},
		"one attempt":         {func(r *Request) { r.MaxAttempts = 1 }, Attempt{}, false},
		"inner level":         {func(r *Request) { r.Depth = 2 }, Attempt{}, false},
		"inner level granted": {func(r *Request) { r.Depth, r.CallerBudget = 2, 1 }, Attempt{}, true},
		"late":                {func(*Request) {}, Attempt{RetryAfter: time.Second}, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := base
			c.edit(&r)
			b := NewBudget(100, 10)
			d := NewPolicy(DefaultSettings(), b, func() float64 { return 0.5 }).Start(r).Failed(epoch, c.attempt)
			is.New(t).Equal(d.Retry, c.want)
		})
	}
}

// Guards against a second attempt on the same upstream.
func TestSameUpstreamIsNotTriedAgain(t *testing.T) {
	is := is.New(t)
	s := NewPolicy(DefaultSettings(), NewBudget(10, 10), nil).Start(Request{})
	is.True(s.MarkTried("a"))
	is.True(!s.MarkTried("a"))
	is.Equal(s.Tried(), []string{"a"})
}

// Guards against an estimate that is more than 25% too high or 20% too low, or that includes expired latencies.
func TestQuantileFollowsLatency(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(2, 0))
	var q Quantile
	for _, mean := range []float64{10, 100} {
		for range 2 * windowSamples {
			q.Observe(time.Duration(rnd.ExpFloat64() * mean * float64(time.Millisecond)))
		}
		got, ok := q.Estimate(0.95)
		is.True(ok)
		want := 3 * mean * float64(time.Millisecond)
		is.True(float64(got) > 0.8*want && float64(got) < 1.25*want)
	}
}

// Guards against a loser that is not cancelled and against hedges in excess of the budget.
func TestDoCancelsTheLoser(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := NewHedger(NewBudget(5, 10), 0.95)
		canceled, hedges := 0, 0
		slow := false
		attempt := func(ctx context.Context, hedge bool) (string, error) {
			wait := 10 * time.Millisecond
			if hedge {
				hedges++
			} else if slow {
				wait = time.Second
			}
			select {
			case <-ctx.Done():
				canceled++
				return "", ctx.Err()
			case <-time.After(wait):
				return "done", nil
			}
		}
		for range minSamples {
			_, _ = Do(t.Context(), h, "r", attempt, func(string) {})
		}
		slow = true
		for range 10 {
			start := time.Now()
			v, err := Do(t.Context(), h, "r", attempt, func(string) {})
			is.NoErr(err)
			is.Equal(v, "done")
			is.True(hedges < 3 && time.Since(start) < 30*time.Millisecond || time.Since(start) == time.Second)
			synctest.Wait()
		}
		is.True(hedges >= 2 && hedges <= 3) // 60 requests at 5%
		is.Equal(canceled, hedges)
	})
}

// Guards against a failed hedge that hides the result of the first attempt.
func TestDoWaitsForTheFirstAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := NewHedger(NewBudget(100, 10), 0.95)
		wait := time.Millisecond
		attempt := func(_ context.Context, hedge bool) (int, error) {
			if hedge {
				return 0, errors.New("no slot")
			}
			time.Sleep(wait)
			return 1, nil
		}
		for range minSamples {
			_, _ = Do(t.Context(), h, "r", attempt, func(int) {})
		}
		wait = time.Second
		v, err := Do(t.Context(), h, "r", attempt, func(int) {})
		is.NoErr(err)
		is.Equal(v, 1)
	})
}

// Guards against hedges that use the last extra attempt, which the retry of a failed
// request needs, and against more attempts than the burst.
func TestSpareAttemptsLeaveOne(t *testing.T) {
	is := is.New(t)
	b := NewBudget(20, 3)
	is.True(!b.Take())
	for range 20 {
		b.Request()
	}
	is.True(b.TakeSpare())
	is.True(b.TakeSpare())
	is.True(!b.TakeSpare())
	is.True(b.Take())
	is.True(!b.Take())
}
