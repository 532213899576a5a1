package rate

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
	"github.com/turmericsail/turmericsail/pkg/peer/peertest"
)

// countingTransport counts the calls that are sent.
type countingTransport struct {
	peer.Transport
	calls *atomic.Int64
}

func (c countingTransport) Call(ctx context.Context, to peer.InstanceID, service string, request, response proto.Message) error {
	c.calls.Add(1)
	return c.Transport.Call(ctx, to, service, request, response)
}

// fleet is a number of services whose regions have granters.
type fleet struct {
	mu       sync.Mutex
	granters map[string]peer.InstanceID
	limits   []Limit
	calls    atomic.Int64
	net      *peertest.Network
	services []*Service
}

type fleetRoles struct {
	f    *fleet
	self peer.InstanceID
}

func (r fleetRoles) Granter(region string) (peer.InstanceID, bool) {
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	id, ok := r.f.granters[region]
	return id, ok
}

func (r fleetRoles) MayGrant(time.Time) bool { return false }

// startFleet starts services in two regions; the first one of each region is its granter.
func startFleet(ctx context.Context, n int, limits []Limit) *fleet {
	f := &fleet{granters: map[string]peer.InstanceID{}, limits: limits, net: peertest.New(1)}
	regions := []string{"north", "south"}
	for i := range n {
		id, region := peer.InstanceID(fmt.Sprintf("e%d/a", i)), regions[i%2]
		if i < 2 {
			f.mu.Lock()
			f.granters[region] = id
			f.mu.Unlock()
		}
		s := NewService(Config{
			Transport: countingTransport{f.net.Join(id, fmt.Sprintf("10.0.0.%d:1", i)), &f.calls}, Roles: fleetRoles{f, id}, Region: region, Regions: regions,
			Instances: func() int { return n }, Limits: func() []Limit { return f.limits }, Rules: testRules, Log: logr.Discard(),
		})
		f.services = append(f.services, s)
		go func() { _ = s.Run(ctx) }()
	}
	return f
}

// Guards against messages of deployments that limit no workspace.
func TestNothingIsSentWithoutLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		f := startFleet(ctx, 4, nil)
		for range 100 {
			time.Sleep(time.Second)
			_, _, ok := f.services[3].Admit(ctx, Limit{Name: "w"}, false)
			is.True(ok)
		}
		is.Equal(f.calls.Load(), int64(0))
		cancel()
		time.Sleep(time.Minute) // calls end
	})
}

// Guards against a call for each of several requests that wait together, against more calls than the bound, and against
// refusals below the limit at an instance that gets a burst while the others are quiet.
func TestRequestsThatWaitShareACall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		limit := Limit{"w", 50, 100}
		f := startFleet(ctx, 8, []Limit{limit})
		time.Sleep(20 * time.Second)
		before := f.calls.Load()
		time.Sleep(10 * time.Second)
		idle := f.calls.Load() - before
		is.True(idle <= 8*16) // one in 650 ms by each instance
		before = f.calls.Load()
		var admitted atomic.Int64
		var all sync.WaitGroup
		for range 80 {
			all.Go(func() {
				if _, _, ok := f.services[7].Admit(ctx, limit, false); ok {
					admitted.Add(1)
				}
			})
		}
		all.Wait()
		is.Equal(admitted.Load(), int64(80))
		is.True(f.calls.Load()-before <= 3)
		before = f.calls.Load()
		for range 1000 {
			time.Sleep(time.Millisecond)
			all.Go(func() { _, _, _ = f.services[7].Admit(ctx, limit, false) })
		}
		all.Wait()
		t.Logf("%d calls in a second of 1000 requests", f.calls.Load()-before)
		is.True(f.calls.Load()-before <= 51+8*2)
		cancel()
		time.Sleep(time.Minute) // calls end
	})
}

// Guards against an interruption by the death of a lender that lasts until the region has another granter, against
// refusals without a time to return, and against borrowers that return to the dead lender while it is still named as the granter.
func TestAnotherLenderAfterADeath(t *testing.T) {
	const (
		length  = 60 * time.Second
		settled = standingTime + time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(time.Minute) // calls end
		defer cancel()
		limit := Limit{"w", 50, 100}
		f := startFleet(ctx, 8, []Limit{limit})
		time.Sleep(20 * time.Second)
		region := Region("w", []string{"north", "south"})
		dead := f.granters[region]
		f.net.Crash(dead)
		refused, last := 0, time.Duration(0)
		start := time.Now()
		for i := range int(length.Seconds()) * 30 { // 30 a second
			time.Sleep(time.Second / 30)
			if _, after, ok := f.services[2+i%6].Admit(ctx, limit, false); !ok {
				is.True(after > 0)
				refused++
				last = time.Since(start)
			}
			for _, s := range f.services[2:] {
				s.mu.Lock()
				id, ok := s.borrower.Lender(region)
				s.mu.Unlock()
				is.True(ok)
				is.True(id != dead || time.Since(start) < settled)
			}
		}
		t.Logf("%d refused, the last one %v after the death", refused, last)
		is.True(last < settled)
	})
}

// Guards against a preferred lender that is not called again after a failure, although it answers.
func TestLenderThatReturnsIsPreferredAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(time.Minute) // calls end
		defer cancel()
		limit := Limit{"w", 50, 100}
		f := startFleet(ctx, 8, []Limit{limit})
		time.Sleep(20 * time.Second)
		region := Region("w", []string{"north", "south"})
		preferred := f.granters[region]
		lenders := func() (same int) {
			for _, s := range f.services[2:] {
				s.mu.Lock()
				if id, _ := s.borrower.Lender(region); id == preferred {
					same++
				}
				s.mu.Unlock()
			}
			return same
		}
		f.net.Pause(preferred)
		time.Sleep(8 * time.Second)
		is.Equal(lenders(), 0)
		f.net.Resume(preferred)
		time.Sleep(2*avoidTime + moveSpread + standingTime + time.Second)
		is.Equal(lenders(), 6)
	})
}

// Guards against a token that stays used although its request was sent nowhere, and against an instance without other
// instances that cannot lend to itself.
func TestAloneAndRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		limit := Limit{"w", 1, 3}
		s := NewService(Config{
			Roles: Alone{}, Region: "r", Instances: func() int { return 1 }, Limits: func() []Limit { return []Limit{limit} }, Log: logr.Discard(),
		})
		go func() { _ = s.Run(ctx) }()
		time.Sleep(10 * time.Second)
		count := func() (n int) {
			for {
				release, after, ok := s.Admit(ctx, limit, false)
				if !ok {
					is.True(after > 0 && after < 3*time.Second)
					return n
				}
				n++
				if n == 1 {
					release()
				}
			}
		}
		is.Equal(count(), 4) // the burst of 3, and the one that was released
		time.Sleep(1100 * time.Millisecond)
		is.True(count() >= 1)
		cancel()
		time.Sleep(time.Minute) // calls end
	})
}

// Guards against defects of requests that no lender may act on.
func TestLendRefusesUnknownRegions(t *testing.T) {
	is := is.New(t)
	s := NewService(Config{Roles: Alone{}, Region: "r", Instances: func() int { return 1 }, Limits: func() []Limit { return nil }, Log: logr.Discard()})
	_, err := s.lend("a/1", &peerpb.RateRequest{Seq: 1, Region: "x"})
	is.True(err != nil)
	_, err = s.handle(context.Background(), "a/1", []byte{0xff})
	is.True(err != nil)
	is.Equal(len(s.lent), 0)
}

// BenchmarkAdmit measures an admission with a token in hand.
func BenchmarkAdmit(b *testing.B) {
	limit := Limit{"w", 1e12, 1e12}
	s := NewService(Config{Roles: Alone{}, Region: "r", Instances: func() int { return 1 }, Limits: func() []Limit { return []Limit{limit} }, Log: logr.Discard()})
	s.tick()
	account := s.borrower.accounts["w"]
	ctx := context.Background()
	for b.Loop() {
		if len(account.batches) == 0 || account.batches[0].left == 0 {
			account.batches = []*batch{{sent: s.clock(), lifetime: time.Hour, leased: true, left: 1 << 30, reported: 1 << 30}}
		}
		if _, _, ok := s.Admit(ctx, limit, false); !ok {
			b.Fatal("refused")
		}
	}
}

// Guards against wake-ups of instances in deployments that limit no workspace, each of which costs processor time, and
// against an instance that goes on idling when a limit comes into force.
func TestIdleInstancesWakeUpRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		var looks atomic.Int64
		var limits atomic.Pointer[[]Limit]
		limits.Store(&[]Limit{})
		s := NewService(Config{
			Roles: Alone{}, Region: "north", Regions: []string{"north"}, Instances: func() int { return 1 }, Rules: testRules, Log: logr.Discard(),
			Limits: func() []Limit { looks.Add(1); return *limits.Load() },
		})
		go func() { _ = s.Run(ctx) }()
		time.Sleep(20 * time.Second)
		is.True(looks.Load() <= 21)
		limits.Store(&[]Limit{{"w", 50, 100}})
		time.Sleep(time.Second)
		before := looks.Load()
		time.Sleep(time.Second)
		is.True(looks.Load()-before >= 9)
		cancel()
		time.Sleep(time.Minute) // calls end
	})
}
