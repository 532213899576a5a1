package entry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/callers"
	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// stallingListener accepts connections whose reader stands still after it has received a request to /stalled, as on a machine
// whose processor others use.
type stallingListener struct {
	net.Listener
	stalled chan struct{} // receives a value when a reader begins to stand still
	resume  chan struct{} // closed when readers may go on
	goOn    func()        // closes resume
	moved   atomic.Bool   // readers stand still elsewhere
	unread  atomic.Bool   // readers stand still before they receive the request
}

// Accept implements net.Listener.
func (l *stallingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &stallingConn{TCPConn: c.(*net.TCPConn), l: l}, nil
}

type stallingConn struct {
	*net.TCPConn
	l    *stallingListener
	done atomic.Bool
}

var _ syscall.Conn = (*stallingConn)(nil)

func (c *stallingConn) stall() {
	if !c.l.moved.Load() && !c.done.Swap(true) {
		c.l.stalled <- struct{}{}
		<-c.l.resume
	}
}

// Read implements net.Conn.
func (c *stallingConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if strings.Contains(string(p[:n]), "/stalled") {
		c.stall()
	}
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *stallingConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return &stallingRawConn{RawConn: raw, c: c}, err
}

type stallingRawConn struct {
	syscall.RawConn
	c *stallingConn
}

// Read implements syscall.RawConn.
func (r *stallingRawConn) Read(read func(fd uintptr) bool) error {
	found := false
	err := r.RawConn.Read(func(fd uintptr) bool {
		var b [1 << 10]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err == syscall.EAGAIN {
			return false // read could find what arrives from now on
		}
		found = n > 0 && strings.Contains(string(b[:n]), "/stalled")
		if found && r.c.l.unread.Load() {
			r.c.stall()
		}
		return read(fd)
	})
	if found {
		r.c.stall()
	}
	return err
}

// stallWhenParsed moves the point where the first connection stands still to when its first header section has been parsed.
func (l *stallingListener) stallWhenParsed(e *Entry) {
	l.moved.Store(true)
	var once sync.Once
	hook := e.server.ConnState
	e.server.ConnState = func(c net.Conn, s http.ConnState) {
		if s == http.StateActive {
			once.Do(func() {
				l.stalled <- struct{}{}
				<-l.resume
			})
		}
		hook(c, s)
	}
}

// stallingEntry starts an entry whose readers stand still as those of stallingListener.
func stallingEntry(t *testing.T, set func(*settings.Settings), configure func(*Entry, *stallingListener)) (*Entry, *stallingListener) {
	t.Helper()
	upstream := serveUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") }))
	cfg := testSettings()
	set(&cfg)
	tables := &fixedTables{}
	pool := table.Pool{Name: "work", Slots: 64, Connections: 64, Upstreams: []table.Upstream{{ID: "u1", Address: upstream, Region: "north", FailureDomain: "n1"}}}
	tables.set(table.NewTables(1, []table.Route{testRoute()}, []table.Pool{pool}))
	e := New(cfg, tables, Ports{}, logr.Discard())
	l := &stallingListener{Listener: listen(t), stalled: make(chan struct{}, 1), resume: make(chan struct{})}
	l.goOn = sync.OnceFunc(func() { close(l.resume) })
	configure(e, l)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = e.Serve(ctx, l); close(done) }()
	t.Cleanup(func() { l.goOn(); cancel(); <-done }) // a connection cannot be closed while its reader stands still
	return e, l
}

// rawCaller is a connection of a caller that writes requests itself.
type rawCaller struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func dialCaller(t *testing.T, address string) *rawCaller {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return &rawCaller{t, c, bufio.NewReader(c)}
}

func (c *rawCaller) send(path string) {
	c.t.Helper()
	if err := c.trySend(path); err != nil {
		c.t.Fatal(err)
	}
}

func (c *rawCaller) trySend(path string) error {
	_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path)
	return err
}

// status reads a response and returns its status, or 0 if the connection ended without one.
func (c *rawCaller) status() int {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// maxStallTries bounds the tries to send a request before its connection may be closed for being idle.
const maxStallTries = 10

// Guards against closing a connection from which a request has been read that no handler has seen yet, or on which one has
// arrived that has not been read yet.
func TestRequestThatWasReadIsAnswered(t *testing.T) {
	for _, c := range []struct {
		name   string
		kept   bool // the connection has carried a request before
		limits func(*settings.Limits)
		budget int64
		parsed bool // the reader stands still after the header section has been parsed
		unread bool // the reader stands still before it receives the request
		closes func(t *testing.T, e *Entry, address string)
	}{
		{name: "idle timeout", kept: true, limits: func(l *settings.Limits) { l.IdleTimeout = table.Duration(300 * time.Millisecond) },
			closes: func(*testing.T, *Entry, string) { time.Sleep(600 * time.Millisecond) }},
		{name: "header timeout", limits: func(l *settings.Limits) { l.HeaderTimeout = table.Duration(2 * time.Second) },
			closes: func(*testing.T, *Entry, string) { time.Sleep(3 * time.Second) }},
		{name: "kept connection replaced", kept: true, limits: func(l *settings.Limits) { l.Descriptors = 3 }, closes: connectAnother},
		{name: "new connection replaced", limits: func(l *settings.Limits) { l.Descriptors = 3 }, closes: connectAnother},
		{name: "kept connection replaced, unread", kept: true, unread: true, limits: func(l *settings.Limits) { l.Descriptors = 3 }, closes: connectAnother},
		{name: "new connection replaced, unread", unread: true, limits: func(l *settings.Limits) { l.Descriptors = 3 }, closes: connectAnother},
		{name: "memory of header sections", budget: callers.SectionCost(60, 3), parsed: true, closes: func(t *testing.T, e *Entry, address string) {
			_, _ = io.WriteString(dialCaller(t, address), "GET /other HTTP/1.1"+strings.Repeat("a", 40))
			time.Sleep(100 * time.Millisecond)
		}},
		{name: "shutdown, kept connection", kept: true, closes: shutDown},
		{name: "shutdown, new connection", closes: shutDown},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var e *Entry
			var l *stallingListener
			var caller *rawCaller
			for try := 1; ; try++ {
				e, l = stallingEntry(t, func(s *settings.Settings) {
					if c.limits != nil {
						c.limits(&s.Limits)
					}
				}, func(e *Entry, l *stallingListener) {
					if c.budget > 0 {
						e.sections.Budget = callers.NewBudget(c.budget)
					}
					if c.parsed {
						l.stallWhenParsed(e)
					}
					l.unread.Store(c.unread)
				})
				caller = dialCaller(t, l.Addr().String())
				start := time.Now()
				if c.kept {
					caller.send("/")
					is.Equal(caller.status(), 200)
				}
				err := caller.trySend("/stalled")
				if time.Since(start) < e.cfg.Limits.IdleTimeout.Std() {
					is.NoErr(err)
					break
				}
				l.goOn()
				if try == maxStallTries {
					t.Fatal("no request was sent before its connection may be closed for being idle")
				}
			}
			address := l.Addr().String()
			select {
			case <-l.stalled:
			case <-time.After(10 * time.Second):
				t.Fatal("the reader does not stand still")
			}
			c.closes(t, e, address)
			l.goOn()
			is.Equal(caller.status(), 200)
		})
	}
}

func connectAnother(t *testing.T, _ *Entry, address string) {
	dialCaller(t, address)
	time.Sleep(100 * time.Millisecond)
}

func shutDown(t *testing.T, e *Entry, _ string) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	go func() { _ = e.Shutdown(ctx) }()
	time.Sleep(100 * time.Millisecond)
}

// Guards against callers that send a request on a connection while it is closed for being idle.
func TestCallersAreToldOfTheIdleTimeout(t *testing.T) {
	for _, c := range []struct {
		name    string
		idle    time.Duration
		request string
		want    string
	}{
		{"answer", 15 * time.Second, "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "timeout=12"},
		{"refusal", 15 * time.Second, "GET / HTTP/1.1\r\nHost: a\r\nTurmericsail-Deadline: soon\r\n\r\n", "timeout=12"},
		{"fraction of a second", 1500 * time.Millisecond, "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "timeout=1"},
		{"too short to tell", time.Second, "GET / HTTP/1.1\r\nHost: a\r\n\r\n", ""},
		{"closed anyway", 15 * time.Second, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			upstream := serveUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Keep-Alive", "timeout=99") }))
			h := newHarness(t, testRoute(), []string{upstream}, withSettings(func(s *settings.Settings) { s.Limits.IdleTimeout = table.Duration(c.idle) }))
			caller := dialCaller(t, h.addr)
			_, err := io.WriteString(caller, c.request)
			is.NoErr(err)
			resp, err := http.ReadResponse(caller.r, nil)
			is.NoErr(err)
			is.Equal(resp.Header.Get("Keep-Alive"), c.want)
		})
	}
}

// Guards against a connection that is closed after the limit that was in force when it became idle, or never.
func TestIdleTimeoutInForce(t *testing.T) {
	for _, c := range []struct {
		name          string
		before, after time.Duration
		open          bool // after twice the time of before
	}{
		{"unchanged", 150 * time.Millisecond, 150 * time.Millisecond, false},
		{"raised", 150 * time.Millisecond, time.Minute, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, testRoute(), []string{serveUpstream(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))})
			limit := func(d time.Duration) {
				snapshot := *h.tables.Snapshot()
				snapshot.Limits.IdleTimeout = table.Duration(d)
				h.tables.current.Store(&snapshot)
			}
			limit(c.before)
			caller := dialCaller(t, h.addr)
			caller.send("/")
			is.Equal(caller.status(), 200)
			time.Sleep(c.before / 3) // the connection becomes idle after its response is sent
			limit(c.after)
			time.Sleep(2 * c.before)
			_ = caller.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			_, err := caller.Read(make([]byte, 1))
			is.Equal(errors.Is(err, os.ErrDeadlineExceeded), c.open)
		})
	}
}

// Guards against a response that tells its caller to reuse a connection which the instance closes, since it leaves meanwhile.
func TestResponseToARunningRequestTellsThatTheInstanceLeaves(t *testing.T) {
	for _, served := range []bool{true, false} {
		t.Run(fmt.Sprintf("served %t", served), func(t *testing.T) {
			is := is.New(t)
			began, leaving := make(chan struct{}), make(chan struct{})
			h := newHarness(t, testRoute(), []string{serveUpstream(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				close(began)
				<-leaving
				if !served {
					panic(http.ErrAbortHandler)
				}
			}))})
			caller := dialCaller(t, h.addr)
			_, err := io.WriteString(caller, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
			is.NoErr(err)
			<-began
			h.entry.SetLeaving()
			close(leaving)
			resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode == 200, served)
			is.True(resp.Close)
			is.Equal(resp.Header.Get("Keep-Alive"), "")
		})
	}
}

// Guards against a connection that is closed before the time that its caller was told, since operators have lowered the limit
// while the response was sent.
func TestToldIdleTimeIsKept(t *testing.T) {
	is := is.New(t)
	lowered := make(chan struct{})
	h := newHarness(t, testRoute(), []string{serveUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).Flush()
		<-lowered
	}))})
	caller := dialCaller(t, h.addr)
	caller.send("/")
	resp, err := http.ReadResponse(caller.r, nil)
	is.NoErr(err)
	is.Equal(resp.Header.Get("Keep-Alive"), "timeout=48")
	snapshot := *h.tables.Snapshot()
	snapshot.Limits.IdleTimeout = table.Duration(100 * time.Millisecond)
	h.tables.current.Store(&snapshot)
	close(lowered)
	_, err = io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	time.Sleep(300 * time.Millisecond)
	caller.send("/")
	is.Equal(caller.status(), 200)
}
