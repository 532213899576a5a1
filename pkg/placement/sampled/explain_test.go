package sampled

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/table"
)

// noProber fails the test when it is asked.
type noProber struct{ t *testing.T }

// Probe implements Prober.
func (n noProber) Probe(context.Context, *table.Pool, table.Upstream) (Reading, error) {
	n.t.Error("an explanation must not probe")
	return Reading{}, nil
}

// heldUpstream takes no request until a time.
type heldUpstream struct {
	id    string
	until time.Time
}

// HeldUntil implements Intake.
func (h heldUpstream) HeldUntil(id string) time.Time {
	if id == h.id {
		return h.until
	}
	return time.Time{}
}

// Acquire implements Intake.
func (heldUpstream) Acquire(context.Context, string, string) bool { panic("takes from a limit") }

// Guards against explanations that name another reason than the one that decides, that probe, or that take from a budget or a
// limit.
func TestExplain(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	pool := &table.Pool{Name: "p", FailureDomainsOut: []string{"n9"}, UpstreamsOut: []string{"leaving"}}
	add := func(id, region, domain string) {
		pool.Upstreams = append(pool.Upstreams, table.Upstream{ID: id, Region: region, FailureDomain: domain})
	}
	for _, id := range []string{"room", "full", "cold", "unread", "old", "suspect", "held", "leaving"} {
		add(id, "north", "n1")
	}
	add("domain out", "north", "n9")
	add("abroad", "south", "s1")
	route := &table.Route{Name: "r", Target: table.Duration(time.Second), HomeRegions: []string{"north"}}
	p := New(Location{Instance: "e1", Region: "north", FailureDomain: "n1"}, noProber{t}, nil, logr.Discard())
	p.SetIntake(heldUpstream{"held", now.Add(10 * time.Second)})
	reading := func(id string, age time.Duration, running int, cold time.Duration) {
		p.readings.record(id, Reading{At: now.Add(-age), Upstream: id, Healthy: true, Loaded: true, Running: running, Slots: 4, Slowdown: 1, Cold: cold}, 0)
	}
	reading("room", 50*time.Millisecond, 1, 0)
	reading("full", 50*time.Millisecond, 4, 0)
	reading("cold", 50*time.Millisecond, 1, time.Second)
	reading("old", 5*time.Second, 4, 0)
	reading("suspect", 50*time.Millisecond, 0, 0)
	p.suspects.recordFailure("suspect", 1, now)
	want := map[string]string{
		"room": "has room", "full": "full", "cold": "cold, and it has other or recent requests",
		"unread": "would be asked for its load: no reading that is recent enough", "old": "would be asked for its load: no reading that is recent enough",
		"suspect": "asked last: it failed lately", "held": "takes no request for 10s",
		"leaving": "the upstream or its failure domain is out of service", "domain out": "the upstream or its failure domain is out of service",
		"abroad": "outside the home regions",
	}
	usable := map[string]bool{"room": true, "unread": true, "old": true, "suspect": true}
	e := p.Explain(Request{Pool: pool, Route: route}, now)
	is.Equal(len(e.Upstreams), len(want))
	for _, u := range e.Upstreams {
		is.Equal(u.Reason, want[u.ID])
		is.Equal(u.Usable, usable[u.ID])
	}
	is.True(!e.Crowded)
	is.Equal(e.MaxWait, table.Duration(200*time.Millisecond))
}
