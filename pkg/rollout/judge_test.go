package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const testLimit = 2700 * time.Millisecond

var testFleet = Fleet{Old: 40, Target: 40, Used: 3, Limit: testLimit}

// evidenceOf returns evidence on one route with the given bad answers of the target, spread over so many upstreams.
func evidenceOf(old, target Counts, upstreams int) Evidence {
	e := newEvidence()
	e.Routes["r"] = Pair{old, target}
	for i := range upstreams {
		part := func(n int) int { return n/upstreams + min(1, max(0, n%upstreams-i)) }
		e.Upstreams[fmt.Sprint(i)] = Counts{part(target.Answers), part(target.Failures), part(target.Timed), part(target.Slow)}
	}
	return e
}

// Guards against a version that is condemned by what is no property of it, and against one that is bad and is not.
func TestEvidence(t *testing.T) {
	for _, c := range []struct {
		name        string
		old, target Counts
		upstreams   int
		want        finding
	}{
		{"no answers", Counts{}, Counts{}, 3, inconspicuous},
		{"no failures", Counts{1000, 0, 1000, 0}, Counts{60, 0, 60, 0}, 3, inconspicuous},
		{"one failure", Counts{1000, 0, 1000, 0}, Counts{60, 1, 60, 0}, 3, inconspicuous},
		{"failures of both", Counts{1000, 300, 1000, 0}, Counts{60, 20, 60, 0}, 3, inconspicuous},
		{"failures", Counts{1000, 0, 1000, 0}, Counts{30, 10, 30, 0}, 3, condemned},
		{"failures of one upstream", Counts{1000, 0, 1000, 0}, Counts{30, 10, 30, 0}, 1, suspicious},
		{"few failures", Counts{1000, 0, 1000, 0}, Counts{60, 3, 60, 0}, 3, suspicious},
		{"slow", Counts{1000, 0, 1000, 10}, Counts{60, 0, 60, 20}, 3, condemned},
		{"slow with noisy neighbours", Counts{1000, 0, 1000, 100}, Counts{60, 0, 60, 7}, 3, inconspicuous},
		{"slow at one upstream", Counts{1000, 0, 1000, 10}, Counts{60, 0, 60, 20}, 1, suspicious},
		{"a difference that large numbers make certain", Counts{100000, 100, 1, 0}, Counts{100000, 400, 1, 0}, 40, inconspicuous},
		{"no answers of the old version", Counts{}, Counts{60, 30, 60, 0}, 3, inconspicuous},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := evidenceOf(c.old, c.target, c.upstreams)
			found, _ := e.compare(3)
			is.New(t).Equal(found, c.want)
		})
	}
}

// Guards against a wrong probability: it must be that of drawing without replacement.
func TestFisher(t *testing.T) {
	is := is.New(t)
	near := func(a, b float64) { t.Helper(); is.True(a > 0.999*b && a < 1.001*b) }
	near(fisher(3, 3, 0, 3), 1.0/20)
	near(fisher(1, 1, 0, 9), 1.0/10)
	near(fisher(0, 5, 3, 5), 1)
	near(fisher(2, 4, 2, 4), 53.0/70)
}

// Guards against a false-positive rate above the stated one: versions that are equal, with failures of both and much slow
// noise, looked at 40 times.
func TestEqualVersionsAreNotCondemned(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 4))
	const histories = 1500
	wrong := 0
	for range histories {
		now := time.Unix(1000, 0)
		j := NewJudge(now)
		total := Evidence{Routes: map[string]Pair{}, Upstreams: map[string]Counts{}}
		draw := func(n int) (c Counts) {
			c.Answers, c.Timed = n, n
			for range n {
				if random.Float64() < 0.03 {
					c.Failures++
				} else if random.Float64() < 0.1 {
					c.Slow++
				}
			}
			return c
		}
		for range 40 {
			now = now.Add(300 * time.Millisecond)
			for route := range 3 {
				name := fmt.Sprint(route)
				target := draw(2)
				id := fmt.Sprint(random.IntN(3))
				total.Upstreams[id] = total.Upstreams[id].plus(target)
				p := total.Routes[name]
				total.Routes[name] = Pair{p.Old.plus(draw(20)), p.Target.plus(target)}
			}
			next := newEvidence()
			next.add(total, Evidence{})
			j.Report("i", Report{Evidence: next}, now)
		}
		if j.Condemned(3, now.Add(time.Second)) != "" {
			wrong++
		}
	}
	t.Logf("%d of %d condemned", wrong, histories)
	if wrong > 1+histories/1000 {
		t.Errorf("%d of %d equal versions condemned", wrong, histories)
	}
}

// Guards against stages that begin too early, a verdict while requests may be at old upstreams, and a roll-out that goes on
// beyond its deadline.
func TestDecisions(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	good := evidenceOf(Counts{2000, 0, 2000, 0}, Counts{100, 0, 100, 0}, 3)
	few := evidenceOf(Counts{2000, 0, 2000, 0}, Counts{5, 0, 5, 0}, 3)
	odd := evidenceOf(Counts{2000, 0, 2000, 0}, Counts{100, 3, 100, 0}, 3)
	bad := evidenceOf(Counts{2000, 0, 2000, 0}, Counts{100, 30, 100, 0}, 3)
	cold := testFleet
	cold.Target = 0
	onlyTarget := testFleet
	onlyTarget.Old = 0
	for _, c := range []struct {
		name     string
		stage    Stage
		since    float64
		now      float64
		evidence Evidence
		drained  bool
		fleet    Fleet
		want     Action
	}{
		{"canary", Canary, 0, 4, good, false, testFleet, Wait},
		{"canary over", Canary, 0, 6, good, false, testFleet, Advance},
		{"canary with an early report only", Canary, 0, 3.6, good, false, testFleet, Wait},
		{"canary with few answers", Canary, 0, 6, few, false, testFleet, Wait},
		{"canary, suspicious", Canary, 0, 6, odd, false, testFleet, Wait},
		{"canary, bad", Canary, 0, 2, bad, false, testFleet, RollBack},
		{"cold upstreams", Canary, 0, 6, good, false, cold, Wait},
		{"quarter", Quarter, 6, 6.5, good, false, testFleet, Wait},
		{"quarter over", Quarter, 6, 7.9, good, false, testFleet, Advance},
		{"all", All, 8, 10, good, true, testFleet, Wait},
		{"all, requests ended", All, 8, 11.2, good, true, testFleet, Complete},
		{"all, a request runs", All, 8, 11.2, good, false, testFleet, Wait},
		{"all, bad", All, 8, 11.2, bad, true, testFleet, RollBack},
		{"too late", Half, 8, 13.3, few, false, testFleet, RollBack},
		{"never up", Canary, 0, 13.3, few, false, cold, RollBack},
		{"no old upstreams", Canary, 0, 3, few, false, onlyTarget, Advance},
		{"no old upstreams after the deadline", Canary, 0, 30, few, false, onlyTarget, Advance},
		{"no old upstreams in the last stage after the deadline", All, 29, 30, few, false, onlyTarget, Complete},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := NewJudge(start)
			j.Report("i", Report{Stage: Canary, Evidence: evidenceOf(Counts{1, 0, 1, 0}, Counts{1, 0, 1, 0}, 1)}, at(0.5))
			j.Report("i", Report{Stage: c.stage, Drained: c.drained, Evidence: c.evidence}, at(c.now-0.1))
			r := Begin(Order{Target: "v2", Duration: 14 * time.Second, Revision: 1}, nil, start)
			r.Stage, r.Since = c.stage, at(c.since)
			if before := j.Decide(at(c.now-1), &r, c.fleet); before.Action == RollBack && c.want != RollBack {
				t.Errorf("rolled back a second before: %s", before.Reason)
			}
			d := j.Decide(at(c.now), &r, c.fleet)
			if d.Action != c.want {
				t.Errorf("%v (%s), want %v", d.Action, d.Reason, c.want)
			}
		})
	}
}

// Guards against a good version that is rolled back after a restart of all instances: the new judge hears of the first answers
// some seconds after it begins and takes the version for one that has just started, until no time is left for the later stages.
// A version that did start late is watched for its cold time.
func TestTimeOfTheFirstAnswers(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	for _, c := range []struct {
		name                       string
		began, answered, warm, now float64
		want                       Action
	}{
		{"judge that began after the version was warm", 4, 5.8, 3.2, 6.5, Advance},
		{"judge that began while the version was cold", 3, 4.6, 3.2, 6.5, Advance},
		{"judge that hears of earlier answers at once", 4, 4.5, 3.2, 6.5, Advance},
		{"version that started late", 0.2, 2.5, 5, 5.8, Wait},
		{"version that started late, warm", 0.2, 2.5, 5, 6.1, Advance},
		{"version without known starts", 0.2, 2.5, 0, 5.8, Wait},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := NewJudge(at(c.began))
			r := Begin(Order{Target: "v2", Duration: 14 * time.Second, Revision: 1}, nil, start)
			j.Report("i", Report{Stage: Canary, Evidence: evidenceOf(Counts{10, 0, 10, 0}, Counts{}, 1)}, at(c.began+0.1))
			j.Report("i", Report{Stage: Canary, Evidence: evidenceOf(Counts{1000, 0, 1000, 0}, Counts{50, 0, 50, 0}, 3)}, at(c.answered))
			j.Report("i", Report{Stage: Canary, Evidence: evidenceOf(Counts{2000, 0, 2000, 0}, Counts{100, 0, 100, 0}, 3)}, at(c.now-0.1))
			fleet := testFleet
			if c.warm > 0 {
				fleet.WarmSince = at(c.warm)
			}
			if d := j.Decide(at(c.now), &r, fleet); d.Action != c.want {
				t.Errorf("%v (%s), want %v", d.Action, d.Reason, c.want)
			}
		})
	}
}

// Guards against a judge that is cut off from most instances, but not from the store, and that advances or completes.
func TestJudgeThatHearsFew(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	for _, c := range []struct {
		stage Stage
		now   float64
		heard int
		want  Action
	}{
		{Canary, 6, 5, Advance}, {Canary, 6, 4, Wait}, {All, 11.5, 5, Complete}, {All, 11.5, 4, Wait},
	} {
		is := is.New(t)
		j := NewJudge(start)
		for i := range 10 {
			j.Report(fmt.Sprint(i), Report{Evidence: evidenceOf(Counts{200, 0, 200, 0}, Counts{10, 0, 10, 0}, 3)}, at(1))
		}
		for i := range c.heard {
			j.Report(fmt.Sprint(i), Report{Stage: c.stage, Drained: true, Evidence: evidenceOf(Counts{210, 0, 210, 0}, Counts{11, 0, 11, 0}, 3)}, at(c.now-0.5))
		}
		r := Begin(Order{Target: "v2", Duration: 14 * time.Second, Revision: 1}, nil, start)
		r.Stage = c.stage
		is.Equal(j.Decide(at(c.now), &r, testFleet).Action, c.want)
	}
}

// Guards against a new judge that is cut off from the other instances, has heard only itself, and advances or completes.
func TestJudgeThatHasNotHeardMost(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	for _, c := range []struct {
		name  string
		stage Stage
		old   int
		now   float64
		heard int
		want  Action
	}{
		{"canary, most heard", Canary, 40, 6, 6, Advance},
		{"canary, half heard", Canary, 40, 6, 5, Wait},
		{"canary, one heard", Canary, 40, 6, 1, Wait},
		{"all, most heard", All, 40, 11.5, 6, Complete},
		{"all, half heard", All, 40, 11.5, 5, Wait},
		{"all, one heard at the deadline", All, 40, 13.3, 1, RollBack},
		{"no old upstreams, one heard", Canary, 0, 6, 1, Wait},
		{"no old upstreams, one heard at the deadline", All, 0, 13.3, 1, Wait},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := NewJudge(start)
			fleet := testFleet
			fleet.Old, fleet.Instances = c.old, 10
			r := Begin(Order{Target: "v2", Duration: 14 * time.Second, Revision: 1}, nil, start)
			r.Stage = c.stage
			for _, now := range []float64{1, c.now - 2, c.now} {
				for i := range c.heard {
					j.Report(fmt.Sprint(i), Report{Stage: c.stage, Drained: true, Evidence: evidenceOf(Counts{2000, 0, 2000, 0}, Counts{int(100 + now), 0, 100, 0}, 3)}, at(now-0.1))
				}
				d := j.Decide(at(now), &r, fleet)
				if now == c.now && d.Action != c.want {
					t.Errorf("%v (%s), want %v", d.Action, d.Reason, c.want)
				}
			}
		})
	}
}

// Guards against a verdict while requests run at old upstreams: when the write of the last stage is applied late, when the old
// upstreams are not listed any more, and when the instance that has such requests reports seldom.
func TestDrainWait(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	for _, c := range []struct {
		name     string
		old      int
		seen     float64
		interval time.Duration
		reported float64 // the time of the report of an instance with requests, or 0
		now      float64
		want     Action
	}{
		{"waited", 40, 8, 0, 0, 11.2, Complete},
		{"written late", 40, 9.5, 0, 0, 11.2, Wait},
		{"written late, waited", 40, 9.5, 0, 0, 12.7, Complete},
		{"no old upstreams", 0, 8, 0, 0, 10, Wait},
		{"no old upstreams, waited", 0, 8, 0, 0, 11.2, Complete},
		{"silent instance", 40, 8, 500 * time.Millisecond, 8.5, 11.2, Complete},
		{"instance that reports seldom", 40, 8, 1200 * time.Millisecond, 8.5, 11.2, Wait},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := NewJudge(start)
			fleet := testFleet
			fleet.Old, fleet.AllSeen, fleet.ReportInterval = c.old, at(c.seen), c.interval
			r := Begin(Order{Target: "v2", Duration: 14 * time.Second, Revision: 1}, nil, start)
			r.Stage, r.Since = All, at(8)
			good := evidenceOf(Counts{2000, 0, 2000, 0}, Counts{100, 0, 100, 0}, 3)
			if c.reported > 0 {
				j.Report("busy", Report{Stage: All, Evidence: good}, at(c.reported))
			}
			for _, instance := range []string{"a", "b"} {
				j.Report(instance, Report{Stage: All, Drained: true, Evidence: good}, at(c.now-0.1))
			}
			if d := j.Decide(at(c.now), &r, fleet); d.Action != c.want {
				t.Errorf("%v (%s), want %v", d.Action, d.Reason, c.want)
			}
		})
	}
}

// Guards against a bad version that gets more requests than it may because the stage quarter or half cannot end, or takes more
// than its share.
func TestExposureIsBounded(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	evidence := func(old, target int) Evidence {
		return evidenceOf(Counts{old, 0, old, 0}, Counts{target, 0, target, 0}, 3)
	}
	lacking, onlyTarget := testFleet, testFleet
	lacking.Target, onlyTarget.Old = 10, 0
	for _, c := range []struct {
		name        string
		stage       Stage
		since, now  float64
		old, target int
		fleet       Fleet
		want        Action
	}{
		{"canary that lasts on", Canary, 0, 9, 1800, 100, lacking, Advance},
		{"quarter", Quarter, 5.6, 8, 1400, 140, lacking, Wait},
		{"quarter that lasts on", Quarter, 5.6, 8.8, 1400, 140, lacking, RollBack},
		{"quarter that began late", Quarter, 8, 8.8, 1400, 140, lacking, Wait},
		{"half that lasts on", Half, 7.4, 9.6, 1400, 140, lacking, RollBack},
		{"quarter, many requests", Quarter, 5.6, 7, 1000, 200, testFleet, Wait},
		{"quarter, too many requests", Quarter, 5.6, 7, 900, 300, testFleet, RollBack},
		{"all, many requests", All, 8, 9, 900, 900, testFleet, Wait},
		{"no old upstreams", Half, 7.4, 9.6, 900, 900, onlyTarget, Advance},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := NewJudge(start)
			r := Begin(Order{Target: "v2", Duration: 14 * time.Second, Revision: 1}, nil, start)
			r.Stage, r.Since = c.stage, at(c.since)
			j.Report("i", Report{Stage: c.stage, Evidence: evidence(10, 10)}, at(0.5))
			j.Decide(at(2), &r, c.fleet)
			j.Report("i", Report{Stage: c.stage, Evidence: evidence(c.old, c.target)}, at(c.now-0.1))
			if d := j.Decide(at(c.now), &r, c.fleet); d.Action != c.want {
				t.Errorf("%v (%s), want %v", d.Action, d.Reason, c.want)
			}
		})
	}
}

// Guards against evidence that is counted twice or lost when reports are lost, repeated or reordered, or when an instance
// restarts.
func TestReportsAreIdempotent(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	report := func(n int) Report { return Report{Evidence: evidenceOf(Counts{n, 0, n, 0}, Counts{n, 0, n, 0}, 1)} }
	j := NewJudge(now)
	for _, n := range []int{5, 5, 20, 10, 20} {
		j.Report("a", report(n), now)
	}
	j.Report("a/again", report(3), now)
	is.Equal(j.Total().Target.Answers, 23)
}

// Guards against counts that are added twice for an upstream that a report does not list, as only those with the most bad
// answers are listed.
func TestUpstreamsThatReturnToReports(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	j := NewJudge(now)
	report := func(upstreams map[string]Counts) {
		j.Report("a", Report{Evidence: Evidence{Upstreams: upstreams}}, now)
	}
	first := map[string]Counts{"u1": {10, 4, 10, 0}, "u2": {5, 0, 5, 0}}
	report(first)
	report(map[string]Counts{"u2": {6, 5, 6, 0}})
	report(nil)
	report(map[string]Counts{"u1": {11, 5, 11, 0}, "u2": {6, 5, 6, 0}})
	is.Equal(j.all.Upstreams, map[string]Counts{"u1": {11, 5, 11, 0}, "u2": {6, 5, 6, 0}})
	is.Equal(len(first), 2) // the reports are not changed
}

// Guards against reports that list other upstreams each time, if many have the same number of bad answers.
func TestReportedUpstreamsAreStable(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	now := time.Unix(1000, 0)
	for i := range 3 * maxReported {
		a := tr.Begin("r", time.Second, true)
		a.Placed(fmt.Sprintf("u%02d", i), false, 1, now)
		a.End(Succeeded, time.Millisecond)
	}
	for range 5 {
		reported := tr.Report(now, Canary).Evidence.Upstreams
		is.Equal(len(reported), maxReported)
		for i := range maxReported {
			is.Equal(reported[fmt.Sprintf("u%02d", i)].Answers, 1)
		}
	}
}

// Guards against evidence that is not counted: attempts that run for long must show before they end, and once only, and those
// of cold upstreams say nothing about the time.
func TestTracker(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tr := NewTracker()
	begin := func(toTarget, cold bool, slowdown float64) *Attempt {
		a := tr.Begin("r", time.Second, toTarget)
		a.Placed("u", cold, slowdown, now)
		return a
	}
	counts := func() Pair { return tr.Report(now, Canary).Evidence.Routes["r"] }
	old := begin(false, false, 1)
	is.True(!tr.Report(now, Canary).Drained)
	old.End(Succeeded, 400*time.Millisecond)
	old.End(Succeeded, 400*time.Millisecond)
	is.True(tr.Report(now, Canary).Drained)
	is.Equal(counts().Old, Counts{1, 0, 1, 0})
	running := begin(true, false, 1)
	now = now.Add(1300 * time.Millisecond)
	is.Equal(counts().Target, Counts{0, 0, 1, 1})
	is.Equal(counts().Target, Counts{0, 0, 1, 1})
	running.End(Succeeded, 3*time.Second)
	is.Equal(counts().Target, Counts{1, 0, 1, 1})
	begin(true, true, 1).End(Succeeded, 3*time.Second) // cold
	is.Equal(counts().Target, Counts{2, 0, 1, 1})
	begin(true, false, 1).End(Failed, time.Millisecond)
	is.Equal(counts().Target, Counts{3, 1, 1, 1})
	begin(true, false, 1).End(Overtaken, 900*time.Millisecond)
	is.Equal(counts().Target, Counts{3, 1, 2, 2})
	begin(true, false, 4).End(Overtaken, 900*time.Millisecond) // a noisy neighbour
	begin(true, false, 1).End(Overtaken, 100*time.Millisecond) // the caller left
	begin(true, false, 1).End(NoEvidence, 0)
	is.Equal(counts().Target, Counts{3, 1, 2, 2})
	begin(true, false, 4).End(Succeeded, 1500*time.Millisecond)
	is.Equal(counts().Target, Counts{4, 1, 3, 2})
	begin(true, false, 1).End(TimedOut, 2500*time.Millisecond)
	is.Equal(counts().Target, Counts{5, 1, 4, 3})
}

// Measures what a report costs the judge, which several hundred instances send reports to.
func BenchmarkReport(b *testing.B) {
	now := time.Unix(1000, 0)
	j := NewJudge(now)
	for i := range b.N {
		e := newEvidence()
		for route := range 10 {
			e.Routes[fmt.Sprint(route)] = Pair{Counts{i, i / 100, i, i / 50}, Counts{i / 15, i / 1500, i / 15, i / 700}}
		}
		for u := range maxReported {
			e.Upstreams[fmt.Sprint(u)] = Counts{i / 100, 0, i / 100, 0}
		}
		now = now.Add(2500 * time.Microsecond)
		j.Report(fmt.Sprint(i%400), Report{Evidence: e}, now)
		j.Condemned(13, now)
	}
}
