package entry

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/table"
)

// Guards against a request that is sent with a removed key after it has waited for a connection.
func TestKeyRemovedWhileTheRequestWaitsForAConnection(t *testing.T) {
	is := is.New(t)
	up, entered, finish := &recordingUpstream{}, make(chan struct{}), make(chan struct{})
	addr := serveUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(entered)
			<-finish
		}
		up.ServeHTTP(w, r)
	}))
	h := newHarness(t, testRoute(), []string{addr})
	h.pool.Connections = 1
	h.workspaces = []table.Workspace{acme("old", "kept")}
	h.apply()
	h.entry.conns.apply(h.tables.Snapshot().Tables)
	slow, removed := make(chan reply, 1), make(chan reply, 1)
	go func() { slow <- h.do("POST", "/slow", nil, bearer("kept")...) }()
	<-entered
	go func() { removed <- h.do("POST", "/", nil, bearer("old")...) }()
	pool := h.entry.conns.forUpstream(&h.pool, addr)
	for waiting := 0; waiting == 0; time.Sleep(time.Millisecond) {
		pool.mu.Lock()
		waiting = len(pool.waiters)
		pool.mu.Unlock()
	}
	h.workspaces = []table.Workspace{acme("kept")}
	h.apply()
	close(finish)
	r := <-removed
	is.Equal(r.status, 401)
	is.Equal(r.outcome(), string(NotRun))
	is.Equal((<-slow).status, 200)
	is.Equal(up.count(), 1)
	is.Equal(h.do("POST", "/", nil, bearer("kept")...).status, 200) // the connection is free again
}

// staleConn is a connection whose writes fail and run a function before.
type staleConn struct {
	net.Conn
	onWrite func()
}

func (c *staleConn) Write([]byte) (int, error) {
	c.onWrite()
	return 0, io.ErrClosedPipe
}

// Guards against a request that is repeated with a removed key after a stale connection.
func TestKeyRemovedBeforeTheRepeatOnAnotherConnection(t *testing.T) {
	is := is.New(t)
	up := &recordingUpstream{}
	addr := serveUpstream(t, up)
	h := newHarness(t, testRoute(), []string{addr})
	h.workspaces = []table.Workspace{acme("old")}
	h.apply()
	conn, err := net.Dial("tcp", addr)
	is.NoErr(err)
	c, err := h.entry.relayDialer.wrap(t.Context(), &staleConn{conn, func() {
		h.workspaces = []table.Workspace{acme("kept")}
		h.apply()
	}})
	is.NoErr(err)
	pool := h.entry.conns.forUpstream(&h.pool, addr)
	c.pool, pool.open, pool.idle = pool, 1, []*upstreamConn{c}
	r := h.do("POST", "/", nil, bearer("old")...)
	is.Equal(r.status, 401)
	is.Equal(r.outcome(), string(NotRun))
	is.Equal(up.count(), 0)
}
