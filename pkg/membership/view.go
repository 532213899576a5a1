package membership

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericsail/turmericsail/pkg/peer"
)

// Instant is a reading of both clocks. The monotonic clock may stop while the
// machine is suspended; the wall clock may be adjusted.
type Instant struct {
	Mono time.Duration
	Wall time.Time
}

// Since returns the time from earlier to i by the clock that advanced further.
func (i Instant) Since(earlier Instant) time.Duration {
	return max(i.Mono-earlier.Mono, i.Wall.Sub(earlier.Wall))
}

// Scope is the set of members among which a role is held.
type Scope struct {
	// Region limits the role to a region; empty means the whole fleet.
	Region string
	// FailureDomain limits the role to a failure domain of Region.
	FailureDomain string
}

// Fleet returns the scope of all members.
func Fleet() Scope { return Scope{} }

// InRegion returns the scope of one region.
func InRegion(region string) Scope { return Scope{Region: region} }

// InFailureDomain returns the scope of one failure domain.
func InFailureDomain(region, domain string) Scope { return Scope{region, domain} }

func (s Scope) includes(m *Member) bool {
	return (s.Region == "" || s.Region == m.Region) && (s.FailureDomain == "" || s.FailureDomain == m.FailureDomain)
}

// View is an immutable snapshot of the membership as one instance sees it.
type View struct {
	// Self is this instance.
	Self Member
	// Members lists all known members sorted by ID, including gone ones.
	Members []Member
	// Ready reports whether this instance may hold roles.
	Ready bool
	// StoreUp reports whether the last store call was answered.
	StoreUp bool
	// Sequence increases whenever the members or Ready change.
	Sequence uint64

	confirmedAt Instant
	lease       time.Duration
	hashes      []uint64
}

// Lookup returns a member by ID.
func (v *View) Lookup(id peer.InstanceID) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, id, func(m Member, id peer.InstanceID) int {
		switch {
		case m.ID < id:
			return -1
		case m.ID > id:
			return 1
		}
		return 0
	})
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

// eligible reports whether the member may hold roles: it is live and not known only from the list.
func (m *Member) eligible() bool { return m.State == Live && m.Version > 0 }

// Live returns the live members of a scope, sorted by ID. Members known only from the list are left out.
func (v *View) Live(scope Scope) []Member {
	var live []Member
	for i := range v.Members {
		if m := &v.Members[i]; m.eligible() && scope.includes(m) {
			live = append(live, *m)
		}
	}
	return live
}

// Holders returns up to n live members that hold a role, in order of preference.
func (v *View) Holders(key string, scope Scope, n int) []Member {
	type scored struct {
		score uint64
		index int
	}
	var all []scored
	k := xxhash.Sum64String(key)
	for i := range v.Members {
		if m := &v.Members[i]; m.eligible() && scope.includes(m) {
			all = append(all, scored{mixBits(k ^ v.hashes[i]), i})
		}
	}
	sort.Slice(all, func(a, b int) bool { return all[a].score > all[b].score })
	holders := make([]Member, min(n, len(all)))
	for i := range holders {
		holders[i] = v.Members[all[i].index]
	}
	return holders
}

// HoldsAt reports whether this instance is among the n holders of a role at the
// given instant. It returns false if either clock advanced by more than the lease
// since the last tick: the process was paused and others may have taken over.
func (v *View) HoldsAt(now Instant, key string, scope Scope, n int) bool {
	if !v.Ready || now.Since(v.confirmedAt) > v.lease || !scope.includes(&v.Self) {
		return false
	}
	return slices.ContainsFunc(v.Holders(key, scope, n), func(m Member) bool { return m.ID == v.Self.ID })
}

// mixBits is the finaliser of splitmix64. It makes the scores of the members for one
// key independent of their scores for another key.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
