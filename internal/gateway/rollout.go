package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/internal/control"
	"github.com/turmericsail/turmericsail/internal/follow"
	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/kernel"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
	"github.com/turmericsail/turmericsail/pkg/rollout"
	"github.com/turmericsail/turmericsail/pkg/store"
	"github.com/turmericsail/turmericsail/pkg/table"
	"github.com/turmericsail/turmericsail/platform"
)

// rolloutPeerService is the peer service to which instances report evidence.
const rolloutPeerService = "rollout.evidence"

const (
	// rolloutTick is the time between two looks at the roll-outs while one runs.
	rolloutTick = 100 * time.Millisecond
	// rolloutIdleTick is the time between two looks while there is none. It adds to the time until the first stage.
	rolloutIdleTick = 250 * time.Millisecond
	// evidenceInterval is the time between two reports of an instance.
	evidenceInterval = 500 * time.Millisecond
	// lateInterval replaces evidenceInterval after the canary stage, where a fault uses up the share of a bad version within a
	// second or two.
	lateInterval = 250 * time.Millisecond
	// reportsPerSecond bounds the reports of all instances to the judge, which may have a ninth of a core. Above 200 instances, 100
	// after the canary stage, each of them reports less often.
	reportsPerSecond = 400
	// evidenceTimeout bounds a report: a few round trips between regions, and some wait at a loaded judge.
	evidenceTimeout = 400 * time.Millisecond
	// judgeCooldown is how long a judge is not called that did not answer.
	judgeCooldown = 2 * time.Second
	// judgeSilence is the time without an answer of any judge after which the instance sends nothing to the target version
	// before the last stage. A bad version must get nothing 5 s after its fiftieth bad answer, also if the judge has died.
	judgeSilence = 2 * time.Second
	// judgeStoreAge is the age of a judge's knowledge of the store above which others get the evidence, too. It is 1.4 s at
	// most while the store answers.
	judgeStoreAge = 2 * time.Second
	// storeContactAge is the age of the knowledge of the store above which the instance has lost contact and keeps its stage.
	storeContactAge = 4 * time.Second
	// swapRetry is the time after which a write to the store is repeated that failed or whose effect is not seen.
	swapRetry = 300 * time.Millisecond
	// swapSeen is the time in which a write that took effect is seen.
	swapSeen = 1500 * time.Millisecond
	// statusRepairDelay is how long a status must differ from the record before it is written again.
	statusRepairDelay = 2 * time.Second
	// coldTime is how long an upstream is taken for cold after its start.
	coldTime = 3 * time.Second
)

// rolloutSource is what the service needs to know of the store and the other instances; *follow.Follower implements it.
type rolloutSource interface {
	Rollouts() map[string]follow.Rollout
	Snapshot() *control.Snapshot
	Granter(region string) (peer.InstanceID, bool)
	Instances() int
	Confirmed() time.Time
}

// rolloutService moves traffic to new versions of services. Each instance splits its own requests by the stage in
// the store and reports evidence; the judge, which is the reader of the first region that has one, decides.
type rolloutService struct {
	cfg       settings.Settings
	log       logr.Logger
	source    rolloutSource
	swapper   store.Swapper
	transport peer.Transport // nil for an instance that is alone
	self      peer.InstanceID
	regions   []string

	mu       sync.Mutex
	services map[string]*rolloutRun
	avoid    map[peer.InstanceID]time.Time // judges that did not answer, until when they are not called
	sides    map[string]*cachedSides       // by pool
}

var (
	_ kernel.Provisioner = (*rolloutService)(nil)
	_ kernel.Runner      = (*rolloutService)(nil)
	_ rolloutSource      = (*follow.Follower)(nil)
)

// rolloutRun is the state of this instance in the latest roll-out of a service.
type rolloutRun struct {
	service    string
	order      uint64
	tracker    *rollout.Tracker
	condemned  bool
	allSeen    time.Time // when the last stage was first seen in the store
	answeredAt time.Time // the latest answer of a judge, or when the roll-out was first seen
	nextReport time.Time
	reporting  bool

	judge        *rollout.Judge // nil while this instance has no evidence of others and is not the judge
	reportedTo   time.Time      // the latest report that this instance received
	writing      bool
	nextWrite    time.Time
	written      bool   // the latest write succeeded
	wrote        uint64 // the revision of the record that it replaced
	mismatchFrom time.Time
	waitReason   string
	fleet        rollout.Fleet
	fleetAt      time.Time
}

// cachedSides are the sides of a pool under certain rules.
type cachedSides struct {
	order  *rollout.Order
	record *rollout.Record
	held   bool
	pool   table.Pool
	rollout.Sides
}

// Provision implements kernel.Provisioner.
func (s *rolloutService) Provision(k *kernel.Kernel) error {
	p, err := kernel.Lookup[*peerService](k, PeerTransport)
	if err != nil {
		return err
	}
	followed, err := kernel.Lookup[*followService](k, ControlFollow)
	if err != nil {
		return err
	}
	var transport peer.Transport
	if p.TCPTransport != nil {
		transport = p.TCPTransport
	}
	s.bind(followed.Follower, platform.NewStore(s.cfg.Platform.Store), transport)
	return nil
}

// bind connects the service to its dependencies and registers its handler.
func (s *rolloutService) bind(source rolloutSource, swapper store.Swapper, transport peer.Transport) {
	s.source, s.swapper, s.transport = source, swapper, transport
	s.services, s.avoid, s.sides = map[string]*rolloutRun{}, map[peer.InstanceID]time.Time{}, map[string]*cachedSides{}
	s.regions = append(slices.Clone(s.cfg.Regions), s.cfg.Region)
	slices.Sort(s.regions)
	s.regions = slices.Compact(s.regions)
	if transport != nil {
		s.self = transport.Self()
		transport.Handle(rolloutPeerService, s.handle)
	}
}

// Run implements kernel.Runner.
func (s *rolloutService) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		for {
			tick := rolloutIdleTick
			if s.step(ctx, g, time.Now()) {
				tick = rolloutTick
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(tick):
			}
		}
	})
	return g.Wait()
}

// step looks at all roll-outs once and reports whether one runs. Calls are made by goroutines of g, since the store and
// other instances may be silent.
func (s *rolloutService) step(ctx context.Context, g *errgroup.Group, now time.Time) (running bool) {
	all := s.source.Rollouts()
	if all == nil {
		return false
	}
	judges := s.judges()
	first := len(judges) > 0 && judges[0] == s.self || s.transport == nil
	s.mu.Lock()
	defer s.mu.Unlock()
	for service, r := range all {
		run := s.run(service, r, now)
		active := r.Record != nil && r.Record.State == rollout.Running && r.Record.Order == run.order
		if active {
			running = true
			if r.Record.Stage == rollout.All && run.allSeen.IsZero() {
				run.allSeen = now
			}
			s.maybeReport(ctx, g, run, r, judges, now)
		}
		acts := first || run.judge != nil && 2*run.judge.Heard(now, s.fleet(run, now)) > s.source.Instances()
		if !first && (run.judge == nil || now.Sub(run.reportedTo) > judgeSilence || !slices.Contains(judges, s.self)) {
			run.judge = nil
			continue
		}
		if write := s.decide(run, r, acts, now); write != nil {
			running = true
			run.writing = true
			g.Go(func() error { s.write(ctx, run, write); return nil })
		}
	}
	return running
}

// run returns the state of this instance in the latest roll-out of a service.
func (s *rolloutService) run(service string, r follow.Rollout, now time.Time) *rolloutRun {
	order := uint64(0)
	if r.Order != nil {
		order = r.Order.Revision
	} else if r.Record != nil {
		order = r.Record.Order
	}
	run := s.services[service]
	if run == nil || run.order != order {
		run = &rolloutRun{service: service, order: order, tracker: rollout.NewTracker(), answeredAt: now}
		s.services[service] = run
		if r.Order != nil {
			s.log.Info("roll-out ordered", "service", service, "target", r.Order.Target, "duration", r.Order.Duration.String(), "order", order)
		}
	}
	return run
}

// judges returns the instances that may judge, in their order: the readers of the regions.
func (s *rolloutService) judges() (ids []peer.InstanceID) {
	for _, region := range s.regions {
		if id, ok := s.source.Granter(region); ok {
			ids = append(ids, id)
		}
	}
	return ids
}

// --- the data path ---

// split returns the upstreams that requests of a pool may use, and the tracker of their attempts; nil without a roll-out.
// After the verdict there is no tracker.
func (s *rolloutService) split(pool *table.Pool, now time.Time) (*cachedSides, *rollout.Tracker) {
	all := s.source.Rollouts()
	if all == nil {
		return nil, nil
	}
	r, ok := all[pool.Discover]
	if !ok || pool.Discover == "" {
		return nil, nil
	}
	rules, ok := rollout.Resolve(r.Order, r.Record)
	if !ok {
		return nil, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	run := s.run(pool.Discover, r, now)
	held := !rules.Final && (run.condemned || rules.Stage != rollout.All && s.unjudged(run, now))
	c := s.sides[pool.Name]
	if c == nil || c.order != r.Order || c.record != r.Record || c.held != held || !sameUpstreams(&c.pool, pool) {
		if held {
			rules = rules.Held()
		}
		c = &cachedSides{order: r.Order, record: r.Record, held: held, pool: *pool, Sides: rules.Split(pool)}
		s.sides[pool.Name] = c
	}
	if rules.Final {
		return c, nil // nobody reads the counts after the verdict
	}
	return c, run.tracker
}

// unjudged reports whether no judge has answered lately although the store can be followed.
func (s *rolloutService) unjudged(run *rolloutRun, now time.Time) bool {
	return now.Sub(run.answeredAt) > judgeSilence && now.Sub(s.source.Confirmed()) < storeContactAge
}

// sameUpstreams reports whether both pools are of the same snapshot: each has a slice of its own.
func sameUpstreams(a, b *table.Pool) bool {
	return len(a.Upstreams) == len(b.Upstreams) && (len(a.Upstreams) == 0 || &a.Upstreams[0] == &b.Upstreams[0])
}

// --- the evidence ---

// reportInterval returns the mean time between two reports of an instance.
func (s *rolloutService) reportInterval(stage rollout.Stage) time.Duration {
	interval := evidenceInterval
	if stage != rollout.Canary {
		interval = lateInterval
	}
	return max(interval, time.Duration(s.source.Instances())*time.Second/reportsPerSecond)
}

// maybeReport sends the evidence of this instance to the judge if it is due.
func (s *rolloutService) maybeReport(ctx context.Context, g *errgroup.Group, run *rolloutRun, r follow.Rollout, judges []peer.InstanceID, now time.Time) {
	if run.reporting || now.Before(run.nextReport) {
		return
	}
	interval := s.reportInterval(r.Record.Stage)
	run.nextReport = now.Add(interval*3/4 + rand.N(interval/2)) // the reports of all instances are spread
	report := run.tracker.Report(now, r.Record.Stage)
	report.Condemned = run.condemned
	if s.transport == nil || len(judges) > 0 && judges[0] == s.self && !s.stale(now) {
		run.condemned = s.hear(run, s.self, report, now) || run.condemned
		run.answeredAt = now
		return
	}
	var to []peer.InstanceID
	for _, id := range judges {
		if !now.Before(s.avoid[id]) {
			to = append(to, id)
		}
	}
	if len(to) == 0 {
		clear(s.avoid)
		return
	}
	run.reporting = true
	message := encodeReport(run.service, run.order, report)
	g.Go(func() error { s.report(ctx, run, to, message, report); return nil })
}

// report sends a report to the first of the judges that answers.
func (s *rolloutService) report(ctx context.Context, run *rolloutRun, judges []peer.InstanceID, message *peerpb.RolloutReport, own rollout.Report) {
	defer func() {
		s.mu.Lock()
		run.reporting = false
		s.mu.Unlock()
	}()
	for _, id := range judges {
		reply := &peerpb.RolloutReply{}
		var err error
		if id == s.self {
			s.mu.Lock()
			reply.Condemned, reply.Stale = s.hear(run, s.self, own, time.Now()), s.stale(time.Now())
			s.mu.Unlock()
		} else {
			callCtx, cancel := context.WithTimeout(peer.WithTraffic(ctx, peer.CallPath), evidenceTimeout)
			err = s.transport.Call(callCtx, id, rolloutPeerService, message, reply)
			cancel()
		}
		metrics.GetOrCreateCounter(fmt.Sprintf("turmericsail_rollout_reports_total{outcome=%q}", outcomeOf(err))).Inc()
		s.mu.Lock()
		if err != nil {
			s.avoid[id] = time.Now().Add(judgeCooldown)
			s.mu.Unlock()
			s.log.V(1).Info("evidence not reported", "service", run.service, "judge", id, "error", err.Error())
			continue
		}
		run.answeredAt = time.Now()
		if reply.Condemned && !run.condemned {
			run.condemned = true
			s.log.Info("version held", "service", run.service, "order", run.order, "judge", id)
		}
		s.mu.Unlock()
		if !reply.Stale {
			return
		}
		message.Condemned = message.Condemned || reply.Condemned
	}
}

func outcomeOf(err error) string {
	if err != nil {
		return "failed"
	}
	return "sent"
}

// handle receives the report of another instance.
func (s *rolloutService) handle(_ context.Context, from peer.InstanceID, payload []byte) (proto.Message, error) {
	var message peerpb.RolloutReport
	if err := proto.Unmarshal(payload, &message); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "the report cannot be decoded", "send a RolloutReport")
	}
	if !slices.Contains(s.judges(), s.self) {
		return nil, fault.New(fault.Unavailable, "this instance judges no roll-out", "report to the reader of another region")
	}
	r := s.source.Rollouts()[message.Service]
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	run := s.run(message.Service, r, now)
	if run.order != message.Order {
		return nil, fault.Newf(fault.Unavailable, "report again", "this instance knows the order %d of %s, not %d", run.order, message.Service, message.Order)
	}
	run.reportedTo = now
	run.condemned = s.hear(run, from, decodeReport(&message), now) || run.condemned
	return &peerpb.RolloutReply{Condemned: run.condemned, Stale: s.stale(now)}, nil
}

// stale reports whether this instance may be unable to write a verdict.
func (s *rolloutService) stale(now time.Time) bool {
	return now.Sub(s.source.Confirmed()) > judgeStoreAge
}

// hear records a report at the judge and reports whether the version is bad.
func (s *rolloutService) hear(run *rolloutRun, from peer.InstanceID, report rollout.Report, now time.Time) (condemned bool) {
	if run.judge == nil {
		run.judge = rollout.NewJudge(now)
	}
	run.judge.Report(string(from), report, now)
	return run.judge.Condemned(s.fleet(run, now).Used, now) != ""
}

func encodeCounts(c rollout.Counts) *peerpb.RolloutCounts {
	return &peerpb.RolloutCounts{Answers: uint64(c.Answers), Failures: uint64(c.Failures), Timed: uint64(c.Timed), Slow: uint64(c.Slow)}
}

func decodeCounts(c *peerpb.RolloutCounts) rollout.Counts {
	return rollout.Counts{Answers: int(c.GetAnswers()), Failures: int(c.GetFailures()), Timed: int(c.GetTimed()), Slow: int(c.GetSlow())}
}

func encodeReport(service string, order uint64, r rollout.Report) *peerpb.RolloutReport {
	m := &peerpb.RolloutReport{Service: service, Order: order, Stage: string(r.Stage), Drained: r.Drained, Condemned: r.Condemned}
	for route, p := range r.Evidence.Routes {
		m.Routes = append(m.Routes, &peerpb.RolloutRoute{Route: route, Old: encodeCounts(p.Old), Target: encodeCounts(p.Target)})
	}
	for id, c := range r.Evidence.Upstreams {
		m.Upstreams = append(m.Upstreams, &peerpb.RolloutUpstream{Id: id, Counts: encodeCounts(c)})
	}
	return m
}

func decodeReport(m *peerpb.RolloutReport) rollout.Report {
	r := rollout.Report{
		Stage: rollout.Stage(m.Stage), Drained: m.Drained, Condemned: m.Condemned,
		Evidence: rollout.Evidence{Routes: map[string]rollout.Pair{}, Upstreams: map[string]rollout.Counts{}},
	}
	for _, p := range m.Routes {
		r.Evidence.Routes[p.GetRoute()] = rollout.Pair{Old: decodeCounts(p.GetOld()), Target: decodeCounts(p.GetTarget())}
	}
	for _, u := range m.Upstreams {
		r.Evidence.Upstreams[u.GetId()] = decodeCounts(u.GetCounts())
	}
	return r
}

// --- the judge ---

// fleetAge is how long what the judge knows of a pool is used; reports of several hundred instances arrive in that time.
const fleetAge = 200 * time.Millisecond

// fleet returns what the judge knows of the pool.
func (s *rolloutService) fleet(run *rolloutRun, now time.Time) rollout.Fleet {
	if now.Sub(run.fleetAt) < fleetAge {
		return run.fleet
	}
	run.fleet, run.fleetAt = rollout.Fleet{}, now
	tables := s.source.Snapshot().Tables
	r := s.source.Rollouts()[run.service]
	rules, ok := rollout.Resolve(r.Order, r.Record)
	if tables == nil || !ok {
		return run.fleet
	}
	for _, pool := range tables.Pools {
		if pool.Discover == run.service {
			run.fleet = fleetOf(tables, &pool, rules, now)
		}
	}
	if s.transport != nil {
		run.fleet.Instances = s.source.Instances()
	}
	if r.Record != nil {
		run.fleet.ReportInterval = s.reportInterval(r.Record.Stage)
	}
	return run.fleet
}

func fleetOf(tables *table.Tables, pool *table.Pool, rules rollout.Rules, now time.Time) (f rollout.Fleet) {
	f.Used = len(rules.Split(pool).Target)
	rules.Stage, rules.Final = rollout.Half, false // both sides with all of their upstreams
	sides := rules.Split(pool)
	for _, u := range sides.Old {
		if pool.InService(u) {
			f.Old++
		}
	}
	for _, u := range sides.Target {
		warm := time.UnixMilli(u.StartMillis).Add(coldTime)
		if !pool.InService(u) || now.Before(warm) {
			continue
		}
		f.Target++
		if u.StartMillis != 0 && (f.WarmSince.IsZero() || warm.Before(f.WarmSince)) {
			f.WarmSince = warm
		}
	}
	for _, route := range tables.Routes {
		if route.Pool == pool.Name || slices.ContainsFunc(route.Split, func(share table.Share) bool { return share.Pool == pool.Name }) {
			f.Limit = max(f.Limit, route.Deadline.Std(), route.AnswerLimit.Std())
		}
	}
	return f
}

// rolloutWrite is a write of the record and the status of a service.
type rolloutWrite struct {
	record  *rollout.Record // nil to write the status only
	status  rollout.Status
	before  follow.Rollout
	message string
}

// decide returns what is to be written, or nil. acts is set at the judge, and at a reader to which most instances report because
// the judge does not answer; other readers may only roll back.
func (s *rolloutService) decide(run *rolloutRun, r follow.Rollout, acts bool, now time.Time) *rolloutWrite {
	if run.writing || now.Before(run.nextWrite) {
		return nil
	}
	if run.written && run.wrote == r.RecordRevision && now.Before(run.nextWrite.Add(swapSeen)) {
		return nil // the effect of the latest write is not seen yet
	}
	wall := now.Round(0).UTC()
	if acts && r.Order != nil && (r.Record == nil || r.Record.Order != r.Order.Revision) {
		next := rollout.Begin(*r.Order, r.Record, wall)
		return &rolloutWrite{&next, rollout.Status{Service: run.service, State: next.State, Target: next.Target}, r, "started"}
	}
	if r.Record == nil || r.Record.Order != run.order {
		return nil
	}
	if r.Record.State != rollout.Running {
		return s.repairStatus(run, r, acts, now)
	}
	if run.judge == nil {
		run.judge = rollout.NewJudge(now)
	}
	fleet := s.fleet(run, now)
	fleet.AllSeen = run.allSeen.Round(0)
	d := run.judge.Decide(wall, r.Record, fleet)
	if !acts && (d.Action != rollout.RollBack || run.judge.Condemned(fleet.Used, now) == "") {
		return nil
	}
	if d.Action == rollout.Wait && d.Reason != run.waitReason {
		s.log.V(1).Info("roll-out waits", "service", run.service, "stage", r.Record.Stage, "reason", d.Reason)
	}
	run.waitReason = d.Reason
	next, message := *r.Record, ""
	switch d.Action {
	case rollout.Wait:
		return s.repairStatus(run, r, acts, now)
	case rollout.Advance:
		next, message = next.Advanced(wall), "advanced"
	case rollout.Complete:
		next, message = next.Ended(rollout.Completed, "", wall), "completed"
	case rollout.RollBack:
		next, message = next.Ended(rollout.RolledBack, d.Reason, wall), "rolled back"
		run.condemned = true
	}
	return &rolloutWrite{&next, rollout.Status{Service: run.service, State: next.State, Target: next.Target}, r, message}
}

// repairStatus returns a write of the status if it has differed from the record for some time, as after another writer or
// a restored store.
func (s *rolloutService) repairStatus(run *rolloutRun, r follow.Rollout, acts bool, now time.Time) *rolloutWrite {
	status := rollout.Status{Service: run.service, State: r.Record.State, Target: r.Record.Target}
	if !acts || r.Status != nil && *r.Status == status {
		run.mismatchFrom = time.Time{}
		return nil
	}
	if run.mismatchFrom.IsZero() {
		run.mismatchFrom = now
	}
	if now.Sub(run.mismatchFrom) < statusRepairDelay {
		return nil
	}
	run.mismatchFrom = now
	return &rolloutWrite{nil, status, r, "status"}
}

// write carries out a write. The revisions of both keys make it safe to repeat one whose answer was lost.
func (s *rolloutService) write(ctx context.Context, run *rolloutRun, w *rolloutWrite) {
	err := s.swap(ctx, run.service, w)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	run.writing, run.written, run.nextWrite = false, false, now.Add(swapRetry)
	if err != nil {
		s.log.Info("roll-out not written", "service", run.service, "order", run.order, "what", w.message, "kind", string(fault.KindOf(err)), "error", err.Error())
		return
	}
	run.written, run.wrote, run.nextWrite = w.record != nil, w.before.RecordRevision, now
	if w.record == nil {
		s.log.Info("roll-out status written again", "service", run.service, "state", w.status.State, "target", w.status.Target)
		return
	}
	counts, instances := rollout.Pair{}, 0
	if run.judge != nil {
		counts, instances = run.judge.Total(), run.judge.Instances()
	}
	s.log.Info("roll-out written", "service", run.service, "what", w.message, "target", w.record.Target, "stage", w.record.Stage, "state", w.record.State, "reason", w.record.Reason,
		"elapsed", now.Sub(w.record.Started).Round(time.Millisecond).String(), "duration", w.record.Duration.String(), "instances", instances,
		"target_answers", counts.Target.Answers, "target_failures", counts.Target.Failures, "target_slow", counts.Target.Slow,
		"old_answers", counts.Old.Answers, "old_failures", counts.Old.Failures, "old_slow", counts.Old.Slow)
	if w.record.State != rollout.Running {
		metrics.GetOrCreateCounter(fmt.Sprintf("turmericsail_rollout_verdicts_total{state=%q}", w.record.State)).Inc()
	}
}

func (s *rolloutService) swap(ctx context.Context, service string, w *rolloutWrite) error {
	key, value, err := platform.EncodeRolloutStatus(w.status)
	if err != nil {
		return err
	}
	var swaps []store.Swap
	if w.record == nil || w.before.Record == nil || w.before.Record.Order != w.record.Order || w.before.Record.State != w.record.State {
		swaps = append(swaps, store.Swap{Key: key, Value: value, Revision: w.before.StatusRevision})
	}
	if w.record != nil {
		record, err := w.record.Encode()
		if err != nil {
			return err
		}
		swaps = append(swaps, store.Swap{Key: follow.RolloutKey(service), Value: record, Revision: w.before.RecordRevision})
	}
	return s.swapper.Swap(ctx, swaps...)
}
