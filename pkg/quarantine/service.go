package quarantine

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
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
	// maxItems bounds the items of a report.
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
	id           uint64 // the same at all instances
	f            Fingerprint
	loss         Loss
	cleared      bool
	refusedUntil time.Time
	homeRegions  []string
	from         peer.InstanceID // the instance that reported it, if another one did
	learned      time.Time
}

// Service holds the table of this instance and exchanges events with other instances.
type Service struct {
	Config
	hasher      *Hasher
	recordCount atomic.Int64
	wake        chan struct{} // receives a value when there may be something to send
	changed     chan struct{}
	calls       sync.WaitGroup
	failures    failureRun

	mu       sync.RWMutex
	table    *Table
	watchers map[Upstream]*Watcher
	lost     map[uint64]time.Time // lost upstreams, by hash
	outbox   *outbox
	homes    map[string][]string // the home regions of events, by their key
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
		Config: c, hasher: hasher, wake: make(chan struct{}, 1), changed: make(chan struct{}, 1),
		table: NewTable(c.Settings), watchers: make(map[Upstream]*Watcher), lost: make(map[uint64]time.Time),
		outbox: newOutbox(c.Settings.SuspectTime.Std(), c.Forward), homes: map[string][]string{},
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

// holdInterval is the time between two looks at the verdict on a request that is held.
const holdInterval = 20 * time.Millisecond

// Decide returns the verdict on a request, which waits for it while it is held. It is Refuse if ctx ends meanwhile.
func (s *Service) Decide(ctx context.Context, r Request) Verdict {
	for {
		v := s.Admit(time.Now(), r)
		if v != Hold {
			return v
		}
		select {
		case <-ctx.Done():
			return Refuse
		case <-time.After(holdInterval):
		}
	}
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
		if !until.After(now) {
			continue
		}
		id := recordedID(f, until)
		known := s.outbox.known(now, id, "")
		news := s.table.RecordRefusal(now, f, until.Sub(now), nil)
		if news {
			s.Log.Info("request refused, as recorded", "fingerprint", f.Short(), "until", until)
		}
		switch {
		case known:
		case news && s.Forward:
			s.enqueue(now, event{id: id, f: f, refusedUntil: until})
		default:
			s.outbox.see(now, id)
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
	if !s.table.Known(f) {
		return
	}
	news := s.table.RecordSuccess(now, f, now, home)
	record := s.table.records[f]
	if record.clearedAt.Equal(now) {
		record.clearedBy = rand.Uint64() | 1
	}
	if news {
		s.enqueue(now, event{id: record.clearedBy, f: f, loss: Loss{At: now}, cleared: true, homeRegions: home})
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
			s.enqueue(now, event{f: suspect.Fingerprint, loss: loss, homeRegions: suspect.Home})
		}
	}
}

// countLoss counts a loss against a fingerprint and reports whether it is news. The caller holds mu.
func (s *Service) countLoss(now time.Time, f Fingerprint, l Loss, home []string) bool {
	refused := now.Before(s.table.RefusedUntil(f))
	news := s.table.RecordLoss(now, f, l, home)
	if until := s.table.RefusedUntil(f); !refused && now.Before(until) {
		s.Log.Info("request refused from now on", "fingerprint", f.Short(), "losses", len(s.table.records[f].losses), "until", until)
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

// recordedID returns the ID of a refusal in the store, which is the same at all instances that read it.
func recordedID(f Fingerprint, until time.Time) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%x recorded %d", f, until.UnixMilli())) | 1
}

// enqueue hands an event to the outbox. The caller holds mu.
func (s *Service) enqueue(now time.Time, e event) {
	if key := homeKey(e.homeRegions); len(e.homeRegions) > 0 && s.homes[key] == nil {
		s.homes[key] = e.homeRegions
	}
	s.outbox.add(now, e)
	s.signal()
}

func homeKey(regions []string) string { return strings.Join(regions, "\x00") }

// signal makes Run look for something to send.
func (s *Service) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Service) handle(ctx context.Context, from peer.InstanceID, data []byte) (proto.Message, error) {
	// The ages in a report that waited, as while this instance was frozen, are too low by that time. A loss would be
	// taken for a later one. The sender sends them again.
	if err := ctx.Err(); err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "the quarantine report came too late", "send it again with the present ages")
	}
	var report peerpb.QuarantineReport
	if err := proto.Unmarshal(data, &report); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "the quarantine report cannot be decoded", "check the release of the calling instance")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.outbox.heard(now, from)
	for _, item := range report.Items[:min(len(report.Items), maxItems)] {
		if len(item.GetFingerprint()) != len(Fingerprint{}) {
			continue
		}
		news := false
		if id := item.GetEvent(); id == 0 || !s.outbox.known(now, id, from) {
			e := eventOf(now, item, from)
			if news = s.take(now, e); news {
				s.enqueue(now, e)
			} else {
				s.outbox.see(now, id)
			}
		}
		countReceived(item, news)
	}
	s.update()
	return &peerpb.LimitsAck{}, nil
}

func eventOf(now time.Time, item *peerpb.QuarantineItem, from peer.InstanceID) event {
	at := now.Add(-time.Duration(item.GetAgeMillis()) * time.Millisecond)
	e := event{id: item.GetEvent(), f: Fingerprint(item.GetFingerprint()), homeRegions: item.GetHomeRegions(), from: from}
	switch kindOf(item) {
	case kindClear:
		e.cleared, e.loss.At = true, at
	case kindRefusal:
		e.refusedUntil = now.Add(time.Duration(item.GetRefusedMillis()) * time.Millisecond)
	default:
		e.loss = Loss{Upstream: item.GetUpstream(), Domain: item.GetDomain(), At: at}
		if ran := item.GetRanMillis(); ran > 0 {
			e.loss.Began = at.Add(-time.Duration(ran) * time.Millisecond)
		}
	}
	return e
}

// take applies an event of another instance and reports whether it is news. The caller holds mu.
func (s *Service) take(now time.Time, e event) (news bool) {
	switch {
	case e.cleared:
		if r := s.table.records[e.f]; r != nil && r.clearedBy == e.id && e.id != 0 {
			return false // the same answer, whose time is later by the latency of its reports
		}
		news = s.table.RecordSuccess(now, e.f, e.loss.At, e.homeRegions)
		if r := s.table.records[e.f]; r != nil && r.clearedAt.Equal(e.loss.At) {
			r.clearedBy = e.id
		}
		return news
	case !e.refusedUntil.IsZero():
		if news = s.table.RecordRefusal(now, e.f, e.refusedUntil.Sub(now), e.homeRegions); news {
			s.Log.Info("request refused, as another instance reported", "fingerprint", e.f.Short(), "instance", e.from)
		}
		return news
	}
	if now.Sub(e.loss.At) < lostTime {
		s.lost[e.loss.Upstream] = e.loss.At
	}
	news = s.countLoss(now, e.f, e.loss, e.homeRegions)
	s.confirmRemoteLoss(now, e.loss)
	return news
}

// Run sends reports and removes expired records until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	again := time.NewTimer(stepInterval)
	defer again.Stop()
	defer s.calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			s.expire(now)
			s.failures.log(now, s.Log)
		case <-s.wake:
		case <-s.Appeared:
		case <-again.C:
		}
		if wait := s.sendDue(ctx); wait > 0 {
			again.Reset(wait)
		}
	}
}

func (s *Service) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Expire(now)
	s.outbox.expire(now)
	s.expireHomes()
	maps.DeleteFunc(s.watchers, func(_ Upstream, w *Watcher) bool { return w.idle(now) })
	maps.DeleteFunc(s.lost, func(_ uint64, at time.Time) bool { return now.Sub(at) > lostTime })
	s.update()
}

// expireHomes forgets home regions that no event names any more. The caller holds mu.
func (s *Service) expireHomes() {
	if len(s.homes) == 0 {
		return
	}
	used := map[string]bool{}
	for _, e := range s.outbox.events {
		used[homeKey(e.homeRegions)] = true
	}
	for _, r := range s.table.records {
		used[homeKey(r.homeRegions)] = true
	}
	maps.DeleteFunc(s.homes, func(key string, _ []string) bool { return !used[key] })
}

// audience holds the instances in home regions, by the key of the regions.
type audience map[string]map[peer.InstanceID]bool

// has reports whether an instance is in the regions, and whether these regions were looked up.
func (a audience) has(regions []string, id peer.InstanceID) (in, known bool) {
	if len(regions) == 0 {
		return true, true
	}
	ids, known := a[homeKey(regions)]
	return ids[id], known
}

// audience looks up the instances in all home regions that events have named. InstancesIn is called without holding mu.
func (s *Service) audience() audience {
	s.mu.RLock()
	homes := maps.Clone(s.homes)
	s.mu.RUnlock()
	a := audience{}
	for key, regions := range homes {
		a[key] = map[peer.InstanceID]bool{}
		for _, id := range s.InstancesIn(regions) {
			a[key][id] = true
		}
	}
	return a
}

// sendDue starts the calls that are due and returns after which time to look again, or 0.
func (s *Service) sendDue(ctx context.Context) time.Duration {
	if s.Transport == nil {
		return 0
	}
	present := slices.DeleteFunc(slices.Clone(s.InstancesIn(nil)), func(id peer.InstanceID) bool { return id == s.Transport.Self() })
	homes := s.audience()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.outbox.setPresent(now, present, func(id peer.InstanceID) bool { return s.Forward || s.isSyncSender(id, present) })
	ids, wait := s.outbox.due(now)
	for _, id := range ids {
		if left := s.outbox.allowed(now); left > 0 {
			return shorter(wait, left)
		}
		s.sendTo(ctx, now, id, homes)
	}
	return wait
}

// sendTo starts a call with what a contact has not got. The caller holds mu.
func (s *Service) sendTo(ctx context.Context, now time.Time, to peer.InstanceID, homes audience) {
	c := s.outbox.contacts[to]
	positions := s.outbox.collect(c, maxItems/2, func(e event) (send, known bool) {
		in, known := homes.has(e.homeRegions, to)
		return in && s.inForce(now, e), known
	})
	report := &peerpb.QuarantineReport{Items: s.recentAnswers(now, positions)}
	for _, p := range positions {
		report.Items = append(report.Items, newItem(now, s.outbox.at(p)))
	}
	refusals := c.refusals && len(report.Items) < maxItems
	if refusals {
		c.refusals = false
		for _, e := range s.refusalsFor(now, to, homes, maxItems-len(report.Items)) {
			report.Items = append(report.Items, newItem(now, e))
		}
	}
	if len(report.Items) == 0 {
		return
	}
	s.outbox.called(now, c, proto.Size(report))
	s.calls.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, sendTimeout)
		defer cancel()
		err := s.Transport.Call(callCtx, to, ServiceReport, report, &peerpb.LimitsAck{})
		countSent(report.Items)
		gone := errors.Is(err, peer.ErrOtherIncarnation)
		switch {
		case err == nil:
			callsAnswered.Inc()
		case gone:
			callsReplaced.Inc()
		default:
			callsFailed.Inc()
		}
		ended := time.Now()
		if err != nil && ctx.Err() == nil {
			s.failures.add(ended, to, err)
		}
		s.mu.Lock()
		if err == nil {
			c.succeeded()
		} else {
			c.failed(ended, positions, refusals, gone, rand.Float64())
		}
		waiting := s.outbox.waiting(c)
		s.mu.Unlock()
		if waiting {
			s.signal()
		}
	})
}

// repeatTime is how long an answer is repeated with each report of a loss: the call with the answer may have failed.
const repeatTime = 5 * time.Second

// recentAnswers returns the latest answers, one for a loss at most, to the requests whose losses are reported, so that a loss
// does not arrive before an answer that precedes it and count together with the losses that the answer clears. The caller
// holds mu.
func (s *Service) recentAnswers(now time.Time, positions []int64) (items []*peerpb.QuarantineItem) {
	seen := map[Fingerprint]bool{}
	for _, p := range positions {
		e := s.outbox.at(p)
		r := s.table.records[e.f]
		if e.cleared || !e.refusedUntil.IsZero() || r == nil || seen[e.f] {
			continue
		}
		seen[e.f] = true
		if age(now, r.clearedAt) < repeatTime {
			items = append(items, newItem(now, event{id: r.clearedBy, f: e.f, loss: Loss{At: r.clearedAt}, cleared: true, homeRegions: r.homeRegions}))
		}
	}
	return items
}

// inForce reports whether an event still says something: it is not if the request was answered since.
func (s *Service) inForce(now time.Time, e event) bool {
	r := s.table.records[e.f]
	switch {
	case !e.refusedUntil.IsZero():
		return now.Before(e.refusedUntil) && r != nil && now.Before(r.refusedUntil)
	case e.cleared:
		return r != nil
	}
	return r != nil && e.loss.At.After(r.clearedAt) && e.loss.Upstream != unknownUpstream
}

// refusalsFor returns the refusals in force whose home regions include the instance: the losses that led to them may be
// too old to count there. The caller holds mu.
func (s *Service) refusalsFor(now time.Time, to peer.InstanceID, homes audience, limit int) (events []event) {
	for f, r := range s.table.records {
		in, _ := homes.has(r.homeRegions, to)
		if in && r.settled(now) && len(events) < limit {
			id := xxhash.Sum64String(fmt.Sprintf("%x refused %s %d", f, s.Transport.Self(), r.refusedAt.UnixNano())) | 1
			events = append(events, event{id: id, f: f, refusedUntil: r.refusedUntil, homeRegions: r.homeRegions})
		}
	}
	return events
}

// age returns how long ago an event was. The monotonic clock stands still while the process is frozen and the wall
// clock does not, so the longer of the two is taken: an event whose age is too low would count as a later one elsewhere.
func age(now, at time.Time) time.Duration { return max(now.Sub(at), now.Round(0).Sub(at.Round(0))) }

func newItem(now time.Time, e event) *peerpb.QuarantineItem {
	item := &peerpb.QuarantineItem{Fingerprint: e.f[:], HomeRegions: e.homeRegions, Event: e.id}
	if !e.refusedUntil.IsZero() {
		item.RefusedMillis = millis(e.refusedUntil.Sub(now))
		return item
	}
	item.Upstream, item.Domain, item.Cleared, item.AgeMillis = e.loss.Upstream, e.loss.Domain, e.cleared, millis(age(now, e.loss.At))
	if !e.loss.Began.IsZero() {
		item.RanMillis = max(millis(e.loss.At.Sub(e.loss.Began)), 1)
	}
	return item
}

func millis(d time.Duration) uint32 { return uint32(min(max(0, d/time.Millisecond), math.MaxUint32)) }

// isSyncSender reports whether this instance is one of the two, chosen by hash, that tell a new one all that is known
// where reports are not forwarded.
func (s *Service) isSyncSender(id peer.InstanceID, present []peer.InstanceID) bool {
	rank := func(other peer.InstanceID) uint64 { return xxhash.Sum64String(string(id) + "\x00" + string(other)) }
	candidates := slices.DeleteFunc(slices.Clone(present), func(other peer.InstanceID) bool {
		return other == id || other == s.Transport.Self()
	})
	candidates = append(candidates, s.Transport.Self())
	slices.SortFunc(candidates, func(a, b peer.InstanceID) int { return cmp.Compare(rank(a), rank(b)) })
	return slices.Contains(candidates[:min(syncSenders, len(candidates))], s.Transport.Self())
}
