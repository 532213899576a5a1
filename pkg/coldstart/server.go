package coldstart

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
	"github.com/turmericsail/turmericsail/pkg/quota"
)

// Peer services of this package.
const (
	ServiceReport = "coldstart.report" // batches, from reporting instances to the allocator
	ServiceFall   = "coldstart.fall"   // notices of a reset to cold, from the allocator to the reporting instances
)

// notifyTimeout bounds the call that notifies a reporter of a reset to cold; a
// reporter that misses it learns the state from the reply to its next report.
const notifyTimeout = 500 * time.Millisecond

// noticeBacklog bounds the queue of notices that have not been sent.
const noticeBacklog = 256

// RampFunc returns the ramp of an upstream, and false for an unknown one.
type RampFunc func(Key) (Ramp, bool)

type trackerEntry struct {
	tracker *Tracker
	epoch   uint64 // latest epoch in which this instance had the authority
}

type coldNotice struct {
	to    []peer.InstanceID
	state *peerpb.ColdStartState
}

// Server runs the trackers of the upstreams for which this instance is the allocator.
type Server struct {
	settings  Settings
	transport peer.Transport
	roles     quota.Roles
	ramps     RampFunc
	log       logr.Logger
	notices   chan coldNotice
	mu        sync.Mutex
	trackers  map[Key]*trackerEntry
}

// NewServer returns a server and registers its handler on the transport.
func NewServer(t peer.Transport, roles quota.Roles, ramps RampFunc, s Settings, log logr.Logger) (*Server, error) {
	if err := s.Validate("$.cold_start").Err(); err != nil {
		return nil, err
	}
	srv := &Server{
		settings: s, transport: t, roles: roles, ramps: ramps, log: log,
		notices: make(chan coldNotice, noticeBacklog), trackers: make(map[Key]*trackerEntry),
	}
	t.Handle(ServiceReport, srv.handle)
	return srv, nil
}

func (s *Server) handle(_ context.Context, from peer.InstanceID, data []byte) (proto.Message, error) {
	var report peerpb.ColdStartReport
	if err := proto.Unmarshal(data, &report); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "the cold-start report cannot be decoded", "check the release of the calling instance")
	}
	return s.HandleReport(from, &report), nil
}

// HandleReport applies the batches of any instance, including this one, and returns
// the states of the upstreams for which this instance has the authority.
func (s *Server) HandleReport(from peer.InstanceID, report *peerpb.ColdStartReport) *peerpb.ColdStartReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := &peerpb.ColdStartReply{}
	for _, m := range report.Batches {
		key, batch := batchFromMessage(m)
		now := time.Now()
		t := s.tracker(now, key)
		if t == nil {
			continue
		}
		before := t.State()
		t.Observe(now, from, batch)
		s.notifyReporters(key, t, before, from)
		reply.States = append(reply.States, stateToMessage(key, t.State()))
	}
	return reply
}

// tracker returns the tracker of an upstream for which this instance is the allocator,
// or nil. If another instance may have been the allocator since, the tracker is
// replaced by one without history.
func (s *Server) tracker(now time.Time, key Key) *Tracker {
	ramp, known := s.ramps(key)
	epoch, _, ok := s.roles.Authority(key.Resource()).Held(now)
	if !known || !ok {
		return nil
	}
	e := s.trackers[key]
	if e == nil || epoch > e.epoch+1 {
		e = &trackerEntry{tracker: NewTracker(s.settings, ramp, now)}
		s.trackers[key] = e
	}
	e.epoch = epoch
	e.tracker.SetRamp(ramp)
	return e.tracker
}

// notifyReporters queues a notice to the other reporters if a warm upstream has become cold.
func (s *Server) notifyReporters(key Key, t *Tracker, before State, from peer.InstanceID) {
	after := t.State()
	if !before.Warm || after.Warm {
		return
	}
	s.log.Info("the upstream was reset to cold", "pool", key.Pool, "upstream", key.Upstream, "cause", after.Cause)
	n := coldNotice{state: stateToMessage(key, after)}
	for id := range t.reporters {
		if id != from {
			n.to = append(n.to, id)
		}
	}
	slices.Sort(n.to)
	select {
	case s.notices <- n:
	default:
		s.log.Info("the queue of cold-start notices is full; reporters learn of this one from their next report", "pool", key.Pool, "upstream", key.Upstream)
	}
}

// Limit returns the limit of an upstream for pkg/quota, and false if this instance is not its allocator.
func (s *Server) Limit(key Key) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tracker(time.Now(), key)
	if t == nil {
		return 0, false
	}
	return t.Limit(), true
}

// MarkReturned records that an upstream came back after it was missing from the list or out of service.
func (s *Server) MarkReturned(key Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.tracker(time.Now(), key); t != nil {
		before := t.State()
		t.MarkReturned(time.Now())
		s.notifyReporters(key, t, before, "")
	}
}

// State returns the state of an upstream, and false if this instance is not its allocator.
func (s *Server) State(key Key) (State, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.tracker(time.Now(), key); t != nil {
		return t.State(), true
	}
	return State{}, false
}

// Run sends the queued notices to the reporters until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case n := <-s.notices:
			for _, to := range n.to {
				calls.Add(1)
				go func() {
					defer calls.Done()
					s.notify(ctx, to, n.state)
				}()
			}
		}
	}
}

func (s *Server) notify(ctx context.Context, to peer.InstanceID, state *peerpb.ColdStartState) {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	message := &peerpb.ColdStartReply{States: []*peerpb.ColdStartState{state}}
	if err := s.transport.Call(ctx, to, ServiceFall, message, &peerpb.LimitsAck{}); err != nil {
		s.log.V(1).Info("the notice of a cold start was not delivered", "instance", to, "error", err.Error())
	}
}
