package view

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/turmericsail/turmericsail/pkg/peer"
)

func instances(names ...string) (out []Instance) {
	for _, name := range names {
		out = append(out, Instance{peer.InstanceID(name + "/1"), "north", name[:1]})
	}
	return out
}

// Guards against views that lose both quorums with one failure domain, that remain in one
// failure domain after another returned, or that include members of other regions.
func TestChoose(t *testing.T) {
	for _, c := range []struct {
		name      string
		old, live []Instance
		members   int
		perDomain int
		kept      int
	}{
		{"two failure domains share the view", nil, instances("a1", "a2", "a3", "b1", "b2", "b3"), 4, 2, 0},
		{"one member is replaced", instances("a1", "a2", "b1", "b2"), instances("a1", "a3", "b1", "b2", "b3"), 4, 2, 3},
		{"one failure domain forms the view alone", instances("a1", "a2", "b1", "b2"), instances("b1", "b2", "b3", "b4", "b5"), 4, 4, 2},
		{"a failure domain that returned gets members again", instances("b1", "b2", "b3", "b4"), instances("a1", "a2", "b1", "b2", "b3", "b4"), 4, 2, 2},
		{"a small failure domain leaves three members", nil, instances("a1", "b1", "b2", "b3"), 3, 2, 0},
		{"a single instance", nil, instances("a1"), 1, 1, 0},
		{"no live instances", instances("a1"), nil, 0, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			live := append(c.live, Instance{"x1/1", "south", "x"})
			chosen := Choose("north", c.old, live)
			is.Equal(len(chosen), c.members)
			domains, kept := make(map[string]int), 0
			for _, m := range chosen {
				is.Equal(m.Region, "north")
				domains[m.FailureDomain]++
				if (Group{Members: c.old}).Has(m.ID) {
					kept++
				}
			}
			for _, n := range domains {
				is.True(n <= c.perDomain)
			}
			is.Equal(kept, c.kept)
		})
	}
}

// Guards against quorums that do not intersect and against changes that replace members
// unnecessarily.
func TestChoiceIsStableAndQuorumsIntersect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var live []Instance
		for i := range rapid.IntRange(1, 9).Draw(t, "live") {
			live = append(live, instances(fmt.Sprintf("%s%d", rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"), i))...)
		}
		g := Group{Members: Choose("north", nil, live)}
		if n := len(g.Members); g.WriteQuorum()+g.SealQuorum() <= n || 2*g.WriteQuorum() <= n {
			t.Fatalf("quorums of %d members do not intersect", n)
		}
		if again := Choose("north", g.Members, live); !sameMembers(again, g.Members) {
			t.Fatalf("members changed without a cause: %v, then %v", g.Members, again)
		}
		joined := append(live, instances("a99")...)
		if next := Choose("north", g.Members, joined); len(g.Members) == MaxMembers && len(domains(g.Members)) > 1 && !sameMembers(next, g.Members) {
			t.Fatalf("a joining instance replaced a member: %v, then %v", g.Members, next)
		}
	})
}

func domains(members []Instance) map[string]bool {
	out := make(map[string]bool)
	for _, m := range members {
		out[m.FailureDomain] = true
	}
	return out
}

// Guards against invalid stored views, whose quorums might not intersect.
func TestDecodeRefusesBadViews(t *testing.T) {
	is := is.New(t)
	good := View{Region: "north"}.Next(instances("a1", "a2", "b1", "b2")).Next(instances("a1", "a3", "b1", "b2"))
	data, err := good.Encode()
	is.NoErr(err)
	same, err := Decode(data)
	is.NoErr(err)
	is.Equal(same, good)
	for _, bad := range []func(*View){
		func(v *View) { v.Epoch = 0 },
		func(v *View) { v.Region = "south" },
		func(v *View) { v.Members = append(v.Members, v.Members[0]) },
		func(v *View) { v.Members = nil },
		func(v *View) { v.Predecessors[0].Epoch = v.Epoch },
	} {
		v, err := Decode(data)
		is.NoErr(err)
		bad(&v)
		encoded, err := v.Encode()
		is.NoErr(err)
		_, err = Decode(encoded)
		is.True(err != nil)
	}
}

// Guards against authority that is restored by confirmations of requests sent before a clock gap.
func TestDroppedAuthorityNeedsNewConfirmations(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	g := Group{Epoch: 1, Members: instances("a1")}
	var h confirmations
	h.record(1, "a1/1", now, time.Second)
	is.True(h.held(now, g))
	h.drop(now.Add(time.Millisecond))
	h.record(1, "a1/1", now, time.Second)
	is.True(!h.held(now, g))
	h.record(1, "a1/1", now.Add(2*time.Millisecond), time.Second)
	is.True(h.held(now.Add(3*time.Millisecond), g))
}

// FuzzDecode guards against views from the store or a peer that crash an instance or are
// accepted although they are invalid.
func FuzzDecode(f *testing.F) {
	data, err := View{Region: "north"}.Next(instances("a1", "b1")).Next(instances("a1", "b2")).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		if v, err := Decode(data); err == nil {
			if len(v.Members) == 0 || len(v.Members) > MaxMembers || v.Epoch == 0 {
				t.Fatalf("accepted %+v", v)
			}
			_ = v.Newer(View{})
			_ = v.Allocator("key")
		}
		_, _ = decodeSync(data)
	})
}
