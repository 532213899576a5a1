package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/pkg/table"
	"github.com/turmericsail/turmericsail/pkg/workspace"
)

// recordingUpstream answers with its name and keeps the requests that it ran.
type recordingUpstream struct {
	mu       sync.Mutex
	requests []*http.Request
	answer   func(n int, w http.ResponseWriter, r *http.Request) // nil: status 200
}

func (u *recordingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	u.mu.Lock()
	u.requests = append(u.requests, r)
	n := len(u.requests)
	u.mu.Unlock()
	if u.answer != nil {
		u.answer(n, w, r)
	}
}

func (u *recordingUpstream) seen() []*http.Request {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]*http.Request(nil), u.requests...)
}

func (u *recordingUpstream) count() int { return len(u.seen()) }

func acme(keys ...string) table.Workspace {
	hashes, err := workspace.HashKeys(keys)
	if err != nil {
		panic(err)
	}
	return table.Workspace{Name: "acme", Keys: hashes, Class: table.ClassCritical}
}

func bearer(key string) []string { return []string{"Authorization", "Bearer " + key} }

// Guards against requests without a valid key that run, against valid ones that are refused, and against an answer that
// promises the wrong thing.
func TestKeysAdmitRequests(t *testing.T) {
	up := &recordingUpstream{}
	route := testRoute()
	route.Match.PathPrefix = "/closed"
	open := testRoute()
	open.Name, open.Match.PathPrefix, open.Public = "open", "/open", true
	h := newHarness(t, route, []string{serveUpstream(t, up)})
	h.routes, h.workspaces = append(h.routes, open), []table.Workspace{acme("good")}
	h.apply()
	for _, c := range []struct {
		name, path string
		header     []string
		status     int
		kind       string
		challenge  string
		workspace  string
	}{
		{"valid", "/closed", bearer("good"), 200, "", "", "acme"},
		{"missing", "/closed", nil, 401, "unknown-key", `Bearer realm="api"`, ""},
		{"unknown", "/closed", bearer("bad"), 401, "unknown-key", `Bearer realm="api", error="invalid_token"`, ""},
		{"other scheme", "/closed", []string{"Authorization", "Basic good"}, 401, "unknown-key", `Bearer realm="api", error="invalid_token"`, ""},
		{"no route, unknown", "/other", bearer("bad"), 404, "no-route", "", ""},
		{"public, missing", "/open", nil, 200, "", "", ""},
		{"public, valid", "/open", bearer("good"), 200, "", "", "acme"},
		{"public, unknown", "/open", bearer("bad"), 401, "unknown-key", `Bearer realm="api", error="invalid_token"`, ""},
		{"the caller names a workspace", "/closed", append(bearer("good"), HeaderWorkspace, "other", HeaderRelayedWorkspace, "other"), 200, "", "", "acme"},
		{"the caller names one without a key", "/closed", []string{HeaderRelayedWorkspace, "acme"}, 401, "unknown-key", `Bearer realm="api"`, ""},
		{"the caller names one on a public route", "/open", []string{HeaderWorkspace, "acme"}, 200, "", "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			before := up.count()
			r := h.do("POST", c.path, strings.NewReader("body"), c.header...)
			is.NoErr(r.err)
			is.Equal(r.status, c.status)
			is.Equal(r.header.Get("Www-Authenticate"), c.challenge)
			if c.status != 200 {
				is.True(strings.Contains(r.body, `"kind":"`+c.kind+`"`))
				is.Equal(up.count(), before)
				if c.status == 401 {
					is.Equal(r.outcome(), string(NotRun))
				}
				return
			}
			is.Equal(up.count(), before+1)
			seen := up.seen()[before].Header
			is.Equal(seen.Values("Authorization"), nil)
			is.Equal(seen.Get(HeaderWorkspace), c.workspace)
			is.Equal(len(seen.Values(HeaderWorkspace)), min(len(c.workspace), 1))
			is.Equal(seen.Values(HeaderRelayedWorkspace), nil)
		})
	}
}

// Guards against several headers that are joined, and against a workspace that a caller sends as a trailer.
func TestKeyInUnusualPlaces(t *testing.T) {
	is := is.New(t)
	up := &recordingUpstream{}
	h := newHarness(t, testRoute(), []string{serveUpstream(t, up)})
	h.workspaces = []table.Workspace{acme("good")}
	h.apply()
	req, err := http.NewRequest("GET", h.url, nil)
	is.NoErr(err)
	req.Header["Authorization"] = []string{"Bearer good", "Bearer good"}
	resp, err := h.client.Do(req)
	is.NoErr(err)
	_ = resp.Body.Close()
	is.Equal(resp.StatusCode, 401)
	req, err = http.NewRequest("PUT", h.url, io.MultiReader(strings.NewReader("body"))) // of unknown length, so chunked
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer good")
	req.Trailer = http.Header{HeaderWorkspace: {"other"}, HeaderRelayedWorkspace: {"other"}, "X-Sum": {"1"}}
	resp, err = h.client.Do(req)
	is.NoErr(err)
	_ = resp.Body.Close()
	is.Equal(resp.StatusCode, 200)
	is.Equal(up.seen()[0].Trailer, http.Header{"X-Sum": {"1"}})
}

// Guards against a change for deployments without workspaces: their headers pass as before.
func TestWithoutWorkspacesNothingChanges(t *testing.T) {
	is := is.New(t)
	up := &recordingUpstream{}
	h := newHarness(t, testRoute(), []string{serveUpstream(t, up)})
	is.Equal(h.do("GET", "/", nil, "Authorization", "Basic x", HeaderWorkspace, "own").status, 200)
	is.Equal(up.seen()[0].Header.Get("Authorization"), "Basic x")
	is.Equal(up.seen()[0].Header.Get(HeaderWorkspace), "own")
}

// Guards against an instance that refuses a valid key because it does not know the configuration yet.
func TestNoConfigurationIsNoUnknownKey(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, testRoute(), nil)
	h.tables.set(nil)
	for _, header := range [][]string{nil, bearer("good")} {
		r := h.do("GET", "/", nil, header...)
		is.NoErr(r.err)
		is.Equal(r.status, 503)
		is.True(strings.Contains(r.body, "no-configuration"))
	}
}

// Guards against a body that is read, or whose end is awaited, before the key is checked.
func TestRefusedKeyDoesNotWaitForTheBody(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, testRoute(), []string{closedAddress(t)})
	h.workspaces = []table.Workspace{acme("good")}
	h.apply()
	body, end := io.Pipe()
	defer end.Close()
	start := time.Now()
	r := h.do("POST", "/", body)
	is.NoErr(r.err)
	is.Equal(r.status, 401)
	is.True(time.Since(start) < 2*time.Second) // the limit on a body's progress is longer
}

// Guards against a check per connection: each request on a kept connection is checked against the keys in force.
func TestKeysChangeWhileConnectionsStayOpen(t *testing.T) {
	is := is.New(t)
	up := &recordingUpstream{}
	h := newHarness(t, testRoute(), []string{serveUpstream(t, up)})
	status := func(key string) int { return h.do("GET", "/", nil, bearer(key)...).status }
	for _, step := range []struct {
		keys     []string
		old, new int
	}{
		{[]string{"old"}, 200, 401},
		{[]string{"old", "new"}, 200, 200},
		{[]string{"new"}, 401, 200},
		{nil, 401, 401},
		{[]string{"old"}, 200, 401},
	} {
		h.workspaces = []table.Workspace{acme(step.keys...)}
		h.apply()
		is.Equal(status("old"), step.old)
		is.Equal(status("new"), step.new)
	}
	h.workspaces = nil
	h.apply()
	is.Equal(status("any"), 200) // without workspaces no key is needed
}

// waitingPlacement keeps requests waiting until released is closed.
type waitingPlacement struct {
	inOrder
	waiting, released chan struct{}
}

func (p *waitingPlacement) Acquire(ctx context.Context, r AcquireRequest) (Permit, error) {
	p.waiting <- struct{}{}
	<-p.released
	return p.inOrder.Acquire(ctx, r)
}

// Guards against a request that waits for an upstream while its key is removed, and runs long after that.
func TestKeyRemovedWhileTheRequestWaits(t *testing.T) {
	is := is.New(t)
	up := &recordingUpstream{}
	p := &waitingPlacement{waiting: make(chan struct{}), released: make(chan struct{})}
	h := newHarness(t, testRoute(), []string{serveUpstream(t, up)}, withPorts(func(ports *Ports) { ports.Placement = p }))
	h.workspaces = []table.Workspace{acme("old", "kept")}
	h.apply()
	removed, kept := make(chan reply, 1), make(chan reply, 1)
	go func() { removed <- h.do("POST", "/", nil, bearer("old")...) }()
	go func() { kept <- h.do("POST", "/", nil, bearer("kept")...) }()
	<-p.waiting
	<-p.waiting
	h.workspaces = []table.Workspace{acme("kept")}
	h.apply()
	close(p.released)
	r := <-removed
	is.Equal(r.status, 401)
	is.Equal(r.outcome(), string(NotRun))
	is.Equal((<-kept).status, 200)
	is.Equal(up.count(), 1)
}

// Guards against a further attempt (retry, hedge, rest of a download) that carries the key or lacks the workspace.
func TestEveryAttemptNamesTheWorkspace(t *testing.T) {
	content := strings.Repeat("x", 1000)
	for name, answer := range map[string]func(int, http.ResponseWriter, *http.Request){
		"retry": func(n int, w http.ResponseWriter, _ *http.Request) {
			if n == 1 {
				panic(http.ErrAbortHandler)
			}
		},
		"hedge": func(n int, _ http.ResponseWriter, r *http.Request) {
			if n == 1 {
				<-r.Context().Done()
			}
		},
		"rest of a download": func(n int, w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Etag", `"v1"`)
			if n == 1 {
				w.Header().Set("Accept-Ranges", "bytes")
				w.Header().Set("Content-Length", "1000")
				_, _ = io.WriteString(w, content[:500])
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			http.ServeContent(w, r, "", time.Time{}, strings.NewReader(content))
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			up := &recordingUpstream{answer: answer}
			route := testRoute()
			route.Hedge.After = table.Duration(50 * time.Millisecond)
			h := newHarness(t, route, []string{serveUpstream(t, up), serveUpstream(t, up)}, withPorts(func(p *Ports) { p.Placement = inOrder{} }))
			h.workspaces = []table.Workspace{acme("good")}
			h.apply()
			r := h.do("GET", "/", nil, append(bearer("good"), HeaderWorkspace, "other")...)
			is.NoErr(r.err)
			is.True(r.status == 200)
			is.Equal(up.count(), 2)
			for _, request := range up.seen() {
				is.Equal(request.Header.Values(HeaderWorkspace), []string{"acme"})
				is.Equal(request.Header.Values("Authorization"), nil)
			}
		})
	}
}

// Guards against a request outside the regions that route and workspace have in common, above all where there are none.
func TestHomeRegionsOfRouteAndWorkspace(t *testing.T) {
	for _, c := range []struct {
		name             string
		route, workspace []string
		status           int
		kind             string
	}{
		{"neither", nil, nil, 200, ""},
		{"workspace here", nil, []string{"north"}, 200, ""},
		{"workspace elsewhere", nil, []string{"south"}, 421, "outside-home-regions"},
		{"common here", []string{"north", "south"}, []string{"north"}, 200, ""},
		{"common elsewhere", []string{"north", "south"}, []string{"south"}, 421, "outside-home-regions"},
		{"none common", []string{"north"}, []string{"south"}, 503, "no-home"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var lines bytes.Buffer
			up := &recordingUpstream{}
			route := testRoute()
			route.HomeRegions = c.route
			h := newHarness(t, route, []string{serveUpstream(t, up)}, withSettings(func(s *settings.Settings) { s.Log.Requests = true }))
			h.entry.log = funcr.NewJSON(func(line string) { fmt.Fprintln(&lines, line) }, funcr.Options{})
			w := acme("good")
			w.HomeRegions = c.workspace
			h.workspaces = []table.Workspace{w}
			h.apply()
			r := h.do("POST", "/", nil, bearer("good")...)
			is.NoErr(r.err)
			is.Equal(r.status, c.status)
			is.Equal(up.count() == 1, c.status == 200)
			_ = h.entry.Shutdown(t.Context()) // the line is written after the response
			if c.status != 200 {
				is.Equal(r.outcome(), string(NotRun))
				is.True(strings.Contains(r.body, c.kind))
			}
			if c.kind == "no-home" {
				is.True(strings.Contains(lines.String(), `\"all\"`) && strings.Contains(lines.String(), `\"acme\"`)) // both names
			}
		})
	}
}

// Guards against a relayed request that carries the key, loses its workspace, or takes one that a caller made up.
func TestRelayedRequestsNameTheWorkspace(t *testing.T) {
	for _, c := range []struct {
		name         string
		outer, inner []table.Workspace
		header       []string
		status       int
		workspace    string
	}{
		{"equal", []table.Workspace{acme("good")}, []table.Workspace{acme("good")}, bearer("good"), 200, "acme"},
		{"key unknown inside", []table.Workspace{acme("good")}, []table.Workspace{acme("later")}, bearer("good"), 200, "acme"},
		{"workspace unknown inside", []table.Workspace{acme("good")}, []table.Workspace{{Name: "next"}}, bearer("good"), 503, ""},
		{"workspaces inside only", nil, []table.Workspace{acme("good")}, bearer("good"), 200, "acme"},
		{"workspaces inside only, name made up", nil, []table.Workspace{acme("good")}, []string{HeaderRelayedWorkspace, "acme"}, 401, ""},
		{"workspaces outside only", []table.Workspace{acme("good")}, nil, bearer("good"), 200, "acme"},
		{"unknown key", []table.Workspace{acme("good")}, []table.Workspace{acme("good")}, bearer("bad"), 401, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			up := &recordingUpstream{}
			inner := newHarness(t, homeRoute(), []string{serveUpstream(t, up)}, withSettings(func(s *settings.Settings) { s.Region = "south" }))
			inner.pool.Upstreams[0].Region = "south"
			inner.workspaces = c.inner
			inner.apply()
			outer := newHarness(t, homeRoute(), []string{closedAddress(t)}, withPorts(func(p *Ports) { p.Relay = &pipeRelay{inner: inner.entry} }))
			outer.workspaces = c.outer
			outer.apply()
			r := outer.do("GET", "/", nil, c.header...)
			is.NoErr(r.err)
			is.Equal(r.status, c.status)
			if c.status != 200 {
				is.Equal(up.count(), 0)
				return
			}
			seen := up.seen()[0].Header
			is.Equal(seen.Values(HeaderWorkspace), []string{c.workspace})
			is.Equal(seen.Values("Authorization"), nil)
			is.Equal(seen.Values(HeaderRelayedWorkspace), nil)
		})
	}
}

// classRecorder records what placement is asked for, and has no upstream.
type classRecorder struct {
	mu   sync.Mutex
	seen []string
}

func (p *classRecorder) Acquire(_ context.Context, r AcquireRequest) (Permit, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seen = append(p.seen, fmt.Sprintf("%s %v %s %s %v", r.Workspace, r.WorkspaceRate, r.Class, r.Route.Class, r.Route.HomeRegions))
	return nil, errors.New("no upstream")
}

// Guards against placement by the class or workspace of the route, or by a workspace that the caller names.
func TestPlacementUsesTheWorkspaceOfTheKey(t *testing.T) {
	is := is.New(t)
	p := &classRecorder{}
	route := testRoute()
	route.Class, route.Workspace, route.WorkspaceHeader = table.ClassBulk, "label", "X-Workspace"
	h := newHarness(t, route, nil, withPorts(func(ports *Ports) { ports.Placement = p }))
	w := acme("good")
	w.HomeRegions, w.RatePerSecond = []string{"north"}, 12.5
	h.workspaces = []table.Workspace{w}
	h.apply()
	is.Equal(h.do("GET", "/", nil, append(bearer("good"), "X-Workspace", "other")...).status, 503)
	is.Equal(p.seen, []string{"acme 12.5 critical critical [north]"})
}

// fingerprintRecorder records the fingerprints that quarantine is asked for.
type fingerprintRecorder struct {
	noQuarantine
	mu   sync.Mutex
	seen []Fingerprint
}

func (q *fingerprintRecorder) Admit(ctx context.Context, r *table.Route, f Fingerprint) (Admission, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.seen = append(q.seen, f)
	return q.noQuarantine.Admit(ctx, r, f)
}

// Guards against a request that is refused because another workspace sent a crashing one that looks the same, and
// against one that gets another fingerprint with another key of its workspace, or by a header of the caller.
func TestFingerprintHasTheWorkspaceOfTheKey(t *testing.T) {
	is := is.New(t)
	q := &fingerprintRecorder{}
	route := testRoute()
	route.WorkspaceHeader = "X-Workspace"
	h := newHarness(t, route, []string{serveUpstream(t, &recordingUpstream{})}, withPorts(func(p *Ports) { p.Quarantine = q }))
	other := acme("third")
	other.Name = "other"
	h.workspaces = []table.Workspace{acme("first", "second"), other}
	h.apply()
	for _, header := range [][]string{bearer("first"), append(bearer("second"), "X-Workspace", "other"), bearer("third")} {
		is.Equal(h.do("GET", "/", nil, header...).status, 200)
	}
	is.Equal(len(q.seen), 3)
	is.Equal(q.seen[0], q.seen[1])
	is.True(q.seen[0] != q.seen[2])
}
