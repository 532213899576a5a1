package quarantine

import (
	"cmp"
	"context"
	"maps"
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
	// lostTime is how long a lost upstream is not among those that a suspect is confined to.
	lostTime = 5 * time.Second
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
	// Forward is set if InstancesIn does not return every other instance. What is new to this instance is then
	// passed on, and each instance that appears is told all that this one knows.
	Forward bool
	// Appeared, if it is set, receives a value when InstancesIn returns an instance that it did not return before, so
	// that this one is told at once what is known.
	Appeared <-chan struct{}
	Settings Settings
	Log      logr.Logger
}

// event is a loss, a successful response or a refusal to be sent to the instances in the home regions.
type event struct {
	f            Fingerprint
	loss         Loss
	cleared      bool
	refusedUntil time.Time
	homeRegions  []string
	from         peer.InstanceID // the instance that reported it, if another one did
}

// contact is what this instance has told another one.
type contact struct {
	informed bool // of all that this instance knew
	calling  bool
}

// Service holds the table of this instance and exchanges events with other instances.
type Service struct {
	Config
	hasher      *Hasher
	recordCount atomic.Int64
	events      chan event
	changed     chan struct{}
	calls       sync.WaitGroup
	failures    failureRun

	mu       sync.RWMutex
	table    *Table
	watchers map[Upstream]*Watcher
	lost     map[uint64]time.Time // lost upstreams, by hash
	contacts map[peer.InstanceID]*contact
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
		Config: c, hasher: hasher, events: make(chan event, maxItems), changed: make(chan struct{}, 1),
		table: NewTable(c.Settings), watchers: make(map[Upstream]*Watcher), lost: make(map[uint64]time.Time), contacts: make(map[peer.InstanceID]*contact),
	}
	if c.Transport != nil {
		c.Transport.Handle(ServiceReport, s.handle)
	}
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

// Confine returns those of the upstreams to which a suspect is not sent: it is confined to Settings.Confine of the
// others, the same at all instances that know the same upstreams. Without such a setting it returns none.
func (s *Service) Confine(r Request, among []Upstream) (others []Upstream) {
	if s.Settings.Confine == 0 {
		return nil
	}
	f := s.hasher.Fingerprint(r)
	rank := func(u Upstream) uint64 { return s.hasher.hash64("rank", string(f[:]), u.ID) }
	byRank := func(a, b Upstream) int { return cmp.Compare(rank(a), rank(b)) }
	now := time.Now()
	var live, lost []Upstream
	s.mu.RLock()
	for _, u := range among {
		h := s.upstreamHash(u)
		if s.table.hasLossOf(f, h) || now.Sub(s.lost[h]) < lostTime {
			lost = append(lost, u)
		} else {
			live = append(live, u)
		}
	}
	s.mu.RUnlock()
	slices.SortFunc(live, byRank)
	slices.SortFunc(lost, byRank)
	return slices.Concat(live, lost)[min(s.Settings.Confine, len(among)):]
}

// RefusedUntil returns until when a request is refused, or a time in the past.
func (s *Service) RefusedUntil(r Request) time.Time {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.table.RefusedUntil(s.hasher.Fingerprint(r))
}

// Refusals returns the refusals in force.
func (s *Service) Refusals(now time.Time) map[Fingerprint]time.Time {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.table.Refusals(now)
}

// AddRefusals records refusals that were kept elsewhere.
func (s *Service) AddRefusals(now time.Time, refused map[Fingerprint]time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f, until := range refused {
		if until.After(now) && s.table.RecordRefusal(now, f, until.Sub(now), nil) {
			s.Log.Info("request refused, as recorded", "fingerprint", f.Short(), "until", until)
			s.forward(event{f: f, refusedUntil: until})
		}
	}
	s.update()
}

// Changed returns a channel that receives a value after the refusals may have changed.
func (s *Service) Changed() <-chan struct{} { return s.changed }

// update publishes changes of the table. The caller holds mu.
func (s *Service) update() {
	s.recordCount.Store(int64(s.table.Len()))
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Refusal returns the error for a request with the verdict Refuse.
func Refusal() error {
	return fault.New(fault.Refused, "several upstreams were lost while they ran this request", "do not repeat the request; report it to the operators of the service")
}

// RecordOutcome records how a request that began to run at an upstream at the given time has ended. home holds the
// home regions of its route.
func (s *Service) RecordOutcome(now, began time.Time, u Upstream, r Request, end Outcome, home []string) {
	switch end {
	case Completed:
		s.recordSuccess(now, r, home)
	case Cut:
		f := s.hasher.Fingerprint(r)
		s.watch(now, u, func(w *Watcher) []Suspect { return w.RecordCut(now, began, f, home) })
	}
}

func (s *Service) recordSuccess(now time.Time, r Request, home []string) {
	if s.recordCount.Load() == 0 {
		return
	}
	f := s.hasher.Fingerprint(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.Known(f) && s.table.RecordSuccess(now, f, now, home) {
		s.enqueue(event{f: f, loss: Loss{At: now}, cleared: true, homeRegions: home})
		s.update()
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
		w.hash = s.upstreamHash(u)
		s.watchers[u] = w
	}
	s.recordLoss(now, u, observe(w))
	s.update()
}

// recordLoss records the loss of an upstream against the requests that it cut. The caller holds mu.
func (s *Service) recordLoss(now time.Time, u Upstream, suspects []Suspect) {
	if len(suspects) == 0 {
		return
	}
	loss := Loss{Upstream: s.watchers[u].hash, Domain: s.hasher.hash64("domain", u.FailureDomain, "")}
	s.lost[loss.Upstream] = now
	for _, suspect := range suspects {
		loss.At, loss.Began = suspect.CutAt, suspect.Began
		s.Log.Info("request cut by the loss of an upstream", "fingerprint", suspect.Fingerprint.Short(), "upstream", u.ID, "ran", suspect.CutAt.Sub(suspect.Began).String())
		if s.countLoss(now, suspect.Fingerprint, loss, suspect.Home) {
			s.enqueue(event{f: suspect.Fingerprint, loss: loss, homeRegions: suspect.Home})
		}
	}
}

// countLoss counts a loss against a fingerprint and reports whether it is news. The caller holds mu.
func (s *Service) countLoss(now time.Time, f Fingerprint, l Loss, home []string) bool {
	before := s.table.Admit(now, f)
	news := s.table.RecordLoss(now, f, l, home)
	if before != Refuse && s.table.Admit(now, f) == Refuse {
		s.Log.Info("request refused from now on", "fingerprint", f.Short(), "losses", len(s.table.records[f].losses), "until", s.table.RefusedUntil(f))
	}
	return news
}

func (s *Service) upstreamHash(u Upstream) uint64 { return s.hasher.hash64("upstream", u.Pool, u.ID) }

// confirmRemoteLoss turns the cut requests of this instance into suspects when
// another instance reports the loss of their upstream. Without that report, a
// single cut request would be dropped as a connection fault. The caller holds mu.
func (s *Service) confirmRemoteLoss(now time.Time, loss Loss) {
	for u, w := range s.watchers {
		if w.hash == loss.Upstream {
			s.recordLoss(now, u, w.RecordRemoteLoss(now, loss.At))
		}
	}
}

// enqueue queues an event for the other instances. If the queue is full, they are told all that is known instead. The
// caller holds mu.
func (s *Service) enqueue(e event) {
	select {
	case s.events <- e:
	default:
		for _, c := range s.contacts {
			c.informed = false
		}
	}
}

// forward passes on what is new to this instance. The caller holds mu.
func (s *Service) forward(e event) {
	if s.Forward {
		s.enqueue(e)
	}
}

func (s *Service) handle(_ context.Context, from peer.InstanceID, data []byte) (proto.Message, error) {
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
		e := event{f: f, homeRegions: item.GetHomeRegions(), from: from}
		news := false
		switch {
		case item.GetCleared():
			e.cleared, e.loss.At = true, at
			if news = s.table.RecordSuccess(now, f, at, item.GetHomeRegions()); news {
				s.forward(e)
			}
		case item.GetRefusedMillis() > 0:
			rest := time.Duration(item.GetRefusedMillis()) * time.Millisecond
			e.refusedUntil = now.Add(rest)
			if news = s.table.RecordRefusal(now, f, rest, item.GetHomeRegions()); news {
				s.Log.Info("request refused, as another instance reported", "fingerprint", f.Short(), "instance", from)
				s.forward(e)
			}
		default:
			e.loss = Loss{Upstream: item.GetUpstream(), Domain: item.GetDomain(), At: at}
			if ran := item.GetRanMillis(); ran > 0 {
				e.loss.Began = at.Add(-time.Duration(ran) * time.Millisecond)
			}
			if now.Sub(at) < lostTime {
				s.lost[e.loss.Upstream] = at
			}
			if news = s.countLoss(now, f, e.loss, item.GetHomeRegions()); news {
				s.forward(e)
			}
			s.confirmRemoteLoss(now, e.loss)
		}
		countReceived(item, news)
	}
	s.update()
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
			s.failures.log(now, s.Log)
			s.informContacts(ctx)
		case <-s.Appeared:
			s.informContacts(ctx)
		}
	}
}

func (s *Service) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Expire(now)
	maps.DeleteFunc(s.watchers, func(_ Upstream, w *Watcher) bool { return w.idle(now) })
	maps.DeleteFunc(s.lost, func(_ uint64, at time.Time) bool { return now.Sub(at) > lostTime })
	s.update()
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
			if to != s.Transport.Self() && to != e.from {
				batches[to] = append(batches[to], newItem(now, e))
			}
		}
	}
	for to, items := range batches {
		s.send(ctx, to, items, false)
	}
}

func newItem(now time.Time, e event) *peerpb.QuarantineItem {
	item := &peerpb.QuarantineItem{Fingerprint: e.f[:], HomeRegions: e.homeRegions}
	if !e.refusedUntil.IsZero() {
		item.RefusedMillis = millis(e.refusedUntil.Sub(now))
		return item
	}
	item.Upstream, item.Domain, item.Cleared, item.AgeMillis = e.loss.Upstream, e.loss.Domain, e.cleared, millis(now.Sub(e.loss.At))
	if !e.loss.Began.IsZero() {
		item.RanMillis = max(millis(e.loss.At.Sub(e.loss.Began)), 1)
	}
	return item
}

func millis(d time.Duration) uint32 { return uint32(min(max(0, d/time.Millisecond), math.MaxUint32)) }

// send sends items to another instance; all tells that they are all that this one knows. If the call fails, the next
// one sends everything.
func (s *Service) send(ctx context.Context, to peer.InstanceID, items []*peerpb.QuarantineItem, all bool) {
	s.calls.Go(func() {
		var err error
		for chunk := range slices.Chunk(items, maxItems) {
			callCtx, cancel := context.WithTimeout(ctx, sendTimeout)
			err = s.Transport.Call(callCtx, to, ServiceReport, &peerpb.QuarantineReport{Items: chunk}, &peerpb.LimitsAck{})
			cancel()
			countSent(chunk)
			if err != nil {
				callsFailed.Inc()
				break
			}
			callsAnswered.Inc()
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		c := s.contacts[to]
		if c == nil && err != nil {
			c = &contact{}
			s.contacts[to] = c
		}
		if c != nil && all {
			c.calling = false
		}
		if err != nil {
			c.informed = false
			s.failures.add(time.Now(), to, err)
		}
	})
}

// informContacts sends all that is known to instances that lack a report, and to new ones. Unless reports are forwarded,
// two instances, chosen by hash, do so for a new one.
func (s *Service) informContacts(ctx context.Context) {
	if s.Transport == nil {
		return
	}
	present := s.InstancesIn(nil)
	s.mu.Lock()
	maps.DeleteFunc(s.contacts, func(id peer.InstanceID, _ *contact) bool { return !slices.Contains(present, id) })
	var uninformed []peer.InstanceID
	for _, id := range present {
		if id == s.Transport.Self() {
			continue
		}
		c := s.contacts[id]
		if c == nil {
			c = &contact{informed: !s.Forward && !s.isSyncSender(id, present)}
			s.contacts[id] = c
		}
		if !c.informed && !c.calling {
			c.informed, c.calling = true, true
			uninformed = append(uninformed, id)
		}
	}
	s.mu.Unlock()
	for _, id := range uninformed {
		s.send(ctx, id, s.itemsFor(id), true)
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
		if !r.clearedAt.IsZero() {
			items = append(items, newItem(now, event{f: f, loss: Loss{At: r.clearedAt}, cleared: true, homeRegions: r.homeRegions}))
		}
		for _, l := range r.losses {
			if l.Upstream != unknownUpstream {
				items = append(items, newItem(now, event{f: f, loss: l, homeRegions: r.homeRegions}))
			}
		}
		if r.settled(now) {
			items = append(items, newItem(now, event{f: f, refusedUntil: r.refusedUntil, homeRegions: r.homeRegions}))
		}
	}
	return items
}
