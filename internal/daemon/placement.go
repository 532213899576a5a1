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

// placer gives the entry permits of the slot brokers.
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
		Tables: p.limits.tables, Instances: p.instances, Limits: p.limits.of, Seed: rand.Uint64(),
	}, p.log)
	return nil
}

// instances returns the live instances; the list is made once for each view.
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

// policy adapts placer to the entry.
type policy struct{ *placer }

var _ entry.Placement = policy{}

const (
	// coldPause is the time after which a request looks again for a unit of a cold
	// upstream, when only cold upstreams are free, or asks again for the broker.
	coldPause = 25 * time.Millisecond
	// patience bounds this wait. A new allocator grants its first unit after 5.5 s, so
	// that a pool that is cold as a whole answers late once in place of refusing.
	patience = 6 * time.Second
)

// Acquire implements entry.Placement. A permit for a cold upstream counts only
// with a unit of its allowance; without one the next upstream is asked for.
func (p policy) Acquire(ctx context.Context, r entry.AcquireRequest) (entry.Permit, error) {
	request := placement.Request{
		Pool: r.Pool.Name, Workspace: r.Workspace, Class: r.Class, HomeRegions: r.Route.HomeRegions, NoWait: r.Hedge,
	}
	limit := time.Now().Add(patience)
	for {
		got, passed, err := p.acquireOnce(ctx, request, r)
		if err == nil || r.Hedge || time.Now().After(limit) || !passed && !placement.NoBroker(err) {
			return got, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(coldPause):
		}
	}
}

// acquireOnce tells also whether cold upstreams were passed over.
func (p policy) acquireOnce(ctx context.Context, request placement.Request, r entry.AcquireRequest) (entry.Permit, bool, error) {
	request.Exclude = slices.Clone(r.Exclude)
	passed := false
	// Without an upstream that is left, brokers would pass the request back and forth.
	if len(r.Exclude) > 0 && !r.Pool.AnyEligible(r.Route, r.Exclude) {
		return nil, false, fault.New(fault.Unavailable, "every upstream in service was tried", "bring more upstreams into service")
	}
	for {
		granted, err := p.ask(ctx, request, passed)
		if err != nil {
			return nil, passed, err
		}
		key := coldstart.Key{Pool: request.Pool, Upstream: granted.Upstream().ID}
		if p.limits.cold.Meter(key).Warm() {
			return p.started(key, granted, nil), false, nil
		}
		if unit, ok := p.limits.quota.Gate(key.Resource(), 0).Acquire(time.Now()); ok {
			return p.started(key, granted, &unit), false, nil
		}
		granted.Done(placement.Outcome{Result: placement.Canceled})
		request.Exclude = append(request.Exclude, key.Upstream)
		passed = true
		if len(request.Exclude) >= maxPassed || !r.Pool.AnyEligible(r.Route, request.Exclude) {
			return nil, passed, fault.New(fault.Exhausted, "every free upstream is in a cold start", "try again shortly")
		}
	}
}

func (p policy) started(key coldstart.Key, granted placement.Permit, unit *quota.Permit) *permit {
	running := p.limits.running(key)
	running.Add(1)
	return &permit{Permit: granted, unit: unit, running: running}
}

// ask asks for a permit. After cold upstreams were passed over, it waits a short
// time only: the request must come back to ask for units of their allowance, or it
// would wait for ever where every upstream is cold.
func (p policy) ask(ctx context.Context, request placement.Request, passed bool) (placement.Permit, error) {
	if passed {
		bounded, cancel := context.WithTimeout(ctx, coldPause)
		defer cancel()
		ctx = bounded
	}
	return p.Service.Acquire(ctx, request)
}

// maxPassed bounds the upstreams that one request passes over.
const maxPassed = 64

// permit is a permit of the brokers, with a unit of the cold-start allowance for a cold upstream.
type permit struct {
	placement.Permit
	unit    *quota.Permit
	running *atomic.Int64
}

var _ entry.Permit = (*permit)(nil)

// Done implements entry.Permit.
func (p *permit) Done(r entry.Result) {
	p.running.Add(-1)
	if p.unit != nil {
		p.unit.Done()
	}
	p.Permit.Done(placement.Outcome{Result: resultOf(r), Latency: r.FirstByte})
}

// Cut is closed when the attempt must end because the allowance may be given to others.
func (p *permit) Cut() <-chan struct{} {
	if p.unit == nil {
		return nil
	}
	return p.unit.Cut()
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
