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

// budgets holds the retry and hedge budgets of the pools. Each instance limits the ratio
// of extra attempts to its own requests, so the ratio over all instances is limited too.
type budgets struct {
	mu    sync.RWMutex
	pools map[budgetKey]*poolBudgets
}

// budgetKey identifies a budget. The percentages are part of the key, so that an edit of
// a route takes effect immediately.
type budgetKey struct {
	pool         string
	retry, hedge float64
}

type poolBudgets struct {
	retries *retry.Budget
	policy  *retry.Policy
	hedges  *retry.Hedger
}

var (
	_ entry.RetryBudget = (*budgets)(nil)
	_ entry.Hedger      = (*budgets)(nil)
	_ entry.Observer    = (*budgets)(nil)
)

const (
	// budgetBurst is the largest number of unused extra attempts that a pool accumulates.
	budgetBurst = 100
	// hedgeQuantile is the quantile of the latency of first attempts after which a hedge is sent.
	hedgeQuantile = 0.95
)

func (b *budgets) forPool(pool string, route *table.Route) *poolBudgets {
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
			retries: retries, policy: retry.NewPolicy(retry.DefaultSettings(), retries, nil),
			hedges: retry.NewHedger(retry.NewBudget(route.Hedge.BudgetPercent, budgetBurst), hedgeQuantile),
		}
		b.pools[key] = p
	}
	return p
}

// Request implements entry.RetryBudget.
func (b *budgets) Request(pool *table.Pool, route *table.Route) {
	b.forPool(pool.Name, route).retries.Request()
}

// Retry implements entry.RetryBudget. The entry calls it only for failed attempts that
// may be repeated.
func (b *budgets) Retry(r entry.RetryRequest) (time.Duration, bool) {
	d := b.forPool(r.Pool.Name, r.Route).policy.Resume(retry.Request{
		Idempotent: true, MaxAttempts: r.Route.Retry.MaxAttempts, Depth: r.Depth + 1, CallerBudget: r.CallerBudget,
	}, r.Attempt-2).Failed(time.Now(), retry.Attempt{})
	return d.Delay, d.Retry
}

// After implements entry.Hedger.
func (b *budgets) After(pool *table.Pool, route *table.Route) (time.Duration, bool) {
	if route.Hedge.After == 0 {
		return 0, false
	}
	delay, known := b.forPool(pool.Name, route).hedges.Start(route.Name)
	return max(delay, route.Hedge.After.Std()), known
}

// Take implements entry.Hedger.
func (b *budgets) Take(pool *table.Pool, route *table.Route) bool {
	return b.forPool(pool.Name, route).hedges.Take()
}

// Observe implements entry.Observer. It records the latency of routes for hedges.
func (b *budgets) Observe(o *entry.Observation) {
	if o.Route != nil && o.Result.Ending == entry.EndAnswered && o.Result.FirstByte > 0 {
		b.forPool(o.Pool.Name, o.Route).hedges.Observe(o.Route.Name, o.Result.FirstByte)
	}
}

// quarantineService adapts the quarantine of requests that coincide with the loss of
// upstreams to the entry.
type quarantineService struct {
	*quarantine.Service
	limits *limits
	checks quarantine.Checks
}

var _ entry.Quarantine = (*quarantineService)(nil)

func (s *quarantineService) request(route *table.Route, f entry.Fingerprint) quarantine.Request {
	return quarantine.Request{Route: route.Name, Identity: hex.EncodeToString(f[:])}
}

// Admit implements entry.Quarantine. A suspect waits for the single unit of its pool's
// quarantine resource in this region, so that at most one suspect runs there at a time. It
// is not sent to upstreams that it may have crashed.
func (s *quarantineService) Admit(ctx context.Context, route *table.Route, f entry.Fingerprint) (entry.Admission, bool) {
	switch s.Service.Admit(time.Now(), s.request(route, f)) {
	case quarantine.Refuse:
		return entry.Admission{RetryAfter: time.Until(s.RefusedUntil(s.request(route, f)))}, false
	case quarantine.Run:
		return entry.Admission{Done: func() {}}, true
	}
	gate := s.limits.quota.Gate(quarantine.Resource(route.Pool), 0)
	for {
		if unit, ok := gate.Acquire(time.Now()); ok {
			return entry.Admission{Done: unit.Done, Avoid: s.lostDuring(route, f), Suspect: true}, true
		}
		select {
		case <-ctx.Done():
			return entry.Admission{}, false
		case <-time.After(acquireRetryInterval):
		}
	}
}

// lostDuring lists the upstreams of the route's pool that were lost while they ran the request.
func (s *quarantineService) lostDuring(route *table.Route, f entry.Fingerprint) (ids []string) {
	pool, _ := s.limits.pool(route.Pool) // a deleted pool has no upstreams to avoid
	among := make([]quarantine.Upstream, len(pool.Upstreams))
	for i, u := range pool.Upstreams {
		among[i] = quarantine.Upstream{Pool: route.Pool, ID: u.ID}
	}
	for _, u := range s.LostDuring(s.request(route, f), among) {
		ids = append(ids, u.ID)
	}
	return ids
}

// Suspected implements entry.Quarantine.
func (s *quarantineService) Suspected(route *table.Route, f entry.Fingerprint) bool {
	r := s.request(route, f)
	r.WithoutBody = true
	return s.Service.Admit(time.Now(), r) != quarantine.Run
}

// Ended implements entry.Quarantine.
func (s *quarantineService) Ended(route *table.Route, f entry.Fingerprint, e entry.RunEnd) {
	end, u := quarantine.Completed, e.Upstream
	if e.Lost {
		end = quarantine.Cut
	}
	at := quarantine.Upstream{Pool: route.Pool, ID: u.ID, FailureDomain: u.FailureDomain}
	r := s.request(route, f)
	r.WithoutBody = e.WithoutBody
	s.Service.RecordOutcome(time.Now(), e.Began, at, r, end, route.HomeRegions)
	if e.Lost {
		s.checks.Start(at, u.Address, func() { s.RecordRefusedConnection(time.Now(), at) })
	}
}

// Observe implements entry.Observer. Refused connections and new start IDs confirm the
// loss of an upstream.
func (s *quarantineService) Observe(o *entry.Observation) {
	u := quarantine.Upstream{Pool: o.Pool.Name, ID: o.Upstream.ID, FailureDomain: o.Upstream.FailureDomain}
	if o.Refused {
		s.RecordRefusedConnection(time.Now(), u)
	}
	if start := startIDOf(o.Load); start != "" && s.limits.recordStartID(u, start) {
		s.RecordStartID(time.Now(), u, start)
	}
}

// relay opens connections to entries inside the home regions of a request.
type relay struct {
	transport peer.Transport
	members   *members
}

var _ entry.Relay = (*relay)(nil)

// relayService is the stream service of entries that accept relayed requests.
const relayService = "entry.relay"

// Open implements entry.Relay.
func (r *relay) Open(ctx context.Context, regions []string) (net.Conn, string, error) {
	for _, m := range r.members.randomLive(regions) {
		if conn, err := r.transport.Open(ctx, m.ID, relayService); err == nil {
			return conn, m.Region, nil
		}
	}
	return nil, "", fault.New(fault.Unavailable, "no entry inside the home regions can be reached", "send the request to an entry inside its home regions")
}

// randomLive returns up to three live instances of the regions in random order.
func (m *members) randomLive(regions []string) []membership.Member {
	const tries = 3
	found := m.liveIn(regions)
	rand.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found[:min(tries, len(found))]
}

// liveIn returns the live instances of the regions, or of all regions if regions is empty.
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

// otherIDs returns the IDs of the other live instances.
func (m *members) otherIDs() []peer.InstanceID { return m.otherIDsIn(nil) }

// otherIDsIn returns the IDs of the other live instances of the regions, or of all
// regions if regions is empty.
func (m *members) otherIDsIn(regions []string) []peer.InstanceID {
	self := m.View().Self.ID
	var ids []peer.InstanceID
	for _, x := range m.liveIn(regions) {
		if x.ID != self {
			ids = append(ids, x.ID)
		}
	}
	return ids
}
