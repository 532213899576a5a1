package view

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
	"github.com/turmericsail/turmericsail/pkg/store"
)

// startupPeers is the number of peers from which a starting instance requests views concurrently.
const startupPeers = 8

// Run maintains the views until ctx is done.
func (m *Manager) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { m.runLoad(ctx) })
	wg.Go(func() { m.runPeriodically(ctx, m.cfg.Timing.RenewInterval, m.renew) })
	wg.Go(func() {
		m.start(ctx)
		m.runPeriodically(ctx, m.cfg.Timing.SyncInterval, m.syncRandom)
	})
	wg.Go(func() { m.runPeriodically(ctx, m.cfg.Timing.StorePollInterval, m.pollStore) })
	wg.Go(func() { m.runPeriodically(ctx, m.cfg.Timing.SettleTime/4, m.propose) })
	wg.Wait()
	return ctx.Err()
}

func (m *Manager) runPeriodically(ctx context.Context, interval time.Duration, f func(context.Context)) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			f(ctx)
		}
	}
}

// start fetches views from several peers and the store, so that an instance that starts
// while the store is down uses the highest epoch known to its peers.
func (m *Manager) start(ctx context.Context) {
	ids := m.otherInstances()
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	var wg sync.WaitGroup
	for _, id := range ids[:min(len(ids), startupPeers)] {
		wg.Go(func() { _, _ = m.syncWith(ctx, id) })
	}
	wg.Go(func() { m.pollStore(ctx) })
	wg.Wait()
}

// otherInstances returns the IDs of all other live instances.
func (m *Manager) otherInstances() []peer.InstanceID {
	var ids []peer.InstanceID
	for _, in := range m.cfg.Members.Live() {
		if in.ID != m.self {
			ids = append(ids, in.ID)
		}
	}
	return ids
}

func (m *Manager) syncRandom(ctx context.Context) {
	if ids := m.otherInstances(); len(ids) > 0 {
		_, _ = m.syncWith(ctx, ids[rand.IntN(len(ids))])
	}
}

// pollStore reads the views of all regions if this instance is a member or the proposer
// of its region, or knows no view of it. Other instances receive views from peers, which
// reduces the load on the store.
func (m *Manager) pollStore(ctx context.Context) {
	v, known := m.Current(m.cfg.Region)
	if known && !v.Has(m.self) && !m.isProposer() {
		return
	}
	entries, _, err := m.cfg.Store.List(ctx, KeyPrefix)
	if err != nil {
		return
	}
	for _, e := range entries {
		if v, err := Decode(e.Value); err == nil && KeyPrefix+v.Region == e.Key {
			m.Merge(time.Now(), v)
		} else {
			m.cfg.Log.Error(err, "ignored an invalid view in the store", "key", e.Key)
		}
	}
}

// renew requests confirmation of this instance's authority from every member of the view.
func (m *Manager) renew(ctx context.Context) {
	m.mu.Lock()
	v, open := m.core.view, m.core.open
	m.mu.Unlock()
	if open == 0 || open != v.Epoch {
		return
	}
	var wg sync.WaitGroup
	for _, member := range v.Members {
		wg.Go(func() { m.requestConfirmation(ctx, v, member.ID) })
	}
	wg.Wait()
}

func (m *Manager) requestConfirmation(ctx context.Context, v View, id peer.InstanceID) {
	sent := time.Now()
	var reply peerpb.AuthorityReply
	if id == m.self {
		m.mu.Lock()
		reply.Confirmed = m.core.Confirm(sent, v.Epoch)
		m.mu.Unlock()
	} else {
		ctx, cancel := context.WithTimeout(ctx, m.cfg.Timing.CallTimeout)
		defer cancel()
		if m.cfg.Transport.Call(ctx, id, serviceAuthority, &peerpb.AuthorityRequest{Region: v.Region, Epoch: v.Epoch}, &reply) != nil {
			return
		}
	}
	if !reply.GetConfirmed() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirmations.record(v.Epoch, id, sent, m.cfg.Timing.Lease)
}

func (m *Manager) handleAuthority(_ context.Context, from peer.InstanceID, request []byte) (proto.Message, error) {
	req := new(peerpb.AuthorityRequest)
	if err := decode(request, req); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	ok := req.GetRegion() == m.cfg.Region && m.core.view.Has(from) && m.core.Confirm(time.Now(), req.GetEpoch())
	return &peerpb.AuthorityReply{Confirmed: ok}, nil
}

// isProposer reports whether this instance has the role of changing the view of its region.
func (m *Manager) isProposer() bool {
	var ids []peer.InstanceID
	for _, in := range m.cfg.Members.Live() {
		if in.Region == m.cfg.Region {
			ids = append(ids, in.ID)
		}
	}
	owner, ok := Owner(KeyPrefix+m.cfg.Region, ids)
	return ok && owner == m.self
}

// propose changes the view if this instance is the proposer. If two instances consider
// themselves the proposer, compare-and-swap lets only one of them write each change.
func (m *Manager) propose(ctx context.Context) {
	if !m.isProposer() {
		m.setDiffersSince(time.Time{})
		return
	}
	v, _ := m.Current(m.cfg.Region)
	wanted := Choose(m.cfg.Region, v.Members, m.cfg.Members.Live())
	if len(wanted) == 0 || sameMembers(wanted, v.Members) {
		m.setDiffersSince(time.Time{})
		m.removePredecessors(ctx, v)
		return
	}
	if !m.settleTimePassed(time.Now()) || !m.reachesSealQuorum(ctx, v) {
		return
	}
	m.setDiffersSince(time.Time{})
	m.write(ctx, func(current View) (View, bool) {
		wanted := Choose(m.cfg.Region, current.Members, m.cfg.Members.Live())
		current.Region = m.cfg.Region
		return current.Next(wanted), len(wanted) > 0 && !sameMembers(wanted, current.Members)
	})
}

// reachesSealQuorum reports whether enough members of the view reply for a later view to
// load. An instance that is partitioned, or refused by its peers, sees itself as the only
// live one. A view that it wrote would stop the live members and could never open.
func (m *Manager) reachesSealQuorum(ctx context.Context, v View) bool {
	if len(v.Members) == 0 {
		return true
	}
	var answered atomic.Int64
	var wg sync.WaitGroup
	for _, member := range v.Members {
		wg.Go(func() {
			if member.ID == m.self || m.Refresh(ctx, member.ID) == nil {
				answered.Add(1)
			}
		})
	}
	wg.Wait()
	return int(answered.Load()) >= v.SealQuorum()
}

func (m *Manager) setDiffersSince(since time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.differsSince = since
}

// settleTimePassed reports whether the view has differed from the member list for SettleTime.
func (m *Manager) settleTimePassed(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.differsSince.IsZero() {
		m.differsSince = now
	}
	return now.Sub(m.differsSince) >= m.cfg.Timing.SettleTime
}

// removePredecessors removes the predecessors once a write quorum has loaded.
func (m *Manager) removePredecessors(ctx context.Context, v View) {
	if len(v.Predecessors) == 0 {
		return
	}
	loaded := m.loadedMembers(ctx, v)
	if len(loaded) < v.WriteQuorum() {
		return
	}
	m.write(ctx, func(current View) (View, bool) {
		return current.WithoutPredecessors(loaded), current.Epoch == v.Epoch && len(current.Predecessors) > 0
	})
}

func (m *Manager) loadedMembers(ctx context.Context, v View) []peer.InstanceID {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var loaded []peer.InstanceID
	for _, member := range v.Members {
		wg.Go(func() {
			open, _, _ := m.OpenedAt()
			if member.ID != m.self {
				open, _ = m.syncWith(ctx, member.ID)
			}
			mu.Lock()
			defer mu.Unlock()
			if open == v.Epoch {
				loaded = append(loaded, member.ID)
			}
		})
	}
	wg.Wait()
	slices.Sort(loaded)
	return loaded
}

// write applies change to the latest view of this instance's region, stores the result
// and sends it to the members.
func (m *Manager) write(ctx context.Context, change func(View) (View, bool)) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	current, revision, err := m.readRow(ctx)
	if err != nil {
		return
	}
	next, wanted := change(current)
	if !wanted {
		return
	}
	data, err := next.Encode()
	if err != nil {
		return
	}
	if _, err := store.Put(ctx, m.cfg.Store, KeyPrefix+m.cfg.Region, data, revision); err != nil {
		m.cfg.Log.Info("the view was not written", "epoch", next.Epoch, "cause", err.Error())
		return
	}
	m.Merge(time.Now(), next)
	m.push(ctx, next)
}

// writeTimeout limits a write whose lost response cannot be resolved, so that the proposer can continue.
const writeTimeout = 10 * time.Second

// readRow returns the view of this instance's region and the revision of its row. A newer
// view received from peers takes precedence over the row, so that a store that lost its
// data cannot restore an old epoch.
func (m *Manager) readRow(ctx context.Context) (View, uint64, error) {
	known, _ := m.Current(m.cfg.Region)
	e, err := m.cfg.Store.Get(ctx, KeyPrefix+m.cfg.Region)
	if fault.Is(err, fault.NotFound) {
		return known, 0, nil
	}
	if err != nil {
		return View{}, 0, err
	}
	stored, err := Decode(e.Value)
	if err != nil {
		return View{}, 0, err
	}
	if known.Newer(stored) {
		return known, e.Revision, nil
	}
	m.Merge(time.Now(), stored)
	return stored, e.Revision, nil
}

// push sends a new view to its members and those of its predecessors. All other instances
// receive it by periodic synchronisation.
func (m *Manager) push(ctx context.Context, v View) {
	ids := v.IDs()
	for _, g := range v.Predecessors {
		ids = append(ids, g.IDs()...)
	}
	slices.Sort(ids)
	var wg sync.WaitGroup
	for _, id := range slices.Compact(ids) {
		if id != m.self {
			wg.Go(func() { _, _ = m.syncWith(ctx, id) })
		}
	}
	wg.Wait()
}
