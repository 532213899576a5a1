package sampled

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// probeBudgetShare is the part of the limit that instances use. The rights of thirty seconds and those left over from
	// probeRightTTL before them stay below the limit together.
	probeBudgetShare = 0.9
	// probeRightTTL is how long the right to a probe lasts. It covers the seconds of a burst, in which a request
	// finds most upstreams full and probes many.
	probeRightTTL = 3 * time.Second
	// maxBudgetPools bounds the number of pools with a budget. Pools come from the tables; those that were removed are
	// forgotten when there are too many.
	maxBudgetPools = 4096
)

// ProbeBudget limits the probes that all instances together send to the upstreams of a pool. Each instance gets an
// equal part, which follows from the number of instances and needs no messages. An instance gets the
// right to one probe after another at a steady rate, at times of its own, and a right that is not used expires. So
// the limit holds in any thirty seconds for any number of instances, also where the part of an instance is less
// than one probe a second, and instances that restart get nothing in advance.
type ProbeBudget struct {
	instances func() int

	mu          sync.Mutex
	perUpstream float64
	pools       map[string]*probeRights
}

// probeRights are the rights of one pool.
type probeRights struct {
	updated time.Time
	rate    float64 // rights per second
	issued  float64 // rights issued until updated, with the fraction of the next one
	used    float64 // number of the last right that was used or has expired
}

// NewProbeBudget returns a budget of perSecond probes of each upstream, shared by the given number of instances.
func NewProbeBudget(perSecond float64, instances func() int) *ProbeBudget {
	return &ProbeBudget{perUpstream: perSecond, instances: instances, pools: map[string]*probeRights{}}
}

// SetLimit changes the number of probes of each upstream per second.
func (b *ProbeBudget) SetLimit(perSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.perUpstream = perSecond
}

// take uses up to want rights to probe upstreams of a pool and returns their number.
func (b *ProbeBudget) take(pool string, upstreams, want int, now time.Time) int {
	if b == nil {
		return want
	}
	instances := max(b.instances(), 1)
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.pools[pool]
	if r == nil {
		if len(b.pools) >= maxBudgetPools {
			clear(b.pools)
		}
		r = &probeRights{updated: now, issued: rand.Float64()}
		b.pools[pool] = r
	}
	r.issued += r.rate * now.Sub(r.updated).Seconds()
	r.updated = now
	r.rate = probeBudgetShare * b.perUpstream * float64(upstreams) / float64(instances)
	r.used = max(r.used, math.Floor(r.issued-r.rate*probeRightTTL.Seconds()))
	granted := min(want, int(math.Floor(r.issued)-r.used))
	r.used += float64(granted)
	return granted
}
