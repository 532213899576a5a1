package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// Ports are the components that an entry depends on. A nil field gets its default.
type Ports struct {
	Placement  Placement
	Claims     Claims
	Quarantine Quarantine
	Retries    RetryBudget
	Hedger     Hedger
	Relay      Relay
	Observers  []Observer
	// Rates keeps the request rates of workspaces; nil if there are none.
	Rates Rates
	// Intake learns what upstreams state about the requests that they take; nil if nothing keeps it.
	Intake IntakeObserver
	// Protocol names the headers; the default is turmericsail's own.
	Protocol *Protocol
	// RoutineVerbosity is the log verbosity of successful requests.
	RoutineVerbosity int
	// Direct sends requests received outside their home regions directly to upstreams inside them, without Relay.
	Direct bool
	// Instances returns the number of instances that share the connection limits of upstreams; the default is
	// Limits.MaxInstances of the settings.
	Instances func() int
}

func (p *Ports) setDefaults() {
	if p.Placement == nil {
		p.Placement = &LeastInFlight{}
	}
	if p.Claims == nil {
		p.Claims = noClaims{}
	}
	if p.Quarantine == nil {
		p.Quarantine = noQuarantine{}
	}
	if p.Retries == nil {
		p.Retries = &ratioBudget{}
	}
	if p.Hedger == nil {
		p.Hedger = &ratioHedger{}
	}
	if p.Protocol == nil {
		own := DefaultProtocol()
		p.Protocol = &own
	}
	if p.Relay == nil {
		p.Relay = noRelay{}
	}
}

// LeastInFlight is the default Placement. It picks the upstream with the fewest
// running requests of this instance, enforces no limits and never queues.
type LeastInFlight struct {
	inFlight sync.Map // pool and upstream ID to *atomic.Int64
}

var _ Placement = (*LeastInFlight)(nil)

type upstreamKey struct{ pool, id string }

func (p *LeastInFlight) counter(pool, id string) *atomic.Int64 {
	key := upstreamKey{pool, id}
	if c, ok := p.inFlight.Load(key); ok {
		return c.(*atomic.Int64)
	}
	c, _ := p.inFlight.LoadOrStore(key, new(atomic.Int64))
	return c.(*atomic.Int64)
}

// Acquire implements Placement.
func (p *LeastInFlight) Acquire(_ context.Context, r AcquireRequest) (Permit, error) {
	var best *table.Upstream
	var counter *atomic.Int64
	ups := r.Pool.Upstreams
	start := 0
	if len(ups) > 1 {
		start = rand.IntN(len(ups))
	}
	for i := range ups {
		u := &ups[(start+i)%len(ups)]
		if !r.Pool.Eligible(*u, r.Route, r.Exclude) {
			continue
		}
		if c := p.counter(r.Pool.Name, u.ID); best == nil || c.Load() < counter.Load() {
			best, counter = u, c
		}
	}
	if best == nil {
		return nil, fault.New(fault.Unavailable, "the pool has no upstream in service", "try again, or bring upstreams into service")
	}
	counter.Add(1)
	return &countedPermit{*best, counter}, nil
}

type countedPermit struct {
	upstream table.Upstream
	counter  *atomic.Int64
}

// Upstream implements Permit.
func (p *countedPermit) Upstream() table.Upstream { return p.upstream }

// Done implements Permit.
func (p *countedPermit) Done(Result) { p.counter.Add(-1) }

// noClaims refuses every claim, because at-most-once execution cannot be guaranteed without records.
type noClaims struct{}

// Begin implements Claims.
func (noClaims) Begin(context.Context, ClaimRequest) (ClaimState, Ticket, *StoredResponse, error) {
	return "", nil, nil, fault.New(fault.Unavailable, "no at-most-once records are available", "try again later")
}

type noQuarantine struct{}

// Admit implements Quarantine.
func (noQuarantine) Admit(context.Context, *table.Route, Fingerprint) (Admission, bool) {
	return Admission{Done: func() {}}, true
}

// Suspected implements Quarantine.
func (noQuarantine) Suspected(*table.Route, Fingerprint) bool { return false }

// Ended implements Quarantine.
func (noQuarantine) Ended(*table.Route, Fingerprint, RunEnd) {}

type noRelay struct{}

// Open implements Relay.
func (noRelay) Open(context.Context, []string) (net.Conn, string, error) {
	return nil, "", fault.New(fault.Unavailable, "no entry inside the home regions is known", "send the request to an entry inside its home regions")
}

// ratio limits extra attempts (retries or hedges) to a percentage of the requests
// plus extraReserve.
type ratio struct{ requests, extra atomic.Int64 }

// extraReserve is the number of extra attempts that are allowed regardless of the number
// of requests, so that a pool with little traffic can make any.
const extraReserve = 3

func (r *ratio) take(percent float64) bool {
	allowed := int64(float64(r.requests.Load())*percent/100) + extraReserve
	if r.extra.Add(1) <= allowed {
		return true
	}
	r.extra.Add(-1)
	return false
}

type ratios struct{ pools sync.Map }

func (r *ratios) forPool(pool string) *ratio {
	if v, ok := r.pools.Load(pool); ok {
		return v.(*ratio)
	}
	v, _ := r.pools.LoadOrStore(pool, new(ratio))
	return v.(*ratio)
}

type ratioBudget struct{ ratios }

// Request implements RetryBudget.
func (b *ratioBudget) Request(pool *table.Pool, _ *table.Route) { b.forPool(pool.Name).requests.Add(1) }

// retryBackoff is the mean delay before the first retry; it doubles with each attempt.
const retryBackoff = 2 * time.Millisecond

// Retry implements RetryBudget.
func (b *ratioBudget) Retry(r RetryRequest) (time.Duration, bool) {
	if r.Depth > 0 && r.CallerBudget < r.Attempt-1 {
		return 0, false
	}
	if r.Attempt > r.Route.Retry.MaxAttempts || !b.forPool(r.Pool.Name).take(r.Route.Retry.BudgetPercent) {
		return 0, false
	}
	wait := retryBackoff << min(r.Attempt-2, 10)
	return rand.N(2 * wait), true
}

type ratioHedger struct{ ratios }

// After implements Hedger.
func (h *ratioHedger) After(pool *table.Pool, route *table.Route) (time.Duration, bool) {
	if route.Hedge.After <= 0 {
		return 0, false
	}
	h.forPool(pool.Name).requests.Add(1)
	return route.Hedge.After.Std(), true
}

// Take implements Hedger.
func (h *ratioHedger) Take(pool *table.Pool, route *table.Route) bool {
	return h.forPool(pool.Name).take(route.Hedge.BudgetPercent)
}
