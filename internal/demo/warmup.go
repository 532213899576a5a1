package demo

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/turmericsail/turmericsail/internal/admin"
	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/probe"
)

const (
	// warmUpConcurrency is the number of concurrent requests to each entry while upstreams
	// are cold; more would wait for the cold-start allowance.
	warmUpConcurrency = 2
	// warmUpPollInterval is the interval at which the entries are asked for cold upstreams.
	warmUpPollInterval = 100 * time.Millisecond
)

// warmUp sends a few requests at a time until no entry reports a cold upstream. In a
// new deployment every upstream is cold, and part of a full load would correctly be
// refused.
func (d *deployment) warmUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	load, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for _, url := range d.entryURLs() {
		for range warmUpConcurrency {
			wg.Go(func() { sendUntilDone(load, url+"/roster/warm-up") })
		}
	}
	defer wg.Wait()
	defer stop()
	for d.anyCold(ctx) {
		select {
		case <-ctx.Done():
			return fault.New(fault.Unavailable, "the upstreams did not become warm", "run the demo again on a less busy machine")
		case <-time.After(warmUpPollInterval):
		}
	}
	return nil
}

func sendUntilDone(ctx context.Context, url string) {
	for ctx.Err() == nil {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return
		}
		if resp, err := http.DefaultClient.Do(r); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}
}

func (d *deployment) anyCold(ctx context.Context) bool {
	for _, cfg := range d.instances {
		s, err := admin.FetchStatus(ctx, cfg.Admin.Listen)
		if err != nil {
			return true
		}
		for _, u := range s.Upstreams {
			if u.State == string(probe.StateCold) {
				return true
			}
		}
	}
	return false
}
