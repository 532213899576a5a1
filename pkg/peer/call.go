package peer

import (
	"context"
	"sync/atomic"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
)

// States of a call. Exactly one of the writer and the caller moves a call out of
// callQueued. A call that is abandoned before it was written fails with
// Unavailable, one that is abandoned afterwards with OutcomeUnknown.
const (
	// callQueued means that the request waits to be written.
	callQueued int32 = iota
	// callWritten means that the writer has taken the request from the queue to write it.
	callWritten
	// callAbandoned means that the caller abandoned the call before the request was written.
	callAbandoned
)

type call struct {
	id     uint64
	state  atomic.Int32
	result chan *peerpb.Response
}

// markWritten moves a queued call to callWritten and reports whether it did; an abandoned request is not written.
func (c *call) markWritten() bool { return c.state.CompareAndSwap(callQueued, callWritten) }

// abandon ends the call without an answer and returns its error.
func (c *call) abandon(cause error) error {
	if c.state.CompareAndSwap(callQueued, callAbandoned) {
		return unavailable(cause)
	}
	return fault.Wrap(fault.OutcomeUnknown, cause, "no answer came", "find out whether the request was handled before repeating it")
}

func unavailable(cause error) error {
	return fault.Wrap(fault.Unavailable, cause, "the request was not handed over", "try another instance or try again later")
}

// outgoing is one encoded frame in a channel's queue; call is set for requests.
type outgoing struct {
	frame []byte
	call  *call
}

// newCall registers a pending call under a new ID.
func (s *session) newCall() *call {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	c := &call{id: s.nextID, result: make(chan *peerpb.Response, 1)}
	s.pending[c.id] = c
	return c
}

func (s *session) endCall(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, c.id)
}

func (s *session) completeCall(r *peerpb.Response) {
	s.mu.Lock()
	c := s.pending[r.Id]
	delete(s.pending, r.Id)
	s.mu.Unlock()
	if c != nil {
		c.result <- r
	}
}

// call sends one request and waits for its answer.
func (s *session) call(ctx context.Context, service string, payload []byte) (*peerpb.Response, error) {
	ch, err := s.channel(TrafficOf(ctx))
	if err != nil {
		return nil, unavailable(err)
	}
	c := s.newCall()
	defer s.endCall(c)
	data, err := encodeFrame(&peerpb.Frame{Kind: &peerpb.Frame_Request{Request: &peerpb.Request{
		Id: c.id, Service: service, TimeoutUs: timeoutMicros(ctx), Payload: payload,
	}}}, s.limit())
	if err != nil {
		return nil, err
	}
	if err := ch.enqueue(outgoing{data, c}); err != nil {
		return nil, err
	}
	select {
	case r := <-c.result:
		return r, nil
	case <-ctx.Done():
		err := c.abandon(ctx.Err())
		ch.cancel(c, ctx.Err())
		return nil, err
	case <-ch.done:
	}
	select {
	case r := <-c.result:
		return r, nil
	default:
		return nil, c.abandon(errClosed)
	}
}
