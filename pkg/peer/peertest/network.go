// Package peertest is an in-memory network of peer transports for tests. Calls
// can be delayed, lost and duplicated, and instances can be partitioned, paused and
// crashed. It uses only timers and channels, so in a testing/synctest bubble it runs
// in virtual time, and all random choices come from the seed.
//
// A lost message gives its caller an OutcomeUnknown fault when its context ends,
// as a broken connection would; a call to an absent instance gives Unavailable
// after one round trip. Bytes on an open stream are not delayed: the latency applies
// only to opening it. A partition closes the streams across it.
package peertest

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/turmericsail/turmericsail/pkg/peer"
)

// Faults are the faults injected into each message. Requests and answers are separate messages.
type Faults struct {
	// Loss is the probability that a message is lost.
	Loss float64
	// Duplicate is the probability that a request is delivered twice.
	Duplicate float64
	// Jitter is the upper bound of a random additional delay, so that messages are reordered.
	Jitter time.Duration
}

// DefaultTimeout bounds each call whose context has no earlier deadline.
const DefaultTimeout = 10 * time.Second

// Network connects nodes and injects faults between them.
type Network struct {
	mu          sync.Mutex
	random      *rand.Rand
	nodes       map[peer.InstanceID]*Node
	addresses   map[peer.InstanceID]string // also of nodes that were removed
	latency     func(from, to peer.InstanceID) time.Duration
	partitioned func(from, to peer.InstanceID) bool
	faults      Faults
}

// New returns a network with a latency of 1 ms and without faults.
func New(seed uint64) *Network {
	return &Network{
		random:      rand.New(rand.NewPCG(seed, 1)),
		nodes:       map[peer.InstanceID]*Node{},
		addresses:   map[peer.InstanceID]string{},
		latency:     func(_, _ peer.InstanceID) time.Duration { return time.Millisecond },
		partitioned: func(_, _ peer.InstanceID) bool { return false },
	}
}

// SetLatency sets the one-way delay between instances.
func (n *Network) SetLatency(f func(from, to peer.InstanceID) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.latency = f
}

// SetFaults replaces the injected faults.
func (n *Network) SetFaults(f Faults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = f
}

// SetPartition partitions the network: messages from one instance to another for which f is true are
// dropped, and the streams between them are closed.
func (n *Network) SetPartition(f func(from, to peer.InstanceID) bool) {
	n.mu.Lock()
	n.partitioned = f
	nodes := make([]*Node, 0, len(n.nodes))
	for _, node := range n.nodes {
		nodes = append(nodes, node)
	}
	n.mu.Unlock()
	for _, node := range nodes {
		node.closeStreams(func(other peer.InstanceID) bool { return f(node.id, other) || f(other, node.id) })
	}
}

// Heal removes the partition.
func (n *Network) Heal() {
	n.SetPartition(func(_, _ peer.InstanceID) bool { return false })
}

// Join adds an instance that listens at address and removes an earlier instance with that address.
func (n *Network) Join(id peer.InstanceID, address string) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	for old, node := range n.nodes {
		if node.address == address {
			delete(n.nodes, old)
		}
	}
	node := newNode(n, id, address)
	n.nodes[id] = node
	n.addresses[id] = address
	return node
}

// Crash removes an instance; its outstanding answers are lost.
func (n *Network) Crash(id peer.InstanceID) {
	n.mu.Lock()
	node := n.nodes[id]
	delete(n.nodes, id)
	n.mu.Unlock()
	if node != nil {
		node.crash()
	}
}

// Pause delays all messages to and from an instance until Resume.
func (n *Network) Pause(id peer.InstanceID) {
	if node := n.node(id); node != nil {
		node.pause()
	}
}

// Resume ends a pause and delivers the delayed messages.
func (n *Network) Resume(id peer.InstanceID) {
	if node := n.node(id); node != nil {
		node.resume()
	}
}

func (n *Network) node(id peer.InstanceID) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[id]
}

func (n *Network) nodeAt(address string) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, node := range n.nodes {
		if node.address == address {
			return node
		}
	}
	return nil
}

// absent returns why an instance cannot be called: it is not there, or another incarnation has its address.
func (n *Network) absent(id peer.InstanceID) error {
	n.mu.Lock()
	address, known := n.addresses[id]
	n.mu.Unlock()
	if known && n.nodeAt(address) != nil {
		return unavailable(peer.ErrOtherIncarnation)
	}
	return unavailable(nil)
}

// delivery is the delay and the faults chosen for one message.
type delivery struct {
	delay      time.Duration
	lost       bool
	duplicated bool
}

// drawDelivery chooses the delay and the faults of one message.
func (n *Network) drawDelivery(from, to peer.InstanceID) delivery {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := delivery{delay: n.latency(from, to), lost: n.partitioned(from, to)}
	if n.faults.Jitter > 0 {
		f.delay += time.Duration(n.random.Int64N(int64(n.faults.Jitter)))
	}
	if n.faults.Loss > 0 && n.random.Float64() < n.faults.Loss {
		f.lost = true
	}
	f.duplicated = n.faults.Duplicate > 0 && n.random.Float64() < n.faults.Duplicate
	return f
}
