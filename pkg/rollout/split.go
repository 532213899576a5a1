package rollout

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericsail/turmericsail/pkg/table"
)

// Rules determine which upstreams of a pool the requests may use.
type Rules struct {
	// Target is the version of the latest order.
	Target string
	// Stage is empty while the target gets nothing: before its first stage and after it was rolled back.
	Stage Stage
	// Final is set after a verdict.
	Final bool
	// Refused lists other versions that get nothing.
	Refused []string
	// Current is the version that was completed last, or empty.
	Current string
}

// Resolve returns the rules that follow from the latest order and record, either of which may be nil, and false without
// both. An order without a record of its own sends nothing to its target, and ends the roll-out before it.
func Resolve(order *Order, record *Record) (Rules, bool) {
	if order == nil && record == nil {
		return Rules{}, false
	}
	if order != nil && (record == nil || record.Order != order.Revision) {
		next := Begin(*order, record, zeroTime)
		r := Rules{Target: next.Target, Refused: next.Refused, Current: next.Current}
		if r.Target == r.Current {
			r.Stage = All // the version is in force already
		}
		return r, true
	}
	r := Rules{Target: record.Target, Stage: record.Stage, Final: record.State != Running, Refused: record.Refused, Current: record.Current}
	switch record.State {
	case Completed:
		r.Stage = All
	case RolledBack:
		r.Stage = ""
	}
	return r, true
}

// Held returns the rules for an instance that sends nothing to the target for now.
func (r Rules) Held() Rules {
	if !r.Final {
		r.Stage = ""
	}
	return r
}

// Sides are the upstreams of a pool that requests may use.
type Sides struct {
	// Old and Target are the upstreams of the version before and of the version that is rolled out.
	Old, Target []table.Upstream
	// Share is the share of the requests that goes to Target.
	Share float64
}

// minCanaries is the smallest number of upstreams in the canary stage: with one, a fault of the machine could not be told
// from one of the version.
const minCanaries = 2

// Split returns the upstreams that the rules permit.
func (r Rules) Split(pool *table.Pool) Sides {
	var s Sides
	var target []table.Upstream
	current := r.Current != "" && r.Current != r.Target &&
		slices.ContainsFunc(pool.Upstreams, func(u table.Upstream) bool { return u.Version == r.Current })
	for _, u := range pool.Upstreams {
		switch {
		case u.Version == r.Target:
			target = append(target, u)
		case slices.Contains(r.Refused, u.Version), current && u.Version != r.Current:
		default:
			s.Old = append(s.Old, u)
		}
	}
	inService := func(list []table.Upstream) int {
		return len(slices.DeleteFunc(slices.Clone(list), func(u table.Upstream) bool { return !pool.InService(u) }))
	}
	switch {
	case r.Final && r.Stage == All:
		return Sides{Target: target, Share: 1}
	case r.Final: // rolled back
		return Sides{Old: s.Old}
	case len(s.Old) == 0: // nothing else could serve the pool
		return Sides{Target: target, Share: 1}
	case r.Stage == Canary:
		target = canaries(target, pool, r.Target, inService(s.Old))
	}
	if r.Stage == "" || inService(target) == 0 {
		return Sides{Old: s.Old}
	}
	s.Target, s.Share = target, r.Stage.Share()
	if r.Stage == All {
		s.Old = nil
	}
	return s
}

// canaries returns the upstreams in service that get the canary share, so many that each has about the load of one of the
// old ones. All instances choose the same ones, in all regions in turn, since some routes may use one region only.
func canaries(target []table.Upstream, pool *table.Pool, salt string, old int) []table.Upstream {
	type ranked struct {
		table.Upstream
		weight uint64
		round  int // the place within the region
	}
	var list []ranked
	for _, u := range target {
		if pool.InService(u) {
			list = append(list, ranked{Upstream: u, weight: xxhash.Sum64String(salt + " " + u.ID)})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(a.weight, b.weight) })
	seen := map[string]int{}
	for i := range list {
		list[i].round = seen[list[i].Region]
		seen[list[i].Region]++
	}
	slices.SortStableFunc(list, func(a, b ranked) int { return cmp.Compare(a.round, b.round) })
	n := max(int(math.Ceil(canaryShare*float64(old))), minCanaries)
	var chosen []table.Upstream
	for _, u := range list[:min(n, len(list))] {
		chosen = append(chosen, u.Upstream)
	}
	return chosen
}
