package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
	"github.com/turmericsail/turmericsail/pkg/store"
)

// viewMismatch returns a description of how a view differs from the set of running instances, or "".
func (s *sim) viewMismatch() string {
	for _, id := range s.running {
		v := s.nodes[id].m.View()
		var live []peer.InstanceID
		for _, x := range v.Live(Fleet()) {
			live = append(live, x.ID)
		}
		want := slices.Sorted(slices.Values(s.running))
		if !slices.Equal(live, want) {
			return fmt.Sprintf("%s sees %v, running are %v", id, live, want)
		}
		if !v.Ready {
			return fmt.Sprintf("%s is not ready", id)
		}
	}
	return ""
}

// Guards against views that do not converge, versions incremented by another instance,
// live members declared gone although their lease is in force, and roles held after a
// pause or a lapsed lease without a new exchange of member tables.
func TestMachinesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 9).Draw(t, "instances"))
		s.listLag = time.Duration(rapid.IntRange(0, 30).Draw(t, "list lag")) * time.Second
		s.run(10 * time.Second)
		storeWasDown := false
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) { s.run(time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms")) * time.Millisecond) },
			"faults": func(t *rapid.T) {
				s.lossRate = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "loss rate")
				s.duplicateRate = rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "duplicate rate")
				s.jitter = time.Duration(rapid.SampledFrom([]int{0, 50, 900}).Draw(t, "jitter")) * time.Millisecond
			},
			"crash": func(t *rapid.T) {
				if len(s.running) > 2 {
					s.crash(rapid.SampledFrom(s.running).Draw(t, "id"))
				}
			},
			"restart": func(t *rapid.T) {
				id := rapid.SampledFrom(s.running).Draw(t, "id")
				region := s.nodes[id].region
				s.crash(id)
				s.start(id.Name(), region)
			},
			"join": func(t *rapid.T) {
				if len(s.running) < 9 {
					s.start(fmt.Sprintf("j%d", s.restarts), rapid.SampledFrom(regions).Draw(t, "region"))
				}
			},
			"pause": func(t *rapid.T) {
				n := s.nodes[rapid.SampledFrom(s.running).Draw(t, "id")]
				n.paused = true
				d := time.Duration(rapid.IntRange(1, 60000).Draw(t, "ms")) * time.Millisecond
				s.run(d)
				if d > 16*time.Second && n.m.View().HoldsAt(s.instant(), "role", Fleet(), 9) {
					t.Fatalf("%s holds a role right after a pause of %v", n.id, d)
				}
				s.resume(n)
			},
			"partition": func(t *rapid.T) {
				r := rapid.SampledFrom(regions).Draw(t, "region")
				s.partitioned = func(a, b string) bool { return (a == r) != (b == r) }
				s.storeUp = func(region string) bool { return region != r }
				storeWasDown = true
			},
			"store down": func(*rapid.T) { s.storeUp = func(string) bool { return false }; storeWasDown = true },
			"heal":       func(*rapid.T) { s.heal() },
			"": func(t *rapid.T) {
				s.checkVersions(t)
				if !storeWasDown {
					s.checkGone(t)
				}
			},
		})
		s.heal()
		s.lossRate, s.duplicateRate, s.jitter = 0, 0, 0
		for range 24 {
			if s.run(5 * time.Second); s.viewMismatch() == "" {
				return
			}
		}
		t.Fatalf("after 2 minutes without faults: %s", s.viewMismatch())
	})
}

func (s *sim) heal() {
	s.partitioned = func(_, _ string) bool { return false }
	s.storeUp = func(string) bool { return true }
}

func (s *sim) checkVersions(t *rapid.T) {
	for _, id := range s.running {
		for _, x := range s.nodes[id].m.View().Members {
			if n := s.nodes[x.ID]; n != nil && x.Version > n.m.self.Version {
				t.Fatalf("%s holds version %d of %s, which is at %d", id, x.Version, x.ID, n.m.self.Version)
			}
		}
	}
}

// checkGone fails if a running member is declared gone although its lease is in force.
func (s *sim) checkGone(t *rapid.T) {
	for _, id := range s.running {
		for _, x := range s.nodes[id].m.View().Members {
			n := s.nodes[x.ID]
			if n == nil || n.paused || x.State != Gone || x.Version < n.m.self.Version {
				continue
			}
			if end, held := s.leaseEnds[x.ID]; held && end > s.now && s.now-n.m.startedAt.Mono > 30*time.Second {
				t.Fatalf("%s declares %s gone although its lease is in force", id, x.ID)
			}
		}
	}
}

// Guards against an order of records in which old gossip revives a member or overrides the member's own record.
func TestRecordsAreOrdered(t *testing.T) {
	for _, c := range []struct {
		old, next Member
		want      bool
	}{
		{Member{Version: 1, State: Live}, Member{Version: 1, State: Suspect}, true},
		{Member{Version: 1, State: Suspect}, Member{Version: 1, State: Live}, false},
		{Member{Version: 1, State: Gone}, Member{Version: 2, State: Live}, true},
		{Member{Version: 2, State: Leaving}, Member{Version: 1, State: Gone}, false},
		{Member{Version: 2, State: Leaving}, Member{Version: 2, State: Live}, false},
		{Member{Version: 2, State: Live}, Member{Version: 2, State: Live}, false},
	} {
		t.Run(fmt.Sprintf("%d %s to %d %s", c.old.Version, c.old.State, c.next.Version, c.next.State), func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.next.supersedes(&c.old), c.want)
		})
	}
}

func newConvergedSim(t *testing.T, n int) *sim {
	s := newSim(7, n)
	s.run(20 * time.Second)
	if d := s.viewMismatch(); d != "" {
		t.Fatal(d)
	}
	return s
}

// Guards against holding a role after a gap in either clock.
func TestGapInEitherClockReleasesRoles(t *testing.T) {
	for _, c := range []struct {
		name       string
		mono, wall time.Duration
		holds      bool
	}{
		{"none", 0, 0, true},
		{"short", 14 * time.Second, 14 * time.Second, true},
		{"both", 16 * time.Second, 16 * time.Second, false},
		{"suspended machine", 0, 16 * time.Second, false},
		{"wall clock set back", 16 * time.Second, -time.Hour, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newConvergedSim(t, 3)
			m := s.nodes[s.running[0]].m
			now := Instant{Mono: m.lastTick.Mono + c.mono, Wall: m.lastTick.Wall.Add(c.wall)}
			is.Equal(m.View().HoldsAt(now, "role", Fleet(), 3), c.holds)
			m.Tick(now)
			is.Equal(m.View().Ready, c.holds) // not ready after the tick that detects the gap either
		})
	}
}

// Guards against counting an answer to a request from before a pause as resynchronisation.
func TestAnswersFromBeforePauseAreIgnored(t *testing.T) {
	is := is.New(t)
	s := newConvergedSim(t, 3)
	m := s.nodes[s.running[0]].m
	before := s.instant()
	now := Instant{Mono: before.Mono + time.Minute, Wall: before.Wall.Add(time.Minute)}
	m.Tick(now)
	answer := &peerpb.MembershipDelta{Digests: m.digests[:]}
	m.LeaseDone(now, before, LeaseKept)
	m.DeltaDone(now, before, s.running[1], answer)
	is.True(!m.View().Ready)
	m.LeaseDone(now, now, LeaseKept)
	is.True(!m.View().Ready)
	m.DeltaDone(now, now, s.running[1], answer)
	is.True(m.View().Ready)
}

// Guards against a leaving instance that keeps its roles, and against an end that is not announced.
func TestLeavingReleasesRoles(t *testing.T) {
	is := is.New(t)
	s := newConvergedSim(t, 5)
	n := s.nodes[s.running[0]]
	is.True(n.m.View().HoldsAt(s.instant(), "role", Fleet(), 5))
	n.m.Leave(s.instant())
	is.True(!n.m.View().HoldsAt(s.instant(), "role", Fleet(), 5))
	s.run(5 * time.Second)
	for _, id := range s.running {
		x, _ := s.nodes[id].m.View().Lookup(n.id)
		is.Equal(x.State, Leaving)
	}
	for _, a := range n.m.End(s.instant()) {
		s.perform(n, a)
	}
	s.run(time.Second)
	s.crash(n.id)
	s.run(4 * time.Second)
	for _, id := range s.running {
		x, _ := s.nodes[id].m.View().Lookup(n.id)
		is.Equal(x.State, Gone)
	}
}

// Guards against wrong decisions about a suspect: gone while its lease is in force,
// not gone after the lease lapsed, or gone too early while the store is down.
func TestSuspectIsResolvedByStore(t *testing.T) {
	for _, c := range []struct {
		name       string
		lease      bool
		storeUp    bool
		at20, at60 State
	}{
		{"lease in force", true, true, Suspect, Suspect},
		{"lease lapsed", false, true, Gone, Gone},
		{"store down", true, false, Suspect, Gone},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newConvergedSim(t, 6)
			id := s.running[5]
			s.crash(id)
			s.leaseEnds[id] = s.now
			if c.lease {
				s.leaseEnds[id] = s.now + time.Hour
			}
			s.storeUp = func(string) bool { return c.storeUp }
			s.run(20 * time.Second)
			is.Equal(s.stateOf(id), c.at20)
			s.run(40 * time.Second)
			is.Equal(s.stateOf(id), c.at60)
		})
	}
}

func (s *sim) stateOf(id peer.InstanceID) State {
	x, _ := s.nodes[s.running[0]].m.View().Lookup(id)
	return x.State
}

// Guards against roles that move away from live members, and against holders of a region's role outside the region.
func TestRolesMoveOnlyFromLostMembers(t *testing.T) {
	is := is.New(t)
	s := newConvergedSim(t, 9)
	before, lost := s.nodes[s.running[0]].m.View(), s.running[8]
	s.crash(lost)
	s.run(20 * time.Second)
	after := s.nodes[s.running[0]].m.View()
	for i := range 200 {
		key := fmt.Sprint("role", i)
		a, b := before.Holders(key, Fleet(), 1)[0], after.Holders(key, Fleet(), 1)[0]
		is.True(a.ID == b.ID || a.ID == lost)
		for _, h := range after.Holders(key, InRegion("south"), 2) {
			is.Equal(h.Region, "south")
		}
	}
}

// Guards against a number of heartbeats per instance that grows with the fleet.
func TestHeartbeatCountIsIndependentOfFleetSize(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{9, 90} {
		s := newConvergedSim(t, n)
		is.Equal(len(s.nodes[s.running[0]].m.neighbours()), 3)
	}
}

// Guards against unnecessary role moves after a partition heals, caused by a region
// that adopts the other side's suspicions about its own members.
func TestRolesAreStableWhenPartitionHeals(t *testing.T) {
	is := is.New(t)
	s := newConvergedSim(t, 9)
	s.partitioned = func(a, b string) bool { return a != b }
	s.storeUp = func(string) bool { return false }
	s.run(2 * time.Minute)
	for _, id := range s.running {
		is.Equal(len(s.nodes[id].m.View().Live(Fleet())), 3) // each side sees only its own members as live
	}
	s.partitioned = func(_, _ string) bool { return false } // the store stays down, so no lease lapses
	for range 600 {
		s.run(50 * time.Millisecond)
		for _, id := range s.running {
			n := s.nodes[id]
			is.Equal(len(n.m.View().Live(InRegion(n.region))), 3)
		}
	}
	is.Equal(s.viewMismatch(), "")
}

// Guards against a member that holds roles although it is known only from the lagging
// list, and against a member declared gone by a reading that began before the suspicion.
func TestLaggingList(t *testing.T) {
	is := is.New(t)
	s := newConvergedSim(t, 3)
	m, now := s.nodes[s.running[0]].m, s.instant()
	row := func(id string) store.ListedInstance {
		return store.ListedInstance{ID: id, Address: "x:1", Region: "north", FailureDomain: "north-1"}
	}
	m.ListDone(now, now, []store.ListedInstance{row("x/1"), row("no-incarnation")}, nil)
	x, ok := m.View().Lookup("x/1")
	is.True(ok)
	is.Equal(x.State, Live)
	is.Equal(len(m.View().Live(Fleet())), 3)
	is.Equal(len(m.View().Members), 4)

	later := Instant{Mono: now.Mono + time.Second, Wall: now.Wall.Add(time.Second)}
	m.markSuspect(later, m.members["x/1"])
	m.ListDone(later, now, nil, nil) // this reading began before the suspicion
	is.Equal(m.members["x/1"].State, Suspect)
	m.LeasesDone(later, now, nil, nil)
	is.Equal(m.members["x/1"].State, Suspect)
	m.ListDone(later, Instant{Mono: later.Mono + 1}, nil, nil)
	is.Equal(m.members["x/1"].State, Gone)
}

// Guards against the old incarnation of a restarted instance keeping its roles until its timeout.
func TestRestartMakesOldIncarnationSuspect(t *testing.T) {
	is := is.New(t)
	s := newConvergedSim(t, 6)
	m := s.nodes[s.running[0]].m
	old, other := s.running[3], s.running[4]
	m.merge(s.instant(), Member{ID: peer.InstanceID(old.Name() + "/new"), State: Live, Version: 1})
	is.Equal(m.members[old].State, Suspect)
	is.Equal(m.members[other].State, Live)
}

// Guards against a long-standing suspicion that times out as soon as the store goes down.
func TestSuspectTimeoutStartsAtStoreOutage(t *testing.T) {
	is := is.New(t)
	s := newConvergedSim(t, 6)
	id := s.running[5]
	s.crash(id)
	s.leaseEnds[id] = s.now + time.Hour
	s.run(2 * time.Minute)
	s.storeUp = func(string) bool { return false }
	s.run(20 * time.Second)
	is.Equal(s.stateOf(id), Suspect)
	s.run(30 * time.Second)
	is.Equal(s.stateOf(id), Gone)
}
