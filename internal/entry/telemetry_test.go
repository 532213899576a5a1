package entry

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// Guards against a log in which the repeats of a request that lost its upstream cannot be found.
func TestLogOfLostAttemptsTellsRepeatsFromOthers(t *testing.T) {
	is := is.New(t)
	upstream := newRawUpstream(t, func(_ int64, c net.Conn) {
		_, _ = c.Read(make([]byte, 4096))
		_ = c.Close()
	})
	var mu sync.Mutex
	var fingerprints []string
	log := funcr.NewJSON(func(line string) {
		var fields struct{ Msg, Error, Fingerprint string }
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Error(err)
		}
		if fields.Msg == "attempt" && fields.Error != "" {
			mu.Lock()
			defer mu.Unlock()
			fingerprints = append(fingerprints, fields.Fingerprint)
		}
	}, funcr.Options{})
	route := testRoute()
	route.Retry.MaxAttempts = 1
	h := newHarness(t, route, []string{upstream.addr}, func(s *settings.Settings, _ *Ports, e *Entry) {
		if s != nil {
			s.Log.Requests = true
		}
		if e != nil {
			e.log = log
		}
	})
	for _, path := range []string{"/a", "/a", "/b"} {
		is.Equal(h.do("GET", path, nil).status, 502)
	}
	mu.Lock()
	defer mu.Unlock()
	is.Equal(len(fingerprints), 3)
	is.True(fingerprints[0] != "")
	is.Equal(fingerprints[0], fingerprints[1])
	is.True(fingerprints[0] != fingerprints[2])
}

// Guards against a log that does not tell whether a request met the close of an idle connection.
func TestCloseOfIdleConnectionIsLogged(t *testing.T) {
	is := is.New(t)
	lines := make(chan string, 1)
	log := funcr.NewJSON(func(line string) {
		if strings.Contains(line, "idle connection") {
			lines <- line
		}
	}, funcr.Options{Verbosity: 1})
	const limit = 100 * time.Millisecond
	h := newHarness(t, testRoute(), []string{serveUpstream(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))}, func(_ *settings.Settings, _ *Ports, e *Entry) {
		if e != nil {
			e.log = log
		}
	})
	snapshot := *h.tables.Snapshot()
	snapshot.Limits.IdleTimeout = table.Duration(limit) // below that of http.Server, which would close the connection, too
	h.tables.current.Store(&snapshot)
	caller := dialCaller(t, h.addr)
	caller.send("/")
	is.Equal(caller.status(), 200)
	select {
	case line := <-lines:
		var fields struct{ Msg, Caller, Idle, Limit string }
		is.NoErr(json.Unmarshal([]byte(line), &fields))
		is.Equal(fields.Msg, "idle connection of a caller closed")
		is.Equal(fields.Caller, caller.LocalAddr().String())
		is.Equal(fields.Limit, limit.String())
		idle, err := time.ParseDuration(fields.Idle)
		is.NoErr(err)
		is.True(idle >= limit)
	case <-time.After(5 * time.Second):
		t.Fatal("the close was not logged")
	}
}
