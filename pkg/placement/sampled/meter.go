package sampled

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// meter updates the placement metrics. Pools and classes come from the tables, which bound the number of series.
type meter struct{}

// placed records a placed request: its wait, the age of the deciding reading and the number of probe rounds.
func (meter) placed(r Request, age time.Duration, rounds int) {
	labels := fmt.Sprintf("pool=%q,class=%q", r.Pool.Name, r.Route.Class)
	metrics.GetOrCreateHistogram("turmericsail_placement_wait_seconds{" + labels + "}").Update(time.Since(r.Start).Seconds())
	metrics.GetOrCreateHistogram("turmericsail_placement_reading_age_seconds{" + labels + "}").Update(age.Seconds())
	metrics.GetOrCreateHistogram("turmericsail_placement_rounds{" + labels + "}").Update(float64(rounds))
}

// refused counts a request that no upstream could serve within its deadline.
func (meter) refused(r Request) {
	metrics.GetOrCreateCounter(fmt.Sprintf("turmericsail_placement_refused_total{pool=%q,class=%q}", r.Pool.Name, r.Route.Class)).Inc()
}
