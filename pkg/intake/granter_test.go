package intake

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// grants asks every step for a time and returns the most grants within a window.
func grants(g *Granter, s Statement, from time.Time, length, step, window time.Duration) (total, most int) {
	var at []time.Time
	for now := from; now.Before(from.Add(length)); now = now.Add(step) {
		if granted, _, _ := g.Grant("u", s, now); granted {
			at = append(at, now)
		}
	}
	for i, first := range at {
		n := 0
		for _, t := range at[i:] {
			if t.Sub(first) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return len(at), most
}

// Guards against a granter that grants more than the limit in any window, or less over time.
func TestGrantsFollowTheLimit(t *testing.T) {
	for _, perSecond := range []float64{0.3, 1, 1.6, 12, 150} {
		is := is.New(t)
		start := time.Unix(1000, 0)
		total, most := grants(NewGranter(), Statement{PerSecond: perSecond, HeardAt: start}, start, time.Minute, time.Millisecond, 4*time.Second)
		is.True(float64(most) <= 4*perSecond+max(perSecond*burstTime.Seconds(), 1))
		is.True(float64(total) >= 0.97*60*perSecond-1)
	}
}

// Guards against grants by an older statement, against a new granter that starts with accumulated grants, and against
// an upstream that is never used again because it once took nothing.
func TestStatementsReplaceEachOther(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	g := NewGranter()
	granted, wait, _ := g.Grant("u", Statement{PerSecond: 2, HeardAt: at(0)}, at(0))
	is.True(!granted)
	is.Equal(wait, 500*time.Millisecond)
	granted, _, _ = g.Grant("u", Statement{PerSecond: 2, HeardAt: at(0)}, at(0.5))
	is.True(granted)

	g.Report("u", Statement{Unlimited: true, HeardAt: at(1)}, at(1))
	granted, _, latest := g.Grant("u", Statement{PerSecond: 2, HeardAt: at(0)}, at(1))
	is.True(granted && latest.Unlimited)

	g.Report("u", Statement{PerSecond: 0, HeardAt: at(2)}, at(2))
	g.Report("u", Statement{PerSecond: math.NaN(), HeardAt: at(3)}, at(3)) // ignored
	total, _ := grants(g, Statement{PerSecond: 0, HeardAt: at(2)}, at(3), time.Minute, 100*time.Millisecond, time.Second)
	is.True(total >= 5 && total <= 7)
}

// Guards against a table that takes a missing limit for a statement, keeps an older one, or holds an upstream whose
// limit has changed.
func TestStatementsOfUpstreams(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := NewStatements()
	is.True(!table.Hear("u", Statement{Unlimited: true, HeardAt: now}))
	is.True(table.Hear("u", Statement{PerSecond: 2, HeardAt: now}))
	is.True(!table.Hear("u", Statement{PerSecond: -1, HeardAt: now.Add(time.Second)}))
	is.True(!table.Hear("u", Statement{Unlimited: true, HeardAt: now.Add(-time.Second)}))
	is.True(!table.Hear("u", Statement{PerSecond: 2, HeardAt: now.Add(time.Second)}))
	table.Hold("u", now.Add(10*time.Second), now)
	is.True(table.Held("u", now.Add(9*time.Second)))
	is.True(!table.Held("u", now.Add(10*time.Second)))
	is.True(table.Hear("u", Statement{PerSecond: 5, HeardAt: now.Add(2 * time.Second)}))
	is.True(!table.Held("u", now.Add(3*time.Second)))
	is.True(table.Hear("u", Statement{Unlimited: true, HeardAt: now.Add(4 * time.Second)}))
	_, limited := table.Limited("u")
	is.True(!limited)
	is.Equal(table.Count(), 0)
}

// Guards against a limit heard by another instance that replaces what this one has heard, or that what the granter knows cannot
// replace.
func TestLimitsOfOtherInstances(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100_000, 0)
	table := NewStatements()
	is.True(!table.Introduce("u", math.NaN(), now))
	is.True(table.Introduce("u", 2, now))
	is.True(!table.Introduce("u", 3, now))
	s, limited := table.Limited("u")
	is.True(limited)
	is.Equal(s.PerSecond, 2.0)
	is.True(table.Hear("u", Statement{PerSecond: 5, HeardAt: now.Add(-time.Minute)}))
	is.True(!table.Introduce("u", 3, now))
	is.True(table.Hear("u", Statement{Unlimited: true, HeardAt: now.Add(-time.Second)}))
	is.True(table.Introduce("u", 3, now)) // stated anew since then
	is.True(table.Hear("u", Statement{Unlimited: true, HeardAt: now.Add(-time.Second)}))
	is.Equal(table.Count(), 0)
}

// Guards against limits of upstreams that have ended, or that nobody uses any more, in what other instances are told.
func TestLimitsThatTheGranterKnows(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	g := NewGranter()
	g.Report("limited", Statement{PerSecond: 2, HeardAt: now}, now)
	g.Report("ended", Statement{PerSecond: 2, HeardAt: now}, now)
	g.Report("ended", Statement{Unlimited: true, HeardAt: now.Add(time.Second)}, now.Add(time.Second))
	is.Equal(g.Limits(now.Add(idleTime)), map[string]float64{"limited": 2})
	is.Equal(g.Limits(now.Add(idleTime+time.Second)), map[string]float64{})
}

// Guards against a pause that ends early or never, and against one that a shorter statement ends.
func TestPausesOfUpstreams(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	after := func(s float64) time.Time { return now.Add(time.Duration(s * float64(time.Second))) }
	table := NewStatements()
	is.True(!table.Pause("u", 0, now))
	is.True(!table.Pause("u", -time.Second, now))
	is.True(table.Pause("u", 3*time.Second, now))
	is.True(!table.Pause("u", time.Second, now))
	is.True(table.Held("u", after(2.9)))
	is.True(!table.Held("u", after(3)))
	is.True(!table.Held("v", now))
	is.True(table.Pause("u", 365*24*time.Hour, after(4)))
	is.True(!table.Held("u", after(4+longestPause.Seconds())))
	is.True(table.Leave("v", now))
	is.True(table.Held("v", after(leavingTime.Seconds()-1)))
	is.True(!table.Held("v", after(leavingTime.Seconds())))
}
