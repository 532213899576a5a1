package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/turmericsail/turmericsail/internal/entry"
	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/pkg/kernel"
	"github.com/turmericsail/turmericsail/pkg/rate"
	"github.com/turmericsail/turmericsail/pkg/table"
	"github.com/turmericsail/turmericsail/platform"
)

// ratesService keeps the request rates of workspaces over all instances together.
type ratesService struct {
	*rate.Service
	cfg      settings.Settings
	log      logr.Logger
	followed *followService

	mu     sync.Mutex // settings may change before the service is provisioned
	bounds platform.Bounds
	tables *table.Tables // those that the limits are from
	limits []rate.Limit
}

var (
	_ kernel.Provisioner = (*ratesService)(nil)
	_ kernel.Runner      = (*ratesService)(nil)
	_ entry.InstantRates = (*ratesService)(nil)
)

// Provision implements kernel.Provisioner.
func (s *ratesService) Provision(k *kernel.Kernel) error {
	p, err := kernel.Lookup[*peerService](k, PeerTransport)
	if err != nil {
		return err
	}
	if s.followed, err = kernel.Lookup[*followService](k, ControlFollow); err != nil {
		return err
	}
	c := rate.Config{
		Roles: rate.Alone{}, Region: s.cfg.Region, Regions: s.cfg.Regions, Instances: instanceCount(s.followed.Instances, s.cfg.Limits.MaxInstances),
		Limits: s.inForce, Log: s.log,
	}
	if p.TCPTransport != nil {
		c.Transport, c.Roles = p.TCPTransport, s.followed.Follower
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Rules = rulesOf(s.bounds)
	s.Service = rate.NewService(c)
	return nil
}

func rulesOf(b platform.Bounds) rate.Rules {
	return rate.Rules{Window: b.QuotaWindow, Overage: b.QuotaOverage, Slack: b.QuotaSlack}
}

// setBounds replaces the bounds that the instance keeps.
func (s *ratesService) setBounds(bounds platform.Bounds) {
	s.mu.Lock()
	s.bounds = bounds
	service := s.Service
	s.mu.Unlock()
	if service != nil {
		service.SetRules(rulesOf(bounds)) // without the lock, which the service takes to read the limits
	}
}

// inForce returns the limits of the current tables.
func (s *ratesService) inForce() []rate.Limit {
	tables := s.followed.Snapshot().Tables
	s.mu.Lock()
	defer s.mu.Unlock()
	if tables != s.tables {
		s.tables, s.limits = tables, limitsOf(tables)
	}
	return s.limits
}

func limitsOf(tables *table.Tables) (limits []rate.Limit) {
	if tables == nil {
		return nil
	}
	for _, w := range tables.Workspaces {
		if w.RatePerSecond > 0 {
			limits = append(limits, limitOf(&w))
		}
	}
	return limits
}

func limitOf(w *table.Workspace) rate.Limit {
	return rate.Limit{Name: w.Name, Rate: w.RatePerSecond, Burst: w.Burst}
}

// Admit implements entry.Rates.
func (s *ratesService) Admit(ctx context.Context, w *table.Workspace, late bool) (release func(), retryAfter time.Duration, ok bool) {
	return s.Service.Admit(ctx, limitOf(w), late)
}

// AdmitNow implements entry.InstantRates.
func (s *ratesService) AdmitNow(w *table.Workspace) (release func(), ok bool) {
	return s.Service.AdmitNow(limitOf(w))
}
