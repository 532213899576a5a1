package sampled

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/pause"
	"github.com/turmericsail/turmericsail/pkg/table"
)

const (
	// askShare is the share of the target that bounds the wait for a reading, and askMin and askMax bound
	// it: a new connection and a question take four round trips, 100 ms between regions, and a machine
	// with a sixth of a core may take as long for its own part while it starts.
	askShare = 1.0 / 6
	askMin   = 60 * time.Millisecond
	askMax   = 150 * time.Millisecond
	// farExtra is added for upstreams in other regions.
	farExtra = 60 * time.Millisecond
	// pauseTime is the wait before candidates are asked again, a fraction of the spells of slowness.
	pauseTime = 20 * time.Millisecond
	// coldGap is the least time between two requests of this instance to the same cold upstream.
	coldGap = 700 * time.Millisecond
)

// Asker asks an upstream for its load.
type Asker interface {
	Ask(ctx context.Context, pool *table.Pool, u table.Upstream) (Reading, error)
}

// Place is where this instance runs. Instance is its name, which selects its subset of a large pool.
type Place struct{ Instance, Region, FailureDomain string }

func (p Place) distance(u table.Upstream) Distance {
	switch {
	case u.FailureDomain == p.FailureDomain:
		return SameDomain
	case u.Region == p.Region:
		return SameRegion
	}
	return OtherRegion
}

// Request describes the attempt for which an upstream is wanted.
type Request struct {
	ID     string
	Pool   *table.Pool
	Route  *table.Route
	Start  time.Time // of the whole request
	Tried  []string
	Urgent bool // do not wait for a better upstream
}

// Policy chooses upstreams.
type Policy struct {
	place    Place
	asker    Asker
	log      logr.Logger
	suspects *suspicions
	sizes    *answerSizes
	full     *fullUpstreams
	meter    meter

	mu      sync.Mutex
	crowds  map[string]*pressure // by pool
	pending map[string]int       // requests of this instance by upstream
	coldAt  map[string]time.Time // the last request to a cold upstream
}

// New returns a policy.
func New(place Place, asker Asker, log logr.Logger) *Policy {
	return &Policy{place: place, asker: asker, log: log, suspects: newSuspicions(), sizes: newAnswerSizes(), full: newFullUpstreams(), pending: map[string]int{}, crowds: map[string]*pressure{}, coldAt: map[string]time.Time{}}
}

// Choice is an upstream that was chosen. Done is called exactly once.
type Choice struct {
	policy   *Policy
	Upstream table.Upstream
	Reading  Reading
	route    string
	once     sync.Once
}

// Choose returns an upstream for one attempt. It waits until ctx ends at most.
func (p *Policy) Choose(ctx context.Context, r Request) (*Choice, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = r.Start.Add(r.Route.Deadline.Std())
	}
	crowd := p.crowd(r.Pool.Name)
	ch := &chooser{target: r.Route.Target.Std(), deadline: deadline, start: r.Start, pressure: crowd.level()}
	rounds := 0
	for first := true; ; first = false {
		list := p.candidates(r, ch.crowded())
		if len(list) == 0 {
			return nil, &Refused{fault.New(fault.Unavailable, "the pool has no upstream in service", "try again, or bring upstreams into service"), ch.comeBack(time.Now(), rand.Float64())}
		}
		rank(list)
		near := len(list)
		if p.sizes.heavy(r.Route.Name) {
			near = nearest(list)
		}
		v, b := p.pass(ctx, ch, r, list[:near], &rounds)
		if v == refuse && near < len(list) {
			v, b = p.pass(ctx, ch, r, list[near:], &rounds)
		}
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		if first {
			crowd.note(b == nil || !hasRoom(b.reading))
		}
		switch {
		case v == take:
			if c := p.claim(b, r.Route.Name); c != nil {
				p.meter.placed(r, time.Since(b.reading.At), rounds)
				p.log.V(1).Info("placed", "request", r.ID, "pool", r.Pool.Name, "upstream", b.upstream.ID, "rounds", rounds,
					"waited", time.Since(r.Start).String(), "running", b.reading.Running, "waiting", b.reading.Waiting,
					"slots", b.reading.Slots, "slowdown", b.reading.Slowdown, "suspicion", b.suspicion, "cost", b.cost.String())
				return c, nil
			}
		case v == refuse || r.Urgent:
			p.meter.refused(r)
			p.logRefused(r, list, b, rounds)
			return nil, &Refused{fault.New(fault.Exhausted, "no upstream can serve the request in time", "try again with a delay"), ch.comeBack(time.Now(), rand.Float64())}
		}
		if !pause.For(ctx, pauseTime) {
			return nil, context.Cause(ctx)
		}
	}
}

// logRefused writes what decided against a request: how many candidates answered and
// the reading of the best of them.
func (p *Policy) logRefused(r Request, list []*candidate, b *candidate, rounds int) {
	answered := 0
	for _, c := range list {
		if c.reading.Upstream != "" {
			answered++
		}
	}
	var reading Reading
	if b != nil {
		reading = b.reading
	}
	p.log.Info("not placed", "request", r.ID, "pool", r.Pool.Name, "rounds", rounds, "candidates", len(list), "answered", answered,
		"waited", time.Since(r.Start).String(), "best", reading.Upstream, "running", reading.Running, "waiting", reading.Waiting,
		"slots", reading.Slots, "slowdown", reading.Slowdown)
}

// pass asks the candidates in groups until one fits.
func (p *Policy) pass(ctx context.Context, ch *chooser, r Request, list []*candidate, rounds *int) (verdict, *candidate) {
	for from := 0; ; {
		to := min(from+sampleSize, len(list))
		*rounds++
		if c := p.ask(ctx, ch, r, list[from:to]); c != nil {
			return take, c
		}
		from = to
		b := best(list)
		if v := ch.decide(time.Now(), b, from < len(list)); v != more {
			return v, b
		}
	}
}

// ask asks a group at once and returns the first good one, or nil when all have
// answered or timed out.
func (p *Policy) ask(ctx context.Context, ch *chooser, r Request, group []*candidate) *candidate {
	timeout := min(max(time.Duration(askShare*float64(ch.target)), askMin), askMax)
	if slices.ContainsFunc(group, (*candidate).remote) {
		timeout += farExtra
	}
	// The calls outlive an early choice, so that their connections can be used again.
	askCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	type answer struct {
		c   *candidate
		r   Reading
		err error
	}
	answers := make(chan answer, len(group))
	var running sync.WaitGroup
	for _, c := range group {
		running.Go(func() {
			reading, err := p.asker.Ask(askCtx, r.Pool, c.upstream)
			reading.At = time.Now()
			answers <- answer{c, reading, err}
		})
	}
	go func() { running.Wait(); cancel() }()
	for range group {
		select {
		case a := <-answers:
			p.judge(ch, a.c, a.r, a.err)
			if a.c.asked && ch.good(a.c) {
				return a.c
			}
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// judge takes over a reading.
func (p *Policy) judge(ch *chooser, c *candidate, r Reading, err error) {
	c.asked = true
	if err != nil || r.Upstream != "" && r.Upstream != c.upstream.ID {
		c.barred = true
		weight := 1.0
		if errors.Is(err, context.DeadlineExceeded) {
			weight = silentWeight
		}
		p.suspects.failed(c.upstream.ID, weight, time.Now())
		return
	}
	if !r.Loaded { // only this instance's own requests are known
		r.Running, r.Slots, r.Slowdown = c.pending, max(r.Slots, 1), 1
	}
	c.reading = r
	c.cost = estimate(r, c.distance, c.suspicion, ch.target)
	c.barred = ch.yields(r)
	if c.remote() {
		p.full.note(c.upstream.ID, !hasRoom(r), time.Now())
	}
	if r.Cold > 0 {
		p.mu.Lock()
		c.barred = r.Running+r.Waiting > 0 || time.Since(p.coldAt[c.upstream.ID]) < coldGap
		p.mu.Unlock()
	}
}

// candidates returns the upstreams that may be asked for a request. While the pool
// is crowded, upstreams of other regions that were full just now are left out.
func (p *Policy) candidates(r Request, crowded bool) []*candidate {
	var near, far selection
	for i := range r.Pool.Upstreams {
		u := &r.Pool.Upstreams[i]
		if !r.Pool.Eligible(*u, r.Route, r.Tried) {
			continue
		}
		weight := subsetWeight(p.place.Instance, u.ID)
		if p.place.distance(*u) == OtherRegion {
			far.add(i, weight)
		} else {
			near.add(i, weight)
		}
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*candidate, 0, len(near.subset)+len(near.others)+len(far.subset))
	add := func(index int, usual bool) {
		u := r.Pool.Upstreams[index]
		list = append(list, &candidate{upstream: u, distance: p.place.distance(u), suspicion: p.suspects.of(u.ID, now), pending: p.pending[u.ID], usual: usual})
	}
	near.each(add)
	if near.seen > 0 {
		far.others = nil
	}
	far.each(func(index int, usual bool) {
		if near.seen == 0 || !crowded || !p.full.has(r.Pool.Upstreams[index].ID, now) {
			add(index, usual)
		}
	})
	return list
}

func (p *Policy) crowd(pool string) *pressure {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.crowds[pool]
	if c == nil {
		c = &pressure{}
		p.crowds[pool] = c
	}
	return c
}

// claim counts the request at its upstream. It returns nil when another request
// of this instance went to the same cold upstream meanwhile.
func (p *Policy) claim(c *candidate, route string) *Choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := c.upstream.ID
	if c.reading.Cold > 0 {
		if time.Since(p.coldAt[id]) < coldGap {
			return nil
		}
		p.coldAt[id] = time.Now()
	}
	p.pending[id]++
	return &Choice{policy: p, Upstream: c.upstream, Reading: c.reading, route: route}
}

// Ending is what a request showed about its upstream.
type Ending int

// Endings.
const (
	Unknown  Ending = iota // nothing, because the caller left or another copy won
	Answered               // a good answer
	Failed                 // a failure, or no answer
	Shed                   // not run: refused, or not reached
)

// Done gives the choice back. size is the number of bytes of a good answer.
func (c *Choice) Done(e Ending, size int64) {
	c.once.Do(func() {
		p := c.policy
		p.mu.Lock()
		if p.pending[c.Upstream.ID]--; p.pending[c.Upstream.ID] <= 0 {
			delete(p.pending, c.Upstream.ID)
		}
		p.mu.Unlock()
		switch e {
		case Failed:
			p.suspects.failed(c.Upstream.ID, 1, time.Now())
		case Shed:
			p.suspects.failed(c.Upstream.ID, shedWeight, time.Now())
		case Answered:
			p.sizes.note(c.route, size)
			p.suspects.answered(c.Upstream.ID, time.Now())
		}
	})
}
