package quarantine

import (
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
	losses       []Loss // sorted by time, oldest first
	clearedAt    time.Time
	refusedUntil time.Time
	refusals     int
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
	case now.Before(r.refusedUntil):
		return Refuse
	}
	return Serialize
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
	if !r.addLoss(l, t.settings.RestartTime.Std()) {
		return false
	}
	r.homeRegions = home
	if t.crashes(r.losses) && !now.Before(r.refusedUntil) {
		t.refuse(now, r)
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
	r.losses = append(r.losses, l)
	slices.SortFunc(r.losses, func(a, b Loss) int { return a.At.Compare(b.At) })
	if len(r.losses) > maxLosses {
		r.losses = r.losses[1:]
	}
	return true
}

func (r *record) extendExpiry(until time.Time) {
	if until.After(r.expires) {
		r.expires = until
	}
}

// crashes reports whether enough of the losses came one after the other, and were not part of one failure of a
// failure domain, that the request must be their cause. The losses are sorted by time.
func (t *Table) crashes(losses []Loss) bool {
	counted := 0
	var last Loss
	for _, l := range losses {
		together := l.Domain == last.Domain && l.At.Sub(last.At) <= t.settings.Together.Std()
		again := l.Upstream == last.Upstream && l.Began.IsZero()
		if counted == 0 || l.follows(last) && !again && !together {
			counted, last = counted+1, l
		}
	}
	return counted >= t.settings.MinLosses
}

func (t *Table) refuse(now time.Time, r *record) {
	span := t.settings.RefuseTime.Std()
	for range r.refusals {
		span = min(2*span, t.settings.MaxRefuseTime.Std())
	}
	r.refusals++
	r.refusedUntil = now.Add(span)
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
	r.refusedUntil, r.refusals, r.homeRegions = until, max(r.refusals, 1), home
	r.extendExpiry(until.Add(t.settings.SuspectTime.Std()))
	return !refused
}

// Refusals returns until when each refused fingerprint is refused.
func (t *Table) Refusals(now time.Time) map[Fingerprint]time.Time {
	refused := map[Fingerprint]time.Time{}
	for f, r := range t.records {
		if now.Before(r.refusedUntil) {
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
	before := len(r.losses)
	r.losses = slices.DeleteFunc(r.losses, func(l Loss) bool { return !l.At.After(at) })
	r.clearedAt, r.homeRegions = at, home
	if !t.crashes(r.losses) {
		r.refusedUntil, r.refusals = time.Time{}, 0
	}
	r.expires = now.Add(t.settings.SuspectTime.Std())
	return len(r.losses) < before
}

// Expire removes expired records and ends expired refusals. It is called about
// once a second.
func (t *Table) Expire(now time.Time) {
	for f, r := range t.records {
		switch {
		case !now.Before(r.expires):
			delete(t.records, f)
		case !r.refusedUntil.IsZero() && !now.Before(r.refusedUntil):
			r.refusedUntil = time.Time{}
			r.losses = r.losses[max(len(r.losses)-t.settings.MinLosses+1, 0):]
		}
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
