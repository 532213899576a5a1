package gateway

import (
	"testing"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/pkg/kernel"
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
