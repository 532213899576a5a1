package intake

import (
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// maxUpstreams bounds the upstreams that are remembered. When there are more, those that were not used for
// idleTime are forgotten.
const (
	maxUpstreams = 8192
	idleTime     = time.Minute
)

// Statement is what an upstream has said of the requests that it takes from all instances together.
type Statement struct {
	// PerSecond is the limit; it is not used when Unlimited is set.
	PerSecond float64
	Unlimited bool
	HeardAt   time.Time
}

// Valid reports whether the limit is a number that an upstream can mean.
func (s Statement) Valid() bool {
	return s.Unlimited || s.PerSecond >= 0 && !math.IsInf(s.PerSecond, 0)
}

// sameLimit reports whether both statements allow the same.
func (s Statement) sameLimit(o Statement) bool {
	return s.Unlimited == o.Unlimited && (s.Unlimited || s.PerSecond == o.PerSecond)
}

const (
	// leavingTime is how long an upstream that says that it leaves gets nothing. One that leaves is gone before, and
	// one that starts again under its ID comes back after it.
	leavingTime = time.Minute
	// longestPause bounds the time for which an upstream may ask to be left alone; one that asks for longer gets one
	// request then.
	longestPause = 10 * time.Minute
)

// Statements holds the latest statement of each upstream that has limited its requests, and until when the
// instance does not ask for a grant again; besides, until when upstreams take no request of this instance at all. It
// is safe for concurrent use.
type Statements struct {
	limited atomic.Int64 // upstreams that limit their requests, so that calls cost little while there are none
	paused  atomic.Int64 // upstreams that take no request
	mu      sync.Mutex
	list    map[string]*stated
	pauses  map[string]time.Time // the ends, by upstream
}

type stated struct {
	Statement
	heldUntil time.Time
	usedAt    time.Time
}

// NewStatements returns an empty table.
func NewStatements() *Statements {
	return &Statements{list: map[string]*stated{}, pauses: map[string]time.Time{}}
}

// Hear records a statement and reports whether the limit differs from the one known before. Statements older than the known one,
// invalid ones and those of upstreams that never limited their requests and still do not are ignored.
func (t *Statements) Hear(upstream string, s Statement) (changed bool) {
	if s.Unlimited && t.limited.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.list[upstream]
	if !s.Valid() || known == nil && s.Unlimited || known != nil && s.HeardAt.Before(known.HeardAt) {
		return false
	}
	defer func() { t.limited.Store(int64(t.count())) }()
	if known == nil {
		if len(t.list) >= maxUpstreams {
			forgetIdle(t.list, s.HeardAt, func(s *stated) time.Time { return s.usedAt })
		}
		t.list[upstream] = &stated{Statement: s, usedAt: s.HeardAt}
		return true
	}
	changed = !known.sameLimit(s)
	known.Statement, known.usedAt = s, s.HeardAt
	if changed {
		known.heldUntil = time.Time{}
	}
	return changed
}

// Introduce records a limit that another instance has heard, of an upstream that is not known to have one, and reports whether it
// did. Every other statement replaces it: the granter knows the latest one.
func (t *Statements) Introduce(upstream string, perSecond float64, now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Statement{PerSecond: perSecond, HeardAt: now.Add(-oldestAge)}
	known := t.list[upstream]
	if !s.Valid() || known != nil && !known.Unlimited {
		return false
	}
	if known == nil && len(t.list) >= maxUpstreams {
		forgetIdle(t.list, now, func(s *stated) time.Time { return s.usedAt })
	}
	t.list[upstream] = &stated{Statement: s, usedAt: now}
	t.limited.Store(int64(t.count()))
	return true
}

// Limited returns the statement of an upstream that limits its requests.
func (t *Statements) Limited(upstream string) (Statement, bool) {
	if t.limited.Load() == 0 {
		return Statement{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.list[upstream]
	if known == nil || known.Unlimited {
		return Statement{}, false
	}
	return known.Statement, true
}

// Hold records that no grant can be had before the given time.
func (t *Statements) Hold(upstream string, until, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.list[upstream]; known != nil {
		known.heldUntil, known.usedAt = until, now
	}
}

// Leave records that an upstream leaves, and reports whether that is news.
func (t *Statements) Leave(upstream string, now time.Time) (changed bool) {
	return t.pause(upstream, now.Add(leavingTime), now)
}

// Pause records that an upstream takes no request of this instance for a time, and reports whether that is news. Times
// that are not positive are ignored.
func (t *Statements) Pause(upstream string, pause time.Duration, now time.Time) (changed bool) {
	return pause > 0 && t.pause(upstream, now.Add(min(pause, longestPause)), now)
}

func (t *Statements) pause(upstream string, end, now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer func() { t.paused.Store(int64(len(t.pauses))) }()
	maps.DeleteFunc(t.pauses, func(_ string, end time.Time) bool { return !now.Before(end) })
	known, ok := t.pauses[upstream]
	if ok && !end.After(known) || len(t.pauses) >= maxUpstreams {
		return false
	}
	t.pauses[upstream] = end
	return !ok
}

// Held reports whether an upstream gets no request now.
func (t *Statements) Held(upstream string, now time.Time) bool {
	return now.Before(t.HeldUntil(upstream))
}

// HeldUntil returns the time until which an upstream gets no request: it leaves, asked to be left alone, or has no grant
// to be had.
func (t *Statements) HeldUntil(upstream string) time.Time {
	if t.limited.Load() == 0 && t.paused.Load() == 0 {
		return time.Time{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	end := t.pauses[upstream]
	if known := t.list[upstream]; known != nil && !known.Unlimited && known.heldUntil.After(end) {
		end = known.heldUntil
	}
	return end
}

// Count returns the number of upstreams that limit their requests.
func (t *Statements) Count() int { return int(t.limited.Load()) }

func (t *Statements) count() (n int) {
	for _, s := range t.list {
		if !s.Unlimited {
			n++
		}
	}
	return n
}

// forgetIdle removes the entries that were not used for idleTime.
func forgetIdle[T any](list map[string]T, now time.Time, usedAt func(T) time.Time) {
	for id, entry := range list {
		if now.Sub(usedAt(entry)) > idleTime {
			delete(list, id)
		}
	}
}
