package e2e

import (
	"context"
	"fmt"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/fake"

	"github.com/turmericsail/turmericsail/internal/load"
)

// Guards against entries that together send a cold upstream more requests than
// its cold-start allowance, at its first start and at a restart after a crash that
// every entry could detect. Requests in flight at the crash do not count against
// the restarted upstream, because the process that they were sent to has exited.
func TestColdAllowance(t *testing.T) {
	is := is.New(t)
	store := fake.FreeAddress(t)
	storeURL := "http://" + store
	startStore(t, store)
	var upstreams []*upstream
	for i := range 2 {
		upstreams = append(upstreams, startUpstream(t, fmt.Sprintf("u%d", i+1), "north", fmt.Sprintf("n%d", i+1),
			"--slots", "8", "--service", "20ms", "--cold-allowance", "2", "--cold-answers", "8"))
	}
	mustRun(t, poolJSON(t, map[string]any{"cold_start": map[string]int{"allowance": 2, "answers": 8}}, upstreams...), "pool", "put", "-", "--store", storeURL)
	mustRun(t, `{"name":"roster","match":{"path_prefix":"/"},"pool":"roster"}`, "route", "put", "-", "--store", storeURL)
	var entries []*entry
	var targets []string
	for i := range 3 {
		e := startEntry(t, fmt.Sprintf("entry-%d", i+1), fmt.Sprintf("n%d", i%2+1), storeURL)
		entries, targets = append(entries, e), append(targets, "http://"+e.callerAddress)
	}
	for _, e := range entries {
		e.untilReady(t)
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	r := load.NewRecorder()
	done := make(chan error, 1)
	go func() { done <- load.Run(ctx, load.Config{Targets: targets, Path: "/roster/7", Rate: 150}, r) }()
	waitServed := func(id string, n uint64) {
		t.Helper()
		before := r.Summary().Upstreams[id]
		until(t, id+" serves", func() bool { return r.Summary().Upstreams[id] >= before+n })
	}
	waitServed("u1", 200)
	waitServed("u2", 200)
	is.Equal(upstreams[0].counts(t).ColdViolations, uint64(0)) // at the first start
	is.Equal(upstreams[1].counts(t).ColdViolations, uint64(0)) // at the first start

	upstreams[0].signal(t, syscall.SIGKILL)
	upstreams[0].wait(t)
	waitServed("u2", 200) // until then the closed port refuses a connection of every entry
	upstreams[0].start(t)
	waitServed("u1", 200)
	is.Equal(upstreams[0].counts(t).ColdViolations, uint64(0)) // after the restart
	is.Equal(upstreams[1].counts(t).ColdViolations, uint64(0)) // it did not restart and stays warm
	stop()
	is.NoErr(<-done)
}
