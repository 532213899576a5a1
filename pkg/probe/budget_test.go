package probe

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/turmericsail/turmericsail/internal/fake"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
	"github.com/turmericsail/turmericsail/pkg/quota"
)

var target = Target{Key: Key{Pool: "p", Upstream: "u"}, Slots: 4, Percent: 1, Cost: 6 * time.Millisecond}

// Guards against probes that exceed the budget, over any period and any change of the
// allocator, probes without the allocator's authority, and probes of upstreams with
// recent information.
func TestProbesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DefaultSettings()
		settings.MaxAge = 1 // so that only the budget limits probes
		instances := []*Scheduler{NewScheduler(settings), NewScheduler(settings)}
		now, holder, spent := start, 0, time.Duration(0)
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 30).Draw(t, "move") == 0 {
				holder = 1 - holder
			}
			lastUpdate := now.Add(-time.Duration(rapid.IntRange(0, 9).Draw(t, "age")))
			for i, s := range instances {
				due := s.Due(now, []Target{target}, func(Key) bool { return i == holder }, func(Key) time.Time { return lastUpdate })
				if len(due) > 0 && (i != holder || now.Sub(lastUpdate) < settings.MaxAge.Std()) {
					t.Fatalf("instance %d probes without cause", i)
				}
				for range due {
					reused := rapid.Bool().Draw(t, "reused")
					spent += target.Cost
					if !reused {
						spent += settings.ConnectCost.Std()
					}
					s.ProbeDone(target.Key, reused)
				}
			}
			budget := time.Duration(float64(now.Sub(start)) * 4 / 100)
			if spent > budget {
				t.Fatalf("%v of slot time spent in %v, budget %v", spent, now.Sub(start), budget)
			}
		}
	})
}

// Guards against a budget below the configured share of slot time, which would leave
// idle upstreams without probes.
func TestBudgetRate(t *testing.T) {
	is := is.New(t)
	s := NewScheduler(Settings{})
	n := 0
	for ms := range 10_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for range s.Due(now, []Target{target}, func(Key) bool { return true }, func(Key) time.Time { return time.Time{} }) {
			s.ProbeDone(target.Key, true)
			n++
		}
	}
	is.Equal(n, 66) // 4 slots at 1% and 6 ms per probe: 6.67 per second
}

// Guards against a burst of probes after an idle period.
func TestBudgetDoesNotAccumulate(t *testing.T) {
	is := is.New(t)
	s := NewScheduler(Settings{})
	n := 0
	for _, now := range []time.Time{start, start.Add(time.Hour)} {
		for range 100 {
			for range s.Due(now, []Target{target}, func(Key) bool { return true }, func(Key) time.Time { return time.Time{} }) {
				s.ProbeDone(target.Key, true)
				n++
			}
		}
	}
	is.Equal(n, bucketCapacity)
}

type roles struct{}

func (roles) Allocator(string) (peer.InstanceID, bool) { return "a/1", true }
func (roles) Authority(string) quota.Authority         { return roles{} }
func (roles) Held(time.Time) (uint64, time.Time, bool) { return 1, time.Time{}, true }

type noRole struct{ roles }

func (noRole) Authority(string) quota.Authority         { return noRole{} }
func (noRole) Held(time.Time) (uint64, time.Time, bool) { return 0, time.Time{}, false }

type countingChecker struct{ probes atomic.Int64 }

func (c *countingChecker) Check(context.Context, Target) Result {
	c.probes.Add(1)
	return Result{OK: true, HasLoad: true, Load: Load{Slots: 4, State: StateOK, StartID: "s1", At: time.Now()}}
}

func runProber(t *testing.T, ctx context.Context, n *fake.Network, id peer.InstanceID, r quota.Roles, c Checker) *Prober {
	p, err := NewProber(Config{
		Transport: n.Transport(id), Roles: r, Checker: c, Settings: DefaultSettings(), Log: logr.Discard(),
		Targets: func() []Target { return []Target{target} },
		Peers:   func() []peer.InstanceID { return []peer.InstanceID{"a/1", "b/1"} },
	})
	if err != nil {
		t.Fatal(err)
	}
	p.Stats(target.Key)
	go func() { _ = p.Run(ctx) }()
	return p
}

// Guards against probes by every instance, probes of a busy upstream, and probe
// results that are not published to other instances.
func TestOneInstanceProbesForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		n, c, idle := fake.NewNetwork(), &countingChecker{}, &countingChecker{}
		runProber(t, ctx, n, "a/1", roles{}, c)
		b := runProber(t, ctx, n, "b/1", noRole{}, idle)
		time.Sleep(100 * time.Second)
		is.Equal(idle.probes.Load(), int64(0))
		probes := c.probes.Load()
		is.True(probes >= 15 && probes <= 20) // one in 5 s; a tenth of the probes of 16 instances once a second would be 160
		is.Equal(b.Stats(target.Key).Evaluate(time.Now(), 0).Condition, Healthy)
		is.Equal(b.Stats(target.Key).Load().StartID, "s1")
		for range 100 {
			b.Stats(target.Key).Record(time.Now(), Success, time.Millisecond)
			time.Sleep(time.Second)
		}
		is.True(c.probes.Load() <= probes+1) // the answers that b/1 reported made probes unnecessary
		cancel()
		synctest.Wait()
	})
}

// Guards against a checker that ignores the header, the status or a reused connection.
func TestHTTPChecker(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(Header, "slots=4, state=cold")
		if r.URL.Path != "/health" {
			w.WriteHeader(http.StatusInternalServerError)
		}
	}))
	defer server.Close()
	c := HTTPChecker{Client: server.Client()}
	endpoint := Target{Address: strings.TrimPrefix(server.URL, "http://"), Path: "/health"}
	r := c.Check(t.Context(), endpoint)
	is.True(r.OK && r.HasLoad && !r.Reused && r.Load.State == StateCold)
	endpoint.Path = "/"
	r = c.Check(t.Context(), endpoint)
	is.True(!r.OK && r.Reused)
	server.Close()
	is.True(!c.Check(t.Context(), endpoint).OK)
}

// Guards against a checker without a client, as that of the daemon, that ends the process.
func TestCheckerWithoutAClient(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	is.True(HTTPChecker{}.Check(t.Context(), Target{Address: strings.TrimPrefix(server.URL, "http://"), Path: "/health"}).OK)
}

// Guards against panics and values out of bounds after any report of a peer.
func FuzzLoadReport(f *testing.F) {
	good, _ := proto.Marshal(&peerpb.LoadReport{Loads: []*peerpb.UpstreamLoad{loadToMessage(target.Key, Load{Slots: 4, State: StateOK, At: start}, start)}})
	huge, _ := proto.Marshal(&peerpb.LoadReport{Loads: []*peerpb.UpstreamLoad{{Pool: "p", Upstream: "u", InFlight: 1<<32 - 1, AgeMillis: 1<<32 - 1, StartId: "\n"}}})
	for _, seed := range [][]byte{nil, good, huge, {0x0a, 0xff}} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := NewProber(Config{Transport: fake.NewNetwork().Transport("a/1"), Settings: DefaultSettings()})
		if err != nil {
			t.Fatal(err)
		}
		s := p.Stats(target.Key)
		_, _ = p.handle(t.Context(), "b/1", data)
		if l := s.Load(); l.InFlight > maxLoad || l.Slots > maxLoad || len(l.StartID) > maxStartID || len(p.stats) != 1 {
			t.Fatalf("%+v", l)
		}
	})
}
