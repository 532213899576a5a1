package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/net/http2"

	"github.com/turmericsail/turmericsail/internal/callers"
	"github.com/turmericsail/turmericsail/internal/control"
	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/internal/standin"
	"github.com/turmericsail/turmericsail/internal/tlsconf/tlstest"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// served answers every request.
var served = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") })

// h2Caller is a connection of a caller that writes frames of HTTP/2 itself.
type h2Caller struct {
	t *testing.T
	net.Conn
	*http2.Framer
}

// newH2Caller starts HTTP/2 on a connection.
func newH2Caller(t *testing.T, c net.Conn) *h2Caller {
	t.Helper()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(c, http2.ClientPreface); err != nil {
		t.Fatal(err)
	}
	h := &h2Caller{t, c, http2.NewFramer(c, c)}
	if err := h.WriteSettings(); err != nil {
		t.Fatal(err)
	}
	return h
}

// get sends a request without a body.
func (h *h2Caller) get(stream uint32) {
	h.t.Helper()
	// The fields are indexed: GET, http, / and the authority "a".
	err := h.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: []byte{0x82, 0x86, 0x84, 0x41, 1, 'a'}, EndStream: true, EndHeaders: true})
	if err != nil {
		h.t.Fatal(err)
	}
}

// readUntil reads frames until one matches, and reports false if the connection ends first.
func (h *h2Caller) readUntil(match func(http2.Frame) bool) bool {
	for {
		f, err := h.ReadFrame()
		if err != nil {
			return false
		}
		if match(f) {
			return true
		}
	}
}

func endsStream(f http2.Frame) bool {
	return f.Header().Type != http2.FrameSettings && f.Header().Flags&http2.FlagDataEndStream != 0
}

// Guards against closing a connection of HTTP/2 that has become idle while the end of its last response is not written yet.
func TestResponseIsWrittenBeforeAnIdleConnectionIsClosed(t *testing.T) {
	for _, c := range []struct {
		name   string
		closes func(t *testing.T, e *Entry, address string)
	}{
		{"shutdown", shutDown},
		{"replaced", connectAnother},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			stalled, resume := make(chan struct{}), make(chan struct{})
			h := newHarness(t, testRoute(), []string{serveUpstream(t, served)}, withSettings(func(s *settings.Settings) { s.Limits.Descriptors = 3 }),
				withEntry(func(e *Entry) {
					hook, idle := e.server.ConnState, 0
					e.server.ConnState = func(c net.Conn, s http.ConnState) {
						hook(c, s)
						if s == http.StateIdle {
							if idle++; idle == 2 { // a connection of HTTP/2 starts as an idle one
								close(stalled)
								<-resume
							}
						}
					}
				}))
			conn, err := net.Dial("tcp", h.addr)
			is.NoErr(err)
			defer conn.Close()
			caller := newH2Caller(t, conn)
			caller.get(1)
			<-stalled
			c.closes(t, h.entry, h.addr)
			close(resume)
			is.True(caller.readUntil(endsStream))
		})
	}
}

// Guards against an idle limit of the operators that is not applied to encrypted connections which have received bytes while
// they were idle.
func TestOperatorsIdleLimitOnEncryptedConnections(t *testing.T) {
	files := tlstest.Files(t, "entry")
	files.CA = ""
	start := func(t *testing.T, protocol string) (*harness, *tls.Conn, net.Conn) {
		h := newHarness(t, testRoute(), []string{serveUpstream(t, served)}, withSettings(func(s *settings.Settings) {
			s.Callers.Plaintext, s.Callers.TLS = false, &files
		}))
		h.tables.current.Store(&control.Snapshot{Tables: h.tables.Snapshot().Tables, Limits: settings.Limits{IdleTimeout: table.Duration(200 * time.Millisecond)}})
		raw, err := net.Dial("tcp", h.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = raw.Close() })
		conn := tls.Client(raw, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{protocol}})
		if err := conn.Handshake(); err != nil {
			t.Fatal(err)
		}
		return h, conn, raw
	}
	ends := func(t *testing.T, c net.Conn) {
		_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
		if _, err := io.Copy(io.Discard, c); errors.Is(err, context.DeadlineExceeded) || isTimeout(err) {
			t.Fatal("the connection is open after 3 s with an idle limit of 200 ms")
		}
	}
	t.Run("HTTP/2, no request", func(t *testing.T) {
		_, conn, raw := start(t, "h2")
		newH2Caller(t, conn)
		ends(t, raw)
	})
	t.Run("HTTP/2, settings acknowledged after a request", func(t *testing.T) {
		_, conn, raw := start(t, "h2")
		caller := newH2Caller(t, conn)
		caller.get(1)
		caller.readUntil(endsStream)
		time.Sleep(20 * time.Millisecond)
		_ = caller.WriteSettingsAck()
		ends(t, raw)
	})
	t.Run("HTTP/1.1, start of a record", func(t *testing.T) {
		_, conn, raw := start(t, "http/1.1")
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		_, _ = io.ReadFull(conn, make([]byte, 20))
		time.Sleep(20 * time.Millisecond)
		_, _ = raw.Write([]byte{23})
		ends(t, raw)
	})
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// lateListener returns accepted connections late, as on a machine whose processor others use.
type lateListener struct {
	net.Listener
	accepted, resume chan struct{}
}

func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		close(l.accepted)
		<-l.resume
	}
	return c, err
}

// Guards against a request that is read and dropped because its connection was accepted while the instance leaves.
func TestConnectionAcceptedWhileLeavingIsServed(t *testing.T) {
	h := newHarness(t, testRoute(), []string{serveUpstream(t, served)})
	l := &lateListener{Listener: listen(t), accepted: make(chan struct{}), resume: make(chan struct{})}
	e := New(testSettings(), h.tables, Ports{}, h.entry.log)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = e.Serve(ctx, l); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	var read atomic.Bool
	hook := e.server.ConnState
	e.server.ConnState = func(c net.Conn, s http.ConnState) {
		hook(c, s)
		if s == http.StateActive {
			read.Store(true)
		}
	}
	caller := dialCaller(t, l.Addr().String())
	caller.send("/")
	<-l.accepted
	shutDown(t, e, "")
	close(l.resume)
	if status := caller.status(); status != 200 && read.Load() {
		t.Fatal("the request was read and got no response")
	}
}

// Guards against a caller whose whole request was read and that gets no refusal, because other requests use the memory.
func TestRequestIsRefusedWhileAllMemoryIsInUse(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, testRoute(), []string{serveUpstream(t, served)}, withBudget(64<<10))
	is.True(h.entry.budget.Take(h.entry.budget.Limit()))
	r := h.do("GET", "/", nil)
	is.NoErr(r.err)
	is.Equal(r.status, 503)
}

// Guards against a relayed request that an entry in the home regions has read and drops because it leaves.
func TestRelayedRequestThatWasReadIsAnswered(t *testing.T) {
	is := is.New(t)
	up := standin.NewUpstream(standin.UpstreamConfig{ID: "a", Slots: 4})
	stalled, resume := make(chan struct{}), make(chan struct{})
	inner := newHomeEntry(t, up, withEntry(func(e *Entry) {
		e.relayedServer.ConnState = func(_ net.Conn, s http.ConnState) {
			if s == http.StateActive {
				close(stalled)
				<-resume
			}
		}
	}))
	outer := newHarness(t, homeRoute(), []string{closedAddress(t)}, withPorts(func(p *Ports) { p.Relay = &pipeRelay{inner: inner.entry} }))
	done := make(chan reply, 1)
	go func() { done <- outer.do("POST", "/p", strings.NewReader("a")) }()
	<-stalled
	shutDown(t, inner.entry, "")
	close(resume)
	r := <-done
	is.NoErr(r.err)
	is.Equal(r.status, 200)
}

// Guards against a caller that is refused before its body is read, pauses in it, and keeps its connection without end.
func TestRefusedBodyThatPausesEndsTheConnection(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, testRoute(), []string{serveUpstream(t, served)})
	conn, err := net.Dial("tcp", h.addr)
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n"+h.entry.proto.Deadline+": none\r\n\r\na")
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(3 * time.Second)))
	response, err := io.ReadAll(conn)
	is.True(strings.HasPrefix(string(response), "HTTP/1.1 400"))
	is.NoErr(err)
}

// Guards against requests that end without a response and leave no trace, and against a trace of those that have one.
func TestRequestWithoutAResponseIsCounted(t *testing.T) {
	for _, c := range []struct {
		name    string
		exhaust bool // no memory is left for refusals either
		request string
		leaves  bool // the caller closes the connection
		counted bool
	}{
		{"given up", true, "GET / HTTP/1.1\r\nHost: a\r\n\r\n", false, true},
		{"answered", false, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", false, false},
		{"refused", false, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTurmericsail-Deadline: none\r\n\r\n", false, false},
		{"malformed", false, "GET / HTTP/9.9\r\n\r\n", false, false},
		{"left in the header section", false, "GET / HTT", true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			closed := make(chan callers.Closing, 1)
			h := newHarness(t, testRoute(), []string{serveUpstream(t, served)}, withBudget(64<<10), withEntry(func(e *Entry) { e.onClosing = func(c callers.Closing) { closed <- c } }))
			if c.exhaust {
				is.True(h.entry.budget.Take(h.entry.budget.Limit() - callers.SectionCost(100, 10)))
				is.True(h.entry.refusals.Take(h.entry.refusals.Limit()))
			}
			caller := dialCaller(t, h.addr)
			_, err := io.WriteString(caller, c.request)
			is.NoErr(err)
			if !c.leaves {
				_, _ = io.Copy(io.Discard, caller) // until the connection ends
			}
			_ = caller.Close()
			is.Equal((<-closed).Unanswered, c.counted)
		})
	}
}
