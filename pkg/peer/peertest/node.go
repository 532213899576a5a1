package peertest

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer"
)

// frameOverhead is the assumed size in bytes of a frame without its service name and payload.
const frameOverhead = 24

// Node is the transport of one instance in a Network.
type Node struct {
	net         *Network
	id          peer.InstanceID
	address     string
	meter       peer.Meter
	budget      *peer.Budget
	mu          sync.Mutex
	handlers    map[string]peer.Handler
	streams     map[string]peer.StreamHandler
	streamPeers map[net.Conn]peer.InstanceID
	running     chan struct{} // closed while the node is not paused
	crashed     chan struct{}
}

var _ peer.Transport = (*Node)(nil)

func newNode(n *Network, id peer.InstanceID, address string) *Node {
	running := make(chan struct{})
	close(running)
	return &Node{
		net: n, id: id, address: address,
		handlers: map[string]peer.Handler{}, streams: map[string]peer.StreamHandler{},
		streamPeers: map[net.Conn]peer.InstanceID{}, running: running, crashed: make(chan struct{}),
	}
}

// Self implements peer.Transport.
func (s *Node) Self() peer.InstanceID { return s.id }

// Address returns the address that the node listens on.
func (s *Node) Address() string { return s.address }

// Meter returns the counters of the node's messages.
func (s *Node) Meter() *peer.Meter { return &s.meter }

// SetBudget applies a byte budget to the control traffic that the node sends from now on.
func (s *Node) SetBudget(b *peer.Budget) { s.budget = b }

// Handle implements peer.Transport.
func (s *Node) Handle(service string, h peer.Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[service] = h
}

// HandleStream implements peer.Transport.
func (s *Node) HandleStream(service string, h peer.StreamHandler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[service] = h
}

// Dial returns the ID of the instance that listens at address.
func (s *Node) Dial(ctx context.Context, address string) (peer.InstanceID, error) {
	if err := s.waitRunning(ctx); err != nil {
		return "", unavailable(err)
	}
	to := s.net.nodeAt(address)
	if to == nil {
		s.sleep(ctx, time.Millisecond)
		return "", unavailable(nil)
	}
	there, back := s.net.drawDelivery(s.id, to.id), s.net.drawDelivery(to.id, s.id)
	s.sleep(ctx, there.delay+back.delay)
	if there.lost || back.lost {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return "", unavailable(ctx.Err())
	}
	return to.id, nil
}

// Open implements peer.Transport.
func (s *Node) Open(ctx context.Context, to peer.InstanceID, service string) (net.Conn, error) {
	target := s.net.node(to)
	f := s.net.drawDelivery(s.id, to)
	s.sleep(ctx, f.delay)
	if target == nil || f.lost || ctx.Err() != nil {
		return nil, unavailable(ctx.Err())
	}
	target.mu.Lock()
	h := target.streams[service]
	target.mu.Unlock()
	if h == nil {
		return nil, unavailable(peer.ErrUnknownService)
	}
	near, far := net.Pipe()
	s.trackStream(near, to)
	target.trackStream(far, s.id)
	go func() {
		defer target.untrackStream(far)
		h(s.id, far)
	}()
	return near, nil
}

func (s *Node) trackStream(c net.Conn, other peer.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streamPeers[c] = other
}

func (s *Node) untrackStream(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streamPeers, c)
}

func (s *Node) closeStreams(match func(peer.InstanceID) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, other := range s.streamPeers {
		if match(other) {
			c.Close()
			delete(s.streamPeers, c)
		}
	}
}

func (s *Node) crash() {
	close(s.crashed)
	s.closeStreams(func(peer.InstanceID) bool { return true })
}

func (s *Node) pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.running:
		s.running = make(chan struct{})
	default:
	}
}

func (s *Node) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.running:
	default:
		close(s.running)
	}
}

var errCrashed = errors.New("the instance has crashed")

// waitRunning blocks while the node is paused. It returns an error when the node crashes or ctx ends.
func (s *Node) waitRunning(ctx context.Context) error {
	s.mu.Lock()
	running := s.running
	s.mu.Unlock()
	select {
	case <-running:
		return nil
	case <-s.crashed:
		return errCrashed
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Node) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (s *Node) handler(service string) peer.Handler {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handlers[service]
}

func unavailable(cause error) error {
	return fault.Wrap(fault.Unavailable, cause, "the instance cannot be reached", "try another instance or try again later")
}

func outcomeUnknown(cause error) error {
	return fault.Wrap(fault.OutcomeUnknown, cause, "no answer came", "find out whether the request was handled before repeating it")
}

// Call implements peer.Transport.
func (s *Node) Call(ctx context.Context, to peer.InstanceID, service string, request, response proto.Message) error {
	data, err := proto.Marshal(request)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "the request cannot be encoded", "report this defect")
	}
	ctx, cancel := context.WithTimeout(ctx, DefaultTimeout)
	defer cancel()
	if err := s.waitRunning(ctx); err != nil {
		return unavailable(err)
	}
	if err := s.accountSend(ctx, len(data)+len(service)); err != nil {
		return err
	}
	answers := make(chan answer, 2)
	f := s.net.drawDelivery(s.id, to)
	if !f.lost {
		go s.deliver(ctx, f.delay, to, service, data, answers)
	}
	if f.duplicated && !f.lost {
		go s.deliver(ctx, f.delay+s.net.drawDelivery(s.id, to).delay, to, service, data, answers)
	}
	select {
	case a := <-answers:
		if a.err != nil {
			return a.err
		}
		if err := proto.Unmarshal(a.data, response); err != nil {
			return fault.Wrap(fault.OutcomeUnknown, err, "the answer cannot be decoded", "compare the releases of the two instances")
		}
		return nil
	case <-ctx.Done():
		return outcomeUnknown(ctx.Err())
	}
}

// accountSend waits for the budget of control traffic and counts a sent message.
func (s *Node) accountSend(ctx context.Context, bytes int) error {
	t := peer.TrafficOf(ctx)
	if t == peer.Control && s.budget != nil {
		if err := s.budget.Wait(ctx, bytes+frameOverhead); err != nil {
			return err
		}
	}
	s.meter.AddSent(t, bytes+frameOverhead)
	return nil
}
