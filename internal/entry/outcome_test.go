package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/standin"
)

// readRequest reads one request with its body.
func readRequest(c net.Conn) (*http.Request, error) {
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err == nil {
		_, err = io.Copy(io.Discard, req.Body)
	}
	return req, err
}

// newDroppingUpstream reads one request per connection and closes the connection without a response.
func newDroppingUpstream(t testing.TB) *rawUpstream {
	return newRawUpstream(t, func(_ int64, c net.Conn) { _, _ = readRequest(c) })
}

// newAnsweringUpstream sends a fixed response to the first request of each connection.
func newAnsweringUpstream(t testing.TB, answer string) *rawUpstream {
	return newRawUpstream(t, func(_ int64, c net.Conn) {
		if _, err := readRequest(c); err == nil {
			_, _ = io.WriteString(c, answer)
		}
	})
}

const (
	okResponse   = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"
	shedResponse = "HTTP/1.1 503 Busy\r\nTurmericsail-Outcome: not-run\r\nRetry-After: 7\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	busyResponse = "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbusy"
)

// Guards against a false not-run outcome, against running a non-idempotent request
// again after a byte was sent, and against retries on the same upstream.
func TestOutcomeOfFailures(t *testing.T) {
	for _, c := range []struct {
		name, method string
		upstreams    []string // closed, lose, shed, busy or ok
		status       int
		outcome      Outcome
		attempts     int64
	}{
		{"connection refused, GET", "GET", []string{"closed"}, 503, NotRun, 0},
		{"connection refused, POST", "POST", []string{"closed"}, 503, NotRun, 0},
		{"POST is retried when no byte was sent", "POST", []string{"closed", "ok"}, 200, "", 1},
		{"lost POST runs once", "POST", []string{"lose", "lose"}, 502, Unknown, 1},
		{"lost GET is retried on another upstream only", "GET", []string{"lose", "lose"}, 502, Unknown, 2},
		{"lost GET on a single upstream", "GET", []string{"lose"}, 502, Unknown, 1},
		{"shed POST is retried", "POST", []string{"shed", "ok"}, 200, "", 2},
		{"shed everywhere", "POST", []string{"shed", "shed"}, 503, NotRun, 2},
		{"lost, then shed", "GET", []string{"lose", "shed"}, 0, Unknown, 2},
		{"busy GET is retried", "GET", []string{"busy", "ok"}, 200, "", 2},
		{"busy POST gets the upstream's 503", "POST", []string{"busy"}, 503, "", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var raws []*rawUpstream
			var addresses []string
			for _, kind := range c.upstreams {
				if kind == "closed" {
					addresses = append(addresses, closedAddress(t))
					continue
				}
				raw := newDroppingUpstream(t)
				if answer := map[string]string{"ok": okResponse, "shed": shedResponse, "busy": busyResponse}[kind]; answer != "" {
					raw = newAnsweringUpstream(t, answer)
				}
				raws, addresses = append(raws, raw), append(addresses, raw.addr)
			}
			h := newHarness(t, testRoute(), addresses, withPorts(func(p *Ports) { p.Placement = &inOrder{} }))
			r := h.do(c.method, "/", nil)
			is.NoErr(r.err)
			if c.status != 0 {
				is.Equal(r.status, c.status)
			}
			is.Equal(r.outcome(), string(c.outcome))
			var attempts int64
			for _, raw := range raws {
				is.True(raw.conns.Load() <= 1) // no retry on the same upstream
				attempts += raw.conns.Load()
			}
			is.Equal(attempts, c.attempts)
		})
	}
}

// Guards against dropping an upstream's Retry-After, and against a refusal without a remedy.
func TestRefusalHasRemedyAndRetryAfter(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, testRoute(), []string{newAnsweringUpstream(t, shedResponse).addr})
	r := h.do("POST", "/", nil)
	is.Equal(r.status, 503)
	is.Equal(r.header.Get("Retry-After"), "7")
	is.True(strings.Contains(r.body, `"kind":"upstream-shed"`))
	is.True(strings.Contains(r.body, `"remedy":"`))
}

// Guards against a body that is dropped or changed when a second attempt sends it,
// and against a retry whose body is incomplete.
func TestBodyIsReplayedOnlyWhenKept(t *testing.T) {
	up := standin.NewUpstream(standin.UpstreamConfig{ID: "a", Slots: 4})
	for _, c := range []struct {
		size   int
		status int
	}{{10, 200}, {replayLimit, 200}, {1 << 20, 0}} {
		is := is.New(t)
		h := newHarness(t, testRoute(), []string{newAnsweringUpstream(t, shedResponse).addr, serveUpstream(t, up)}, withPorts(func(p *Ports) { p.Placement = &inOrder{} }))
		r := h.do("POST", "/upload", strings.NewReader(strings.Repeat("x", c.size)))
		is.NoErr(r.err)
		if c.status == 0 {
			is.True(r.status == 503 || strings.Contains(r.body, `"bytes":1048576`)) // the complete body or none
			continue
		}
		is.Equal(r.status, c.status)
		is.True(strings.Contains(r.body, digestOf(c.size)))
	}
}

// Guards against a deadline that is ignored when the upstream never responds.
func TestDeadlineEndsTheWait(t *testing.T) {
	is := is.New(t)
	gone := make(chan struct{})
	up := newRawUpstream(t, func(_ int64, c net.Conn) {
		_, _ = io.Copy(io.Discard, c) // ends when the entry closes the connection
		close(gone)
	})
	h := newHarness(t, testRoute(), []string{up.addr})
	r := h.do("GET", "/", nil, HeaderDeadline, "50")
	is.Equal(r.status, http.StatusGatewayTimeout)
	is.Equal(r.outcome(), string(Unknown))
	select {
	case <-gone: // a late response has no connection to arrive on
	case <-time.After(5 * time.Second):
		t.Fatal("the upstream's connection was left open after the deadline")
	}
}
