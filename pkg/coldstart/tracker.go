package coldstart

import (
	"slices"
	"time"

	"github.com/turmericsail/turmericsail/pkg/peer"
)

// maxPastStartIDs is the number of earlier start IDs that are kept, so that late
// answers of an earlier start are not mistaken for a new start.
const maxPastStartIDs = 8

// reporterTTL is how long the state of a reporter is kept after its last batch.
const reporterTTL = 10 * time.Minute

// baselineWeight is the weight of a new value in the moving average of the usual latency.
const baselineWeight = 0.1

// minLatencySamples is the minimum number of good answers for the mean latency of a batch to be evaluated.
const minLatencySamples = 4

type reporter struct {
	sequence uint64
	seen     time.Time
}

// Tracker is the cold-start state machine of one upstream, run by its allocator. It is not safe for concurrent use.
type Tracker struct {
	settings         Settings
	ramp             Ramp
	state            State
	goodAnswers      int // at the current level
	pastStartIDs     []string
	reporters        map[peer.InstanceID]reporter
	baseline         float64 // usual latency in seconds; 0 if unknown
	slowBatches      int     // consecutive batches with a raised latency
	lastLatencyReset time.Time
	lastGood         map[peer.InstanceID]time.Time
	lostAt           time.Time // time of a reported loss that no later good answer has refuted; zero if none
}

// NewTracker returns a tracker of an upstream without history, which starts cold.
func NewTracker(s Settings, r Ramp, now time.Time) *Tracker {
	t := &Tracker{settings: s, ramp: r.bounded(), reporters: make(map[peer.InstanceID]reporter), lastGood: make(map[peer.InstanceID]time.Time)}
	t.resetToCold(now, CauseUnknown)
	return t
}

// State returns the current state.
func (t *Tracker) State() State { return t.state }

// Limit returns the current limit on concurrent requests, for pkg/quota.
func (t *Tracker) Limit() int { return t.state.Limit }

// SetRamp applies the ramp of an edited pool row.
func (t *Tracker) SetRamp(r Ramp) {
	t.ramp = r.bounded()
	t.state.Limit = min(max(t.state.Limit, t.ramp.Allowance), t.ramp.Slots)
	if t.state.Warm {
		t.state.Limit = t.ramp.Slots
	}
}

// MarkReturned resets an upstream that came back after it was missing from the list or out of service.
func (t *Tracker) MarkReturned(now time.Time) { t.resetToCold(now, CauseReturned) }

func (t *Tracker) resetToCold(now time.Time, cause Cause) {
	// The clock makes the generations of successive allocators differ.
	generation := max(uint64(now.UnixNano()), t.state.Generation+1)
	t.state = State{Limit: t.ramp.Allowance, StartID: t.state.StartID, Generation: generation, Cause: cause, Since: now}
	t.goodAnswers, t.slowBatches, t.lostAt = 0, 0, time.Time{}
}

// Observe applies a batch of one reporter.
func (t *Tracker) Observe(now time.Time, from peer.InstanceID, b Batch) {
	t.expireReporters(now)
	if b.Sequence <= t.reporters[from].sequence {
		return
	}
	t.reporters[from] = reporter{b.Sequence, now}
	if !t.checkStart(now, b.StartID) {
		return
	}
	if b.Good > 0 {
		t.lastGood[from] = now.Add(-b.GoodAge)
	}
	if t.checkLoss(now, from, b) {
		return
	}
	if t.adoptWarmState(now, b) || b.Generation != t.state.Generation {
		return
	}
	if t.state.Warm {
		t.observeWarm(now, b)
		return
	}
	t.observeCold(now, b)
}

func (t *Tracker) expireReporters(now time.Time) {
	for id, r := range t.reporters {
		if now.Sub(r.seen) > reporterTTL {
			delete(t.reporters, id)
			delete(t.lastGood, id)
		}
	}
}

// checkStart applies the start ID of a batch. It returns false for an earlier start,
// whose answers give no information about the current one.
func (t *Tracker) checkStart(now time.Time, id string) bool {
	switch {
	case id == "" || id == t.state.StartID:
		return true
	case slices.Contains(t.pastStartIDs, id):
		return false
	case t.state.StartID == "":
		t.state.StartID = id
		return true
	}
	t.pastStartIDs = append(t.pastStartIDs, t.state.StartID)
	if len(t.pastStartIDs) > maxPastStartIDs {
		t.pastStartIDs = t.pastStartIDs[1:]
	}
	t.state.StartID = id
	t.resetToCold(now, CauseStart)
	return true
}

// checkLoss applies the loss of connections and reports whether the upstream was reset
// to cold. A loss is kept until a later good answer shows that the upstream is up:
// answers received just before it stopped do not show that.
func (t *Tracker) checkLoss(now time.Time, from peer.InstanceID, b Batch) bool {
	if b.Lost && b.Generation == t.state.Generation {
		delete(t.lastGood, from)
		if t.lostAt.IsZero() {
			t.lostAt = now
		}
	}
	if t.lostAt.IsZero() {
		return false
	}
	var newest time.Time
	for _, at := range t.lastGood {
		if at.After(newest) {
			newest = at
		}
	}
	switch {
	case newest.After(t.lostAt):
		t.lostAt = time.Time{}
	case now.Sub(newest) > t.settings.LossWindow.Std():
		t.resetToCold(now, CauseLost)
		return true
	}
	return false
}

// adoptWarmState accepts a reporter's knowledge from an earlier allocator that the
// current start is warm, unless this tracker has itself seen a sign of a cold start.
func (t *Tracker) adoptWarmState(now time.Time, b Batch) bool {
	if t.state.Warm || t.state.Cause != CauseUnknown || !b.KnownWarm || b.ReportedCold || b.Lost || b.Good == 0 {
		return false
	}
	t.setWarm(now, b)
	return true
}

func (t *Tracker) setWarm(now time.Time, b Batch) {
	t.state.Warm, t.state.Limit, t.state.Cause, t.state.Since = true, t.ramp.Slots, "", now
	// The latency at the end of the ramp is the new baseline; with an older value, a
	// permanently slower upstream would be reset to cold again and again.
	t.baseline = b.Latency.Seconds()
}

func (t *Tracker) observeWarm(now time.Time, b Batch) {
	if b.ReportedCold {
		t.resetToCold(now, CauseHeader)
		return
	}
	if b.Good < minLatencySamples {
		return
	}
	latency := b.Latency.Seconds()
	floor := t.settings.LatencyFloor.Std().Seconds()
	switch {
	case t.baseline == 0:
		t.baseline = latency
	case latency > t.baseline*t.settings.LatencyFactor && latency > t.baseline+floor:
		t.slowBatches++
	default:
		t.slowBatches = 0
		t.baseline += (latency - t.baseline) * baselineWeight
	}
	if t.slowBatches >= t.settings.LatencyBatches && now.Sub(t.lastLatencyReset) >= t.settings.LatencyPause.Std() {
		t.lastLatencyReset = now
		t.resetToCold(now, CauseLatency)
	}
}

func (t *Tracker) observeCold(now time.Time, b Batch) {
	if b.Bad > b.Good {
		t.state.Limit = max(t.ramp.Allowance, t.state.Limit/2)
		t.goodAnswers = 0
		return
	}
	// Answers at a lower level do not show that the upstream can sustain this one.
	if b.Level < t.state.Limit {
		return
	}
	t.goodAnswers = max(0, t.goodAnswers+b.Good-b.Bad)
	if t.goodAnswers < t.ramp.Answers {
		return
	}
	t.goodAnswers = 0
	if t.state.Limit < t.ramp.Slots {
		t.state.Limit = min(2*t.state.Limit, t.ramp.Slots)
	} else if !b.ReportedCold {
		t.setWarm(now, b)
	}
}
