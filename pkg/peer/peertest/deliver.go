package peertest

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer"
)

type answer struct {
	data []byte
	err  error
}

// deliver carries one copy of a request to its target and the answer back. The
// handler runs even after the caller's context has ended, because a request that
// is already on a real network cannot be recalled.
func (s *Node) deliver(caller context.Context, delay time.Duration, to peer.InstanceID, service string, data []byte, answers chan<- answer) {
	ctx := context.WithoutCancel(caller)
	s.sleep(ctx, delay)
	target := s.net.node(to)
	if target == nil {
		s.sleep(ctx, delay)
		answers <- answer{err: s.net.absent(to)}
		return
	}
	select {
	case <-target.unpaused():
	case <-target.crashed:
		return
	}
	a := target.handle(caller, s.id, service, data)
	size := len(a.data)
	// As in the real transport, an answer that the budget does not admit before the deadline is dropped.
	if target.accountSend(caller, size) != nil {
		return
	}
	back := s.net.drawDelivery(to, s.id)
	s.sleep(ctx, back.delay)
	select {
	case <-target.crashed:
		return
	default:
	}
	if back.lost {
		return
	}
	if s.waitRunning(ctx) != nil {
		return
	}
	s.meter.AddReceived(peer.TrafficOf(ctx), size+frameOverhead)
	answers <- a
}

// unpaused returns a channel that is closed while the node is not paused.
func (s *Node) unpaused() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// handle runs the handler of a service with the caller's deadline, but not its cancellation.
func (s *Node) handle(caller context.Context, from peer.InstanceID, service string, data []byte) answer {
	s.meter.AddReceived(peer.TrafficOf(caller), len(data)+len(service)+frameOverhead)
	h := s.handler(service)
	if h == nil {
		return answer{err: unavailable(peer.ErrUnknownService)}
	}
	ctx := context.WithoutCancel(caller)
	if deadline, ok := caller.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	response, err := h(ctx, from, data)
	if err != nil {
		return answer{err: asRemoteError(err)}
	}
	out, err := proto.Marshal(response)
	if err != nil {
		return answer{err: fault.Wrap(fault.Internal, err, "the answer cannot be encoded", "report this defect")}
	}
	return answer{data: out}
}

// asRemoteError returns the part of an error that the real transport encodes: kind, message and remedy.
func asRemoteError(err error) error {
	if e, ok := fault.As(err); ok {
		return fault.New(e.Kind, e.Message, e.Remedy)
	}
	return fault.New(fault.Internal, err.Error(), "report this defect")
}
