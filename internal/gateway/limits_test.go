package gateway

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/intake"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peertest"
	"github.com/turmericsail/turmericsail/platform/platformtest"
)

// limitsStore is a store with the shared values of one region.
type limitsStore struct {
	mu     sync.Mutex
	region string
	values map[string][]byte
	writes int
}

func (s *limitsStore) Shared(string) map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.values)
}

func (s *limitsStore) WriteShared(_ context.Context, _ string, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values = map[string][]byte{s.region: value}
	s.writes++
	return nil
}

// oneGranter are the roles of instances among which one grants for all.
type oneGranter struct{ granter, self peer.InstanceID }

func (r oneGranter) Granter(string) (peer.InstanceID, bool) { return r.granter, true }
func (r oneGranter) MayGrant(time.Time) bool                { return r.granter == r.self }

// limitsFleet starts instances of one region that share a store.
func limitsFleet(t *testing.T, instances int) ([]*intake.Service, *limitsStore) {
	network, store := peertest.New(1), &limitsStore{region: "north"}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	var fleet []*intake.Service
	for i := range instances {
		id := peer.InstanceID(fmt.Sprintf("e%d/a", i))
		service := intake.NewService(network.Join(id, fmt.Sprintf("10.0.0.%d:1", i)), oneGranter{"e0/a", id}, logr.Discard())
		s := &intakeService{Service: service, log: logr.Discard(), limits: &requestLimits{service: service, store: store, region: "north"}}
		running.Go(func() { _ = s.Run(ctx) })
		fleet = append(fleet, service)
	}
	return fleet, store
}

// Guards against the first requests of instances that have sent nothing yet to an upstream which told another instance its
// limit: together they exceed it.
func TestFirstRequestsKeepALimitStatedToAnotherInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond, instances = 1.0, 24
		fleet, _ := limitsFleet(t, instances)
		hear := func(s *intake.Service) {
			s.Hear("u", "north", intake.Statement{PerSecond: perSecond, HeardAt: time.Now()})
		}
		hear(fleet[1])
		time.Sleep(time.Second)
		var arrivals []platformtest.Arrival
		for begin := time.Now(); time.Since(begin) < 2*platformtest.LimitWindow; time.Sleep(50 * time.Millisecond) {
			s := fleet[len(arrivals)%instances] // the next one that has sent nothing
			if s.Acquire(context.Background(), "u", "north") {
				arrivals = append(arrivals, platformtest.Arrival{At: time.Now()})
				hear(s)
			}
		}
		most, exceeded := platformtest.RequestLimitExceeded(arrivals, perSecond)
		t.Logf("%d requests, %d in %s", len(arrivals), most, platformtest.LimitWindow)
		if exceeded || len(arrivals) == 0 {
			t.Errorf("%d requests in %s", most, platformtest.LimitWindow)
		}
	})
}

// served sends 10 requests a second for a time to an upstream that names no limit, and returns how many may be sent.
func served(s *intake.Service, length time.Duration) (n int) {
	for begin := time.Now(); time.Since(begin) < length; time.Sleep(100 * time.Millisecond) {
		if s.Acquire(context.Background(), "u", "north") {
			n++
			s.Hear("u", "north", intake.Statement{Unlimited: true, HeardAt: time.Now()})
		}
	}
	return n
}

// Guards against an upstream that is kept to a limit which has ended, and against a record that is written again and again.
func TestEndedLimitBindsNoOtherInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet, store := limitsFleet(t, 4)
		fleet[1].Hear("u", "north", intake.Statement{PerSecond: 0.5, HeardAt: time.Now()})
		time.Sleep(time.Second)
		is.True(bytes.Contains(store.Shared("")["north"], []byte(`"u":0.5`)))
		fleet[1].Hear("u", "north", intake.Statement{Unlimited: true, HeardAt: time.Now()})
		time.Sleep(time.Second)
		is.Equal(string(store.Shared("")["north"]), `{"per_second":{}}`)
		for _, s := range fleet {
			is.Equal(served(s, 6*time.Second), 60)
		}
		store.mu.Lock()
		defer store.mu.Unlock()
		is.Equal(store.writes, 2)
	})
}

// Guards against a record of an ended granter that keeps an upstream to its limit for longer than until its next response.
func TestStaleLimitEndsWithTheNextResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &limitsStore{region: "north", values: map[string][]byte{"north": []byte(`{"per_second":{"u":0.5}}`)}}
		s := intake.NewService(nil, intake.Alone{}, logr.Discard())
		l := &requestLimits{service: s, store: store, region: "north"}
		is.NoErr(l.read(time.Now()))
		n := served(s, 6*time.Second)
		is.True(n <= 40) // the first grant is free after 2 s
		is.True(n >= 20) // and asked for after 4 s at most
		is.NoErr(l.read(time.Now()))
		is.Equal(served(s, 6*time.Second), 60)
	})
}

// Guards against a record that cannot be read and ends the exchange of limits.
func TestUnreadableRequestLimitsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet, store := limitsFleet(t, 2)
		_ = store.WriteShared(context.Background(), "", []byte(`{"per_second":`))
		time.Sleep(time.Second)
		fleet[1].Hear("u", "north", intake.Statement{PerSecond: 2, HeardAt: time.Now()})
		time.Sleep(time.Second)
		limits, err := decodeRequestLimits(store.Shared("")["north"])
		is.NoErr(err)
		is.Equal(limits, map[string]float64{"u": 2})
	})
}
