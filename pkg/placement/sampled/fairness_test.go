package sampled

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// Guards against a workspace that is taken for flooding because it is large, alone or seldom, and against a flood that
// is not seen.
func TestFloodIsMoreThanTheShareOfAWorkspace(t *testing.T) {
	for name, c := range map[string]struct {
		perSecond, rates map[string]float64
		floods           map[string]bool
	}{
		"usual load of unequal workspaces": {map[string]float64{"big": 20, "small": 2}, map[string]float64{"big": 32, "small": 3.2}, nil},
		"one workspace alone":              {map[string]float64{"big": 200}, map[string]float64{"big": 32}, nil},
		"all rise together":                {map[string]float64{"a": 50, "b": 25}, map[string]float64{"a": 16, "b": 8}, nil},
		"a small one floods":               {map[string]float64{"big": 20, "small": 15}, map[string]float64{"big": 32, "small": 3.2}, map[string]bool{"small": true}},
		"a few requests":                   {map[string]float64{"big": 2, "small": 1}, map[string]float64{"big": 64, "small": 1}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			d := &demand{at: now, workspaces: map[string]*workspaceDemand{}}
			due, last := map[string]float64{}, map[string]bool{}
			for range 1000 { // 10 s
				now = now.Add(10 * time.Millisecond)
				for w, n := range c.perSecond {
					for due[w] += n / 100; due[w] >= 1; due[w]-- {
						last[w] = d.add(w, c.rates[w], now)
					}
				}
			}
			for w := range c.perSecond {
				is.Equal(last[w], c.floods[w])
			}
			d.decay(now.Add(time.Minute))
			is.Equal(len(d.workspaces), 0) // forgotten
		})
	}
}

// workspaceLoad is what one workspace of a simulation sends, in requests per second, and its limit.
type workspaceLoad struct {
	name        string
	rate, limit float64
}

// runWorkspaces sends the loads through 12 instances for 20 s and returns the results by workspace. Unless fair is set,
// placement does not learn the workspaces.
func runWorkspaces(w *simWorld, loads []workspaceLoad, fair bool) map[string]result {
	policies := make([]*Policy, 12)
	for i := range policies {
		policies[i] = New(Location{Region: "north", FailureDomain: fmt.Sprintf("north-%d", i%2)}, w, nil, logr.Discard())
	}
	total := 0.0
	for _, l := range loads {
		total += l.rate
	}
	stop := w.start(nil)
	var mu sync.Mutex
	results := map[string]result{}
	var running sync.WaitGroup
	rng := rand.New(rand.NewPCG(23, 1))
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		time.Sleep(time.Duration(rng.ExpFloat64() / total * float64(time.Second)))
		point, k := rng.Float64()*total, 0
		for ; k < len(loads)-1 && point >= loads[k].rate; k++ {
			point -= loads[k].rate
		}
		name := loads[k].name
		if !fair {
			name = ""
		}
		p, work := policies[rng.IntN(len(policies))], drawWork(rng)
		running.Go(func() {
			o := w.requestOf(name, loads[k].limit, p, work)
			mu.Lock()
			defer mu.Unlock()
			r := results[loads[k].name]
			r.sent++
			*o(&r)++
			results[loads[k].name] = r
		})
	}
	running.Wait()
	stop()
	return results
}

// Guards against a workspace that pushes others out of a pool by its flood: most of their requests must be answered in
// time.
func TestFloodOfOneWorkspaceLeavesRoomForOthers(t *testing.T) {
	shares := map[bool]float64{}
	for _, fair := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := newSimWorld(8, 0.25)
			capacity := w.capacity()
			loads := []workspaceLoad{{"flood", 2 * capacity, 1.6 * 0.4 * capacity}}
			for i := range 5 {
				loads = append(loads, workspaceLoad{fmt.Sprint("quiet-", i), 0.1 * capacity, 1.6 * 0.1 * capacity})
			}
			results := runWorkspaces(w, loads, fair)
			var others result
			for name, r := range results {
				if name != "flood" {
					others.sent += r.sent
					others.inTarget += r.inTarget
				}
			}
			t.Logf("fair %v: others %.3f in target, flood %.3f %+v", fair, others.share(), results["flood"].share(), results["flood"])
			shares[fair] = others.share()
		})
	}
	is := is.New(t)
	is.True(shares[true] > 0.7)
	is.True(shares[true] > shares[false]+0.2)
}

// Guards against large workspaces that are taken for flooding when the whole load rises, which would leave capacity
// unused.
func TestRiseOfAllWorkspacesCostsNothing(t *testing.T) {
	inTarget := map[bool]int{}
	for _, fair := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := newSimWorld(8, 0.25)
			sum := 0.0
			for i := range 75 {
				sum += math.Pow(float64(i+1), -1.2)
			}
			var loads []workspaceLoad
			for i := range 75 {
				usual := 0.7 * w.capacity() * math.Pow(float64(i+1), -1.2) / sum
				loads = append(loads, workspaceLoad{fmt.Sprint("w-", i), 2 * usual, 1.6 * usual})
			}
			results := runWorkspaces(w, loads, fair)
			for _, r := range results {
				inTarget[fair] += r.inTarget
			}
			t.Logf("fair %v: %d in target, largest %.3f", fair, inTarget[fair], results["w-0"].share())
		})
	}
	is.New(t).True(float64(inTarget[true]) >= 0.95*float64(inTarget[false]))
}
