package coldstart

import (
	"slices"
	"time"

	"github.com/turmericsail/turmericsail/pkg/peer"
)

// pastStarts is the number of earlier start IDs that are remembered, so that late
// answers of an earlier start are not taken for a new one.
const pastStarts = 8

// reporterLife is how long the sequence number of a silent reporter is kept.
const reporterLife = 10 * time.Minute

// baselineWeight is the share of a new batch in the usual latency.
const baselineWeight = 0.1

// minSamples is the least number of answers whose mean latency is judged.
const minSamples = 4

type reporter struct {
	sequence uint64
	seen     time.Time
}

// Tracker is the state machine of one upstream at its allocator.
type Tracker struct {
	settings  Settings
	ramp      Ramp
	state     State
	good      int // good answers at the present level
	past      []string
	reporters map[peer.InstanceID]reporter
	baseline  float64 // usual latency in seconds; 0 if unknown
	shifted   int     // successive batches with a raised latency
	lastShift time.Time
	lastGood  map[peer.InstanceID]time.Time
	lostAt    time.Time // when a loss was reported that no later good answer has disproved; zero if none
}

// NewTracker returns a tracker of an upstream without history; it is cold.
func NewTracker(s Settings, r Ramp, now time.Time) *Tracker {
	t := &Tracker{settings: s, ramp: r.bounded(), reporters: make(map[peer.InstanceID]reporter), lastGood: make(map[peer.InstanceID]time.Time)}
	t.fall(now, CauseUnknown)
	return t
}

// State returns the present state.
func (t *Tracker) State() State { return t.state }

// Limit returns the units for pkg/quota.
func (t *Tracker) Limit() int { return t.state.Limit }

// SetRamp applies an edited pool row.
func (t *Tracker) SetRamp(r Ramp) {
	t.ramp = r.bounded()
	t.state.Limit = min(max(t.state.Limit, t.ramp.Allowance), t.ramp.Slots)
	if t.state.Warm {
		t.state.Limit = t.ramp.Slots
	}
}

// Returned tells that the upstream came back after it was gone or taken out.
func (t *Tracker) Returned(now time.Time) { t.fall(now, CauseReturned) }

func (t *Tracker) fall(now time.Time, cause Cause) {
	// The clock makes generations of successive allocators differ.
	generation := max(uint64(now.UnixNano()), t.state.Generation+1)
	t.state = State{Limit: t.ramp.Allowance, StartID: t.state.StartID, Generation: generation, Cause: cause, Since: now}
	t.good, t.shifted, t.lostAt = 0, 0, time.Time{}
}

// Observe applies a batch of one reporter.
func (t *Tracker) Observe(now time.Time, from peer.InstanceID, b Batch) {
	t.forget(now)
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
	if t.inherit(now, b) || b.Generation != t.state.Generation {
		return
	}
	if t.state.Warm {
		t.observeWarm(now, b)
		return
	}
	t.observeCold(now, b)
}

func (t *Tracker) forget(now time.Time) {
	for id, r := range t.reporters {
		if now.Sub(r.seen) > reporterLife {
			delete(t.reporters, id)
			delete(t.lastGood, id)
		}
	}
}

// checkStart applies the start ID of a batch. It returns false for a start that
// is over, whose answers say nothing about the present one.
func (t *Tracker) checkStart(now time.Time, id string) bool {
	switch {
	case id == "" || id == t.state.StartID:
		return true
	case slices.Contains(t.past, id):
		return false
	case t.state.StartID == "":
		t.state.StartID = id
		return true
	}
	t.past = append(t.past, t.state.StartID)
	if len(t.past) > pastStarts {
		t.past = t.past[1:]
	}
	t.state.StartID = id
	t.fall(now, CauseStart)
	return true
}

// checkLoss applies the loss of connections and reports whether the upstream fell.
// A loss is kept until a later good answer shows that the upstream lives: answers
// from just before the upstream ended say nothing about it.
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
		t.fall(now, CauseLost)
		return true
	}
	return false
}

// inherit takes over from an earlier allocator that the present start is warm.
// A tracker that has itself seen a sign of a cold start does not.
func (t *Tracker) inherit(now time.Time, b Batch) bool {
	if t.state.Warm || t.state.Cause != CauseUnknown || !b.KnownWarm || b.ReportedCold || b.Lost || b.Good == 0 {
		return false
	}
	t.warm(now, b)
	return true
}

func (t *Tracker) warm(now time.Time, b Batch) {
	t.state.Warm, t.state.Limit, t.state.Cause, t.state.Since = true, t.ramp.Slots, "", now
	// The latency at the end of the ramp is the new usual one; keeping an older
	// value would send a permanently slower upstream back to cold for ever.
	t.baseline = b.Latency.Seconds()
}

func (t *Tracker) observeWarm(now time.Time, b Batch) {
	if b.ReportedCold {
		t.fall(now, CauseHeader)
		return
	}
	if b.Good < minSamples {
		return
	}
	latency := b.Latency.Seconds()
	floor := t.settings.LatencyFloor.Std().Seconds()
	switch {
	case t.baseline == 0:
		t.baseline = latency
	case latency > t.baseline*t.settings.LatencyFactor && latency > t.baseline+floor:
		t.shifted++
	default:
		t.shifted = 0
		t.baseline += (latency - t.baseline) * baselineWeight
	}
	if t.shifted >= t.settings.LatencyBatches && now.Sub(t.lastShift) >= t.settings.LatencyPause.Std() {
		t.lastShift = now
		t.fall(now, CauseLatency)
	}
}

func (t *Tracker) observeCold(now time.Time, b Batch) {
	if b.Bad > b.Good {
		t.state.Limit = max(t.ramp.Allowance, t.state.Limit/2)
		t.good = 0
		return
	}
	// Answers at a lower level do not show that the upstream bears this one.
	if b.Level < t.state.Limit {
		return
	}
	t.good = max(0, t.good+b.Good-b.Bad)
	if t.good < t.ramp.Answers {
		return
	}
	t.good = 0
	if t.state.Limit < t.ramp.Slots {
		t.state.Limit = min(2*t.state.Limit, t.ramp.Slots)
	} else if !b.ReportedCold {
		t.warm(now, b)
	}
}
