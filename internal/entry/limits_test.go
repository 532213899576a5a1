package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/internal/standin"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// sendRaw sends bytes on a new connection and returns all responses until the
// connection is closed or idle for quietPeriod. The write side stays open, because
// closing it would mean that the caller disconnected.
func (h *harness) sendRaw(request string) string {
	h.t.Helper()
	c, err := net.Dial("tcp", h.addr)
	if err != nil {
		h.t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, request)
	var answers []byte
	buf := make([]byte, 4096)
	for wait := 5 * time.Second; ; wait = quietPeriod {
		_ = c.SetReadDeadline(time.Now().Add(wait))
		n, err := c.Read(buf)
		answers = append(answers, buf[:n]...)
		if err != nil {
			return string(answers)
		}
	}
}

// quietPeriod is the time without bytes after which no further response is expected.
const quietPeriod = 300 * time.Millisecond

// Guards against request smuggling: bytes of a request body must not be parsed as a
// separate request by the upstream, however the framing is malformed or ambiguous.
func TestSmuggling(t *testing.T) {
	const hidden = "GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n"
	for name, c := range map[string]struct {
		request string
		seen    int64 // maximum requests at the upstream
	}{
		"two lengths":            {fmt.Sprintf("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\nContent-Length: 0\r\n\r\n%s", len(hidden), hidden), 0},
		"length list":            {fmt.Sprintf("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: %d, 0\r\n\r\n%s", len(hidden), hidden), 0},
		"signed length":          {fmt.Sprintf("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: +%d\r\n\r\n%s", len(hidden), hidden), 0},
		"chunked and length":     {"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, 1},
		"chunked twice":          {"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + hidden, 0},
		"unknown coding":         {"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + hidden, 0},
		"space before colon":     {"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + hidden, 0},
		"hidden in a header":     {"GET /a HTTP/1.1\r\nHost: x\r\nX: a\rGET /hidden HTTP/1.1\r\n\r\n", 0},
		"length named as hop":    {fmt.Sprintf("POST /a HTTP/1.1\r\nHost: x\r\nConnection: Content-Length\r\nContent-Length: %d\r\n\r\n%s", len(hidden), hidden), 1},
		"bad chunk size":         {"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n\r\n" + hidden, 1},
		"two hosts":              {"GET /a HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", 0},
		"line break in the path": {"GET /a%0d%0aGET%20/hidden HTTP/1.1\r\nHost: x\r\n\r\n", 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var seen, hiddenSeen atomic.Int64
			h := newHarness(t, testRoute(), []string{serveUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				seen.Add(1)
				if r.URL.Path == "/hidden" {
					hiddenSeen.Add(1)
				}
				_, _ = io.Copy(io.Discard, r.Body)
			}))})
			answer := h.sendRaw(c.request)
			if hiddenSeen.Load() != 0 || seen.Load() > c.seen {
				t.Fatalf("the upstream saw %d requests, %d hidden; answer %q", seen.Load(), hiddenSeen.Load(), answer)
			}
		})
	}
}

// Guards against accepting oversized headers and bodies, and against refusals without a body.
func TestSizeLimits(t *testing.T) {
	up := standin.NewUpstream(standin.UpstreamConfig{ID: "a", Slots: 4})
	route := testRoute()
	route.MaxBody = 1000
	h := newHarness(t, route, []string{serveUpstream(t, up)})
	for _, c := range []struct {
		name    string
		body    io.Reader
		header  int
		status  int
		kind    string
		outcome Outcome
	}{
		{"header", nil, 9 << 10, 431, "header-too-large", NotRun},
		{"stated length", strings.NewReader(strings.Repeat("x", 1001)), 1, 413, "body-too-large", NotRun},
		{"at the limit", strings.NewReader(strings.Repeat("x", 1000)), 1, 200, "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			method := map[bool]string{true: "GET", false: "POST"}[c.body == nil]
			r := h.do(method, "/upload", c.body, "X-Big", strings.Repeat("y", c.header))
			is.NoErr(r.err)
			is.Equal(r.status, c.status)
			is.Equal(r.outcome(), string(c.outcome))
			is.True(strings.Contains(r.body, c.kind))
		})
	}
	t.Run("unstated length", func(t *testing.T) {
		is := is.New(t)
		chunk := fmt.Sprintf("%x\r\n%s\r\n", 600, strings.Repeat("x", 600))
		answer := h.sendRaw("POST /upload HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + chunk + "0\r\n\r\n")
		is.True(strings.HasPrefix(answer, "HTTP/1.1 413")) // refused while the body is being received
		is.True(strings.Contains(answer, `"outcome":"unknown"`))
	})
}

// Guards against callers that occupy connections and slots by sending slowly.
func TestSlowCallers(t *testing.T) {
	up := standin.NewUpstream(standin.UpstreamConfig{ID: "a", Slots: 4})
	h := newHarness(t, testRoute(), []string{serveUpstream(t, up)},
		withSettings(func(s *settings.Settings) { s.Limits.HeaderTimeout = table.Duration(50 * time.Millisecond) }),
		withTiming(func(x *timing) { x.body.stall = 50 * time.Millisecond }))
	for name, c := range map[string]struct{ request, want string }{
		"header":     {"GET / HTTP/1.1\r\nHost: x\r\n", ""},
		"short body": {"POST /upload HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc", "HTTP/1.1 408"},
		"long body":  {"POST /upload HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\nabc", "HTTP/1.1 408"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", h.addr)
			is.NoErr(err)
			defer conn.Close()
			_, _ = io.WriteString(conn, c.request)
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			data, err := io.ReadAll(conn) // the entry must close the connection
			is.NoErr(err)
			is.True(strings.HasPrefix(string(data), c.want))
		})
	}
	awaitIdle(t, up)
}

// Guards against a connection that is never closed after an early response, because
// an attempt is still waiting for the rest of the request body.
func TestEarlyResponseToSlowUpload(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, testRoute(), []string{serveUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(50 * time.Millisecond) // long enough for the entry to wait for the rest of the body
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusForbidden)
	}))})
	conn, err := net.Dial("tcp", h.addr)
	is.NoErr(err)
	defer conn.Close()
	_, _ = io.WriteString(conn, "POST /upload HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\nabc")
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	data, err := io.ReadAll(conn)
	is.NoErr(err) // the entry must close the connection
	is.True(strings.HasPrefix(string(data), "HTTP/1.1 403"))
	is.Equal(h.entry.Running(), int64(0))
}

// Guards against callers that satisfy the progress limits by sending single bytes at long intervals.
func TestProgressMonitorEnforcesRate(t *testing.T) {
	is := is.New(t)
	var fired atomic.Bool
	p := newProgressMonitor(progressLimits{stall: time.Hour, grace: time.Millisecond, rate: 1000}, func() { fired.Store(true) })
	p.waited, p.bytes = time.Second, 999
	p.beginRead()
	for deadline := time.Now().Add(5 * time.Second); !fired.Load() && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
	}
	is.True(p.endRead(1)) // the read was interrupted
	p.close()
}

func awaitIdle(t *testing.T, up *standin.Upstream) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); up.Counts().InFlight > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("a request is still running at the upstream")
		}
	}
}

// Guards against requests that keep running at the upstream after their caller disconnected.
func TestCallerGoesAway(t *testing.T) {
	is := is.New(t)
	up := standin.NewUpstream(standin.UpstreamConfig{ID: "a", Slots: 4, ServiceTime: time.Hour})
	h := newHarness(t, testRoute(), []string{serveUpstream(t, up)})
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, "GET", h.url+"/", nil)
	is.NoErr(err)
	failed := make(chan error)
	go func() { _, err := h.client.Do(req); failed <- err }()
	for up.Counts().InFlight == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	is.True(<-failed != nil)
	awaitIdle(t, up)
	is.Equal(up.Counts().Cancelled, uint64(1))
}

// Guards against interrupted uploads that look complete: to the caller, when the upstream closes the
// connection, or to the upstream, when the caller does.
func TestInterruptedUploads(t *testing.T) {
	t.Run("by the upstream", func(t *testing.T) {
		is := is.New(t)
		up := newRawUpstream(t, func(_ int64, c net.Conn) {
			req, err := http.ReadRequest(bufio.NewReader(c))
			if err == nil {
				_, _ = io.CopyN(io.Discard, req.Body, 100<<10)
			}
		})
		h := newHarness(t, testRoute(), []string{up.addr})
		r := h.do("POST", "/upload", strings.NewReader(strings.Repeat("x", 8<<20)))
		is.True(r.err != nil || (r.status == 502 && r.outcome() == string(Unknown)))
		is.Equal(up.conns.Load(), int64(1))
	})
	t.Run("by the caller", func(t *testing.T) {
		is := is.New(t)
		failed := make(chan error, 1)
		h := newHarness(t, testRoute(), []string{serveUpstream(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, err := io.Copy(io.Discard, r.Body)
			failed <- err
		}))})
		c, err := net.Dial("tcp", h.addr)
		is.NoErr(err)
		_, _ = io.WriteString(c, "POST /upload HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", 200<<10))
		_ = c.Close()
		is.True(<-failed != nil) // the upstream must not accept the partial body as complete
	})
}

// Guards against a response that takes longer than its route allows, because it stalls after its first
// bytes or never ends.
func TestAnswerEndsWithinItsLimit(t *testing.T) {
	const limit = 300 * time.Millisecond
	for name, script := range map[string]string{
		"stalled body":     "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nabc",
		"stalled chunk":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"body without end": "HTTP/1.1 200 OK\r\n\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			closed := make(chan struct{})
			up := newRawUpstream(t, func(_ int64, c net.Conn) {
				defer close(closed)
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, _ = io.WriteString(c, script)
				for name == "body without end" {
					if _, err := io.WriteString(c, "more"); err != nil {
						return
					}
					time.Sleep(time.Millisecond)
				}
				_, _ = io.Copy(io.Discard, c)
			})
			route := testRoute()
			route.IdentityHeader, route.Deadline, route.AnswerLimit = "", table.Duration(limit/2), table.Duration(limit)
			h := newHarness(t, route, []string{up.addr})
			start := time.Now()
			r := h.do("POST", "/", nil)
			is.Equal(r.status, 200)
			is.True(r.err != nil) // the truncated response must be an error
			is.True(time.Since(start) < 10*limit)
			<-closed
		})
	}
}

// Guards against a response header that never ends: it must neither keep the caller waiting beyond the
// deadline nor exhaust memory.
func TestEndlessResponseHeaderIsAborted(t *testing.T) {
	const limit = 300 * time.Millisecond
	for name, pause := range map[string]time.Duration{"slow": time.Millisecond, "fast": 0} {
		for _, line := range []string{"X-More: 1\r\n", "HTTP/1.1 102 Processing\r\n\r\n"} {
			t.Run(name+" "+line[:6], func(t *testing.T) {
				is := is.New(t)
				closed := make(chan struct{})
				up := newRawUpstream(t, func(_ int64, c net.Conn) {
					defer close(closed)
					_, _ = http.ReadRequest(bufio.NewReader(c))
					_, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
					if !strings.HasPrefix(line, "HTTP") {
						_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
					}
					for ; err == nil; time.Sleep(pause) {
						_, err = io.WriteString(c, line)
					}
				})
				route := testRoute()
				route.IdentityHeader, route.Deadline = "", table.Duration(limit)
				h := newHarness(t, route, []string{up.addr})
				start := time.Now()
				r := h.do("POST", "/", nil)
				is.NoErr(r.err)
				is.True(r.status == 502 || r.status == 504)
				is.True(time.Since(start) < 10*limit)
				<-closed
			})
		}
	}
}
