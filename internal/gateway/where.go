package gateway

import (
	"net/http"
	"time"

	"github.com/turmericsail/turmericsail/internal/admin"
	"github.com/turmericsail/turmericsail/internal/entry"
	"github.com/turmericsail/turmericsail/pkg/placement/sampled"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// where explains what a request would meet at this instance. It asks the code that decides, sends nothing and takes nothing
// from a budget.
func (c *entryService) where(q admin.WhereQuestion, r *http.Request) admin.WhereAnswer {
	a := admin.WhereAnswer{Instance: c.cfg.Instance, Region: c.cfg.Region, FailureDomain: c.cfg.FailureDomain, HomeRegions: []string{}, Pools: []admin.WherePool{}}
	if q.FailureDomain != "" {
		same := q.FailureDomain == c.cfg.FailureDomain
		a.SameDomain = &same
	}
	e := c.Explain(r)
	if e.Refusal != nil {
		a.Refusal, a.Message = e.Refusal.Kind, e.Refusal.Message
	}
	if !e.Routed {
		return a
	}
	route := e.Route
	a.Route, a.Workspace, a.Class, a.Repeatable = route.Name, e.Workspace, string(route.Class), route.IsIdempotent(r.Method)
	a.Target, a.Deadline, a.Relayed, a.Suspect = route.Target, route.Deadline, e.Relayed, e.Suspect
	a.HomeRegions = append(a.HomeRegions, route.HomeRegions...)
	tables := c.snapshots.Snapshot().Tables
	if e.Refusal != nil || e.Relayed || tables == nil {
		return a
	}
	for _, name := range route.PoolNames() {
		if pool, ok := tables.Pools[name]; ok {
			a.Pools = append(a.Pools, c.wherePool(e, &pool))
		}
	}
	return a
}

func (c *entryService) wherePool(e entry.Explanation, pool *table.Pool) admin.WherePool {
	now := time.Now()
	w := admin.WherePool{Name: pool.Name, Share: shareOf(&e.Route, pool.Name), RetriesLeft: c.budgets.poolBudget(pool.Name).Left()}
	w.Explanation = c.placement.policy.Explain(sampled.Request{Pool: pool, Route: &e.Route, Start: now}, now)
	if !e.MayHedge {
		return w
	}
	after, ok := c.hedger.After(pool, &e.Route)
	if !ok {
		return w
	}
	w.Hedge = &admin.WhereHedge{After: table.Duration(after)}
	if h, ok := c.hedger.(*hedging); ok {
		limit := h.decider.Explain(pool.Name, e.Route.Name)
		w.Hedge.Percent, w.Hedge.Left = &limit.Percent, &limit.Left
	}
	return w
}

// shareOf returns the share of a route's requests that a pool gets.
func shareOf(route *table.Route, pool string) float64 {
	if len(route.Split) == 0 {
		return 1
	}
	own, total := 0.0, 0.0
	for _, s := range route.Split {
		total += max(s.Weight, 0)
		if s.Pool == pool {
			own += max(s.Weight, 0)
		}
	}
	if total == 0 {
		return 0
	}
	return own / total
}
