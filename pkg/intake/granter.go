package intake

import (
	"sync"
	"time"
)

const (
	// burstTime is the time for which grants accumulate while nobody asks, one at least.
	burstTime = 100 * time.Millisecond
	// leastPerSecond is granted also for an upstream that takes less, or nothing: only its responses tell that it takes
	// more again.
	leastPerSecond = 0.1
)

// Granter grants requests to upstreams within the limits that they stated. It is safe for concurrent use.
type Granter struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

type bucket struct {
	Statement
	tokens  float64
	updated time.Time
}

// rate returns the grants per second.
func (b *bucket) rate() float64 { return max(b.PerSecond, leastPerSecond) }

// NewGranter returns a granter that has granted nothing yet.
func NewGranter() *Granter { return &Granter{buckets: map[string]*bucket{}} }

// Report records a statement and returns the latest known one.
func (g *Granter) Report(upstream string, s Statement, now time.Time) Statement {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.update(upstream, s, now).Statement
}

// Grant asks for one request to an upstream. Without a grant it returns the time until one may be free. The
// returned statement is the latest known one.
func (g *Granter) Grant(upstream string, s Statement, now time.Time) (granted bool, wait time.Duration, latest Statement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.update(upstream, s, now)
	switch {
	case b.Unlimited:
		return true, 0, b.Statement
	case b.tokens >= 1:
		b.tokens--
		return true, 0, b.Statement
	}
	return false, time.Duration((1 - b.tokens) / b.rate() * float64(time.Second)), b.Statement
}

// Limits returns the requests per second of the limited upstreams that were asked for or reported within idleTime.
func (g *Granter) Limits(now time.Time) map[string]float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	limits := map[string]float64{}
	for upstream, b := range g.buckets {
		if !b.Unlimited && now.Sub(b.updated) <= idleTime {
			limits[upstream] = b.PerSecond
		}
	}
	return limits
}

// update brings the bucket of an upstream up to date. A new bucket is empty: an earlier granter may have just used
// its last token.
func (g *Granter) update(upstream string, s Statement, now time.Time) *bucket {
	b := g.buckets[upstream]
	if b == nil {
		if len(g.buckets) >= maxUpstreams {
			forgetIdle(g.buckets, now, func(b *bucket) time.Time { return b.updated })
		}
		b = &bucket{Statement: s, updated: now}
		g.buckets[upstream] = b
	}
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		if !b.Unlimited {
			b.tokens = min(b.tokens+b.rate()*elapsed.Seconds(), max(b.rate()*burstTime.Seconds(), 1))
		}
		b.updated = now
	}
	if s.Valid() && s.HeardAt.After(b.HeardAt) {
		b.Statement = s
	}
	return b
}
