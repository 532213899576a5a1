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

// Guards against a request that crashes every upstream that runs it and thereby
// takes down the whole pool, when a caller retries it at one entry after another.
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
	mustRun(t, poolJSON(t, nil, upstreams...), "pool", "put", "-", "--store", storeURL)
	// Without retries each copy crashes at most one upstream. With retries, an entry
	// could send the request again before a second aborted request shows the crash,
	// which no entry can know earlier.
	mustRun(t, `{"name":"roster","match":{"path_prefix":"/"},"pool":"roster","retry":{"max_attempts":1}}`, "route", "put", "-", "--store", storeURL)
	var entries []*entry
	for i := range 3 {
		entries = append(entries, startEntryWith(t, fmt.Sprintf("entry-%d", i+1), fmt.Sprintf("n%d", i+1), storeURL,
			map[string]any{"log": map[string]any{"requests": true}})) // logs the reason of each refusal
	}
	untilInForce(t, storeURL, entries...)

	var sent, served atomic.Int64
	// sendOther sends a request with a unique path, so that it is not a repeat of another one.
	sendOther := func(e *entry) bool {
		code, _, _ := sendRequest(t, "GET", fmt.Sprintf("http://%s/roster/%d", e.callerAddress, sent.Add(1)), "", nil)
		if code == 200 {
			served.Add(1)
		}
		return code == 200
	}
	// sendMarked sends the request that crashes an upstream.
	sendMarked := func(e *entry) (code int, outcome, responseBody string) {
		return sendRequest(t, "GET", "http://"+e.callerAddress+"/marked", "", map[string]string{standin.CrashHeader: "1"})
	}
	// lossCount returns the number of crashes of all upstreams.
	lossCount := func() (n uint64) {
		for _, u := range upstreams {
			n += u.counts(t).Starts - 1
		}
		return n
	}
	for _, e := range entries {
		until(t, "other requests are served", func() bool { return sendOther(e) })
	}
	// Other callers send requests throughout the test. The responses show the entries
	// that an upstream has restarted.
	stop := make(chan struct{})
	var otherCallers sync.WaitGroup
	for i := range 12 {
		otherCallers.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
					sendOther(entries[i%len(entries)])
				}
			}
		})
	}
	repeats := 0
	until(t, "the marked request is refused", func() bool {
		_, _, responseBody := sendMarked(entries[repeats%len(entries)])
		repeats++
		before := served.Load()
		until(t, "more of the other requests are served", func() bool { return served.Load() > before+300 })
		return strings.Contains(responseBody, `"kind":"quarantined"`)
	})
	for _, e := range entries {
		until(t, "every entry refuses the marked request", func() bool {
			_, _, responseBody := sendMarked(e)
			return strings.Contains(responseBody, `"kind":"quarantined"`)
		})
	}
	t.Logf("refused after %d copies", repeats)
	// A crashed upstream counts its restart at the first request that it receives.
	until(t, "all upstreams serve after their restarts", func() bool {
		up := true
		for _, u := range upstreams {
			code, _ := get("http://" + u.address + "/again")
			up = up && code == 200
		}
		return up
	})
	for i, u := range upstreams {
		t.Logf("u%d crashed %d times", i+1, u.counts(t).Starts-1)
	}
	is.Equal(lossCount(), uint64(2))
	close(stop)
	otherCallers.Wait()
	for range 30 {
		for _, e := range entries {
			code, outcome, responseBody := sendMarked(e)
			is.Equal(code, 503)
			is.Equal(outcome, "not-run") // this copy is not sent
			is.True(strings.Contains(responseBody, `"kind":"quarantined"`))
			code, _, responseBody = sendRequest(t, "GET", fmt.Sprintf("http://%s/roster/%d", e.callerAddress, sent.Add(1)), "", nil)
			if code != 200 {
				t.Logf("another request got status %d: %s", code, responseBody)
			}
			is.Equal(code, 200)
		}
	}
	is.Equal(lossCount(), uint64(2)) // refused copies are not sent to an upstream
}
