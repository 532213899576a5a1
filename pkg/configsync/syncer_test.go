package configsync

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/turmericsail/turmericsail/internal/standin"
	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/membership"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peertest"
)

func startedFleet(t *testing.T, n int) *fleet {
	f := newFleet(n)
	for i := range n {
		f.start(i)
	}
	f.mustEdit(t, "a")
	if f.settle(time.Minute); !f.settled() {
		t.Fatal("the fleet did not settle in time")
	}
	return f
}

// Guards against an instance that cannot start, or starts with outdated tables, while the
// store is down.
func TestAStartWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startedFleet(t, 6)
		defer f.stop()
		count := f.mustEdit(t, "a")
		time.Sleep(time.Second)
		f.store.SetFaults(standin.StoreFaults{Down: true})
		f.crash(f.all[3])
		x := f.start(3)
		<-x.sync.Ready()
		is.Equal(x.sync.Tables().Pools["a"].Slots, count)
		is.Equal(x.sync.Status().Revision, f.all[0].sync.Status().Revision)
	})
}

// Guards against a region that gets no edits while its instances cannot reach the store.
func TestARegionThatIsCutOffFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(48)
		defer f.stop()
		var mu sync.Mutex
		cut := false
		for i := range 48 {
			f.startWith(i, func() bool { mu.Lock(); defer mu.Unlock(); return !cut || i%3 == 0 })
		}
		f.mustEdit(t, "a")
		f.settle(time.Minute)
		mu.Lock()
		cut = true
		mu.Unlock()
		time.Sleep(time.Minute)
		times := f.inForce("a", f.mustEdit(t, "a"), time.Minute)
		t.Logf("48 instances, two of three regions cut off from the store: worst %v", slices.Max(times))
		is.True(slices.Max(times) < targetInForce)
	})
}

// Guards against a command that reports success too early or does not list the instances
// that it could not reach.
func TestProgressNamesTheUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startedFleet(t, 6)
		defer f.stop()
		y, lost := f.all[0].sync, f.all[5].id
		f.network.SetPartition(func(a, b peer.InstanceID) bool { return a == lost || b == lost })
		f.mustEdit(t, "a")
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		e, err := y.kv.Get(ctx, PoolPrefix+"a")
		is.NoErr(err)
		revision, err := AwaitRevision(ctx, y.kv, e.Key, e.Revision)
		is.NoErr(err)
		p, err := y.Wait(ctx, revision)
		is.NoErr(err)
		is.Equal(len(p.InForce), 5)
		is.Equal(p.Unreachable, []peer.InstanceID{lost})

		short, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		p, err = y.Wait(short, revision+1)
		is.Equal(fault.KindOf(err), fault.OutcomeUnknown)
		is.Equal(len(p.Behind), 5)
		f.store.SetFaults(standin.StoreFaults{Down: true})
		_, err = AwaitRevision(short, y.kv, e.Key, e.Revision)
		is.Equal(fault.KindOf(err), fault.OutcomeUnknown)
	})
}

// operation is one random step of TestTheFleetConverges.
type operation struct{ Kind, Who, Amount int }

// Guards against a revision that decreases on an instance or over its restarts, two
// contents of one revision, and instances that do not converge. The causes are lost,
// delayed, duplicated and reordered messages, lost answers of the store, outages, pauses,
// network partitions and crashes.
func TestTheFleetConverges(t *testing.T) {
	lowerDefaultChecks(t, "25")
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 7).Draw(rt, "instances")
		ops := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) operation {
			return operation{rapid.IntRange(0, 9).Draw(t, "kind"), rapid.IntRange(0, n-1).Draw(t, "who"), rapid.IntRange(0, 100).Draw(t, "amount")}
		}), 1, 25).Draw(rt, "operations")
		problem := ""
		synctest.Test(t, func(*testing.T) { problem = runOperations(n, ops) })
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

// lowerDefaultChecks lowers the default number of runs for a test of whole fleets, because each
// run takes several virtual minutes. -rapid.checks on the command line overrides it.
func lowerDefaultChecks(t *testing.T, n string) {
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == checks.DefValue {
		_ = flag.Set("rapid.checks", n)
		t.Cleanup(func() { _ = flag.Set("rapid.checks", checks.DefValue) })
	}
}

func runOperations(n int, ops []operation) string {
	f := newFleet(n)
	defer f.stop()
	for i := range n {
		f.start(i)
	}
	c := &revertChecker{contents: map[uint64]uint64{}, floor: make([]uint64, n), counts: make([]int, n)}
	_, _ = f.edit("a")
	f.settle(time.Minute)
	for _, o := range ops {
		f.apply(o)
		for range 10 {
			time.Sleep(time.Duration(10+o.Amount*3) * time.Millisecond)
			c.check(f)
		}
	}
	f.network.Heal()
	f.network.SetFaults(peertest.Faults{})
	f.store.SetFaults(standin.StoreFaults{})
	time.Sleep(70 * time.Second) // lets running edits and pauses end
	count, err := f.edit("a")
	if err != nil {
		return err.Error()
	}
	f.inForce("a", count, 3*time.Minute)
	f.settle(3 * time.Minute)
	c.check(f)
	if c.problem == "" && (!f.settled() || c.counts[0] != count) {
		c.problem = fmt.Sprintf("not converged: %v", f.describe())
	}
	return c.problem
}

func (f *fleet) apply(o operation) {
	x := f.all[o.Who]
	switch o.Kind {
	case 0, 1:
		go f.edit("a")
	case 2:
		f.crash(x)
		f.start(x.index)
	case 3:
		f.network.Pause(x.id)
		time.AfterFunc(time.Duration(o.Amount)*300*time.Millisecond, func() { f.network.Resume(x.id) })
	case 4:
		f.network.SetFaults(peertest.Faults{Loss: float64(o.Amount%3) / 10, Duplicate: 0.2, Jitter: time.Duration(o.Amount+1) * 5 * time.Millisecond})
	case 5:
		f.network.SetPartition(func(a, b peer.InstanceID) bool { return (domainOf(a)%3 == o.Who%3) != (domainOf(b)%3 == o.Who%3) })
	case 6:
		f.network.Heal()
	case 7:
		f.store.SetFaults(standin.StoreFaults{Down: o.Amount%2 == 0, DelayMS: o.Amount * 3})
	case 8:
		f.store.SetFaults(standin.StoreFaults{LoseAnswers: o.Amount % 8, ListLagMS: o.Amount * 100})
	case 9:
		f.store.SetFaults(standin.StoreFaults{})
	}
}

// revertChecker checks that the tables of the instances never revert. The floor is the highest
// revision of each instance by its index, so it is kept over restarts.
type revertChecker struct {
	contents map[uint64]uint64
	floor    []uint64
	counts   []int
	problem  string
}

func (c *revertChecker) check(f *fleet) {
	for i, x := range f.all {
		s := x.sync.current.Load()
		t := x.sync.Tables()
		if t == nil {
			continue
		}
		if d, ok := c.contents[s.revision]; ok && d != s.digest {
			c.problem = fmt.Sprintf("revision %d has two contents", s.revision)
		}
		c.contents[s.revision] = s.digest
		if count := t.Pools["a"].Slots; t.Revision < c.floor[i] || count < c.counts[i] {
			c.problem = fmt.Sprintf("%s went from revision %d to %d, edit %d to %d", x.id, c.floor[i], t.Revision, c.counts[i], count)
		} else {
			c.floor[i], c.counts[i] = t.Revision, count
		}
	}
}

func (f *fleet) describe() []string {
	var out []string
	for _, x := range f.all {
		v, s := x.tracker.View(), x.sync.Status()
		out = append(out, fmt.Sprintf("%s ready %t, %d live, revision %d", x.id, v.Ready, len(v.Live(membership.Fleet())), s.Revision))
	}
	return out
}
