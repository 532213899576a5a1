package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/turmericsail/turmericsail/pkg/respcheck"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// relay forwards the request to an entry inside the home regions. This entry stores
// no part of it and reports nothing about it beyond the route's name.
func (x *exchange) relay() *Refusal {
	if x.relayed {
		return refuseOutsideHome() // the two entries have different tables; relaying again could loop
	}
	x.header = x.relayHeader()
	a := x.newAttempt(x.header, x.deadline)
	conn, region, err := x.e.ports.Relay.Open(a.ctx, x.route.HomeRegions)
	if err != nil {
		a.stop(failUnreached, err)
		return x.relayRefusal(a)
	}
	a.upstream = table.Upstream{Region: region}
	if a.conn, err = x.e.relayDialer.wrap(a.ctx, conn); err != nil {
		_ = conn.Close()
		a.stop(failUnreached, err)
		return x.relayRefusal(a)
	}
	a.exchange()
	a.classify()
	if a.fail != failNone {
		return x.relayRefusal(a)
	}
	refusal := x.sendResponse(a, nil)
	x.e.countCrossRegion(region, a.bytesUp(), a.bytesDown)
	return refusal
}

func (x *exchange) relayRefusal(a *attempt) *Refusal {
	if a.fail == failUnreached {
		return refuseOutsideHome()
	}
	_, refusal := x.resolveFailure(a)
	return refusal
}

// relayHeader returns the header of a relayed request. It keeps the protocol headers,
// which the entry inside the home regions evaluates.
func (x *exchange) relayHeader() http.Header {
	h := x.upstreamHeader(false)
	for _, name := range []string{HeaderDepth, HeaderRetryBudget} {
		if v, ok := x.r.Header[name]; ok {
			h[name] = v
		}
	}
	delete(h, HeaderRelayedWorkspace)
	if x.keyed {
		h[HeaderRelayedWorkspace] = x.headerValue(x.workspace)
	}
	return h
}

type openConnKey struct{}

// relayDialer creates HTTP/1.1 client connections on streams that are already open.
type relayDialer struct{ transport *http.Transport }

func newRelayDialer(maxHeader int64) *relayDialer {
	return &relayDialer{&http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			conn, ok := ctx.Value(openConnKey{}).(net.Conn)
			if !ok {
				return nil, errors.New("the dial context holds no stream")
			}
			return conn, nil
		},
		DisableCompression: true, ExpectContinueTimeout: expectContinueTimeout, MaxResponseHeaderBytes: maxHeader,
	}}
}

// wrap returns a connection on the stream for exactly one request.
func (d *relayDialer) wrap(ctx context.Context, conn net.Conn) (*upstreamConn, error) {
	counted := newCountedConn(conn)
	client, err := d.transport.NewClientConn(context.WithValue(ctx, openConnKey{}, net.Conn(counted)), "http", "relay:80")
	if err != nil {
		return nil, err
	}
	single := &connPool{limit: 1, open: 1, retired: true}
	return &upstreamConn{client: client, counted: counted, source: respcheck.Relay, pool: single}, nil
}

// streamListener is a net.Listener that accepts streams opened by other entries.
type streamListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

var _ net.Listener = (*streamListener)(nil)

func newStreamListener() *streamListener {
	return &streamListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *streamListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *streamListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *streamListener) Addr() net.Addr { return &net.UnixAddr{Name: "relay", Net: "relay"} }

// ServeRelayed serves the request on a stream that another entry opened through its
// Relay. It returns without waiting for the request; the stream is closed when the
// request has ended.
func (e *Entry) ServeRelayed(conn net.Conn) {
	e.relayed.Add(1)
	conn = &relayedConn{Conn: conn, ended: func() { e.relayed.Add(-1) }}
	select {
	case e.relayListener.conns <- conn:
	case <-e.relayListener.done:
		_ = conn.Close()
	}
}

// relayedConn is the stream of one relayed request.
type relayedConn struct {
	net.Conn
	ended func()
	once  sync.Once
}

// Close implements net.Conn.
func (c *relayedConn) Close() error {
	c.once.Do(c.ended)
	return c.Conn.Close()
}
