package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/standin"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// Guards against delaying responses in a buffer, against dropping trailers in either
// direction, and against waiting for the end of the request body before the response.
func TestStreamsBothWaysWithTrailers(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, testRoute(), []string{serveUpstream(t, standin.NewUpstream(standin.UpstreamConfig{ID: "a", Slots: 4}))})
	in, out := io.Pipe()
	req, err := http.NewRequest("PUT", h.url+"/echo", in)
	is.NoErr(err)
	req.Trailer = http.Header{"X-Sum": nil}
	resp, err := h.client.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	lines := bufio.NewReader(resp.Body)
	for i := range 3 {
		fmt.Fprintf(out, "line %d\n", i)
		line, err := lines.ReadString('\n') // arrives while the request body is still open
		is.NoErr(err)
		is.Equal(line, fmt.Sprintf("line %d\n", i))
	}
	req.Trailer["X-Sum"] = []string{"42"}
	_ = out.Close()
	_, err = io.ReadAll(lines)
	is.NoErr(err)
	is.Equal(resp.Trailer.Get("X-Sum"), "42")
}

// Guards against forwarding hop-by-hop headers, and against missing Via and
// X-Forwarded-For headers.
func TestHeadersByRFC9110(t *testing.T) {
	is := is.New(t)
	var seen http.Header
	h := newHarness(t, testRoute(), []string{serveUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen = r.Header.Clone()
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.Header().Set("Keep-Alive", "timeout=5")
		w.Header().Set("X-End", "2")
	}))})
	r := h.do("GET", "/", nil, "Connection", "x-secret, close", "X-Secret", "s", "Te", "trailers", "Proxy-Authorization", "p",
		"Upgrade", "x", "X-Forwarded-For", "10.1.1.1", "Via", "1.0 front", "X-End", "e", HeaderOutcome, "not-run")
	is.NoErr(r.err)
	for _, name := range []string{"X-Secret", "Proxy-Authorization", "Upgrade", "Connection", HeaderOutcome} {
		is.Equal(seen.Get(name), "") // hop-by-hop
	}
	is.Equal(seen.Get("X-End"), "e")
	is.Equal(seen.Get("Te"), "trailers")
	is.Equal(seen.Get("X-Forwarded-For"), "10.1.1.1, 127.0.0.1")
	is.Equal(seen.Values("Via"), []string{"1.0 front", "1.1 turmericsail"})
	is.Equal(seen.Get("User-Agent"), "Go-http-client/1.1") // the value sent by the caller
	is.Equal([]string{r.header.Get("X-Hop"), r.header.Get("Keep-Alive"), r.header.Get("X-End")}, []string{"", "", "2"})
}

// Guards against 1xx responses that are dropped or whose headers leak into the final response.
func TestEarlyHints(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, testRoute(), []string{serveUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Link", "</a.css>")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del("Link")
		w.WriteHeader(http.StatusOK)
	}))})
	var hints []string
	trace := &httptrace.ClientTrace{Got1xxResponse: func(code int, header textproto.MIMEHeader) error {
		hints = append(hints, fmt.Sprint(code, header.Get("Link")))
		return nil
	}}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(t.Context(), trace), "GET", h.url, nil)
	is.NoErr(err)
	resp, err := h.client.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(hints, []string{"103</a.css>"})
	is.Equal(resp.Header.Get("Link"), "")
}

// Guards against sending 100 (Continue) although the upstream refused the request by
// its header, and against never sending it.
func TestExpectContinue(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, testRoute(), []string{serveUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/refuse" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		n, _ := io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, n)
	}))})
	const head = " HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n"
	refused := h.sendRaw("POST /refuse" + head)
	is.True(strings.HasPrefix(refused, "HTTP/1.1 403"))
	taken := h.sendRaw("POST /take" + head + "abc")
	is.True(strings.HasPrefix(taken, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200"))
	is.True(strings.HasSuffix(taken, "3"))
}

// Guards against a response that is broken off because its upstream is silent for a while, though the time that the route allows
// for it has not passed.
func TestSilenceWithinTheAnswerLimitEndsNoResponse(t *testing.T) {
	is := is.New(t)
	const stall = 50 * time.Millisecond
	up := newRawUpstream(t, func(_ int64, c net.Conn) {
		if _, err := readRequest(c); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab")
			time.Sleep(6 * stall)
			_, _ = io.WriteString(c, "cd")
		}
	})
	route := testRoute()
	route.AnswerLimit = table.Duration(100 * stall)
	h := newHarness(t, route, []string{up.addr}, withTiming(func(x *timing) { x.responseStall = stall }))
	r := h.do("GET", "/", nil)
	is.NoErr(r.err)
	is.Equal(r.body, "abcd")
}

// Guards against a response that stalls forever, and against an aborted response
// that looks complete, when no other upstream can serve the rest.
func TestStalledResponseIsAborted(t *testing.T) {
	is := is.New(t)
	up := standin.NewUpstream(standin.UpstreamConfig{ID: "a", Slots: 4})
	up.SetFaults(standin.UpstreamFaults{StallAfter: 1000})
	h := newHarness(t, testRoute(), []string{serveUpstream(t, up)}, withTiming(func(x *timing) { x.responseStall = 50 * time.Millisecond }))
	r := h.do("GET", "/bytes?size=100000", nil)
	is.Equal(r.status, 200)
	is.True(r.err != nil)
	awaitIdle(t, up)
}
