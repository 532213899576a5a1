package daemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/turmericsail/turmericsail/internal/entry"
	"github.com/turmericsail/turmericsail/pkg/coldstart"
	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/kernel"
	"github.com/turmericsail/turmericsail/pkg/membership"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/placement"
	"github.com/turmericsail/turmericsail/pkg/quota"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// placer gets permits from the slot brokers.
type placer struct {
	base
	*placement.Service
	limits *limits
	live   atomic.Pointer[liveInstances]
}

// liveInstances are the live instances of one view of the membership.
type liveInstances struct {
	view *membership.View
	all  []placement.Instance
}

var (
	_ kernel.Provisioner = (*placer)(nil)
	_ kernel.Runner      = (*placer)(nil)
)

// Provision implements kernel.Provisioner.
func (p *placer) Provision(k *kernel.Kernel) error {
	transport, err := kernel.Lookup[peer.Transport](k, PeerTransport)
	if err != nil {
		return err
	}
	if p.limits, err = kernel.Lookup[*limits](k, QuotaAllocator); err != nil {
		return err
	}
	p.Service = placement.NewService(transport, placement.Config{
		Region: p.cfg.Region, FailureDomain: p.cfg.FailureDomain,
		Tables: p.limits.tables, Instances: p.instances, Limits: p.limits.forPool, Seed: rand.Uint64(),
	}, p.log)
	return nil
}

// instances returns the live instances. The list is built once per view of the membership.
func (p *placer) instances() []placement.Instance {
	v := p.limits.loop.Snapshot().Members
	if l := p.live.Load(); l != nil && l.view == v {
		return l.all
	}
	next := &liveInstances{view: v}
	for _, m := range v.Live(membership.Fleet()) {
		next.all = append(next.all, placement.Instance{ID: m.ID, Region: m.Region, FailureDomain: m.FailureDomain})
	}
	p.live.Store(next)
	return next.all
}

// entryPlacement adapts placer to the entry.
type entryPlacement struct{ *placer }

var _ entry.Placement = entryPlacement{}

const (
	// acquireRetryInterval is the time after which a request tries again to get a unit of a
	// cold upstream if only cold upstreams are free, or to reach a broker.
	acquireRetryInterval = 25 * time.Millisecond
	// maxAcquireWait bounds these retries. A new allocator grants its first unit after 5.5 s,
	// so with this bound a pool with only cold upstreams delays its first requests instead of
	// refusing them.
	maxAcquireWait = 6 * time.Second
)

// Acquire implements entry.Placement. A permit for a cold upstream is used only with a
// unit of its cold-start allowance; without a unit another upstream is requested.
func (p entryPlacement) Acquire(ctx context.Context, r entry.AcquireRequest) (entry.Permit, error) {
	request := placement.Request{
		Pool: r.Pool.Name, Workspace: r.Workspace, Class: r.Class, HomeRegions: r.Route.HomeRegions, NoWait: r.Hedge,
	}
	limit := time.Now().Add(maxAcquireWait)
	for {
		got, skipped, err := p.acquireOnce(ctx, request, r)
		if err == nil || r.Hedge || time.Now().After(limit) || !skipped && !placement.NoBroker(err) {
			return got, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(acquireRetryInterval):
		}
	}
}

// acquireOnce also reports whether cold upstreams were skipped.
func (p entryPlacement) acquireOnce(ctx context.Context, request placement.Request, r entry.AcquireRequest) (entry.Permit, bool, error) {
	request.Exclude = slices.Clone(r.Exclude)
	skipped := false
	// If no upstream is left, brokers would forward the request to each other repeatedly.
	if len(r.Exclude) > 0 && !r.Pool.AnyEligible(r.Route, r.Exclude) {
		return nil, false, fault.New(fault.Unavailable, "every upstream in service was tried", "bring more upstreams into service")
	}
	for {
		granted, err := p.acquireFromBroker(ctx, request, skipped)
		if err != nil {
			return nil, skipped, err
		}
		key := coldstart.Key{Pool: request.Pool, Upstream: granted.Upstream().ID}
		if p.limits.cold.Meter(key).Warm() {
			return p.newPermit(key, granted, nil), false, nil
		}
		if unit, ok := p.limits.quota.Gate(key.Resource(), 0).Acquire(time.Now()); ok {
			return p.newPermit(key, granted, &unit), false, nil
		}
		granted.Done(placement.Outcome{Result: placement.Canceled})
		request.Exclude = append(request.Exclude, key.Upstream)
		skipped = true
		if len(request.Exclude) >= maxSkippedUpstreams || !r.Pool.AnyEligible(r.Route, request.Exclude) {
			return nil, skipped, fault.New(fault.Exhausted, "every free upstream is in a cold start", "try again shortly")
		}
	}
}

func (p entryPlacement) newPermit(key coldstart.Key, granted placement.Permit, unit *quota.Permit) *permit {
	running := p.limits.inFlightCounter(key)
	running.Add(1)
	return &permit{Permit: granted, unit: unit, inFlight: running}
}

// acquireFromBroker requests a permit. After cold upstreams were skipped, it waits only
// for acquireRetryInterval: the request must return to try again for units of their
// allowance, or it would wait forever if every upstream is cold.
func (p entryPlacement) acquireFromBroker(ctx context.Context, request placement.Request, skipped bool) (placement.Permit, error) {
	if skipped {
		bounded, cancel := context.WithTimeout(ctx, acquireRetryInterval)
		defer cancel()
		ctx = bounded
	}
	return p.Service.Acquire(ctx, request)
}

// maxSkippedUpstreams bounds the upstreams that one request excludes.
const maxSkippedUpstreams = 64

// permit is a permit of a broker. For a cold upstream it includes a unit of the cold-start
// allowance.
type permit struct {
	placement.Permit
	unit     *quota.Permit
	inFlight *atomic.Int64
}

var _ entry.Permit = (*permit)(nil)

// Done implements entry.Permit.
func (p *permit) Done(r entry.Result) {
	p.inFlight.Add(-1)
	if p.unit != nil {
		p.unit.Done()
	}
	p.Permit.Done(placement.Outcome{Result: resultOf(r), Latency: r.FirstByte})
}

// Cut returns a channel that is closed when the attempt must end, because its unit of the
// allowance may be granted to another instance. It is nil without a unit.
func (p *permit) Cut() <-chan struct{} {
	if p.unit == nil {
		return nil
	}
	return p.unit.Revoked()
}

// Upstream implements entry.Permit.
func (p *permit) Upstream() table.Upstream { return p.Permit.Upstream() }

func resultOf(r entry.Result) placement.Result {
	switch {
	case r.Ending == entry.EndCancelled:
		return placement.Canceled
	case r.Ending == entry.EndNotRun && r.Status == http.StatusServiceUnavailable:
		return placement.Shed
	case r.Ending == entry.EndAnswered && r.Status < http.StatusInternalServerError:
		return placement.Answered
	}
	return placement.Failed
}
