package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/textproto"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/turmericsail/turmericsail/internal/socket"
	"github.com/turmericsail/turmericsail/pkg/respcheck"
)

// countedConn is a connection whose count of sent bytes proves, if it did not change, that no byte of a request reached the
// upstream.
type countedConn struct {
	*respcheck.Conn
	reading atomic.Bool     // a Read is waiting, so its caller has used all bytes before
	raw     syscall.RawConn // nil if it is not a socket
	lost    chan struct{}   // closed when a Read has failed, after which no response can arrive
	lose    sync.Once
}

func newCountedConn(c net.Conn) *countedConn {
	conn := respcheck.NewConn(c)
	counted := &countedConn{Conn: conn, lost: make(chan struct{})}
	if raw, err := conn.SyscallConn(); err == nil { // without it, only what was read is known
		counted.raw = raw
	}
	return counted
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	c.reading.Store(true)
	n, err := c.Conn.Read(p)
	c.reading.Store(false)
	if err != nil {
		c.lose.Do(func() { close(c.lost) })
	}
	return n, err
}

// upstreamConn is one HTTP/1.1 connection to an upstream. It carries one request at a time.
type upstreamConn struct {
	client    *http.ClientConn
	counted   *countedConn
	source    respcheck.Source
	pool      *connPool
	reused    bool
	idleSince time.Time
}

// roundTrip sends a request and waits for the response header. sent reports whether any byte
// of the request may have reached the upstream. interim, unless nil, is called with each 1xx response.
func (c *upstreamConn) roundTrip(req *http.Request, interim func(int, textproto.MIMEHeader) error) (resp *http.Response, sent bool, err error) {
	before := c.counted.Sent()
	resp, err = c.source.RoundTrip(c.client, req, interim)
	// After a malformed response, the request may still be written until the connection is closed.
	sent = c.counted.Sent() != before || errors.Is(err, respcheck.ErrMalformed)
	return resp, sent, err
}

// isSilent reports whether nothing has arrived since the last response. Bytes after it, as of a second response, would be
// taken for the response to the next request: net/http notices them only when its reader, which has its own
// goroutine, has looked at the idle connection.
func (c *upstreamConn) isSilent() bool {
	for end := time.Now().Add(c.pool.dialer.readerWake); !c.counted.reading.Load(); runtime.Gosched() {
		if c.client.Err() != nil || time.Now().After(end) {
			return false
		}
	}
	return !socket.HasInput(c.counted.raw) && c.client.Err() == nil
}

const (
	// readerWakeTime bounds the wait for the reader of a connection to look at it after a response.
	readerWakeTime = 5 * time.Millisecond
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
	transport  *http.Transport
	readerWake time.Duration // readerWakeTime outside tests
}

func newDialer(maxHeader int64) *dialer {
	d := &net.Dialer{Timeout: dialTimeout}
	return &dialer{readerWake: readerWakeTime, transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			counted := newCountedConn(conn)
			if holder, ok := ctx.Value(dialedKey{}).(*upstreamConn); ok {
				holder.counted = counted
			}
			return counted, nil
		},
		DisableCompression: true, ExpectContinueTimeout: expectContinueTimeout, MaxResponseHeaderBytes: maxHeader,
	}}
}

func (d *dialer) dial(ctx context.Context, address string, pool *connPool) (*upstreamConn, error) {
	c := &upstreamConn{pool: pool, source: respcheck.Upstream}
	client, err := d.transport.NewClientConn(context.WithValue(ctx, dialedKey{}, c), "http", address)
	if err != nil {
		return nil, err
	}
	c.client = client
	return c, nil
}
