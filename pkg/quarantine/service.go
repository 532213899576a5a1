package quarantine

import (
	"bytes"
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
)

// ServiceReport is the name of the peer service that receives quarantine reports.
const ServiceReport = "quarantine.report"

const (
	stepInterval = time.Second
	// sendTimeout bounds one attempt to send a report.
	sendTimeout = time.Second
	// maxAttempts is the number of failed attempts after which a report is dropped.
	maxAttempts = 3
	// maxItems bounds the items of a report and the queue of unsent events.
	maxItems = 1024
	// syncSenders is the number of instances that send the current losses and refusals to a new instance.
	syncSenders = 2
)

// Upstream identifies an upstream and its failure domain.
type Upstream struct {
	Pool          string
	ID            string
	FailureDomain string
}

// Config holds the dependencies of a Service.
type Config struct {
	Transport peer.Transport
	// InstancesIn returns the other instances in the given regions, or all others if the list is empty.
	InstancesIn func(regions []string) []peer.InstanceID
	Settings    Settings
	Log         logr.Logger
}

// event is a loss or a successful response to be sent to the instances in the home regions.
type event struct {
	f           Fingerprint
	loss        Loss
	cleared     bool
	homeRegions []string
}

// Service holds the table of this instance and exchanges events with other instances.
type Service struct {
	Config
	hasher      *Hasher
	recordCount atomic.Int64
	events      chan event
	calls       sync.WaitGroup

	mu             sync.RWMutex
	table          *Table
	watchers       map[Upstream]*Watcher
	knownInstances map[peer.InstanceID]bool
}

// NewService returns a service and registers its handler on the transport.
func NewService(c Config) (*Service, error) {
	if err := c.Settings.Validate("$.quarantine").Err(); err != nil {
		return nil, err
	}
	hasher, err := NewHasher(c.Settings.Key)
	if err != nil {
		return nil, err
	}
	s := &Service{
		Config: c, hasher: hasher, events: make(chan event, maxItems),
		table: NewTable(c.Settings), watchers: make(map[Upstream]*Watcher),
	}
	c.Transport.Handle(ServiceReport, s.handle)
	return s, nil
}

// Admit returns the verdict on a request. While the table is empty, it costs one
// atomic load and computes no hash.
func (s *Service) Admit(now time.Time, r Request) Verdict {
	if s.recordCount.Load() == 0 {
		return Run
	}
	f := s.hasher.Fingerprint(r)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.table.Admit(now, f)
}

// LostDuring returns the upstreams among those given that were lost while running the request.
func (s *Service) LostDuring(r Request, among []Upstream) (lost []Upstream) {
	f := s.hasher.Fingerprint(r)
	s.mu.RLock()
	defer s.mu.RUnlock()
	if !s.table.Known(f) {
		return nil
	}
	for _, u := range among {
		if s.table.hasLossOf(f, s.upstreamHash(u)) {
			lost = append(lost, u)
		}
	}
	return lost
}

// Refusal returns the error for a request with the verdict Refuse.
func Refusal() error {
	return fault.New(fault.Refused, "two upstreams were lost while they ran this request", "do not repeat the request; report it to the operators of the service")
}

// RecordOutcome records how a request at an upstream ended. home holds the home regions of its route.
func (s *Service) RecordOutcome(now time.Time, u Upstream, r Request, end Outcome, home []string) {
	switch end {
	case Completed:
		s.recordSuccess(now, r, home)
	case Cut:
		f := s.hasher.Fingerprint(r)
		s.watch(now, u, func(w *Watcher) []Suspect { return w.RecordCut(now, f, home) })
	}
}

func (s *Service) recordSuccess(now time.Time, r Request, home []string) {
	if s.recordCount.Load() == 0 {
		return
	}
	f := s.hasher.Fingerprint(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.Known(f) && s.table.RecordSuccess(now, f, now) {
		s.enqueue(event{f: f, loss: Loss{At: now}, cleared: true, homeRegions: home})
	}
}

// RecordRefusedConnection records that a connection to an upstream was refused.
func (s *Service) RecordRefusedConnection(now time.Time, u Upstream) {
	s.watch(now, u, func(w *Watcher) []Suspect { return w.RecordRefusedConnection(now) })
}

// RecordStartID records the start ID in a response of an upstream. It needs to be called only when the ID changes.
func (s *Service) RecordStartID(now time.Time, u Upstream, startID string) {
	s.watch(now, u, func(w *Watcher) []Suspect { return w.RecordStartID(now, startID) })
}

// Forget removes the watcher of an upstream that no longer exists.
func (s *Service) Forget(u Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watchers, u)
}

func (s *Service) watch(now time.Time, u Upstream, observe func(*Watcher) []Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.watchers[u]
	if w == nil {
		w = NewWatcher(s.Settings)
		s.watchers[u] = w
	}
	s.recordLoss(now, u, observe(w))
	s.recordCount.Store(int64(s.table.Len()))
}

// recordLoss records the loss of an upstream against the requests that it cut. The caller holds mu.
func (s *Service) recordLoss(now time.Time, u Upstream, suspects []Suspect) {
	loss := Loss{Upstream: s.upstreamHash(u), Domain: s.hasher.hash64("domain", u.FailureDomain, ""), At: now}
	for _, suspect := range suspects {
		if s.table.RecordLoss(now, suspect.Fingerprint, loss, suspect.Home) {
			s.enqueue(event{f: suspect.Fingerprint, loss: loss, homeRegions: suspect.Home})
		}
	}
}

func (s *Service) upstreamHash(u Upstream) uint64 { return s.hasher.hash64("upstream", u.Pool, u.ID) }

// confirmRemoteLoss turns the cut requests of this instance into suspects when
// another instance reports the loss of their upstream. Without that report, a
// single cut request would be dropped as a connection fault. The caller holds mu.
func (s *Service) confirmRemoteLoss(now time.Time, loss Loss) {
	for u, w := range s.watchers {
		if s.upstreamHash(u) == loss.Upstream {
			s.recordLoss(now, u, w.RecordRemoteLoss(now, loss.At))
		}
	}
}

func (s *Service) enqueue(e event) {
	select {
	case s.events <- e:
	default:
		s.Log.Info("quarantine event queue is full; dropped an event")
	}
}

func (s *Service) handle(_ context.Context, _ peer.InstanceID, data []byte) (proto.Message, error) {
	var report peerpb.QuarantineReport
	if err := proto.Unmarshal(data, &report); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "the quarantine report cannot be decoded", "check the release of the calling instance")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, item := range report.Items[:min(len(report.Items), maxItems)] {
		if len(item.GetFingerprint()) != len(Fingerprint{}) {
			continue
		}
		f := Fingerprint(item.GetFingerprint())
		at := now.Add(-time.Duration(item.GetAgeMillis()) * time.Millisecond)
		switch {
		case item.GetCleared():
			s.table.RecordSuccess(now, f, at)
		case item.GetRefusedMillis() > 0:
			s.table.RecordRefusal(now, f, time.Duration(item.GetRefusedMillis())*time.Millisecond, item.GetHomeRegions())
		default:
			loss := Loss{item.GetUpstream(), item.GetDomain(), at}
			s.table.RecordLoss(now, f, loss, item.GetHomeRegions())
			s.confirmRemoteLoss(now, loss)
		}
	}
	s.recordCount.Store(int64(s.table.Len()))
	return &peerpb.LimitsAck{}, nil
}

// Run sends reports and removes expired records until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	defer s.calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-s.events:
			s.sendAll(ctx, s.drain(e))
		case now := <-ticker.C:
			s.expire(now)
			s.syncNewInstances(ctx)
		}
	}
}

func (s *Service) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Expire(now)
	s.recordCount.Store(int64(s.table.Len()))
}

// drain collects all queued events, so that the events of one loss are sent in one report.
func (s *Service) drain(first event) []event {
	events := []event{first}
	for len(events) < maxItems {
		select {
		case e := <-s.events:
			events = append(events, e)
		default:
			return events
		}
	}
	return events
}

// sendAll sends each event only to the instances in its home regions.
func (s *Service) sendAll(ctx context.Context, events []event) {
	now := time.Now()
	batches := make(map[peer.InstanceID][]*peerpb.QuarantineItem)
	for _, e := range events {
		for _, to := range s.InstancesIn(e.homeRegions) {
			if to != s.Transport.Self() {
				batches[to] = append(batches[to], newItem(now, e))
			}
		}
	}
	for to, items := range batches {
		s.send(ctx, to, items)
	}
}

func newItem(now time.Time, e event) *peerpb.QuarantineItem {
	return &peerpb.QuarantineItem{
		Fingerprint: e.f[:], Upstream: e.loss.Upstream, Domain: e.loss.Domain, Cleared: e.cleared,
		AgeMillis: uint32(max(0, now.Sub(e.loss.At)/time.Millisecond)), HomeRegions: e.homeRegions,
	}
}

func (s *Service) send(ctx context.Context, to peer.InstanceID, items []*peerpb.QuarantineItem) {
	s.calls.Add(1)
	go func() {
		defer s.calls.Done()
		for range maxAttempts {
			callCtx, cancel := context.WithTimeout(ctx, sendTimeout)
			err := s.Transport.Call(callCtx, to, ServiceReport, &peerpb.QuarantineReport{Items: items}, &peerpb.LimitsAck{})
			cancel()
			if err == nil || ctx.Err() != nil {
				return
			}
			s.Log.V(1).Info("failed to send a quarantine report", "instance", to, "error", err.Error())
		}
	}()
}

// syncNewInstances sends the losses and refusals to instances that have joined since
// the last call. For each new instance, two of the others, chosen by hash, do so.
func (s *Service) syncNewInstances(ctx context.Context) {
	present := s.InstancesIn(nil)
	before := s.knownInstances
	s.knownInstances = make(map[peer.InstanceID]bool, len(present))
	for _, id := range present {
		s.knownInstances[id] = true
	}
	for _, id := range present {
		if before == nil || before[id] || id == s.Transport.Self() || !s.isSyncSender(id, present) {
			continue
		}
		if items := s.itemsFor(id); len(items) > 0 {
			s.send(ctx, id, items)
		}
	}
}

func (s *Service) isSyncSender(id peer.InstanceID, present []peer.InstanceID) bool {
	rank := func(other peer.InstanceID) uint64 { return xxhash.Sum64String(string(id) + "\x00" + string(other)) }
	candidates := slices.DeleteFunc(slices.Clone(present), func(other peer.InstanceID) bool {
		return other == id || other == s.Transport.Self()
	})
	candidates = append(candidates, s.Transport.Self())
	slices.SortFunc(candidates, func(a, b peer.InstanceID) int { return cmp.Compare(rank(a), rank(b)) })
	return slices.Contains(candidates[:min(syncSenders, len(candidates))], s.Transport.Self())
}

// itemsFor returns the losses and refusals of requests whose home regions include the instance.
func (s *Service) itemsFor(id peer.InstanceID) []*peerpb.QuarantineItem {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var items []*peerpb.QuarantineItem
	now := time.Now()
	for f, r := range s.table.records {
		if !slices.Contains(s.InstancesIn(r.homeRegions), id) {
			continue
		}
		for _, l := range r.losses {
			items = append(items, newItem(now, event{f: f, loss: l, homeRegions: r.homeRegions}))
		}
		if rest := r.refusedUntil.Sub(now); rest > 0 {
			items = append(items, &peerpb.QuarantineItem{
				Fingerprint: bytes.Clone(f[:]), HomeRegions: r.homeRegions, RefusedMillis: uint32(min(rest/time.Millisecond, math.MaxUint32)),
			})
		}
	}
	return items[:min(len(items), maxItems)]
}
