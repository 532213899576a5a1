package sampled

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// meter counts decisions. Pools and classes come from the tables, so the number of series is bounded by them.
type meter struct{}

// placed counts a request that got an upstream, with the age of the reading that decided it.
func (meter) placed(r Request, age time.Duration, rounds int) {
	labels := fmt.Sprintf("pool=%q,class=%q", r.Pool.Name, r.Route.Class)
	metrics.GetOrCreateHistogram("turmericsail_placement_wait_seconds{" + labels + "}").Update(time.Since(r.Start).Seconds())
	metrics.GetOrCreateHistogram("turmericsail_placement_reading_age_seconds{" + labels + "}").Update(age.Seconds())
	metrics.GetOrCreateHistogram("turmericsail_placement_rounds{" + labels + "}").Update(float64(rounds))
}

// refused counts a request that no upstream could serve in time.
func (meter) refused(r Request) {
	metrics.GetOrCreateCounter(fmt.Sprintf("turmericsail_placement_refused_total{pool=%q,class=%q}", r.Pool.Name, r.Route.Class)).Inc()
}
