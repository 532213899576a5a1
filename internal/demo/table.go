package demo

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/turmericsail/turmericsail/internal/load"
)

// tableWriter runs the scenario and prints one line of the table per interval.
type tableWriter struct {
	cfg        Config
	deployment *deployment
	recorder   *load.Recorder
	begin      time.Time
	last       load.Summary
	lines      int
	edits      int // edits made so far; after an odd number the failure domain is out
}

// headerEvery is the number of lines after which the header is printed again.
const headerEvery = 20

// run alternately takes the second failure domain out of service and brings it back,
// until ctx or the configured duration ends. A run with a duration does so at least
// once, however slow the machine is.
func (t *tableWriter) run(ctx context.Context) error {
	toggle, line := t.cfg.intervals()
	t.begin = time.Now()
	ticker := time.NewTicker(line)
	defer ticker.Stop()
	phases := time.NewTicker(toggle)
	defer phases.Stop()
	var end <-chan time.Time
	if t.cfg.Duration > 0 {
		end = time.After(t.cfg.Duration)
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			t.writeLine(ctx)
		case <-phases.C:
			if err := t.toggleDomain(ctx); err != nil {
				return err
			}
		case <-end:
			for t.edits < 2 || t.domainOut() {
				if err := t.toggleDomain(ctx); err != nil || ctx.Err() != nil {
					return err
				}
			}
			return nil
		}
	}
}

// domainOut reports whether the second failure domain is out of service.
func (t *tableWriter) domainOut() bool { return t.edits%2 == 1 }

// toggleDomain takes the second failure domain out of service or brings it back, and
// prints how long it took until the edit was in force on every entry.
func (t *tableWriter) toggleDomain(ctx context.Context) error {
	var list []string
	text := "is back in service"
	t.edits++
	if t.domainOut() {
		list, text = []string{domains[1]}, "is taken out of service"
	}
	begin := time.Now()
	revision, err := t.deployment.setDomainsOut(ctx, list...)
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	for t.deployment.lowestRevision(ctx) < revision {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(5 * time.Millisecond):
		}
	}
	fmt.Fprintf(t.cfg.Out, "---- %s %s: revision %d in force on all entries after %v\n", domains[1], text, revision, time.Since(begin).Round(time.Millisecond))
	return nil
}

func (t *tableWriter) writeLine(ctx context.Context) {
	if t.lines%headerEvery == 0 {
		fmt.Fprintf(t.cfg.Out, "%7s %9s %6s %9s %9s %16s %16s %8s\n", "time", "succeeded", "bad", "p50", "p99", domains[0]+" req", domains[1]+" req", "revision")
	}
	t.lines++
	s := t.recorder.Summary()
	mark := ""
	if t.domainOut() {
		mark = " (out)"
	}
	fmt.Fprintf(t.cfg.Out, "%7s %9d %6d %9v %9v %16d %16s %8d\n", time.Since(t.begin).Round(100*time.Millisecond),
		s.Succeeded, s.Unsuccessful(), s.P50.Round(10*time.Microsecond), s.P99.Round(10*time.Microsecond),
		t.answersSinceLastLine(s, domains[0]), fmt.Sprint(t.answersSinceLastLine(s, domains[1]), mark), t.deployment.lowestRevision(ctx))
	t.last = s
}

// answersSinceLastLine returns the number of answers from a failure domain since the last printed line.
func (t *tableWriter) answersSinceLastLine(s load.Summary, domain string) uint64 {
	var n uint64
	for id, count := range s.Upstreams {
		if strings.HasPrefix(id, domain+"-") {
			n += count - t.last.Upstreams[id]
		}
	}
	return n
}
