package entry

import (
	"io"
	"math/rand/v2"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/turmericsail/turmericsail/internal/standin"
)

const (
	benchWorkers  = 64
	benchDuration = 2 * time.Second
	benchRounds   = 3
)

// bench sends requests to one URL.
type bench struct {
	url    string
	client *http.Client
}

func (x *bench) get(b *testing.B) {
	resp, err := x.client.Get(x.url)
	if err != nil {
		b.Error(err)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

// usage is the resource consumption of the whole process for a number of requests.
type usage struct {
	requests int64
	cpu      time.Duration
	mallocs  uint64
	wall     time.Duration
}

func measure(run func() int64) usage {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu, start := cpuTime(), time.Now()
	n := run()
	u := usage{requests: n, wall: time.Since(start), cpu: cpuTime() - cpu}
	runtime.ReadMemStats(&after)
	u.mallocs = after.Mallocs - before.Mallocs
	return u
}

func cpuTime() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// closedLoop sends requests back to back from benchWorkers workers.
func (x *bench) closedLoop(b *testing.B) usage {
	return measure(func() int64 {
		var n atomic.Int64
		var wg sync.WaitGroup
		end := time.Now().Add(benchDuration)
		for range benchWorkers {
			wg.Go(func() {
				for time.Now().Before(end) && !b.Failed() {
					x.get(b)
					n.Add(1)
				}
			})
		}
		wg.Wait()
		return n.Load()
	})
}

// openLoop sends requests at random times with the given mean rate. The latency of a
// request that starts late because its worker was busy counts from its scheduled time.
func (x *bench) openLoop(b *testing.B, rate float64) []time.Duration {
	var mu sync.Mutex
	var all []time.Duration
	var wg sync.WaitGroup
	begin := time.Now()
	for w := range benchWorkers {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(w)))
			var own []time.Duration
			for at := time.Duration(0); ; {
				at += time.Duration(random.ExpFloat64() * benchWorkers / rate * float64(time.Second))
				if at > benchDuration || b.Failed() {
					break
				}
				start := begin.Add(at)
				if wait := time.Until(start); wait > 0 {
					time.Sleep(wait)
					start = time.Now()
				}
				x.get(b)
				own = append(own, time.Since(start))
			}
			mu.Lock()
			all = append(all, own...)
			mu.Unlock()
		})
	}
	wg.Wait()
	return all
}

func quantile(d []time.Duration, q float64) float64 {
	slices.Sort(d)
	return float64(d[int(q*float64(len(d)-1))]) / float64(time.Microsecond)
}

// BenchmarkAddedCost compares the same load on the upstream directly and through
// one entry, with caller, entry and upstream in one process. Run it with
// -benchtime=1x. Machine noise also affects the direct figures.
func BenchmarkAddedCost(b *testing.B) {
	address := serveUpstream(b, standin.NewUpstream(standin.UpstreamConfig{ID: "a", Slots: 1024}))
	h := newHarness(b, testRoute(), []string{address})
	h.pool.Connections = 1024
	h.apply()
	direct, through := &bench{"http://" + address + "/", h.client}, &bench{h.url + "/", h.client}
	for b.Loop() {
		direct.closedLoop(b)
		through.closedLoop(b) // warms connections up
		d, e := direct.closedLoop(b), through.closedLoop(b)
		rate := float64(e.requests) / e.wall.Seconds() / 2
		var fast, slow []time.Duration
		for range benchRounds {
			fast = append(fast, direct.openLoop(b, rate)...)
			slow = append(slow, through.openLoop(b, rate)...)
		}
		perCore := func(u usage) float64 { return float64(u.requests) / u.cpu.Seconds() }
		b.ReportMetric(quantile(slow, 0.50)-quantile(fast, 0.50), "added-p50-µs")
		b.ReportMetric(quantile(slow, 0.99)-quantile(fast, 0.99), "added-p99-µs")
		b.ReportMetric(quantile(fast, 0.99), "direct-p99-µs")
		b.ReportMetric(quantile(slow, 0.99), "entry-p99-µs")
		b.ReportMetric(rate, "rate/s")
		b.ReportMetric(perCore(e)/perCore(d), "per-core-ratio")
		b.ReportMetric(float64(e.mallocs)/float64(e.requests)-float64(d.mallocs)/float64(d.requests), "added-allocs/request")
		b.ReportMetric(0, "ns/op")
	}
}
