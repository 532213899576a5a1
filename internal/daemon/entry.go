package daemon

import (
	"context"
	"net"
	"time"

	"github.com/turmericsail/turmericsail/internal/entry"
	"github.com/turmericsail/turmericsail/pkg/kernel"
	"github.com/turmericsail/turmericsail/pkg/pause"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/quarantine"
)

// callers is the HTTP data path with its adapters to the coordination packages.
type callers struct {
	base
	*entry.Entry
	suspects *suspects
}

var (
	_ kernel.Provisioner = (*callers)(nil)
	_ kernel.Runner      = (*callers)(nil)
	_ kernel.Stopper     = (*callers)(nil)
)

// Provision implements kernel.Provisioner.
func (c *callers) Provision(k *kernel.Kernel) error {
	transport, err := kernel.Lookup[peer.Transport](k, PeerTransport)
	if err != nil {
		return err
	}
	live, err := kernel.Lookup[*members](k, MembershipTracker)
	if err != nil {
		return err
	}
	records, err := kernel.Lookup[*coordinator](k, OnceCoordinator)
	if err != nil {
		return err
	}
	l, err := kernel.Lookup[*limits](k, QuotaAllocator)
	if err != nil {
		return err
	}
	p, err := kernel.Lookup[*placer](k, PlacementPolicy)
	if err != nil {
		return err
	}
	settings := quarantine.DefaultSettings()
	settings.Key = c.cfg.QuarantineKey
	service, err := quarantine.NewService(quarantine.Config{Transport: transport, Audience: live.inRegions, Settings: settings, Log: c.log})
	if err != nil {
		return err
	}
	c.suspects = &suspects{Service: service, limits: l}
	extra := &budgets{pools: map[budgetKey]*poolBudgets{}}
	c.Entry = entry.New(c.cfg, l.loop, entry.Ports{
		Placement: policy{p}, Claims: &claims{records.Coordinator, c.cfg.Regions}, Quarantine: c.suspects,
		Retries: extra, Hedger: extra, Relay: &relay{transport, live}, Observers: []entry.Observer{l, extra, c.suspects},
	}, c.log)
	transport.HandleStream(relayService, func(_ peer.InstanceID, conn net.Conn) { c.ServeRelayed(conn) })
	return nil
}

// Run implements kernel.Runner.
func (c *callers) Run(ctx context.Context) error {
	go func() { _ = c.suspects.Run(ctx) }()
	return c.Entry.Run(ctx)
}

// leaver is shut down first: it tells everyone that the instance is leaving and
// keeps the listeners open until the platform's balancer has had time to see it.
type leaver struct {
	base
	members *members
	admin   *operators
	entry   *callers
}

var (
	_ kernel.Provisioner = (*leaver)(nil)
	_ kernel.Stopper     = (*leaver)(nil)
)

// Provision implements kernel.Provisioner.
func (l *leaver) Provision(k *kernel.Kernel) (err error) {
	if l.members, err = kernel.Lookup[*members](k, MembershipTracker); err != nil {
		return err
	}
	if l.admin, err = kernel.Lookup[*operators](k, AdminHTTP); err != nil {
		return err
	}
	l.entry, err = kernel.Lookup[*callers](k, EntryHTTP)
	return err
}

// Shutdown implements kernel.Stopper.
func (l *leaver) Shutdown(ctx context.Context) error {
	l.admin.SetLeaving()
	l.entry.SetLeaving()
	if err := l.members.Leave(ctx); err != nil {
		l.log.Info("the other instances were not told that this one is leaving", "error", err.Error())
	}
	pause.For(ctx, l.cfg.Shutdown.Notice.Std())
	return nil
}

const (
	// handoverBound is how long a leaving member waits for a view without it, which
	// needs the store. Later its records are found on the other members.
	handoverBound = 5 * time.Second
	handoverPoll  = 50 * time.Millisecond
)

// handover is shut down after the entry: it waits until a new view has taken
// over the records, so that the other members stay able to lose one more.
type handover struct {
	base
	views   *views
	members *members
	self    peer.InstanceID
}

var (
	_ kernel.Provisioner = (*handover)(nil)
	_ kernel.Stopper     = (*handover)(nil)
)

// Provision implements kernel.Provisioner.
func (h *handover) Provision(k *kernel.Kernel) (err error) {
	transport, err := kernel.Lookup[peer.Transport](k, PeerTransport)
	if err != nil {
		return err
	}
	h.self = transport.Self()
	if h.members, err = kernel.Lookup[*members](k, MembershipTracker); err != nil {
		return err
	}
	h.views, err = kernel.Lookup[*views](k, ViewManager)
	return err
}

// Shutdown implements kernel.Stopper.
func (h *handover) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, handoverBound)
	defer cancel()
	for {
		if len(h.members.inRegions([]string{h.cfg.Region})) == 0 { // nobody is there to take over
			return nil
		}
		v, ok := h.views.Current(h.cfg.Region)
		if !ok || !v.Has(h.self) && len(v.Predecessors) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			h.log.Info("left before another instance took over the records; the remaining members have them")
			return nil
		case <-time.After(handoverPoll):
		}
	}
}
