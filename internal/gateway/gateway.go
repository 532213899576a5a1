// Package gateway assembles an instance that runs on the users' platform. The
// tables come from the platform's store, which some instances read for the others;
// placement probes upstreams for their load, and each instance enforces its own share of
// the retry budget. The data path is the same for all instances, internal/entry.
package gateway

import (
	"context"
	"reflect"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/turmericsail/turmericsail/internal/admin"
	"github.com/turmericsail/turmericsail/internal/callers"
	"github.com/turmericsail/turmericsail/internal/control"
	"github.com/turmericsail/turmericsail/internal/entry"
	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/kernel"
	"github.com/turmericsail/turmericsail/pkg/pause"
	"github.com/turmericsail/turmericsail/pkg/placement/sampled"
	"github.com/turmericsail/turmericsail/platform"
)

// Names of the services.
const (
	PeerTransport   = "peer.transport"
	ControlFollow   = "control.follow"
	EntryIntake     = "entry.intake"
	EntryQuarantine = "entry.quarantine"
	EntryRollout    = "entry.rollout"
	EntryRates      = "entry.rates"
	EntryHTTP       = "entry.http"
	AdminHTTP       = "admin.http"
	EntryLeave      = "entry.leave"
)

// New returns a kernel with the services of an instance on the platform.
func New(cfg settings.Settings, log logr.Logger) (*kernel.Kernel, error) {
	bounds, problems := platform.ParseBounds(cfg.Platform.Bounds)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	k := kernel.New()
	for _, s := range []struct {
		name    string
		service any
	}{
		{PeerTransport, &peerService{cfg: cfg, log: log.WithName(PeerTransport)}},
		{ControlFollow, &followService{cfg: cfg, log: log.WithName(ControlFollow)}},
		{EntryIntake, &intakeService{region: cfg.Region, log: log.WithName(EntryIntake)}},
		{EntryQuarantine, &quarantineService{cfg: cfg, log: log.WithName(EntryQuarantine)}},
		{EntryRollout, &rolloutService{cfg: cfg, log: log.WithName(EntryRollout)}},
		{EntryRates, &ratesService{cfg: cfg, bounds: bounds, log: log.WithName(EntryRates)}},
		{EntryHTTP, &entryService{cfg: cfg, bounds: bounds, log: log.WithName(EntryHTTP)}},
		{AdminHTTP, &adminService{cfg: cfg}},
		{EntryLeave, &leaveService{notice: cfg.Shutdown.Notice.Std(), log: log.WithName(EntryLeave)}},
	} {
		if err := k.Register(s.name, s.service); err != nil {
			return nil, err
		}
	}
	return k, nil
}

// Reload applies the bounds of changed settings to a running instance. Other changes take effect at
// the next start; the log line states whether there are any outside $.platform.
func Reload(k *kernel.Kernel, cfg settings.Settings, log logr.Logger) error {
	c, err := kernel.Lookup[*entryService](k, EntryHTTP)
	if err != nil {
		return err
	}
	if cfg.Platform == nil {
		return fault.New(fault.Invalid, "the settings no longer contain $.platform", "set $.platform, or restart the instance")
	}
	bounds, problems := platform.ParseBounds(cfg.Platform.Bounds)
	if err := problems.Err(); err != nil {
		return err
	}
	rates, err := kernel.Lookup[*ratesService](k, EntryRates)
	if err != nil {
		return err
	}
	c.setBounds(bounds)
	rates.setBounds(bounds)
	old := c.cfg
	old.Platform = nil
	next := cfg
	next.Platform = nil
	log.Info("settings reloaded", "bounds", bounds, "restart_needed", !reflect.DeepEqual(old, next))
	return nil
}

// entryService is the data path with its ports.
type entryService struct {
	*entry.Entry
	cfg settings.Settings
	log logr.Logger

	mu      sync.Mutex // settings may change before the service is provisioned
	bounds  platform.Bounds
	budgets *retryBudgets        // nil until then
	probes  *sampled.ProbeBudget // nil until then

	snapshots entry.Snapshots
	placement *placementAdapter
	hedger    entry.Hedger
}

var (
	_ kernel.Provisioner = (*entryService)(nil)
	_ kernel.Runner      = (*entryService)(nil)
	_ kernel.Stopper     = (*entryService)(nil)
)

// setBounds replaces the bounds that the instance keeps.
func (c *entryService) setBounds(bounds platform.Bounds) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bounds = bounds
	if c.budgets != nil {
		c.budgets.set(bounds)
		c.probes.SetLimit(bounds.ProbesPerSecond)
	}
}

// grace returns the time from SIGTERM to the end of the process: by the platform, or by the settings of the instance.
func (c *entryService) grace() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if own := c.cfg.Shutdown.Grace.Std(); own > 0 {
		return min(own, c.bounds.Grace)
	}
	return c.bounds.Grace
}

// Provision implements kernel.Provisioner.
func (c *entryService) Provision(k *kernel.Kernel) error {
	followed, err := kernel.Lookup[*followService](k, ControlFollow)
	if err != nil {
		return err
	}
	limits, err := kernel.Lookup[*intakeService](k, EntryIntake)
	if err != nil {
		return err
	}
	suspects, err := kernel.Lookup[*quarantineService](k, EntryQuarantine)
	if err != nil {
		return err
	}
	rollouts, err := kernel.Lookup[*rolloutService](k, EntryRollout)
	if err != nil {
		return err
	}
	rates, err := kernel.Lookup[*ratesService](k, EntryRates)
	if err != nil {
		return err
	}
	instances := instanceCount(followed.Instances, c.cfg.Limits.MaxInstances)
	c.mu.Lock()
	c.budgets = newRetryBudgets(c.bounds, instances)
	c.probes = sampled.NewProbeBudget(c.bounds.ProbesPerSecond, instances)
	c.mu.Unlock()
	adapter := &placementAdapter{}
	retries, hedger, observers := c.extraAttempts(instances, adapter.crowded)
	c.snapshots, c.placement, c.hedger = followed, adapter, hedger
	c.Entry = entry.New(c.cfg, followed, entry.Ports{
		Placement: adapter, Retries: retries, Hedger: hedger, Observers: observers, Protocol: platform.Protocol(), Direct: true, RoutineVerbosity: 1, Instances: instances, Intake: limits, Quarantine: suspects, Rates: rates,
	}, c.log)
	adapter.bind(c.cfg, c.Entry, c.probes, limits, rollouts, c.log)
	return nil
}

// extraAttempts returns what decides on retries and second copies. Without limits of second copies in the settings, the
// retry budgets alone do.
func (c *entryService) extraAttempts(instances func() int, crowded func(pool string) bool) (entry.RetryBudget, entry.Hedger, []entry.Observer) {
	if c.cfg.Hedging == nil {
		return c.budgets, c.budgets, nil
	}
	h := newHedging(*c.cfg.Hedging, c.budgets, instances, crowded)
	return h, h, []entry.Observer{h}
}

// instanceCount returns a function for the number of instances that share a limit: the recorded one, or the
// largest possible one while none is recorded.
func instanceCount(recorded func() int, largest int) func() int {
	return func() int {
		if n := recorded(); n > 0 {
			return n
		}
		return max(largest, 1)
	}
}

// platformStatus is the body of /status.
type platformStatus struct {
	*control.Snapshot
	// Callers is how near the instance is to the limits of all its callers together.
	Callers *callers.Use
}

// adminService is the admin listener, on which the platform also checks readiness.
type adminService struct {
	*admin.Server
	cfg settings.Settings
}

var (
	_ kernel.Provisioner = (*adminService)(nil)
	_ kernel.Runner      = (*adminService)(nil)
)

// Provision implements kernel.Provisioner.
func (o *adminService) Provision(k *kernel.Kernel) error {
	followed, err := kernel.Lookup[*followService](k, ControlFollow)
	if err != nil {
		return err
	}
	data, err := kernel.Lookup[*entryService](k, EntryHTTP)
	if err != nil {
		return err
	}
	ready := func() bool { return followed.Ready() && data.Listening() }
	o.Server = admin.New(o.cfg.Admin, ready, func() any { return platformStatus{followed.Snapshot(), o.Callers()} })
	o.Where(data.where)
	return nil
}

// leaveService is shut down first: it reports that the instance is leaving and keeps the
// listeners open until the platform's load balancer has had time to notice.
type leaveService struct {
	notice time.Duration
	log    logr.Logger
	admin  *adminService
	entry  *entryService
}

var (
	_ kernel.Provisioner = (*leaveService)(nil)
	_ kernel.Stopper     = (*leaveService)(nil)
)

// Provision implements kernel.Provisioner.
func (l *leaveService) Provision(k *kernel.Kernel) (err error) {
	if l.admin, err = kernel.Lookup[*adminService](k, AdminHTTP); err != nil {
		return err
	}
	if l.entry, err = kernel.Lookup[*entryService](k, EntryHTTP); err != nil {
		return err
	}
	l.admin.SetCallers(l.entry.CallerUse)
	return nil
}

// Shutdown implements kernel.Stopper.
func (l *leaveService) Shutdown(ctx context.Context) error {
	l.log.Info("leaving", "running", l.entry.Running(), "notice", l.notice.String())
	l.admin.SetLeaving()
	l.entry.SetLeaving()
	l.entry.SetEnd(time.Now().Add(l.entry.grace()))
	pause.For(ctx, l.notice)
	return nil
}
