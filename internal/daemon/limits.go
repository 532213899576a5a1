package daemon

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/turmericsail/turmericsail/internal/control"
	"github.com/turmericsail/turmericsail/internal/entry"
	"github.com/turmericsail/turmericsail/pkg/coldstart"
	"github.com/turmericsail/turmericsail/pkg/kernel"
	"github.com/turmericsail/turmericsail/pkg/limit"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/placement"
	"github.com/turmericsail/turmericsail/pkg/probe"
	"github.com/turmericsail/turmericsail/pkg/quarantine"
	"github.com/turmericsail/turmericsail/pkg/quota"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// limits bounds the load on upstreams by the shared cold-start allowance, adaptive
// limits, ejection and probes.
type limits struct {
	base
	loop    *control.Loop
	quota   *quota.Client
	server  *quota.Server
	cold    *coldstart.Client
	ramps   *coldstart.Server
	prober  *probe.Prober
	members *members
	views   *views

	mu       sync.Mutex
	advice   map[string]map[string]probe.Advice // by pool and upstream
	startIDs sync.Map                           // start ID by quarantine.Upstream
	// inFlight holds the number of this instance's requests, an *atomic.Int64, by coldstart.Key.
	inFlight sync.Map
}

var (
	_ kernel.Provisioner = (*limits)(nil)
	_ kernel.Runner      = (*limits)(nil)
	_ entry.Observer     = (*limits)(nil)
)

// coldWorkBound is how long a request at a cold upstream may continue after its instance
// lost contact with the allocator. A new allocator waits for the same time before its first
// grant, so a long bound would keep cold upstreams idle after each hand-over.
const coldWorkBound = 3 * time.Second

// Provision implements kernel.Provisioner.
func (l *limits) Provision(k *kernel.Kernel) error {
	transport, err := kernel.Lookup[peer.Transport](k, PeerTransport)
	if err != nil {
		return err
	}
	v, err := kernel.Lookup[*views](k, ViewManager)
	if err != nil {
		return err
	}
	if l.members, err = kernel.Lookup[*members](k, MembershipTracker); err != nil {
		return err
	}
	loop, err := kernel.Lookup[*loop](k, ControlLoop)
	if err != nil {
		return err
	}
	l.loop, l.views, l.advice = loop.Loop, v, map[string]map[string]probe.Advice{}
	r := &roles{region: l.cfg.Region, self: transport.Self(), views: v, snapshot: l.loop.Snapshot}
	return l.build(transport, r)
}

func (l *limits) build(transport peer.Transport, r *roles) (err error) {
	shared := quota.DefaultSettings()
	shared.WorkBound = coldWorkBound
	if l.ramps, err = coldstart.NewServer(transport, r, l.ramp, coldstart.DefaultSettings(), l.log); err != nil {
		return err
	}
	if l.server, err = quota.NewServer(transport, r, l.sharedLimit, shared, l.log); err != nil {
		return err
	}
	if l.quota, err = quota.NewClient(transport, r, l.server, shared, l.log); err != nil {
		return err
	}
	if l.cold, err = coldstart.NewClient(transport, r, l.ramps, coldstart.DefaultSettings(), l.log); err != nil {
		return err
	}
	l.prober, err = probe.NewProber(probe.Config{
		Transport: transport, Roles: r, Checker: probe.HTTPChecker{}, Targets: l.targets,
		Peers: l.members.otherIDs, Settings: probe.DefaultSettings(), Log: l.log,
	})
	return err
}

// Run implements kernel.Runner.
func (l *limits) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, run := range []func(context.Context) error{l.server.Run, l.quota.Run, l.ramps.Run, l.cold.Run, l.prober.Run, l.ejectLoop, l.watchSuspension} {
		g.Go(func() error { return run(ctx) })
	}
	return g.Wait()
}

func (l *limits) pool(name string) (table.Pool, bool) {
	t := l.loop.Snapshot().Tables
	if t == nil {
		return table.Pool{}, false
	}
	p, ok := t.Pools[name]
	return p, ok
}

func (l *limits) ramp(key coldstart.Key) (coldstart.Ramp, bool) {
	p, ok := l.pool(key.Pool)
	if !ok {
		return coldstart.Ramp{}, false
	}
	_, known := findUpstream(l.loop.Snapshot().Tables, key.Pool, key.Upstream)
	return coldstart.RampOf(p), known
}

// sharedLimit returns the limit of a resource for its allocator.
func (l *limits) sharedLimit(resource string) (int, bool) {
	if key, ok := coldKey(resource); ok {
		return l.ramps.Limit(key)
	}
	for name := range l.tables().Pools {
		if resource == quarantine.Resource(name) {
			return 1, true
		}
	}
	return 0, false
}

func (l *limits) tables() *table.Tables {
	if t := l.loop.Snapshot().Tables; t != nil {
		return t
	}
	return &table.Tables{}
}

func (l *limits) targets() []probe.Target {
	var all []probe.Target
	for _, p := range l.tables().Pools {
		all = append(all, probe.TargetsOf(p)...)
	}
	return all
}

// ejectInterval is the time between evaluations of the upstreams by their answers.
const ejectInterval = 250 * time.Millisecond

// ejectLoop updates the advice on draining and failing upstreams until ctx ends.
func (l *limits) ejectLoop(ctx context.Context) error {
	ejectors := map[string]*probe.Ejector{}
	serving := map[coldstart.Key]bool{}
	tick := time.NewTicker(ejectInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-tick.C:
			serving = l.resetRemoved(serving)
			for name, p := range l.tables().Pools {
				if ejectors[name] == nil {
					ejectors[name] = probe.NewEjector(l.prober.Settings)
				}
				advice := ejectors[name].Step(now, l.summaries(now, p))
				l.mu.Lock()
				l.advice[name] = advice
				l.mu.Unlock()
			}
		}
	}
}

// resetRemoved marks upstreams that left service as cold, because they may be restarted
// before they return. It does so when they leave, so that no instance that sees the return
// first still treats them as warm. It returns the upstreams in service.
func (l *limits) resetRemoved(before map[coldstart.Key]bool) map[coldstart.Key]bool {
	serving := make(map[coldstart.Key]bool, len(before))
	for _, p := range l.tables().Pools {
		for _, u := range p.Upstreams {
			if p.InService(u) {
				serving[coldstart.Key{Pool: p.Name, Upstream: u.ID}] = true
			}
		}
	}
	for key := range before {
		if !serving[key] {
			l.cold.Forget(key)
			l.ramps.MarkReturned(key)
		}
	}
	return serving
}

func (l *limits) summaries(now time.Time, p table.Pool) map[string]probe.Summary {
	all := make(map[string]probe.Summary, len(p.Upstreams))
	for _, u := range p.Upstreams {
		l.cold.Meter(coldstart.Key{Pool: p.Name, Upstream: u.ID}) // a meter requests the state of its upstream
		all[u.ID] = l.prober.Stats(coldstart.Key{Pool: p.Name, Upstream: u.ID}).Evaluate(now, 0)
	}
	return all
}

func (l *limits) usable(pool, upstream string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, known := l.advice[pool][upstream]
	return !known || a.Usable
}

// poolLimits are the limits of one pool for its brokers.
type poolLimits struct {
	placement.AdaptiveLimits
	limits *limits
	pool   string
}

var (
	_ placement.Limits   = (*poolLimits)(nil)
	_ placement.Observer = (*poolLimits)(nil)
)

// forPool returns the limits of a pool and the observer of its permits.
func (l *limits) forPool(p table.Pool) (placement.Limits, placement.Observer) {
	pl := &poolLimits{placement.AdaptiveLimits{Set: limit.NewSet(limit.DefaultSettings(p.Slots))}, l, p.Name}
	return pl, pl
}

// Limit implements placement.Limits. For a cold upstream the limit only keeps the broker
// from granting more permits than can be used, because the sender of each request also
// needs a unit of the cold-start allowance.
func (p *poolLimits) Limit(upstream string, now time.Time) int {
	if !p.limits.usable(p.pool, upstream) {
		return 0
	}
	n := p.AdaptiveLimits.Limit(upstream, now)
	key := coldstart.Key{Pool: p.pool, Upstream: upstream}
	if p.limits.cold.Meter(key).Warm() {
		return n
	}
	return min(n, max(1, p.limits.quota.Limit(key.Resource())))
}
