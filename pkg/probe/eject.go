package probe

import (
	"cmp"
	"slices"
	"time"
)

// Penalties multiply the load estimate of an upstream.
const (
	noPenalty = 1
	// failingPenalty applies to a failing upstream that is not ejected, and to one on
	// trial after an ejection, until it has had enough successes.
	failingPenalty = 8
	// maxPenalty applies to an ejected upstream and bounds the penalty of a slow one.
	maxPenalty = 16
)

// Advice tells placement how to treat an upstream.
type Advice struct {
	// Usable is false while the upstream must get no new work: it is draining or ejected.
	Usable bool
	// Ejected is set while the upstream is taken out for a time because it fails.
	Ejected bool
	// Penalty multiplies the load estimate of the upstream, at least 1.
	Penalty float64
}

type ejection struct {
	until time.Time
	count int // consecutive ejections
}

// Ejector performs outlier ejection for one pool. It is not safe for concurrent use.
type Ejector struct {
	settings  Settings
	ejections map[string]*ejection
}

// NewEjector returns an ejector without ejected upstreams.
func NewEjector(s Settings) *Ejector {
	return &Ejector{settings: s, ejections: make(map[string]*ejection)}
}

func isFailing(c Condition) bool { return c == Failing || c == FailingFast || c == Misleading }

// Step updates the ejections from the summaries of all upstreams of the pool, by ID,
// and returns the advice for each. The upstreams with the highest failure share are
// ejected first; once the limit is reached, the other failing ones only get a penalty,
// so that an outage of the whole pool does not leave it empty.
func (e *Ejector) Step(now time.Time, pool map[string]Summary) map[string]Advice {
	ejected := e.expireEjections(now, pool)
	var failing []string
	for id, s := range pool {
		if isFailing(s.Condition) && !e.isEjected(now, id) {
			failing = append(failing, id)
		}
	}
	slices.SortFunc(failing, func(a, b string) int {
		return cmp.Or(cmp.Compare(pool[b].Failed, pool[a].Failed), cmp.Compare(a, b))
	})
	for _, id := range failing[:min(len(failing), max(0, e.maxEjected(len(pool))-ejected))] {
		e.eject(now, id)
	}
	advice := make(map[string]Advice, len(pool))
	for id, s := range pool {
		advice[id] = e.advise(now, id, s)
	}
	return advice
}

// maxEjected returns the maximum number of ejected upstreams in a pool of n.
func (e *Ejector) maxEjected(n int) int {
	if n < 2 || e.settings.MaxEjectedPercent == 0 {
		return 0
	}
	return max(1, n*e.settings.MaxEjectedPercent/100)
}

func (e *Ejector) isEjected(now time.Time, id string) bool {
	x := e.ejections[id]
	return x != nil && now.Before(x.until)
}

// expireEjections drops the state of removed upstreams and of those that have passed
// their trial after an ejection, and returns the number of upstreams still ejected.
func (e *Ejector) expireEjections(now time.Time, pool map[string]Summary) int {
	n := 0
	for id, x := range e.ejections {
		s, there := pool[id]
		switch {
		case !there:
			delete(e.ejections, id)
		case now.Before(x.until):
			n++
		case !isFailing(s.Condition) && s.Successes >= e.settings.MinAnswers:
			delete(e.ejections, id)
		}
	}
	return n
}

func (e *Ejector) eject(now time.Time, id string) {
	x := e.ejections[id]
	if x == nil {
		x = &ejection{}
		e.ejections[id] = x
	}
	span := e.settings.EjectTime.Std()
	for range x.count {
		span = min(2*span, e.settings.MaxEjectTime.Std())
	}
	x.count++
	x.until = now.Add(span)
}

func (e *Ejector) advise(now time.Time, id string, s Summary) Advice {
	if e.isEjected(now, id) {
		return Advice{Ejected: true, Penalty: maxPenalty}
	}
	a := Advice{Usable: s.Condition != Draining, Penalty: noPenalty}
	switch {
	case isFailing(s.Condition), e.ejections[id] != nil:
		a.Penalty = failingPenalty
	case s.Condition == Slow && s.Baseline > 0:
		a.Penalty = min(maxPenalty, max(noPenalty, float64(s.Latency)/float64(s.Baseline)))
	}
	return a
}
