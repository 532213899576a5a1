package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
)

const (
	// keepAliveInterval is the time between two yamux pings, which detect a connection whose
	// other end has vanished without closing it. Each ping costs 24 bytes.
	keepAliveInterval = 15 * time.Second
	// writeTimeout is how long a write may block before the connection is closed.
	writeTimeout = 5 * time.Second
	// closeTimeout is how long the other side may continue to read and write a byte stream after this
	// side closed it. It is long enough to read a full window of 256 KiB at 4 KiB/s, and it bounds how
	// long a writer can block on a reader that has closed the stream.
	closeTimeout = time.Minute
	// openTimeout is how long the first frame of an accepted stream may take.
	openTimeout = 5 * time.Second
	// maxTimeout is the exclusive upper limit of the timeout that a caller may request.
	maxTimeout = 24 * time.Hour
)

// session is one established connection to another instance.
type session struct {
	t           *TCPTransport
	peer        InstanceID
	address     string
	dialled     bool
	mux         *yamux.Session
	handlers    chan struct{}
	lastUsed    atomic.Int64 // Unix time in ns
	byteStreams atomic.Int64 // open byte streams
	retiredAt   atomic.Int64 // Unix time in ns, 0 until another session replaces this one

	mu       sync.Mutex
	nextID   uint64
	pending  map[uint64]*call
	channels [2]*channel
}

func newSession(t *TCPTransport, conn net.Conn, id InstanceID, dialled bool) (*session, error) {
	cfg := yamux.DefaultConfig()
	cfg.KeepAliveInterval, cfg.ConnectionWriteTimeout = keepAliveInterval, writeTimeout
	cfg.StreamCloseTimeout, cfg.LogOutput = closeTimeout, io.Discard
	open := yamux.Server
	if dialled {
		open = yamux.Client
	}
	mux, err := open(conn, cfg)
	if err != nil {
		return nil, err
	}
	s := &session{
		t: t, peer: id, dialled: dialled, mux: mux, pending: map[uint64]*call{},
		handlers: make(chan struct{}, t.settings.MaxHandlers),
	}
	s.touch()
	return s, nil
}

func (s *session) alive() bool { return !s.mux.IsClosed() }

// preferred reports whether the instance with the smaller ID opened this
// connection. Of two connections between the same instances, both sides keep
// that one.
func (s *session) preferred() bool { return s.dialled == (s.t.settings.ID < s.peer) }

func (s *session) limit() int { return int(s.t.settings.MaxFrame) }

func (s *session) touch() { s.lastUsed.Store(time.Now().UnixNano()) }

// busy reports whether the session has pending calls, running handlers or open byte streams.
func (s *session) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending) > 0 || len(s.handlers) > 0 || s.byteStreams.Load() > 0
}

// channel returns the channel for the calls that this side makes with traffic t, and opens it if needed.
func (s *session) channel(t Traffic) (*channel, error) {
	s.touch()
	s.mu.Lock()
	defer s.mu.Unlock()
	if ch := s.channels[t]; ch != nil {
		return ch, nil
	}
	stream, err := s.mux.Open()
	if err != nil {
		return nil, err
	}
	ch := newChannel(s, stream, t)
	open, err := encodeFrame(&peerpb.Frame{Kind: &peerpb.Frame_Open{Open: &peerpb.Open{Traffic: uint32(t)}}}, maxHello)
	if err != nil {
		return nil, err
	}
	ch.queue <- outgoing{frame: open}
	s.channels[t] = ch
	go ch.run()
	return ch, nil
}

func (s *session) removeChannel(ch *channel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.channels[ch.traffic] == ch {
		s.channels[ch.traffic] = nil
	}
}

// acceptLoop serves the streams that the other side opens.
func (s *session) acceptLoop() {
	for {
		stream, err := s.mux.Accept()
		if err != nil {
			return
		}
		go s.acceptStream(stream)
	}
}

func (s *session) acceptStream(stream net.Conn) {
	_ = stream.SetReadDeadline(time.Now().Add(openTimeout))
	f, _, err := readFrame(stream, maxHello)
	open := f.GetOpen()
	if err != nil || open == nil || open.Traffic > uint32(CallPath) {
		s.t.skipped.Add(1)
		stream.Close()
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	if open.Service == "" {
		newChannel(s, stream, Traffic(open.Traffic)).run()
		return
	}
	s.serveStream(stream, open.Service)
}

func (s *session) serveStream(stream net.Conn, service string) {
	stream = s.countStream(stream) // before the other side may use it
	h := s.t.streamHandler(service)
	opened := &peerpb.Opened{}
	if h == nil {
		opened.Error = encodeError(unavailable(ErrUnknownService))
	}
	err := writeFrame(stream, &peerpb.Frame{Kind: &peerpb.Frame_Opened{Opened: opened}})
	if err != nil || h == nil {
		stream.Close()
		return
	}
	h(s.peer, stream)
}

// openStream opens a byte stream and waits until the other side has accepted it.
func (s *session) openStream(ctx context.Context, service string) (net.Conn, error) {
	s.touch()
	open, err := s.mux.Open()
	if err != nil {
		return nil, unavailable(err)
	}
	stream := s.countStream(open)
	// Closing a yamux stream does not unblock its own reader; a deadline in the past does.
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(expiredDeadline) })
	defer stop()
	err = writeFrame(stream, &peerpb.Frame{Kind: &peerpb.Frame_Open{Open: &peerpb.Open{Service: service, Traffic: uint32(CallPath)}}})
	if err != nil {
		stream.Close()
		return nil, unavailable(err)
	}
	f, _, err := readFrame(stream, maxHello)
	if err == nil && f.GetOpened() == nil {
		err = errSkipped
	}
	if err == nil && f.GetOpened().Error != nil {
		err = decodeError(f.GetOpened().Error)
	}
	if err != nil || !stop() {
		stream.Close()
		return nil, unavailable(err)
	}
	_ = stream.SetDeadline(time.Time{})
	return stream, nil
}

// expiredDeadline is a deadline in the past; setting it unblocks pending reads and writes.
var expiredDeadline = time.Unix(1, 0)

// countedConn counts an open byte stream, so that its session is not closed as idle.
type countedConn struct {
	net.Conn
	s    *session
	once sync.Once
}

func (s *session) countStream(c net.Conn) net.Conn {
	s.byteStreams.Add(1)
	return &countedConn{Conn: c, s: s}
}

func (c *countedConn) Close() error {
	c.once.Do(func() {
		c.s.touch()
		c.s.byteStreams.Add(-1)
	})
	_ = c.SetReadDeadline(expiredDeadline)
	return c.Conn.Close()
}
