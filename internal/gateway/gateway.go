// Package gateway assembles an instance that runs on the users' platform. The
// tables come from the platform's store, which instances read for each other;
// upstreams are asked for their load when a request is placed, and budgets are
// shares that add up over all instances. The data path is the one of every instance, internal/entry.
package gateway

import (
	"context"
	"reflect"
	"time"

	"github.com/go-logr/logr"

	"github.com/turmericsail/turmericsail/internal/admin"
	"github.com/turmericsail/turmericsail/internal/entry"
	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/kernel"
	"github.com/turmericsail/turmericsail/pkg/pause"
	"github.com/turmericsail/turmericsail/platform"
)

// Names of the services.
const (
	PeerTransport = "peer.transport"
	ControlFollow = "control.follow"
	EntryHTTP     = "entry.http"
	AdminHTTP     = "admin.http"
	EntryLeave    = "entry.leave"
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
		{PeerTransport, &peers{cfg: cfg, log: log.WithName(PeerTransport)}},
		{ControlFollow, &follower{cfg: cfg, log: log.WithName(ControlFollow)}},
		{EntryHTTP, &callers{cfg: cfg, budgets: newBudgets(bounds, cfg.Limits.MaxInstances), log: log.WithName(EntryHTTP)}},
		{AdminHTTP, &operators{cfg: cfg}},
		{EntryLeave, &leaver{notice: cfg.Shutdown.Notice.Std(), log: log.WithName(EntryLeave)}},
	} {
		if err := k.Register(s.name, s.service); err != nil {
			return nil, err
		}
	}
	return k, nil
}

// Reload applies changed settings to a running instance. Only the bounds can change; what else
// differs takes effect at the next start and is logged.
func Reload(k *kernel.Kernel, cfg settings.Settings, log logr.Logger) error {
	c, err := kernel.Lookup[*callers](k, EntryHTTP)
	if err != nil {
		return err
	}
	if cfg.Platform == nil {
		return fault.New(fault.Invalid, "the settings no longer name the platform", "set $.platform, or start the instance anew")
	}
	bounds, problems := platform.ParseBounds(cfg.Platform.Bounds)
	if err := problems.Err(); err != nil {
		return err
	}
	c.budgets.set(bounds)
	old := c.cfg
	old.Platform = nil
	next := cfg
	next.Platform = nil
	log.Info("settings reloaded", "bounds", bounds, "restart_needed", !reflect.DeepEqual(old, next))
	return nil
}

// callers is the data path with its ports.
type callers struct {
	*entry.Entry
	cfg     settings.Settings
	budgets *budgets
	log     logr.Logger
}

var (
	_ kernel.Provisioner = (*callers)(nil)
	_ kernel.Runner      = (*callers)(nil)
	_ kernel.Stopper     = (*callers)(nil)
)

// Provision implements kernel.Provisioner.
func (c *callers) Provision(k *kernel.Kernel) error {
	tables, err := kernel.Lookup[*follower](k, ControlFollow)
	if err != nil {
		return err
	}
	place := &placer{}
	c.Entry = entry.New(c.cfg, tables, entry.Ports{
		Placement: place, Retries: c.budgets, Hedger: c.budgets, Protocol: platform.Protocol(), Direct: true, RoutineVerbosity: 1,
	}, c.log)
	place.provision(c.cfg, c.Entry, c.log)
	return nil
}

// operators is the admin listener, which the platform also asks for readiness.
type operators struct {
	*admin.Server
	cfg settings.Settings
}

var (
	_ kernel.Provisioner = (*operators)(nil)
	_ kernel.Runner      = (*operators)(nil)
)

// Provision implements kernel.Provisioner.
func (o *operators) Provision(k *kernel.Kernel) error {
	tables, err := kernel.Lookup[*follower](k, ControlFollow)
	if err != nil {
		return err
	}
	o.Server = admin.New(o.cfg.Admin, tables.Ready, func() any { return tables.Snapshot() })
	return nil
}

// leaver is shut down first: it reports that the instance is leaving and keeps the
// listeners open until the platform's balancer has had time to see it.
type leaver struct {
	notice time.Duration
	log    logr.Logger
	admin  *operators
	entry  *callers
}

var (
	_ kernel.Provisioner = (*leaver)(nil)
	_ kernel.Stopper     = (*leaver)(nil)
)

// Provision implements kernel.Provisioner.
func (l *leaver) Provision(k *kernel.Kernel) (err error) {
	if l.admin, err = kernel.Lookup[*operators](k, AdminHTTP); err != nil {
		return err
	}
	l.entry, err = kernel.Lookup[*callers](k, EntryHTTP)
	return err
}

// Shutdown implements kernel.Stopper.
func (l *leaver) Shutdown(ctx context.Context) error {
	l.log.Info("leaving", "running", l.entry.Running(), "notice", l.notice.String())
	l.admin.SetLeaving()
	l.entry.SetLeaving()
	pause.For(ctx, l.notice)
	return nil
}
