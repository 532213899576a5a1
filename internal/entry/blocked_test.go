package entry

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/logging"
	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/internal/standin"
)

// blockedOutput blocks every write until it is released, like a pipe without a reader.
type blockedOutput struct{ released chan struct{} }

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.released
	return len(p), nil
}

// Guards against requests that wait for the log output. The test logs latencies and
// rate both with a blocked output and with one that discards everything.
func TestBlockedLogOutputDelaysNoRequest(t *testing.T) {
	const (
		workers  = 8
		requests = 1000 // of each worker, with three lines each: more than the queue of log lines holds
		// bound is far above the duration of a request on a busy machine and far below a wait for a blocked output.
		bound = 2 * time.Second
	)
	for _, blocked := range []bool{false, true} {
		t.Run(map[bool]string{false: "open", true: "blocked"}[blocked], func(t *testing.T) {
			is := is.New(t)
			var out io.Writer = io.Discard
			if blocked {
				b := &blockedOutput{make(chan struct{})}
				t.Cleanup(func() { close(b.released) })
				out = b
			}
			up := standin.NewUpstream(standin.UpstreamConfig{ID: "a", Slots: workers})
			h := newHarness(t, testRoute(), []string{serveUpstream(t, up)}, withSettings(func(s *settings.Settings) { s.Log.Requests = true }))
			h.entry.log = logging.New(logging.NewAsync(out), true)
			var mu sync.Mutex
			var took []time.Duration
			var running sync.WaitGroup
			begin := time.Now()
			for range workers {
				running.Go(func() {
					for range requests {
						start := time.Now()
						resp, err := h.client.Get(h.url + "/")
						if err != nil {
							t.Error(err)
							return
						}
						_, _ = io.Copy(io.Discard, resp.Body)
						_ = resp.Body.Close()
						mu.Lock()
						took = append(took, time.Since(start))
						mu.Unlock()
						if resp.StatusCode != http.StatusOK {
							t.Errorf("status %d", resp.StatusCode)
						}
					}
				})
			}
			running.Wait()
			slices.Sort(took)
			is.Equal(len(took), workers*requests)
			t.Logf("%.0f requests a second, p50 %v, p99 %v", float64(len(took))/time.Since(begin).Seconds(), took[len(took)/2], took[len(took)*99/100])
			is.True(took[len(took)-1] < bound)
		})
	}
}
