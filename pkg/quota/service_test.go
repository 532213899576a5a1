package quota

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/internal/fake"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
)

// fixedRoles makes one instance the allocator of all resources.
type fixedRoles struct {
	allocator peer.InstanceID
	loaded    time.Time
}

func (r fixedRoles) Allocator(string) (peer.InstanceID, bool) { return r.allocator, true }

func (r fixedRoles) Authority(string) Authority {
	return &fixedAuthority{epoch: 1, loaded: r.loaded}
}

func constantLimit(limit int) LimitFunc { return func(string) (int, bool) { return limit, true } }

// startClients runs an allocator on the instance a/1 and a client on each of the given ones.
func startClients(t *testing.T, ctx context.Context, n *fake.Network, limit int, ids ...peer.InstanceID) []*Client {
	is := is.New(t)
	roles := fixedRoles{"a/1", time.Now().Add(-time.Hour)}
	server, err := NewServer(n.Transport("a/1"), roles, constantLimit(limit), DefaultSettings(), logr.Discard())
	is.NoErr(err)
	go func() { _ = server.Run(ctx) }()
	var clients []*Client
	for _, id := range ids {
		var local *Server
		if id == "a/1" {
			local = server
		}
		c, err := NewClient(n.Transport(id), roles, local, DefaultSettings(), logr.Discard())
		is.NoErr(err)
		clients = append(clients, c)
		go func() { _ = c.Run(ctx) }()
	}
	return clients
}

// Guards against a client that sends no request, does not renew while work runs, keeps
// units while idle, or lets one unit be used twice.
func TestClientsShareOneUnit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := startClients(t, ctx, fake.NewNetwork(), 1, "a/1", "b/1")
		ga, gb := c[0].Gate("x", 0), c[1].Gate("x", 0)
		_, ok := ga.Acquire(time.Now())
		is.True(!ok) // no grant yet; the denied permit makes the client send a request
		time.Sleep(time.Millisecond)
		p, ok := ga.Acquire(time.Now())
		is.True(ok)
		for range 100 { // 10 s, during which the grant is renewed several times
			_, ok = gb.Acquire(time.Now())
			is.True(!ok)
			time.Sleep(100 * time.Millisecond)
		}
		select {
		case <-p.Revoked():
			t.Fatal("the permit was revoked although the allocator was reachable")
		default:
		}
		p.Done()
		time.Sleep(time.Second)
		_, _ = gb.Acquire(time.Now())
		time.Sleep(time.Second)
		is.Equal(c[1].Limit("x"), 1)
		cancel()
		synctest.Wait()
	})
}

// Guards against work that continues after the allocator has released its units.
func TestPartitionedHolderRevokesItsPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		n := fake.NewNetwork()
		var partitioned atomic.Bool
		n.ShouldDrop = func(peer.InstanceID, peer.InstanceID, string) bool { return partitioned.Load() }
		c := startClients(t, ctx, n, 1, "a/1", "b/1")
		g := c[1].Gate("x", 0)
		_, _ = g.Acquire(time.Now())
		time.Sleep(time.Millisecond)
		p, ok := g.Acquire(time.Now())
		is.True(ok)
		partitioned.Store(true)
		s := DefaultSettings()
		time.Sleep(s.WorkBound)
		select {
		case <-p.Revoked():
			t.Fatal("the permit was revoked within the work bound")
		default:
		}
		time.Sleep(s.Lifetime)
		select {
		case <-p.Revoked():
		default:
			t.Fatal("the permit of a partitioned holder was not revoked")
		}
		p.Done()
		cancel()
		synctest.Wait()
	})
}

// Guards against grants that survive a stopped clock, for example after a suspend.
func TestForfeitDropsGrants(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	s := DefaultSettings()
	h := NewHolder(s, NewGate(now, 0))
	r := h.Request(now)
	h.Receive(now, Reply{Sequence: r.Sequence, Epoch: 1, Granted: true, Units: 2})
	p, ok := h.Gate().Acquire(now)
	is.True(ok)
	h.Forfeit(now, time.Second)
	_, ok = h.Gate().Acquire(now)
	is.True(!ok)
	select {
	case <-p.Revoked():
		t.Fatal("the permit was revoked after a short stop")
	default:
	}
	h.Forfeit(now, s.Lifetime+s.WorkBound)
	<-p.Revoked()
}

// Guards against panics and overflow on messages of faulty or newer instances.
func FuzzGrantRequest(f *testing.F) {
	good, _ := proto.Marshal(&peerpb.GrantRequest{Items: []*peerpb.GrantRequestItem{requestToItem("x", Request{1, 2, 3})}})
	huge, _ := proto.Marshal(&peerpb.GrantRequest{Items: []*peerpb.GrantRequestItem{{Resource: "x", Held: 1<<32 - 1, Want: 1<<32 - 1, Sequence: 1<<64 - 1}}})
	for _, seed := range [][]byte{nil, good, huge, {0x0a, 0xff}, append(good, 0x78, 1)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		roles := fixedRoles{"a/1", time.Unix(0, 0)}
		s, err := NewServer(fake.NewNetwork().Transport("a/1"), roles, constantLimit(3), DefaultSettings(), logr.Discard())
		if err != nil {
			t.Fatal(err)
		}
		reply, err := s.handle(t.Context(), "b/1", data)
		if err != nil {
			return
		}
		for _, item := range reply.(*peerpb.GrantReply).Items {
			if r := replyFromItem(item); r.Units > 3 {
				t.Fatalf("%d units granted of 3", r.Units)
			}
		}
	})
}
