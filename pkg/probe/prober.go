package probe

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
	"github.com/turmericsail/turmericsail/pkg/quota"
)

// ServiceLoad is the peer service that receives load reports.
const ServiceLoad = "probe.load"

// maxReportAge bounds the age of a load report from a peer; older information is of no use.
const maxReportAge = time.Hour

// Config holds the dependencies of a Prober.
type Config struct {
	Transport peer.Transport
	Roles     quota.Roles
	Checker   Checker
	// Targets returns the upstreams of the current tables.
	Targets func() []Target
	// Peers returns the other instances, to which probe results are published.
	Peers    func() []peer.InstanceID
	Settings Settings
	Log      logr.Logger
}

type probeResult struct {
	key    Key
	result Result
}

// publishedState is the probe result that was last published for an upstream.
type publishedState struct {
	at    time.Time
	ok    bool
	state State
	start string
}

// Prober keeps the stats of all upstreams, probes those for which this instance is the
// allocator, and exchanges load reports: every instance reports to the allocator what
// its own requests showed, and the allocator publishes its probe results to all others.
type Prober struct {
	Config
	results   chan probeResult
	scheduler *Scheduler
	published map[Key]publishedState
	reported  map[Key]time.Time
	calls     sync.WaitGroup

	mu    sync.RWMutex
	stats map[Key]*Stats
}

// NewProber returns a prober and registers its handler on the transport.
func NewProber(c Config) (*Prober, error) {
	if err := c.Settings.Validate("$.probe").Err(); err != nil {
		return nil, err
	}
	p := &Prober{
		Config: c, results: make(chan probeResult), scheduler: NewScheduler(c.Settings),
		published: make(map[Key]publishedState), reported: make(map[Key]time.Time), stats: make(map[Key]*Stats),
	}
	c.Transport.Handle(ServiceLoad, p.handle)
	return p, nil
}

// Stats returns the stats of an upstream, creating them on first use.
func (p *Prober) Stats(key Key) *Stats {
	p.mu.RLock()
	s := p.stats[key]
	p.mu.RUnlock()
	if s != nil {
		return s
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s = p.stats[key]; s == nil {
		s = NewStats(p.Settings)
		p.stats[key] = s
	}
	return s
}

// Forget drops the stats of an upstream that no longer exists.
func (p *Prober) Forget(key Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.stats, key)
}

// lookup returns the stats of an upstream without creating them, so that a peer cannot
// exhaust the memory by sending unknown names.
func (p *Prober) lookup(key Key) *Stats {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.stats[key]
}

func (p *Prober) handle(_ context.Context, _ peer.InstanceID, data []byte) (proto.Message, error) {
	var report peerpb.LoadReport
	if err := proto.Unmarshal(data, &report); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "the load report cannot be decoded", "check the release of the calling instance")
	}
	now := time.Now()
	for _, m := range report.Loads {
		s := p.lookup(Key{Pool: m.GetPool(), Upstream: m.GetUpstream()})
		if s == nil {
			continue
		}
		load := loadFromMessage(m, now)
		if load.Slots == 0 && load.State == StateNone && load.StartID == "" {
			s.RecordContact(load.At)
		} else {
			s.RecordLoad(load)
		}
		if m.Healthy != nil {
			s.RecordProbe(load.At, m.GetHealthy())
		}
	}
	return &peerpb.LimitsAck{}, nil
}

func loadFromMessage(m *peerpb.UpstreamLoad, now time.Time) Load {
	l := Load{InFlight: int(min(m.GetInFlight(), maxLoad)), Slots: int(min(m.GetSlots(), maxLoad))}
	l.set("state", m.GetState())
	if validStartID(m.GetStartId()) {
		l.StartID = m.GetStartId()
	}
	l.At = now.Add(-min(time.Duration(m.GetAgeMillis())*time.Millisecond, maxReportAge))
	return l
}

func loadToMessage(key Key, l Load, now time.Time) *peerpb.UpstreamLoad {
	return &peerpb.UpstreamLoad{
		Pool: key.Pool, Upstream: key.Upstream, InFlight: uint32(l.InFlight), Slots: uint32(l.Slots),
		State: string(l.State), StartId: l.StartID, AgeMillis: uint32(max(0, l.Age(now)/time.Millisecond)),
	}
}

// Run sends probes and reports until ctx ends.
func (p *Prober) Run(ctx context.Context) error {
	ticker := time.NewTicker(p.Settings.Interval.Std())
	defer ticker.Stop()
	defer p.calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-p.results:
			p.scheduler.ProbeDone(f.key, f.result.Reused)
			p.publish(ctx, time.Now(), f)
		case <-ticker.C:
			targets := p.Targets()
			p.prune(targets)
			p.probe(ctx, targets)
			p.reportPassive(ctx, time.Now(), targets)
		}
	}
}

// prune drops the publishing state of upstreams that are no longer targets.
func (p *Prober) prune(targets []Target) {
	if max(len(p.published), len(p.reported)) <= len(targets) {
		return
	}
	current := make(map[Key]bool, len(targets))
	for _, t := range targets {
		current[t.Key] = true
	}
	gone := func(key Key, _ publishedState) bool { return !current[key] }
	maps.DeleteFunc(p.published, gone)
	maps.DeleteFunc(p.reported, func(key Key, _ time.Time) bool { return !current[key] })
}

func (p *Prober) probe(ctx context.Context, targets []Target) {
	now := time.Now()
	hasAuthority := func(key Key) bool {
		_, _, ok := p.Roles.Authority(key.Resource()).Held(now)
		return ok
	}
	lastUpdate := func(key Key) time.Time { return p.Stats(key).LastUpdate() }
	for _, t := range p.scheduler.Due(now, targets, hasAuthority, lastUpdate) {
		p.calls.Add(1)
		go func() {
			defer p.calls.Done()
			p.check(ctx, t)
		}()
	}
}

func (p *Prober) check(ctx context.Context, t Target) {
	checkCtx, cancel := context.WithTimeout(ctx, p.Settings.Timeout.Std())
	defer cancel()
	r := p.Checker.Check(checkCtx, t)
	if ctx.Err() != nil {
		return
	}
	s := p.Stats(t.Key)
	s.RecordProbe(time.Now(), r.OK)
	if r.HasLoad {
		s.RecordLoad(r.Load)
	}
	select {
	case p.results <- probeResult{t.Key, r}:
	case <-ctx.Done():
	}
}

// publish sends a probe result to the other instances if it has changed or is due for a refresh.
func (p *Prober) publish(ctx context.Context, now time.Time, f probeResult) {
	last, there := p.published[f.key]
	state := publishedState{at: now, ok: f.result.OK, state: f.result.Load.State, start: f.result.Load.StartID}
	same := there && state.ok == last.ok && state.state == last.state && state.start == last.start
	if same && now.Sub(last.at) < p.Settings.Refresh.Std() {
		return
	}
	p.published[f.key] = state
	f.result.Load.At = now
	m := loadToMessage(f.key, f.result.Load, now)
	m.Healthy = &f.result.OK
	for _, to := range p.Peers() {
		p.send(ctx, to, []*peerpb.UpstreamLoad{m})
	}
}

// reportPassive reports to the allocators of upstreams what this instance's own
// requests showed, which makes probes unnecessary. Each upstream is reported at most
// twice per MaxAge.
func (p *Prober) reportPassive(ctx context.Context, now time.Time, targets []Target) {
	batches := make(map[peer.InstanceID][]*peerpb.UpstreamLoad)
	reports := 0
	for _, t := range targets {
		s := p.lookup(t.Key)
		if s == nil || reports >= p.Settings.MaxLoads || now.Sub(p.reported[t.Key]) < p.Settings.MaxAge.Std()/2 {
			continue
		}
		to, ok := p.Roles.Allocator(t.Key.Resource())
		lastAnswer := s.LastAnswer()
		if !ok || to == p.Transport.Self() || !lastAnswer.After(p.reported[t.Key]) {
			continue
		}
		l := s.Load()
		if l.Age(now) > loadTTL {
			l = Load{At: lastAnswer} // answers without the header show only that the upstream is up
		}
		reports++
		p.reported[t.Key] = now
		batches[to] = append(batches[to], loadToMessage(t.Key, l, now))
	}
	for to, loads := range batches {
		p.send(ctx, to, loads)
	}
}

func (p *Prober) send(ctx context.Context, to peer.InstanceID, loads []*peerpb.UpstreamLoad) {
	if to == p.Transport.Self() {
		return
	}
	p.calls.Add(1)
	go func() {
		defer p.calls.Done()
		callCtx, cancel := context.WithTimeout(ctx, p.Settings.Timeout.Std())
		defer cancel()
		if err := p.Transport.Call(callCtx, to, ServiceLoad, &peerpb.LoadReport{Loads: loads}, &peerpb.LimitsAck{}); err != nil {
			p.Log.V(1).Info("the load report was not delivered", "instance", to, "error", err.Error())
		}
	}()
}
