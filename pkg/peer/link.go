package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
)

// link is the connection state of one other instance: its session, the dial in progress and the backoff.
type link struct {
	mu        sync.Mutex
	current   *session
	dialling  chan struct{}
	lastError error
	failures  int
	retryAt   time.Time
	lastUsed  time.Time
}

// liveSession returns the usable session, or nil.
func (l *link) liveSession() *session {
	if l.current != nil && l.current.alive() {
		return l.current
	}
	return nil
}

// recordFailure records a failed connection attempt and sets when the next one may start.
func (l *link) recordFailure(now time.Time, err error, s *Settings) {
	l.lastError = err
	l.retryAt = now.Add(backoff(l.failures, s.BackoffMin.Std(), s.BackoffMax.Std(), rand.Float64()))
	l.failures++
}

// backoff returns the pause after a number of failures. It doubles with each
// failure and is jittered over its upper half, so that instances which lost the
// same peer at the same time do not reconnect together.
func backoff(failures int, first, longest time.Duration, random float64) time.Duration {
	d := longest
	if failures < 32 {
		d = min(longest, first<<failures)
	}
	if d <= 0 {
		d = longest
	}
	return d/2 + time.Duration(random*float64(d/2))
}

// session returns the session to an instance, or dials one. Concurrent callers share one dial.
func (t *TCPTransport) session(ctx context.Context, to InstanceID) (*session, error) {
	l := t.link(to)
	for {
		l.mu.Lock()
		l.lastUsed = time.Now()
		if s := l.liveSession(); s != nil {
			l.mu.Unlock()
			return s, nil
		}
		if l.dialling == nil {
			if time.Now().Before(l.retryAt) {
				err := l.lastError
				l.mu.Unlock()
				return nil, unavailable(err)
			}
			l.dialling = make(chan struct{})
			go t.dialLink(l, to)
		}
		wait := l.dialling
		l.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, unavailable(ctx.Err())
		}
	}
}

func (t *TCPTransport) dialLink(l *link, to InstanceID) {
	ctx, cancel := context.WithTimeout(t.ctx, t.settings.ConnectTimeout.Std())
	defer cancel()
	s, err := t.dialInstance(ctx, to)
	if err == nil {
		t.registerSession(s)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil && l.liveSession() == nil {
		l.recordFailure(time.Now(), err, &t.settings)
	}
	if err == nil {
		l.failures, l.retryAt = 0, time.Time{}
	}
	close(l.dialling)
	l.dialling = nil
}

func (t *TCPTransport) dialInstance(ctx context.Context, to InstanceID) (*session, error) {
	address, ok := t.resolve(to)
	if !ok {
		return nil, fault.Newf(fault.NotFound, "wait until membership has learned the instance", "the address of instance %s is not known", to)
	}
	s, err := t.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	if s.peer != to {
		t.registerSession(s)
		message := fmt.Sprintf("instance %s answers at the address of %s", s.peer, to)
		return nil, fault.Wrap(fault.Unavailable, ErrOtherIncarnation, message, "use the new incarnation")
	}
	return s, nil
}

// connect opens a connection and performs the handshake.
func (t *TCPTransport) connect(ctx context.Context, address string) (*session, error) {
	conn, err := t.settings.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if t.settings.TLS != nil {
		conn = tls.Client(conn, clientTLS(t.settings.TLS, address))
	}
	s, err := t.handshake(conn, true)
	if err != nil || !stop() {
		conn.Close()
		return nil, unavailable(err)
	}
	s.address = address
	return s, nil
}

func clientTLS(cfg *tls.Config, address string) *tls.Config {
	cfg = cfg.Clone()
	if host, _, err := net.SplitHostPort(address); err == nil && cfg.ServerName == "" {
		cfg.ServerName = host
	}
	return cfg
}

// handshake exchanges Hello frames, the dialling side first, and verifies the other side's ID.
func (t *TCPTransport) handshake(conn net.Conn, dialled bool) (*session, error) {
	_ = conn.SetDeadline(time.Now().Add(t.settings.ConnectTimeout.Std()))
	hello := &peerpb.Frame{Kind: &peerpb.Frame_Hello{Hello: &peerpb.Hello{Version: frameVersion, Id: string(t.settings.ID)}}}
	if dialled {
		if err := writeFrame(conn, hello); err != nil {
			return nil, err
		}
	}
	f, _, err := readFrame(conn, maxHello)
	if err != nil {
		return nil, err
	}
	id := InstanceID(f.GetHello().GetId())
	if err := t.verify(conn, id); err != nil {
		return nil, err
	}
	if !dialled {
		if err := writeFrame(conn, hello); err != nil {
			return nil, err
		}
	}
	_ = conn.SetDeadline(time.Time{})
	return newSession(t, conn, id, dialled)
}

func (t *TCPTransport) verify(conn net.Conn, id InstanceID) error {
	if id.Name() == "" {
		return fault.New(fault.Invalid, "the first frame of the connection carries no instance ID", "check that the address is that of a peer listener")
	}
	if id == t.settings.ID {
		return errSelf
	}
	if c, ok := conn.(*tls.Conn); ok && t.settings.VerifyPeer != nil {
		return t.settings.VerifyPeer(id, c.ConnectionState())
	}
	return nil
}
