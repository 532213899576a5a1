package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// countedConn counts the bytes written to the operating system's socket. A count
// that did not change proves that no byte of a request reached the upstream.
type countedConn struct {
	net.Conn
	sent atomic.Int64
}

// Write implements net.Conn. The count is raised before the write, so that it is
// never too low while a write is in progress.
func (c *countedConn) Write(p []byte) (int, error) {
	c.sent.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	if n < len(p) {
		c.sent.Add(int64(n - len(p)))
	}
	return n, err
}

// upstreamConn is one HTTP/1.1 connection to an upstream. It carries one request at a time.
type upstreamConn struct {
	client    *http.ClientConn
	counted   *countedConn
	pool      *connPool
	reused    bool
	idleSince time.Time
}

// roundTrip sends a request and waits for the response header. sent reports whether any byte
// of the request may have reached the upstream.
func (c *upstreamConn) roundTrip(req *http.Request) (resp *http.Response, sent bool, err error) {
	before := c.counted.sent.Load()
	resp, err = c.client.RoundTrip(req)
	return resp, c.counted.sent.Load() != before, err
}

const (
	// dialTimeout bounds the time to connect. It allows for a round trip between regions and the
	// retransmission of a lost SYN.
	dialTimeout = 2 * time.Second
	// connWaitTimeout bounds the wait for a connection when this instance's share of the
	// upstream's connections is in use.
	connWaitTimeout = 500 * time.Millisecond
	// idleConnTimeout is the idle time after which a connection to an upstream is closed, because the current
	// load does not need it.
	idleConnTimeout = 60 * time.Second
	// expectContinueTimeout bounds the wait for the upstream's 100 (Continue) before the body is sent.
	expectContinueTimeout = time.Second
	// copyBuffer is the size in bytes of the buffers for copying responses.
	copyBuffer = 32 << 10
)

type dialedKey struct{}

// dialer opens connections to upstreams. It uses http.Transport only to create client
// connections: the transport's own pool retries requests by itself and does not tell
// whether any byte was sent.
type dialer struct {
	transport *http.Transport
}

func newDialer(maxHeader int64) *dialer {
	d := &net.Dialer{Timeout: dialTimeout}
	return &dialer{&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			counted := &countedConn{Conn: conn}
			if holder, ok := ctx.Value(dialedKey{}).(*upstreamConn); ok {
				holder.counted = counted
			}
			return counted, nil
		},
		DisableCompression: true, ExpectContinueTimeout: expectContinueTimeout, MaxResponseHeaderBytes: maxHeader,
	}}
}

func (d *dialer) dial(ctx context.Context, address string, pool *connPool) (*upstreamConn, error) {
	c := &upstreamConn{pool: pool}
	client, err := d.transport.NewClientConn(context.WithValue(ctx, dialedKey{}, c), "http", address)
	if err != nil {
		return nil, err
	}
	c.client = client
	return c, nil
}
