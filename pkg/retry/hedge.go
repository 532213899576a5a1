package retry

import (
	"context"
	"sync"
	"time"
)

// maxRoutes bounds the routes with a latency estimate. Requests of other routes are not hedged.
const maxRoutes = 4096

// Hedger decides when a second copy of a slow idempotent request is sent.
type Hedger struct {
	budget   *Budget
	quantile float64
	mu       sync.RWMutex
	routes   map[string]*Quantile
}

// NewHedger returns a Hedger that sends the second copy when the first attempt has
// taken longer than the given quantile (0 to 1) of the route's first attempts.
func NewHedger(budget *Budget, quantile float64) *Hedger {
	return &Hedger{budget: budget, quantile: quantile, routes: map[string]*Quantile{}}
}

func (h *Hedger) route(name string) *Quantile {
	h.mu.RLock()
	q := h.routes[name]
	h.mu.RUnlock()
	if q != nil {
		return q
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if q = h.routes[name]; q == nil && len(h.routes) < maxRoutes {
		q = &Quantile{}
		h.routes[name] = q
	}
	return q
}

// Start counts a request and returns the delay after which a second copy may be
// sent, or false while there are too few samples of the route's latency.
func (h *Hedger) Start(route string) (time.Duration, bool) {
	h.budget.Request()
	if q := h.route(route); q != nil {
		return q.Estimate(h.quantile)
	}
	return 0, false
}

// Take uses one extra attempt of the budget for a hedge. It returns false if none is left.
func (h *Hedger) Take() bool { return h.budget.Take() }

// Return refunds a hedge that was not sent, for instance because no slot was free.
func (h *Hedger) Return() { h.budget.Return() }

// Observe records the duration of a first attempt. For a first attempt that lost to
// its hedge, this is the time until it was cancelled. Like the unknown full duration,
// that time exceeds the hedge delay, so the quantile is not biased.
func (h *Hedger) Observe(route string, d time.Duration) {
	if q := h.route(route); q != nil {
		q.Observe(d)
	}
}

// Forget removes the estimates of routes for which keep returns false.
func (h *Hedger) Forget(keep func(route string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name := range h.routes {
		if !keep(name) {
			delete(h.routes, name)
		}
	}
}

// result is the result of one attempt of Do.
type result[T any] struct {
	value T
	err   error
	hedge bool
}

// Do runs attempt and, if it is slow, a second copy of it, and returns the first
// success. The context of the other copy is cancelled and its value, if any, is
// passed to discard. The context of the winner stays valid until ctx ends.
func Do[T any](ctx context.Context, h *Hedger, route string, attempt func(ctx context.Context, hedge bool) (T, error), discard func(T)) (T, error) {
	r := &race[T]{ctx: ctx, attempt: attempt, results: make(chan result[T], 2)}
	delay, known := h.Start(route)
	start := time.Now()
	r.start(false)
	var timer <-chan time.Time
	if known {
		t := time.NewTimer(delay)
		defer t.Stop()
		timer = t.C
	}
	for {
		select {
		case <-timer:
			timer = nil
			if h.Take() {
				r.start(true)
			}
		case res := <-r.results:
			r.running--
			if res.err != nil && r.running > 0 {
				continue
			}
			if res.err == nil {
				h.Observe(route, time.Since(start))
			}
			r.finish(res.hedge, discard)
			return res.value, res.err
		}
	}
}

type race[T any] struct {
	ctx     context.Context
	attempt func(context.Context, bool) (T, error)
	results chan result[T]
	cancels [2]context.CancelFunc
	running int
}

func (r *race[T]) start(hedge bool) {
	ctx, cancel := context.WithCancel(r.ctx)
	r.running++
	if hedge {
		r.cancels[1] = cancel
	} else {
		r.cancels[0] = cancel
	}
	go func() {
		v, err := r.attempt(ctx, hedge)
		r.results <- result[T]{v, err, hedge}
	}()
}

// finish cancels the loser and discards its value once it returns.
func (r *race[T]) finish(hedgeWon bool, discard func(T)) {
	loser := 1
	if hedgeWon {
		loser = 0
	}
	if r.cancels[loser] != nil {
		r.cancels[loser]()
	}
	if r.running == 0 {
		return
	}
	go func() {
		if res := <-r.results; res.err == nil {
			discard(res.value)
		}
	}()
}
