package entry

import (
	"sync"
	"time"
)

// patience remembers the longest deadline that the callers of each route state. A
// caller that comes back after a refusal states what is left of it, which tells
// how long it has been trying.
type patience struct {
	mu     sync.Mutex
	routes map[string]longest
}

// longest is the longest deadline of a period and of the one before.
type longest struct {
	since         time.Time
	current, last time.Duration
}

// patiencePeriod is how long a deadline is remembered at least, so that a single
// caller with an unusual deadline is forgotten.
const patiencePeriod = 20 * time.Second

// maxPatienceRoutes bounds the routes that are remembered.
const maxPatienceRoutes = 4096

func newPatience() *patience { return &patience{routes: map[string]longest{}} }

// age returns how long the caller of a request with the given deadline has been trying.
func (p *patience) age(route string, deadline time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, known := p.routes[route]
	if !known && len(p.routes) >= maxPatienceRoutes {
		return 0
	}
	if now := time.Now(); now.Sub(l.since) > patiencePeriod {
		l = longest{since: now, last: l.current}
	}
	l.current = max(l.current, deadline)
	p.routes[route] = l
	return max(l.current, l.last) - deadline
}
