// Package fake provides in-memory fakes of the peer transport and the store, and
// free loopback addresses, for tests and examples. Delays use the time package, so
// they take no real time under testing/synctest.
package fake

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer"
)

// Network connects fake transports in one process. It can delay and lose messages.
type Network struct {
	// Delay is the one-way latency.
	Delay time.Duration
	// ShouldDrop is called for each request and each response and returns whether the message
	// is lost; nil loses none. It must be set before the first call.
	ShouldDrop func(from, to peer.InstanceID, service string) bool

	calls       atomic.Int64
	mu          sync.Mutex
	peers       map[peer.InstanceID]*Transport
	partitioned func(from, to peer.InstanceID) bool
}

// Transport is the fake transport of one instance.
type Transport struct {
	network  *Network
	self     peer.InstanceID
	mu       sync.Mutex
	handlers map[string]peer.Handler
}

var _ peer.Transport = (*Transport)(nil)

// NewNetwork returns a network without instances.
func NewNetwork() *Network { return &Network{peers: make(map[peer.InstanceID]*Transport)} }

// Join adds an instance and returns its transport. It replaces the transport of an
// instance that has joined with the same ID.
func (n *Network) Join(id peer.InstanceID) *Transport {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := &Transport{network: n, self: id, handlers: make(map[string]peer.Handler)}
	n.peers[id] = t
	return t
}

// Transport returns the transport of an instance and adds the instance if it has not joined.
func (n *Network) Transport(id peer.InstanceID) *Transport {
	n.mu.Lock()
	t := n.peers[id]
	n.mu.Unlock()
	if t == nil {
		t = n.Join(id)
	}
	return t
}

// Calls returns the number of calls that all instances have made.
func (n *Network) Calls() int { return int(n.calls.Load()) }

// Leave removes an instance. Messages to it are lost.
func (n *Network) Leave(id peer.InstanceID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.peers, id)
}

// SetPartition partitions the network: messages for which partitioned returns true are lost. A nil
// function ends the partition.
func (n *Network) SetPartition(partitioned func(from, to peer.InstanceID) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = partitioned
}

// route returns the transport of the receiver, or nil when the message is lost.
func (n *Network) route(from, to peer.InstanceID, service string) *Transport {
	if n.ShouldDrop != nil && n.ShouldDrop(from, to, service) {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.partitioned != nil && n.partitioned(from, to) {
		return nil
	}
	return n.peers[to]
}

// Self implements peer.Transport.
func (t *Transport) Self() peer.InstanceID { return t.self }

// Handle implements peer.Transport.
func (t *Transport) Handle(service string, h peer.Handler) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handlers[service] = h
}

// HandleStream implements peer.Transport; streams are not supported.
func (t *Transport) HandleStream(string, peer.StreamHandler) {}

// Open implements peer.Transport; streams are not supported, so it fails.
func (t *Transport) Open(context.Context, peer.InstanceID, string) (net.Conn, error) {
	return nil, fault.New(fault.Unavailable, "the fake network does not support streams", "use the real transport")
}

// Call implements peer.Transport. It returns fault.Unavailable when the request is
// lost and fault.OutcomeUnknown when the response is lost.
func (t *Transport) Call(ctx context.Context, to peer.InstanceID, service string, request, response proto.Message) error {
	data, err := proto.Marshal(request)
	if err != nil {
		return err
	}
	if err := sleep(ctx, t.network.Delay); err != nil {
		return err
	}
	t.network.calls.Add(1)
	target := t.network.route(t.self, to, service)
	if target == nil {
		return fault.Newf(fault.Unavailable, "end the partition", "%s cannot be reached", to)
	}
	reply, err := target.dispatch(ctx, t.self, service, data)
	if err != nil {
		return err
	}
	if err := sleep(ctx, t.network.Delay); err != nil {
		return err
	}
	if t.network.route(to, t.self, service) == nil {
		return fault.Newf(fault.OutcomeUnknown, "end the partition", "the response of %s was lost", to)
	}
	data, err = proto.Marshal(reply)
	if err != nil {
		return err
	}
	return proto.Unmarshal(data, response)
}

// dispatch calls the handler of the service.
func (t *Transport) dispatch(ctx context.Context, from peer.InstanceID, service string, request []byte) (proto.Message, error) {
	t.mu.Lock()
	h := t.handlers[service]
	t.mu.Unlock()
	if h == nil {
		return nil, fault.Newf(fault.Unavailable, "register the service", "%s has no service %q", t.self, service)
	}
	return h(ctx, from, request)
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return fault.Wrap(fault.OutcomeUnknown, ctx.Err(), "the call was cancelled or timed out", "allow more time")
	case <-time.After(d):
		return nil
	}
}
