package daemon

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/turmericsail/turmericsail/internal/entry"
	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/membership"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/quarantine"
	"github.com/turmericsail/turmericsail/pkg/retry"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// budgets keeps the retry and hedge budgets of the pools. Each instance keeps the
// ratio of its own requests, so the sum over all instances keeps it too.
type budgets struct {
	mu    sync.RWMutex
	pools map[budgetKey]*poolBudgets
}

// budgetKey names a budget. The percentages belong to it, so that an edit of a
// route takes effect at once.
type budgetKey struct {
	pool         string
	retry, hedge float64
}

type poolBudgets struct {
	retries  *retry.Budget
	sequence *retry.Policy
	hedges   *retry.Hedger
}

var (
	_ entry.RetryBudget = (*budgets)(nil)
	_ entry.Hedger      = (*budgets)(nil)
	_ entry.Observer    = (*budgets)(nil)
)

const (
	// budgetBurst bounds the extra attempts that a pool saves up in quiet times.
	budgetBurst = 100
	// hedgeQuantile is the part of the first attempts that end before a hedge is sent.
	hedgeQuantile = 0.95
)

func (b *budgets) of(pool string, route *table.Route) *poolBudgets {
	key := budgetKey{pool, route.Retry.BudgetPercent, route.Hedge.BudgetPercent}
	b.mu.RLock()
	p := b.pools[key]
	b.mu.RUnlock()
	if p != nil {
		return p
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if p = b.pools[key]; p == nil {
		retries := retry.NewBudget(route.Retry.BudgetPercent, budgetBurst)
		p = &poolBudgets{
			retries: retries, sequence: retry.NewPolicy(retry.DefaultSettings(), retries, nil),
			hedges: retry.NewHedger(retry.NewBudget(route.Hedge.BudgetPercent, budgetBurst), hedgeQuantile),
		}
		b.pools[key] = p
	}
	return p
}

// Request implements entry.RetryBudget.
func (b *budgets) Request(pool *table.Pool, route *table.Route) {
	b.of(pool.Name, route).retries.Request()
}

// Retry implements entry.RetryBudget. The entry has checked that the failed
// attempt may be repeated at all.
func (b *budgets) Retry(r entry.RetryRequest) (time.Duration, bool) {
	d := b.of(r.Pool.Name, r.Route).sequence.Resume(retry.Request{
		Idempotent: true, MaxAttempts: r.Route.Retry.MaxAttempts, Depth: r.Depth + 1, CallerBudget: r.CallerBudget,
	}, r.Attempt-2).Failed(time.Now(), retry.Attempt{})
	return d.Delay, d.Retry
}

// After implements entry.Hedger.
func (b *budgets) After(pool *table.Pool, route *table.Route) (time.Duration, bool) {
	if route.Hedge.After == 0 {
		return 0, false
	}
	delay, known := b.of(pool.Name, route).hedges.Start(route.Name)
	return max(delay, route.Hedge.After.Std()), known
}

// Take implements entry.Hedger.
func (b *budgets) Take(pool *table.Pool, route *table.Route) bool {
	return b.of(pool.Name, route).hedges.Take()
}

// Observe implements entry.Observer: it learns the latency of routes for hedges.
func (b *budgets) Observe(o *entry.Observation) {
	if o.Route != nil && o.Result.Ending == entry.EndAnswered && o.Result.FirstByte > 0 {
		b.of(o.Pool.Name, o.Route).hedges.Observe(o.Route.Name, o.Result.FirstByte)
	}
}

// suspects keeps requests that coincide with the loss of upstreams from running.
type suspects struct {
	*quarantine.Service
	limits *limits
	checks lossChecks
}

var _ entry.Quarantine = (*suspects)(nil)

func (s *suspects) request(route *table.Route, f entry.Fingerprint) quarantine.Request {
	return quarantine.Request{Route: route.Name, Identity: hex.EncodeToString(f[:])}
}

// Admit implements entry.Quarantine. A suspect runs alone: it needs the one unit
// of its pool in this region, and it is kept from the upstreams that it may have crashed.
func (s *suspects) Admit(ctx context.Context, route *table.Route, f entry.Fingerprint) (entry.Leave, bool) {
	switch s.Service.Admit(time.Now(), s.request(route, f)) {
	case quarantine.Refuse:
		return entry.Leave{}, false
	case quarantine.Run:
		return entry.Leave{Done: func() {}}, true
	}
	gate := s.limits.quota.Gate(quarantine.Resource(route.Pool), 0)
	for {
		if unit, ok := gate.Acquire(time.Now()); ok {
			return entry.Leave{Done: unit.Done, Avoid: s.lostWith(route, f)}, true
		}
		select {
		case <-ctx.Done():
			return entry.Leave{}, false
		case <-time.After(coldPause):
		}
	}
}

// lostWith lists the upstreams of the route's pool that were lost while they ran the request.
func (s *suspects) lostWith(route *table.Route, f entry.Fingerprint) (ids []string) {
	pool, _ := s.limits.pool(route.Pool) // a pool that is gone has no upstreams to avoid
	among := make([]quarantine.Upstream, len(pool.Upstreams))
	for i, u := range pool.Upstreams {
		among[i] = quarantine.Upstream{Pool: route.Pool, ID: u.ID}
	}
	for _, u := range s.LostWith(s.request(route, f), among) {
		ids = append(ids, u.ID)
	}
	return ids
}

// Ended implements entry.Quarantine.
func (s *suspects) Ended(route *table.Route, f entry.Fingerprint, u table.Upstream, lost bool) {
	end := quarantine.Answered
	if lost {
		end = quarantine.Cut
	}
	at := quarantine.Upstream{Pool: route.Pool, ID: u.ID, FailureDomain: u.FailureDomain}
	s.Service.Ended(time.Now(), at, s.request(route, f), end, route.HomeRegions)
	if lost {
		s.checks.start(at, u.Address, func() { s.Unreachable(time.Now(), at) })
	}
}

// Observe implements entry.Observer: refused connections and new starts confirm a loss.
func (s *suspects) Observe(o *entry.Observation) {
	u := quarantine.Upstream{Pool: o.Pool.Name, ID: o.Upstream.ID, FailureDomain: o.Upstream.FailureDomain}
	if o.Refused {
		s.Unreachable(time.Now(), u)
	}
	if start := startOf(o.Load); start != "" && s.limits.newStart(u, start) {
		s.Started(time.Now(), u, start)
	}
}

// relay passes requests to entries inside their home regions.
type relay struct {
	transport peer.Transport
	members   *members
}

var _ entry.Relay = (*relay)(nil)

// relayService is the stream service of entries that take requests for their region.
const relayService = "entry.relay"

// Open implements entry.Relay.
func (r *relay) Open(ctx context.Context, regions []string) (net.Conn, string, error) {
	for _, m := range r.members.nearest(regions) {
		if conn, err := r.transport.Open(ctx, m.ID, relayService); err == nil {
			return conn, m.Region, nil
		}
	}
	return nil, "", fault.New(fault.Unavailable, "no entry inside the home regions can be reached", "send the request to an entry inside its home regions")
}

// nearest returns a few live instances of the regions in random order.
func (m *members) nearest(regions []string) []membership.Member {
	const tries = 3
	found := m.liveIn(regions)
	rand.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found[:min(tries, len(found))]
}

// liveIn returns the live instances of the regions; all for none.
func (m *members) liveIn(regions []string) []membership.Member {
	if len(regions) == 0 {
		return m.View().Live(membership.Fleet())
	}
	var found []membership.Member
	for _, region := range regions {
		found = append(found, m.View().Live(membership.InRegion(region))...)
	}
	return found
}

// others returns the IDs of the other live instances.
func (m *members) others() []peer.InstanceID { return m.inRegions(nil) }

// inRegions returns the IDs of the other live instances of the regions; all for none.
func (m *members) inRegions(regions []string) []peer.InstanceID {
	self := m.View().Self.ID
	var ids []peer.InstanceID
	for _, x := range m.liveIn(regions) {
		if x.ID != self {
			ids = append(ids, x.ID)
		}
	}
	return ids
}
