package limit

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// The property tests use a fixed seed unless the command line gives one.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

var epoch = time.Unix(1000, 0)

// testPool feeds a Set with answers whose latencies are exponentially distributed.
type testPool struct {
	*Set
	rnd *rand.Rand
	now time.Time
}

func newTestPool(n int) *testPool {
	f := &testPool{NewSet(DefaultSettings(4)), rand.New(rand.NewPCG(1, 0)), epoch}
	for i := range n {
		f.Limit(fmt.Sprint(i), epoch)
	}
	return f
}

// serve simulates one request to an upstream with the given mean latency.
func (f *testPool) serve(id string, mean time.Duration) {
	f.Begin(id, f.now)
	d := time.Duration(f.rnd.ExpFloat64() * float64(mean))
	f.now = f.now.Add(d)
	f.End(id, f.now, d, Answered)
}

// Guards against a slow upstream that keeps its limit for many answers, and
// against a limit that is not restored after recovery.
func TestSlowedUpstreamIsFoundAndRecovers(t *testing.T) {
	is := is.New(t)
	answers, recovery := 0, 0
	const rounds = 200
	for seed := range rounds {
		f := newTestPool(8)
		f.rnd = rand.New(rand.NewPCG(uint64(seed), 0))
		for ; f.Limit("0", f.now) == 4; answers++ {
			f.serve("0", 100*time.Millisecond)
		}
		for ; f.Limit("0", f.now) < 4; recovery++ {
			f.serve("0", 10*time.Millisecond)
		}
	}
	t.Logf("found after %.1f answers, recovered after %.1f", float64(answers)/rounds, float64(recovery)/rounds)
	is.True(answers <= 3*rounds)
	is.True(recovery < 30*rounds)
}

// Guards against limits that are reduced by random variation: the mean limit of
// healthy upstreams must stay close to the number of slots.
func TestHealthyUpstreamKeepsItsLimit(t *testing.T) {
	is := is.New(t)
	f := newTestPool(8)
	sum, n := 0, 20000
	for i := range n {
		id := fmt.Sprint(i % 8)
		f.serve(id, 10*time.Millisecond)
		sum += f.Limit(id, f.now)
	}
	t.Logf("mean limit %.2f of 4", float64(sum)/float64(n))
	is.True(float64(sum)/float64(n) > 3.8)
}

// Guards against a pool whose total limit shrinks when all upstreams are slow.
func TestSlowPoolKeepsMostOfItsCapacity(t *testing.T) {
	is := is.New(t)
	f := newTestPool(8)
	for i := range 4000 {
		f.serve(fmt.Sprint(i%8), 100*time.Millisecond)
	}
	full := 0
	for i := range 8 {
		if f.Limit(fmt.Sprint(i), f.now) == 4 {
			full++
		}
	}
	is.True(full >= 6)
}

// Guards against an upstream that keeps its limit because it sends no answers.
func TestSilentUpstreamIsFound(t *testing.T) {
	is := is.New(t)
	f := newTestPool(8)
	for range 4 {
		f.Begin("0", epoch)
	}
	is.Equal(f.Limit("0", epoch.Add(30*time.Millisecond)), 4)
	is.Equal(f.Limit("0", epoch.Add(40*time.Millisecond)), 2)
}

// Guards against an upstream that attracts load by failing fast, and against an
// ejected upstream that is never tried again.
func TestFailingUpstreamIsEjected(t *testing.T) {
	is := is.New(t)
	f := newTestPool(8)
	fail := func() {
		f.Begin("0", f.now)
		f.End("0", f.now, 0, Failed)
	}
	for range 3 {
		fail()
	}
	is.Equal(f.Limit("0", f.now), 0)
	f.now = f.now.Add(200 * time.Millisecond)
	is.Equal(f.Limit("0", f.now), 1)
	fail()
	f.now = f.now.Add(399 * time.Millisecond)
	is.Equal(f.Limit("0", f.now), 0) // the second ejection is longer
	f.now = f.now.Add(time.Millisecond)
	for range 20 {
		f.serve("0", 10*time.Millisecond)
	}
	is.Equal(f.Limit("0", f.now), 4)
}

// Guards against a limit outside the range from 0 to slots for any sequence of results.
func TestLimitStaysWithinTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 6 // not a power of two, so that doubling can exceed it
		f := newTestPool(2)
		f.Set = NewSet(DefaultSettings(slots))
		t.Repeat(map[string]func(*rapid.T){
			"end": func(t *rapid.T) {
				f.Begin("0", f.now)
				f.End("0", f.now, time.Duration(rapid.IntRange(0, 500).Draw(t, "ms"))*time.Millisecond, Result(rapid.IntRange(0, 3).Draw(t, "result")))
			},
			"begin": func(*rapid.T) { f.Begin("0", f.now) },
			"wait": func(t *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				l, reduced := f.Limit("0", f.now), 0
				for _, u := range f.upstreams {
					if u.limit < slots {
						reduced++
					}
				}
				if l < 0 || l > slots {
					t.Fatalf("the limit is %d", l)
				}
				if reduced != f.reduced {
					t.Fatalf("%d upstreams are reduced, %d are counted", reduced, f.reduced)
				}
			},
		})
	})
}
