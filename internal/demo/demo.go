// Package demo runs a small deployment in one process: a store stand-in,
// upstream stand-ins in two failure domains and three entry instances, all on
// loopback with free ports, under real load. It takes one failure domain out of
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
	// Out receives the table.
	Out io.Writer
	// Duration ends the run by itself; zero runs until the context ends.
	Duration time.Duration
	// Rate is the number of requests a second over all entries.
	Rate float64
	// NewInstance makes an entry instance.
	NewInstance func(cfg settings.Settings) (*kernel.Kernel, error)
}

// Durations of the demo when it runs until it is interrupted.
const (
	phaseLength   = 10 * time.Second
	printInterval = time.Second
)

// phase returns how long a failure domain stays in and out, and the time between lines of the table.
func (c *Config) phase() (length, interval time.Duration) {
	if c.Duration == 0 {
		return phaseLength, printInterval
	}
	return c.Duration * 2 / 5, min(max(c.Duration/12, 100*time.Millisecond), printInterval)
}

// Run runs the demo and returns what the load saw. Bad requests are not an error of Run.
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
	for _, l := range loads(d, cfg.Rate) {
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

// loads returns lookups with GET and assignments with POST, in the ratio of four to one.
func loads(d *deployment, rate float64) []load.Config {
	return []load.Config{
		{Targets: d.entryURLs(), Path: "/roster/7", Rate: rate * 0.8, Poisson: true},
		{Targets: d.entryURLs(), Path: "/dispatch", Method: "POST", Body: []byte(`{"plough":7}`), Rate: rate * 0.2, Poisson: true},
	}
}

// Summarize prints the end of a run.
func Summarize(w io.Writer, s load.Summary) {
	fmt.Fprintln(w)
	s.Write(w)
	if bad := s.Bad(); bad > 0 {
		fmt.Fprintf(w, "%d requests failed, were refused or got a wrong answer\n", bad)
		return
	}
	fmt.Fprintln(w, "every request got its own whole answer")
}
