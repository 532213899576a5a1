// Package hedge decides when, whether and where a second copy of a slow request is sent, within a limit that the
// operator sets. The load that it answers: a few upstreams that are several times slower than the others for
// some hundred milliseconds, which alone determine the slowest answers of the callers.
package hedge

import (
	"sync"

	"github.com/turmericsail/turmericsail/pkg/retry"
)

// Limits are the operator's limits of second copies in percent of the requests. The limit of the route takes
// precedence over that of the pool, which takes precedence over Percent.
type Limits struct {
	Percent       float64
	Pools, Routes map[string]float64
	// Reserve is the number of second copies that all instances together may carry over for each limit. An instance
	// carries over at least one.
	Reserve int
}

// scope names the requests that share a limit.
type scope struct{ pool, route string }

// forRequest returns the limit that applies to the requests of a route at a pool.
func (l *Limits) forRequest(pool, route string) (scope, float64) {
	if percent, ok := l.Routes[route]; ok {
		return scope{pool, route}, percent
	}
	if percent, ok := l.Pools[pool]; ok {
		return scope{pool, ""}, percent
	}
	// One budget for all pools would let the copies of a busy pool all go to a small one.
	return scope{pool, ""}, l.Percent
}

// minCarried is the number of second copies that an instance carries over at least: a whole one has to be earned before it
// is sent. Fractions that are used with their probability would keep the reserve only on average.
const minCarried = 1

// roundingMargin is added to a limit in percent: retry.Budget rounds down to 0.1 %, and 0.7 has no exact representation.
const roundingMargin = 1e-6

// budgets holds the budget of each limit. They start empty, so that an instance that joins or restarts adds nothing
// to the sum over all instances.
type budgets struct {
	limits    Limits
	instances func() int
	mu        sync.Mutex
	list      map[scope]*retry.Budget
}

// forRequest returns the budget and the limit in percent of a request.
func (b *budgets) forRequest(pool, route string) (*retry.Budget, float64) {
	key, percent := b.limits.forRequest(pool, route)
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.list[key]
	if budget == nil {
		budget = retry.NewBudget(percent+roundingMargin, 0)
		b.list[key] = budget
	}
	budget.SetBurst(max(minCarried, float64(b.limits.Reserve)/float64(max(b.instances(), 1))))
	return budget, percent
}
