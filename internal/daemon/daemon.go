// Package daemon assembles an entry instance: it registers the services of the
// coordination packages in a kernel under their dotted names and adapts them to
// each other. Each service looks up what it needs by name when it is provisioned.
package daemon

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/go-logr/logr"

	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/pkg/kernel"
	"github.com/turmericsail/turmericsail/pkg/peer"
)

// Names of the services.
const (
	StoreKV           = "store.kv"
	PeerTransport     = "peer.transport"
	MembershipTracker = "membership.tracker"
	ConfigSync        = "config.sync"
	ControlLoop       = "control.loop"
	ViewManager       = "view.manager"
	OnceCoordinator   = "once.coordinator"
	PlacementPolicy   = "placement.policy"
	QuotaAllocator    = "quota.allocator"
	ViewHandover      = "view.handover"
	EntryHTTP         = "entry.http"
	AdminHTTP         = "admin.http"
	EntryLeave        = "entry.leave"
	ControlMetrics    = "control.metrics"
)

// service is a named service.
type service struct {
	name string
	impl any
}

// base holds the settings and the logger of a service. Every service embeds it.
type base struct {
	cfg settings.Settings
	log logr.Logger
}

// New returns a kernel with the services of an entry instance.
func New(cfg settings.Settings, log logr.Logger) (*kernel.Kernel, error) {
	k := kernel.New()
	for _, s := range services(cfg, log) {
		if err := k.Register(s.name, s.impl); err != nil {
			return nil, err
		}
	}
	return k, nil
}

// newIncarnation returns the random part of an instance ID.
func newIncarnation() string {
	b := make([]byte, 6)
	_, _ = rand.Read(b) // crypto/rand.Read never fails
	return hex.EncodeToString(b)
}

func instanceID(cfg settings.Settings) peer.InstanceID {
	return peer.InstanceID(cfg.Instance + "/" + newIncarnation())
}

// services returns the services in the order in which they are provisioned.
// They are shut down in reverse order: first the notice that the instance is leaving,
// then the entry, whose running requests still need all other services, and later the
// hand-over of records.
func services(cfg settings.Settings, log logr.Logger) []service {
	b := func(name string) base { return base{cfg, log.WithName(name)} }
	return []service{
		{StoreKV, &platformStore{base: b(StoreKV)}},
		{PeerTransport, &peers{base: b(PeerTransport)}},
		{MembershipTracker, &members{base: b(MembershipTracker)}},
		{ConfigSync, &syncer{base: b(ConfigSync)}},
		{ControlLoop, &loop{base: b(ControlLoop)}},
		{ViewManager, &views{base: b(ViewManager)}},
		{ViewHandover, &handover{base: b(ViewHandover)}},
		{OnceCoordinator, &coordinator{base: b(OnceCoordinator)}},
		{QuotaAllocator, &limits{base: b(QuotaAllocator)}},
		{PlacementPolicy, &placer{base: b(PlacementPolicy)}},
		{ControlMetrics, &gauges{base: b(ControlMetrics)}},
		{AdminHTTP, &adminServer{base: b(AdminHTTP)}},
		{EntryHTTP, &entryServer{base: b(EntryHTTP)}},
		{EntryLeave, &leaveNotifier{base: b(EntryLeave)}},
	}
}
