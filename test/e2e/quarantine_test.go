package e2e

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/fake"

	"github.com/turmericsail/turmericsail/internal/standin"
)

// Guards against a request that crashes every upstream that runs it and, with a
// caller that repeats it at one entry after another, takes down the whole pool.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	is := is.New(t)
	store := fake.FreeAddress(t)
	storeURL := "http://" + store
	startStore(t, store)
	var upstreams []*upstream
	for i := range 4 {
		upstreams = append(upstreams, startUpstream(t, fmt.Sprintf("u%d", i+1), "north", fmt.Sprintf("n%d", i+1),
			"--slots", "8", "--service", "1ms", "--restart", "500ms"))
	}
	must(t, poolRow(t, nil, upstreams...), "pool", "put", "-", "--store", storeURL)
	// Without retries each copy is the loss of one upstream at most. A retry may be
	// sent before a second cut request shows the loss, which no entry can know.
	must(t, `{"name":"roster","match":{"path_prefix":"/"},"pool":"roster","retry":{"max_attempts":1}}`, "route", "put", "-", "--store", storeURL)
	var entries []*entry
	for i := range 3 {
		entries = append(entries, startEntryWith(t, fmt.Sprintf("entry-%d", i+1), fmt.Sprintf("n%d", i+1), storeURL,
			map[string]any{"log": map[string]any{"requests": true}})) // shows why a request was refused
	}
	untilInForce(t, storeURL, entries...)

	var sent, served atomic.Int64
	// others sends a request with a path of its own, so that it is no repeat of another one.
	others := func(e *entry) bool {
		code, _, _ := send(t, "GET", fmt.Sprintf("http://%s/roster/%d", e.callers, sent.Add(1)), "", nil)
		if code == 200 {
			served.Add(1)
		}
		return code == 200
	}
	marked := func(e *entry) (code int, outcome, answer string) {
		return send(t, "GET", "http://"+e.callers+"/marked", "", map[string]string{standin.CrashHeader: "1"})
	}
	lost := func() (n uint64) {
		for _, u := range upstreams {
			n += u.counts(t).Starts - 1
		}
		return n
	}
	for _, e := range entries {
		until(t, "other requests are served", func() bool { return others(e) })
	}
	// Other callers go on meanwhile: their requests show that an upstream is back with a new start.
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range 12 {
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
					others(entries[i%len(entries)])
				}
			}
		})
	}
	repeats := 0
	until(t, "the marked request is refused", func() bool {
		_, _, answer := marked(entries[repeats%len(entries)])
		repeats++
		settled := served.Load()
		until(t, "other requests go on being served", func() bool { return served.Load() > settled+300 })
		return strings.Contains(answer, `"kind":"quarantined"`)
	})
	for _, e := range entries {
		until(t, "the marked request is refused everywhere", func() bool {
			_, _, answer := marked(e)
			return strings.Contains(answer, `"kind":"quarantined"`)
		})
	}
	t.Logf("refused after %d repeats", repeats)
	// A lost upstream counts its next start with the first request after it.
	until(t, "all upstreams serve again", func() bool {
		up := true
		for _, u := range upstreams {
			code, _ := get("http://" + u.address + "/again")
			up = up && code == 200
		}
		return up
	})
	for i, u := range upstreams {
		t.Logf("u%d was lost %d times", i+1, u.counts(t).Starts-1)
	}
	is.Equal(lost(), uint64(2))
	close(stop)
	callers.Wait()
	for range 30 {
		for _, e := range entries {
			code, outcome, answer := marked(e)
			is.Equal(code, 503)
			is.Equal(outcome, "not-run") // this copy is not sent
			is.True(strings.Contains(answer, `"kind":"quarantined"`))
			code, _, answer = send(t, "GET", fmt.Sprintf("http://%s/roster/%d", e.callers, sent.Add(1)), "", nil)
			if code != 200 {
				t.Logf("another request was answered %d: %s", code, answer)
			}
			is.Equal(code, 200)
		}
	}
	is.Equal(lost(), uint64(2)) // refused copies reach no upstream
}
