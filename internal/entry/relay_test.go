package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/internal/standin"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// pipeRelay opens streams to an entry in the same process.
type pipeRelay struct {
	inner  *Entry
	cut    bool // close each stream after the first byte
	opened atomic.Int64
}

func (p *pipeRelay) Open(_ context.Context, _ []string) (net.Conn, string, error) {
	p.opened.Add(1)
	if p.inner == nil {
		return nil, "", errors.New("no entry")
	}
	outer, inner := net.Pipe()
	if p.cut {
		go func() { _, _ = inner.Read(make([]byte, 1)); _ = inner.Close() }()
	} else {
		go p.inner.ServeRelayed(inner)
	}
	return outer, "south", nil
}

func homeRoute() table.Route {
	r := testRoute()
	r.HomeRegions = []string{"south"}
	return r
}

// newHomeEntry starts an entry inside the home region.
func newHomeEntry(t *testing.T, up *standin.Upstream, o ...option) *harness {
	h := newHarness(t, homeRoute(), []string{serveUpstream(t, up)}, append(o, withSettings(func(s *settings.Settings) { s.Region = "south" }))...)
	h.pool.Upstreams[0].Region = "south"
	h.apply()
	return h
}

// Guards against a request with home regions that is served, stored or logged
// outside them, and against a relay that drops or changes bytes.
func TestRelayIntoTheHomeRegion(t *testing.T) {
	is := is.New(t)
	up := standin.NewUpstream(standin.UpstreamConfig{ID: "a", Slots: 4})
	claims := &memoryClaims{}
	inner := newHomeEntry(t, up, withPorts(func(p *Ports) { p.Claims = claims }))
	var lines bytes.Buffer
	outerClaims := &memoryClaims{}
	outer := newHarness(t, homeRoute(), []string{serveUpstream(t, up)},
		withPorts(func(p *Ports) { p.Relay, p.Claims = &pipeRelay{inner: inner.entry}, outerClaims }),
		withSettings(func(s *settings.Settings) { s.Log.Requests = true }))
	outer.entry.log = funcr.New(func(prefix, args string) { fmt.Fprintln(&lines, prefix, args) }, funcr.Options{})
	checkDownload(t, outer.do("GET", fmt.Sprintf("/bytes?size=%d", downloadSize), nil), 0, downloadSize)
	sent := outer.do("POST", "/upload", strings.NewReader(strings.Repeat("x", downloadSize)), identity...)
	is.NoErr(sent.err)
	is.True(strings.Contains(sent.body, digestOf(downloadSize)))
	is.True(strings.Contains(outer.do("GET", "/p", nil, HeaderDepth, "4").body, `"depth":"5"`)) // one hop, not two
	is.Equal(len(claims.records), 1)
	is.Equal(len(outerClaims.records), 0) // nothing is stored outside
	is.Equal(lines.String(), "")          // nothing is logged outside
}

// Guards against a false not-run outcome from the entry outside the home regions, and
// against relay loops between entries whose tables differ.
func TestRelayFailures(t *testing.T) {
	up := standin.NewUpstream(standin.UpstreamConfig{ID: "a", Slots: 4})
	onward := &pipeRelay{}
	outside := newHarness(t, homeRoute(), []string{serveUpstream(t, up)}, // its own region is also outside the home regions
		withPorts(func(p *Ports) { p.Relay = onward }))
	for _, c := range []struct {
		name    string
		relay   *pipeRelay
		header  []string
		status  int
		outcome Outcome
	}{
		{"no entry reachable", &pipeRelay{}, nil, 421, NotRun},
		{"no entry reachable, with identity", &pipeRelay{}, identity, 421, Unknown},
		{"cut after a byte", &pipeRelay{inner: outside.entry, cut: true}, nil, 502, Unknown},
		{"inner entry is outside", &pipeRelay{inner: outside.entry}, nil, 421, NotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			outer := newHarness(t, homeRoute(), []string{closedAddress(t)}, withPorts(func(p *Ports) { p.Relay = c.relay }))
			r := outer.do("POST", "/", nil, c.header...)
			is.NoErr(r.err)
			is.Equal(r.status, c.status)
			is.Equal(r.outcome(), string(c.outcome))
		})
	}
	if n := onward.opened.Load(); n != 0 {
		t.Fatalf("%d requests were passed on twice", n)
	}
	if n := up.Counts().Requests; n != 0 {
		t.Fatalf("%d requests were served outside the home regions", n)
	}
}

// Guards against a placement that picks an upstream outside the home regions.
func TestUpstreamOutsideTheHomeRegionsGetsNothing(t *testing.T) {
	is := is.New(t)
	up := standin.NewUpstream(standin.UpstreamConfig{ID: "a", Slots: 4})
	h := newHarness(t, homeRoute(), []string{serveUpstream(t, up)}, withPorts(func(p *Ports) { p.Placement = &inOrder{} }),
		withSettings(func(s *settings.Settings) { s.Region = "south" }))
	r := h.do("GET", "/", nil)
	is.Equal(r.status, 503)
	is.Equal(r.outcome(), string(NotRun))
	is.Equal(up.Counts().Requests, uint64(0))
}

// Guards against a request log that lacks fields or contains a path or a header value.
func TestRequestLog(t *testing.T) {
	is := is.New(t)
	var lines bytes.Buffer
	up := standin.NewUpstream(standin.UpstreamConfig{ID: "a", Slots: 4})
	route := testRoute()
	route.Workspace = "acme"
	h := newHarness(t, route, []string{serveUpstream(t, up)}, withSettings(func(s *settings.Settings) { s.Log.Requests = true }))
	h.entry.log = funcr.NewJSON(func(line string) { fmt.Fprintln(&lines, line) }, funcr.Options{})
	is.Equal(h.do("GET", "/secret-path", nil, "Authorization", "secret-token", HeaderRequestID, "r-9").status, 200)
	_ = h.entry.Shutdown(t.Context()) // the line is written after the response
	for _, part := range []string{`"request":"r-9"`, `"tenant":"acme"`, `"route":"all"`, `"upstream":"u1"`, `"status":200`, `"bytes_down"`} {
		is.True(strings.Contains(lines.String(), part))
	}
	is.True(!strings.Contains(lines.String(), "secret"))
}

// Guards against logging a request as an upstream failure when its caller disconnected.
func TestCallerLeftIsLogged(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var lines strings.Builder
	up := standin.NewUpstream(standin.UpstreamConfig{ID: "a", Slots: 4, ServiceTime: time.Hour})
	h := newHarness(t, testRoute(), []string{serveUpstream(t, up)}, withSettings(func(s *settings.Settings) { s.Log.Requests = true }))
	h.entry.log = funcr.NewJSON(func(line string) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintln(&lines, line)
	}, funcr.Options{})
	ctx, disconnect := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, h.url+"/", nil)
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}()
	for up.Counts().Requests == 0 {
		time.Sleep(time.Millisecond)
	}
	disconnect()
	<-ended
	_ = h.entry.Shutdown(t.Context()) // the lines are written after the request has ended
	mu.Lock()
	defer mu.Unlock()
	is.True(strings.Contains(lines.String(), `"error":"the caller left"`))
	is.True(strings.Contains(lines.String(), `"cause":"the caller left"`))
}

// Guards against an unbounded number of time series from a header set by callers.
func TestWorkspaceSeriesAreBounded(t *testing.T) {
	is := is.New(t)
	m := newTelemetry()
	for i := range 10 * maxWorkspaces {
		m.duration("bounded", fmt.Sprintf("tenant-%d", i), "normal")
	}
	is.Equal(len(*m.requests.Load()), maxWorkspaces+1)
}
