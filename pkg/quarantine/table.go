package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Verdict says whether and how a request may run.
type Verdict int

const (
	// Run means that no loss is recorded for the request.
	Run Verdict = iota
	// Serialize means that the request may run only under a unit of Resource(pool).
	Serialize
	// Refuse means that the request must not run.
	Refuse
	// Sample means that enough upstreams were lost, but at the same time or in part under another request that lost more,
	// so that another cause is as likely. Of all instances together about one request at a time may run, as a suspect;
	// its end decides.
	Sample
	// Hold means that the request will be refused unless an answer that clears it is on its way. It waits for the decision.
	Hold
)

// maxLosses is the maximum number of losses stored per fingerprint. It is more
// than Settings.MinLosses, so that losses that count as one do not displace a distinct one.
const maxLosses = 16

// refusalSlack is the time by which the ends of one refusal differ between instances, because of the time that
// messages take.
const refusalSlack = time.Second

// unknownUpstream is the upstream of a loss that stands in for those at another instance. Such a loss is not reported.
const unknownUpstream = 0

type record struct {
	losses       []Loss    // sorted by time, oldest first
	droppedAt    time.Time // of the latest loss that had no room: a loss that was dropped is no news when it comes again
	clearedAt    time.Time
	clearedBy    uint64 // the event with that answer
	refusedAt    time.Time
	refusedUntil time.Time
	refusals     int
	reported     bool // the refusal was learned from another instance
	explained    bool // another request with more losses may have caused some of them, but not most
	homeRegions  []string
	expires      time.Time
}

// Table is the state machine for all fingerprints at one instance.
type Table struct {
	settings Settings
	records  map[Fingerprint]*record
}

// NewTable returns an empty table.
func NewTable(s Settings) *Table {
	return &Table{settings: s, records: make(map[Fingerprint]*record)}
}

// Len returns the number of stored fingerprints.
func (t *Table) Len() int { return len(t.records) }

// Admit returns the verdict on a request.
func (t *Table) Admit(now time.Time, f Fingerprint) Verdict {
	r := t.records[f]
	switch {
	case r == nil || !now.Before(r.expires) || len(r.losses) == 0:
		return Run
	case now.Before(r.refusedUntil) && t.mayBeCleared(now, r):
		return Hold
	case now.Before(r.refusedUntil):
		return Refuse
	case t.settings.Confine > 0 && !f.withoutBody() && len(r.losses) >= t.settings.MinLosses && (r.explained || !t.crashes(r.losses)):
		return Sample
	}
	return Serialize
}

// clearTime is the time until a refusal takes effect. Copies of a harmless request that ran beside those that were cut are
// answered meanwhile, and the instances learn of it.
const clearTime = 250 * time.Millisecond

// mayBeCleared reports whether a refusal is so recent that the answer to another copy of the request may be on its way.
// Where suspects run one at a time there are no such copies.
func (t *Table) mayBeCleared(now time.Time, r *record) bool {
	return t.settings.Confine > 0 && !r.reported && now.Sub(r.refusedAt) < clearTime
}

// RecordLoss counts a loss against a fingerprint. It returns false if the loss changes
// nothing: it is already recorded, too old, or precedes a successful response.
func (t *Table) RecordLoss(now time.Time, f Fingerprint, l Loss, home []string) bool {
	if l.At.After(now) {
		l.At = now
	}
	r := t.records[f]
	if now.Sub(l.At) >= t.settings.SuspectTime.Std() || r != nil && !l.At.After(r.clearedAt) {
		return false
	}
	if r == nil {
		r = t.add(now, f)
	}
	t.endRefusal(now, r)
	if !r.addLoss(l, t.settings.RestartTime.Std()) {
		return false
	}
	r.homeRegions = home
	if !f.withoutBody() && t.crashes(r.losses) {
		t.judge(now)
	}
	r.extendExpiry(now.Add(t.settings.SuspectTime.Std()))
	return true
}

// addLoss adds a loss unless one of the same upstream is recorded within the given
// period. A loss observed by two instances must not count twice.
func (r *record) addLoss(l Loss, period time.Duration) bool {
	for i, known := range r.losses {
		if known.Upstream == l.Upstream && known.At.Sub(l.At).Abs() < period {
			if l.At.After(known.At) {
				r.losses[i].At = l.At
			}
			if l.Began.After(known.Began) {
				r.losses[i].Began = l.Began
			}
			return false
		}
	}
	if !l.At.After(r.droppedAt) {
		return false
	}
	r.losses = append(r.losses, l)
	slices.SortFunc(r.losses, func(a, b Loss) int { return a.At.Compare(b.At) })
	if len(r.losses) > maxLosses {
		r.droppedAt = r.losses[0].At
		r.losses = r.losses[1:]
	}
	return r.droppedAt.Before(l.At)
}

func (r *record) extendExpiry(until time.Time) {
	if until.After(r.expires) {
		r.expires = until
	}
}

// minSuccessive is the number of losses that must come one after the other.
const minSuccessive = 2

// crashes reports whether there are so many losses that the request must be their cause: Settings.MinLosses, some of
// which came one after the other and were not part of one failure of a failure domain. The losses are sorted by time.
func (t *Table) crashes(losses []Loss) bool {
	if len(losses) < t.settings.MinLosses {
		return false
	}
	counted := 0
	var last Loss
	for _, l := range losses {
		together := l.Domain == last.Domain && l.At.Sub(last.At) <= t.settings.Together.Std()
		again := l.Upstream == last.Upstream && l.Began.IsZero()
		if counted == 0 || l.follows(last) && !again && !together {
			counted, last = counted+1, l
		}
	}
	return counted >= min(t.settings.MinLosses, minSuccessive)
}

// judge refuses the fingerprints that must have caused the losses recorded for them. The fingerprint with the most losses
// comes first, and losses of an upstream that it has caused are not counted against those with fewer: a harmless
// request is at times cut by the same crashing request again and again.
func (t *Table) judge(now time.Time) {
	var suspects []*record
	for f, r := range t.records {
		t.endRefusal(now, r)
		if !f.withoutBody() && t.crashes(r.losses) {
			suspects = append(suspects, r)
		}
	}
	slices.SortFunc(suspects, func(a, b *record) int { return cmp.Compare(len(b.losses), len(a.losses)) })
	explained, most := map[uint64]bool{}, 0
	var next []Loss
	for _, r := range suspects {
		if len(r.losses) != most {
			for _, l := range next {
				explained[l.Upstream] = true
			}
			most, next = len(r.losses), nil
		}
		rest := slices.DeleteFunc(slices.Clone(r.losses), func(l Loss) bool { return explained[l.Upstream] })
		r.explained = len(rest) >= minSuccessive && len(rest) < t.settings.MinLosses
		refused := now.Before(r.refusedUntil)
		switch {
		case t.crashes(rest):
			next = append(next, r.losses...)
			if !refused {
				t.refuse(now, r)
			}
		case refused && !r.reported:
			r.refusedUntil = time.Time{}
			r.refusals--
		}
	}
}

func (t *Table) refuse(now time.Time, r *record) {
	span := t.settings.RefuseTime.Std()
	for range r.refusals {
		span = min(2*span, t.settings.MaxRefuseTime.Std())
	}
	r.refusals++
	r.refusedAt, r.refusedUntil, r.reported = now, now.Add(span), false
	// After the refusal, the fingerprint stays a suspect for as long as after a loss.
	r.extendExpiry(r.refusedUntil.Add(t.settings.SuspectTime.Std()))
}

// Known reports whether the table has a record of the fingerprint.
func (t *Table) Known(f Fingerprint) bool { return t.records[f] != nil }

// hasLossOf reports whether a loss of the upstream is recorded for the fingerprint.
func (t *Table) hasLossOf(f Fingerprint, upstream uint64) bool {
	r := t.records[f]
	return r != nil && slices.ContainsFunc(r.losses, func(l Loss) bool { return l.Upstream == upstream })
}

// RecordRefusal applies a refusal reported by another instance; rest is its remaining time. It returns false if the
// request is already refused, or was served since.
func (t *Table) RecordRefusal(now time.Time, f Fingerprint, rest time.Duration, home []string) bool {
	r := t.records[f]
	if r == nil {
		r = t.add(now, f)
		// This loss stands in for the losses at the sender, so that the fingerprint is a suspect after the refusal.
		r.losses = []Loss{{Upstream: unknownUpstream, At: now}}
	}
	until := now.Add(min(rest, t.settings.MaxRefuseTime.Std()))
	if !r.clearedAt.IsZero() || until.Sub(r.refusedUntil) < refusalSlack {
		return false
	}
	refused := now.Before(r.refusedUntil)
	if !refused {
		r.refusedAt, r.reported = now, true
	}
	r.refusedUntil, r.refusals, r.homeRegions = until, max(r.refusals, 1), home
	r.extendExpiry(until.Add(t.settings.SuspectTime.Std()))
	return !refused
}

// settleTime is how long a refusal must be in force before others may rely on it without the losses that led to it.
const settleTime = 500 * time.Millisecond

// settled reports whether a refusal is in force that may be passed on.
func (r *record) settled(now time.Time) bool {
	return now.Before(r.refusedUntil) && now.Sub(r.refusedAt) >= settleTime
}

// Refusals returns until when each refused fingerprint is refused.
func (t *Table) Refusals(now time.Time) map[Fingerprint]time.Time {
	refused := map[Fingerprint]time.Time{}
	for f, r := range t.records {
		if r.settled(now) {
			refused[f] = r.refusedUntil
		}
	}
	return refused
}

// RefusedUntil returns until when a fingerprint is refused, or zero.
func (t *Table) RefusedUntil(f Fingerprint) time.Time {
	if r := t.records[f]; r != nil {
		return r.refusedUntil
	}
	return time.Time{}
}

// RecordSuccess records a successful response received at the given time. It returns
// false if there was no loss to clear. The time of the response is stored, because
// reports of earlier losses may still arrive.
func (t *Table) RecordSuccess(now time.Time, f Fingerprint, at time.Time, home []string) bool {
	if at.After(now) {
		at = now
	}
	if now.Sub(at) >= t.settings.SuspectTime.Std() {
		return false
	}
	r := t.records[f]
	if r == nil {
		r = t.add(now, f)
	}
	if !at.After(r.clearedAt) {
		return false
	}
	before, suspected := len(r.losses), t.crashes(r.losses)
	r.losses = slices.DeleteFunc(r.losses, func(l Loss) bool { return !l.At.After(at) })
	r.clearedAt, r.homeRegions = at, home
	r.expires = now.Add(t.settings.SuspectTime.Std())
	if t.crashes(r.losses) {
		r.extendExpiry(r.refusedUntil.Add(t.settings.SuspectTime.Std()))
	} else {
		r.refusedUntil, r.refusals = time.Time{}, 0
	}
	if suspected && !t.crashes(r.losses) {
		t.judge(now) // the request no longer explains the losses of others
	}
	return len(r.losses) < before
}

// Expire removes expired records and ends expired refusals. It is called about
// once a second.
func (t *Table) Expire(now time.Time) {
	for f, r := range t.records {
		if !now.Before(r.expires) {
			delete(t.records, f)
			continue
		}
		t.endRefusal(now, r)
	}
}

// endRefusal ends a refusal whose time is over: the fingerprint is then a suspect that one more loss refuses again.
func (t *Table) endRefusal(now time.Time, r *record) {
	if !r.refusedUntil.IsZero() && !now.Before(r.refusedUntil) {
		r.refusedUntil = time.Time{}
		r.losses = r.losses[max(len(r.losses)-t.settings.MinLosses+1, 0):]
	}
}

// add inserts a record. If the table is full, it evicts the record that expires
// first, and a refused one only if all are refused.
func (t *Table) add(now time.Time, f Fingerprint) *record {
	if len(t.records) >= t.settings.MaxFingerprints {
		var victim Fingerprint
		lowest := int64(math.MaxInt64)
		for id, r := range t.records {
			value := int64(r.expires.Sub(now)) / 4
			if now.Before(r.refusedUntil) {
				value += math.MaxInt64 / 2
			}
			if value < lowest {
				victim, lowest = id, value
			}
		}
		delete(t.records, victim)
	}
	r := &record{}
	t.records[f] = r
	return r
}
