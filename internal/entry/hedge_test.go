package entry

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// scriptedPlanner answers each question with the next plan and keeps the questions.
type scriptedPlanner struct {
	mu    sync.Mutex
	plans []HedgePlan
	asked []HedgeRequest
}

var _ HedgePlanner = (*scriptedPlanner)(nil)

// After implements Hedger.
func (*scriptedPlanner) After(*table.Pool, *table.Route) (time.Duration, bool) {
	return 20 * time.Millisecond, true
}

// Take implements Hedger.
func (*scriptedPlanner) Take(*table.Pool, *table.Route) bool {
	panic("a planner is asked for plans only")
}

// Plan implements HedgePlanner.
func (p *scriptedPlanner) Plan(r HedgeRequest) HedgePlan {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked = append(p.asked, r)
	plan := p.plans[0]
	p.plans = p.plans[1:]
	return plan
}

// fullUpstreams is an inOrder whose full upstreams take nothing.
type fullUpstreams struct{ full []string }

// Acquire implements Placement.
func (f fullUpstreams) Acquire(ctx context.Context, r AcquireRequest) (Permit, error) {
	r.Exclude = slices.Concat(r.Exclude, f.full)
	return inOrder{}.Acquire(ctx, r)
}

// endings keeps the last observation of each attempt.
type endings struct {
	mu   sync.Mutex
	list []Observation
	seen chan struct{}
}

// Observe implements Observer.
func (e *endings) Observe(o *Observation) {
	if o.Result.Ending != "" {
		e.mu.Lock()
		e.list = append(e.list, *o)
		e.mu.Unlock()
		e.seen <- struct{}{}
	}
}

// Guards against a second copy that goes to an avoided upstream while another one has room, or nowhere although only avoided
// ones have room, against a planner that is not asked again, and against a loser that is not cancelled at once or that
// observers cannot tell from an attempt whose caller left.
func TestSecondCopyFollowsThePlan(t *testing.T) {
	for _, c := range []struct {
		name        string
		avoid, full []string
		want        string
	}{
		{"next upstream", nil, nil, "u2"},
		{"avoided", []string{"u1", "u2"}, nil, "u3"},
		{"others are full", []string{"u1", "u2"}, []string{"u3"}, "u2"},
		{"all avoided", []string{"u1", "u2", "u3"}, nil, "u2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cancelled := make(chan struct{})
			slow := serveUpstream(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				<-r.Context().Done()
				close(cancelled)
			}))
			fast := serveUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }))
			planner := &scriptedPlanner{plans: []HedgePlan{{Wait: time.Millisecond}, {Send: true, Avoid: c.avoid}}}
			ended := &endings{seen: make(chan struct{}, 10)}
			h := newHarness(t, testRoute(), []string{slow, fast, fast}, withPorts(func(p *Ports) {
				p.Placement, p.Hedger, p.Observers = fullUpstreams{c.full}, planner, []Observer{ended}
			}))
			r := h.do("GET", "/", nil)
			is.Equal(r.body, "ok")
			<-cancelled
			<-ended.seen
			<-ended.seen
			is.Equal(len(planner.asked), 2)
			is.Equal(planner.asked[1].Upstream.ID, "u1")
			is.True(!planner.asked[1].Placed.IsZero() && !planner.asked[1].Suspect)
			for _, o := range ended.list {
				first := o.Upstream.ID == "u1"
				is.Equal(o.Superseded, first)
				is.Equal(o.Hedge, !first)
				if !first {
					is.Equal(o.Upstream.ID, c.want)
				}
			}
		})
	}
}

// blockedUntil is a Placement that gives the first copy an upstream late.
type blockedUntil struct {
	open chan struct{}
}

// Acquire implements Placement.
func (b blockedUntil) Acquire(ctx context.Context, r AcquireRequest) (Permit, error) {
	select {
	case <-b.open:
		return inOrder{}.Acquire(ctx, r)
	case <-ctx.Done():
		return nil, fault.New(fault.Exhausted, "no room", "try again")
	}
}

// Guards against a second copy for a request whose first copy is still waiting for an upstream, where both would compete for
// the same slot, and against one for a request that has become a suspect in the meantime.
func TestPlannerKnowsTheState(t *testing.T) {
	is := is.New(t)
	up := serveUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }))
	planner := &scriptedPlanner{plans: []HedgePlan{{Wait: time.Millisecond}, {}}}
	suspects := &laterSuspect{}
	open := make(chan struct{})
	h := newHarness(t, testRoute(), []string{up}, withPorts(func(p *Ports) {
		p.Placement, p.Hedger, p.Quarantine = blockedUntil{open}, planner, suspects
	}))
	time.AfterFunc(200*time.Millisecond, func() { close(open) })
	is.Equal(h.do("GET", "/", nil).body, "ok")
	planner.mu.Lock()
	defer planner.mu.Unlock()
	is.Equal(len(planner.asked), 2)
	is.True(planner.asked[0].Placed.IsZero() && planner.asked[0].Upstream.ID == "")
	is.True(planner.asked[0].Suspect)
	is.Equal(suspects.held, 0)
}

// laterSuspect admits a request as a suspect from the second time on.
type laterSuspect struct {
	noQuarantine
	mu             sync.Mutex
	admitted, held int
}

// Admit implements Quarantine.
func (s *laterSuspect) Admit(context.Context, *table.Route, Fingerprint) (Admission, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admitted++
	s.held++
	return Admission{Suspect: s.admitted > 1, Done: func() { s.mu.Lock(); s.held--; s.mu.Unlock() }}, true
}

// holdingQuarantine admits a request once and holds it then.
type holdingQuarantine struct {
	noQuarantine
	admitted atomic.Bool
}

// Admit implements Quarantine.
func (q *holdingQuarantine) Admit(ctx context.Context, _ *table.Route, _ Fingerprint) (Admission, bool) {
	if q.admitted.CompareAndSwap(false, true) {
		return Admission{Done: func() {}}, true
	}
	<-ctx.Done()
	return Admission{}, false
}

// askedPlanner tells when it is asked for a plan, and never sends a second copy.
type askedPlanner struct {
	scriptedPlanner
	asked   chan struct{}
	suspect atomic.Bool
}

// Plan implements HedgePlanner.
func (p *askedPlanner) Plan(r HedgeRequest) HedgePlan {
	p.suspect.Store(r.Suspect)
	close(p.asked)
	return HedgePlan{}
}

// Guards against a response that waits for the decision on a second copy while quarantine holds the request.
func TestResponseDoesNotWaitWhileQuarantineHoldsTheRequest(t *testing.T) {
	is := is.New(t)
	planner := &askedPlanner{asked: make(chan struct{})}
	up := serveUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-planner.asked:
			_, _ = w.Write([]byte("ok"))
		case <-r.Context().Done():
		}
	}))
	h := newHarness(t, testRoute(), []string{up}, withPorts(func(p *Ports) {
		p.Hedger, p.Quarantine = planner, &holdingQuarantine{}
	}))
	begin := time.Now()
	is.Equal(h.do("GET", "/", nil).body, "ok")
	is.True(time.Since(begin) < testRoute().Deadline.Std()/2)
	is.True(planner.suspect.Load())
}
