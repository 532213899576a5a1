package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/table"
)

// poolOf returns a pool with so many upstreams of each version, spread over three regions.
func poolOf(versions map[string]int) *table.Pool {
	p := &table.Pool{Name: "p"}
	for _, v := range []string{"v1", "v2", "v3"} {
		for i := range versions[v] {
			p.Upstreams = append(p.Upstreams, table.Upstream{ID: fmt.Sprintf("%s-%d", v, i), Region: fmt.Sprint(i % 3), Version: v})
		}
	}
	return p
}

func versionsOf(list []table.Upstream) map[string]int {
	n := map[string]int{}
	for _, u := range list {
		n[u.Version]++
	}
	return n
}

// Guards against requests that reach a version before its first stage, after it was rolled back, or in the place of one that
// was completed, whatever orders follow each other.
func TestSplitFollowsOrdersAndRecords(t *testing.T) {
	now := time.Unix(1000, 0)
	order := func(target string, revision uint64) *Order {
		return &Order{Service: "p", Target: target, Duration: 14 * time.Second, Revision: revision}
	}
	v2 := Begin(*order("v2", 1), nil, now)
	at := func(r Record, stage Stage) *Record { r.Stage = stage; return &r }
	back, done := v2.Ended(RolledBack, "bad", now), v2.Ended(Completed, "", now)
	v3 := Begin(*order("v3", 2), &back, now)
	for _, c := range []struct {
		name   string
		order  *Order
		record *Record
		old    map[string]int
		target map[string]int
		share  float64
	}{
		{"order without a record", order("v2", 1), nil, map[string]int{"v1": 100, "v3": 100}, nil, 0},
		{"canary", order("v2", 1), &v2, map[string]int{"v1": 100, "v3": 100}, map[string]int{"v2": 12}, canaryShare},
		{"quarter", order("v2", 1), at(v2, Quarter), map[string]int{"v1": 100, "v3": 100}, map[string]int{"v2": 100}, 0.25},
		{"all", order("v2", 1), at(v2, All), nil, map[string]int{"v2": 100}, 1},
		{"rolled back", order("v2", 1), &back, map[string]int{"v1": 100, "v3": 100}, nil, 0},
		{"completed", order("v2", 1), &done, nil, map[string]int{"v2": 100}, 1},
		{"record alone", nil, at(v2, Half), map[string]int{"v1": 100, "v3": 100}, map[string]int{"v2": 100}, 0.5},
		{"second order during the first", order("v3", 2), at(v2, All), map[string]int{"v1": 100}, nil, 0},
		{"order after a rollback", order("v3", 2), &v3, map[string]int{"v1": 100}, map[string]int{"v3": 6}, canaryShare},
		{"order after a completion", order("v3", 2), &done, map[string]int{"v2": 100}, nil, 0},
		{"order of the version in force", order("v2", 2), &done, nil, map[string]int{"v2": 100}, 1},
		{"same version again after a rollback", order("v2", 2), &back, map[string]int{"v1": 100, "v3": 100}, nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			rules, ok := Resolve(c.order, c.record)
			is.True(ok)
			s := rules.Split(poolOf(map[string]int{"v1": 100, "v2": 100, "v3": 100}))
			if c.old == nil {
				c.old = map[string]int{}
			}
			if c.target == nil {
				c.target = map[string]int{}
			}
			is.Equal(versionsOf(s.Old), c.old)
			is.Equal(versionsOf(s.Target), c.target)
			is.Equal(s.Share, c.share)
		})
	}
	_, ok := Resolve(nil, nil)
	is.New(t).True(!ok)
}

// Guards against a pool that nothing serves: at the first order all of its upstreams may be of the target version.
func TestSplitLeavesAPoolServed(t *testing.T) {
	is := is.New(t)
	rules, _ := Resolve(&Order{Target: "v2", Revision: 1}, nil)
	is.Equal(rules.Split(poolOf(map[string]int{"v2": 3})).Share, 1.0)
	record := Begin(Order{Target: "v2", Revision: 1}, nil, time.Unix(0, 0)).Advanced(time.Unix(1, 0))
	rules, _ = Resolve(nil, &record)
	s := rules.Split(poolOf(map[string]int{"v1": 3}))
	is.Equal(len(s.Old), 3)
	is.Equal(s.Share, 0.0)
}

// Guards against canaries that differ between instances, or that are in one region only.
func TestCanariesAreTheSameEverywhere(t *testing.T) {
	is := is.New(t)
	p := poolOf(map[string]int{"v1": 100, "v2": 100})
	a := canaries(p.Upstreams[100:], p, "v2", 100)
	reversed := make([]table.Upstream, 0, 100)
	for i := 199; i >= 100; i-- {
		reversed = append(reversed, p.Upstreams[i])
	}
	is.Equal(a, canaries(reversed, p, "v2", 100))
	regions := map[string]int{}
	for _, u := range a {
		regions[u.Region]++
	}
	is.Equal(regions, map[string]int{"0": 2, "1": 2, "2": 2})
	p.UpstreamsOut = []string{a[0].ID}
	is.Equal(len(canaries(p.Upstreams[100:], p, "v2", 100)), 6)
	is.Equal(len(canaries(p.Upstreams[100:], p, "v2", 18)), minCanaries)
}
