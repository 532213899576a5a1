package entry

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/table"
)

// panickyObserver panics for the responses of one upstream.
type panickyObserver struct{}

func (panickyObserver) Observe(o *Observation) {
	if o.Upstream.ID == "u1" && o.Result.Status != 0 {
		panic("defect")
	}
}

// byWorkspace sends the requests of the workspace "bad" to the first upstream and others to the second.
type byWorkspace struct{ permits *atomic.Int64 }

func (p byWorkspace) Acquire(_ context.Context, r AcquireRequest) (Permit, error) {
	p.permits.Add(1)
	if r.Workspace == "bad" {
		return &countedPermit{r.Pool.Upstreams[0], p.permits}, nil
	}
	return &countedPermit{r.Pool.Upstreams[1], p.permits}, nil
}

// Guards against a defect that one request meets and that ends the process, with the requests of all other callers, and against
// one that leaves no line with the ID of its request.
func TestPanicEndsItsOwnRequestOnly(t *testing.T) {
	for name, hedged := range map[string]bool{"one copy": false, "hedged": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			up := serveUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { time.Sleep(50 * time.Millisecond) }))
			var permits atomic.Int64
			route := testRoute()
			route.WorkspaceHeader = "X-Workspace"
			if hedged {
				route.Hedge.After, route.Hedge.BudgetPercent = table.Duration(time.Millisecond), 100
			}
			h := newHarness(t, route, []string{up, up}, withPorts(func(p *Ports) { p.Placement, p.Observers = byWorkspace{&permits}, []Observer{panickyObserver{}} }))
			var line atomic.Pointer[string]
			h.entry.log = funcr.New(func(_, args string) {
				if strings.Contains(args, "request panicked") {
					line.Store(&args)
				}
			}, funcr.Options{})
			good := make(chan int)
			go func() { good <- h.do("GET", "/", nil).status }()
			before := h.entry.metrics.panics(route.Name).Get()
			bad := h.do("GET", "/", nil, "X-Workspace", "bad", HeaderRequestID, "bad-1")
			is.True(bad.err != nil || bad.status == http.StatusBadGateway)
			is.Equal(<-good, http.StatusOK)
			is.True(h.entry.metrics.panics(route.Name).Get() > before)
			is.True(line.Load() != nil && strings.Contains(*line.Load(), "bad-1"))
			is.Equal(h.entry.Running(), int64(0))
			is.Equal(permits.Load(), int64(0))
		})
	}
}
