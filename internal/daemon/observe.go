package daemon

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/turmericsail/turmericsail/internal/entry"
	"github.com/turmericsail/turmericsail/pkg/coldstart"
	"github.com/turmericsail/turmericsail/pkg/probe"
	"github.com/turmericsail/turmericsail/pkg/quarantine"
	"github.com/turmericsail/turmericsail/pkg/table"
)

func coldKey(resource string) (coldstart.Key, bool) {
	name, ok := strings.CutPrefix(resource, coldPrefix)
	pool, id, found := strings.Cut(name, "/")
	return coldstart.Key{Pool: pool, Upstream: id}, ok && found
}

// Observe implements entry.Observer. It records the attempts of this instance.
func (l *limits) Observe(o *entry.Observation) {
	now := time.Now()
	key := coldstart.Key{Pool: o.Pool.Name, Upstream: o.Upstream.ID}
	stats := l.prober.Stats(key)
	load, reported := probe.ParseLoad(o.Load, now)
	if reported {
		stats.RecordLoad(load)
	}
	if o.Result.Ending == "" || o.Result.Ending == entry.EndCancelled {
		return // the answer has only begun, or this side cancelled the attempt
	}
	stats.Record(now, outcomeOf(o.Result), o.Result.FirstByte)
	meter := l.cold.Meter(key)
	switch {
	case o.Refused || o.Result.Ending == entry.EndLost:
		meter.RecordLoss()
	case o.Result.Status != 0:
		meter.RecordAnswer(coldstart.Answer{
			StartID: load.StartID, Cold: reported && load.State == probe.StateCold,
			Good: o.Result.Ending == entry.EndAnswered && o.Result.Status < http.StatusInternalServerError, Latency: o.Result.FirstByte, At: now,
		})
	}
}

func outcomeOf(r entry.Result) probe.Outcome {
	switch {
	case r.Ending == entry.EndNotRun && r.Status != 0:
		return probe.Shed
	case r.Ending == entry.EndTimedOut:
		return probe.Timeout
	case r.Ending == entry.EndAnswered && r.Status < http.StatusInternalServerError:
		return probe.Success
	}
	return probe.Failure
}

// stateCold is the state of an upstream that this instance treats as cold.
const stateCold = string(probe.StateCold)

// stateOf describes an upstream for /status.
func (l *limits) stateOf(pool string, u table.Upstream) string {
	key := coldstart.Key{Pool: pool, Upstream: u.ID}
	if !l.cold.Meter(key).Warm() {
		return stateCold
	}
	if s := l.prober.Stats(key).Evaluate(time.Now(), 0); s.Condition != probe.Healthy {
		return string(s.Condition)
	}
	return ""
}

// startIDOf returns the start ID in a load header, or "" if there is none.
func startIDOf(header string) string {
	load, _ := probe.ParseLoad(header, time.Now())
	return load.StartID
}

// recordStartID stores the start ID of an upstream and reports whether it differs from the previous one.
func (l *limits) recordStartID(u quarantine.Upstream, start string) bool {
	old, known := l.startIDs.Swap(u, start)
	return !known || old != start
}

// inFlightCounter returns the counter of this instance's running requests at an upstream.
func (l *limits) inFlightCounter(key coldstart.Key) *atomic.Int64 {
	if n, ok := l.inFlight.Load(key); ok {
		return n.(*atomic.Int64)
	}
	n, _ := l.inFlight.LoadOrStore(key, new(atomic.Int64))
	return n.(*atomic.Int64)
}

// inFlightAt returns the number of this instance's running requests at an upstream.
func (l *limits) inFlightAt(pool, upstream string) int64 {
	return l.inFlightCounter(coldstart.Key{Pool: pool, Upstream: upstream}).Load()
}
