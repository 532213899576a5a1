package hedge

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/retry"
)

// The simulation advances in ticks. Placement samples a few upstreams and sees their load and, unless slowness is hidden,
// whether they are slow at that moment, as probes do.
const (
	simTick      = time.Millisecond
	simDeadline  = 1500 * time.Millisecond
	simInstances = 8
	simDomains   = 6
	simServers   = 36
	simSlots     = 4
	simSample    = 4
	simRetry     = 16 // percent
	simRetrySum  = 80 // reserve of the retry budgets of all instances
	slowFactor   = 4
)

type scenario struct {
	work     time.Duration // mean time of a run
	target   time.Duration
	load     float64 // of the slots
	length   time.Duration
	phases   bool // a quarter of the upstreams is slow for 300 ms at a time
	slow     int  // so many upstreams are slow all the time
	hidden   bool // placement does not see slowness
	sameSlow bool // those are one failure domain; otherwise they are in different ones
}

type server struct {
	domain  int
	jobs    []*job
	slow    bool
	switchT time.Duration
}

type job struct {
	request *request
	server  *server
	left    time.Duration
	second  bool
}

type request struct {
	arrived  time.Duration
	hedger   *Hedger
	retries  *retry.Budget
	copies   []*job
	askAt    time.Duration // of the next decision; negative if there is none
	deadline time.Duration
}

type outcome struct {
	latencies          []time.Duration
	refused, copies    int
	late               int // above the target
	reasons            map[Reason]int
	work               time.Duration // by upstreams, of all copies
	requestsAt, sentAt []int         // by second
}

func (o *outcome) quantile(p float64) time.Duration {
	return o.latencies[min(len(o.latencies)-1, int(p*float64(len(o.latencies))))]
}

func (o *outcome) share() float64 { return float64(o.copies) / float64(len(o.latencies)+o.refused) }

// choose returns the least loaded upstream with a free slot of a sample, or nil.
func choose(rnd *rand.Rand, servers []*server, hidden bool, allowed func(*server) bool) *server {
	var best *server
	cost := func(s *server) int {
		c := len(s.jobs)
		if s.slow && !hidden {
			c += simSlots * slowFactor
		}
		return c
	}
	for _, n := range rnd.Perm(len(servers))[:simSample] {
		s := servers[n]
		if len(s.jobs) < simSlots && allowed(s) && (best == nil || cost(s) < cost(best)) {
			best = s
		}
	}
	return best
}

// play runs a scenario with a limit in percent.
func play(sc scenario, percent float64) *outcome {
	rnd := rand.New(rand.NewPCG(7, 0))
	out := &outcome{reasons: map[Reason]int{}}
	servers := make([]*server, simServers)
	for i := range servers {
		servers[i] = &server{domain: i % simDomains, switchT: time.Duration(rnd.Int64N(int64(1200 * time.Millisecond)))}
		if sc.sameSlow {
			servers[i].slow = servers[i].domain == 0 && i < sc.slow*simDomains
		} else {
			servers[i].slow = i < sc.slow
		}
	}
	hedgers, budgets := make([]*Hedger, simInstances), make([]*retry.Budget, simInstances)
	for i := range hedgers {
		hedgers[i] = New(Limits{Percent: percent, Reserve: 50}, fixed(simInstances))
		budgets[i] = retry.NewBudget(simRetry, simRetrySum/simInstances)
	}
	pressure := 0.0 // share of the last ten requests or so that found no room
	var running []*request
	rate := sc.load * simServers * simSlots / sc.work.Seconds()
	next := 0.0
	start := func(r *request, s *server, second bool) {
		j := &job{request: r, server: s, second: second, left: time.Duration((0.7 + 0.6*rnd.Float64()) * float64(sc.work))}
		s.jobs, r.copies = append(s.jobs, j), append(r.copies, j)
	}
	remove := func(j *job) { j.server.jobs = slices.DeleteFunc(j.server.jobs, func(o *job) bool { return o == j }) }
	for now := time.Duration(0); now < sc.length; now += simTick {
		second := int(now / time.Second)
		if second == len(out.sentAt) {
			out.sentAt, out.requestsAt = append(out.sentAt, 0), append(out.requestsAt, 0)
		}
		if sc.phases {
			for _, s := range servers {
				if now >= s.switchT {
					s.slow = !s.slow
					s.switchT = now + 300*time.Millisecond
					if !s.slow {
						s.switchT = now + time.Duration((0.5+rnd.Float64())*float64(900*time.Millisecond))
					}
				}
			}
		}
		for next += rate * simTick.Seconds(); next >= 1; next-- {
			n := rnd.IntN(simInstances)
			hedgers[n].Request("p", "r")
			budgets[n].Request()
			out.requestsAt[second]++
			s := choose(rnd, servers, sc.hidden, func(*server) bool { return true })
			pressure *= 0.9
			if s == nil {
				pressure += 0.1
				out.refused++
				continue
			}
			r := &request{arrived: now, hedger: hedgers[n], retries: budgets[n], askAt: -1, deadline: now + simDeadline}
			if d, ok := r.hedger.Delay("p", "r", sc.target, epoch.Add(now)); ok {
				r.askAt = now + d.After
			}
			start(r, s, false)
			running = append(running, r)
		}
		for _, s := range servers {
			step := simTick
			if s.slow {
				step /= slowFactor
			}
			for _, j := range s.jobs {
				j.left -= step
				out.work += simTick
			}
		}
		running = slices.DeleteFunc(running, func(r *request) bool {
			won := slices.IndexFunc(r.copies, func(j *job) bool { return j.left <= 0 })
			if won < 0 {
				if r.askAt < 0 || now < r.askAt {
					return false
				}
				reason, wait := r.hedger.Decide("p", "r", State{
					Placed: epoch.Add(r.arrived), Deadline: epoch.Add(r.deadline), Target: sc.target, Crowded: pressure > 0.3,
				}, r.retries, epoch.Add(now))
				if reason == Waiting {
					r.askAt = now + wait
					return false
				}
				r.askAt = -1
				out.reasons[reason]++
				if reason != Sent {
					return false
				}
				first := r.copies[0].server
				s := choose(rnd, servers, sc.hidden, func(s *server) bool { return s.domain != first.domain })
				if s == nil {
					s = choose(rnd, servers, sc.hidden, func(s *server) bool { return s != first })
				}
				out.sentAt[second]++
				if s == nil {
					return false
				}
				out.copies++
				start(r, s, true)
				return false
			}
			took := now + simTick - r.arrived
			out.latencies = append(out.latencies, took)
			if took > sc.target {
				out.late++
			}
			r.hedger.Observe("p", "r", took, epoch.Add(now)) // of the first copy, or the time until it is cancelled
			for _, j := range r.copies {
				remove(j)
			}
			return true
		})
	}
	slices.Sort(out.latencies)
	return out
}

// keepsLimit checks the second copies in every window of whole seconds.
func (o *outcome) keepsLimit(percent float64) error {
	for from := range o.sentAt {
		sent, requests := 0, 0
		for to := from; to < len(o.sentAt); to++ {
			sent += o.sentAt[to]
			requests += o.requestsAt[to]
			if float64(sent) > percent/100*float64(requests)+50 {
				return fmt.Errorf("%d second copies of %d requests in seconds %d to %d", sent, requests, from, to)
			}
		}
	}
	return nil
}

// ratios bound what callers get with a limit in relation to no second copies: quantiles of the response time and answers
// after the target.
type ratios struct{ p50, p99, p999, late float64 }

// Guards against second copies that cost more than the limit, that do not shorten the slowest answers, or that go on in
// overload. How much they help depends on how many requests are slow: if these are more than the limit, p99 stays, but fewer
// answers come after the target.
func TestSimulated(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name string
		scenario
		at2, at5 ratios
	}{
		{"slow phases", scenario{work: 40 * ms, target: 120 * ms, load: 0.5, length: 60 * time.Second, phases: true},
			ratios{1.03, 1, 1, 0.95}, ratios{1.03, 0.9, 0.95, 0.65}},
		{"slow phases and long work", scenario{work: 160 * ms, target: 400 * ms, load: 0.5, length: 60 * time.Second, phases: true},
			ratios{1.03, 1, 1, 0.95}, ratios{1.03, 1, 1, 0.9}},
		{"slow phases that placement does not see", scenario{work: 40 * ms, target: 120 * ms, load: 0.3, length: 60 * time.Second, phases: true, hidden: true},
			ratios{1.05, 1.01, 1.01, 1}, ratios{1.05, 1, 1.01, 0.95}},
		{"two slow upstreams", scenario{work: 40 * ms, target: 120 * ms, load: 0.3, length: 60 * time.Second, slow: 2, hidden: true},
			ratios{1.03, 0.8, 1, 0.65}, ratios{1.03, 0.7, 0.6, 0.1}},
		{"slow domain", scenario{work: 40 * ms, target: 120 * ms, load: 0.3, length: 60 * time.Second, slow: 6, sameSlow: true, hidden: true},
			ratios{1.05, 1, 1.01, 0.95}, ratios{1.05, 0.95, 1.01, 0.8}},
		{"overload", scenario{work: 40 * ms, target: 120 * ms, load: 1.5, length: 20 * time.Second, phases: true},
			ratios{1.03, 1.03, 1.03, 1.05}, ratios{1.03, 1.03, 1.03, 1.05}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			base := play(c.scenario, 0)
			is.Equal(base.copies, 0)
			base.log(t, 0)
			for percent, want := range map[float64]ratios{2: c.at2, 5: c.at5} {
				o := play(c.scenario, percent)
				o.log(t, percent)
				is.NoErr(o.keepsLimit(percent))
				is.True(o.work.Seconds() <= base.work.Seconds()*(1+percent/100)) // of all upstreams
				if c.load > 1 {
					is.True(o.share() <= 0.01*percent/100) // second copies end by themselves
				}
				is.True(o.quantile(0.5).Seconds() <= want.p50*base.quantile(0.5).Seconds())
				is.True(o.quantile(0.99).Seconds() <= want.p99*base.quantile(0.99).Seconds())
				is.True(o.quantile(0.999).Seconds() <= want.p999*base.quantile(0.999).Seconds())
				is.True(float64(o.late) <= want.late*float64(base.late))
			}
		})
	}
}

func (o *outcome) log(t *testing.T, percent float64) {
	t.Logf("limit %.0f%%: p50 %v p99 %v p99.9 %v, after the target %d, refused %d of %d, extra runs %.2f%%, work %.0f s, decisions %v", percent,
		o.quantile(0.5), o.quantile(0.99), o.quantile(0.999), o.late, o.refused, len(o.latencies)+o.refused, 100*o.share(), o.work.Seconds(), o.reasons)
}
