package view

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericsail/turmericsail/pkg/peer"
)

// score returns the rendezvous weight of an instance for a role.
func score(key string, id peer.InstanceID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}

// Owner returns the instance that owns the role key, selected by rendezvous hashing.
func Owner(key string, ids []peer.InstanceID) (peer.InstanceID, bool) {
	if len(ids) == 0 {
		return "", false
	}
	return slices.MaxFunc(ids, func(a, b peer.InstanceID) int {
		return cmp.Or(cmp.Compare(score(key, a), score(key, b)), cmp.Compare(a, b))
	}), true
}

// Choose returns the members of the next view of region. It keeps live members of
// old, so that a change replaces as few as possible, and fills the remaining places in
// rendezvous order. A live member is dropped only when its failure domain has more than
// two members and another failure domain can provide one.
func Choose(region string, old []Instance, live []Instance) []Instance {
	candidates := orderedCandidates(region, old, live)
	chosen := make([]Instance, 0, MaxMembers)
	perDomain := make(map[string]int)
	var spare []Instance
	for _, c := range candidates {
		if len(chosen) < MaxMembers && perDomain[c.FailureDomain] < maxPerDomain {
			chosen = append(chosen, c)
			perDomain[c.FailureDomain]++
			continue
		}
		spare = append(spare, c)
	}
	if len(perDomain) == 1 {
		// If only one failure domain has instances, the view consists of that domain alone.
		for len(chosen) < MaxMembers && len(spare) > 0 {
			chosen, spare = append(chosen, spare[0]), spare[1:]
		}
	}
	slices.SortFunc(chosen, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return chosen
}

// orderedCandidates returns the live instances of region in order of preference: old
// members first, then the others, each in rendezvous order. Choose limits the members
// of each failure domain, so that two failure domains share a new view.
func orderedCandidates(region string, old, live []Instance) []Instance {
	members := Group{Members: old}
	var kept, fresh []Instance
	for _, c := range live {
		switch {
		case c.Region != region:
		case members.Has(c.ID):
			kept = append(kept, c)
		default:
			fresh = append(fresh, c)
		}
	}
	byScore := func(a, b Instance) int {
		return cmp.Or(cmp.Compare(score(region, b.ID), score(region, a.ID)), cmp.Compare(a.ID, b.ID))
	}
	slices.SortFunc(kept, byScore)
	slices.SortFunc(fresh, byScore)
	return append(kept, fresh...)
}

// sameMembers reports whether a and b contain the same instances.
func sameMembers(a, b []Instance) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(m Instance) bool { return !(Group{Members: b}).Has(m.ID) })
}
