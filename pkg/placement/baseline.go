package placement

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// Names of the baseline policies.
const (
	Random        = "random"
	RoundRobin    = "round-robin"
	LeastInFlight = "least-in-flight"
	TwoChoices    = "two-choices"
)

// BaselineSettings are the inputs of a baseline policy.
type BaselineSettings struct {
	// Tables returns the tables in force.
	Tables func() *table.Tables
	// Limits returns the limit of each upstream; nil means the pool's number of slots.
	Limits Limits
	// Seed initializes the random number generator; instances must use different seeds.
	Seed uint64
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// chooser selects one acceptable upstream from the permitted failure domains, or returns nil.
type chooser func(p *localPool, from []*loadIndex, ok func(*upstreamState) bool, now time.Time) *upstreamState

var baselines = map[string]chooser{
	Random:        chooseRandom,
	RoundRobin:    chooseRoundRobin,
	LeastInFlight: chooseLeastInFlight,
	TwoChoices:    chooseTwoChoices,
}

// BaselineNames returns the sorted names of the baseline policies.
func BaselineNames() []string {
	names := make([]string, 0, len(baselines))
	for name := range baselines {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// NewBaseline returns the baseline policy of the given name.
func NewBaseline(name string, s BaselineSettings) (*Baseline, error) {
	choose, ok := baselines[name]
	if !ok {
		return nil, fault.Newf(fault.NotFound, "use one of random, round-robin, least-in-flight, two-choices", "no placement policy is named %q", name)
	}
	if s.Now == nil {
		s.Now = time.Now
	}
	return &Baseline{settings: s, choose: choose}, nil
}

// Baseline is a policy that uses only the state of this instance, without a broker.
// Each pool has its own lock.
type Baseline struct {
	settings BaselineSettings
	choose   chooser
	pools    sync.Map // pool name to *baselinePool
}

var _ Policy = (*Baseline)(nil)

type baselinePool struct {
	*localPool
	revision uint64
}

// Acquire implements Policy. It never waits.
func (b *Baseline) Acquire(_ context.Context, r Request) (Permit, error) {
	p, err := b.pool(r.Pool)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.refresh(b.settings.Tables(), r.Pool); err != nil {
		return nil, err
	}
	now := b.settings.Now()
	s := b.choose(p.localPool, p.permitted(&r), func(s *upstreamState) bool {
		return !slices.Contains(r.Exclude, s.up.ID) && limitOf(b.settings.Limits, s.up.ID, p.pool.Slots, now) > 0
	}, now)
	if s == nil {
		return nil, newRefusal("no upstream is left to choose", 0)
	}
	p.begin(s)
	return &baselinePermit{policy: b, pool: p, upstream: s, up: s.up}, nil
}

func (b *Baseline) pool(name string) (*baselinePool, error) {
	if p, ok := b.pools.Load(name); ok {
		return p.(*baselinePool), nil
	}
	if _, ok := b.settings.Tables().Pools[name]; !ok {
		return nil, unknownPool(name)
	}
	p, _ := b.pools.LoadOrStore(name, &baselinePool{localPool: newLocalPool(table.Pool{}, b.settings.Seed)})
	return p.(*baselinePool), nil
}

func (p *baselinePool) refresh(t *table.Tables, name string) error {
	if p.revision == t.Revision && p.pool.Name == name {
		return nil
	}
	pool, ok := t.Pools[name]
	if !ok {
		return unknownPool(name)
	}
	p.set(pool)
	p.revision = t.Revision
	return nil
}

func unknownPool(name string) error {
	return fault.Newf(fault.NotFound, "create the pool or correct the route", "pool %q does not exist", name)
}

// limitOf returns the limit of an upstream, clamped to the range from 0 to slots.
func limitOf(l Limits, upstream string, slots int, now time.Time) int {
	if l == nil {
		return slots
	}
	return max(0, min(slots, l.Limit(upstream, now)))
}

type baselinePermit struct {
	policy   *Baseline
	pool     *baselinePool
	upstream *upstreamState
	up       table.Upstream
	once     sync.Once
}

// Upstream implements Permit.
func (p *baselinePermit) Upstream() table.Upstream { return p.up }

// Relay implements Permit.
func (p *baselinePermit) Relay() (peer.InstanceID, bool) { return "", false }

// Done implements Permit.
func (p *baselinePermit) Done(o Outcome) {
	p.once.Do(func() {
		p.pool.mu.Lock()
		defer p.pool.mu.Unlock()
		p.pool.end(p.upstream, p.policy.settings.Now(), o.Load)
	})
}

func countUpstreams(from []*loadIndex) (n int) {
	for _, x := range from {
		n += len(x.upstreams)
	}
	return n
}

func upstreamAt(from []*loadIndex, i int) *upstreamState {
	for _, x := range from {
		if i < len(x.upstreams) {
			return x.upstreams[i]
		}
		i -= len(x.upstreams)
	}
	return nil
}

// firstFrom returns the first acceptable upstream at or after position i, wrapping around.
func firstFrom(from []*loadIndex, i int, ok func(*upstreamState) bool) *upstreamState {
	n := countUpstreams(from)
	for k := range n {
		if s := upstreamAt(from, (i+k)%n); ok(s) {
			return s
		}
	}
	return nil
}

func chooseRandom(p *localPool, from []*loadIndex, ok func(*upstreamState) bool, _ time.Time) *upstreamState {
	n := countUpstreams(from)
	if n == 0 {
		return nil
	}
	return firstFrom(from, p.rnd.IntN(n), ok)
}

func chooseRoundRobin(p *localPool, from []*loadIndex, ok func(*upstreamState) bool, _ time.Time) *upstreamState {
	n := countUpstreams(from)
	if n == 0 {
		return nil
	}
	p.lastChosen++
	return firstFrom(from, p.lastChosen%n, ok)
}

func chooseTwoChoices(p *localPool, from []*loadIndex, ok func(*upstreamState) bool, now time.Time) *upstreamState {
	a := chooseRandom(p, from, ok, now)
	b := chooseRandom(p, from, ok, now)
	if a == nil || score(b, now) < score(a, now) {
		return b
	}
	return a
}

// score is the number of requests in flight from this instance plus the load from
// other instances, discounted by the age of the report.
func score(s *upstreamState, now time.Time) float64 {
	return float64(s.inUse) + s.load.excess(now, s.inUse)
}

func chooseLeastInFlight(p *localPool, from []*loadIndex, ok func(*upstreamState) bool, now time.Time) *upstreamState {
	var best *upstreamState
	start := randomOffset(p.rnd, len(from))
	for i := range from {
		s := from[(start+i)%len(from)].leastWhere(p.rnd, ok)
		if s != nil && (best == nil || s.inUse < best.inUse) {
			best = s
		}
	}
	return best
}

func randomOffset(rnd *rand.Rand, n int) int {
	if n == 0 {
		return 0
	}
	return rnd.IntN(n)
}

// leastWhere returns an acceptable upstream from the lowest bucket that has one,
// searching each bucket from a random position.
func (x *loadIndex) leastWhere(rnd *rand.Rand, ok func(*upstreamState) bool) *upstreamState {
	for _, list := range x.buckets {
		if len(list) == 0 {
			continue
		}
		start := rnd.IntN(len(list))
		for i := range list {
			if s := list[(start+i)%len(list)]; ok(s) {
				return s
			}
		}
	}
	return nil
}
