package gateway

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
	"github.com/turmericsail/turmericsail/pkg/kernel"
	"github.com/turmericsail/turmericsail/platform/platformtest"
)

// Guards against an instance that ends when its settings change before its services are provisioned, and that then uses the
// settings of its start.
func TestReloadBeforeProvisioning(t *testing.T) {
	is := is.New(t)
	cfg := settings.Settings{Instance: "e1", Region: "north", FailureDomain: "n1", Platform: &settings.Platform{
		Store: "127.0.0.1:1", Domains: map[string]string{"n1": "north"}, Bounds: []string{"probes_per_s=60", "retry_budget_slack=10"},
	}}
	k, err := New(cfg, logr.Discard())
	is.NoErr(err)
	changed := cfg
	changed.Platform = &settings.Platform{Bounds: []string{"probes_per_s=30", "retry_budget_slack=20"}}
	is.NoErr(Reload(k, changed, logr.Discard()))
	c, err := kernel.Lookup[*entryService](k, EntryHTTP)
	is.NoErr(err)
	is.Equal(c.bounds.ProbesPerSecond, 30.0)
	is.Equal(c.bounds.RetryReserve, 20)
}

// Guards against an instance that reports that it is ready while callers cannot connect to it yet.
func TestInstanceIsNotReadyBeforeItListens(t *testing.T) {
	is := is.New(t)
	store := platformtest.NewStore()
	store.PutMinimalConfig()
	storeServer := httptest.NewServer(store)
	defer storeServer.Close()
	cfg, err := settings.Parse([]byte(fmt.Sprintf(`{"instance":"e1","region":"north","failure_domain":"n1","regions":["north"],
"callers":{"listen":"127.0.0.1:0","plaintext":true},"peers":{"listen":"127.0.0.1:0","plaintext":true},"admin":{"listen":"127.0.0.1:0"},
"platform":{"store":%q,"domains":{"n1":"north"},"bounds":["probes_per_s=60","retry_budget_slack=10"]}}`, storeServer.Listener.Addr().String())))
	is.NoErr(err)
	k, err := New(cfg, logr.Discard())
	is.NoErr(err)
	is.NoErr(k.Provision())
	followed, err := kernel.Lookup[*followService](k, ControlFollow)
	is.NoErr(err)
	data, err := kernel.Lookup[*entryService](k, EntryHTTP)
	is.NoErr(err)
	admin, err := kernel.Lookup[*adminService](k, AdminHTTP)
	is.NoErr(err)
	ready := func() bool {
		w := httptest.NewRecorder()
		admin.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/readyz", nil))
		return w.Code == http.StatusOK
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer func() { cancel(); running.Wait() }()
	within := func(condition func() bool) bool {
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if condition() {
				return true
			}
		}
		return false
	}

	running.Go(func() { _ = followed.Run(ctx) })
	is.True(within(followed.Ready)) // the instance has tables
	is.True(!ready())

	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	running.Go(func() { _ = data.Serve(ctx, l) })
	is.True(within(ready))
}
