package gateway

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/turmericsail/turmericsail/internal/control"
	"github.com/turmericsail/turmericsail/internal/follow"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/rollout"
	"github.com/turmericsail/turmericsail/pkg/table"
)

const orderDuration = 14 * time.Second

var rolloutSeeds = flag.Int("rollout-seeds", 1, "number of random worlds in which each roll-out is played")

// Guards against a good version that is not completed, and a bad one that is not rolled back, before the deadline, or that
// gets more requests than it may.
func TestRolloutOfVersions(t *testing.T) {
	for _, c := range []struct {
		name string
		bad  badness
		want rollout.State
	}{
		{"good", badness{}, rollout.Completed},
		{"bad at once", badness{share: 0.3}, rollout.RolledBack},
		{"a little bad", badness{share: 0.08}, rollout.RolledBack},
		{"always bad", badness{share: 1}, rollout.RolledBack},
		{"late", badness{share: 0.3, after: 5 * time.Second}, rollout.RolledBack},
		{"under load", badness{share: 0.4, load: 3}, rollout.RolledBack},
		{"on one route", badness{share: 0.4, route: "r1"}, rollout.RolledBack},
		{"slow", badness{share: 0.4, slow: true}, rollout.RolledBack},
		{"slow, late", badness{share: 0.4, slow: true, after: 4 * time.Second}, rollout.RolledBack},
		{"slow on a route without second copies", badness{share: 0.5, slow: true, route: "r2"}, rollout.RolledBack},
		{"slow on a route with second copies", badness{share: 0.5, slow: true, route: "r0"}, rollout.RolledBack},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range *rolloutSeeds {
				synctest.Test(t, func(t *testing.T) { playRollout(t, seed+1, 24, 40, 200, c.bad, c.want) })
			}
		})
	}
}

func playRollout(t *testing.T, seed, instances, upstreams int, rate float64, bad badness, want rollout.State) {
	w := newRolloutWorld(t, uint64(seed), instances, upstreams, rate)
	time.Sleep(3 * time.Second)
	w.locked(func() { w.bad["v2"] = bad })
	w.order("v2", orderDuration)
	w.addUpstreams("v2", upstreams, 200*time.Millisecond)
	time.Sleep(orderDuration + 3*time.Second)
	w.finish(want)
}

// Guards against roll-outs that only work with one size of the deployment: small pools give little evidence, and in large ones
// the share that a bad version may get is used up quickly.
func TestRolloutOfSizes(t *testing.T) {
	for _, c := range []struct {
		instances, upstreams int
		rate                 float64
	}{{2, 18, 48.4}, {104, 26, 45.1}, {104, 213, 451}} {
		for _, v := range []struct {
			name string
			bad  badness
			want rollout.State
		}{
			{"good", badness{}, rollout.Completed},
			{"late", badness{share: 0.3, after: 5 * time.Second}, rollout.RolledBack},
		} {
			t.Run(fmt.Sprint(c.instances, c.upstreams, v.name), func(t *testing.T) {
				for seed := range *rolloutSeeds {
					synctest.Test(t, func(t *testing.T) { playRollout(t, seed+1, c.instances, c.upstreams, c.rate, v.bad, v.want) })
				}
			})
		}
	}
}

// Guards against roll-outs that end without a verdict, with two, or too late when an instance, a link or the store fails
// halfway. Each case checks the bounds on exposure and rollback.
func TestRolloutThroughFailures(t *testing.T) {
	late := badness{share: 0.4, after: 4 * time.Second}
	atStage := func(w *rolloutWorld, stage rollout.Stage) {
		for range 300 {
			var at rollout.Stage
			w.locked(func() {
				if r, err := rollout.DecodeRecord(w.values[follow.RolloutKey("p")].Value); err == nil {
					at = r.Stage
				}
			})
			if at == stage {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	silence := func(w *rolloutWorld, d time.Duration) {
		w.locked(func() { w.silent = true })
		time.Sleep(d)
		w.locked(func() { w.silent = false })
	}
	for _, c := range []struct {
		name    string
		bad     badness
		want    rollout.State
		disturb func(w *rolloutWorld)
	}{
		{"judge killed, good", badness{}, rollout.Completed, func(w *rolloutWorld) {
			time.Sleep(3 * time.Second)
			w.kill(w.judge())
		}},
		{"judge killed before the verdict", late, rollout.RolledBack, func(w *rolloutWorld) {
			time.Sleep(5 * time.Second)
			w.kill(w.judge())
		}},
		{"judge killed in a later stage", badness{share: 0.4, after: 6 * time.Second}, rollout.RolledBack, func(w *rolloutWorld) {
			atStage(w, rollout.Quarter)
			w.kill(w.judge())
		}},
		{"judge frozen", late, rollout.RolledBack, func(w *rolloutWorld) {
			time.Sleep(4 * time.Second)
			w.net.Pause(w.judge().id)
		}},
		{"store silent, good", badness{}, rollout.Completed, func(w *rolloutWorld) {
			time.Sleep(2 * time.Second)
			silence(w, 2*time.Second)
		}},
		{"store silent before the verdict", late, rollout.RolledBack, func(w *rolloutWorld) {
			time.Sleep(5 * time.Second)
			silence(w, 4*time.Second)
		}},
		{"answers of writes lost", badness{}, rollout.Completed, func(w *rolloutWorld) {
			w.locked(func() { w.loseNext = 100 })
		}},
		{"writes late", late, rollout.RolledBack, func(w *rolloutWorld) {
			for range 10 {
				w.locked(func() { w.lateNext = 2500 * time.Millisecond })
				time.Sleep(time.Second)
			}
		}},
		{"judge cut off from the store", late, rollout.RolledBack, func(w *rolloutWorld) {
			time.Sleep(4 * time.Second)
			n := w.judge()
			w.locked(func() { n.cutOff = true })
			time.Sleep(leaseLength)
			w.locked(func() { delete(w.granters, n.region) })
		}},
		{"region cut off, good", badness{}, rollout.Completed, func(w *rolloutWorld) {
			time.Sleep(3 * time.Second)
			w.net.SetPartition(func(a, b peer.InstanceID) bool { return (a[0] == 'c') != (b[0] == 'c') })
			time.Sleep(2 * time.Second)
			w.net.Heal()
		}},
		{"region cut off, bad", late, rollout.RolledBack, func(w *rolloutWorld) {
			time.Sleep(3 * time.Second)
			w.net.SetPartition(func(a, b peer.InstanceID) bool { return (a[0] == 'a') != (b[0] == 'a') })
		}},
		{"region of the judge cut off, good", badness{}, rollout.Completed, func(w *rolloutWorld) {
			time.Sleep(3 * time.Second)
			w.net.SetPartition(func(a, b peer.InstanceID) bool { return (a[0] == 'a') != (b[0] == 'a') })
		}},
		{"restart of everything", badness{}, rollout.Completed, func(w *rolloutWorld) {
			time.Sleep(3 * time.Second)
			w.restartAll()
		}},
		{"restart of everything, bad", late, rollout.RolledBack, func(w *rolloutWorld) {
			time.Sleep(3 * time.Second)
			w.restartAll()
		}},
		{"upstreams of the target are killed", badness{}, rollout.Completed, func(w *rolloutWorld) {
			time.Sleep(5 * time.Second)
			w.locked(func() {
				delete(w.upstreams, "v2-3")
				delete(w.upstreams, "v2-5")
				w.rebuild()
			})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range *rolloutSeeds {
				synctest.Test(t, func(t *testing.T) {
					w := newRolloutWorld(t, uint64(seed)+2, 24, 40, 200)
					time.Sleep(3 * time.Second)
					w.locked(func() { w.bad["v2"] = c.bad })
					w.order("v2", orderDuration)
					w.addUpstreams("v2", 40, 200*time.Millisecond)
					begin := time.Now()
					c.disturb(w)
					time.Sleep(orderDuration + 3*time.Second - time.Since(begin))
					w.finish(c.want)
				})
			}
		})
	}
}

// Guards against an instance that goes on sending requests to a version that no judge watches, and against one that is cut off
// from the store, too, and then loses its share of the new version.
func TestInstanceWithoutAJudge(t *testing.T) {
	for _, withoutStore := range []bool{false, true} {
		t.Run(fmt.Sprintf("without the store: %v", withoutStore), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newRolloutWorld(t, 7, 6, 40, 200)
				time.Sleep(3 * time.Second)
				w.order("v2", orderDuration)
				w.addUpstreams("v2", 40, 200*time.Millisecond)
				time.Sleep(4 * time.Second)
				alone := w.nodes[5]
				w.net.SetPartition(func(a, b peer.InstanceID) bool { return a == alone.id || b == alone.id })
				w.locked(func() { alone.cutOff = withoutStore })
				cut := time.Now()
				time.Sleep(orderDuration - 4*time.Second + time.Second)
				w.locked(func() {
					if stage := alone.rollouts["p"].Record.Stage; withoutStore == (stage == rollout.All) {
						t.Errorf("the instance is in stage %s", stage)
					}
					held, later := 0, 0
					for _, at := range alone.toTarget {
						if after := at.Sub(cut); after > 2500*time.Millisecond && after < 4*time.Second {
							held++
						} else if after > 6*time.Second {
							later++
						}
					}
					t.Logf("%d requests while held, %d later", held, later)
					if !withoutStore && (held > 0 || later == 0) || withoutStore && later == 0 {
						t.Errorf("%d requests to the target while held, %d later", held, later)
					}
				})
				close(w.done)
				for _, n := range w.nodes {
					n.stop()
				}
				time.Sleep(time.Minute)
			})
		})
	}
}

// Guards against an order whose version never comes up and that has no verdict.
func TestRolloutOfAMissingVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRolloutWorld(t, 3, 24, 40, 200)
		time.Sleep(3 * time.Second)
		w.order("v2", orderDuration)
		time.Sleep(orderDuration + 2*time.Second)
		w.finish(rollout.RolledBack)
	})
}

// Guards against a second order that is not followed, or during which the version of the first one still gets requests.
func TestSecondOrderDuringTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRolloutWorld(t, 4, 24, 40, 200)
		time.Sleep(3 * time.Second)
		w.order("v2", orderDuration)
		w.addUpstreams("v2", 40, 200*time.Millisecond)
		time.Sleep(7 * time.Second)
		w.order("v3", orderDuration)
		w.addUpstreams("v3", 40, 200*time.Millisecond)
		time.Sleep(3 * time.Second)
		w.locked(func() {
			if n := w.inFlight["v2"]; n > 0 {
				t.Errorf("%d requests at the version of the first order", n)
			}
		})
		time.Sleep(orderDuration)
		w.finish(rollout.Completed)
	})
}

// Guards against a version that is ordered again after its rollback and stays refused, and against requests to it before.
func TestSameVersionOrderedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRolloutWorld(t, 5, 24, 40, 200)
		time.Sleep(3 * time.Second)
		w.order("v2", orderDuration)
		time.Sleep(orderDuration + time.Second) // all instances know the verdict
		w.addUpstreams("v2", 40, 0)
		time.Sleep(5 * time.Second)
		w.locked(func() {
			if !w.lastToTarget.IsZero() || len(w.verdicts) != 1 || w.verdicts[0].State != rollout.RolledBack {
				t.Errorf("verdicts %v, last request to the target %v", w.verdicts, w.lastToTarget)
			}
			w.verdicts = nil
		})
		w.order("v2", orderDuration)
		time.Sleep(orderDuration + time.Second)
		w.finish(rollout.Completed)
	})
}

// Guards against calls and messages of instances without a roll-out.
func TestNothingIsSentWithoutARollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRolloutWorld(t, 6, 6, 10, 50)
		time.Sleep(10 * time.Second)
		for _, n := range w.nodes {
			if sent := n.node.Meter().Sent(peer.CallPath); len(n.service.services) > 0 || sent != (peer.Count{}) {
				t.Errorf("an instance has state of a roll-out, or sent %v", sent)
			}
		}
		close(w.done)
		for _, n := range w.nodes {
			n.stop()
		}
		time.Sleep(time.Minute)
		if w.calls != 0 {
			t.Errorf("%d calls of the store", w.calls)
		}
	})
}

// storedRollouts is a rolloutSource of a store that does not change.
type storedRollouts map[string]follow.Rollout

func (r storedRollouts) Rollouts() map[string]follow.Rollout         { return r }
func (r storedRollouts) Snapshot() *control.Snapshot                 { return &control.Snapshot{} }
func (r storedRollouts) Granter(string) (id peer.InstanceID, _ bool) { return id, false }
func (r storedRollouts) Instances() int                              { return 1 }
func (r storedRollouts) Confirmed() time.Time                        { return time.Now() }

// Guards against a judge that takes cold upstreams, those out of service or those without a known start for the first warm one.
func TestFleetOfAPool(t *testing.T) {
	now := time.Now().Truncate(time.Millisecond)
	of := func(id, version string, age time.Duration) table.Upstream {
		return table.Upstream{ID: id, Version: version, StartMillis: now.Add(-age).UnixMilli()}
	}
	unknown := table.Upstream{ID: "unknown", Version: "v2"}
	for _, c := range []struct {
		name      string
		upstreams []table.Upstream
		warm      int
		since     time.Time
	}{
		{"cold", []table.Upstream{of("a", "v2", coldTime-time.Millisecond)}, 0, time.Time{}},
		{"warm", []table.Upstream{of("a", "v2", coldTime)}, 1, now},
		{"the first counts", []table.Upstream{of("a", "v2", 5*time.Second), of("b", "v2", 9*time.Second), of("c", "v2", 4*time.Second)}, 3, now.Add(coldTime - 9*time.Second)},
		{"out of service", []table.Upstream{of("a", "v2", 5*time.Second), of("out", "v2", 9*time.Second)}, 1, now.Add(coldTime - 5*time.Second)},
		{"unknown start", []table.Upstream{unknown}, 1, time.Time{}},
		{"one unknown start", []table.Upstream{unknown, of("a", "v2", 5*time.Second)}, 2, now.Add(coldTime - 5*time.Second)},
	} {
		t.Run(c.name, func(t *testing.T) {
			pool := table.Pool{Name: "p", Discover: "p", UpstreamsOut: []string{"out"}, Upstreams: append(c.upstreams, of("old", "v1", time.Hour))}
			f := fleetOf(table.NewTables(1, nil, []table.Pool{pool}), &pool, rollout.Rules{Target: "v2", Stage: rollout.Canary}, now)
			if f.Old != 1 || f.Target != c.warm || !f.WarmSince.Equal(c.since) {
				t.Errorf("%d old, %d warm since %v, want 1, %d, %v", f.Old, f.Target, f.WarmSince, c.warm, c.since)
			}
		})
	}
}

// Guards against attempts that are counted for ever after the verdict, when nobody reads the counts.
func TestNoTrackerAfterTheVerdict(t *testing.T) {
	now := time.Now()
	order := &rollout.Order{Service: "p", Target: "v2", Duration: orderDuration, Revision: 3}
	running := rollout.Begin(*order, nil, now)
	for _, c := range []struct {
		name    string
		record  rollout.Record
		tracked bool
	}{
		{"running", running, true},
		{"completed", running.Ended(rollout.Completed, "", now), false},
		{"rolled back", running.Ended(rollout.RolledBack, "bad", now), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &rolloutService{log: logr.Discard()}
			s.bind(storedRollouts{"p": {Order: order, Record: &c.record}}, nil, nil)
			sides, tracker := s.split(&table.Pool{Name: "p", Discover: "p"}, now)
			if sides == nil || (tracker != nil) != c.tracked {
				t.Errorf("sides %v, tracker %v", sides, tracker)
			}
		})
	}
}
