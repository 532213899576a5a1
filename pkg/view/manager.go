package view

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
	"github.com/turmericsail/turmericsail/pkg/store"
)

// Names of the peer services.
const (
	serviceSync      = "view.sync"
	serviceSeal      = "view.seal"
	serviceAuthority = "view.authority"
)

// Config holds the dependencies and settings of a Manager.
type Config struct {
	// Region is the region of this instance.
	Region string
	// Transport carries calls to the other instances.
	Transport peer.Transport
	// Store stores the views.
	Store store.KV
	// Members is the member list.
	Members Members
	// Records holds the records of this instance's replica.
	Records RecordStore
	// Timing holds the durations; zero means DefaultTiming.
	Timing Timing
	// Log receives view changes and failures to read or write views. The zero value discards them.
	Log logr.Logger
}

// Manager runs the view protocol of an instance. It connects the protocol core with the
// peers and the store.
type Manager struct {
	cfg  Config
	self peer.InstanceID

	mu            sync.Mutex
	core          *Core
	confirmations confirmations
	// views holds the latest known view of each region. The map is replaced on each change,
	// so that claims read it without a lock.
	views atomic.Pointer[map[string]View]
	// differsSince is when the member list and the view began to differ, or zero.
	differsSince time.Time
	// wake tells runLoad that a new view of this instance's region was adopted.
	wake chan struct{}
}

var _ Authority = (*Manager)(nil)

// New returns a manager and registers its peer services.
func New(cfg Config) (*Manager, error) {
	if cfg.Region == "" || cfg.Transport == nil || cfg.Store == nil || cfg.Members == nil || cfg.Records == nil {
		return nil, fault.New(fault.Invalid, "the view manager lacks a region, transport, store, member list or record store", "set every field of view.Config")
	}
	if cfg.Timing == (Timing{}) {
		cfg.Timing = DefaultTiming()
	}
	if cfg.Log.GetSink() == nil {
		cfg.Log = logr.Discard()
	}
	self := cfg.Transport.Self()
	m := &Manager{cfg: cfg, self: self, wake: make(chan struct{}, 1)}
	m.views.Store(&map[string]View{})
	m.core = NewCore(self, cfg.Timing.Lease, cfg.Records)
	cfg.Transport.Handle(serviceSync, m.handleSync)
	cfg.Transport.Handle(serviceSeal, m.handleSeal)
	cfg.Transport.Handle(serviceAuthority, m.handleAuthority)
	return m, nil
}

// Current implements Authority.
func (m *Manager) Current(region string) (View, bool) {
	v, ok := (*m.views.Load())[region]
	return v, ok
}

// Authority implements Authority.
func (m *Manager) Authority(now time.Time) (epoch uint64, held bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.core.view
	return v.Epoch, v.Epoch != 0 && m.core.open == v.Epoch && m.confirmations.held(now, v.Group)
}

// OpenedAt implements Authority.
func (m *Manager) OpenedAt() (epoch uint64, at time.Time, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.open, m.core.openedAt, m.core.open != 0
}

// DropAuthority drops this instance's authority until members confirm it again. It must
// be called when the machine was suspended: the monotonic clock stops meanwhile, so
// leases that seem valid may have expired.
func (m *Manager) DropAuthority(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirmations.drop(now)
}

// Merge takes views received from a peer or the store. It reports whether one was newer than the known view.
func (m *Manager) Merge(now time.Time, views ...View) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	learned := false
	for _, v := range views {
		known := *m.views.Load()
		if v.Epoch == 0 || !v.Newer(known[v.Region]) {
			continue
		}
		learned = true
		updated := maps.Clone(known)
		updated[v.Region] = v
		m.views.Store(&updated)
		if v.Region == m.cfg.Region {
			m.core.Adopt(now, v)
			m.cfg.Log.Info("adopted a view", "region", v.Region, "epoch", v.Epoch, "members", v.IDs(), "predecessors", len(v.Predecessors))
			m.notify()
		}
	}
	return learned
}

func (m *Manager) notify() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Refresh fetches newer views from one instance. Claimants call it when a member replies with a later epoch.
func (m *Manager) Refresh(ctx context.Context, from peer.InstanceID) error {
	_, err := m.syncWith(ctx, from)
	return err
}

func (m *Manager) stamps() []*peerpb.ViewStamp {
	var out []*peerpb.ViewStamp
	for region, v := range *m.views.Load() {
		out = append(out, &peerpb.ViewStamp{Region: region, Epoch: v.Epoch, Predecessors: uint32(len(v.Predecessors))})
	}
	return out
}

// newerThan returns the encoded views that are newer than the stamps.
func (m *Manager) newerThan(stamps []*peerpb.ViewStamp) [][]byte {
	known := make(map[string]View)
	for _, s := range stamps {
		// Newer compares only the epoch and the number of predecessors.
		known[s.GetRegion()] = View{Group: Group{Epoch: s.GetEpoch()}, Predecessors: make([]Group, min(s.GetPredecessors(), maxStampPredecessors))}
	}
	var out [][]byte
	for region, v := range *m.views.Load() {
		if !v.Newer(known[region]) {
			continue
		}
		if data, err := v.Encode(); err == nil {
			out = append(out, data)
		}
	}
	return out
}

// maxStampPredecessors limits how much memory a stamp from a peer can cause this instance to allocate.
const maxStampPredecessors = 1 << 10

func (m *Manager) mergeEncoded(encoded [][]byte) error {
	for _, data := range encoded {
		v, err := Decode(data)
		if err != nil {
			return err
		}
		m.Merge(time.Now(), v)
	}
	return nil
}

// syncWith exchanges newer views with one instance and returns the epoch in which that instance is open.
func (m *Manager) syncWith(ctx context.Context, id peer.InstanceID) (open uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.Timing.CallTimeout)
	defer cancel()
	var reply peerpb.ViewSyncReply
	if err := m.cfg.Transport.Call(ctx, id, serviceSync, &peerpb.ViewSyncRequest{Stamps: m.stamps()}, &reply); err != nil {
		return 0, err
	}
	if err := m.mergeEncoded(reply.GetViews()); err != nil {
		return 0, err
	}
	if views := m.newerThan(reply.GetStamps()); len(views) > 0 {
		var pushed peerpb.ViewSyncReply
		if err := m.cfg.Transport.Call(ctx, id, serviceSync, &peerpb.ViewSyncRequest{Stamps: m.stamps(), Views: views}, &pushed); err != nil {
			return 0, err
		}
		return pushed.GetOpenEpoch(), nil
	}
	return reply.GetOpenEpoch(), nil
}

func (m *Manager) handleSync(_ context.Context, _ peer.InstanceID, request []byte) (proto.Message, error) {
	req, err := decodeSync(request)
	if err != nil {
		return nil, err
	}
	if err := m.mergeEncoded(req.GetViews()); err != nil {
		return nil, err
	}
	open, _, _ := m.OpenedAt()
	return &peerpb.ViewSyncReply{Stamps: m.stamps(), Views: m.newerThan(req.GetStamps()), OpenEpoch: open}, nil
}

func decodeSync(request []byte) (*peerpb.ViewSyncRequest, error) {
	req := new(peerpb.ViewSyncRequest)
	return req, decode(request, req)
}

// decode unmarshals a peer message.
func decode(data []byte, into proto.Message) error {
	if err := proto.Unmarshal(data, into); err != nil {
		return fault.Wrap(fault.Invalid, err, "the peer message cannot be decoded", "run compatible releases on all instances")
	}
	return nil
}
