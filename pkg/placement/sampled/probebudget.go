package sampled

import (
	"sync"
	"time"
)

const (
	// probeBudgetShare is the part of the limit that instances use.
	probeBudgetShare = 0.95
	// maxAccumulation is the time for which unused rights accumulate. The limit is one on the average of a day, and in
	// a burst a request finds most upstreams full and probes many.
	maxAccumulation = time.Minute
	// initialAccumulation is the time for which an instance that starts holds rights.
	initialAccumulation = 2 * time.Second
	// minAccumulated is the number of probes that may accumulate at least: those of one sample.
	minAccumulated = sampleSize
	// maxBudgetPools bounds the number of pools with a budget. Pools come from the tables; those that were removed are
	// forgotten when there are too many.
	maxBudgetPools = 4096
)

// ProbeBudget limits the probes that all instances together send to the upstreams of a pool. Each instance gets the
// right to an equal part of them, which follows from the number of instances and needs no messages. So the
// average since the start stays below the limit for any number of instances.
type ProbeBudget struct {
	instances func() int

	mu          sync.Mutex
	perUpstream float64 // limit for one upstream, per second
	pools       map[string]*probeRights
}

// probeRights are the probes that an instance may send to a pool.
type probeRights struct {
	updated time.Time
	rate    float64 // rights per second
	left    float64
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

// take uses the rights for up to want probes of a pool and returns their number.
func (b *ProbeBudget) take(pool string, upstreams, want int, now time.Time) int {
	if b == nil {
		return want
	}
	instances := max(b.instances(), 1)
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.pools[pool]
	starts := r == nil
	if starts {
		if len(b.pools) >= maxBudgetPools {
			clear(b.pools)
		}
		r = &probeRights{updated: now}
		b.pools[pool] = r
	}
	r.left += r.rate * now.Sub(r.updated).Seconds()
	r.updated = now
	r.rate = probeBudgetShare * b.perUpstream * float64(upstreams) / float64(instances)
	if starts {
		r.left = max(r.rate*initialAccumulation.Seconds(), 1)
	}
	r.left = min(r.left, max(r.rate*maxAccumulation.Seconds(), minAccumulated))
	granted := max(min(want, int(r.left)), 0)
	r.left -= float64(granted)
	return granted
}
