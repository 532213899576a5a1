package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
	"github.com/turmericsail/turmericsail/pkg/table"
)

const (
	// intraRegionLatency is the assumed one-way latency to another failure domain of
	// the same region until a round trip has been measured.
	intraRegionLatency = time.Millisecond
	// interRegionLatency is the same for a failure domain of another region.
	interRegionLatency = 12 * time.Millisecond
	// regionPenalty is the minimum time that a request must save to be redirected to
	// another region, because traffic between regions is billed. Redirecting when
	// the wait is shorter than the round trip also raises p99: 82 ms instead of
	// 76 ms at 95% of slots with a threshold of a fifth of the round trip.
	regionPenalty = 4 * time.Millisecond
	// domainPenalty is the minimum time that a request must save to be redirected to
	// another failure domain of the same region.
	domainPenalty = time.Millisecond
	// statusHalfLife is the half-life of the number of free slots in a status.
	statusHalfLife = 25 * time.Millisecond
	// statusTTL is the age after which a status is ignored.
	statusTTL = 250 * time.Millisecond
	// queryInterval is the minimum time between queries to a failure domain of the same region.
	queryInterval = 2 * time.Millisecond
	// interRegionQueryInterval is longer, because traffic between regions is billed.
	interRegionQueryInterval = 8 * time.Millisecond
)

// neighbour is the state of another failure domain and its broker, as known to this broker.
type neighbour struct {
	region, domain string
	otherRegion    bool
	broker         peer.InstanceID
	upstreams      int // in service according to the pool row
	latency        time.Duration
	free, queued   float64
	slotInterval   time.Duration
	statusAt       time.Time // when the last status was received
	queriedAt      time.Time
	answered       bool    // the last query has been answered
	reserved       int     // requests for which the neighbour has reserved capacity
	redirected     float64 // requests redirected since the last status
}

type neighbours []*neighbour

func (ns *neighbours) get(region, domain string) *neighbour {
	for _, n := range *ns {
		if n.domain == domain && n.region == region {
			return n
		}
	}
	n := &neighbour{region: region, domain: domain}
	*ns = append(*ns, n)
	return n
}

// setPool updates the upstream counts of the other failure domains.
func (ns *neighbours) setPool(p *table.Pool, region, domain string) {
	for _, n := range *ns {
		n.upstreams = 0
	}
	for _, u := range usableUpstreams(p) {
		if u.FailureDomain == domain && u.Region == region {
			continue
		}
		n := ns.get(u.Region, u.FailureDomain)
		n.upstreams++
		if n.otherRegion = u.Region != region; n.latency == 0 {
			n.latency = intraRegionLatency
			if n.otherRegion {
				n.latency = interRegionLatency
			}
		}
		if n.slotInterval == 0 {
			n.slotInterval = initialHold / time.Duration(max(1, p.Slots*n.upstreams))
		}
	}
}

// setInstances determines the brokers of the other failure domains.
func (ns *neighbours) setInstances(pool string, live []Instance) {
	for _, n := range *ns {
		n.broker, _ = BrokerOf(pool, n.domain, live)
	}
}

// status updates the state of a neighbour from its reply to a query. The reply
// does not include requests that were redirected after the query was sent.
func (ns *neighbours) status(now time.Time, domain string, s *peerpb.BrokerStatus) {
	for _, n := range *ns {
		if n.domain != domain {
			continue
		}
		if !n.queriedAt.IsZero() && !n.answered {
			n.latency = (now.Sub(n.queriedAt)/2 + 3*n.latency) / 4
		}
		n.answered, n.statusAt, n.redirected = true, now, 0
		n.free, n.queued, n.reserved = float64(s.Free), float64(s.Queued), int(s.Accept)
		n.slotInterval = time.Hour
		if s.Capacity > 0 {
			n.slotInterval = time.Duration(s.HoldUs) * time.Microsecond / time.Duration(s.Capacity)
		}
	}
}

// queryStatus requests the status of the neighbours if the wait at this broker is,
// or may soon be, long enough that a redirect pays off. An idle broker sends no
// queries.
func (ns *neighbours) queryStatus(now time.Time, b *Broker) {
	wait := time.Duration(b.queue.Len()) * b.slotInterval()
	if 8*b.free < b.capacity {
		wait += 2 * intraRegionLatency
	}
	for _, n := range *ns {
		if n.broker == "" || n.upstreams == 0 || now.Sub(n.queriedAt) < n.minQueryInterval() || wait < n.queryThreshold() {
			continue
		}
		n.queriedAt, n.answered = now, false
		want := min(maxWant, 1+int((wait-n.queryThreshold())/b.slotInterval()))
		gain := max(0, wait-interRegionBaseCost(2*n.latency))
		b.send(n.broker, &peerpb.PlacementMessage{Body: &peerpb.PlacementMessage_Query{
			Query: &peerpb.BrokerStatusQuery{Want: uint32(want), GainUs: uint64(gain.Microseconds())}}})
		b.outbox[len(b.outbox)-1].Message.FailureDomain = n.domain
	}
}

// maxWant bounds the number of requests for which one query asks for capacity.
const maxWant = 64

func (n *neighbour) minQueryInterval() time.Duration {
	if n.otherRegion {
		return interRegionQueryInterval
	}
	return queryInterval
}

// queryThreshold is the wait at which the neighbour is queried. It is below the
// wait at which a redirect pays off, because the reply takes a round trip.
func (n *neighbour) queryThreshold() time.Duration {
	if n.otherRegion {
		return interRegionBaseCost(2*n.latency) * 3 / 4
	}
	return n.latency / 2
}

// cheapest returns the neighbour with the lowest cost for the request, or nil if
// none costs less than wait.
func (ns *neighbours) cheapest(now time.Time, rnd *rand.Rand, r *peerpb.Acquire, wait time.Duration) *neighbour {
	if len(*ns) == 0 {
		return nil
	}
	var best *neighbour
	start := rnd.IntN(len(*ns))
	for i := range *ns {
		n := (*ns)[(start+i)%len(*ns)]
		if n.broker == "" || n.upstreams == 0 || len(r.Regions) > 0 && !slices.Contains(r.Regions, n.region) {
			continue
		}
		if cost := n.cost(now, r.CanRelay); cost < wait {
			best, wait = n, cost
		}
	}
	return best
}

// cost is the estimated delay of a request that is redirected to the neighbour:
// link crossings, penalty and wait.
func (n *neighbour) cost(now time.Time, relay bool) time.Duration {
	crossings := time.Duration(4)
	if relay {
		crossings = 2
	}
	if n.otherRegion {
		return n.otherRegionCost(interRegionBaseCost(crossings * n.latency))
	}
	age := now.Sub(n.statusAt)
	if n.statusAt.IsZero() || age > statusTTL {
		// Without a recent status, redirect only requests that cannot be served or would
		// wait long at this broker.
		return crossings*n.latency + domainPenalty + unknownWait
	}
	free := n.free * math.Exp2(-float64(age)/float64(statusHalfLife))
	position := max(0, n.queued+n.redirected+1-free)
	return crossings*n.latency + domainPenalty + time.Duration(position*float64(n.slotInterval))
}

// unknownWait is the assumed wait at a neighbour without a recent status.
const unknownWait = 20 * time.Millisecond

// otherRegionCost is the cost of redirecting a request to another region. A status
// from another region is too old to base a placement on, and several brokers acting
// on the same status would collide. A request is therefore redirected against a
// reservation, or if there is no alternative.
func (n *neighbour) otherRegionCost(crossing time.Duration) time.Duration {
	if int(n.redirected) < n.reserved {
		return crossing
	}
	return crossing + noReservationWait + time.Duration(n.redirected*float64(n.slotInterval))
}

// noReservationWait is the assumed wait in another region without a reservation there.
const noReservationWait = 500 * time.Millisecond

// interRegionBaseCost is the wait above which a redirect to another region pays
// off, given the network time of the redirect.
func interRegionBaseCost(trip time.Duration) time.Duration {
	return trip + regionPenalty
}
