package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/internal/standin"
	"github.com/turmericsail/turmericsail/pkg/kernel"
)

// Guards against an instance that reports that it is ready while callers cannot connect to it yet.
func TestInstanceIsNotReadyBeforeItListens(t *testing.T) {
	is := is.New(t)
	store := httptest.NewServer(standin.NewStore())
	defer store.Close()
	cfg, err := settings.Parse(fmt.Appendf(nil, `{"instance":"a","region":"r","regions":["r"],"failure_domain":"f",
		"callers":{"listen":"127.0.0.1:0","plaintext":true},"peers":{"listen":"127.0.0.1:0","plaintext":true},
		"admin":{"listen":"127.0.0.1:0"},"store":{"address":%q}}`, store.URL))
	is.NoErr(err)
	k, err := New(cfg, logr.Discard())
	is.NoErr(err)
	is.NoErr(k.Provision())
	admin, err := kernel.Lookup[*adminServer](k, AdminHTTP)
	is.NoErr(err)
	data, err := kernel.Lookup[*entryServer](k, EntryHTTP)
	is.NoErr(err)
	control, err := kernel.Lookup[*loop](k, ControlLoop)
	is.NoErr(err)
	v, err := kernel.Lookup[*views](k, ViewManager)
	is.NoErr(err)
	ready := func() bool {
		w := httptest.NewRecorder()
		admin.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/readyz", nil))
		return w.Code == http.StatusOK
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer func() { cancel(); running.Wait() }()
	within := func(condition func() bool) bool {
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if condition() {
				return true
			}
		}
		return false
	}

	for _, name := range []string{PeerTransport, MembershipTracker, ConfigSync, ControlLoop, ViewManager} {
		r, err := kernel.Lookup[kernel.Runner](k, name)
		is.NoErr(err)
		running.Go(func() { _ = r.Run(ctx) })
	}
	is.True(within(func() bool { // the instance has tables and knows the view of its region
		_, known := v.Current(cfg.Region)
		return known && control.Snapshot().Tables != nil
	}))
	is.True(!ready())

	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	running.Go(func() { _ = data.Serve(ctx, l) })
	is.True(within(ready))
}
