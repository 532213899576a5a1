package quarantine

import (
	"math"
	"slices"
	"time"
)

// Verdict is what may be done with a request.
type Verdict int

const (
	// Run means that nothing is known against the request.
	Run Verdict = iota
	// Alone means that the request may run only under a unit of Resource(pool).
	Alone
	// Refuse means that the request is refused.
	Refuse
)

// maxLosses bounds the losses kept for one fingerprint. More than two are kept,
// so that losses that count together do not displace a distinct one.
const maxLosses = 4

type record struct {
	losses       []Loss // by time, the oldest first
	clearedAt    time.Time
	refusedUntil time.Time
	refusals     int
	home         []string
	expires      time.Time
}

// Table is the state machine of all fingerprints at one instance.
type Table struct {
	settings Settings
	records  map[Fingerprint]*record
}

// NewTable returns an empty table.
func NewTable(s Settings) *Table {
	return &Table{settings: s, records: make(map[Fingerprint]*record)}
}

// Len returns the number of fingerprints that are kept.
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
	return Alone
}

// Lost counts a loss against a fingerprint. It returns false if the loss brings
// no news: it is known, too old, or before a good answer.
func (t *Table) Lost(now time.Time, f Fingerprint, l Loss, home []string) bool {
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
	if !r.note(l, t.settings.SuspectTime.Std()) {
		return false
	}
	r.home = home
	if t.distinct(r.losses) && !now.Before(r.refusedUntil) {
		t.refuse(now, r)
	}
	r.extend(now.Add(t.settings.SuspectTime.Std()))
	return true
}

// note adds a loss unless the same upstream is noted within the memory of a
// loss. Two instances that saw one loss must not count it twice.
func (r *record) note(l Loss, memory time.Duration) bool {
	for i, known := range r.losses {
		if known.Upstream == l.Upstream && known.At.Sub(l.At).Abs() < memory {
			if l.At.After(known.At) {
				r.losses[i].At = l.At
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

func (r *record) extend(until time.Time) {
	if until.After(r.expires) {
		r.expires = until
	}
}

// distinct reports whether two losses were of distinct upstreams and not part of
// the same failure of a domain.
func (t *Table) distinct(losses []Loss) bool {
	for i, a := range losses {
		for _, b := range losses[:i] {
			together := a.Domain == b.Domain && a.At.Sub(b.At).Abs() <= t.settings.Together.Std()
			if a.Upstream != b.Upstream && !together {
				return true
			}
		}
	}
	return false
}

func (t *Table) refuse(now time.Time, r *record) {
	span := t.settings.RefuseTime.Std()
	for range r.refusals {
		span = min(2*span, t.settings.MaxRefuseTime.Std())
	}
	r.refusals++
	r.refusedUntil = now.Add(span)
	// After the refusal the fingerprint is a suspect for as long as after a loss.
	r.extend(r.refusedUntil.Add(t.settings.SuspectTime.Std()))
}

// Known reports whether anything is kept of a fingerprint.
func (t *Table) Known(f Fingerprint) bool { return t.records[f] != nil }

// lostWith reports whether a loss of the upstream is noted against the fingerprint.
func (t *Table) lostWith(f Fingerprint, upstream uint64) bool {
	r := t.records[f]
	return r != nil && slices.ContainsFunc(r.losses, func(l Loss) bool { return l.Upstream == upstream })
}

// Refused takes over a refusal from another instance.
func (t *Table) Refused(now time.Time, f Fingerprint, rest time.Duration, home []string) {
	r := t.records[f]
	if r == nil {
		r = t.add(now, f)
		// The loss stands for those of the sender, so that the refusal ends in suspicion.
		r.losses = []Loss{{At: now}}
	}
	until := now.Add(min(rest, t.settings.MaxRefuseTime.Std()))
	if r.clearedAt.IsZero() && until.After(r.refusedUntil) {
		r.refusedUntil, r.refusals, r.home = until, max(r.refusals, 1), home
		r.extend(until.Add(t.settings.SuspectTime.Std()))
	}
}

// Cleared counts a good answer that came in at the given time. It returns false
// if there was nothing to clear. The good answer is kept, since reports of losses
// before it may still be under way.
func (t *Table) Cleared(now time.Time, f Fingerprint, at time.Time) bool {
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
	r.clearedAt = at
	if !t.distinct(r.losses) {
		r.refusedUntil, r.refusals = time.Time{}, 0
	}
	r.expires = now.Add(t.settings.SuspectTime.Std())
	return len(r.losses) < before
}

// Step drops expired records and ends refusals that have run out. It is called
// about once a second.
func (t *Table) Step(now time.Time) {
	for f, r := range t.records {
		switch {
		case !now.Before(r.expires):
			delete(t.records, f)
		case !r.refusedUntil.IsZero() && !now.Before(r.refusedUntil):
			r.refusedUntil = time.Time{}
			r.losses = r.losses[len(r.losses)-1:]
		}
	}
}

// add makes a record and, if the table is full, drops another one: the one with
// the least left of its time, and a refused one only if all are refused.
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
