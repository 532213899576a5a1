package gateway

import (
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/admin"
	"github.com/turmericsail/turmericsail/internal/control"
	"github.com/turmericsail/turmericsail/internal/entry"
	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/pkg/placement/sampled"
	"github.com/turmericsail/turmericsail/pkg/table"
	"github.com/turmericsail/turmericsail/platform"
)

// knownTables is a Snapshots with fixed tables.
type knownTables struct{ tables *table.Tables }

// Snapshot implements entry.Snapshots.
func (k knownTables) Snapshot() *control.Snapshot { return &control.Snapshot{Tables: k.tables} }

// Guards against explanations that use a budget, send a probe (there is no prober) or repeat a key, and against ones that
// differ from what a request would meet.
func TestWhere(t *testing.T) {
	const key = "secret-key"
	is := is.New(t)
	var lines []string
	log := funcr.NewJSON(func(line string) { lines = append(lines, line) }, funcr.Options{Verbosity: 9})
	cfg := settings.Settings{Instance: "e1", Region: "north", FailureDomain: "n1"}
	routes := []table.Route{
		{Name: "all", Match: table.Match{PathPrefix: "/"}, Split: []table.Share{{Pool: "p", Weight: 3}, {Pool: "q", Weight: 1}}, Workspace: "w", Target: table.Duration(time.Second), Retry: table.Retry{MaxAttempts: 3}},
		{Name: "write", Match: table.Match{PathPrefix: "/", Methods: []string{"POST"}}, Pool: "p"},
		{Name: "none", Match: table.Match{PathPrefix: "/none"}, Pool: "missing"},
	}
	pool := table.Pool{Name: "p", UpstreamsOut: []string{"u2"}, Upstreams: []table.Upstream{{ID: "u1", Region: "north", FailureDomain: "n1"}, {ID: "u2", Region: "north", FailureDomain: "n1"}}}
	known := knownTables{table.NewTables(1, routes, []table.Pool{pool, {Name: "q"}})}
	one := func() int { return 1 }
	c := &entryService{cfg: cfg, snapshots: known, budgets: newRetryBudgets(platform.Bounds{RetryPercent: 20, RetryReserve: 10}, one)}
	h := newHedging(settings.Hedging{Percent: 5, Routes: map[string]float64{"write": 0}, Reserve: 50}, c.budgets, one, func(string) bool { return false })
	c.hedger, c.placement = h, &placementAdapter{policy: sampled.New(sampled.Location{Instance: "e1", Region: "north", FailureDomain: "n1"}, nil, nil, log)}
	c.Entry = entry.New(cfg, known, entry.Ports{Placement: c.placement, Retries: h, Hedger: h, Protocol: platform.Protocol(), Direct: true}, log)
	for range 50 {
		h.Request(&pool, &routes[0])
	}
	ask := func(method, path string) admin.WhereAnswer {
		r := httptest.NewRequest(method, path, nil)
		r.Header.Set("Authorization", "Bearer "+key)
		return c.where(admin.WhereQuestion{Method: method, Path: path, Key: key, FailureDomain: "n2"}, r)
	}
	var a admin.WhereAnswer
	for range 100 {
		a = ask("GET", "/x")
	}
	is.Equal(a.Route, "all")
	is.Equal(a.Workspace, "w")
	is.True(a.Repeatable && a.SameDomain != nil && !*a.SameDomain && a.Refusal == "")
	is.Equal(len(a.Pools), 2)
	p := a.Pools[0]
	is.Equal(p.Share, 0.75)
	is.Equal(p.RetriesLeft, 8.0) // as before: 50 requests at 16%
	is.Equal(*p.Hedge.Left, 2.5) // 50 requests at 5%
	is.Equal(p.Hedge.After, table.Duration(550*time.Millisecond))
	is.Equal(p.Upstreams[0].ID, "u1")
	is.True(p.Upstreams[0].Usable && !p.Upstreams[1].Usable)

	is.Equal(ask("POST", "/x").Pools[0].Hedge, nil)
	is.Equal(ask("GET", "/none/1").Refusal, "no-pool")
	data, err := json.Marshal(a)
	is.NoErr(err)
	is.True(!strings.Contains(string(data)+strings.Join(lines, ""), key))
}
