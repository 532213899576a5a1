package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
)

var errClosed = errors.New("the connection was closed")

const (
	// writeBuffer is the size in bytes up to which small frames are combined into one write.
	writeBuffer = 16 << 10
	// readBuffer is the size in bytes of the buffer that frames are read through.
	readBuffer = 16 << 10
)

// channel carries the calls that one side makes with one kind of traffic. Each
// kind of traffic has its own channel, so that a large control message does not
// block the call path.
type channel struct {
	s       *session
	stream  net.Conn
	traffic Traffic
	queue   chan outgoing
	done    chan struct{}
	once    sync.Once
	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
}

func newChannel(s *session, stream net.Conn, t Traffic) *channel {
	return &channel{
		s: s, stream: stream, traffic: t, queue: make(chan outgoing, s.t.settings.QueueLength),
		done: make(chan struct{}), cancels: map[uint64]context.CancelFunc{},
	}
}

// run reads and writes until the stream ends.
func (ch *channel) run() {
	go ch.writeLoop()
	ch.readLoop()
	ch.close()
}

func (ch *channel) close() {
	ch.once.Do(func() {
		close(ch.done)
		ch.stream.Close()
		ch.s.removeChannel(ch)
		ch.mu.Lock()
		defer ch.mu.Unlock()
		for _, cancel := range ch.cancels {
			cancel()
		}
	})
}

// enqueue queues a frame without blocking. A full queue gives an Exhausted fault.
func (ch *channel) enqueue(o outgoing) error {
	select {
	case <-ch.done:
		return unavailable(errClosed)
	default:
	}
	select {
	case ch.queue <- o:
		return nil
	default:
		return fault.New(fault.Exhausted, "the queue to the instance is full", "try another instance or send less")
	}
}

func (ch *channel) writeLoop() {
	defer ch.close()
	w := bufio.NewWriterSize(ch.stream, writeBuffer)
	for {
		select {
		case <-ch.done:
			return
		case o := <-ch.queue:
			if o.call != nil && !o.call.markWritten() {
				continue
			}
			ch.s.t.meter.AddSent(ch.traffic, len(o.frame))
			if _, err := w.Write(o.frame); err != nil {
				return
			}
			if len(ch.queue) == 0 && w.Flush() != nil {
				return
			}
		}
	}
}

func (ch *channel) readLoop() {
	r := bufio.NewReaderSize(ch.stream, readBuffer)
	for {
		f, size, err := readFrame(r, ch.s.limit())
		if errors.Is(err, errSkipped) {
			ch.s.t.skipped.Add(1)
			continue
		}
		if err != nil {
			return
		}
		ch.s.t.meter.AddReceived(ch.traffic, size)
		ch.s.touch()
		switch k := f.Kind.(type) {
		case *peerpb.Frame_Request:
			ch.serve(k.Request)
		case *peerpb.Frame_Response:
			ch.s.completeCall(k.Response)
		case *peerpb.Frame_Cancel:
			ch.cancelHandler(k.Cancel.Id)
		default:
			ch.s.t.skipped.Add(1)
		}
	}
}

// serve starts the handler of a request. A request for an unknown service or above MaxHandlers is answered with an error at once.
func (ch *channel) serve(r *peerpb.Request) {
	h := ch.s.t.handler(r.Service)
	if h == nil {
		err := fault.Wrap(fault.Unavailable, ErrUnknownService, "this instance has no service "+r.Service, "use an instance with a newer release")
		ch.reply(context.Background(), r.Id, nil, err)
		return
	}
	select {
	case ch.s.handlers <- struct{}{}:
	default:
		ch.reply(context.Background(), r.Id, nil, fault.New(fault.Exhausted, "too many calls are being handled", "try another instance or send less"))
		return
	}
	ctx, cancel := ch.handlerContext(r.TimeoutUs)
	ch.mu.Lock()
	ch.cancels[r.Id] = cancel
	ch.mu.Unlock()
	go func() {
		defer func() { <-ch.s.handlers }()
		defer ch.cancelHandler(r.Id)
		response, err := h(ctx, ch.s.peer, r.Payload)
		ch.reply(ctx, r.Id, response, err)
	}()
}

func (ch *channel) handlerContext(timeoutUs uint64) (context.Context, context.CancelFunc) {
	timeout := ch.s.t.settings.CallTimeout.Std()
	if timeoutUs > 0 && timeoutUs < uint64(maxTimeout/time.Microsecond) {
		timeout = time.Duration(timeoutUs) * time.Microsecond
	}
	return context.WithTimeout(WithTraffic(context.Background(), ch.traffic), timeout)
}

func (ch *channel) cancelHandler(id uint64) {
	ch.mu.Lock()
	cancel := ch.cancels[id]
	delete(ch.cancels, id)
	ch.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// reply queues an answer. An answer that the budget does not admit before the
// caller's deadline is dropped, since the caller has timed out by then.
func (ch *channel) reply(ctx context.Context, id uint64, response proto.Message, err error) {
	out := &peerpb.Response{Id: id}
	if err == nil {
		out.Payload, err = proto.Marshal(response)
	}
	if err != nil {
		out.Error = encodeError(err)
	}
	data, err := encodeFrame(&peerpb.Frame{Kind: &peerpb.Frame_Response{Response: out}}, ch.s.limit())
	if err != nil {
		out.Payload, out.Error = nil, encodeError(err)
		data, _ = encodeFrame(&peerpb.Frame{Kind: &peerpb.Frame_Response{Response: out}}, ch.s.limit())
	}
	if ch.s.t.admit(ctx, ch.traffic, len(data)) != nil {
		return
	}
	select {
	case ch.queue <- outgoing{frame: data}:
	case <-ch.done:
	case <-ctx.Done():
	}
}

// cancel notifies the other side that the caller cancelled a written call. No notification is
// sent for a deadline, which the request already carried.
func (ch *channel) cancel(c *call, cause error) {
	if c.state.Load() != callWritten || errors.Is(cause, context.DeadlineExceeded) {
		return
	}
	data, err := encodeFrame(&peerpb.Frame{Kind: &peerpb.Frame_Cancel{Cancel: &peerpb.Cancel{Id: c.id}}}, ch.s.limit())
	if err == nil {
		_ = ch.enqueue(outgoing{frame: data})
	}
}
