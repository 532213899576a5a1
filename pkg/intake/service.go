package intake

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
)

// ServiceName is the peer service of granters.
const ServiceName = "intake.grant"

const (
	// callTimeout bounds a call to a granter: a few round trips between regions.
	callTimeout = 100 * time.Millisecond
	// unreachedPause is the mean time after which an instance asks again for a grant when no granter answered.
	unreachedPause = 500 * time.Millisecond
	// oldestAge bounds the stated age of a statement.
	oldestAge = time.Hour
)

// Roles determines which instance grants for the upstreams of a region.
type Roles interface {
	// Granter returns the instance that grants for a region, and false if none is known.
	Granter(region string) (peer.InstanceID, bool)
	// MayGrant reports whether this instance alone grants for its region at the given time.
	MayGrant(now time.Time) bool
}

// Alone are the roles of an instance without a transport, which grants to itself.
type Alone struct{}

var _ Roles = Alone{}

// Granter implements Roles.
func (Alone) Granter(string) (peer.InstanceID, bool) { return "", true }

// MayGrant implements Roles.
func (Alone) MayGrant(time.Time) bool { return true }

// Service asks for grants, and grants for the upstreams of its own region while its roles allow it.
type Service struct {
	transport  peer.Transport
	roles      Roles
	statements *Statements
	granter    *Granter
	log        logr.Logger
}

// NewService returns a service and registers its handler on the transport, which is nil for an instance that is
// alone.
func NewService(transport peer.Transport, roles Roles, log logr.Logger) *Service {
	s := &Service{transport: transport, roles: roles, statements: NewStatements(), granter: NewGranter(), log: log}
	if transport != nil {
		transport.Handle(ServiceName, s.handle)
	}
	metrics.GetOrCreateGauge("turmericsail_intake_limited_upstreams", func() float64 { return float64(s.statements.Count()) })
	return s
}

// Hear records what an upstream stated in a response. The end of a limit is reported to the granter, since other
// instances may get too few grants to hear it themselves.
func (s *Service) Hear(upstream, region string, statement Statement) {
	if !s.statements.Hear(upstream, statement) {
		return
	}
	s.log.Info("request limit stated", "upstream", upstream, "per_second", statement.PerSecond, "unlimited", statement.Unlimited)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		if _, err := s.call(ctx, region, &peerpb.IntakeRequest{Upstream: upstream, Report: true}, statement); err != nil {
			s.log.V(1).Info("request limit not reported", "upstream", upstream, "error", err.Error())
		}
	}()
}

// Limits returns the requests per second of the limited upstreams of the own region, or false unless this instance grants
// for them.
func (s *Service) Limits(now time.Time) (map[string]float64, bool) {
	if !s.roles.MayGrant(now) {
		return nil, false
	}
	return s.granter.Limits(now), true
}

// Introduce records limits that other instances have heard, so that the first request of this instance needs a grant, too.
func (s *Service) Introduce(limits map[string]float64, now time.Time) {
	for upstream, perSecond := range limits {
		if s.statements.Introduce(upstream, perSecond, now) {
			s.log.Info("request limit learned", "upstream", upstream, "per_second", perSecond, "unlimited", false)
		}
	}
}

// Leave records that an upstream leaves.
func (s *Service) Leave(upstream string) {
	if s.statements.Leave(upstream, time.Now()) {
		s.log.Info("upstream leaves", "upstream", upstream)
	}
}

// Pause records that an upstream takes no request of this instance for a time.
func (s *Service) Pause(upstream string, pause time.Duration) {
	if s.statements.Pause(upstream, pause, time.Now()) {
		s.log.Info("upstream asks for a pause", "upstream", upstream, "pause", pause.String())
	}
}

// HeldUntil returns the time until which an upstream gets no request from this instance.
func (s *Service) HeldUntil(upstream string) time.Time { return s.statements.HeldUntil(upstream) }

// Acquire reports whether one request may be sent to an upstream now. It asks the granter if the upstream
// limits its requests.
func (s *Service) Acquire(ctx context.Context, upstream, region string) bool {
	if s.statements.Held(upstream, time.Now()) {
		return false
	}
	statement, limited := s.statements.Limited(upstream)
	if !limited {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := s.call(ctx, region, &peerpb.IntakeRequest{Upstream: upstream}, statement)
	now := time.Now()
	if err != nil {
		s.count("unreached")
		s.log.V(1).Info("no grant for a limited upstream", "upstream", upstream, "error", err.Error())
		s.statements.Hold(upstream, now.Add(unreachedPause/2+rand.N(unreachedPause)), now)
		return false
	}
	if s.statements.Hear(upstream, decode(reply.Statement, now)) {
		s.log.Info("request limit learned", "upstream", upstream, "per_second", reply.Statement.GetPerSecond(), "unlimited", reply.Statement.GetUnlimited())
	}
	if reply.Granted {
		s.count("granted")
		return true
	}
	s.count("refused")
	// The pauses are spread over twice the wait, so that the instances do not all ask for the next grant.
	wait := max(time.Duration(reply.WaitMs)*time.Millisecond, time.Millisecond)
	s.statements.Hold(upstream, now.Add(wait+rand.N(wait)), now)
	return false
}

func (s *Service) count(outcome string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("turmericsail_intake_grants_total{outcome=%q}", outcome)).Inc()
}

// call sends a request to the granter of a region.
func (s *Service) call(ctx context.Context, region string, request *peerpb.IntakeRequest, statement Statement) (*peerpb.IntakeReply, error) {
	granter, ok := s.roles.Granter(region)
	if !ok {
		return nil, fault.New(fault.Unavailable, "no instance of region "+region+" grants requests", "wait until one has taken the place")
	}
	request.Statement = encode(statement, time.Now())
	if s.transport == nil || granter == s.transport.Self() {
		return s.serve(request)
	}
	reply := &peerpb.IntakeReply{}
	return reply, s.transport.Call(peer.WithTraffic(ctx, peer.CallPath), granter, ServiceName, request, reply)
}

func (s *Service) handle(_ context.Context, _ peer.InstanceID, payload []byte) (proto.Message, error) {
	var request peerpb.IntakeRequest
	if err := proto.Unmarshal(payload, &request); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "the request cannot be decoded", "send an IntakeRequest")
	}
	return s.serve(&request)
}

// serve answers a request as the granter of the own region.
func (s *Service) serve(request *peerpb.IntakeRequest) (*peerpb.IntakeReply, error) {
	now := time.Now()
	statement := decode(request.Statement, now)
	if request.Report {
		return &peerpb.IntakeReply{Statement: encode(s.granter.Report(request.Upstream, statement, now), now)}, nil
	}
	if !s.roles.MayGrant(now) {
		return nil, fault.New(fault.Unavailable, "this instance may not grant requests now", "wait until it has held its place for the time of a lease")
	}
	granted, wait, latest := s.granter.Grant(request.Upstream, statement, now)
	return &peerpb.IntakeReply{Granted: granted, WaitMs: uint64(wait.Milliseconds()), Statement: encode(latest, now)}, nil
}

func encode(s Statement, now time.Time) *peerpb.IntakeStatement {
	age := min(max(now.Sub(s.HeardAt), 0), oldestAge)
	return &peerpb.IntakeStatement{PerSecond: s.PerSecond, Unlimited: s.Unlimited, AgeMs: uint64(age.Milliseconds())}
}

func decode(s *peerpb.IntakeStatement, now time.Time) Statement {
	age := min(time.Duration(s.GetAgeMs())*time.Millisecond, oldestAge)
	return Statement{PerSecond: s.GetPerSecond(), Unlimited: s.GetUnlimited(), HeardAt: now.Add(-age)}
}
