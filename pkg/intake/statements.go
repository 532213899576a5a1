package intake

import (
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

// Statements holds the latest statement of each upstream that has limited its requests, and until when the
// instance does not ask for a grant again. It is safe for concurrent use.
type Statements struct {
	limited atomic.Int64 // upstreams that limit their requests, so that calls cost little while there are none
	mu      sync.Mutex
	list    map[string]*stated
}

type stated struct {
	Statement
	heldUntil time.Time
	usedAt    time.Time
}

// NewStatements returns an empty table.
func NewStatements() *Statements { return &Statements{list: map[string]*stated{}} }

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

// Held reports whether no grant can be had now.
func (t *Statements) Held(upstream string, now time.Time) bool {
	if t.limited.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.list[upstream]
	return known != nil && !known.Unlimited && now.Before(known.heldUntil)
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
