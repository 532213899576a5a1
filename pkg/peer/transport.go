package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/pkg/fault"
)

const (
	// maxHandshakes is the number of accepted connections that may be in the handshake at the same time.
	maxHandshakes = 64
	// reapInterval is the time between two checks for unused connections.
	reapInterval = time.Second
	// retireGrace is how long the redundant one of two connections stays open, so that
	// the other side can move its calls to the preferred one.
	retireGrace = 2 * time.Second
)

var errSelf = errors.New("the address belongs to this instance")

// TCPTransport is the Transport over TCP, with TLS when it is configured.
type TCPTransport struct {
	settings    Settings
	log         logr.Logger
	budget      *Budget
	meter       Meter
	skipped     atomic.Uint64
	established atomic.Uint64
	resolver    atomic.Pointer[func(InstanceID) (string, bool)]
	ctx         context.Context
	stop        context.CancelFunc

	mu       sync.RWMutex
	handlers map[string]Handler
	streams  map[string]StreamHandler
	links    map[InstanceID]*link
	sessions map[*session]struct{}
}

var _ Transport = (*TCPTransport)(nil)

// New returns a transport. It receives calls only while Run is running.
func New(settings Settings, log logr.Logger) (*TCPTransport, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	return &TCPTransport{
		settings: settings.withDefaults(), log: log, ctx: ctx, stop: stop,
		budget:   NewBudget(int(settings.ControlRate), int(settings.ControlBurst)),
		handlers: map[string]Handler{}, streams: map[string]StreamHandler{},
		links: map[InstanceID]*link{}, sessions: map[*session]struct{}{},
	}, nil
}

// SetResolver sets the function that gives the address of an instance's peer listener.
func (t *TCPTransport) SetResolver(f func(InstanceID) (string, bool)) { t.resolver.Store(&f) }

func (t *TCPTransport) resolve(id InstanceID) (string, bool) {
	if f := t.resolver.Load(); f != nil {
		return (*f)(id)
	}
	return "", false
}

// Self implements Transport.
func (t *TCPTransport) Self() InstanceID { return t.settings.ID }

// Handle implements Transport.
func (t *TCPTransport) Handle(service string, h Handler) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handlers[service] = h
}

// HandleStream implements Transport.
func (t *TCPTransport) HandleStream(service string, h StreamHandler) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.streams[service] = h
}

func (t *TCPTransport) handler(service string) Handler {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.handlers[service]
}

func (t *TCPTransport) streamHandler(service string) StreamHandler {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.streams[service]
}

func (t *TCPTransport) link(id InstanceID) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.links[id]
	if l == nil {
		l = &link{lastUsed: time.Now()}
		t.links[id] = l
	}
	return l
}

// admit waits until the budget allows a message. Call-path messages do not wait.
func (t *TCPTransport) admit(ctx context.Context, traffic Traffic, bytes int) error {
	if traffic == CallPath {
		return nil
	}
	return t.budget.Wait(ctx, bytes)
}

// timeoutMicros returns the remaining time of ctx in µs, at least 1, or 0 when ctx has no deadline.
func timeoutMicros(ctx context.Context) uint64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return uint64(max(1, time.Until(deadline).Microseconds()))
}

// requestOverhead is the approximate size in bytes of a request without its service name and payload.
const requestOverhead = headerSize + 16

// Call implements Transport.
func (t *TCPTransport) Call(ctx context.Context, to InstanceID, service string, request, response proto.Message) error {
	payload, err := proto.Marshal(request)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "the request cannot be encoded", "report this defect")
	}
	ctx, cancel := context.WithTimeout(ctx, t.callTimeout(ctx))
	defer cancel()
	if to == t.settings.ID {
		return t.callSelf(ctx, service, payload, response)
	}
	s, err := t.session(ctx, to)
	if err != nil {
		return err
	}
	if err := t.admit(ctx, TrafficOf(ctx), requestOverhead+len(service)+len(payload)); err != nil {
		return err
	}
	answer, err := s.call(ctx, service, payload)
	if err != nil {
		return err
	}
	if answer.Error != nil {
		return decodeError(answer.Error)
	}
	return decodeAnswer(answer.Payload, response)
}

func (t *TCPTransport) callTimeout(ctx context.Context) time.Duration {
	if _, ok := ctx.Deadline(); ok {
		return maxTimeout
	}
	return t.settings.CallTimeout.Std()
}

func decodeAnswer(data []byte, response proto.Message) error {
	if err := proto.Unmarshal(data, response); err != nil {
		return fault.Wrap(fault.OutcomeUnknown, err, "the answer cannot be decoded", "compare the releases of the two instances")
	}
	return nil
}

func (t *TCPTransport) callSelf(ctx context.Context, service string, payload []byte, response proto.Message) error {
	h := t.handler(service)
	if h == nil {
		return unavailable(ErrUnknownService)
	}
	answer, err := h(ctx, t.settings.ID, payload)
	if err != nil {
		return err
	}
	data, err := proto.Marshal(answer)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "the answer cannot be encoded", "report this defect")
	}
	return decodeAnswer(data, response)
}

// Open implements Transport.
func (t *TCPTransport) Open(ctx context.Context, to InstanceID, service string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, t.callTimeout(ctx))
	defer cancel()
	s, err := t.session(ctx, to)
	if err != nil {
		return nil, err
	}
	return s.openStream(ctx, service)
}

// Dial connects to an address whose instance is not known yet and returns the instance's ID.
func (t *TCPTransport) Dial(ctx context.Context, address string) (InstanceID, error) {
	if id, ok := t.connectedTo(address); ok {
		return id, nil
	}
	ctx, cancel := context.WithTimeout(ctx, t.settings.ConnectTimeout.Std())
	defer cancel()
	s, err := t.connect(ctx, address)
	if errors.Is(err, errSelf) {
		return t.settings.ID, nil
	}
	if err != nil {
		return "", unavailable(err)
	}
	t.registerSession(s)
	return s.peer, nil
}

func (t *TCPTransport) connectedTo(address string) (InstanceID, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for s := range t.sessions {
		if s.address == address && s.alive() {
			return s.peer, true
		}
	}
	return "", false
}

// Run accepts connections until ctx ends and then closes all of them.
func (t *TCPTransport) Run(ctx context.Context) error {
	defer t.shutdown()
	unlisten := context.AfterFunc(ctx, func() { t.settings.Listener.Close() })
	defer unlisten()
	go t.reapLoop()
	handshakes := make(chan struct{}, maxHandshakes)
	for {
		conn, err := t.settings.Listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return fault.Wrap(fault.Internal, err, "the peer listener was closed", "restart the instance")
		}
		if err != nil {
			t.log.Error(err, "peer connection not accepted")
			time.Sleep(t.settings.BackoffMin.Std())
			continue
		}
		handshakes <- struct{}{}
		go func() {
			defer func() { <-handshakes }()
			t.accept(conn)
		}()
	}
}

func (t *TCPTransport) accept(conn net.Conn) {
	if t.settings.TLS != nil {
		conn = tls.Server(conn, t.settings.TLS)
	}
	s, err := t.handshake(conn, false)
	if err != nil {
		if !errors.Is(err, errSelf) {
			t.log.Info("peer connection refused", "remote", conn.RemoteAddr().String(), "reason", err.Error())
		}
		conn.Close()
		return
	}
	t.registerSession(s)
}
