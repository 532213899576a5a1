package entry

import (
	"sync"
	"time"
)

// deadlineHistory records the longest recent deadline that callers sent for each route.
// A caller that retries after a refusal sends the remaining time, so the difference to
// the longest deadline estimates how long it has been trying.
type deadlineHistory struct {
	mu     sync.Mutex
	routes map[string]longestDeadline
}

// longestDeadline holds the longest deadlines of the current period and of the one before.
type longestDeadline struct {
	since         time.Time
	current, last time.Duration
}

// deadlinePeriod is the minimum time for which a deadline is recorded. Older ones
// expire, so that a single caller with an unusually long deadline has no lasting effect.
const deadlinePeriod = 20 * time.Second

// maxDeadlineRoutes bounds the routes with a recorded deadline.
const maxDeadlineRoutes = 4096

func newDeadlineHistory() *deadlineHistory {
	return &deadlineHistory{routes: map[string]longestDeadline{}}
}

// elapsed estimates how long the caller of a request with the given remaining time has been trying.
func (p *deadlineHistory) elapsed(route string, deadline time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, known := p.routes[route]
	if !known && len(p.routes) >= maxDeadlineRoutes {
		return 0
	}
	if now := time.Now(); now.Sub(l.since) > deadlinePeriod {
		l = longestDeadline{since: now, last: l.current}
	}
	l.current = max(l.current, deadline)
	p.routes[route] = l
	return max(l.current, l.last) - deadline
}
