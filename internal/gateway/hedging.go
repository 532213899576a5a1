package gateway

import (
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/turmericsail/turmericsail/internal/entry"
	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/pkg/hedge"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// hedging sends second copies within the limits of the settings. It replaces the delay of retryBudgets by one from current
// response times; retries stay as they are, and both take from the same budget of the pool.
type hedging struct {
	*retryBudgets
	decider *hedge.Hedger
	crowded func(pool string) bool
}

var (
	_ entry.RetryBudget  = (*hedging)(nil)
	_ entry.HedgePlanner = (*hedging)(nil)
	_ entry.Observer     = (*hedging)(nil)
)

func newHedging(cfg settings.Hedging, budgets *retryBudgets, instances func() int, crowded func(string) bool) *hedging {
	limits := hedge.Limits{Percent: cfg.Percent, Pools: cfg.Pools, Routes: cfg.Routes, Reserve: cfg.Reserve}
	return &hedging{retryBudgets: budgets, decider: hedge.New(limits, instances), crowded: crowded}
}

// Request implements entry.RetryBudget.
func (h *hedging) Request(pool *table.Pool, route *table.Route) {
	h.retryBudgets.Request(pool, route)
	h.decider.Request(pool.Name, route.Name)
}

// After implements entry.Hedger.
func (h *hedging) After(pool *table.Pool, route *table.Route) (time.Duration, bool) {
	d, ok := h.decider.Delay(pool.Name, route.Name, route.Target.Std(), time.Now())
	return d.After, ok
}

// Plan implements entry.HedgePlanner.
func (h *hedging) Plan(r entry.HedgeRequest) entry.HedgePlan {
	reason, wait := h.decider.Decide(r.Pool.Name, r.Route.Name, hedge.State{
		Placed: r.Placed, Deadline: r.Deadline, Target: r.Route.Target.Std(), Suspect: r.Suspect, Crowded: h.crowded(r.Pool.Name), TakeRate: r.TakeRate,
	}, h.poolBudget(r.Pool.Name), time.Now())
	if reason == hedge.Waiting {
		return entry.HedgePlan{Wait: wait}
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("turmericsail_hedge_decisions_total{pool=%q,reason=%q}", r.Pool.Name, reason)).Inc()
	if reason != hedge.Sent {
		return entry.HedgePlan{}
	}
	return entry.HedgePlan{Send: true, Avoid: sameDomain(r.Pool, r.Upstream)}
}

// sameDomain lists the upstreams in the failure domain of the first copy. One slow response does not tell whether the
// upstream or its domain is slow.
func sameDomain(pool *table.Pool, first table.Upstream) (ids []string) {
	for _, u := range pool.Upstreams {
		if u.FailureDomain == first.FailureDomain {
			ids = append(ids, u.ID)
		}
	}
	return ids
}

// Observe implements entry.Observer. It records the response times of first copies that succeeded or that were cancelled
// because the second copy won.
func (h *hedging) Observe(o *entry.Observation) {
	if o.Hedge || o.Route == nil {
		return
	}
	r := o.Result
	switch {
	case r.Ending == "" && r.FirstByte > 0 && r.Status < http.StatusInternalServerError:
		h.decider.Observe(o.Pool.Name, o.Route.Name, r.FirstByte, time.Now())
	case o.Superseded && r.FirstByte == 0 && r.Total > 0:
		h.decider.Observe(o.Pool.Name, o.Route.Name, r.Total, time.Now())
	}
}
