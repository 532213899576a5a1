package rollout

import (
	"maps"
	"time"
)

const (
	// reserve is the time before the deadline that is kept for a slow store.
	reserve = 2600 * time.Millisecond
	// drainMargin is how much longer than the longest request of the pool the wait after the last stage is: instances learn of
	// the stage within half a second.
	drainMargin = 400 * time.Millisecond
	// quarterTime is the planned time of the stage quarter, in which slow answers of a route with few requests show: learning of
	// the stage, 1.25 s until an answer is slow at a target of 1 s, and a report.
	quarterTime = 1800 * time.Millisecond
	// halfTime is the planned time of the stage half. With an order of 14 s the three stages use 8.8 % of all requests.
	halfTime = 900 * time.Millisecond
	// minStageTime is their shortest time, if the plan is late.
	minStageTime = 900 * time.Millisecond
	// minCanaryTime is the shortest time with answers of the target: upstreams are cold for 3 s.
	minCanaryTime = 3500 * time.Millisecond
	// earlySlack is the number of requests that may be spent on an earlier stage quarter, of the 50 that a bad version may get
	// beyond a tenth. Small pools need them: they have little evidence, and a tenth of their requests is little more than 50.
	earlySlack = 40
	// maxEarlyTime bounds how much earlier it begins.
	maxEarlyTime = 2 * time.Second
	// maxCanaryTime bounds the canary stage of orders with a long duration.
	maxCanaryTime = 20 * time.Second
	// onlyTargetTime is how long no other version must be in service until the stages are skipped, as when the version serves the
	// pool already, or when the store was restored from a copy without the verdict.
	onlyTargetTime = time.Second
	// lateReserve replaces reserve if the stages before the last one need more time.
	lateReserve = 1500 * time.Millisecond
	// giveUpTime is the time before the deadline at which a roll-out without a verdict is rolled back, long enough for a write.
	giveUpTime = 800 * time.Millisecond
	// suspicionTime is how long a version may be suspicious in the stages after canary: waiting there uses up the share of the
	// requests that a bad version may get.
	suspicionTime = 2 * time.Second
	// lastSuspicionTime replaces it in the last stage, in which a second costs 7 % of all requests of an order of 14 s.
	lastSuspicionTime = time.Second
	// exposureShare and exposureSlack bound the requests that a version may get before its last stage, as a share of all that
	// are expected until the deadline and a number beyond it.
	exposureShare = 0.1
	exposureSlack = 50
	// silentTime is how long an instance is silent that is taken for dead or cut off, at least silentIntervals report intervals:
	// the time between two reports varies by a quarter, and one report may be lost.
	silentTime      = 2 * time.Second
	silentIntervals = 2.5
	// learnTime is how long a judge that has just begun collects reports before it decides.
	learnTime = 1500 * time.Millisecond
	// recentTime is the length of the window in which a late fault shows that is small among all answers since the order.
	recentTime = 3 * time.Second
	// bucketTime is the resolution of the window.
	bucketTime = 500 * time.Millisecond
	// lookInterval is the time between two comparisons of the versions. Several hundred reports a second arrive at a judge, which
	// may have a ninth of a core.
	lookInterval = 100 * time.Millisecond
	// minAnswers is the number of answers of the target version without which no stage is justified. A pool with few
	// requests needs fewer, by minAnswersShare of those of the old version.
	minAnswers      = 8
	minAnswersShare = 0.02
	// minAnswersForAll and minAnswersForAllShare replace them before the last stage, after which every second costs a bad
	// version's share.
	minAnswersForAll      = 30
	minAnswersForAllShare = 0.08
)

// Report is what an instance tells the judge, since it first saw the order.
type Report struct {
	// Stage is the stage that is in force at the instance.
	Stage Stage
	// Drained is set if the instance has no request at an upstream of another version than the target.
	Drained bool
	// Condemned is set if the instance knows from an earlier judge that the version is bad.
	Condemned bool
	Evidence  Evidence
}

// Fleet is what the judge knows of the pool.
type Fleet struct {
	// Old and Target are the numbers of upstreams in service of the old version, and of the target version that are warm.
	Old, Target int
	// WarmSince is when the first of the Target upstreams became warm, or zero if their starts are not known.
	WarmSince time.Time
	// Used is the number of upstreams of the target version that the stage uses.
	Used int
	// Limit is the longest time that a request of the pool may take.
	Limit time.Duration
	// Instances is the number of instances that may send requests to the pool, or 0 if this one has no peers.
	Instances int
	// ReportInterval is the mean time between two reports of an instance.
	ReportInterval time.Duration
	// AllSeen is when the judge's instance first saw the stage all in the store, or zero.
	AllSeen time.Time
}

// silentTime returns how long an instance is silent that is taken for dead or cut off.
func (f Fleet) silentTime() time.Duration {
	return max(silentTime, time.Duration(silentIntervals*float64(f.ReportInterval)))
}

// Action is what the judge decides.
type Action string

// Actions of a judge.
const (
	Wait     Action = "wait"
	Advance  Action = "advance"
	Complete Action = "complete"
	RollBack Action = "roll back"
)

// Decision is an action with its reason.
type Decision struct {
	Action Action
	Reason string
}

// Judge collects the evidence of one roll-out. Its decisions follow from the reports, the record and the time alone, so that a
// judge that takes over decides the same once the instances have reported to it.
type Judge struct {
	began           time.Time
	instances       map[string]heard
	all             Evidence
	buckets         []bucket
	condemned       string    // the reason
	answered        time.Time // when the first answers of the target version were reported to this judge
	atStage         map[Stage]Pair
	suspected       time.Time // since when the version is suspicious
	lookedAt        time.Time // when the versions were compared, with the result found
	found           finding
	onlyTargetSince time.Time // since when no upstream of another version is in service
}

type heard struct {
	Report
	at time.Time
}

type bucket struct {
	from time.Time
	Evidence
}

// NewJudge returns a judge without evidence.
func NewJudge(now time.Time) *Judge {
	return &Judge{began: now, instances: map[string]heard{}, all: newEvidence(), atStage: map[Stage]Pair{}}
}

// Report records the report of an instance, named by its incarnation. Reports have all that an instance counted, so a lost
// or repeated one does no harm.
func (j *Judge) Report(instance string, r Report, now time.Time) {
	last := j.instances[instance]
	if n := len(j.buckets); n == 0 || now.Sub(j.buckets[n-1].from) >= bucketTime {
		j.buckets = append(j.buckets, bucket{now, newEvidence()})
	}
	for len(j.buckets) > 1 && now.Sub(j.buckets[0].from) > recentTime {
		j.buckets = j.buckets[1:]
	}
	if !older(r.Evidence, last.Evidence) {
		r.Evidence.Upstreams = withMissing(r.Evidence.Upstreams, last.Evidence.Upstreams)
		j.buckets[len(j.buckets)-1].add(r.Evidence, last.Evidence)
		j.all.add(r.Evidence, last.Evidence)
		j.instances[instance] = heard{r, now}
	}
	if r.Condemned && j.condemned == "" {
		j.condemned = "an earlier judge found it bad"
	}
	if j.answered.IsZero() && j.all.total().Target.Answers > 0 {
		j.answered = now
	}
}

// withMissing returns the counts with those of earlier upstreams that they lack. A report lists a part of the upstreams; the
// counts of one that is listed again later are not to be added as a whole.
func withMissing(counts, last map[string]Counts) map[string]Counts {
	all := make(map[string]Counts, len(last))
	maps.Copy(all, last)
	maps.Copy(all, counts)
	return all
}

// older reports whether a report was overtaken by a later one.
func older(next, last Evidence) bool {
	n, l := next.total(), last.total()
	return n.Old.Answers < l.Old.Answers || n.Target.Answers < l.Target.Answers
}

// Condemned returns why the version is bad, or an empty string. used is the number of its upstreams in use.
func (j *Judge) Condemned(used int, now time.Time) string {
	j.compareVersions(used, now)
	return j.condemned
}

// compareVersions compares the versions, unless that was done lately, and returns the worst finding.
func (j *Judge) compareVersions(used int, now time.Time) finding {
	if !j.lookedAt.IsZero() && now.Sub(j.lookedAt) < lookInterval {
		return j.found
	}
	j.lookedAt = now
	recent := newEvidence()
	for _, b := range j.buckets {
		recent.add(b.Evidence, Evidence{})
	}
	// The old version gets nothing in the last stage, so that its earlier answers are the measure.
	if total := j.all.total(); recent.total().Old.Answers < total.Old.Answers/10 {
		for route, p := range j.all.Routes {
			recent.Routes[route] = Pair{p.Old, recent.Routes[route].Target}
		}
	}
	worst, reason := j.all.compare(used)
	if f, r := recent.compare(used); f > worst {
		worst, reason = f, r+" of the last seconds"
	}
	if worst == condemned && j.condemned == "" {
		j.condemned = reason
	}
	j.found = worst
	return worst
}

// Instances returns the number of instances that have reported.
func (j *Judge) Instances() int { return len(j.instances) }

// Heard returns the number of instances that have reported lately.
func (j *Judge) Heard(now time.Time, f Fleet) (n int) {
	for _, h := range j.instances {
		if now.Sub(h.at) < f.silentTime() {
			n++
		}
	}
	return n
}

// hearsMost reports whether at least half of the instances that have reported do so still, and more than half of all do. A
// judge that is cut off from the others but not from the store must not go on with old evidence, or complete while requests
// of the others run. A judge that has just begun may never have heard the others.
func (j *Judge) hearsMost(now time.Time, f Fleet) bool {
	heard := j.Heard(now, f)
	return 2*heard >= len(j.instances) && (f.Instances == 0 || 2*heard > f.Instances)
}

// Total returns the counts of both versions.
func (j *Judge) Total() Pair { return j.all.total() }

// Decide decides about a running roll-out.
func (j *Judge) Decide(now time.Time, r *Record, f Fleet) Decision {
	finding := j.compareVersions(f.Used, now)
	if finding == inconspicuous || r.Stage == Canary {
		j.suspected = time.Time{}
	} else if j.suspected.IsZero() {
		j.suspected = now
	}
	if f.Old > 0 || f.Target == 0 {
		j.onlyTargetSince = time.Time{}
	} else if j.onlyTargetSince.IsZero() {
		j.onlyTargetSince = now
	}
	onlyTarget := !j.onlyTargetSince.IsZero() && now.Sub(j.onlyTargetSince) >= onlyTargetTime
	justified := finding == inconspicuous && j.hearsMost(now, f)
	end := r.Deadline().Add(-giveUpTime)
	switch {
	case j.condemned != "":
		return Decision{RollBack, j.condemned}
	case !j.suspected.IsZero() && (now.Sub(j.suspected) >= suspicionTime || r.Stage == All && now.Sub(j.suspected) >= lastSuspicionTime):
		return Decision{RollBack, "the answers of the version stay suspicious"}
	case now.Sub(j.began) < learnTime && now.Before(end):
		return Decision{Wait, "collecting reports"}
	case r.Stage == All && justified && (j.drained(now, r, f) || onlyTarget && !now.Before(end)):
		return Decision{Complete, "no request is at an old upstream"}
	case onlyTarget && r.Stage != All && justified:
		return Decision{Advance, "no other version is in service"}
	case !now.Before(end) && !j.onlyTargetSince.IsZero() && (!onlyTarget || !j.hearsMost(now, f)):
		return Decision{Wait, "no other version is in service"}
	case !now.Before(end):
		return Decision{RollBack, "no verdict before the deadline: " + j.missingFor(now, r, f, finding)}
	case j.onlyTargetSince.IsZero() && j.overexposed(now, r, f):
		return Decision{RollBack, "the version would get more requests than it may before the last stage: " + j.missingFor(now, r, f, finding)}
	}
	if lack := j.missingFor(now, r, f, finding); lack != "" {
		return Decision{Wait, lack}
	}
	if r.Stage == All {
		return Decision{Wait, "requests may be at old upstreams"}
	}
	j.atStage[r.Stage.next()] = j.all.total()
	return Decision{Advance, "the evidence shows no fault"}
}

// plan returns when the stage after s begins, as the time since the start, for a pool with so many requests per second.
func plan(s Stage, duration, limit time.Duration, rate float64) time.Duration {
	all := duration - reserve - limit - drainMargin
	quarter := min(max(all-quarterTime-halfTime, minCanaryTime), maxCanaryTime)
	switch s {
	case Canary:
		early := time.Duration(earlySlack / max(rate*Quarter.Share(), 1) * float64(time.Second))
		return max(quarter-min(early, maxEarlyTime), min(quarter, minCanaryTime))
	case Quarter:
		return quarter + quarterTime
	}
	return quarter + quarterTime + halfTime
}

// overexposed reports whether the version has had more than its share of the requests before the last stage, or the stage
// quarter or half has outlasted its plan. The last stage may begin later than planned by what reserve exceeds lateReserve.
func (j *Judge) overexposed(now time.Time, r *Record, f Fleet) bool {
	if r.Stage == All {
		return false
	}
	total, elapsed := j.all.total(), max(now.Sub(r.Started), time.Second)
	expected := float64(total.Target.Answers+total.Old.Answers) * max(r.Duration.Seconds()/elapsed.Seconds(), 1)
	if float64(total.Target.Answers) > exposureShare*expected+exposureSlack {
		return true
	}
	planned := quarterTime
	switch r.Stage {
	case Canary:
		return false
	case Half:
		planned = halfTime
	}
	// The plan of these two stages does not depend on the rate of requests.
	planEnd, stageEnd := r.Started.Add(plan(r.Stage, r.Duration, f.Limit, 0)), r.Since.Add(planned)
	if stageEnd.After(planEnd) {
		planEnd = stageEnd
	}
	return now.Sub(planEnd) > reserve-lateReserve
}

// missingFor returns what is missing for the next stage, or an empty string.
func (j *Judge) missingFor(now time.Time, r *Record, f Fleet, worst finding) string {
	total := j.all.total()
	begin := j.atStage[r.Stage]
	latest := r.Deadline().Add(-lateReserve - f.Limit - drainMargin) // for the last stage
	rate := float64(total.Target.Answers+total.Old.Answers) / max(now.Sub(r.Started).Seconds(), 1)
	target, old := total.Target.Answers-begin.Target.Answers, total.Old.Answers-begin.Old.Answers
	switch {
	case f.Target == 0:
		return "no upstream of the version is warm"
	case !j.hearsMost(now, f):
		return "most instances do not report"
	case worst != inconspicuous:
		return "the answers of the version are suspicious"
	case r.Stage == All:
		return ""
	case now.Sub(r.Started) < plan(r.Stage, r.Duration, f.Limit, rate), now.Sub(r.Since) < minStageTime,
		r.Stage == Quarter && now.Sub(r.Since) < quarterTime && now.Before(latest.Add(-minStageTime)):
		return "the stage lasts on"
	case r.Stage == Half && total.Target.Answers < min(minAnswersForAll, int(minAnswersForAllShare*float64(total.Old.Answers))) && now.Before(latest):
		return "too few answers of the version for the last stage"
	case target < min(minAnswers, int(minAnswersShare*float64(old))):
		return "too few answers of the version"
	case r.Stage == Canary && total.Target.Answers > 0 && now.Sub(j.answered) < minCanaryTime && j.answered.Sub(j.began) > learnTime &&
		(f.WarmSince.IsZero() || j.answered.Before(f.WarmSince)):
		return "the version has answered for a short time"
	case r.Stage != Canary && float64(f.Target) < 0.5*float64(f.Old):
		return "too few upstreams of the version are warm"
	}
	return ""
}

// drained reports whether no request can be at an old upstream: the longest one has ended, and all instances that are
// heard say so. The time counts from when the stage was seen in the store, since a write may be applied late, and also if the
// old upstreams have left: requests may still run there.
func (j *Judge) drained(now time.Time, r *Record, f Fleet) bool {
	since := r.Since
	if f.AllSeen.After(since) {
		since = f.AllSeen
	}
	if now.Sub(since) < f.Limit+drainMargin || f.Target == 0 || !j.hearsMost(now, f) {
		return false
	}
	for _, h := range j.instances {
		if now.Sub(h.at) < f.silentTime() && !(h.Stage == All && h.Drained && h.at.After(since)) {
			return false
		}
	}
	return true
}
