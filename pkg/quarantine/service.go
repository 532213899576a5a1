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

// ServiceReport is the peer service that takes quarantine reports.
const ServiceReport = "quarantine.report"

const (
	stepInterval = time.Second
	// sendTimeout bounds a report; it is sent attempts times before it is given up.
	sendTimeout = time.Second
	attempts    = 3
	// maxItems bounds a report and the events that wait to be sent.
	maxItems = 1024
	// introducers is the number of instances that tell a new one what is refused.
	introducers = 2
)

// Upstream names an upstream with its failure domain.
type Upstream struct {
	Pool          string
	ID            string
	FailureDomain string
}

// Config is what a service depends on.
type Config struct {
	Transport peer.Transport
	// Audience returns the other instances in the given regions; all for an empty list.
	Audience func(regions []string) []peer.InstanceID
	Settings Settings
	Log      logr.Logger
}

// event is an item that goes to the instances in its home regions.
type event struct {
	f       Fingerprint
	loss    Loss
	cleared bool
	home    []string
}

// Service keeps the table of this instance and shares events with others.
type Service struct {
	Config
	hasher *Hasher
	kept   atomic.Int64
	events chan event
	calls  sync.WaitGroup

	mu       sync.RWMutex
	table    *Table
	watchers map[Upstream]*Watcher
	peers    map[peer.InstanceID]bool
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

// Admit returns the verdict on a request. While nothing is kept it costs one
// atomic load and hashes nothing.
func (s *Service) Admit(now time.Time, r Request) Verdict {
	if s.kept.Load() == 0 {
		return Run
	}
	f := s.hasher.Fingerprint(r)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.table.Admit(now, f)
}

// LostWith returns those of the upstreams that were lost while they ran the request.
func (s *Service) LostWith(r Request, among []Upstream) (lost []Upstream) {
	f := s.hasher.Fingerprint(r)
	s.mu.RLock()
	defer s.mu.RUnlock()
	if !s.table.Known(f) {
		return nil
	}
	for _, u := range among {
		if s.table.lostWith(f, s.nameOf(u)) {
			lost = append(lost, u)
		}
	}
	return lost
}

// Refusal is the error for a request with the verdict Refuse.
func Refusal() error {
	return fault.New(fault.Refused, "two upstreams were lost while they ran this request", "do not repeat the request; report it to the operators of the service")
}

// Ended tells how a request at an upstream ended. home are the home regions of its route.
func (s *Service) Ended(now time.Time, u Upstream, r Request, end End, home []string) {
	switch end {
	case Answered:
		s.answered(now, r, home)
	case Cut:
		f := s.hasher.Fingerprint(r)
		s.watch(now, u, func(w *Watcher) []Suspect { return w.Cut(now, f, home) })
	}
}

func (s *Service) answered(now time.Time, r Request, home []string) {
	if s.kept.Load() == 0 {
		return
	}
	f := s.hasher.Fingerprint(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.Known(f) && s.table.Cleared(now, f, now) {
		s.share(event{f: f, loss: Loss{At: now}, cleared: true, home: home})
	}
}

// Unreachable tells that a connection to an upstream was refused.
func (s *Service) Unreachable(now time.Time, u Upstream) {
	s.watch(now, u, func(w *Watcher) []Suspect { return w.Unreachable(now) })
}

// Started tells the start ID of an answer. Callers need to call it only when the ID changes.
func (s *Service) Started(now time.Time, u Upstream, startID string) {
	s.watch(now, u, func(w *Watcher) []Suspect { return w.Start(now, startID) })
}

// Forget drops the watcher of an upstream that no longer exists.
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
	s.suspect(now, u, observe(w))
	s.kept.Store(int64(s.table.Len()))
}

// suspect notes the loss of an upstream for the requests that it cut; the caller holds mu.
func (s *Service) suspect(now time.Time, u Upstream, suspects []Suspect) {
	loss := Loss{Upstream: s.nameOf(u), Domain: s.hasher.name("domain", u.FailureDomain, ""), At: now}
	for _, suspect := range suspects {
		if s.table.Lost(now, suspect.Fingerprint, loss, suspect.Home) {
			s.share(event{f: suspect.Fingerprint, loss: loss, home: suspect.Home})
		}
	}
}

func (s *Service) nameOf(u Upstream) uint64 { return s.hasher.name("upstream", u.Pool, u.ID) }

// lostElsewhere confirms the requests that this instance saw cut by an upstream
// that another instance has found lost. Alone, an instance with a single cut
// request would drop it as a fault of its connection. The caller holds mu.
func (s *Service) lostElsewhere(now time.Time, loss Loss) {
	for u, w := range s.watchers {
		if s.nameOf(u) == loss.Upstream {
			s.suspect(now, u, w.LostElsewhere(now, loss.At))
		}
	}
}

func (s *Service) share(e event) {
	select {
	case s.events <- e:
	default:
		s.Log.Info("too many quarantine events wait to be sent; one was dropped")
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
			s.table.Cleared(now, f, at)
		case item.GetRefusedMillis() > 0:
			s.table.Refused(now, f, time.Duration(item.GetRefusedMillis())*time.Millisecond, item.GetHomeRegions())
		default:
			loss := Loss{item.GetUpstream(), item.GetDomain(), at}
			s.table.Lost(now, f, loss, item.GetHomeRegions())
			s.lostElsewhere(now, loss)
		}
	}
	s.kept.Store(int64(s.table.Len()))
	return &peerpb.LimitsAck{}, nil
}

// Run sends reports and drops what has expired, until ctx ends.
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
			s.step(now)
			s.introduce(ctx)
		}
	}
}

func (s *Service) step(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Step(now)
	s.kept.Store(int64(s.table.Len()))
}

// drain collects the events that wait, so that one loss makes one report.
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

// sendAll sends each event to the instances in its own home regions only.
func (s *Service) sendAll(ctx context.Context, events []event) {
	now := time.Now()
	batches := make(map[peer.InstanceID][]*peerpb.QuarantineItem)
	for _, e := range events {
		for _, to := range s.Audience(e.home) {
			if to != s.Transport.Self() {
				batches[to] = append(batches[to], itemOf(now, e))
			}
		}
	}
	for to, items := range batches {
		s.send(ctx, to, items)
	}
}

func itemOf(now time.Time, e event) *peerpb.QuarantineItem {
	return &peerpb.QuarantineItem{
		Fingerprint: e.f[:], Upstream: e.loss.Upstream, Domain: e.loss.Domain, Cleared: e.cleared,
		AgeMillis: uint32(max(0, now.Sub(e.loss.At)/time.Millisecond)), HomeRegions: e.home,
	}
}

func (s *Service) send(ctx context.Context, to peer.InstanceID, items []*peerpb.QuarantineItem) {
	s.calls.Add(1)
	go func() {
		defer s.calls.Done()
		for range attempts {
			callCtx, cancel := context.WithTimeout(ctx, sendTimeout)
			err := s.Transport.Call(callCtx, to, ServiceReport, &peerpb.QuarantineReport{Items: items}, &peerpb.LimitsAck{})
			cancel()
			if err == nil || ctx.Err() != nil {
				return
			}
			s.Log.V(1).Info("a quarantine report was not taken", "instance", to, "error", err.Error())
		}
	}()
}

// introduce tells instances that were not there before what is kept. Two of the
// others do it for each new one, chosen by hash.
func (s *Service) introduce(ctx context.Context) {
	present := s.Audience(nil)
	before := s.peers
	s.peers = make(map[peer.InstanceID]bool, len(present))
	for _, id := range present {
		s.peers[id] = true
	}
	for _, id := range present {
		if before == nil || before[id] || id == s.Transport.Self() || !s.introduces(id, present) {
			continue
		}
		if items := s.itemsFor(id); len(items) > 0 {
			s.send(ctx, id, items)
		}
	}
}

func (s *Service) introduces(id peer.InstanceID, present []peer.InstanceID) bool {
	rank := func(other peer.InstanceID) uint64 { return xxhash.Sum64String(string(id) + "\x00" + string(other)) }
	candidates := slices.DeleteFunc(slices.Clone(present), func(other peer.InstanceID) bool {
		return other == id || other == s.Transport.Self()
	})
	candidates = append(candidates, s.Transport.Self())
	slices.SortFunc(candidates, func(a, b peer.InstanceID) int { return cmp.Compare(rank(a), rank(b)) })
	return slices.Contains(candidates[:min(introducers, len(candidates))], s.Transport.Self())
}

// itemsFor lists the losses that an instance may know.
func (s *Service) itemsFor(id peer.InstanceID) []*peerpb.QuarantineItem {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var items []*peerpb.QuarantineItem
	now := time.Now()
	for f, r := range s.table.records {
		if !slices.Contains(s.Audience(r.home), id) {
			continue
		}
		for _, l := range r.losses {
			items = append(items, itemOf(now, event{f: f, loss: l, home: r.home}))
		}
		if rest := r.refusedUntil.Sub(now); rest > 0 {
			items = append(items, &peerpb.QuarantineItem{
				Fingerprint: bytes.Clone(f[:]), HomeRegions: r.home, RefusedMillis: uint32(min(rest/time.Millisecond, math.MaxUint32)),
			})
		}
	}
	return items[:min(len(items), maxItems)]
}
