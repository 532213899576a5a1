package configsync

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"github.com/turmericsail/turmericsail/internal/standin"
	"github.com/turmericsail/turmericsail/pkg/membership"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peertest"
	"github.com/turmericsail/turmericsail/pkg/store"
	"github.com/turmericsail/turmericsail/pkg/store/consulkv"
	"github.com/turmericsail/turmericsail/pkg/table"
)

var regions = []string{"north", "central", "south"}

// instance is one running instance with the components that this package needs.
type instance struct {
	index   int
	id      peer.InstanceID
	node    *peertest.Node
	tracker *membership.Tracker
	sync    *Syncer
	cancel  context.CancelFunc
}

// fleet runs instances with an in-memory network and a simulated store in virtual time.
type fleet struct {
	network *peertest.Network
	store   *standin.Store
	all     []*instance
	starts  int
}

func newFleet(n int) *fleet {
	f := &fleet{network: peertest.New(1), store: standin.NewStore(), all: make([]*instance, n)}
	f.network.SetLatency(func(a, b peer.InstanceID) time.Duration {
		switch x, y := domainOf(a), domainOf(b); {
		case x == y:
			return 500 * time.Microsecond
		case x%3 == y%3:
			return time.Millisecond // between failure domains of a region
		}
		return 12 * time.Millisecond // between regions
	})
	return f
}

// domainOf returns the number of the failure domain of an instance. The remainder modulo 3 is
// the number of its region.
func domainOf(id peer.InstanceID) int {
	var i int
	_, _ = fmt.Sscanf(string(id), "i%d/", &i)
	return i % 6
}

// client returns a store client whose calls fail while reachable returns false.
func (f *fleet) client(reachable func() bool) *consulkv.Client {
	h := f.store.Client()
	h.Transport = gatedTransport{h.Transport, reachable}
	c, err := consulkv.New(consulkv.Config{Address: "http://store", Client: h, WatchWait: 5 * time.Second})
	if err != nil {
		panic(err)
	}
	return c
}

type gatedTransport struct {
	http.RoundTripper
	reachable func() bool
}

func (g gatedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if !g.reachable() {
		return nil, fmt.Errorf("cut off from the store")
	}
	return g.RoundTripper.RoundTrip(r)
}

func (f *fleet) start(i int) *instance { return f.startWith(i, func() bool { return true }) }

func (f *fleet) startWith(i int, reachable func() bool) *instance {
	f.starts++
	c := f.client(reachable)
	x := &instance{index: i, id: peer.InstanceID(fmt.Sprintf("i%d/%d", i, f.starts))}
	address := fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256)
	x.node = f.network.Join(x.id, address)
	x.node.SetBudget(peer.NewBudget(0, 0))
	var err error
	x.tracker, err = membership.New(membership.Settings{
		Address: address, Region: regions[i%3], FailureDomain: fmt.Sprint(regions[i%3], "-", i%6/3),
		Seeds: []string{"10.0.0.0:7000", "10.0.0.1:7000", "10.0.0.2:7000"},
	}, x.node, membership.Sources{Leases: c, LeaseLister: c, Lister: c, Registrar: c}, logr.Discard())
	if err != nil {
		panic(err)
	}
	x.sync = New(Settings{}, x.node, x.tracker, c, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	x.cancel = cancel
	go x.tracker.Run(ctx)
	go x.sync.Run(ctx)
	f.all[i] = x
	return x
}

// crash ends an instance without notice to the others.
func (f *fleet) crash(x *instance) {
	f.network.Crash(x.id)
	x.cancel()
}

func (f *fleet) stop() {
	for _, x := range f.all {
		f.crash(x)
	}
	time.Sleep(70 * time.Second) // lets running calls end
}

// edit writes a row and returns its new count once the store has accepted the write.
func (f *fleet) edit(name string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	kv := f.client(func() bool { return true })
	e, err := kv.Get(ctx, PoolPrefix+name)
	if err != nil {
		e = store.Entry{}
	}
	count := countOf(e.Value) + 1 // so that each accepted edit has a higher count
	_, err = store.Put(ctx, kv, PoolPrefix+name, poolRow(name, count, true), e.Revision)
	return count, err
}

// inForce returns the time after which each instance had an edit in force, at most limit.
func (f *fleet) inForce(name string, count int, limit time.Duration) []time.Duration {
	start := time.Now()
	times := make([]time.Duration, len(f.all))
	done := make(chan struct{})
	for i, x := range f.all {
		go func() {
			times[i] = x.await(start, limit, func(t *table.Tables) bool { return t.Pools[name].Slots >= count })
			done <- struct{}{}
		}()
	}
	for range f.all {
		<-done
	}
	return times
}

func (x *instance) await(start time.Time, limit time.Duration, has func(*table.Tables) bool) time.Duration {
	end := time.NewTimer(limit)
	defer end.Stop()
	for {
		changed := x.sync.Changed()
		if t := x.sync.Tables(); t != nil && has(t) {
			return time.Since(start)
		}
		select {
		case <-changed:
		case <-x.sync.Ready():
			select {
			case <-changed:
			case <-end.C:
				return limit
			}
		case <-end.C:
			return limit
		}
	}
}

// settled reports whether every instance is ready, sees all others and has the same tables.
func (f *fleet) settled() bool {
	first := f.all[0].sync.Status()
	for _, x := range f.all {
		v, s := x.tracker.View(), x.sync.Status()
		if !v.Ready || len(v.Live(membership.Fleet())) != len(f.all) || x.sync.Tables() == nil || s.Digest != first.Digest {
			return false
		}
	}
	return true
}

func (f *fleet) settle(limit time.Duration) time.Duration {
	start := time.Now()
	for !f.settled() && time.Since(start) < limit {
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(start)
}
