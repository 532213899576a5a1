package placement

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// fakeNet is an in-memory network with latency between instances.
type fakeNet struct {
	mu    sync.Mutex
	nodes map[peer.InstanceID]*fakeNode
	down  map[peer.InstanceID]bool
	live  []Instance
}

type fakeNode struct {
	net     *fakeNet
	id      peer.InstanceID
	handler peer.Handler
}

var _ peer.Transport = (*fakeNode)(nil)

func (n *fakeNode) Self() peer.InstanceID                 { return n.id }
func (n *fakeNode) Handle(_ string, h peer.Handler)       { n.handler = h }
func (*fakeNode) HandleStream(string, peer.StreamHandler) {}
func (*fakeNode) Open(context.Context, peer.InstanceID, string) (net.Conn, error) {
	return nil, fault.New(fault.Unavailable, "no streams", "")
}

func (n *fakeNode) Call(ctx context.Context, to peer.InstanceID, _ string, request, _ proto.Message) error {
	data, err := proto.Marshal(request)
	if err != nil {
		return err
	}
	time.Sleep(100 * time.Microsecond)
	n.net.mu.Lock()
	down := n.net.down[to]
	n.net.mu.Unlock()
	if down {
		return fault.New(fault.Unavailable, "the instance is gone", "")
	}
	_, err = n.net.nodes[to].handler(ctx, n.id, data)
	return err
}

func (f *fakeNet) instances() []Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.live
}

// removeInstance makes an instance unreachable; notice is the time until it is
// removed from the live instances.
func (f *fakeNet) removeInstance(id peer.InstanceID, notice time.Duration) {
	f.mu.Lock()
	f.down[id] = true
	f.mu.Unlock()
	time.Sleep(notice)
	f.mu.Lock()
	defer f.mu.Unlock()
	var live []Instance
	for _, i := range f.live {
		if i.ID != id {
			live = append(live, i)
		}
	}
	f.live = live
}

// loadGenerator sends requests and counts the running ones for each upstream.
type loadGenerator struct {
	mu       sync.Mutex
	running  map[string]int
	max      int
	failures []error
}

// request acquires a permit, holds it and returns it.
func (l *loadGenerator) request(ctx context.Context, s *Service, hold time.Duration) {
	p, err := s.Acquire(ctx, Request{Pool: "p"})
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.failures = append(l.failures, err)
		return
	}
	id := p.Upstream().ID
	l.running[id]++
	l.max = max(l.max, l.running[id])
	l.mu.Unlock()
	time.Sleep(hold)
	l.mu.Lock()
	l.running[id]--
	p.Done(Outcome{Latency: hold})
}

// Guards against a Service that loses requests, exceeds the slots or does not
// recover when the instance that runs the broker is lost.
func TestServiceSurvivesTheLossOfItsBroker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		pool := table.Pool{Name: "p", Slots: 2, Upstreams: []table.Upstream{{ID: "a", Region: "r", FailureDomain: "d"}, {ID: "b", Region: "r", FailureDomain: "d"}}}
		tables := table.NewTables(1, nil, []table.Pool{pool})
		f := &fakeNet{nodes: map[peer.InstanceID]*fakeNode{}, down: map[peer.InstanceID]bool{},
			live: []Instance{{"e0/1", "r", "d"}, {"e1/1", "r", "d"}, {"e2/1", "r", "d"}}}
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(time.Second) // lets messages in transit be delivered
		defer cancel()
		services := map[peer.InstanceID]*Service{}
		for _, i := range f.live {
			f.nodes[i.ID] = &fakeNode{net: f, id: i.ID}
			services[i.ID] = NewService(f.nodes[i.ID], Config{Region: "r", FailureDomain: "d",
				Tables: func() *table.Tables { return tables }, Instances: f.instances}, logr.Discard())
		}
		for _, s := range services {
			go func() { _ = s.Run(ctx) }()
		}
		l := &loadGenerator{running: map[string]int{}}
		burst := func(gone peer.InstanceID) {
			var g sync.WaitGroup
			for id, s := range services {
				if id != gone {
					for range 5 {
						g.Go(func() { l.request(ctx, s, 10*time.Millisecond) })
					}
				}
			}
			g.Wait()
		}
		time.Sleep(50 * time.Millisecond)
		burst("")
		burst("")
		is.Equal(len(l.failures), 0)
		is.Equal(l.max, 2)

		broker, _ := BrokerOf("p", "d", f.live)
		go f.removeInstance(broker, 300*time.Millisecond)
		time.Sleep(time.Millisecond)
		burst(broker) // placed within the static share; requests beyond it are refused
		is.True(l.max <= 2)
		time.Sleep(500 * time.Millisecond)
		l.failures = nil
		burst(broker)
		burst(broker)
		is.Equal(len(l.failures), 0)
		is.True(l.max <= 2)
	})
}
