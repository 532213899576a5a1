package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
	"github.com/turmericsail/turmericsail/pkg/placement"
	"github.com/turmericsail/turmericsail/pkg/queue"
	"github.com/turmericsail/turmericsail/pkg/table"
)

const (
	// picks is the number of permits requested per measurement.
	picks = 1_000_000
	// brokerReadyDelay exceeds the time for which a new broker waits for the reports of the entries.
	brokerReadyDelay = time.Second
	entryID          = "e/1"
)

// pickTimeByPoolSize measures how long a broker takes to grant a permit and to
// process its end.
func pickTimeByPoolSize() ([]series, error) {
	s := series{file: "pick-by-pool-size", x: "upstreams of the pool", y: "pick and its end (ns)"}
	for _, n := range []int{12, 100, 1000, 7600} {
		b := newBroker(n)
		replacePermits(b, n, picks/10) // fills the slots before the measurement
		start := time.Now()
		granted := replacePermits(b, n, picks)
		took := time.Since(start)
		if granted != picks {
			return nil, fmt.Errorf("the broker of %d upstreams granted %d of %d picks", n, granted, picks)
		}
		s.points = append(s.points, point{float64(n), float64(took.Nanoseconds()) / picks})
	}
	return []series{s}, nil
}

// broker is a broker on a simulated clock, together with the permits in use.
type broker struct {
	*placement.Broker
	now     time.Time
	rnd     *rand.Rand
	lastID  uint64
	running []uint64 // IDs of the permits in use, one element per upstream; 0 is none
}

func newBroker(upstreams int) *broker {
	epoch := time.Unix(0, 0)
	b := placement.NewBroker(epoch, placement.BrokerSettings{Region: "r", FailureDomain: "d", Queue: queue.DefaultSettings()})
	p := table.Pool{Name: "p", Slots: 4}
	for i := range upstreams {
		p.Upstreams = append(p.Upstreams, table.Upstream{ID: fmt.Sprint(i), Region: "r", FailureDomain: "d"})
	}
	b.SetPool(epoch, p)
	return &broker{b, epoch.Add(brokerReadyDelay), rand.New(rand.NewPCG(1, 0)), 0, make([]uint64, upstreams)}
}

// replacePermits ends a random permit and requests a new one, count times. At most
// a quarter of the slots are in use. It returns the number of permits granted.
func replacePermits(b *broker, upstreams, count int) (granted int) {
	for range count {
		b.now = b.now.Add(time.Microsecond)
		k := b.rnd.IntN(upstreams)
		if b.running[k] != 0 {
			b.Receive(b.now, entryID, &peerpb.PlacementMessage{Body: &peerpb.PlacementMessage_Done{Done: &peerpb.PermitDone{Id: b.running[k]}}})
		}
		b.lastID++
		b.running[k] = b.lastID
		b.Receive(b.now, entryID, &peerpb.PlacementMessage{Body: &peerpb.PlacementMessage_Acquire{Acquire: &peerpb.Acquire{Id: b.lastID}}})
		for _, m := range b.Take() {
			if m.Message.GetGrant() != nil {
				granted++
			}
		}
	}
	return granted
}
