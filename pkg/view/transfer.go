package view

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
)

// loadInterval is the interval between attempts to load while members do not reply or wait for a lease to expire.
const loadInterval = 100 * time.Millisecond

// runLoad loads records whenever this instance has become a member of a new view.
func (m *Manager) runLoad(ctx context.Context) {
	tick := time.NewTicker(loadInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		case <-tick.C:
		}
		m.loadOnce(ctx)
	}
}

// loadOnce loads from every target once and opens the epoch when all required records are imported.
func (m *Manager) loadOnce(ctx context.Context) {
	m.mu.Lock()
	targets, v := m.core.Targets(), m.core.view
	m.mu.Unlock()
	if len(targets) == 0 {
		m.tryOpen()
		return
	}
	encoded, err := v.Encode()
	if err != nil {
		return
	}
	var wg sync.WaitGroup
	for _, t := range targets {
		wg.Go(func() {
			if m.fetch(ctx, v, t, encoded) != nil {
				return
			}
			m.mu.Lock()
			m.core.MarkLoaded(v.Epoch, t)
			m.mu.Unlock()
			m.tryOpen()
		})
	}
	wg.Wait()
}

func (m *Manager) tryOpen() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.core.TryOpen(time.Now()) {
		m.cfg.Log.Info("opened an epoch", "region", m.cfg.Region, "epoch", m.core.open)
	}
}

// fetch seals one target, or copies from it, and imports all its records.
func (m *Manager) fetch(ctx context.Context, v View, t Target, encoded []byte) error {
	for cursor := uint64(0); ; {
		req := &peerpb.SealRequest{Region: v.Region, Epoch: t.Epoch, Cursor: cursor, Copy: t.Copy, View: encoded}
		reply, err := m.callSeal(ctx, t.ID, req)
		if err != nil {
			return err
		}
		if !reply.GetSealed() {
			return fault.New(fault.Unavailable, "the member has confirmed an authority that has not expired, or has not loaded its records", "ask again after the lease")
		}
		if t.ID != m.self {
			if err := m.cfg.Records.Import(time.Now(), reply.GetChunk()); err != nil {
				return err
			}
		}
		if cursor = reply.GetNext(); cursor == 0 || t.ID == m.self {
			return nil
		}
	}
}

func (m *Manager) callSeal(ctx context.Context, id peer.InstanceID, req *peerpb.SealRequest) (*peerpb.SealReply, error) {
	if id == m.self {
		// This instance's own records need only a seal, no transfer.
		m.mu.Lock()
		defer m.mu.Unlock()
		sealed, wait := m.core.Seal(time.Now(), req.GetEpoch())
		return &peerpb.SealReply{Sealed: sealed, WaitMs: uint64(wait.Milliseconds())}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, m.cfg.Timing.CallTimeout)
	defer cancel()
	reply := new(peerpb.SealReply)
	return reply, m.cfg.Transport.Call(ctx, id, serviceSeal, req, reply)
}

func (m *Manager) handleSeal(_ context.Context, _ peer.InstanceID, request []byte) (proto.Message, error) {
	req := new(peerpb.SealRequest)
	if err := decode(request, req); err != nil {
		return nil, err
	}
	v, err := Decode(req.GetView())
	if err != nil {
		return nil, err
	}
	if req.GetRegion() != m.cfg.Region || v.Region != m.cfg.Region {
		return nil, fault.New(fault.Refused, "records stay in their region", "send the request to members of the view's region")
	}
	if !req.GetCopy() && req.GetEpoch() >= v.Epoch {
		return nil, fault.New(fault.Invalid, "a view may seal earlier epochs only", "send the view on whose behalf the epoch is sealed")
	}
	now := time.Now()
	m.Merge(now, v)
	return m.sealAndExport(now, req), nil
}

func (m *Manager) sealAndExport(now time.Time, req *peerpb.SealRequest) *peerpb.SealReply {
	m.mu.Lock()
	sealed, wait := m.core.MayCopy(req.GetEpoch()), time.Duration(0)
	if !req.GetCopy() {
		sealed, wait = m.core.Seal(now, req.GetEpoch())
	}
	m.mu.Unlock()
	reply := &peerpb.SealReply{Sealed: sealed, WaitMs: uint64(wait.Milliseconds())}
	if sealed {
		reply.Chunk, reply.Next = m.cfg.Records.Export(now, req.GetCursor())
	}
	return reply
}
