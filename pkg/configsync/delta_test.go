package configsync

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/membership"
	"github.com/turmericsail/turmericsail/pkg/peer"
)

func numberedPools(n int) map[string][]byte {
	values := map[string][]byte{}
	for i := range n {
		name := fmt.Sprint("p", i)
		values["pools/"+name] = poolRow(name, i+1, true)
	}
	return values
}

// Guards against a delta that contains unchanged rows, and against applying a delta to a
// snapshot that it does not fit.
func TestDeltasCarryOnlyChanges(t *testing.T) {
	is := is.New(t)
	values := numberedPools(50)
	s1 := emptySnapshot().next(1, values, nil)
	values["pools/p7"] = poolRow("p7", 99, true)
	delete(values, "pools/p9")
	s2 := s1.next(2, values, nil)
	d, err := s2.delta(1, false)
	is.NoErr(err)
	rows, err := unpack(d.Packed)
	is.NoErr(err)
	is.Equal(len(rows.Rows), 2)
	got, err := s1.apply(d)
	is.NoErr(err)
	is.Equal(got.digest, s2.digest)
	is.Equal(got.tables.Pools["p7"].Slots, 99)
	_, ok := got.tables.Pools["p9"]
	is.True(!ok)

	_, err = got.apply(d)
	is.True(err != nil) // a late duplicate must not be applied again
	d.Digest++
	_, err = s1.apply(d)
	is.Equal(err, errMismatch)
	full, err := s2.delta(0, false)
	is.NoErr(err)
	is.True(full.Full) // a starting instance gets all rows
	got, err = emptySnapshot().apply(full)
	is.NoErr(err)
	is.Equal(got.digest, s2.digest)
}

// Guards against an unbounded number of tombstones, and against a delta that lacks
// deletions whose tombstones were removed.
func TestForgottenDeletionsNeedAFullCopy(t *testing.T) {
	is := is.New(t)
	s1 := emptySnapshot().next(1, numberedPools(maxTombstones+10), nil)
	s2 := s1.next(2, numberedPools(0), nil)
	is.True(len(s2.rows) <= maxTombstones)
	d, err := s2.delta(1, false)
	is.NoErr(err)
	is.True(d.Full)
	got, err := s1.apply(d)
	is.NoErr(err)
	is.Equal(len(got.values()), 0)
}

// Guards against a tree that omits an instance, reaches one twice, or always puts the same
// instances at inner positions.
func TestTheTreeReachesEveryInstanceOnce(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{0, 1, 4, 5, 16, 85, 256} {
		members := make([]membership.Member, n)
		for i := range members {
			members[i].ID = peer.InstanceID(fmt.Sprint("i", i, "/1"))
		}
		reached := map[peer.InstanceID]int{}
		tree := order(members, 7)
		depth := 0
		for level := []int{-1}; len(level) > 0; depth++ {
			var below []int
			for _, p := range level {
				for _, c := range children(p, n) {
					reached[tree[c]]++
					below = append(below, c)
				}
			}
			level = below
		}
		is.Equal(len(reached), n)
		for _, times := range reached {
			is.Equal(times, 1)
		}
		is.True(depth <= 5)
	}
	members := []membership.Member{{ID: "a/1"}, {ID: "b/1"}, {ID: "c/1"}, {ID: "d/1"}}
	first := map[peer.InstanceID]bool{}
	for revision := range uint64(50) {
		first[order(members, revision)[0]] = true
	}
	is.Equal(len(first), 4)
}
