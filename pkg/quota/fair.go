package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericsail/turmericsail/pkg/peer"
)

// claimant is a holder that wants units.
type claimant struct {
	id peer.InstanceID
	l  *lease
}

// share is the part of the limit that one holder is entitled to.
type share struct {
	base      int  // max-min fair share, at most what the holder wants
	extra     int  // 1 if the holder has its turn on a unit of the remainder
	contended bool // total demand exceeds the limit
}

// share divides the limit among the holders with demand by max-min fairness: equal
// parts, but to none more than it wants. The units of the remainder rotate between
// the holders; without rotation, a limit smaller than the number of holders would
// stay with those that requested first.
func (a *Allocator) share(now time.Time, from peer.InstanceID) share {
	list := a.claimants(now)
	level, rest, total := a.waterLevel(list), a.limit, 0
	for _, c := range list {
		rest -= min(c.l.want, level)
		total += c.l.want
	}
	s := share{contended: total > a.limit}
	for _, c := range list {
		extra := 0
		if rest > 0 && c.l.want > level {
			extra = 1
			rest--
		}
		if c.id == from {
			s.base, s.extra = min(c.l.want, level), extra
		}
	}
	return s
}

// claimants lists the holders with demand: those whose turn it is first, then the
// others in order of the end of their last turn, the oldest first.
func (a *Allocator) claimants(now time.Time) []claimant {
	list := make([]claimant, 0, len(a.holders))
	for id, l := range a.holders {
		if l.want == 0 {
			continue
		}
		if l.inTurn && now.Sub(l.turnStart) >= a.settings.Turn {
			l.inTurn, l.turnEnd = false, now
		}
		list = append(list, claimant{id, l})
	}
	slices.SortFunc(list, func(x, y claimant) int {
		if x.l.inTurn != y.l.inTurn {
			if x.l.inTurn {
				return -1
			}
			return 1
		}
		return cmp.Or(x.l.turnEnd.Compare(y.l.turnEnd), cmp.Compare(x.id, y.id))
	})
	return list
}

// waterLevel returns the largest equal share that the limit allows, by water-filling.
func (a *Allocator) waterLevel(list []claimant) int {
	left, open, level := a.limit, len(list), 0
	wants := make([]int, 0, len(list))
	for _, c := range list {
		wants = append(wants, c.l.want)
	}
	slices.Sort(wants)
	for _, w := range wants {
		step := (w - level) * open
		if step > left {
			return level + left/open
		}
		left -= step
		level = w
		open--
	}
	return level
}

// updateTurn records the start or end of the holder's turn; served is set while it gets a unit of the remainder.
func (l *lease) updateTurn(now time.Time, served bool) {
	switch {
	case served && !l.inTurn:
		l.inTurn, l.turnStart = true, now
	case !served && l.inTurn:
		l.inTurn, l.turnEnd = false, now
	}
}
