// Package demo runs a small deployment in one process: a store stand-in,
// upstream stand-ins in two failure domains and three entry instances, all on
// free loopback ports, under real load. It takes one failure domain out of
// service and brings it back by editing the pool, as operators do.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/turmericsail/turmericsail/internal/load"
	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/pkg/kernel"
)

// Config describes a run of the demo.
type Config struct {
	// Out is where the table is written.
	Out io.Writer
	// Duration is the length of the run. Zero means until the context ends.
	Duration time.Duration
	// Rate is the total number of requests per second over all entries.
	Rate float64
	// NewInstance returns an entry instance with the given settings, not yet running.
	NewInstance func(cfg settings.Settings) (*kernel.Kernel, error)
}

// Intervals of a demo that runs until it is interrupted.
const (
	// togglePeriod is the time between edits of the pool.
	togglePeriod = 10 * time.Second
	// printInterval is the time between lines of the table.
	printInterval = time.Second
)

// intervals returns the time between edits of the pool and the time between lines of the table.
func (c *Config) intervals() (toggle, line time.Duration) {
	if c.Duration == 0 {
		return togglePeriod, printInterval
	}
	return c.Duration * 2 / 5, min(max(c.Duration/12, 100*time.Millisecond), printInterval)
}

// Run runs the demo and returns the summary of the load. Unsuccessful requests are not an error of Run.
func Run(ctx context.Context, cfg Config) (load.Summary, error) {
	d, err := deploy(ctx, cfg.NewInstance)
	if err != nil {
		return load.Summary{}, err
	}
	recorder := load.NewRecorder()
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	fmt.Fprintf(cfg.Out, "store %s; entries %v\n", d.storeURL, d.entryURLs())
	var wg sync.WaitGroup
	for _, l := range loadConfigs(d, cfg.Rate) {
		wg.Go(func() {
			if err := load.Run(loadCtx, l, recorder); err != nil {
				fmt.Fprintln(cfg.Out, err)
			}
		})
	}
	wg.Go(func() { d.watchInstances(loadCtx, stop) })
	t := &tableWriter{cfg: cfg, deployment: d, recorder: recorder, last: recorder.Summary()}
	scenarioErr := t.run(loadCtx)
	stop()
	wg.Wait() // requests in flight finish before the instances stop
	s := recorder.Summary()
	return s, errors.Join(scenarioErr, d.stop())
}

// loadConfigs returns two loads: lookups with GET and assignments with POST, at a ratio of four to one.
func loadConfigs(d *deployment, rate float64) []load.Config {
	return []load.Config{
		{Targets: d.entryURLs(), Path: "/roster/7", Rate: rate * 0.8, Poisson: true},
		{Targets: d.entryURLs(), Path: "/dispatch", Method: "POST", Body: []byte(`{"plough":7}`), Rate: rate * 0.2, Poisson: true},
	}
}

// Summarize prints the result of a run.
func Summarize(w io.Writer, s load.Summary) {
	fmt.Fprintln(w)
	s.Write(w)
	if bad := s.Unsuccessful(); bad > 0 {
		fmt.Fprintf(w, "%d requests failed, were refused or got a wrong answer\n", bad)
		return
	}
	fmt.Fprintln(w, "every request got its own whole answer")
}
