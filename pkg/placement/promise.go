package placement

import (
	"slices"
	"time"

	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
)

// reservation is capacity reserved for requests that another broker may redirect here.
type reservation struct {
	remaining int
	expires   time.Time
}

// reserve returns how many of the wanted requests this broker accepts: as many as
// its free slots can serve during the round trip plus as many as can wait here for
// half of the gain, minus the waiting requests and existing reservations. Only half
// of the gain is used, because the load changes during the round trip.
func (b *Broker) reserve(now time.Time, from peer.InstanceID, q *peerpb.BrokerStatusQuery) uint32 {
	b.reservations = slices.DeleteFunc(b.reservations, func(p reservation) bool { return p.remaining == 0 || !now.Before(p.expires) })
	trip := 2 * b.neighbours.latencyTo(from)
	turns := max(1, float64(trip)/float64(b.meanHold))
	left := int(float64(max(0, b.free))*turns) - b.queue.Len()
	left += int(time.Duration(q.GainUs) * time.Microsecond / 2 / b.slotInterval())
	for _, p := range b.reservations {
		left -= p.remaining
	}
	n := max(0, min(int(q.Want), left))
	if n > 0 {
		b.reservations = append(b.reservations, reservation{n, now.Add(trip + reservationSlack)})
	}
	return uint32(n)
}

// reservationSlack is added to the round trip to give the lifetime of an unused reservation.
const reservationSlack = 5 * time.Millisecond

// consumeReservation counts a redirected request against the oldest reservation.
func (b *Broker) consumeReservation() {
	for i := range b.reservations {
		if b.reservations[i].remaining > 0 {
			b.reservations[i].remaining--
			return
		}
	}
}

// latencyTo returns the one-way latency to another broker.
func (ns *neighbours) latencyTo(id peer.InstanceID) time.Duration {
	for _, n := range *ns {
		if n.broker == id {
			return n.latency
		}
	}
	return intraRegionLatency
}
