package hedge

import (
	"sync"
	"time"

	"github.com/turmericsail/turmericsail/pkg/retry"
)

// Hedger decides on the second copies of one instance. It is safe for concurrent use.
type Hedger struct {
	budgets budgets
	delays  delays
	mu      sync.Mutex
	crowded map[string]time.Time // when a pool was last seen crowded
}

// crowdedTime is how long a pool counts as crowded after it was seen so. Placement's readings are averages of about ten
// requests, which fall below their limits for moments in lasting overload.
const crowdedTime = time.Second

// New returns a hedger. instances returns the number of instances that share the reserve.
func New(limits Limits, instances func() int) *Hedger {
	return &Hedger{
		budgets: budgets{limits: limits, instances: instances, list: map[scope]*retry.Budget{}},
		delays:  delays{list: map[scope]*estimator{}},
		crowded: map[string]time.Time{},
	}
}

// Request counts a caller's request, which adds to the budget of its limit.
func (h *Hedger) Request(pool, route string) {
	budget, _ := h.budgets.forRequest(pool, route)
	budget.Request()
}

// Observe records the response time of a first copy. For one that was cancelled because the second copy won, this is
// the time until then: like the unknown full time, it exceeds the delay. If such requests were left out, the estimate
// would fall with every second copy that wins.
func (h *Hedger) Observe(pool, route string, took time.Duration, now time.Time) {
	h.delays.observe(pool, route, took, now)
}

// Delay returns the delay of the requests of a route, or false if none gets a second copy.
func (h *Hedger) Delay(pool, route string, target time.Duration, now time.Time) (Delay, bool) {
	_, percent := h.budgets.limits.forRequest(pool, route)
	if percent <= 0 {
		return Delay{}, false
	}
	return h.delays.delay(pool, route, percent, target, now), true
}

// Decide decides on the second copy of a request. Sent takes it from the limit and from the pool's retry budget. With
// Waiting, the time to wait before the next decision is returned.
func (h *Hedger) Decide(pool, route string, s State, retries *retry.Budget, now time.Time) (Reason, time.Duration) {
	d, ok := h.Delay(pool, route, s.Target, now)
	if !ok {
		return Limit, 0
	}
	s.Crowded = h.recentlyCrowded(pool, s.Crowded, now)
	if reason, wait := judge(s, d, now); reason != Sent {
		return reason, wait
	}
	budget, _ := h.budgets.forRequest(pool, route)
	if !budget.Take() {
		return Limit, 0
	}
	if !retries.TakeSpare() {
		budget.Return()
		return RetryBudget, 0
	}
	if s.TakeRate != nil && !s.TakeRate() {
		budget.Return()
		retries.Return()
		return Rate, 0
	}
	return Sent, 0
}

// Explanation is the limit of a request at the moment.
type Explanation struct {
	Percent float64
	// Left is the number of second copies that the limit allows now.
	Left float64
}

// Explain returns the limit of the requests of a route without using it.
func (h *Hedger) Explain(pool, route string) Explanation {
	budget, percent := h.budgets.forRequest(pool, route)
	return Explanation{Percent: percent, Left: budget.Left()}
}

// recentlyCrowded reports whether a pool is or lately was crowded.
func (h *Hedger) recentlyCrowded(pool string, crowded bool, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if crowded {
		h.crowded[pool] = now
	}
	at, known := h.crowded[pool]
	if known && now.Sub(at) >= crowdedTime {
		delete(h.crowded, pool)
	}
	return known && now.Sub(at) < crowdedTime
}
