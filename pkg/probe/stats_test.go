package probe

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(10_000, 0)

// newTestStats returns stats with a usual latency of 10 ms and n answers with one
// outcome in the current window; the earlier ones have left it.
func newTestStats(o Outcome, latency time.Duration, n int) *Stats {
	s := NewStats(DefaultSettings())
	for range 50 {
		s.Record(start.Add(-time.Minute), Success, 10*time.Millisecond)
	}
	for range n {
		s.Record(start, o, latency)
	}
	return s
}

// Guards against conditions that are confused, so that an upstream gets the wrong treatment.
func TestConditions(t *testing.T) {
	ms := time.Millisecond
	report := func(state State) func(*Stats) {
		return func(s *Stats) { s.RecordLoad(Load{Slots: 4, State: state, At: start}) }
	}
	endpoint := func(ok bool) func(*Stats) { return func(s *Stats) { s.RecordProbe(start, ok) } }
	for _, c := range []struct {
		want    Condition
		outcome Outcome
		latency time.Duration
		answers int
		then    func(*Stats)
	}{
		{Unknown, Success, 10 * ms, 2, nil},
		{Healthy, Success, 12 * ms, 9, nil},
		{Healthy, Success, 12 * ms, 1, report(StateOK)},
		{Healthy, Success, 12 * ms, 0, endpoint(true)},
		{Healthy, Success, 12 * ms, 9, endpoint(false)}, // a failing health endpoint does not outweigh successful requests
		{Failing, Success, 12 * ms, 0, endpoint(false)},
		{Slow, Success, 60 * ms, 9, nil},
		{Slow, Timeout, time.Second, 9, report(StateOK)},
		{Draining, Success, 10 * ms, 9, report(StateDraining)},
		{Draining, Shed, ms, 9, report(StateDraining)},
		{Cold, Success, 60 * ms, 9, report(StateCold)},
		{Shedding, Shed, ms, 9, nil},
		{Shedding, Success, 10 * ms, 9, report(StateShedding)},
		{FailingFast, Failure, ms, 9, nil},
		{FailingFast, Failure, ms, 9, endpoint(false)},
		{Failing, Failure, 15 * ms, 9, nil},
		{Misleading, Failure, ms, 9, endpoint(true)},
		{Misleading, Failure, ms, 9, report(StateOK)},
	} {
		t.Run(fmt.Sprint(c.want, c.outcome, c.latency, c.answers), func(t *testing.T) {
			is := is.New(t)
			s := newTestStats(c.outcome, c.latency, c.answers)
			if c.then != nil {
				c.then(s)
			}
			is.Equal(s.Evaluate(start, 0).Condition, c.want)
		})
	}
}

// Guards against an upstream that has always been slow and is not detected, and against
// old answers and reports that never expire.
func TestConditionDependsOnTimeAndPool(t *testing.T) {
	is := is.New(t)
	s := newTestStats(Success, 10*time.Millisecond, 9)
	is.Equal(s.Evaluate(start, 2*time.Millisecond).Condition, Slow)
	s = newTestStats(Failure, time.Millisecond, 9)
	s.RecordLoad(Load{State: StateDraining, At: start})
	is.Equal(s.Evaluate(start.Add(loadTTL), 0).Condition, Unknown)
	s.RecordLoad(Load{State: StateOK, At: start.Add(-time.Second)})
	is.Equal(s.Load().State, StateDraining) // late reports do not replace newer ones
}

// Guards against a slow phase that becomes the baseline within seconds and is then no
// longer detected.
func TestSlowPhaseDoesNotBecomeBaseline(t *testing.T) {
	is := is.New(t)
	s := newTestStats(Success, 60*time.Millisecond, 9)
	for k := range 6000 { // 30 s
		s.Record(start.Add(time.Duration(k)*5*time.Millisecond), Success, 60*time.Millisecond)
	}
	is.Equal(s.Evaluate(start.Add(30*time.Second), 0).Condition, Slow)
}

// Guards against an upstream that attracts load because it fails fast and looks idle,
// and against an outage of the whole pool after which no upstream is left.
func TestEjectionIsLimited(t *testing.T) {
	is := is.New(t)
	e := NewEjector(DefaultSettings())
	pool := make(map[string]Summary)
	for i := range 12 {
		pool[fmt.Sprint(i)] = Summary{Condition: Healthy, Successes: 9}
	}
	pool["3"] = Summary{Condition: FailingFast, Failed: 0.9}
	a := e.Step(start, pool)
	is.True(a["3"].Ejected && !a["3"].Usable && a["4"].Usable)
	pool["3"] = Summary{Condition: Unknown}
	back := start.Add(6 * time.Second)
	is.Equal(e.Step(back, pool)["3"], Advice{Usable: true, Penalty: failingPenalty}) // on trial
	pool["3"] = Summary{Condition: Misleading, Failed: 0.9}
	is.True(e.Step(back, pool)["3"].Ejected)
	pool["3"] = Summary{Condition: Unknown}
	is.True(e.Step(back.Add(6*time.Second), pool)["3"].Ejected) // twice as long
	pool["3"] = Summary{Condition: Healthy, Successes: 9}
	is.Equal(e.Step(back.Add(11*time.Second), pool)["3"], Advice{Usable: true, Penalty: noPenalty})
	for id := range pool {
		pool[id] = Summary{Condition: Failing, Failed: 1}
	}
	out := 0
	for _, x := range e.Step(back.Add(12*time.Second), pool) {
		if x.Ejected {
			out++
		} else {
			is.Equal(x.Penalty, float64(failingPenalty))
		}
	}
	is.Equal(out, 3) // 30% of 12, rounded down
	is.True(!NewEjector(DefaultSettings()).Step(start, map[string]Summary{"only": {Condition: Failing}})["only"].Ejected)
}
