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
	"github.com/turmericsail/turmericsail/pkg/rollout"
	"github.com/turmericsail/turmericsail/pkg/table"
	"github.com/turmericsail/turmericsail/platform"
)

// placementAdapter adapts the sampled policy to the entry.
type placementAdapter struct {
	policy *sampled.Policy
	entry  *entry.Entry
	intake *intakeService
	// rollouts determines which upstreams of a pool a request may use.
	rollouts *rolloutService
}

var (
	_ entry.Placement   = (*placementAdapter)(nil)
	_ entry.ShedAdvisor = (*placementAdapter)(nil)
	_ sampled.Prober    = (*placementAdapter)(nil)
)

func (p *placementAdapter) bind(cfg settings.Settings, e *entry.Entry, probes *sampled.ProbeBudget, limits *intakeService, rollouts *rolloutService, log logr.Logger) {
	p.entry, p.intake, p.rollouts = e, limits, rollouts
	p.policy = sampled.New(sampled.Location{Instance: cfg.Instance, Region: cfg.Region, FailureDomain: cfg.FailureDomain}, p, probes, log)
	p.policy.SetIntake(limits)
}

// Probe implements sampled.Prober.
func (p *placementAdapter) Probe(ctx context.Context, pool *table.Pool, u table.Upstream) (sampled.Reading, error) {
	status, header, err := p.entry.Ask(ctx, pool, u, pool.Measuring.ProbePath)
	if err != nil {
		return sampled.Reading{}, err
	}
	reading := platform.DecodeHealth(status, header)
	if reading.Upstream == u.ID { // another upstream may have taken over the address
		p.intake.statedByProbe(u, platform.DecodeIntake(status, header))
	}
	return reading, nil
}

// Acquire implements entry.Placement.
func (p *placementAdapter) Acquire(ctx context.Context, r entry.AcquireRequest) (entry.Permit, error) {
	request := sampledRequest(r)
	if sides, tracker := p.rollouts.split(r.Pool, time.Now()); sides != nil {
		return p.acquireSplit(ctx, request, sides, tracker)
	}
	c, err := p.policy.Choose(ctx, request)
	if err != nil {
		return nil, err
	}
	return permit{Choice: c}, nil
}

// RetryAfterShed implements entry.ShedAdvisor.
func (p *placementAdapter) RetryAfterShed(r entry.AcquireRequest, deadline time.Time) (time.Duration, bool) {
	return p.policy.RetryAfterShed(sampledRequest(r), deadline)
}

// crowded reports whether a pool has no room for second copies.
func (p *placementAdapter) crowded(pool string) bool { return p.policy.Crowded(pool) }

func sampledRequest(r entry.AcquireRequest) sampled.Request {
	return sampled.Request{
		ID: r.RequestID, Pool: r.Pool, Route: r.Route, Start: r.Start, Tried: r.Exclude, Urgent: r.Hedge,
		Workspace: r.Workspace, Rate: r.WorkspaceRate,
	}
}

// targetPart names the upstreams of the version that is rolled out, whose load differs from that of the others.
const targetPart = "target"

// acquireSplit chooses an upstream of the old or of the target version. A retry or a second copy goes to the old version
// while there is one in use, so that a bad version costs a request one attempt at most. If the target's upstreams take no
// request now, because they are cold or full, the old ones do.
func (p *placementAdapter) acquireSplit(ctx context.Context, r sampled.Request, sides *cachedSides, tracker *rollout.Tracker) (entry.Permit, error) {
	whole := *r.Pool
	first := len(r.Tried) == 0 && !r.Urgent
	if sides.Share >= 1 || sides.Share > 0 && first && rand.Float64() < sides.Share {
		pool, target := whole, r
		pool.Upstreams = sides.Target
		target.Pool, target.Part, target.Urgent = &pool, targetPart, r.Urgent || sides.Share < 1
		permit, err := p.acquireSide(ctx, target, tracker, true)
		if err == nil || sides.Share >= 1 || ctx.Err() != nil {
			return permit, err
		}
	}
	whole.Upstreams = sides.Old
	r.Pool = &whole
	return p.acquireSide(ctx, r, tracker, false)
}

// acquireSide chooses an upstream of one version. Without a tracker the attempt is not counted.
func (p *placementAdapter) acquireSide(ctx context.Context, r sampled.Request, tracker *rollout.Tracker, toTarget bool) (entry.Permit, error) {
	if tracker == nil {
		c, err := p.policy.Choose(ctx, r)
		if err != nil {
			return nil, err
		}
		return permit{Choice: c}, nil
	}
	attempt := tracker.Begin(r.Route.Name, r.Route.Target.Std(), toTarget)
	c, err := p.policy.Choose(ctx, r)
	if err != nil {
		attempt.End(rollout.NoEvidence, 0)
		return nil, err
	}
	attempt.Placed(c.Upstream.ID, c.Reading.Cold > 0, c.Reading.Slowdown, time.Now())
	return permit{c, attempt}, nil
}

type permit struct {
	*sampled.Choice
	attempt *rollout.Attempt // nil without a running roll-out
}

// Upstream implements entry.Permit.
func (p permit) Upstream() table.Upstream { return p.Choice.Upstream }

// Done implements entry.Permit.
func (p permit) Done(r entry.Result) {
	if p.attempt != nil {
		p.attempt.End(versionOutcome(r))
	}
	switch {
	case r.Ending == entry.EndLost, r.Ending == entry.EndTimedOut, r.Ending == entry.EndAnswered && r.Status >= http.StatusInternalServerError:
		p.Choice.Done(sampled.Failed, 0)
	case r.Ending == entry.EndNotRun:
		p.Choice.Done(sampled.Shed, 0)
	case r.Ending == entry.EndAnswered:
		p.Choice.Done(sampled.Succeeded, r.BytesDown)
	default:
		p.Choice.Done(sampled.Unknown, 0)
	}
}

// versionOutcome returns what the result of an attempt says about the version of its upstream.
func versionOutcome(r entry.Result) (rollout.Outcome, time.Duration) {
	switch {
	case r.Ending == entry.EndLost, r.Ending == entry.EndAnswered && r.Status >= http.StatusInternalServerError:
		return rollout.Failed, r.Total
	case r.Ending == entry.EndAnswered:
		return rollout.Succeeded, r.FirstByte
	case r.Ending == entry.EndTimedOut:
		return rollout.TimedOut, r.Total
	case r.Ending == entry.EndCancelled && r.FirstByte == 0:
		return rollout.Overtaken, r.Total
	}
	return rollout.NoEvidence, 0
}

const (
	// retryBudgetShare is the part of the platform's retry ratio that is used. The rest allows for requests that
	// the platform counts in another time window than this instance.
	retryBudgetShare = 0.8
	// hedgeDelayShare is the share of the target latency after which a second copy of an idempotent request is
	// sent. It leaves time for one typical run.
	hedgeDelayShare = 0.55
	// retryDelayMean is the mean delay before a further attempt.
	retryDelayMean = 3 * time.Millisecond
)

// retryBudgets bounds further attempts to a share of the requests of each pool. Every
// instance keeps the share for its own requests and accumulates at most its part of the reserve, so the total over
// all instances keeps both. Budgets start empty: instances that restart get no reserve anew.
type retryBudgets struct {
	instances func() int
	mu        sync.Mutex
	percent   float64
	reserve   int // of all instances
	pools     map[string]*retry.Budget
}

var (
	_ entry.RetryBudget = (*retryBudgets)(nil)
	_ entry.Hedger      = (*retryBudgets)(nil)
)

func newRetryBudgets(b platform.Bounds, instances func() int) *retryBudgets {
	budgets := &retryBudgets{instances: instances}
	budgets.set(b)
	return budgets
}

// set replaces the bounds. The budgets are recreated, which makes them smaller for a short time.
func (b *retryBudgets) set(bounds platform.Bounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.percent = retryBudgetShare * bounds.RetryPercent
	b.reserve = bounds.RetryReserve
	b.pools = map[string]*retry.Budget{}
}

func (b *retryBudgets) poolBudget(pool string) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[pool]
	if p == nil {
		p = retry.NewBudget(b.percent, 0)
		b.pools[pool] = p
	}
	p.SetBurst(float64(b.reserve) / float64(b.instances()))
	return p
}

// Request implements entry.RetryBudget.
func (b *retryBudgets) Request(pool *table.Pool, _ *table.Route) { b.poolBudget(pool.Name).Request() }

// Retry implements entry.RetryBudget.
func (b *retryBudgets) Retry(r entry.RetryRequest) (time.Duration, bool) {
	if r.Runs >= r.Route.Retry.MaxAttempts || !b.poolBudget(r.Pool.Name).Take() {
		return 0, false
	}
	return rand.N(2 * retryDelayMean), true
}

// After implements entry.Hedger.
func (b *retryBudgets) After(_ *table.Pool, route *table.Route) (time.Duration, bool) {
	return time.Duration(hedgeDelayShare * float64(route.Target)), true
}

// Take implements entry.Hedger. A hedge is refused when it would use the last further attempt,
// which is reserved for a request that fails.
func (b *retryBudgets) Take(pool *table.Pool, _ *table.Route) bool {
	return b.poolBudget(pool.Name).TakeSpare()
}
