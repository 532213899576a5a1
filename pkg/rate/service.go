package rate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/kernel"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
)

// ServiceName is the peer service of lenders.
const ServiceName = "rate.lend"

// Roles determines which instances lend.
type Roles interface {
	// Granter returns the instance that acts for a region, and false if none is known.
	Granter(region string) (peer.InstanceID, bool)
	// MayGrant reports whether this instance alone acts for its region at the given time.
	MayGrant(now time.Time) bool
}

// Alone are the roles of an instance without a transport, which lends to itself.
type Alone struct{}

var _ Roles = Alone{}

// Granter implements Roles.
func (Alone) Granter(string) (peer.InstanceID, bool) { return "", true }

// MayGrant implements Roles.
func (Alone) MayGrant(time.Time) bool { return true }

// Config configures a Service.
type Config struct {
	// Transport is nil for an instance that is alone.
	Transport peer.Transport
	Roles     Roles
	// Region is that of this instance.
	Region string
	// Regions are those of all instances.
	Regions []string
	// Instances returns an upper bound of the number of instances.
	Instances func() int
	// Limits returns the limits in force. It is called often and must be cheap.
	Limits func() []Limit
	Rules  Rules
	Log    logr.Logger
}

// Service admits the requests of one instance and lends to others. Without limits it sends nothing.
type Service struct {
	cfg  Config
	base time.Time
	wake chan struct{}
	read func() Reading // reads both clocks; replaced in tests

	clockMu    sync.Mutex // guards what follows; taken last
	last       Reading
	wallOffset time.Duration // sum of the backward steps of the wall clock

	mu       sync.Mutex // guards the borrower
	borrower *Borrower
	ticked   bool
	lenders  map[string]peer.InstanceID // the last ones logged, by region

	lendMu sync.Mutex // guards what follows
	rules  Rules
	lent   map[string]*Lender // by region
	calls  callMetrics
}

type callMetrics struct {
	answered, failed *metrics.Counter
	duration         *metrics.Histogram
}

var _ kernel.Runner = (*Service)(nil)

// NewService returns a service and registers its handler on the transport.
func NewService(cfg Config) *Service {
	cfg.Regions = slices.Compact(slices.Sorted(slices.Values(append(slices.Clone(cfg.Regions), cfg.Region))))
	s := &Service{
		cfg: cfg, base: time.Now(), wake: make(chan struct{}, 1), lenders: map[string]peer.InstanceID{}, rules: cfg.Rules, lent: map[string]*Lender{},
		borrower: NewBorrower(cfg.Rules, cfg.Regions, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
	s.read = s.readClocks
	if cfg.Transport != nil {
		cfg.Transport.Handle(ServiceName, s.handle)
	}
	s.register()
	return s
}

// register registers the metrics.
func (s *Service) register() {
	for outcome, count := range map[string]func(BorrowerStats) uint64{
		"borrowed":   func(b BorrowerStats) uint64 { return b.Borrowed },
		"own-share":  func(b BorrowerStats) uint64 { return b.Own },
		"over-limit": func(b BorrowerStats) uint64 { return b.OverLimit },
		"unreached":  func(b BorrowerStats) uint64 { return b.Unreached + b.Abandoned },
	} {
		metrics.GetOrCreateGauge(fmt.Sprintf("turmericsail_rate_requests_total{outcome=%q}", outcome), func() float64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return float64(count(s.borrower.Stats()))
		})
	}
	metrics.GetOrCreateGauge("turmericsail_rate_unused_tokens_total", func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return float64(s.borrower.Stats().Expired)
	})
	for event, count := range map[string]func(LenderStats) uint64{
		"granted":  func(l LenderStats) uint64 { return l.Granted },
		"leased":   func(l LenderStats) uint64 { return l.Leased },
		"returned": func(l LenderStats) uint64 { return l.Returned },
		"expired":  func(l LenderStats) uint64 { return l.Expired },
		"refused":  func(l LenderStats) uint64 { return l.Refused },
	} {
		metrics.GetOrCreateGauge(fmt.Sprintf("turmericsail_rate_lent_tokens_total{event=%q}", event), func() float64 {
			return s.sumLenders(func(l *Lender) float64 { return float64(count(l.Stats())) })
		})
	}
	metrics.GetOrCreateGauge("turmericsail_rate_lent_workspaces", func() float64 {
		return s.sumLenders(func(l *Lender) float64 { return float64(l.Lent()) })
	})
	s.calls = callMetrics{
		metrics.GetOrCreateCounter(`turmericsail_rate_calls_total{outcome="answered"}`),
		metrics.GetOrCreateCounter(`turmericsail_rate_calls_total{outcome="failed"}`),
		metrics.GetOrCreateHistogram("turmericsail_rate_call_seconds"),
	}
}

func (s *Service) sumLenders(count func(*Lender) float64) (sum float64) {
	s.lendMu.Lock()
	defer s.lendMu.Unlock()
	for _, l := range s.lent {
		sum += count(l)
	}
	return sum
}

// SetRules replaces the permitted deviations.
func (s *Service) SetRules(rules Rules) {
	s.mu.Lock()
	s.borrower.SetRules(rules)
	s.mu.Unlock()
	s.lendMu.Lock()
	defer s.lendMu.Unlock()
	s.rules = rules
	for _, l := range s.lent {
		l.SetRules(s.clock(), rules)
	}
}

// clock returns the time on both clocks. A wall clock that is set back continues at the pace of the monotonic clock:
// otherwise, no time would pass on it until it has caught up, so that no bucket fills and no lease expires. Steps forward
// stay visible, because the process may have been suspended.
func (s *Service) clock() Reading {
	s.clockMu.Lock()
	defer s.clockMu.Unlock()
	now := s.read()
	now.Wall += s.wallOffset
	if now.Wall < s.last.Wall {
		wall := s.last.Wall + max(now.Mono-s.last.Mono, 0)
		s.wallOffset += wall - now.Wall
		now.Wall = wall
	}
	s.last = now
	return now
}

// readClocks reads both clocks. Round(0) strips the monotonic reading from the wall clock.
func (s *Service) readClocks() Reading {
	now := time.Now()
	return Reading{Mono: now.Sub(s.base), Wall: now.Round(0).Sub(s.base.Round(0))}
}

// Admit asks for permission to send one request of a workspace, and waits at most maxWait for it. A request that was
// admitted and then sent nowhere calls release. A refused one may come back after retryAfter. late tells that the
// request cannot meet its target any more.
func (s *Service) Admit(ctx context.Context, limit Limit, late bool) (release func(), retryAfter time.Duration, ok bool) {
	if !(limit.Rate > 0) {
		return func() {}, 0, true
	}
	var answer chan Decision
	s.mu.Lock()
	now := s.clock() // under the lock: the process may be suspended while the request waits for it
	if !s.ticked {
		s.tickBorrower()
	}
	d, decided := Decision{}, false
	if late {
		d, decided = s.borrower.Yield(now, limit)
	}
	if !decided {
		d = s.borrower.Take(now, limit, func(d Decision) { answer <- d })
	}
	if d.Verdict == Wait {
		answer = make(chan Decision, 1) // before the lock is released, so before the decision
	}
	s.mu.Unlock()
	if d.Verdict == Wait {
		d = s.await(ctx, d.Waiter, answer)
	}
	if d.Verdict != Admitted {
		return nil, d.RetryAfter, false
	}
	return func() { s.release(d.Token) }, 0, true
}

// AdmitNow takes a token for one request of a workspace, if there is one at once, and reports whether it did. A request
// that was then sent nowhere calls release.
func (s *Service) AdmitNow(limit Limit) (release func(), ok bool) {
	if !(limit.Rate > 0) {
		return func() {}, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ticked {
		s.tickBorrower()
	}
	d, ok := s.borrower.TakeNow(s.clock(), limit)
	return func() { s.release(d.Token) }, ok
}

func (s *Service) await(ctx context.Context, w *Waiter, answer <-chan Decision) Decision {
	select {
	case s.wake <- struct{}{}:
	default:
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case d := <-answer:
		return d
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if d, abandoned := s.borrower.Abandon(s.clock(), w); abandoned {
		return d
	}
	return <-answer
}

func (s *Service) release(t Token) {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.borrower.Release(now, t)
}

// Run makes the calls that are due until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	next := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-s.wake:
		}
		if now := time.Now(); !now.Before(next) {
			next = now.Add(s.tick())
		}
		timer.Reset(min(s.callDue(ctx), time.Until(next)))
	}
}

// tick passes on the configuration and the roles, and returns the time until the next tick.
func (s *Service) tick() time.Duration {
	s.mu.Lock()
	limits := s.tickBorrower()
	s.mu.Unlock()
	s.lendMu.Lock()
	defer s.lendMu.Unlock()
	for region, l := range s.lent {
		s.tickLender(region, l, limits)
	}
	if len(limits) == 0 && len(s.lent) == 0 {
		return idleTickInterval
	}
	return tickInterval
}

func (s *Service) tickBorrower() []Limit {
	s.ticked = true
	limits := s.cfg.Limits()
	s.borrower.Tick(s.clock(), s.cfg.Instances(), s.cfg.Roles.Granter, limits)
	for _, region := range s.cfg.Regions {
		if id, ok := s.borrower.Lender(region); ok && id != s.lenders[region] && len(limits) > 0 {
			s.cfg.Log.Info("lender of request rates chosen", "region", region, "lender", id, "before", s.lenders[region])
			s.lenders[region] = id
		}
	}
	return limits
}

func (s *Service) tickLender(region string, l *Lender, limits []Limit) {
	var own []Limit
	for _, limit := range limits {
		if Region(limit.Name, s.cfg.Regions) == region {
			own = append(own, limit)
		}
	}
	l.Tick(s.clock(), s.alone(region), s.cfg.Instances(), own)
}

// alone reports whether this instance alone acts for a region.
func (s *Service) alone(region string) bool {
	return region == s.cfg.Region && s.cfg.Roles.MayGrant(time.Now())
}

// callDue starts the calls that are due and returns the time until the next one.
func (s *Service) callDue(ctx context.Context) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := never
	for _, region := range s.cfg.Regions {
		if to, request, ok := s.borrower.Probe(s.clock(), region); ok {
			go s.probe(ctx, region, to, request)
		}
		d := s.borrower.Due(s.clock(), region)
		if d > 0 {
			next = min(next, d)
			continue
		}
		to, request := s.borrower.Compose(s.clock(), region)
		go s.call(ctx, region, to, request)
	}
	return next
}

// call sends a request to a lender and applies the reply.
func (s *Service) call(ctx context.Context, region string, to peer.InstanceID, request *peerpb.RateRequest) {
	start := time.Now()
	reply, err := s.send(ctx, to, request)
	s.calls.duration.UpdateDuration(start)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.calls.failed.Inc()
		s.cfg.Log.V(1).Info("lender of request rates not reached", "region", region, "lender", to, "error", err.Error())
		s.borrower.Failed(s.clock(), region)
	} else {
		s.calls.answered.Inc()
		s.borrower.Apply(s.clock(), region, reply)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// probe sends a request to a lender that failed and records whether it answers.
func (s *Service) probe(ctx context.Context, region string, to peer.InstanceID, request *peerpb.RateRequest) {
	reply, err := s.send(ctx, to, request)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.borrower.Probed(s.clock(), region, to, err == nil && reply.Lending)
}

func (s *Service) send(ctx context.Context, to peer.InstanceID, request *peerpb.RateRequest) (*peerpb.RateReply, error) {
	if s.cfg.Transport == nil || to == s.cfg.Transport.Self() {
		return s.lend(to, request)
	}
	ctx, cancel := context.WithTimeout(peer.WithTraffic(ctx, peer.CallPath), askTime)
	defer cancel()
	reply := &peerpb.RateReply{}
	return reply, s.cfg.Transport.Call(ctx, to, ServiceName, request, reply)
}

func (s *Service) handle(_ context.Context, from peer.InstanceID, payload []byte) (proto.Message, error) {
	var request peerpb.RateRequest
	if err := proto.Unmarshal(payload, &request); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "the request cannot be decoded", "send a RateRequest")
	}
	return s.lend(from, &request)
}

// lend answers a request as a lender.
func (s *Service) lend(from peer.InstanceID, request *peerpb.RateRequest) (*peerpb.RateReply, error) {
	if !slices.Contains(s.cfg.Regions, request.Region) {
		return nil, fault.Newf(fault.Invalid, "give all instances the same regions", "%q is no region of the settings", request.Region)
	}
	s.lendMu.Lock()
	defer s.lendMu.Unlock()
	l := s.lent[request.Region]
	if l == nil {
		l = NewLender(s.rules)
		s.lent[request.Region] = l
		s.tickLender(request.Region, l, s.cfg.Limits())
	}
	return l.Handle(s.clock(), s.alone(request.Region), s.cfg.Instances(), from, request), nil
}
