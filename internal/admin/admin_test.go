package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/control"
	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/pkg/table"
)

func get(s *Server, path string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest("GET", path, nil))
	return w
}

// Guards against reporting an instance without tables or one that is leaving as ready,
// and against serving profiles when they are not enabled.
func TestReadinessAndPprof(t *testing.T) {
	is := is.New(t)
	ready := false
	s := New(settings.Admin{}, func() bool { return ready }, func() any { return nil })
	is.Equal(get(s, "/readyz").Code, 503)
	ready = true
	is.Equal(get(s, "/readyz").Code, 200)
	s.SetLeaving()
	is.Equal(get(s, "/readyz").Code, 503)
	is.Equal(get(s, "/livez").Code, 200)
	is.Equal(get(s, "/debug/pprof/cmdline").Code, 404)
	is.True(strings.Contains(get(s, "/schema/route").Body.String(), `"identity_header"`))
	is.Equal(get(s, "/schema/other").Code, 404)
	withPprof := New(settings.Admin{Pprof: true}, func() bool { return true }, func() any { return nil })
	is.Equal(get(withPprof, "/debug/pprof/cmdline").Code, 200)
}

// Guards against a status without upstreams that are out, missing pools or refused rows.
func TestStatusOf(t *testing.T) {
	is := is.New(t)
	cfg := settings.Settings{Instance: "a"}
	is.Equal(StatusOf(cfg, &control.Snapshot{}, false, nil).State, StateStarting)
	up := func(id, domain string) table.Upstream { return table.Upstream{ID: id, FailureDomain: domain} }
	tables := table.NewTables(7, []table.Route{{Name: "r", Pool: "none"}}, []table.Pool{{
		Name: "p", Upstreams: []table.Upstream{up("u3", "n2"), up("u1", "n1"), up("u2", "n2")},
		FailureDomainsOut: []string{"n1"}, UpstreamsOut: []string{"u3"},
	}})
	snapshot := &control.Snapshot{Tables: tables, Refused: table.Problems{{Path: "k"}}}
	s := StatusOf(cfg, snapshot, false, func(string, table.Upstream) (string, int64) { return "cold", 3 })
	var got []string
	for _, u := range s.Upstreams {
		got = append(got, u.ID+" "+u.State)
	}
	is.Equal(got, []string{"u1 out", "u2 cold", "u3 out"})
	is.Equal(s.Upstreams[1].InFlight, int64(3))
	is.Equal(s.Revision, uint64(7))
	is.Equal(len(s.MissingPools), 1)
	is.Equal(len(s.RowsRefused), 1)
	is.Equal(StatusOf(cfg, snapshot, true, nil).State, StateLeaving)

	empty, err := json.Marshal(StatusOf(cfg, &control.Snapshot{}, false, nil))
	is.NoErr(err)
	is.True(!strings.Contains(string(empty), "null")) // empty lists are [], not null, for programs that read them
}

// Guards against a request to the admin listener that is cut when the process ends.
func TestRunningRequestIsAnsweredBeforeRunReturns(t *testing.T) {
	is := is.New(t)
	began := make(chan struct{})
	s := New(settings.Admin{}, nil, func() any {
		close(began)
		time.Sleep(drainTime / 4)
		return "running"
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.serve(ctx, l) }()
	go func() { <-began; cancel() }()
	resp, err := http.Get("http://" + l.Addr().String() + "/status")
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, 200)
	is.True(errors.Is(<-ended, context.Canceled))
}

// Guards against a process that does not end because a request to the admin listener goes on.
func TestLongRequestEndsWithTheProcess(t *testing.T) {
	is := is.New(t)
	began, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	s := New(settings.Admin{}, nil, func() any {
		close(began)
		<-release
		return nil
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-began; cancel() }()
	go func() {
		if resp, err := http.Get("http://" + l.Addr().String() + "/status"); err == nil {
			_ = resp.Body.Close()
		}
	}()
	is.True(errors.Is(s.serve(ctx, l), context.Canceled))
}
