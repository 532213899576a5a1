package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/turmericsail/turmericsail/internal/entry"
	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/pkg/placement/sampled"
	"github.com/turmericsail/turmericsail/pkg/retry"
	"github.com/turmericsail/turmericsail/pkg/table"
	"github.com/turmericsail/turmericsail/platform"
)

// placer adapts the sampled policy to the entry.
type placer struct {
	policy *sampled.Policy
	entry  *entry.Entry
}

var (
	_ entry.Placement = (*placer)(nil)
	_ sampled.Asker   = (*placer)(nil)
)

func (p *placer) provision(cfg settings.Settings, e *entry.Entry, log logr.Logger) {
	p.entry = e
	p.policy = sampled.New(sampled.Place{Instance: cfg.Instance, Region: cfg.Region, FailureDomain: cfg.FailureDomain}, p, log)
}

// Ask implements sampled.Asker.
func (p *placer) Ask(ctx context.Context, pool *table.Pool, u table.Upstream) (sampled.Reading, error) {
	status, header, err := p.entry.Ask(ctx, pool, u, pool.Measuring.ProbePath)
	if err != nil {
		return sampled.Reading{}, err
	}
	return platform.Reading(status, header), nil
}

// Acquire implements entry.Placement.
func (p *placer) Acquire(ctx context.Context, r entry.AcquireRequest) (entry.Permit, error) {
	c, err := p.policy.Choose(ctx, sampled.Request{
		ID: r.RequestID, Pool: r.Pool, Route: r.Route, Start: r.Start, Tried: r.Exclude, Urgent: r.Hedge,
	})
	if err != nil {
		return nil, err
	}
	return permit{c}, nil
}

type permit struct{ *sampled.Choice }

// Upstream implements entry.Permit.
func (p permit) Upstream() table.Upstream { return p.Choice.Upstream }

// Done implements entry.Permit.
func (p permit) Done(r entry.Result) {
	switch {
	case r.Ending == entry.EndLost, r.Ending == entry.EndLate, r.Ending == entry.EndAnswered && r.Status >= http.StatusInternalServerError:
		p.Choice.Done(sampled.Failed, 0)
	case r.Ending == entry.EndNotRun:
		p.Choice.Done(sampled.Shed, 0)
	case r.Ending == entry.EndAnswered:
		p.Choice.Done(sampled.Answered, r.BytesDown)
	default:
		p.Choice.Done(sampled.Unknown, 0)
	}
}

const (
	// budgetShare is the part of the retry ratio that is used. The rest covers requests that are counted in
	// different windows by the platform and here.
	budgetShare = 0.8
	// startGrant is the number of further attempts that an instance may make for a pool before it has seen
	// enough requests. Over all instances it stays within the reserve of the platform's bound.
	startGrant = 1
	// hedgePoint is the share of the target after which a second copy of an idempotent request is sent. It
	// leaves time for one usual run.
	hedgePoint = 0.55
	// retryPause is the mean wait before a further attempt.
	retryPause = 3 * time.Millisecond
)

// budgets bounds further attempts to a share of the requests of each pool. Every
// instance keeps the share by itself, so the sum over all instances keeps it too.
type budgets struct {
	instances int
	mu        sync.Mutex
	percent   float64
	burst     int
	pools     map[string]*retry.Budget
}

var (
	_ entry.RetryBudget = (*budgets)(nil)
	_ entry.Hedger      = (*budgets)(nil)
)

func newBudgets(b platform.Bounds, instances int) *budgets {
	extra := &budgets{instances: instances}
	extra.set(b)
	return extra
}

// set replaces the bounds. The budgets start anew, which makes them smaller for a moment.
func (b *budgets) set(bounds platform.Bounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.percent = budgetShare * bounds.RetryPercent
	b.burst = max(bounds.RetryReserve/max(b.instances, 1), 2)
	b.pools = map[string]*retry.Budget{}
}

func (b *budgets) of(pool string) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[pool]
	if p == nil {
		p = retry.NewBudget(b.percent, b.burst)
		p.Grant(startGrant)
		b.pools[pool] = p
	}
	return p
}

// Request implements entry.RetryBudget.
func (b *budgets) Request(pool *table.Pool, _ *table.Route) { b.of(pool.Name).Request() }

// Retry implements entry.RetryBudget.
func (b *budgets) Retry(r entry.RetryRequest) (time.Duration, bool) {
	if r.Runs >= r.Route.Retry.MaxAttempts || !b.of(r.Pool.Name).Take() {
		return 0, false
	}
	return rand.N(2 * retryPause), true
}

// After implements entry.Hedger.
func (b *budgets) After(_ *table.Pool, route *table.Route) (time.Duration, bool) {
	return time.Duration(hedgePoint * float64(route.Target)), true
}

// Take implements entry.Hedger. A second copy leaves the last further attempt to a
// request that fails.
func (b *budgets) Take(pool *table.Pool, _ *table.Route) bool { return b.of(pool.Name).TakeSpare() }
