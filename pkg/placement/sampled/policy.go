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
	// probeTimeoutShare is the probe timeout as a share of the target, within minProbeTimeout and
	// maxProbeTimeout. A new connection and a probe take four round trips, 100 ms between regions, and an
	// instance with a sixth of a core may need as long again while it starts.
	probeTimeoutShare = 1.0 / 6
	// minProbeTimeout is the shortest probe timeout.
	minProbeTimeout = 60 * time.Millisecond
	// maxProbeTimeout is the longest probe timeout, not counting remoteProbeExtra and the doublings after unanswered rounds.
	maxProbeTimeout = 150 * time.Millisecond
	// remoteProbeExtra is added to the probe timeout if the group has upstreams in other regions.
	remoteProbeExtra = 60 * time.Millisecond
	// reprobeDelay is the wait before candidates are probed again, a fraction of a usual slow phase.
	reprobeDelay = 20 * time.Millisecond
	// coldRequestInterval is the minimum time between two requests of this instance to the same cold upstream.
	coldRequestInterval = 700 * time.Millisecond
)

// Prober probes an upstream for its load.
type Prober interface {
	Probe(ctx context.Context, pool *table.Pool, u table.Upstream) (Reading, error)
}

// Intake knows which upstreams take no request now, or only some.
type Intake interface {
	// HeldUntil returns the time until which an upstream gets no request from this instance.
	HeldUntil(upstream string) time.Time
	// Acquire reports whether one request may be sent to an upstream now; it may ask another instance.
	Acquire(ctx context.Context, upstream, region string) bool
}

// Location describes where this instance runs. Instance is its name, which selects its subset of a large pool.
type Location struct{ Instance, Region, FailureDomain string }

func (p Location) distance(u table.Upstream) Distance {
	switch {
	case u.FailureDomain == p.FailureDomain:
		return SameDomain
	case u.Region == p.Region:
		return SameRegion
	}
	return OtherRegion
}

// Request describes the attempt for which an upstream is chosen.
type Request struct {
	ID     string
	Pool   *table.Pool
	Route  *table.Route
	Start  time.Time // of the whole request
	Tried  []string  // IDs of the upstreams of earlier attempts
	Urgent bool      // do not wait for a better upstream
	Part   string    // of the pool, if Pool has only some of its upstreams; pressure and probes are counted by part
	// Workspace and Rate, its limit in requests per second, make the workspaces of a class share a scarce pool. Without
	// them the request is treated like any other.
	Workspace string
	Rate      float64
}

// part names the upstreams among which the request is placed.
func (r *Request) part() string {
	if r.Part == "" {
		return r.Pool.Name
	}
	return r.Pool.Name + " " + r.Part
}

// Policy chooses upstreams for the requests of one instance. It is safe for concurrent use.
type Policy struct {
	location Location
	prober   Prober
	log      logr.Logger
	suspects *suspicions
	sizes    *responseSizes
	readings *lastReadings
	probes   *ProbeBudget // nil without a limit
	intake   Intake       // nil if no upstream limits its requests
	meter    meter

	mu        sync.Mutex
	pressures map[string]*pressure // by pool
	demands   map[demandKey]*demand
	pending   map[string]int       // requests of this instance in flight, by upstream
	coldAt    map[string]time.Time // time of the last request to each cold upstream
}

// New returns a policy for the instance at the given location.
func New(place Location, prober Prober, probes *ProbeBudget, log logr.Logger) *Policy {
	return &Policy{location: place, prober: prober, probes: probes, log: log, suspects: newSuspicions(), sizes: newResponseSizes(), readings: newLastReadings(), pending: map[string]int{}, pressures: map[string]*pressure{}, demands: map[demandKey]*demand{}, coldAt: map[string]time.Time{}}
}

// SetIntake sets the limits of upstreams; it is called before the first choice.
func (p *Policy) SetIntake(i Intake) { p.intake = i }

// Choice is a chosen upstream. The caller must call Done when the attempt has ended.
type Choice struct {
	policy   *Policy
	Upstream table.Upstream
	Reading  Reading
	route    string
	pool     string
	blind    bool // chosen without a reading of its load
	at       time.Time
	warmTime time.Duration // a response within it shows that the upstream is warm
	once     sync.Once
}

// Choose returns an upstream for one attempt, or a RefusedError. It returns at the latest when ctx ends.
func (p *Policy) Choose(ctx context.Context, r Request) (*Choice, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = r.Start.Add(r.Route.Deadline.Std())
	}
	recent := p.poolPressure(r.part())
	ch := &chooser{target: r.Route.Target.Std(), deadline: deadline, start: r.Start, pressure: recent.level(), pool: recent, flooding: p.floods(r, time.Now())}
	rounds := 0
	for first := true; ; first = false {
		list := p.candidates(r, ch.overloaded())
		if len(list) == 0 && !r.Pool.AnyEligible(r.Route, r.Tried) {
			return nil, &RefusedError{fault.New(fault.Unavailable, "the pool has no upstream in service", "try again, or bring upstreams into service"), ch.retryAfter(time.Now(), rand.Float64())}
		}
		if wait := p.heldFor(r, list, time.Now()); wait > ch.maxWait() {
			p.meter.refused(r)
			p.log.V(1).Info("all held", "request", r.ID, "pool", r.Pool.Name, "wait", wait.String())
			return nil, &RefusedError{fault.New(fault.Exhausted, "no upstream takes a request now", "try again with a delay"), max(spread(wait, rand.Float64()), ch.retryAfter(time.Now(), rand.Float64()))}
		}
		rank(list)
		near := len(list)
		if p.sizes.hasLargeResponses(r.Route.Name) {
			near = partitionLocalFirst(list)
		}
		v, b := p.probeCandidates(ctx, ch, r, list[:near], &rounds)
		if v == refuse && near < len(list) {
			v, b = p.probeCandidates(ctx, ch, r, list[near:], &rounds)
		}
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		if first && (len(list) == 0 || slices.ContainsFunc(list, (*candidate).hasReading)) {
			recent.record(b == nil || !b.hasReading() || !hasHeadroom(b.reading))
		}
		switch {
		case v == accept:
			if p.intake != nil && !p.intake.Acquire(ctx, b.upstream.ID, b.upstream.Region) {
				p.log.V(1).Info("not granted", "request", r.ID, "pool", r.Pool.Name, "upstream", b.upstream.ID)
				continue // the upstream is held and no candidate any more
			}
			if c := p.reserve(b, r); c != nil {
				p.meter.placed(r, time.Since(b.reading.At), rounds)
				p.log.V(1).Info("placed", "request", r.ID, "pool", r.Pool.Name, "upstream", b.upstream.ID, "rounds", rounds,
					"waited", time.Since(r.Start).String(), "running", b.reading.Running, "waiting", b.reading.Waiting,
					"slots", b.reading.Slots, "slowdown", b.reading.Slowdown, "suspicion", b.suspicion, "cost", b.cost.String())
				return c, nil
			}
		case !r.Urgent && unanswered(list) && ch.awaitAnswer(time.Now(), slices.ContainsFunc(list, (*candidate).remote)):
			p.log.V(1).Info("no probe answered", "request", r.ID, "pool", r.Pool.Name, "candidates", len(list), "waited", time.Since(r.Start).String())
		case v == refuse || r.Urgent:
			p.meter.refused(r)
			p.logRefused(r, ch, list, b, rounds)
			return nil, &RefusedError{fault.New(fault.Exhausted, "no upstream can serve the request in time", "try again with a delay"), ch.retryAfter(time.Now(), rand.Float64())}
		}
		if !pause.For(ctx, reprobeDelay) {
			return nil, context.Cause(ctx)
		}
	}
}

// logRefused logs why a request was not placed: how many candidates responded and
// the reading of the best one.
func (p *Policy) logRefused(r Request, ch *chooser, list []*candidate, b *candidate, rounds int) {
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
		"slots", reading.Slots, "slowdown", reading.Slowdown, "flooding", ch.flooding)
}

// probeCandidates probes the candidates in groups until one fits.
func (p *Policy) probeCandidates(ctx context.Context, ch *chooser, r Request, list []*candidate, rounds *int) (verdict, *candidate) {
	for from := 0; ; {
		to := min(from+sampleSize, len(list))
		allowed := from + p.probes.take(r.part(), len(r.Pool.Upstreams), to-from, time.Now())
		if allowed > from {
			*rounds++
			if c := p.probeGroup(ctx, ch, r, list[from:allowed]); c != nil {
				return accept, c
			}
		}
		now := time.Now() // the end of the wait must be the same for the last readings and the decision
		if allowed < to { // the budget is used up: the rest is judged by its last readings
			to = len(list)
			for _, c := range list[allowed:] {
				p.applyLastReading(ch, c, now)
			}
		}
		from = to
		b := best(list)
		if v := ch.decide(now, b, from < len(list)); v != probeMore {
			return v, b
		}
	}
}

// probeGroup probes a group concurrently and returns the first candidate that is
// accepted early, or nil once all probes have completed or timed out.
func (p *Policy) probeGroup(ctx context.Context, ch *chooser, r Request, group []*candidate) *candidate {
	timeout := probeTimeout(ch.target, slices.ContainsFunc(group, (*candidate).remote), ch.unansweredRounds)
	// The probes continue after an early choice, so that their connections can be reused.
	probeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	type answer struct {
		c   *candidate
		r   Reading
		err error
	}
	answers := make(chan answer, len(group))
	var running sync.WaitGroup
	for _, c := range group {
		running.Go(func() {
			reading, err := p.prober.Probe(probeCtx, r.Pool, c.upstream)
			reading.At = time.Now()
			answers <- answer{c, reading, err}
		})
	}
	go func() { running.Wait(); cancel() }()
	for range group {
		select {
		case a := <-answers:
			p.applyReading(ch, a.c, a.r, a.err)
			if a.c.probed && ch.acceptsEarly(a.c) {
				return a.c
			}
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// applyReading updates the candidate from the result of its probe.
func (p *Policy) applyReading(ch *chooser, c *candidate, r Reading, err error) {
	c.probed = true
	if err != nil || r.Upstream != "" && r.Upstream != c.upstream.ID {
		c.excluded = true
		c.failed, c.timedOut = true, errors.Is(err, context.DeadlineExceeded)
		switch {
		case !c.timedOut:
			p.suspects.recordFailure(c.upstream.ID, 1, time.Now())
		case ch.unansweredRounds == 0: // repeated timeouts of all upstreams are no evidence against any of them
			p.suspects.recordFailure(c.upstream.ID, timeoutWeight, time.Now())
		}
		return
	}
	ch.pool.silence.end()
	p.readings.record(c.upstream.ID, r, c.pending)
	ch.pool.observe(!hasHeadroom(r))
	ch.sawFull = ch.sawFull || !hasHeadroom(r)
	p.judge(ch, c, r)
}

// applyLastReading updates the candidate from its last reading. Without a recent one only the requests of this instance
// are known. Such a candidate is excluded while it is probably full, and gets as
// few requests as a cold one if it was not seen warm lately.
func (p *Policy) applyLastReading(ch *chooser, c *candidate, now time.Time) {
	c.probed = true
	if r, known := p.readings.at(c.upstream.ID, c.pending, maxReadingAge, now); known {
		p.judge(ch, c, r)
		return
	}
	p.judge(ch, c, Reading{At: now, Healthy: true})
	c.mayBeCold = !p.readings.isWarm(c.upstream.ID, now)
	c.excluded = ch.avoidsUnread(now) || c.mayBeCold && p.sentWhileCold(c.upstream.ID, now)
}

// sentWhileCold reports whether this instance has just sent a request to an upstream that was cold.
func (p *Policy) sentWhileCold(id string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.coldAt[id]) < coldRequestInterval
}

// judge estimates the response time of the candidate from a reading and decides whether it may be used.
func (p *Policy) judge(ch *chooser, c *candidate, r Reading) {
	p.assess(ch.target, c, r, time.Now())
	if r.Cold == 0 {
		c.excluded = ch.yields(c.reading)
	}
}

// assess is judge without the decision to leave a slot to others, which is random.
func (p *Policy) assess(target time.Duration, c *candidate, r Reading, now time.Time) {
	if !r.Loaded { // only the in-flight requests of this instance are known
		r.Running, r.Slots, r.Slowdown = c.pending, max(r.Slots, 1), 1
	}
	c.reading = r
	c.cost = estimate(r, c.distance, c.suspicion, target)
	c.excluded = false
	if r.Cold > 0 {
		c.mayBeCold = true
		c.excluded = r.Running+r.Waiting > 0 || p.sentWhileCold(c.upstream.ID, now)
	}
}

// candidates returns the upstreams that may be probed for a request. While the pool
// is overloaded, upstreams of other regions that were recently full are left out.
func (p *Policy) candidates(r Request, overloaded bool) []*candidate {
	var near, far selection
	now := time.Now()
	for i := range r.Pool.Upstreams {
		u := &r.Pool.Upstreams[i]
		if !r.Pool.Eligible(*u, r.Route, r.Tried) || p.intake != nil && now.Before(p.intake.HeldUntil(u.ID)) {
			continue
		}
		weight := subsetWeight(p.location.Instance, u.ID)
		if p.location.distance(*u) == OtherRegion {
			far.add(i, weight)
		} else {
			near.add(i, weight)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*candidate, 0, len(near.subset)+len(near.others)+len(far.subset))
	add := func(index int, inSubset bool) {
		u := r.Pool.Upstreams[index]
		distance := p.location.distance(u)
		if distance == OtherRegion && near.seen > 0 && overloaded && p.readings.isFull(u.ID, p.pending[u.ID], now) {
			return
		}
		list = append(list, &candidate{upstream: u, distance: distance, suspicion: p.suspects.level(u.ID, now), pending: p.pending[u.ID], inSubset: inSubset})
	}
	near.each(add)
	if near.seen > 0 {
		far.others = nil
	}
	far.each(add)
	return list
}

// heldFor returns the time until an upstream of the pool takes a request again if there is no candidate because all
// are held, or zero.
func (p *Policy) heldFor(r Request, candidates []*candidate, now time.Time) time.Duration {
	if p.intake == nil || len(candidates) > 0 {
		return 0
	}
	var wait time.Duration
	for _, u := range r.Pool.Upstreams {
		if !r.Pool.Eligible(u, r.Route, r.Tried) {
			continue
		}
		left := p.intake.HeldUntil(u.ID).Sub(now)
		if left <= 0 {
			return 0
		}
		if wait == 0 || left < wait {
			wait = left
		}
	}
	return wait
}

// poolPressure returns the pressure of a pool and creates it on first use.
func (p *Policy) poolPressure(pool string) *pressure {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.pressures[pool]
	if c == nil {
		c = &pressure{}
		p.pressures[pool] = c
	}
	return c
}

// reserve counts the request as in flight at its upstream. It returns nil if another
// request of this instance has been sent to the same cold upstream since the probe.
func (p *Policy) reserve(c *candidate, r Request) *Choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := c.upstream.ID
	if c.mayBeCold {
		if time.Since(p.coldAt[id]) < coldRequestInterval {
			return nil
		}
		p.coldAt[id] = time.Now()
	}
	p.pending[id]++
	return &Choice{policy: p, Upstream: c.upstream, Reading: c.reading, route: r.Route.Name, pool: r.part(), blind: !c.hasReading(), at: time.Now(), warmTime: time.Duration(maxWarmTimeShare * float64(r.Route.Target))}
}

// Outcome is how an attempt ended, as far as it concerns the upstream.
type Outcome int

// Outcomes of an attempt.
const (
	Unknown   Outcome = iota // no information: the caller left, or another attempt of the request won
	Succeeded                // a successful response
	Failed                   // an error, or no response
	Shed                     // not executed: refused, or the upstream was not reached
)

// Done records the outcome and releases the choice; later calls have no effect. size is the number of bytes of
// a successful response.
func (c *Choice) Done(e Outcome, size int64) {
	c.once.Do(func() {
		p := c.policy
		p.mu.Lock()
		if p.pending[c.Upstream.ID]--; p.pending[c.Upstream.ID] <= 0 {
			delete(p.pending, c.Upstream.ID)
		}
		p.mu.Unlock()
		if c.blind && e == Shed {
			p.poolPressure(c.pool).observe(true)
		}
		switch e {
		case Failed:
			p.suspects.recordFailure(c.Upstream.ID, 1, time.Now())
		case Shed:
			p.suspects.recordFailure(c.Upstream.ID, shedWeight, time.Now())
		case Succeeded:
			p.sizes.record(c.route, size)
			p.suspects.recordSuccess(c.Upstream.ID, time.Now())
			if time.Since(c.at) < c.warmTime {
				p.readings.recordWarm(c.Upstream.ID, time.Now())
			}
		}
	})
}
