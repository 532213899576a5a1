package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/standin"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// serveRequests calls answer for each request of a connection and sends the response that it returns.
// It stops at an empty response.
func serveRequests(c net.Conn, answer func(n int, r *http.Request) string) {
	in := bufio.NewReader(c)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		text := answer(n, req)
		if _, err := io.WriteString(c, text); err != nil || text == "" {
			return
		}
	}
}

func responseText(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// Guards against responses that reach the wrong request: if an upstream sends an
// unsolicited second response, or more than the declared length, the surplus must not
// be read as the response to the next request.
func TestSurplusAnswerNeverReachesTheNextRequest(t *testing.T) {
	for name, surplus := range map[string]string{"second answer": responseText(200, "for somebody else"), "longer body": "surplus"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			up := newRawUpstream(t, func(_ int64, c net.Conn) {
				serveRequests(c, func(_ int, r *http.Request) string { return responseText(200, r.URL.Path) + surplus })
			})
			h := newHarness(t, testRoute(), []string{up.addr})
			for i := range 20 {
				path := fmt.Sprintf("/%d", i)
				if r := h.do("GET", path, nil); r.err == nil && r.status == 200 {
					is.Equal(r.body, path)
				}
			}
		})
	}
}

// Guards against reusing a connection whose response is late: the late response to
// the first request would be read as the response to the second.
func TestConnectionOfLateResponseIsNotReused(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	up := newRawUpstream(t, func(_ int64, c net.Conn) {
		serveRequests(c, func(_ int, r *http.Request) string {
			if r.URL.Path == "/late" {
				<-release
			}
			return responseText(200, r.URL.Path)
		})
	})
	h := newHarness(t, testRoute(), []string{up.addr})
	h.entry.conns.dialer.readerWake = time.Minute // a connection whose reader is late is replaced, which is not tested here
	is.Equal(h.do("GET", "/late", nil, HeaderDeadline, "30").status, 504)
	close(release)
	for range 5 {
		is.Equal(h.do("GET", "/next", nil).body, "/next")
	}
	is.Equal(up.conns.Load(), int64(2)) // one for the late response, one for the others
}

// Guards against a truncated response that looks complete to the caller, and against
// reuse of its connection.
func TestTruncatedResponseIsAnErrorToTheCaller(t *testing.T) {
	for name, answer := range map[string]string{
		"stated length": "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"chunked":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			up := newRawUpstream(t, func(n int64, c net.Conn) {
				if n == 1 {
					_, _ = readRequest(c)
					_, _ = io.WriteString(c, answer)
					return
				}
				serveRequests(c, func(int, *http.Request) string { return responseText(200, "whole") })
			})
			h := newHarness(t, testRoute(), []string{up.addr})
			r := h.do("POST", "/", nil)
			is.True(r.err != nil) // the caller must see an error
			is.Equal(h.do("GET", "/", nil).body, "whole")
			is.Equal(up.conns.Load(), int64(2))
		})
	}
}

// writeFailConn fails all writes while failing is set; its read side stays open. It
// simulates a connection that the peer has closed without the close being noticed yet.
type writeFailConn struct {
	net.Conn
	failing atomic.Bool
}

func (c *writeFailConn) Write(p []byte) (int, error) {
	if c.failing.Load() {
		return 0, io.ErrClosedPipe
	}
	return c.Conn.Write(p)
}

// Guards against failing a POST on a connection that the upstream closed while it
// was idle: no byte of the request was sent, so another connection can be used.
func TestIdleConnectionClosedByTheUpstream(t *testing.T) {
	for _, size := range []int{0, 100, replayLimit} {
		is := is.New(t)
		up := newRawUpstream(t, func(_ int64, c net.Conn) {
			serveRequests(c, func(_ int, r *http.Request) string { return responseText(200, r.URL.Path) })
		})
		h := newHarness(t, testRoute(), []string{up.addr})
		conn, err := net.Dial("tcp", up.addr)
		is.NoErr(err)
		failConn := &writeFailConn{Conn: conn}
		c, err := h.entry.relayDialer.wrap(t.Context(), failConn)
		is.NoErr(err)
		pool := h.entry.conns.forUpstream(&h.pool, up.addr)
		c.pool, pool.open, pool.idle = pool, 1, []*upstreamConn{c}
		is.Equal(h.do("POST", "/first", nil).body, "/first")
		failConn.failing.Store(true)
		is.Equal(h.do("POST", "/second", strings.NewReader(strings.Repeat("x", size))).body, "/second")
		is.Equal(up.conns.Load(), int64(2))
	}
}

// heldConns counts the connections of an upstream that the instance has not closed. The upstream's own count is too high while
// its reader has not run since the end of a connection arrived.
type heldConns struct {
	mu    sync.Mutex
	conns map[net.Conn]bool
	most  int
}

// connState is a ConnState hook of http.Server.
func (h *heldConns) connState(c net.Conn, s http.ConnState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch s {
	case http.StateNew:
		h.conns[c] = true
		held := 0
		for c := range h.conns {
			if !endArrived(c) {
				held++
			}
		}
		h.most = max(h.most, held)
	case http.StateClosed, http.StateHijacked:
		delete(h.conns, c)
	}
}

// max returns the greatest number of connections held at once.
func (h *heldConns) max() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.most
}

// endArrived reports whether the peer of a connection has closed it and all bytes before that were read.
func endArrived(c net.Conn) (ended bool) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = n == 0 && err == nil || err == syscall.ECONNRESET
	})
	return ended || err != nil // after an error the upstream has closed it
}

// Guards against opening more connections than the instance's share, and against
// connections that stay open after their upstream was removed from the tables.
func TestConnectionShare(t *testing.T) {
	for _, c := range []struct {
		name       string
		readerWake time.Duration
		replaced   bool // connections are, which the upstream may notice after it has accepted the next one
	}{
		{"kept connections", time.Minute, false},
		{"replaced connections", 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			up := standin.NewUpstream(standin.UpstreamConfig{ID: "a", Slots: 64, ServiceTime: 5 * time.Millisecond, ConnectionLimit: 3})
			held := &heldConns{conns: map[net.Conn]bool{}}
			h := newHarness(t, testRoute(), []string{serveUpstream(t, up, held.connState)})
			h.entry.conns.dialer.readerWake = c.readerWake
			h.pool.Connections = 3
			h.apply()
			h.entry.conns.apply(h.tables.Snapshot().Tables)
			var wg sync.WaitGroup
			for range 12 {
				wg.Go(func() {
					for range 5 {
						if r := h.do("GET", "/", nil); r.status != 200 {
							t.Errorf("status %d: %s", r.status, r.body)
						}
					}
				})
			}
			wg.Wait()
			if !c.replaced {
				is.Equal(up.Counts().ConnectionViolations, uint64(0))
				is.True(up.Counts().MaxConnections <= 3)
			}
			is.True(held.max() > 0 && held.max() <= 3)
			h.entry.conns.apply(table.NewTables(2, nil, nil))
			for deadline := time.Now().Add(5 * time.Second); up.Counts().Connections > 0; time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("connections stayed open after the upstream left the tables")
				}
			}
		})
	}
}

// Guards against waiters that are never served, and against connection slots that
// leak when waits are cancelled or connections fail.
func TestConnPoolServesWaiters(t *testing.T) {
	is := is.New(t)
	up := newRawUpstream(t, func(_ int64, c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	p := &connPool{dialer: newDialer(1 << 20), address: up.addr, limit: 1}
	first, err := p.get(t.Context())
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = p.get(ctx)
	is.True(err != nil) // a cancelled wait ends
	got := make(chan *upstreamConn)
	go func() { c, _ := p.get(context.Background()); got <- c }()
	for waiting := 0; waiting == 0; time.Sleep(time.Millisecond) {
		p.mu.Lock()
		waiting = len(p.waiters)
		p.mu.Unlock()
	}
	p.discard(first)
	second := <-got
	is.True(second != nil && second != first) // the permission to dial was passed on
	p.put(second)
	open, idle := p.counts()
	is.Equal([]int{open, idle}, []int{1, 1})
}

// Guards against responses that reach the wrong request when callers time out, hedges
// race and upstreams crash: every response must be complete and match its request.
func TestResponsesMatchTheirRequests(t *testing.T) {
	route := testRoute()
	route.Hedge.After, route.Hedge.BudgetPercent = table.Duration(2*time.Millisecond), 100
	var addresses []string
	for i := range 3 {
		u := standin.NewUpstream(standin.UpstreamConfig{ID: fmt.Sprint(i), Slots: 8, ServiceTime: time.Duration(i) * 2 * time.Millisecond, RestartDelay: time.Millisecond})
		addresses = append(addresses, serveUpstream(t, u))
	}
	h := newHarness(t, route, addresses)
	var answered atomic.Int64
	var wg sync.WaitGroup
	for w := range 16 {
		wg.Go(func() {
			for i := range 40 {
				path, header := fmt.Sprintf("/%d/%d", w, i), []string{HeaderDeadline, fmt.Sprint(1 + i%7*5)}
				if i%13 == 0 {
					header = append(header, standin.CrashHeader, "1")
				}
				r := h.do("GET", path, nil, header...)
				if r.err != nil || r.status != 200 {
					continue
				}
				answered.Add(1)
				if !strings.Contains(r.body, fmt.Sprintf("%q:%q", "path", path)) {
					t.Errorf("%s got %q", path, r.body)
				}
			}
		})
	}
	wg.Wait()
	if answered.Load() == 0 {
		t.Fatal("no request was answered")
	}
	t.Logf("%d of 640 requests were answered", answered.Load())
}
