package sampled

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/turmericsail/turmericsail/pkg/table"
)

// maxExplainedAge is the age up to which a reading is shown. It is used for a choice only up to maxReadingAge.
const maxExplainedAge = time.Minute

// Explanation is what a request to a pool would meet at the moment. Nothing is sent for it, and no budget is used.
type Explanation struct {
	// Pressure is the share of recent requests that found no room.
	Pressure float64 `json:"pressure"`
	// Crowded is set while the pool is overloaded or mostly full.
	Crowded bool `json:"crowded"`
	// MaxWait is the longest wait for an upstream with room.
	MaxWait table.Duration `json:"max_wait"`
	// Upstreams lists all upstreams of the pool, those that would be asked first before others.
	Upstreams []UpstreamExplanation `json:"upstreams"`
}

// UpstreamExplanation states what speaks for or against an upstream.
type UpstreamExplanation struct {
	ID            string `json:"id"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// Usable is set if the upstream may get the request now, as far as is known without a probe.
	Usable bool   `json:"usable"`
	Reason string `json:"reason"`
	// InSubset is set for the upstreams that this instance asks first.
	InSubset bool `json:"in_subset"`
	// InFlight counts the requests of this instance.
	InFlight  int     `json:"in_flight"`
	Suspicion float64 `json:"suspicion"`
	// Reading is the last reading, or nil without one of the last minute.
	Reading *ReadingExplanation `json:"reading"`
	order   int
}

// ReadingExplanation is the last reading of an upstream.
type ReadingExplanation struct {
	Age      table.Duration `json:"age"`
	Running  int            `json:"running"`
	Waiting  int            `json:"waiting"`
	Slots    int            `json:"slots"`
	Slowdown float64        `json:"slowdown"`
	Cold     table.Duration `json:"cold"`
	// Cost is the estimated response time, with penalties.
	Cost table.Duration `json:"cost"`
}

// Explain returns what a request would meet.
func (p *Policy) Explain(r Request, now time.Time) Explanation {
	recent := p.poolPressure(r.Pool.Name)
	ch := &chooser{target: r.Route.Target.Std(), start: now, pressure: recent.level(), pool: recent}
	e := Explanation{Pressure: ch.pressure, Crowded: p.Crowded(r.Pool.Name), MaxWait: table.Duration(ch.maxWait()), Upstreams: []UpstreamExplanation{}}
	asked := map[string]*candidate{}
	for _, c := range p.candidates(r, ch.overloaded()) {
		asked[c.upstream.ID] = c
	}
	for _, u := range r.Pool.Upstreams {
		e.Upstreams = append(e.Upstreams, p.explainUpstream(r, ch, u, asked[u.ID], now))
	}
	slices.SortStableFunc(e.Upstreams, func(a, b UpstreamExplanation) int {
		return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.ID, b.ID))
	})
	return e
}

// notAsked sorts upstreams that are no candidates after all others.
const notAsked = 10

// explainUpstream explains one upstream. c is nil if it is no candidate.
func (p *Policy) explainUpstream(r Request, ch *chooser, u table.Upstream, c *candidate, now time.Time) UpstreamExplanation {
	p.mu.Lock()
	pending := p.pending[u.ID]
	p.mu.Unlock()
	e := UpstreamExplanation{
		ID: u.ID, Region: u.Region, FailureDomain: u.FailureDomain, InFlight: pending, Suspicion: p.suspects.level(u.ID, now), order: notAsked,
	}
	known := c
	if c == nil {
		known = &candidate{upstream: u, distance: p.location.distance(u), suspicion: e.Suspicion, pending: pending}
	}
	reading, hasReading := p.readings.at(u.ID, pending, maxExplainedAge, now)
	if hasReading {
		p.assess(ch.target, known, reading, now)
		e.Reading = &ReadingExplanation{
			Age: table.Duration(now.Sub(reading.At)), Running: known.reading.Running, Waiting: known.reading.Waiting, Slots: known.reading.Slots,
			Slowdown: known.reading.Slowdown, Cold: table.Duration(reading.Cold), Cost: table.Duration(known.cost),
		}
	}
	if c != nil {
		e.InSubset, e.order = c.inSubset, c.order()
	}
	e.Reason = p.reasonAgainst(r, u, c, now)
	if e.Reason == "" && hasReading && now.Sub(reading.At) <= maxReadingAge {
		switch {
		case known.excluded:
			e.Reason = "cold, and it has other or recent requests"
		case !hasHeadroom(known.reading):
			e.Reason = "full"
		}
	}
	e.Usable = e.Reason == ""
	switch {
	case !e.Usable:
	case !hasReading || now.Sub(reading.At) > maxReadingAge:
		e.Reason = "would be asked for its load: no reading that is recent enough"
	case e.Suspicion > suspicionThreshold:
		e.Reason = "asked last: it failed lately"
	default:
		e.Reason = "has room"
	}
	return e
}

// reasonAgainst returns why an upstream is not asked, or the empty string.
func (p *Policy) reasonAgainst(r Request, u table.Upstream, c *candidate, now time.Time) string {
	switch {
	case !r.Pool.InService(u):
		return "the upstream or its failure domain is out of service"
	case !r.Route.Permits(u.Region):
		return "outside the home regions"
	case p.intake != nil && now.Before(p.intake.HeldUntil(u.ID)):
		return fmt.Sprintf("takes no request for %v", p.intake.HeldUntil(u.ID).Sub(now).Round(time.Millisecond))
	case c == nil:
		return "not in the sample: others are asked first"
	}
	return ""
}
